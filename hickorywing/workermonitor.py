"""Follow the worker beside an agent: which one it is and what it runs."""

import asyncio
from collections.abc import Coroutine

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.incarnations import Incarnation
from hickorywing.incarnations import Incarnations
from hickorywing.logevents import LogEvent
from hickorywing.orders import EndedRun
from hickorywing.orders import OrderAnswer
from hickorywing.orders import OrderOutcome
from hickorywing.orders import StartOrder
from hickorywing.orders import StopOrder
from hickorywing.orders import WatchOrder
from hickorywing.orders import WorkerReport
from hickorywing.poolworker import PollResult
from hickorywing.poolworker import Worker
from hickorywing.poolworker import WorkerAnnouncement
from hickorywing.poolworker import WorkerGone
from hickorywing.poolworker import WorkerReplaced
from hickorywing.poolworker import WorkerSilent
from hickorywing.waiting import wait_for_event

__all__ = ["WorkerMonitor"]

# A poll returns early when a run ends, so its wait only bounds the delay with
# which a renewed lease and acknowledged ends reach the worker.
POLL_WAIT_S = 1.0
# After the worker has listed an end, the next poll waits this long for the
# controller to acknowledge it.
ACKNOWLEDGE_WAIT_S = 0.3
RETRY_S = 0.1
# For this long after an answer, the next call reaches the same incarnation: a
# worker takes longer to start.
MAX_ANSWER_AGE_S = 0.5
# After this many refused connections in a row the worker's process is assumed
# to have ended with all its runs. A single refusal may happen while the
# worker's listener is replaced.
MAX_REFUSALS = 2


