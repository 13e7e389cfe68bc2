"""A stand-in for the row store, in memory and with injected faults."""

import asyncio
from collections import deque
from collections.abc import Iterable
import enum

from hickorywing.rows import Commit
from hickorywing.rows import Committed
from hickorywing.rows import FeedPage
from hickorywing.rows import HistoryLost
from hickorywing.rows import Mismatch
from hickorywing.rows import Refused
from hickorywing.rows import Rejected
from hickorywing.rows import RowKey
from hickorywing.rows import RowStore
from hickorywing.rows import RowTransaction
from hickorywing.rows import StoredRow
from hickorywing.rows import StoreLimits
from hickorywing.rows import StoreUnavailable
from hickorywing.rows import TableRead
from hickorywing.rows import Unknown
from hickorywing.waiting import wait_for_event

__all__ = ["MemoryRowStore", "StoreFault"]

MAX_CHANGES = 10_000
MAX_ENTRIES = 100
# The fields of an entry beside its key and value.
ENTRY_BYTES = 60


class StoreFault(enum.Enum):
    """A fault of one transaction.

    ``REFUSE`` answers that nothing was written. ``LOST_AFTER`` applies the
    transaction and loses the answer, ``LOST_BEFORE`` loses the request.
    ``LATE`` loses the answer, too, and applies the transaction only when
    ``apply_late`` is called, if its expectations still hold then.
    """

    NONE = enum.auto()
    REFUSE = enum.auto()
    LOST_AFTER = enum.auto()
    LOST_BEFORE = enum.auto()
    LATE = enum.auto()


class MemoryRowStore(RowStore):
    """Keeps rows in a dictionary and the latest changes in a queue.

    Tests set ``down``, which leaves all calls unanswered, and ``refuses``,
    which refuses all transactions. ``commits`` counts the transactions tried,
    ``rejected`` has what was wrong with those that were rejected.
    """

    def __init__(self) -> None:
        self.rows: dict[RowKey, StoredRow] = {}
        self.version = 0
        self.down = False
        self.refuses = False
        self.commits = 0
        self.rejected: list[str] = []
        self._faults: deque[StoreFault] = deque()
        self._delayed: list[RowTransaction] = []
        self._changes: deque[StoredRow] = deque(maxlen=MAX_CHANGES)
        self._history_start = 0
        self._changed = asyncio.Event()

    def is_reachable(self) -> bool:
        """Return whether the store isn't set to be down."""
        return not self.down

    def plan_faults(self, *faults: StoreFault) -> None:
        """Inject these faults into the next transactions, one each."""
        self._faults.extend(faults)

    def drop_planned_faults(self) -> None:
        """Inject none of the faults that are still planned."""
        self._faults.clear()

    def forget_history(self) -> None:
        """Drop the changes that are kept for feeds."""
        self._changes.clear()
        self._history_start = self.version

    def apply_late(self) -> list[Commit]:
        """Apply the delayed transactions; return their outcomes."""
        delayed, self._delayed = self._delayed, []
        return [self.apply(transaction) for transaction in delayed]

    def put(self, key: RowKey, value: bytes | None) -> int:
        """Write or delete a row unconditionally; return its version."""
        self.version += 1
        row = StoredRow(key, value, self.version)
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = row
        self._add_changes([row])
        return self.version

    def apply(self, transaction: RowTransaction) -> Commit:
        """Apply a transaction if all its expectations hold, without faults.

        One that exceeds a limit of the platform's store is rejected.
        """
        excess = find_excess(transaction)
        if excess:
            self.rejected.append(excess)
            return Rejected(excess)
        for expected in transaction.expects:
            row = self.rows.get(expected.key)
            if (0 if row is None else row.version) != expected.version:
                return Mismatch(self._find_expected(transaction))
        self.version += 1
        changed = []
        for write in transaction.writes:
            row = StoredRow(write.key, write.value, self.version)
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = row
            changed.append(row)
        self._add_changes(changed)
        return Committed(self.version)

    def _find_expected(
        self, transaction: RowTransaction
    ) -> tuple[StoredRow, ...]:
        keys = [expected.key for expected in transaction.expects]
        return tuple(self.rows[key] for key in keys if key in self.rows)

    def _add_changes(self, rows: Iterable[StoredRow]) -> None:
        self._changes.extend(rows)
        self._changed.set()
        self._changed = asyncio.Event()

    async def commit(self, transaction: RowTransaction) -> Commit:
        """Try a transaction once, with the next planned fault."""
        await asyncio.sleep(0)
        self.commits += 1
        if self.down:
            return Unknown()
        if self.refuses:
            return Refused()
        fault = self._faults.popleft() if self._faults else StoreFault.NONE
        if fault is StoreFault.REFUSE:
            return Refused()
        if fault is StoreFault.LOST_BEFORE:
            return Unknown()
        if fault is StoreFault.LATE:
            self._delayed.append(transaction)
            return Unknown()
        outcome = self.apply(transaction)
        return Unknown() if fault is StoreFault.LOST_AFTER else outcome

    async def read_part(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> TableRead:
        """Return the rows with ``first <= key < end``, in order of their keys.

        Raises ``StoreUnavailable`` while the store is down.
        """
        await asyncio.sleep(0)
        if self.down:
            raise StoreUnavailable("the store is down")
        rows = [
            row
            for key, row in self.rows.items()
            if key.table == table
            and key.part == part
            and key.key >= first
            and (not end or key.key < end)
        ]
        rows.sort(key=lambda row: row.key.key)
        return TableRead(tuple(rows), self.version)

    async def list_parts(self, table: str) -> frozenset[str]:
        """Return the partitions of a table that have rows.

        Raises ``StoreUnavailable`` while the store is down.
        """
        await asyncio.sleep(0)
        if self.down:
            raise StoreUnavailable("the store is down")
        return frozenset(key.part for key in self.rows if key.table == table)

    async def follow(
        self, table: str, after_version: int, wait_s: float
    ) -> FeedPage:
        """Return the changes of a table after a version.

        Waits up to ``wait_s`` for the first one. Raises ``StoreUnavailable``
        while the store is down, and ``HistoryLost`` if the changes were
        dropped.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            if self.down:
                raise StoreUnavailable("the store is down")
            if after_version < self._history_start:
                raise HistoryLost(table)
            rows = tuple(
                row
                for row in self._changes
                if row.key.table == table and row.version > after_version
            )
            left_s = deadline - loop.time()
            if rows or left_s <= 0:
                return FeedPage(rows, self.version)
            await wait_for_event(self._changed, left_s)


def find_excess(transaction: RowTransaction) -> str:
    """Return the limit that a transaction exceeds, empty if none."""
    entries = [*transaction.expects, *transaction.writes]
    if len(entries) > MAX_ENTRIES:
        return f"{len(entries)} entries"
    sizes = [len(write.value or b"") for write in transaction.writes]
    limits = StoreLimits()
    if sizes and max(sizes) > limits.row_bytes:
        return f"a row of {max(sizes)} bytes"
    keys = sum(
        ENTRY_BYTES + len(key.table) + len(key.part) + len(key.key)
        for key in (entry.key for entry in entries)
    )
    if keys + sum(sizes) * 4 // 3 > limits.call_bytes:
        return f"{sum(sizes)} bytes of values"
    return ""
