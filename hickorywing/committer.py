"""Write a controller's decisions to the store in batches.

Every transaction demands that the controller's epoch is the newest, so a
controller that was replaced changes nothing. While a transaction is pending,
further decisions are collected for the next one, so a slow store gets larger
transactions rather than more of them.

What belongs together is in one transaction (``find_group``): a successor that
finds some of a write's transactions only must not take what is missing for
work that never ran. Rows are deleted after the row that makes up for them.

No transaction exceeds a limit of the store. If the store rejects one all the
same, its writes are tried each in a transaction of its own, so that only the
one at fault stays behind.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.leaserows import decode_epoch
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.poollease import PoolLease
from hickorywing.poolrows import epoch_key
from hickorywing.progressrows import find_group
from hickorywing.rows import Commit
from hickorywing.rows import commit_checked
from hickorywing.rows import Committed
from hickorywing.rows import Mismatch
from hickorywing.rows import Refused
from hickorywing.rows import Rejected
from hickorywing.rows import RowExpectation
from hickorywing.rows import RowKey
from hickorywing.rows import ROWS_PER_COMMIT
from hickorywing.rows import RowStore
from hickorywing.rows import RowTransaction
from hickorywing.rows import RowWrite
from hickorywing.rows import Unknown

__all__ = ["Committer"]

# What the key and version of a row take in a transaction, at most, in bytes:
# table, partition and key twice, of which only the key may be long.
ROW_OVERHEAD_BYTES = 1000
# A rejected write is tried again, as its row may have become smaller.
REJECTED_RETRY_S = 5.0
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

Rows = dict[RowKey, bytes | None]
EncodeRows = Callable[[], Rows]
Encode = Callable[[], bytes]
StoredCallback = Callable[[], None]


@dataclass(slots=True)
class PendingWrite:
    """Rows to write, with ``extra_rows`` in the transaction of ``key``.

    Values are encoded when they are sent; ``None`` deletes a row. The row
    ``key`` is written after the others, and rows are deleted after it. The
    ``stored`` callbacks are called after the last commit. ``unsent`` holds
    rows that were encoded but not committed. A write that was rejected is
    tried again, alone, not before ``retry_s``.
    """

    key: RowKey
    encode: EncodeRows
    stored: list[StoredCallback] = field(default_factory=list)
    extra_rows: dict[RowKey, Encode] = field(default_factory=dict)
    unsent: Rows = field(default_factory=dict)
    retry_s: float | None = None

    def merge(self, newer: "PendingWrite") -> None:
        """Adopt what was scheduled for the same rows later."""
        self.encode = newer.encode
        self.stored.extend(newer.stored)
        self.extra_rows.update(newer.extra_rows)

    def encode_all(self) -> Rows:
        """Return all rows to write, in this order."""
        encoded = {**self.unsent, **self.encode()}
        removed = [key for key, value in encoded.items() if value is None]
        rows = {
            key: value for key, value in encoded.items() if value is not None
        }
        if self.key in rows:
            rows[self.key] = rows.pop(self.key)
        for key, encode in self.extra_rows.items():
            rows[key] = encode()
        rows.update(dict.fromkeys(removed))
        self.unsent = rows
        return rows

    def split(self, rows: Rows) -> list[Rows]:
        """Return rows in those that must share a transaction, in order."""
        together = {self.key, *self.extra_rows}
        groups: dict[str | None, Rows] = {}
        for key, value in rows.items():
            name = None if key in together else find_group(key, value is None)
            groups.setdefault(name, {})[key] = value
        return list(groups.values())


@dataclass(slots=True)
class Batch:
    """Pending writes that are sent together, and their rows."""

    writes: list[PendingWrite] = field(default_factory=list)
    rows: Rows = field(default_factory=dict)


class Committer:
    """Writes rows until they hold what a controller has asked for.

    ``versions`` holds the rows' versions as last written or read.
    """

    def __init__(
        self,
        lease: PoolLease,
        store: RowStore,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.versions: dict[RowKey, int] = {}
        self._lease = lease
        self._store = store
        self._log = log
        self._metrics = metrics
        self._pending: dict[RowKey, PendingWrite] = {}
        # Each is deleted in one transaction; the versions are expected.
        self._removals: deque[dict[RowKey, int]] = deque()
        self._sending: list[PendingWrite] = []
        self._wake = asyncio.Event()
        self._busy_since_s: float | None = None

    def pending_s(self) -> float:
        """Return the seconds since the pending transaction was first tried.

        The result is 0 if none is pending.
        """
        if self._busy_since_s is None:
            return 0.0
        return now_s() - self._busy_since_s

    @property
    def row_bytes(self) -> int:
        """Return the store's limit of a row, in bytes."""
        return self._store.limits.row_bytes

    def clock_s(self) -> float:
        """Return the store's clock now, in seconds."""
        return self._store.clock_s()

    def put(
        self,
        key: RowKey,
        encode: Encode,
        stored: StoredCallback | None = None,
    ) -> None:
        """Schedule a row to be written; it is encoded when it is sent.

        ``stored`` is called after a value that was encoded after this call has
        been committed.
        """
        self.put_rows(key, lambda: {key: encode()}, stored)

    def put_rows(
        self,
        key: RowKey,
        encode: EncodeRows,
        stored: StoredCallback | None = None,
        extra_rows: dict[RowKey, Encode] | None = None,
    ) -> None:
        """Schedule several rows that belong together, under one key.

        They may take several transactions, in their order. The rows in
        ``extra_rows`` are written in the last one, and ``stored`` is called
        after it.
        """
        write = PendingWrite(key, encode, extra_rows=extra_rows or {})
        if stored is not None:
            write.stored.append(stored)
        if key in self._pending:
            self._pending[key].merge(write)
        else:
            self._pending[key] = write
        self._wake.set()

    def remove(self, rows: dict[RowKey, int]) -> None:
        """Schedule the deletion of rows that have these versions.

        They are deleted in one transaction if it can hold them, and after
        those of earlier calls. A row that has another version by then belongs
        to somebody else and is kept.
        """
        items = list(rows.items())
        for begin in range(0, len(items), ROWS_PER_COMMIT):
            part = dict(items[begin : begin + ROWS_PER_COMMIT])
            self._removals.append(part)
        self._wake.set()

    def is_writing(self, key: RowKey) -> bool:
        """Return whether a write of these rows isn't committed yet."""
        return key in self._pending or any(
            write.key == key for write in self._sending
        )

    async def run(self) -> None:
        """Write scheduled rows until the role is lost."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            # Lets decisions of the same event loop pass share one transaction.
            await asyncio.sleep(0)
            while (batch := self._take_batch()).writes:
                if not await self._write_batch(batch):
                    return
            if self._removals and not await self._remove_batch():
                return

    async def _remove_batch(self) -> bool:
        """Delete some rows; return ``False`` if the role was lost."""
        rows: dict[RowKey, int] = {}
        count = 0
        for removal in self._removals:
            if count and len(rows) + len(removal) > ROWS_PER_COMMIT:
                break
            rows.update(removal)
            count += 1
        expects = [self._lease.expectation()]
        expects.extend(
            RowExpectation(key, version) for key, version in rows.items()
        )
        writes = tuple(RowWrite(key, None) for key in rows)
        answer: Commit = Committed(0)
        if rows:
            answer = await self._store.commit(
                RowTransaction(tuple(expects), writes)
            )
        wait_s = 0.0
        if isinstance(answer, Mismatch):
            if not self._holds_epoch(answer):
                return False
            for removal in list(self._removals)[:count]:
                self._drop_changed(answer, removal)
        elif isinstance(answer, Committed):
            for _ in range(count):
                self._removals.popleft()
            for key, version in rows.items():
                if self.versions.get(key) == version:
                    del self.versions[key]
        else:
            # Writes that are scheduled meanwhile come first.
            wait_s = MAX_RETRY_S
        if self._removals:
            asyncio.get_running_loop().call_later(wait_s, self._wake.set)
        return True

    def _drop_changed(
        self, mismatch: Mismatch, removal: dict[RowKey, int]
    ) -> None:
        """Keep the rows of a removal that were deleted or written again."""
        for key, version in list(removal.items()):
            row = mismatch.find(key)
            if row is None or row.version != version:
                del removal[key]

    def _take_batch(self) -> Batch:
        """Take the next writes that fit into one transaction.

        A write that was rejected, or that does not fit, is taken alone.
        """
        batch = Batch()
        for key, pending in list(self._pending.items()):
            is_retry = pending.retry_s is not None
            if is_retry and (batch.writes or pending.retry_s > now_s()):
                continue
            rows = {**batch.rows, **pending.encode_all()}
            fits = self._fits(rows)
            if batch.writes and not fits:
                break
            del self._pending[key]
            batch.writes.append(pending)
            batch.rows = rows
            if is_retry or not fits:
                break
        return batch

    def _fits(self, rows: Rows) -> bool:
        """Return whether rows fit into one transaction."""
        limit = self._store.limits.call_bytes
        return len(rows) <= ROWS_PER_COMMIT and count_bytes(rows) <= limit

    def _split(self, batch: Batch) -> Iterator[Rows]:
        """Split rows into those of one transaction each, in their order."""
        if self._fits(batch.rows):
            yield batch.rows
            return
        # Several writes share a batch only if it fits.
        part: Rows = {}
        for group in batch.writes[0].split(batch.rows):
            pieces = [group]
            if not self._fits(group):
                pieces = [{key: value} for key, value in group.items()]
            for piece in pieces:
                if part and not self._fits({**part, **piece}):
                    yield part
                    part = {}
                part.update(piece)
        if part:
            yield part

    async def _write_batch(self, batch: Batch) -> bool:
        """Write rows; return ``False`` if the role was lost."""
        self._busy_since_s = now_s()
        self._sending = batch.writes
        for rows in self._split(batch):
            result = await self._commit(rows)
            if isinstance(result, Rejected):
                self._postpone(batch, result)
                break
            if not result:
                return False
        else:
            for pending in batch.writes:
                for stored in pending.stored:
                    stored()
        self._busy_since_s = None
        self._sending = []
        return True

    def _postpone(self, batch: Batch, result: Rejected) -> None:
        """Schedule the writes of a rejected batch again, each alone."""
        alone = len(batch.writes) == 1
        wait_s = REJECTED_RETRY_S if alone else 0.0
        for pending in batch.writes:
            newer = self._pending.pop(pending.key, None)
            if newer is not None:
                pending.merge(newer)
            pending.retry_s = now_s() + wait_s
            self._pending[pending.key] = pending
        asyncio.get_running_loop().call_later(wait_s, self._wake.set)
        if alone:
            self._metrics.count("commits_rejected")
            self._log.write(
                LogEvent.COMMIT_REJECTED,
                job=batch.writes[0].key.key,
                table=batch.writes[0].key.table,
                reason=result.reason,
                rows=len(batch.rows),
                bytes=count_bytes(batch.rows),
            )

    async def _commit(self, values: Rows) -> bool | Rejected:
        """Retry a transaction until committed; ``False`` if role lost."""
        pause_s = RETRY_S
        had_unknown = False
        while True:
            answer = await commit_checked(
                self._store, self._transaction(values), COMMIT_TIMEOUT_S
            )
            if isinstance(answer, Committed):
                for key, value in values.items():
                    self.versions[key] = 0 if value is None else answer.version
                return True
            if isinstance(answer, Mismatch):
                if not self._holds_epoch(answer):
                    return False
                if self._adopt_versions(answer, values) and had_unknown:
                    return True
                continue
            if isinstance(answer, Rejected):
                return answer
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

    def _transaction(self, values: Rows) -> RowTransaction:
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

    def _adopt_versions(self, mismatch: Mismatch, values: Rows) -> bool:
        """Adopt the rows' present versions; return whether all are written.

        Only the holder of the newest epoch writes these rows, so a row with an
        unexpected version comes from an earlier attempt of this transaction.
        """
        written = True
        for key, value in values.items():
            row = mismatch.find(key)
            self.versions[key] = 0 if row is None else row.version
            stored = None if row is None else row.value
            written = written and stored == value
        return written


def count_bytes(rows: Rows) -> int:
    """Return the bytes that rows take in a transaction, at most."""
    return sum(
        ROW_OVERHEAD_BYTES + 4 * len(value or b"") // 3
        for value in rows.values()
    )