class WorkerMonitor:
    """Follows one worker by its announcements and by polling it.

    A worker counts as present only after it has answered a poll. The poll also
    carries the newest epoch; after it the worker accepts no order of an older
    epoch.
    """

    def __init__(
        self, agent_name: str, worker: Worker, log: DecisionLog
    ) -> None:
        self.epoch = 0
        self._worker = worker
        self._log = log
        self._incarnations = Incarnations(
            agent_name, log, self._publish_change
        )
        self._present = False
        self._last_check_s = float("-inf")
        self._busy = False
        self._silent = False
        self._report_number = 1
        self._closing = False
        self._report_changed = asyncio.Event()
        self._poll_due = asyncio.Event()
        self._poll_waits = False
        self._poll_interrupted = asyncio.Event()

    @property
    def key(self) -> str:
        """Return the pool-wide name of the present incarnation, or ''."""
        return self._incarnations.key

    def close(self) -> None:
        """Answer the waiting watch, and answer later ones at once."""
        self._closing = True
        self._report_changed.set()

    # Announcements

    def announce(self, announcement: WorkerAnnouncement) -> bool:
        """Handle an announcement; return whether it is applied at once."""
        applied = self._incarnations.announce(announcement)
        if not self._present or self._incarnations.needs_check:
            self._request_check()
        return applied

    def leave(self, name: str) -> None:
        """Handle an announcement that a worker leaves."""
        if self._incarnations.announce_departure(name):
            self._request_check()

    def _request_check(self) -> None:
        """Poll the worker soon, to check what was announced of it."""
        self._poll_due.set()
        if self._poll_waits:
            self._poll_interrupted.set()

    # Polling

    async def run(self) -> None:
        """Poll the worker whenever that is needed, until cancelled."""
        while True:
            if self._incarnations.followed is None:
                self._incarnations.follow_next()
            followed = self._incarnations.followed
            if followed is None or not self._needs_poll():
                self._poll_due.clear()
                await self._poll_due.wait()
                continue
            await self._poll_once(followed)

    def _needs_poll(self) -> bool:
        """Return whether a poll may show a change or end a silence."""
        return (
            self._busy
            or self._silent
            or not self._present
            or self._incarnations.needs_check
        )

    def _choose_terms(self, followed: Incarnation) -> tuple[int, int]:
        """Return the lease and the acknowledged ends that a poll may carry.

        Both belong to one incarnation. A poll that may reach another one under
        the same name carries none, and the next one follows at once.
        """
        if not self._has_just_answered(followed):
            return 0, 0
        lease_ms = self._forward_lease(followed, followed.lease_ms)
        return lease_ms, followed.acknowledged

    def _has_just_answered(self, followed: Incarnation) -> bool:
        return (
            not self._silent
            and now_s() - followed.answered_s < MAX_ANSWER_AGE_S
            and not self._incarnations.may_have_restarted()
        )

    def _choose_wait_s(self, followed: Incarnation) -> float:
        """Return for how long the next poll may wait for an end of a run.

        The first answer after a silence or a pause is reported without delay.
        Checks of announcements follow each other with pauses.
        """
        if not self._present or not followed.is_confirmed:
            return 0.0
        if self._incarnations.needs_check:
            return max(0.0, self._last_check_s + RETRY_S - now_s())
        return POLL_WAIT_S if self._has_just_answered(followed) else 0.0

    async def _poll_once(self, followed: Incarnation) -> None:
        incarnations = self._incarnations
        name = followed.announcement.name
        wait_s = self._choose_wait_s(followed)
        checking = incarnations.needs_check
        checked = incarnations.list_unconfirmed()
        epoch = self.epoch
        lease_ms, acknowledged = self._choose_terms(followed)
        asked_s = now_s()
        self._poll_interrupted.clear()
        self._poll_waits = wait_s == POLL_WAIT_S
        try:
            poll = await self._await_poll(
                self._worker.poll(name, epoch, lease_ms, acknowledged, wait_s)
            )
        except WorkerReplaced as error:
            incarnations.end_name(name, checked, str(error))
            self._end_presence()
            return
        except WorkerSilent as error:
            self._record_silence(str(error))
            self._record_refusal(followed, error)
            if not incarnations.is_confirmed:
                incarnations.follow_next()
            await asyncio.sleep(RETRY_S)
            return
        finally:
            self._poll_waits = False
        followed.refusals = 0
        if poll is None:
            return
        confirmed = incarnations.confirm(poll)
        if incarnations.followed is not followed:
            self._end_presence()
        if not confirmed:
            return
        self._apply_poll(incarnations.followed, poll, asked_s, epoch)
        incarnations.check(checked, poll)
        if checking:
            self._last_check_s = now_s()
        if self._find_unacknowledged():
            self._poll_due.clear()
            await wait_for_event(self._poll_due, ACKNOWLEDGE_WAIT_S)

    def _end_presence(self) -> None:
        """Forget the presence of an incarnation that has ended."""
        self._present = False
        self._silent = False

    def _find_unacknowledged(self) -> tuple[EndedRun, ...]:
        """Return the listed ends that the worker must not forget yet."""
        followed = self._incarnations.followed
        return tuple(
            end
            for end in followed.poll.ended
            if end.number > followed.acknowledged
        )

    def _forward_lease(self, followed: Incarnation, lease_ms: int) -> int:
        """Return the lease that a call to the worker may carry, 0 for none.

        A call without an answer may still extend the lease. A silent worker
        gets no more leases, so that all its work ends at a known time.
        """
        if self._silent:
            return 0
        followed.granted_ms = max(followed.granted_ms, lease_ms)
        return lease_ms

    async def _await_poll(
        self, poll: Coroutine[None, None, PollResult]
    ) -> PollResult | None:
        """Return the result of a poll, or ``None`` if it is interrupted.

        A poll may wait until a run ends. A new epoch interrupts it, as the
        worker must receive it at once: nothing is placed there before.
        """
        poll_task = asyncio.ensure_future(poll)
        interrupted = asyncio.ensure_future(self._poll_interrupted.wait())
        try:
            await asyncio.wait(
                (poll_task, interrupted), return_when=asyncio.FIRST_COMPLETED
            )
            return poll_task.result() if poll_task.done() else None
        finally:
            poll_task.cancel()
            interrupted.cancel()

    def _record_silence(self, reason: str) -> None:
        if not self._silent:
            self._silent = True
            self._log.write(
                LogEvent.WORKER_SILENT, worker=self.key, reason=reason
            )
            self._publish_change()

    def _record_refusal(
        self, followed: Incarnation, error: WorkerSilent
    ) -> None:
        """Record an incarnation as ended if its process is gone.

        A worker that hangs or is cut off does not refuse connections, unlike
        one whose process has ended. Refusals don't count before the first
        answer, as the worker may not listen yet.
        """
        refused = isinstance(error, WorkerGone) and followed.is_confirmed
        followed.refusals = followed.refusals + 1 if refused else 0
        # A departure that was announced is confirmed by one refusal.
        limit = 1 if self._incarnations.is_leaving else MAX_REFUSALS
        if followed.refusals >= limit:
            self._incarnations.end(str(error))
            self._end_presence()

    def _apply_poll(
        self,
        followed: Incarnation,
        poll: PollResult,
        asked_s: float,
        epoch: int,
    ) -> None:
        if self._silent:
            self._silent = False
            self._log.write(LogEvent.WORKER_ANSWERS, worker=self.key)
            self._publish_change()
        last = followed.poll
        followed.record_poll(poll, asked_s)
        if not self._present and epoch == self.epoch:
            self._present = True
            self._publish_change()
        elif last is None or summarize_runs(last) != summarize_runs(poll):
            self._publish_change()

    def _publish_change(self) -> None:
        """Number a changed report and answer the waiting watch."""
        self._report_number += 1
        self._report_changed.set()

    # Orders

    def _record_epoch(self, epoch: int) -> bool:
        """Record the epoch of an order; return whether it is the newest."""
        if epoch > self.epoch:
            self._log.write(LogEvent.EPOCH_SEEN, epoch=epoch, last=self.epoch)
            self.epoch = epoch
            self._present = False
            self._poll_due.set()
            self._poll_interrupted.set()
        return epoch == self.epoch

    async def watch(self, order: WatchOrder) -> WorkerReport:
        """Renew the lease and wait for a changed report; return the report.

        The wait ends after ``order.wait_s`` seconds. A report newer than the
        one that the controller has seen is returned at once.
        """
        if self._record_epoch(order.epoch) and order.worker == self.key:
            self._record_terms(order)
        if (
            order.seen == self._report_number
            and order.wait_s
            and not self._closing
        ):
            self._report_changed.clear()
            await wait_for_event(self._report_changed, order.wait_s)
        return self._make_report()

    def _record_terms(self, order: WatchOrder) -> None:
        """Record the lease and the acknowledged ends of a watch."""
        followed = self._incarnations.followed
        if followed is not None:
            followed.lease_ms = max(followed.lease_ms, order.lease_ms)
            if order.noted > followed.acknowledged:
                followed.acknowledged = order.noted
                self._poll_due.set()
        if order.busy != self._busy:
            self._busy = order.busy
            self._poll_due.set()

    def _make_report(self) -> WorkerReport:
        followed = self._incarnations.followed
        if followed is None or not self._present or not followed.is_confirmed:
            return WorkerReport(
                self._report_number,
                self.epoch,
                left=self._incarnations.last_ended,
                silent=self._silent,
                crashed=tuple(self._incarnations.crashed),
            )
        announcement = followed.announcement
        return WorkerReport(
            number=self._report_number,
            epoch=self.epoch,
            pool=announcement.pool,
            worker=self.key,
            left=self._incarnations.last_ended,
            zone=announcement.zone,
            capacity=announcement.capacity,
            labels=announcement.labels,
            draining=announcement.draining,
            remaining_ms=announcement.remaining_ms,
            clock_ms=followed.clock.estimate_ms(),
            looked_ms=followed.poll.clock_ms,
            asked_ago_ms=int((now_s() - followed.asked_s) * 1000),
            silent=self._silent,
            granted_ms=followed.granted_ms,
            running=followed.poll.running,
            ended=self._find_unacknowledged(),
            crashed=tuple(self._incarnations.crashed),
        )

    async def start(self, order: StartOrder) -> OrderAnswer:
        """Forward a start order, unless it must not reach the worker."""
        refusal = self._check_start(order)
        if refusal is not None:
            self._log.write(
                LogEvent.START_REFUSED,
                task=order.task,
                run=order.run,
                epoch=order.epoch,
                reason=refusal,
            )
            return OrderAnswer(refusal)
        followed = self._incarnations.followed
        self._busy = True
        self._forward_lease(followed, order.lease_ms)
        announcement = followed.announcement
        answer = await self._worker.start(order, announcement.name)
        self._poll_due.set()
        if answer.born_ms not in (0, announcement.born_ms):
            # The worker has restarted under its name.
            return OrderAnswer(
                OrderOutcome.UNKNOWN, reason="another life has answered"
            )
        return answer

    def _check_start(self, order: StartOrder) -> OrderOutcome | None:
        if not self._record_epoch(order.epoch):
            return OrderOutcome.OLD_EPOCH
        followed = self._incarnations.followed
        if (
            followed is None
            or order.worker != followed.key
            or not followed.is_confirmed
            or self._incarnations.may_have_restarted()
        ):
            return OrderOutcome.OTHER_WORKER
        if followed.announcement.draining or self._silent:
            return OrderOutcome.REFUSED
        if not meets_terms(followed.announcement, order):
            return OrderOutcome.REFUSED
        clock = followed.clock
        if clock is None or clock.estimate_ms() > order.expires_ms:
            return OrderOutcome.LATE
        return None

    async def stop(self, order: StopOrder) -> OrderAnswer:
        """Forward a stop order."""
        if not self._record_epoch(order.epoch):
            return OrderAnswer(OrderOutcome.OLD_EPOCH)
        followed = self._incarnations.followed
        if followed is None or order.worker != followed.key:
            return OrderAnswer(OrderOutcome.OTHER_WORKER)
        self._busy = True
        answer = await self._worker.stop(order, followed.announcement.name)
        self._poll_due.set()
        return answer


def meets_terms(announcement: WorkerAnnouncement, order: StartOrder) -> bool:
    """Return whether a worker still has what a start was checked against.

    Its last announcement may be newer than the report that the controller
    had when it sent the order.
    """
    if order.label and order.label not in announcement.labels:
        return False
    return order.capacity is None or order.capacity.fits_in(
        announcement.capacity
    )


def summarize_runs(poll: PollResult) -> tuple:
    """Return what makes two polls differ: the running and the ended runs."""
    return (
        tuple((item.task, item.run) for item in poll.running),
        tuple(end.number for end in poll.ended),
    )
