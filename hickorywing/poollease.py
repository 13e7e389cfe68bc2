"""Hold the lease on a pool's controller role in a row of the store.

A candidate takes over after it has seen the lease row unchanged for a whole
lease (``LEASE_S``), earlier when none of the entries that are asked can reach
the holder, or at once when the holder has released the role. Time during which
the store does not answer is not counted, because the holder could not renew
either. The holder counts its lease from the moment it sent the renewal.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import random

import msgspec

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.leaserows import decode_epoch
from hickorywing.leaserows import decode_lease
from hickorywing.leaserows import format_outcome
from hickorywing.leaserows import get_version
from hickorywing.leaserows import read_holder_epoch
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.poolrows import epoch_key
from hickorywing.poolrows import lease_key
from hickorywing.poolrows import LeaseRow
from hickorywing.poolrows import LEASES
from hickorywing.rows import CHECK_AFTER_S
from hickorywing.rows import Commit
from hickorywing.rows import commit_checked
from hickorywing.rows import Committed
from hickorywing.rows import FeedPage
from hickorywing.rows import HistoryLost
from hickorywing.rows import Mismatch
from hickorywing.rows import Refused
from hickorywing.rows import RowExpectation
from hickorywing.rows import RowKey
from hickorywing.rows import RowStore
from hickorywing.rows import RowTransaction
from hickorywing.rows import RowWrite
from hickorywing.rows import StoredRow
from hickorywing.rows import StoreUnavailable
from hickorywing.rows import Unknown
from hickorywing.succession import NoSuccession
from hickorywing.succession import Succession
from hickorywing.waiting import wait_for_event

__all__ = [
    "LEASE_S",
    "SUSPECT_AFTER_S",
    "PoolLease",
]

# While the lease of a dead holder runs, its pool gets no decisions, so the
# lease is short. It still has room for one renewal that times out after its
# check read.
LEASE_S = 1.5
RENEW_EVERY_S = 0.4
# A candidate starts to check whether the holder is reachable after this time
# without a renewal. It is longer than the usual pause between two renewals.
# From then on, leases granted to workers are treated as if a successor's term
# had begun.
SUSPECT_AFTER_S = 0.6
RETRY_S = 0.2
# Keeps two candidates from writing at the same moment.
TAKEOVER_JITTER_S = 0.1
FEED_WAIT_S = 0.5
# A process that has just started registers within a few round trips.
ADMISSION_RETRY_S = 0.02
# How long a holder that stops waits for the term of the successor that has
# accepted: enough for a few calls to a slow store. The rest of its grace
# period is left for its callers.
HANDOVER_TIMEOUT_S = 1.5


class PoolLease:
    """Competes for a pool's lease and renews it on behalf of one process.

    ``head_start_s`` is the time in seconds for which this candidate holds back
    before a takeover, so that stronger candidates go first.
    """

    def __init__(
        self,
        pool: str,
        name: str,
        store: RowStore,
        log: DecisionLog,
        metrics: Metrics,
        succession: Succession | None = None,
        head_start_s: float = 0.0,
    ) -> None:
        self.pool = pool
        self.name = name
        self.epoch = 0
        self.epoch_version = 0
        self.renewed_s: float | None = None
        self._offered_s = float("inf")
        self._peers_confirmed_s = 0.0
        self._store = store
        self._log = log
        self._metrics = metrics
        self._version = 0
        self._renewal = 0
        self._first_attempt_s: float | None = None
        self._succession = succession or NoSuccession()
        self.head_start_s = head_start_s
        self._accepted_epoch = 0
        self._sole_candidate = False
        self._handing_over = False
        self._handover_accepted = asyncio.Event()
        self.released = False
        self._lost = asyncio.Event()
        self._checking: asyncio.Task[None] | None = None
        # Interrupts the pause before the next renewal.
        self._wake = asyncio.Event()

    def holds(self) -> bool:
        """Return whether the lease is confirmed and has not expired."""
        return (
            self.renewed_s is not None
            and not self._lost.is_set()
            and now_s() - self.renewed_s < LEASE_S
        )

    def is_serving(self, epoch: int) -> bool:
        """Return whether the term ``epoch`` has begun here and has not ended.

        The lease may meanwhile have expired, as long as no other holder was
        seen.
        """
        return (
            self.renewed_s is not None
            and self.epoch == epoch
            and not self._lost.is_set()
        )

    def unconfirmed_s(self) -> float:
        """Return the seconds since the start of the last confirmed renewal.

        The result is infinite outside a term.
        """
        if self.renewed_s is None:
            return float("inf")
        return now_s() - self.renewed_s

    def no_successor_before_s(self) -> float:
        """Return a time before which no successor's term can have begun.

        A candidate watches the row for ``SUSPECT_AFTER_S`` before it may
        suspect this holder, except when the role was offered to it. The time
        moves on while all other entries confirm that they can't read the
        store. A lease granted to a worker after this time may overlap with a
        successor's term.
        """
        if self.renewed_s is None:
            return float("-inf")
        watched_s = self.renewed_s + SUSPECT_AFTER_S
        return max(min(watched_s, self._offered_s), self._peers_confirmed_s)

    def expectation(self) -> RowExpectation:
        """Return the expectation that fails once another holder took over."""
        return RowExpectation(epoch_key(self.pool), self.epoch_version)

    def step_down(self, reason: str) -> None:
        """Step down because another holder was seen.

        The lease row is left as it is; ``reason`` is logged.
        """
        if not self._lost.is_set():
            self._log.write(
                LogEvent.ROLE_LOST,
                pool=self.pool,
                epoch=self.epoch,
                reason=reason,
            )
            self._lost.set()
            self._wake.set()

    def check_role(self) -> None:
        """Ask the store whether there is a newer term, as somebody claims.

        A claim alone doesn't end the term. The row is read and not renewed, as
        a renewal would make a successor's write fail.
        """
        if self._checking is None or self._checking.done():
            self._checking = asyncio.ensure_future(self._check_role())

    async def _check_role(self) -> None:
        """Step down if the store has a newer term, once it answers."""
        checked = self.epoch
        while self.is_serving(checked):
            epoch = await read_holder_epoch(self._store, self.pool)
            if epoch is None:
                await asyncio.sleep(RETRY_S)
                continue
            if epoch > checked and self.is_serving(checked):
                self.step_down(f"the store has epoch {epoch}")
            return

    def request_renewal(self) -> None:
        """Renew without delay, so that candidates see changes in the row."""
        self._wake.set()

    def can_take_over(self) -> bool:
        """Return whether this candidate could take over the role now."""
        return not self.released and self._store.is_reachable()

    def accept_handover(
        self, epoch: int, sole_candidate: bool = False
    ) -> None:
        """Allow a takeover of the term ``epoch`` without waiting.

        The holder of that term has asked for it. ``sole_candidate`` says that
        it asked no other entry, so this candidate need not hold back for
        stronger ones.
        """
        self._accepted_epoch = epoch
        self._sole_candidate = sole_candidate
        self._handover_accepted.set()

    async def run(self, serve: Callable[[], Awaitable[None]]) -> None:
        """Compete for the role until it is released or the task is cancelled.

        ``serve`` runs during each term and is cancelled at its end.
        """
        while not self.released:
            if not await self._acquire():
                return
            self._lost.clear()
            self._metrics.count("controller_terms", pool=self.pool)
            await self._hold(serve)

    async def _hold(self, serve: Callable[[], Awaitable[None]]) -> None:
        """Run one term until ``serve`` returns or the role is lost."""
        serving = asyncio.ensure_future(serve())
        renewing = asyncio.ensure_future(self._renew_until_lost())
        try:
            await asyncio.wait(
                (serving, renewing), return_when=asyncio.FIRST_COMPLETED
            )
            if serving.done() and not serving.cancelled():
                serving.result()
        finally:
            self.renewed_s = None
            for task in (serving, renewing):
                task.cancel()
            await asyncio.gather(serving, renewing, return_exceptions=True)

    async def release(self) -> None:
        """Hand over the role before a planned stop and stop competing for it.

        If another entry accepts the role, this holder goes on serving until
        the successor's term begins, so that the leases of running work don't
        expire. Otherwise the lease row is written without a holder.
        """
        self.released = True
        if not self.holds():
            return
        await self._hand_over_planned()
        if self._lost.is_set():
            return
        self._lost.set()
        self._wake.set()
        answer = await self._store.commit(
            self._transaction(LeaseRow("", self.epoch, self._renewal + 1))
        )
        self._log.write(
            LogEvent.ROLE_RELEASED,
            pool=self.pool,
            epoch=self.epoch,
            outcome=format_outcome(answer),
        )

    async def _hand_over_planned(self) -> None:
        """Hand the role to one entry and wait for its term to begin."""
        self._offered_s = min(self._offered_s, now_s())
        if await self._succession.hand_over(self.epoch):
            # A renewal would change the row and make the successor's write
            # fail.
            self._handing_over = True
            await wait_for_event(self._lost, HANDOVER_TIMEOUT_S)
            self._handing_over = False

    async def _acquire(self) -> bool:
        """Wait until the lease is held; return ``False`` after a release.

        The rows are read once and then followed by the changefeed, because
        every renewal is seen by each of possibly dozens of candidates.
        """
        last_row: StoredRow | None = None
        unchanged_since_s: float | None = None
        version: int | None = None
        rows: dict[RowKey, StoredRow] = {}
        while not self.released:
            try:
                if version is None:
                    rows, version = await self._read_rows()
            except StoreUnavailable:
                unchanged_since_s = None
                await asyncio.sleep(RETRY_S)
                continue
            now = now_s()
            row = rows.get(lease_key(self.pool))
            if unchanged_since_s is None or get_version(row) != get_version(
                last_row
            ):
                last_row, unchanged_since_s = row, now
            lease = decode_lease(row)
            # This entry's own name comes from an earlier process on this VM.
            vacant = (
                lease.holder in ("", self.name)
                or lease.epoch == self._accepted_epoch
            )
            unchanged_s = now - unchanged_since_s
            admission = self._succession.admit(lease, vacant)
            if vacant and admission is None:
                await asyncio.sleep(ADMISSION_RETRY_S)
                continue
            if admission is not None and (
                vacant or await self._may_take_over(lease, unchanged_s)
            ):
                if await self._take_over(rows, lease, admission):
                    return True
                unchanged_since_s = version = None
                continue
            try:
                page = await self._wait_for_change(
                    version, self._time_to_next_check_s(unchanged_s)
                )
            except StoreUnavailable:
                unchanged_since_s = version = None
                await asyncio.sleep(RETRY_S)
                continue
            if page is None:
                version = None
                continue
            version = page.version
            rows.update((changed.key, changed) for changed in page.rows)
        return False

    async def _may_take_over(
        self, lease: LeaseRow, unchanged_s: float
    ) -> bool:
        """Return whether a lease has expired or its holder is gone.

        ``unchanged_s`` is how long the row has not changed, in seconds.
        """
        if unchanged_s >= LEASE_S:
            return True
        return (
            unchanged_s >= SUSPECT_AFTER_S
            and await self._succession.is_gone(lease)
        )

    def _time_to_next_check_s(self, unchanged_s: float) -> float:
        """Return the seconds until an unchanged row is to be checked again."""
        if unchanged_s < SUSPECT_AFTER_S:
            return SUSPECT_AFTER_S - unchanged_s
        return max(RETRY_S, LEASE_S - unchanged_s)

    async def _read_rows(self) -> tuple[dict[RowKey, StoredRow], int]:
        """Return the pool's lease rows and the version to follow them from.

        The epoch row is read and followed together with the lease row, as a
        separate read would delay a takeover while the store is slow.
        """
        read = await self._store.read_part(LEASES, self.pool)
        return {row.key: row for row in read.rows}, read.version

    async def _wait_for_change(
        self, version: int, left_s: float
    ) -> FeedPage | None:
        """Return the next changes, or an empty page after a limited time.

        The wait ends after ``left_s`` or ``FEED_WAIT_S``, whichever is
        shorter. Returns ``None`` if the rows must be read again: when this
        candidate has accepted a handover, or when the feed has a gap. Raises
        ``StoreUnavailable``.
        """
        self._handover_accepted.clear()
        acceptance = asyncio.ensure_future(self._handover_accepted.wait())
        change = asyncio.ensure_future(
            self._store.follow(LEASES, version, min(left_s, FEED_WAIT_S))
        )
        try:
            await asyncio.wait(
                (acceptance, change), return_when=asyncio.FIRST_COMPLETED
            )
            return change.result() if change.done() else None
        except HistoryLost:
            # Don't retry in a tight loop if the feed keeps losing its history.
            await asyncio.sleep(RETRY_S)
            return None
        finally:
            acceptance.cancel()
            change.cancel()

    async def _take_over(
        self,
        rows: Mapping[RowKey, StoredRow],
        lease: LeaseRow,
        admission: tuple[RowExpectation, ...],
    ) -> bool:
        """Write the rows of a new term; return whether that worked.

        The commit fails if the lease or epoch row has changed since it was
        read, or if one of the expectations in ``admission`` doesn't hold.
        """
        if not (self._sole_candidate and lease.epoch == self._accepted_epoch):
            pause_s = random.uniform(0, TAKEOVER_JITTER_S)
            await asyncio.sleep(self.head_start_s + pause_s)
        row = rows.get(lease_key(self.pool))
        epoch_row = rows.get(epoch_key(self.pool))
        epoch = max(lease.epoch, decode_epoch(epoch_row)) + 1
        sent_s = now_s()
        wanted = LeaseRow(self.name, epoch, 0)
        answer = await self._store.commit(
            RowTransaction(
                (
                    RowExpectation(lease_key(self.pool), get_version(row)),
                    RowExpectation(
                        epoch_key(self.pool), get_version(epoch_row)
                    ),
                    *admission,
                ),
                (
                    RowWrite(
                        lease_key(self.pool), msgspec.msgpack.encode(wanted)
                    ),
                    RowWrite(
                        epoch_key(self.pool), msgspec.msgpack.encode(epoch)
                    ),
                ),
            )
        )
        if not isinstance(answer, Committed):
            return False
        self.epoch = epoch
        self.epoch_version = answer.version
        self._version = answer.version
        self._renewal = 0
        self.renewed_s = sent_s
        self._first_attempt_s = None
        self._offered_s = float("inf")
        self._peers_confirmed_s = 0.0
        self._log.write(
            LogEvent.ROLE_TAKEN,
            pool=self.pool,
            epoch=epoch,
            previous=lease.holder,
        )
        return True

    async def _renew_until_lost(self) -> None:
        """Renew the lease regularly; pause renewals during a handover."""
        while not self._lost.is_set():
            sent_s = now_s()
            confirmed = self._handing_over or await self._renew()
            # While the store is slow, a further pause would let the lease
            # expire.
            left_s = max(0.0, sent_s + RENEW_EVERY_S - now_s())
            pause_s = left_s if confirmed else RETRY_S
            await wait_for_event(self._wake, pause_s)
            self._wake.clear()

    async def _renew(self) -> bool:
        """Attempt one renewal; return whether it is confirmed."""
        wanted = LeaseRow(
            self.name,
            self.epoch,
            self._renewal + 1,
            self._succession.known_version(),
        )
        if self._first_attempt_s is None:
            self._first_attempt_s = now_s()
        # If the store answers reads quickly without showing the renewal, the
        # renewal was lost and is sent again soon.
        answer = await commit_checked(
            self._store, self._transaction(wanted), CHECK_AFTER_S
        )
        if isinstance(answer, Committed):
            self._apply_renewal(wanted, answer.version)
            return True
        if isinstance(answer, Mismatch):
            return self._handle_changed_row(answer.find(lease_key(self.pool)))
        self._metrics.count("lease_renewals_failed", pool=self.pool)
        self._log.write(
            LogEvent.RENEWAL_FAILED,
            pool=self.pool,
            epoch=self.epoch,
            outcome=format_outcome(answer),
            store_reads=answer == Unknown(store_reads=True),
            unconfirmed_s=round(self.unconfirmed_s(), 3),
        )
        if await self._may_others_reach_store(answer):
            await self._offer_role()
        return False

    async def _may_others_reach_store(self, answer: Commit) -> bool:
        """Return whether others may reach the store though this entry can't.

        A refusal may come from a busy partition, which refuses all entries
        alike, so a read decides. A commit without an answer says itself
        whether reads were answered meanwhile.
        """
        if isinstance(answer, Refused):
            return await read_holder_epoch(self._store, self.pool) is None
        return answer != Unknown(store_reads=True)

    async def _offer_role(self) -> None:
        """Offer the role to other entries and step down if one accepts."""
        if self._lost.is_set():
            return
        asked_s = now_s()
        # The answer of an entry that accepts may be lost, so count from here.
        self._offered_s = min(self._offered_s, asked_s)
        outcome = await self._succession.offer(self.epoch)
        if outcome.successor:
            self.step_down(f"handed to {outcome.successor}")
        elif outcome.newer_term:
            self.step_down(f"an entry knows of epoch {outcome.newer_term}")
        elif outcome.vouched:
            self._peers_confirmed_s = asked_s

    def _handle_changed_row(self, row: StoredRow | None) -> bool:
        """Handle a renewal that failed because the row had another version.

        If the row still names this holder and epoch, an earlier renewal whose
        answer was lost has taken effect: adopt its version and return
        ``True``. Otherwise step down.
        """
        lease = decode_lease(row)
        if lease.holder == self.name and lease.epoch == self.epoch:
            self._apply_renewal(lease, get_version(row))
            return True
        self.step_down(f"{lease.holder} holds epoch {lease.epoch}")
        return False

    def _apply_renewal(self, lease: LeaseRow, version: int) -> None:
        """Extend the lease from the first attempt that may have worked."""
        self._version = version
        self._renewal = lease.renewal
        self.renewed_s = self._first_attempt_s
        self._first_attempt_s = None
        self._offered_s = float("inf")

    def adopt_epoch_version(self, version: int) -> None:
        """Set the version of the epoch row to the one read from the store."""
        self.epoch_version = version

    def _transaction(self, lease: LeaseRow) -> RowTransaction:
        key = lease_key(self.pool)
        return RowTransaction(
            (RowExpectation(key, self._version),),
            (RowWrite(key, msgspec.msgpack.encode(lease)),),
        )
