"""Define a store of versioned rows with partitions and changefeeds.

A row lives in a table and a partition of it. A transaction over rows of
several partitions takes twice as long as one in a single partition. If the
expected versions match, a transaction has one of four results: committed,
refused (nothing was written), rejected (the same, and it never will be) or
unknown (it may have taken effect, or may still do so while its expectations
hold).
"""

from abc import ABC
from abc import abstractmethod
import asyncio
from dataclasses import dataclass

from hickorywing.clock import now_s
from hickorywing.commits import Committed
from hickorywing.commits import Refused
from hickorywing.commits import Rejected
from hickorywing.commits import Unknown
from hickorywing.errors import HickorywingError

__all__ = [
    "CHECK_AFTER_S",
    "ROWS_PER_COMMIT",
    "Commit",
    "Committed",
    "FeedPage",
    "HistoryLost",
    "Mismatch",
    "Refused",
    "Rejected",
    "RowExpectation",
    "RowKey",
    "RowStore",
    "RowTransaction",
    "RowWrite",
    "StoreLimits",
    "StoreUnavailable",
    "StoredRow",
    "TableRead",
    "Unknown",
    "commit_checked",
    "commit_with_retries",
]

# One entry of a controller's transaction is the expectation of the epoch, and
# each row counts as an expectation and a write.
ROWS_PER_COMMIT = 45
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.4
# After this many refusals, the store is busy or down for longer than the
# caller can wait.
MAX_REFUSALS = 3
# Time without an answer after which a transaction's first row is read to see
# whether it took effect. The platform's client gives up soon after, at 0.65 s,
# if the store answers no call at all.
CHECK_AFTER_S = 0.55
CHECK_AGAIN_S = 0.25
# A store that answers a read this quickly isn't slow, so a transaction that it
# has not applied by then was lost on its way.
QUICK_READ_S = 0.1


class StoreUnavailable(HickorywingError):  # noqa: N818
    """Reports that a read got no answer, with the cause."""


class HistoryLost(HickorywingError):  # noqa: N818
    """Reports that a feed has a gap; the table must be read again."""


@dataclass(frozen=True, slots=True)
class RowKey:
    """Identifies a row by table, partition and key."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as read; a deleted row in a feed has no value."""

    key: RowKey
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowExpectation:
    """Demands that a row has a version; 0 demands that it is absent."""

    key: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Puts a value, or deletes the row if the value is ``None``."""

    key: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class RowTransaction:
    """Expectations and writes, applied atomically."""

    expects: tuple[RowExpectation, ...]
    writes: tuple[RowWrite, ...]

    def spans_parts(self) -> bool:
        """Return whether the rows are in more than one partition."""
        entries = (*self.expects, *self.writes)
        return len({entry.key.part for entry in entries}) > 1


@dataclass(frozen=True, slots=True)
class Mismatch:
    """Nothing was written; ``rows`` are the expected rows as stored."""

    rows: tuple[StoredRow, ...]

    def find(self, key: RowKey) -> StoredRow | None:
        """Return the present row of a key, ``None`` if it is absent."""
        for row in self.rows:
            if row.key == key and row.value is not None:
                return row
        return None


Commit = Committed | Mismatch | Refused | Rejected | Unknown


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """The largest transaction that a store takes.

    ``row_bytes`` bounds each value and ``call_bytes`` the encoded transaction,
    in which values are in base64.
    """

    row_bytes: int = 65_536
    call_bytes: int = 1_000_000


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

    limits = StoreLimits()

    @abstractmethod
    async def read_part(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> TableRead:
        """Return the rows of a partition with ``first <= key < end``.

        An empty ``end`` sets no upper bound. Raises ``StoreUnavailable``.
        """

    @abstractmethod
    async def list_parts(self, table: str) -> frozenset[str]:
        """Return the partitions of a table that have rows.

        Raises ``StoreUnavailable``.
        """

    @abstractmethod
    async def follow(
        self, table: str, after_version: int, wait_s: float
    ) -> FeedPage:
        """Return the changes after a version, waiting for the first one.

        Returns after ``wait_s`` seconds at the latest, then possibly without
        changes. Raises ``StoreUnavailable``, or ``HistoryLost`` if the changes
        since that version are no longer kept.
        """

    @abstractmethod
    async def commit(self, transaction: RowTransaction) -> Commit:
        """Try a transaction once."""

    def is_reachable(self) -> bool:
        """Return whether the last completed call got an answer."""
        return True

    async def wait_reachable(self, max_wait_s: float) -> None:
        """Wait ``max_wait_s``, or less if an unreachable store answers."""
        await asyncio.sleep(max_wait_s)

    def clock_s(self) -> float:
        """Return the store's monotonic clock, shared by all processes.

        It is estimated from the latest answer, in seconds.
        """
        return now_s()

    async def read_row(self, key: RowKey) -> StoredRow | None:
        """Return one row if it exists; raise ``StoreUnavailable``."""
        # The NUL byte makes the smallest key that is greater than this one.
        read = await self.read_part(
            key.table, key.part, key.key, key.key + "\0"
        )
        return read.rows[0] if read.rows else None

    async def close(self) -> None:  # noqa: B027
        """Release the client's resources; nothing by default."""


async def commit_checked(
    store: RowStore, transaction: RowTransaction, timeout_s: float
) -> Commit:
    """Try a transaction once, and read its row if no answer comes.

    An answer may be lost although the store applies the transaction. Then the
    first row written tells whether it did. That row must hold a value that
    nobody else would write, or whose other writers mean the same. The result
    is ``Unknown`` with ``store_reads`` if a quick read does not show the row,
    or if no read has shown it within ``timeout_s`` seconds.
    """
    clock = asyncio.get_running_loop().time
    deadline = clock() + timeout_s
    commit = asyncio.ensure_future(store.commit(transaction))
    wait_s = CHECK_AFTER_S
    try:
        while True:
            done, _ = await asyncio.wait({commit}, timeout=wait_s)
            if done:
                return commit.result()
            asked_s = clock()
            find = asyncio.ensure_future(find_written(store, transaction))
            # Retrieve the exception: the read's outcome doesn't matter if the
            # transaction is answered first.
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
    """Return a transaction's first row if it holds the written value.

    Raises ``StoreUnavailable``.
    """
    write = transaction.writes[0]
    row = await store.read_row(write.key)
    if row is None or row.value != write.value:
        return None
    before = {item.key: item.version for item in transaction.expects}
    return None if row.version == before.get(write.key) else row


async def commit_with_retries(
    store: RowStore, transaction: RowTransaction, timeout_s: float
) -> Commit:
    """Retry a transaction until its outcome is known or time runs out.

    After one lost answer the result is never ``Refused``, because the lost
    attempt may still take effect. A mismatch may then come from this
    transaction's own earlier attempt, which the caller recognises by the row's
    value. ``timeout_s`` is the limit in seconds.
    """
    clock = asyncio.get_running_loop().time
    deadline = clock() + timeout_s
    had_unknown = False
    refusals = 0
    pause_s = MIN_BACKOFF_S
    while True:
        answer = await commit_checked(store, transaction, timeout_s)
        if isinstance(answer, Committed | Mismatch | Rejected):
            return answer
        had_unknown = had_unknown or isinstance(answer, Unknown)
        refusals += isinstance(answer, Refused)
        if refusals >= MAX_REFUSALS or clock() + pause_s >= deadline:
            return Unknown() if had_unknown else Refused()
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_BACKOFF_S)
