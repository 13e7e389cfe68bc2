"""Write a controller's decisions to the store in batches.

Every transaction demands that the controller's epoch is the newest, so a
controller that was replaced changes nothing. While a transaction is pending,
further decisions are collected for the next one, so a slow store gets larger
transactions rather than more of them.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.leaserows import decode_epoch
from hickorywing.logevents import LogEvent
from hickorywing.poollease import PoolLease
from hickorywing.poolrows import epoch_key
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

# The store takes 100 entries in a transaction. One is the expectation of the
# epoch, and each row counts as an expectation and a write.
ROWS_PER_COMMIT = 45
# The time for which the store's client waits for an answer.
COMMIT_TIMEOUT_S = 1.5
# A refused transaction is not queued at the store. Nor is one that was not
# applied although the store answers reads: it was lost on its way. A pool has
# one writer, so these are retried quickly: decisions that are not stored when
# all VMs lose power must be made again. Any other transaction without an
# answer may still be queued at a slow store.
QUICK_RETRY_S = 0.05
RETRY_S = 0.1
MAX_RETRY_S = 0.5
NOT_APPLIED = Unknown(store_reads=True)

Encode = Callable[[], bytes]
StoredCallback = Callable[[], None]


@dataclass(slots=True)
class PendingWrite:
    """A row to write, with ``extra_rows`` in the same transaction.

    Values are encoded when they are sent. The ``stored`` callbacks are called
    after the commit.
    """

    encode: Encode
    stored: list[StoredCallback] = field(default_factory=list)
    extra_rows: dict[RowKey, Encode] = field(default_factory=dict)


class Committer:
    """Writes rows until they hold what a controller has asked for.

    ``versions`` holds the rows' versions as last written or read.
    """

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

    def pending_s(self) -> float:
        """Return the seconds since the pending transaction was first tried.

        The result is 0 if none is pending.
        """
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
        extra_rows: dict[RowKey, Encode] | None = None,
    ) -> None:
        """Schedule a row to be written; it is encoded when it is sent.

        ``stored`` is called after a value that was encoded after this call has
        been committed. The rows in ``extra_rows`` are written in the same
        transaction.
        """
        pending = self._pending.setdefault(key, PendingWrite(encode))
        pending.encode = encode
        if stored is not None:
            pending.stored.append(stored)
        pending.extra_rows.update(extra_rows or {})
        self._wake.set()

    def remove(self, keys: Iterable[RowKey]) -> None:
        """Schedule the deletion of rows that nobody writes any more."""
        self._removals.extend(keys)
        self._wake.set()

    async def run(self) -> None:
        """Write scheduled rows until the role is lost."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            # Lets decisions of the same event loop pass share one transaction.
            await asyncio.sleep(0)
            while self._pending:
                if not await self._write_batch():
                    return
            if self._removals:
                await self._remove_batch()

    async def _remove_batch(self) -> None:
        """Delete rows; a failed deletion is retried with the next write."""
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
        """Write the next rows in one transaction; ``False`` if role lost."""
        stored_callbacks: list[StoredCallback] = []
        values: dict[RowKey, bytes] = {}
        for key, pending in list(self._pending.items()):
            if len(values) + 1 + len(pending.extra_rows) > ROWS_PER_COMMIT:
                break
            del self._pending[key]
            values[key] = pending.encode()
            for other, encode in pending.extra_rows.items():
                values[other] = encode()
            stored_callbacks.extend(pending.stored)
        self._busy_since_s = now_s()
        written = await self._commit(values)
        self._busy_since_s = None
        if not written:
            return False
        for stored in stored_callbacks:
            stored()
        return True

    async def _commit(self, values: dict[RowKey, bytes]) -> bool:
        """Retry a transaction until committed; ``False`` if role lost."""
        pause_s = RETRY_S
        had_unknown = False
        while True:
            answer = await commit_checked(
                self._store, self._transaction(values), COMMIT_TIMEOUT_S
            )
            if isinstance(answer, Committed):
                self.versions.update(dict.fromkeys(values, answer.version))
                return True
            if isinstance(answer, Mismatch):
                if not self._holds_epoch(answer):
                    return False
                if self._adopt_versions(answer, values) and had_unknown:
                    return True
                continue
            had_unknown = had_unknown or isinstance(answer, Unknown)
            self._log.write(
                LogEvent.COMMIT_FAILED,
                outcome=type(answer).__name__.lower(),
                rows=len(values),
                tried_s=round(self.pending_s(), 3),
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
        """Return whether the newest epoch is still this controller's.

        Steps down if it is not; otherwise adopts the epoch row's version.
        """
        row = mismatch.find(epoch_key(self._lease.pool))
        epoch = decode_epoch(row)
        if epoch != self._lease.epoch:
            self._lease.step_down(f"the store has epoch {epoch}")
            return False
        self._lease.adopt_epoch_version(row.version)
        return True

    def _adopt_versions(
        self, mismatch: Mismatch, values: dict[RowKey, bytes]
    ) -> bool:
        """Adopt the rows' present versions; return whether all are written.

        Only the holder of the newest epoch writes these rows, so a row with an
        unexpected version comes from an earlier attempt of this transaction.
        """
        written = True
        for key, value in values.items():
            row = mismatch.find(key)
            self.versions[key] = 0 if row is None else row.version
            written = written and row is not None and row.value == value
        return written
