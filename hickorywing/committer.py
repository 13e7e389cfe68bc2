"""Write a controller's decisions to the store, many in one transaction.

Every transaction demands that the controller's epoch is the newest, so a
controller that was replaced changes nothing. While a transaction is under way
further decisions gather for the next one, so that a slow store gets larger
transactions and not more of them.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.jobrows import epoch_key
from hickorywing.leaserows import decode_epoch
from hickorywing.logevents import LogEvent
from hickorywing.poollease import PoolLease
from hickorywing.rows import commit_checked
from hickorywing.rows import Committed
from hickorywing.rows import Mismatch
from hickorywing.rows import Refused
from hickorywing.rows import RowExpectation
from hickorywing.rows import RowKey
from hickorywing.rows import RowStore
from hickorywing.rows import RowTransaction
from hickorywing.rows import RowWrite
from hickorywing.rows import Unknown

__all__ = ["Committer"]

# The store takes 100 entries a transaction; one is the epoch's expectation,
# and each row counts as an expectation and a write.
ROWS_PER_COMMIT = 45
# As long as the client of the store waits for an answer.
COMMIT_PATIENCE_S = 1.5
# A refused transaction is in no queue, nor is one that a store hasn't applied
# that reads well. A pool has one writer, so their tries may follow each other
# closely: what is not stored when all VMs lose power has to be done again. Any
# other without an answer may still be queued at a slow store.
QUICK_RETRY_S = 0.05
RETRY_S = 0.1
MAX_RETRY_S = 0.5
NOT_APPLIED = Unknown(store_reads=True)

Encode = Callable[[], bytes]
StoredCallback = Callable[[], None]


@dataclass(slots=True)
class PendingWrite:
    """What is to be written together; ``beside`` has rows of their own."""

    encode: Encode
    stored: list[StoredCallback] = field(default_factory=list)
    beside: dict[RowKey, Encode] = field(default_factory=dict)


class Committer:
    """Keeps rows equal to what a controller wants them to hold."""

    def __init__(
        self, lease: PoolLease, store: RowStore, log: DecisionLog
    ) -> None:
        self.versions: dict[RowKey, int] = {}
        self._lease = lease
        self._store = store
        self._log = log
        self._pending: dict[RowKey, PendingWrite] = {}
        self._removals: list[RowKey] = []
        self._wake = asyncio.Event()
        self._busy_since_s: float | None = None

    def stuck_s(self) -> float:
        """Return for how long the present transaction has been tried."""
        if self._busy_since_s is None:
            return 0.0
        return now_s() - self._busy_since_s

    def clock_s(self) -> float:
        """Return the store's clock now, in seconds."""
        return self._store.clock_s()

    def put(
        self,
        key: RowKey,
        encode: Encode,
        stored: StoredCallback | None = None,
        beside: dict[RowKey, Encode] | None = None,
    ) -> None:
        """Ask for a row to be written; its value is taken when it is sent.

        ``stored`` is called once a value that was taken after this call has
        been committed. The rows ``beside`` it share its transaction.
        """
        pending = self._pending.setdefault(key, PendingWrite(encode))
        pending.encode = encode
        if stored is not None:
            pending.stored.append(stored)
        pending.beside.update(beside or {})
        self._wake.set()

    def remove(self, keys: Iterable[RowKey]) -> None:
        """Ask for rows to be deleted that nobody writes any more."""
        self._removals.extend(keys)
        self._wake.set()

    async def run(self) -> None:
        """Write what is asked for until the role is lost."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            # Lets decisions of the same moment share one transaction.
            await asyncio.sleep(0)
            while self._pending:
                if not await self._write_batch():
                    return
            if self._removals:
                await self._remove_batch()

    async def _remove_batch(self) -> None:
        """Delete rows; what fails is tried again with the next write."""
        keys = self._removals[:ROWS_PER_COMMIT]
        answer = await self._store.commit(
            RowTransaction(
                (self._lease.expectation(),),
                tuple(RowWrite(key, None) for key in keys),
            )
        )
        if isinstance(answer, Committed):
            del self._removals[: len(keys)]
            for key in keys:
                self.versions.pop(key, None)

    async def _write_batch(self) -> bool:
        callbacks: list[StoredCallback] = []
        values: dict[RowKey, bytes] = {}
        for key, pending in list(self._pending.items()):
            if len(values) + 1 + len(pending.beside) > ROWS_PER_COMMIT:
                break
            del self._pending[key]
            values[key] = pending.encode()
            for other, encode in pending.beside.items():
                values[other] = encode()
            callbacks.extend(pending.stored)
        self._busy_since_s = now_s()
        written = await self._commit(values)
        self._busy_since_s = None
        if not written:
            return False
        for stored in callbacks:
            stored()
        return True

    async def _commit(self, values: dict[RowKey, bytes]) -> bool:
        """Write until it is done; ``False`` when the role is lost."""
        pause_s = RETRY_S
        doubtful = False
        while True:
            answer = await commit_checked(
                self._store, self._transaction(values), COMMIT_PATIENCE_S
            )
            if isinstance(answer, Committed):
                self.versions.update(dict.fromkeys(values, answer.version))
                return True
            if isinstance(answer, Mismatch):
                if not self._holds_epoch(answer):
                    return False
                if self._adopt_versions(answer, values) and doubtful:
                    return True
                continue
            doubtful = doubtful or isinstance(answer, Unknown)
            self._log.write(
                LogEvent.COMMIT_FAILED,
                outcome=type(answer).__name__.lower(),
                rows=len(values),
                tried_s=round(self.stuck_s(), 3),
            )
            if isinstance(answer, Refused) or answer == NOT_APPLIED:
                await asyncio.sleep(QUICK_RETRY_S)
                continue
            await self._store.wait_reachable(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_S)

    def _transaction(self, values: dict[RowKey, bytes]) -> RowTransaction:
        expects = [self._lease.expectation()]
        expects.extend(
            RowExpectation(key, self.versions.get(key, 0)) for key in values
        )
        return RowTransaction(
            tuple(expects),
            tuple(RowWrite(key, value) for key, value in values.items()),
        )

    def _holds_epoch(self, mismatch: Mismatch) -> bool:
        """Tell whether the epoch is still this controller's."""
        row = mismatch.find(epoch_key(self._lease.pool))
        epoch = decode_epoch(row)
        if epoch != self._lease.epoch:
            self._lease.surrender(f"the store has epoch {epoch}")
            return False
        self._lease.adopt_epoch_version(row.version)
        return True

    def _adopt_versions(
        self, mismatch: Mismatch, values: dict[RowKey, bytes]
    ) -> bool:
        """Take the rows' present versions; tell whether all are written.

        Only the holder of the newest epoch writes these rows, so a row that
        differs from what was expected is an earlier try of this transaction.
        """
        written = True
        for key, value in values.items():
            row = mismatch.find(key)
            self.versions[key] = 0 if row is None else row.version
            written = written and row is not None and row.value == value
        return written
