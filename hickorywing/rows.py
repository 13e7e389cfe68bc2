"""Versioned rows with partitions and change feeds, as the system uses them.

A row lives in a table and a partition of it. All writes of one transaction
share a partition. Three answers are possible to a transaction whose writes
may not all be known: committed, refused (nothing was done) and unknown (it may
have taken effect, or may still do so while its conditions hold).
"""

from abc import ABC
from abc import abstractmethod
import asyncio
from dataclasses import dataclass

from hickorywing.clock import now_s
from hickorywing.commits import Committed
from hickorywing.commits import Refused
from hickorywing.commits import Unknown
from hickorywing.errors import HickorywingError

__all__ = [
    "CHECK_AFTER_S",
    "Commit",
    "Committed",
    "FeedPage",
    "HistoryLost",
    "Mismatch",
    "Refused",
    "RowExpectation",
    "RowKey",
    "RowStore",
    "RowTransaction",
    "RowWrite",
    "StoreUnavailable",
    "StoredRow",
    "TableRead",
    "Unknown",
    "commit_checked",
    "commit_until",
]

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4
# A store that refuses is busy or down for longer than the caller can wait.
MAX_REFUSALS = 3
# Writes without an answer are looked for after this time. A store that is
# silent for all calls has been given up by then.
CHECK_AFTER_S = 0.55
CHECK_AGAIN_S = 0.25
# A store that reads this quickly isn't slow, so a transaction that it has not
# applied by then was lost on its way.
QUICK_READ_S = 0.1


class StoreUnavailable(HickorywingError):  # noqa: N818
    """Reports that a read got no answer, with what was seen instead."""


class HistoryLost(HickorywingError):  # noqa: N818
    """Reports that a feed can't continue; the table must be read again."""


@dataclass(frozen=True, slots=True)
class RowKey:
    """The place of a row."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as it was read; a deleted row in a feed has no value."""

    key: RowKey
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowExpectation:
    """Demands that a row has a version; 0 demands that there is no row."""

    key: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Puts a value, or deletes the row when the value is ``None``."""

    key: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class RowTransaction:
    """Expectations and writes of one partition, applied together."""

    expects: tuple[RowExpectation, ...]
    writes: tuple[RowWrite, ...]


@dataclass(frozen=True, slots=True)
class Mismatch:
    """Nothing was written; these are the rows that were expected."""

    rows: tuple[StoredRow, ...]

    def find(self, key: RowKey) -> StoredRow | None:
        """Return the present row of a key, if there is one."""
        for row in self.rows:
            if row.key == key and row.value is not None:
                return row
        return None


Commit = Committed | Mismatch | Refused | Unknown


@dataclass(frozen=True, slots=True)
class TableRead:
    """Rows as of one version of the store."""

    rows: tuple[StoredRow, ...]
    version: int


@dataclass(frozen=True, slots=True)
class FeedPage:
    """Changes of one table up to a version, oldest first."""

    rows: tuple[StoredRow, ...]
    version: int


class RowStore(ABC):
    """A transactional store of versioned rows."""

    @abstractmethod
    async def read_part(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> TableRead:
        """Return the rows of a partition with ``first <= key < end``.

        An empty ``end`` sets no upper bound. Raises ``StoreUnavailable``.
        """

    @abstractmethod
    async def follow(
        self, table: str, after_version: int, wait_s: float
    ) -> FeedPage:
        """Return what changed after a version, waiting for the first change.

        Raises ``StoreUnavailable``, or ``HistoryLost`` when the changes
        since that version are no longer kept.
        """

    @abstractmethod
    async def commit(self, transaction: RowTransaction) -> Commit:
        """Try a transaction once."""

    def is_reachable(self) -> bool:
        """Tell whether the last call that ended got an answer."""
        return True

    async def wait_reachable(self, most_s: float) -> None:
        """Wait for a time, less if a silent store answers a call meanwhile."""
        await asyncio.sleep(most_s)

    def clock_s(self) -> float:
        """Return the store's steady clock, the same for all processes.

        It is an estimate from the latest answer, in seconds.
        """
        return now_s()

    async def read_row(self, key: RowKey) -> StoredRow | None:
        """Return one row, if it exists; raise ``StoreUnavailable``."""
        # The NUL byte makes the smallest key that is greater than this one.
        read = await self.read_part(
            key.table, key.part, key.key, key.key + "\0"
        )
        return read.rows[0] if read.rows else None

    async def close(self) -> None:  # noqa: B027
        """Release what the client holds; nothing by default."""


async def commit_checked(
    store: RowStore, transaction: RowTransaction, patience_s: float
) -> Commit:
    """Try a transaction; look for its writes if no answer comes.

    An answer may be lost although the store does all that it is asked to. The
    first row written then tells; it must hold a value that nobody else
    would write, or whose other writers mean the same.
    """
    clock = asyncio.get_running_loop().time
    deadline = clock() + patience_s
    commit = asyncio.ensure_future(store.commit(transaction))
    wait_s = CHECK_AFTER_S
    try:
        while True:
            done, _ = await asyncio.wait({commit}, timeout=wait_s)
            if done:
                return commit.result()
            asked_s = clock()
            find = asyncio.ensure_future(find_written(store, transaction))
            # Its outcome doesn't matter if the transaction is answered first.
            find.add_done_callback(
                lambda task: task.cancelled() or task.exception()
            )
            try:
                # A slow store may answer the transaction before the read.
                await asyncio.wait(
                    {commit, find}, return_when=asyncio.FIRST_COMPLETED
                )
                if commit.done():
                    return commit.result()
                row = find.result()
            except StoreUnavailable:
                return await commit
            finally:
                find.cancel()
            if row is not None:
                return Committed(row.version)
            answered_s = clock()
            if answered_s >= deadline or answered_s - asked_s < QUICK_READ_S:
                return Unknown(store_reads=True)
            wait_s = CHECK_AGAIN_S
    finally:
        commit.cancel()


async def find_written(
    store: RowStore, transaction: RowTransaction
) -> StoredRow | None:
    """Return the first row of a transaction if it holds what was written.

    Raises ``StoreUnavailable``.
    """
    write = transaction.writes[0]
    row = await store.read_row(write.key)
    if row is None or row.value != write.value:
        return None
    before = {item.key: item.version for item in transaction.expects}
    return None if row.version == before.get(write.key) else row


async def commit_until(
    store: RowStore, transaction: RowTransaction, patience_s: float
) -> Commit:
    """Repeat a transaction until its fate is known or patience runs out.

    After one lost answer the result is never ``Refused``: the lost try may
    still take effect. A mismatch may then be this transaction's own earlier
    try, which the caller recognises by the value of the row.
    """
    clock = asyncio.get_running_loop().time
    deadline = clock() + patience_s
    doubtful = False
    refusals = 0
    pause_s = MIN_BACKOFF_S
    while True:
        answer = await commit_checked(store, transaction, patience_s)
        if isinstance(answer, Committed | Mismatch):
            return answer
        doubtful = doubtful or isinstance(answer, Unknown)
        refusals += isinstance(answer, Refused)
        if refusals >= MAX_REFUSALS or clock() + pause_s >= deadline:
            return Unknown() if doubtful else Refused()
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_BACKOFF_S)
