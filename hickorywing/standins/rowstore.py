"""A store of versioned rows in memory, with the faults that a store has."""

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
from hickorywing.rows import RowKey
from hickorywing.rows import RowStore
from hickorywing.rows import RowTransaction
from hickorywing.rows import StoredRow
from hickorywing.rows import StoreUnavailable
from hickorywing.rows import TableRead
from hickorywing.rows import Unknown
from hickorywing.waiting import wait_for_event

__all__ = ["MemoryRowStore", "StoreFault"]

KEPT_CHANGES = 10_000


class StoreFault(enum.Enum):
    """What happens to one transaction.

    ``LOST_AFTER`` applies it and loses the answer, ``LOST_BEFORE`` loses the
    request, and ``LATE`` loses the answer and applies it when ``apply_late``
    is called, if its expectations still hold then.
    """

    NONE = enum.auto()
    REFUSE = enum.auto()
    LOST_AFTER = enum.auto()
    LOST_BEFORE = enum.auto()
    LATE = enum.auto()


class MemoryRowStore(RowStore):
    """All rows in a dictionary, and the latest changes in order."""

    def __init__(self) -> None:
        self.rows: dict[RowKey, StoredRow] = {}
        self.version = 0
        self.down = False
        self.refuses = False
        self.commits = 0
        self._faults: deque[StoreFault] = deque()
        self._late: list[RowTransaction] = []
        self._changes: deque[StoredRow] = deque(maxlen=KEPT_CHANGES)
        self._oldest = 0
        self._changed = asyncio.Event()

    def is_reachable(self) -> bool:
        """Tell whether the store is up."""
        return not self.down

    def plan_faults(self, *faults: StoreFault) -> None:
        """Let the next transactions meet these faults, one each."""
        self._faults.extend(faults)

    def forget_history(self) -> None:
        """Drop the changes kept for feeds."""
        self._changes.clear()
        self._oldest = self.version

    def apply_late(self) -> list[Commit]:
        """Apply the transactions that were held up; return their outcomes."""
        late, self._late = self._late, []
        return [self.apply(transaction) for transaction in late]

    def put(self, key: RowKey, value: bytes | None) -> int:
        """Write a row, as an operator would; return its version."""
        self.version += 1
        row = StoredRow(key, value, self.version)
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = row
        self._note([row])
        return self.version

    def apply(self, transaction: RowTransaction) -> Commit:
        """Apply a transaction if all its expectations hold."""
        for expected in transaction.expects:
            row = self.rows.get(expected.key)
            if (0 if row is None else row.version) != expected.version:
                return Mismatch(self._find(transaction))
        self.version += 1
        changed = []
        for write in transaction.writes:
            row = StoredRow(write.key, write.value, self.version)
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = row
            changed.append(row)
        self._note(changed)
        return Committed(self.version)

    def _find(self, transaction: RowTransaction) -> tuple[StoredRow, ...]:
        keys = [expected.key for expected in transaction.expects]
        return tuple(self.rows[key] for key in keys if key in self.rows)

    def _note(self, rows: Iterable[StoredRow]) -> None:
        self._changes.extend(rows)
        self._changed.set()
        self._changed = asyncio.Event()

    async def commit(self, transaction: RowTransaction) -> Commit:
        """Try a transaction once."""
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
            self._late.append(transaction)
            return Unknown()
        outcome = self.apply(transaction)
        return Unknown() if fault is StoreFault.LOST_AFTER else outcome

    async def read_part(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> TableRead:
        """Return a range of rows; raise ``StoreUnavailable``."""
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

    async def follow(
        self, table: str, after_version: int, wait_s: float
    ) -> FeedPage:
        """Return what changed after a version."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            if self.down:
                raise StoreUnavailable("the store is down")
            if after_version < self._oldest:
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
