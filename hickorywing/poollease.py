"""Hold the lease on a pool's controller role, by a row of the store.

A candidate takes over after it has watched the row stand still for a whole
lease time, sooner when the holder can't be reached by any entry that is asked,
or at once when the holder has released it. Time during which the store gives
no answers doesn't count: the holder could not renew either. The holder counts
its lease from the moment it sent the renewal.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import random

import msgspec

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.jobrows import epoch_key
from hickorywing.jobrows import lease_key
from hickorywing.jobrows import LeaseRow
from hickorywing.jobrows import LEASES
from hickorywing.leaserows import decode_epoch
from hickorywing.leaserows import decode_lease
from hickorywing.leaserows import name_of_outcome
from hickorywing.leaserows import read_holder_epoch
from hickorywing.leaserows import version_of
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
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

# A holder that dies leaves its pool without decisions for one lease, so the
# lease is short; one renewal that times out after a probe fits into it.
LEASE_S = 1.5
RENEW_EVERY_S = 0.4
# A candidate asks for the holder after this time without a renewal: longer
# than the usual pause between two, and what is granted to workers is counted
# from then on as if a successor had begun.
SUSPECT_AFTER_S = 0.6
RETRY_S = 0.2
# Keeps two candidates from writing in the same instant.
CANDIDATE_SPREAD_S = 0.1
WATCH_S = 0.5
# A process that has just started has registered within a few round trips.
ADMISSION_RETRY_S = 0.02
# For how long a stopping holder waits for the successor that has accepted: a
# few calls to a slow store. The rest of its grace time is for its callers.
HAND_OVER_S = 1.5


class PoolLease:
    """One process's part in holding a pool's lease.

    ``head_start_s`` is for how long it lets stronger candidates go first.
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
        self._vouched_s = 0.0
        self._store = store
        self._log = log
        self._metrics = metrics
        self._version = 0
        self._renewal = 0
        self._tried_since_s: float | None = None
        self._succession = succession or NoSuccession()
        self.head_start_s = head_start_s
        self._consented = 0
        self._consented_alone = False
        self._passing = False
        self._consent_given = asyncio.Event()
        self.released = False
        self._lost = asyncio.Event()
        # Set by what doesn't wait for the next renewal.
        self._stir = asyncio.Event()

    def holds(self) -> bool:
        """Tell whether the lease is surely held now."""
        return (
            self.renewed_s is not None
            and not self._lost.is_set()
            and now_s() - self.renewed_s < LEASE_S
        )

    def serves(self, epoch: int) -> bool:
        """Tell whether a term has begun here and not ended yet."""
        return (
            self.renewed_s is not None
            and self.epoch == epoch
            and not self._lost.is_set()
        )

    def unconfirmed_s(self) -> float:
        """Return for how long the lease has not been confirmed."""
        if self.renewed_s is None:
            return float("inf")
        return now_s() - self.renewed_s

    def alone_until_s(self) -> float:
        """Return a moment before which no successor's term has begun.

        A candidate watches the row until it may suspect this holder, unless
        the role was offered to it, or says that it can't read it. What is
        granted from this moment on may meet a successor.
        """
        if self.renewed_s is None:
            return float("-inf")
        watched_s = self.renewed_s + SUSPECT_AFTER_S
        return max(min(watched_s, self._offered_s), self._vouched_s)

    def expectation(self) -> RowExpectation:
        """Return what fails once another holder has taken over."""
        return RowExpectation(epoch_key(self.pool), self.epoch_version)

    def surrender(self, reason: str) -> None:
        """Give the role up because another holder was seen."""
        if not self._lost.is_set():
            self._log.write(
                LogEvent.ROLE_LOST,
                pool=self.pool,
                epoch=self.epoch,
                reason=reason,
            )
            self._lost.set()
            self._stir.set()

    def renew_soon(self) -> None:
        """Tell candidates without delay what has changed in the row."""
        self._stir.set()

    def can_take(self) -> bool:
        """Tell whether this candidate could take the role now."""
        return not self.released and self._store.is_reachable()

    def consent(self, epoch: int, alone: bool = False) -> None:
        """Take over at once, as the holder of a term has asked for it.

        ``alone`` tells that no other entry was asked, so there is nobody to
        let go first.
        """
        self._consented = epoch
        self._consented_alone = alone
        self._consent_given.set()

    async def run(self, serve: Callable[[], Awaitable[None]]) -> None:
        """Compete, and run ``serve`` during each term, until cancelled."""
        while not self.released:
            if not await self._acquire():
                return
            self._lost.clear()
            self._metrics.count("controller_terms", pool=self.pool)
            await self._hold(serve)

    async def _hold(self, serve: Callable[[], Awaitable[None]]) -> None:
        """Run one term; it ends when another holder is seen."""
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
        """Let a successor take over at once, and compete no more.

        One that accepts is left to take over while this holder goes on
        serving, so that running work keeps its leases for as long as that
        takes. Else the row says that the role is free.
        """
        self.released = True
        if not self.holds():
            return
        await self._pass_on()
        if self._lost.is_set():
            return
        self._lost.set()
        self._stir.set()
        answer = await self._store.commit(
            self._transaction(LeaseRow("", self.epoch, self._renewal + 1))
        )
        self._log.write(
            LogEvent.ROLE_RELEASED,
            pool=self.pool,
            epoch=self.epoch,
            outcome=name_of_outcome(answer),
        )

    async def _pass_on(self) -> None:
        """Hand the role to one entry, and wait for its term to begin."""
        self._offered_s = min(self._offered_s, now_s())
        if await self._succession.pass_on(self.epoch):
            # A renewal would change the row under the successor's write.
            self._passing = True
            await wait_for_event(self._lost, HAND_OVER_S)
            self._passing = False

    async def _acquire(self) -> bool:
        """Return once the lease is held; ``False`` after a release.

        The row is read once and then followed, as each renewal is news to
        every candidate and there may be dozens of them.
        """
        seen: StoredRow | None = None
        still_since: float | None = None
        version: int | None = None
        rows: dict[RowKey, StoredRow] = {}
        while not self.released:
            try:
                if version is None:
                    rows, version = await self._read_rows()
            except StoreUnavailable:
                still_since = None
                await asyncio.sleep(RETRY_S)
                continue
            at = now_s()
            row = rows.get(lease_key(self.pool))
            if still_since is None or version_of(row) != version_of(seen):
                seen, still_since = row, at
            lease = decode_lease(row)
            # The own name is that of an earlier process on this VM.
            vacant = (
                lease.holder in ("", self.name)
                or lease.epoch == self._consented
            )
            still_s = at - still_since
            admission = self._succession.admit(lease, vacant)
            if vacant and admission is None:
                await asyncio.sleep(ADMISSION_RETRY_S)
                continue
            if admission is not None and (
                vacant or await self._is_over(lease, still_s)
            ):
                if await self._take(rows, lease, admission):
                    return True
                still_since = version = None
                continue
            try:
                page = await self._wait_for_change(
                    version, self._count_wait_s(still_s)
                )
            except StoreUnavailable:
                still_since = version = None
                await asyncio.sleep(RETRY_S)
                continue
            if page is None:
                version = None
                continue
            version = page.version
            rows.update((changed.key, changed) for changed in page.rows)
        return False

    async def _is_over(self, lease: LeaseRow, still_s: float) -> bool:
        """Tell whether a lease that isn't renewed has run out or is lost."""
        if still_s >= LEASE_S:
            return True
        return still_s >= SUSPECT_AFTER_S and await self._succession.is_gone(
            lease
        )

    def _count_wait_s(self, still_s: float) -> float:
        """Return for how long a lease that isn't renewed is left alone."""
        if still_s < SUSPECT_AFTER_S:
            return SUSPECT_AFTER_S - still_s
        return max(RETRY_S, LEASE_S - still_s)

    async def _read_rows(self) -> tuple[dict[RowKey, StoredRow], int]:
        """Return the pool's rows and the version from which to follow them.

        The epoch is read and followed with the lease, as a further read would
        hold up a takeover at a slow store.
        """
        read = await self._store.read_part(LEASES, self.pool)
        return {row.key: row for row in read.rows}, read.version

    async def _wait_for_change(
        self, version: int, left_s: float
    ) -> FeedPage | None:
        """Return what has changed, at the latest when a lease time is over.

        Returns ``None`` if the row has to be read again: when the holder gives
        its consent, or the feed has a gap. Raises ``StoreUnavailable``.
        """
        self._consent_given.clear()
        consent = asyncio.ensure_future(self._consent_given.wait())
        change = asyncio.ensure_future(
            self._store.follow(LEASES, version, min(left_s, WATCH_S))
        )
        try:
            await asyncio.wait(
                (consent, change), return_when=asyncio.FIRST_COMPLETED
            )
            return change.result() if change.done() else None
        except HistoryLost:
            # A feed that loses its history at once must not be tried again
            # and again without a pause.
            await asyncio.sleep(RETRY_S)
            return None
        finally:
            consent.cancel()
            change.cancel()

    async def _take(
        self,
        rows: Mapping[RowKey, StoredRow],
        lease: LeaseRow,
        admission: tuple[RowExpectation, ...],
    ) -> bool:
        if not (self._consented_alone and lease.epoch == self._consented):
            pause_s = random.uniform(0, CANDIDATE_SPREAD_S)
            await asyncio.sleep(self.head_start_s + pause_s)
        row = rows.get(lease_key(self.pool))
        epoch_row = rows.get(epoch_key(self.pool))
        epoch = max(lease.epoch, decode_epoch(epoch_row)) + 1
        sent_s = now_s()
        wanted = LeaseRow(self.name, epoch, 0)
        answer = await self._store.commit(
            RowTransaction(
                (
                    RowExpectation(lease_key(self.pool), version_of(row)),
                    RowExpectation(
                        epoch_key(self.pool), version_of(epoch_row)
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
        self._tried_since_s = None
        self._offered_s = float("inf")
        self._vouched_s = 0.0
        self._log.write(
            LogEvent.ROLE_TAKEN,
            pool=self.pool,
            epoch=epoch,
            previous=lease.holder,
        )
        return True

    async def _renew_until_lost(self) -> None:
        while not self._lost.is_set():
            sent_s = now_s()
            confirmed = self._passing or await self._renew()
            # At a slow store the lease would run out during a further pause.
            left_s = max(0.0, sent_s + RENEW_EVERY_S - now_s())
            pause_s = left_s if confirmed else RETRY_S
            await wait_for_event(self._stir, pause_s)
            self._stir.clear()

    async def _renew(self) -> bool:
        """Try one renewal; tell whether it is confirmed."""
        wanted = LeaseRow(
            self.name,
            self.epoch,
            self._renewal + 1,
            self._succession.known_version(),
        )
        if self._tried_since_s is None:
            self._tried_since_s = now_s()
        # While the store reads well without it, a renewal is soon sent again.
        answer = await commit_checked(
            self._store, self._transaction(wanted), CHECK_AFTER_S
        )
        if isinstance(answer, Committed):
            self._renewed(wanted, answer.version)
            return True
        if isinstance(answer, Mismatch):
            return self._recognise(answer.find(lease_key(self.pool)))
        self._metrics.count("lease_renewals_failed", pool=self.pool)
        self._log.write(
            LogEvent.RENEWAL_FAILED,
            pool=self.pool,
            epoch=self.epoch,
            outcome=name_of_outcome(answer),
            store_reads=answer == Unknown(store_reads=True),
            unconfirmed_s=round(self.unconfirmed_s(), 3),
        )
        if await self._is_turned_away(answer):
            await self._hand_over()
        return False

    async def _is_turned_away(self, answer: Commit) -> bool:
        """Tell whether other entries may reach the store when this can't.

        A refusal may come from a busy partition, which is the same for all, so
        a read decides. A lost answer says itself whether reads were answered.
        """
        if isinstance(answer, Refused):
            return await read_holder_epoch(self._store, self.pool) is None
        return answer != Unknown(store_reads=True)

    async def _hand_over(self) -> None:
        """Give the role to an entry that reaches the store, if any does."""
        if self._lost.is_set():
            return
        asked_s = now_s()
        # An entry may accept and its answer be lost.
        self._offered_s = min(self._offered_s, asked_s)
        outcome = await self._succession.offer(self.epoch)
        if outcome.successor:
            self.surrender(f"handed to {outcome.successor}")
        elif outcome.newer_term:
            self.surrender(f"an entry knows of epoch {outcome.newer_term}")
        elif outcome.vouched:
            self._vouched_s = asked_s

    def _recognise(self, row: StoredRow | None) -> bool:
        """Take a row with this holder's name as an earlier lost renewal."""
        lease = decode_lease(row)
        if lease.holder == self.name and lease.epoch == self.epoch:
            self._renewed(lease, version_of(row))
            return True
        self.surrender(f"{lease.holder} holds epoch {lease.epoch}")
        return False

    def _renewed(self, lease: LeaseRow, version: int) -> None:
        """Count the lease from the first try that may have taken effect."""
        self._version = version
        self._renewal = lease.renewal
        self.renewed_s = self._tried_since_s
        self._tried_since_s = None
        self._offered_s = float("inf")

    def adopt_epoch_version(self, version: int) -> None:
        """Correct the version of the epoch row, as read from the store."""
        self.epoch_version = version

    def _transaction(self, lease: LeaseRow) -> RowTransaction:
        key = lease_key(self.pool)
        return RowTransaction(
            (RowExpectation(key, self._version),),
            (RowWrite(key, msgspec.msgpack.encode(lease)),),
        )
