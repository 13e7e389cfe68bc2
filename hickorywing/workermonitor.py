"""Follow the worker beside an agent: which one it is and what it runs."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
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
# After this many refused connections in a row the worker's process is assumed
# to have ended with all its runs. A single refusal may happen while the
# worker's listener is replaced.
MAX_REFUSALS = 2


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of a worker's clock.

    ``clock_ms`` is the worker's clock in milliseconds at the time ``read_s``,
    in seconds, of this process's clock.
    """

    clock_ms: int
    read_s: float

    def estimate_ms(self) -> int:
        """Estimate the worker's clock now, in milliseconds."""
        return self.clock_ms + int((now_s() - self.read_s) * 1000)


class WorkerMonitor:
    """Follows one worker by its announcements and by polling it.

    An announcement may arrive late, from an incarnation that has ended, so a
    worker counts as present only after it has answered a poll. The poll also
    carries the newest epoch; after it the worker accepts no order of an older
    epoch.
    """

    def __init__(
        self, agent_name: str, worker: Worker, log: DecisionLog
    ) -> None:
        self.epoch = 0
        self.announcement: WorkerAnnouncement | None = None
        self._agent_name = agent_name
        self._worker = worker
        self._log = log
        self._present = False
        self._last_ended = ""
        self._last_poll: PollResult | None = None
        self._clock: ClockReading | None = None
        self._lease_ms = 0
        self._granted_ms = 0
        self._acknowledged = 0
        self._busy = False
        self._silent = False
        self._refusals = 0
        self._report_number = 1
        self._closing = False
        self._report_changed = asyncio.Event()
        self._poll_due = asyncio.Event()
        self._poll_interrupted = asyncio.Event()

    @property
    def key(self) -> str:
        """Return the pool-wide name of the present incarnation, or ''."""
        if self.announcement is None:
            return ""
        return f"{self._agent_name}/{self.announcement.worker}"

    def close(self) -> None:
        """Answer the waiting watch, and answer later ones at once."""
        self._closing = True
        self._report_changed.set()

    # Announcements

    def announce(self, announcement: WorkerAnnouncement) -> bool:
        """Apply an announcement; return whether it is newer than the last."""
        last = self.announcement
        if last is not None:
            order = (announcement.born_ms, announcement.sequence)
            if order <= (last.born_ms, last.sequence):
                return False
        if last is None or announcement.worker != last.worker:
            self._follow_incarnation(announcement)
        elif announcement.draining != last.draining:
            self._log.write(
                LogEvent.WORKER_DRAINING
                if announcement.draining
                else LogEvent.WORKER_BACK,
                worker=self.key,
                remaining_ms=announcement.remaining_ms,
            )
            self.announcement = announcement
            self._publish_change()
        self.announcement = announcement
        if announcement.clock_ms:
            self._clock = ClockReading(announcement.clock_ms, now_s())
        return True

    def _follow_incarnation(self, announcement: WorkerAnnouncement) -> None:
        """Start to follow a new incarnation; the previous one has ended."""
        self._last_ended = self.key
        self.announcement = announcement
        self._present = False
        self._last_poll = None
        self._clock = None
        self._lease_ms = 0
        self._granted_ms = 0
        self._acknowledged = 0
        self._log.write(
            LogEvent.WORKER_ANNOUNCED,
            worker=self.key,
            replaces=self._last_ended,
            pool=announcement.pool,
        )
        self._poll_due.set()

    def leave(self, name: str) -> None:
        """Record that a worker has left; its runs have ended with it."""
        if self.announcement is None or self.announcement.name != name:
            return
        self._end_incarnation("it said so")

    def _end_incarnation(self, reason: str) -> None:
        """Record that the present incarnation has ended."""
        self._log.write(LogEvent.WORKER_LEFT, worker=self.key, reason=reason)
        self._last_ended = self.key
        self.announcement = None
        self._present = False
        self._silent = False
        self._last_poll = None
        self._publish_change()

    # Polling

    async def run(self) -> None:
        """Poll the worker whenever that is needed, until cancelled."""
        while True:
            announcement = self.announcement
            if announcement is None or not self._needs_poll():
                self._poll_due.clear()
                await self._poll_due.wait()
                continue
            await self._poll_once(announcement)

    def _needs_poll(self) -> bool:
        """Return whether a poll may show a change or end a silence."""
        return self._busy or self._silent or not self._present

    async def _poll_once(self, announcement: WorkerAnnouncement) -> None:
        # The first answer after a silence is reported without delay.
        may_wait = self._present and self._last_poll and not self._silent
        wait_s = POLL_WAIT_S if may_wait else 0.0
        epoch = self.epoch
        lease_ms = self._forward_lease(self._lease_ms)
        self._poll_interrupted.clear()
        try:
            poll = await self._await_poll(
                self._worker.poll(
                    announcement.name,
                    epoch,
                    lease_ms,
                    self._acknowledged,
                    wait_s,
                )
            )
        except WorkerSilent as error:
            self._record_silence(str(error))
            self._record_refusal(error)
            await asyncio.sleep(RETRY_S)
            return
        self._refusals = 0
        if poll is None:
            return
        if poll.born_ms != announcement.born_ms:
            await asyncio.sleep(RETRY_S)
            return
        if self.announcement is None or (
            self.announcement.worker != announcement.worker
        ):
            return
        self._apply_poll(poll, epoch)
        if any(end.number > self._acknowledged for end in poll.ended):
            self._poll_due.clear()
            await wait_for_event(self._poll_due, ACKNOWLEDGE_WAIT_S)

    def _forward_lease(self, lease_ms: int) -> int:
        """Return the lease that a call to the worker may carry, 0 for none.

        A call without an answer may still extend the lease. A silent worker
        gets no more leases, so that all its work ends at a known time.
        """
        if self._silent:
            return 0
        self._granted_ms = max(self._granted_ms, lease_ms)
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

    def _record_refusal(self, error: WorkerSilent) -> None:
        """Record an incarnation as ended if its process is gone.

        A worker that hangs or is cut off does not refuse connections, unlike
        one whose process has ended. Refusals don't count before the first
        answer, as the worker may not listen yet.
        """
        refused = isinstance(error, WorkerGone) and self._last_poll is not None
        self._refusals = self._refusals + 1 if refused else 0
        if self._refusals >= MAX_REFUSALS:
            self._refusals = 0
            self._end_incarnation(str(error))

    def _apply_poll(self, poll: PollResult, epoch: int) -> None:
        if self._silent:
            self._silent = False
            self._log.write(LogEvent.WORKER_ANSWERS, worker=self.key)
            self._publish_change()
        last = self._last_poll
        self._last_poll = poll
        self._clock = ClockReading(poll.clock_ms, now_s())
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
            self._lease_ms = max(self._lease_ms, order.lease_ms)
            if order.noted > self._acknowledged:
                self._acknowledged = order.noted
                self._poll_due.set()
            if order.busy != self._busy:
                self._busy = order.busy
                self._poll_due.set()
        if (
            order.seen == self._report_number
            and order.wait_s
            and not self._closing
        ):
            self._report_changed.clear()
            await wait_for_event(self._report_changed, order.wait_s)
        return self._make_report()

    def _make_report(self) -> WorkerReport:
        announcement = self.announcement
        poll = self._last_poll
        if announcement is None or not self._present or poll is None:
            return WorkerReport(
                self._report_number,
                self.epoch,
                left=self._last_ended,
                silent=self._silent,
            )
        return WorkerReport(
            number=self._report_number,
            epoch=self.epoch,
            pool=announcement.pool,
            worker=self.key,
            left=self._last_ended,
            zone=announcement.zone,
            capacity=announcement.capacity,
            labels=announcement.labels,
            draining=announcement.draining,
            remaining_ms=announcement.remaining_ms,
            clock_ms=0 if self._clock is None else self._clock.estimate_ms(),
            looked_ms=poll.clock_ms,
            silent=self._silent,
            granted_ms=self._granted_ms,
            running=poll.running,
            ended=tuple(
                end for end in poll.ended if end.number > self._acknowledged
            ),
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
        self._busy = True
        self._forward_lease(order.lease_ms)
        answer = await self._worker.start(order, self.announcement.name)
        self._poll_due.set()
        return answer

    def _check_start(self, order: StartOrder) -> OrderOutcome | None:
        if not self._record_epoch(order.epoch):
            return OrderOutcome.OLD_EPOCH
        if self.announcement is None or order.worker != self.key:
            return OrderOutcome.OTHER_WORKER
        if self.announcement.draining or self._silent:
            return OrderOutcome.REFUSED
        clock = self._clock
        if clock is None or clock.estimate_ms() > order.expires_ms:
            return OrderOutcome.LATE
        return None

    async def stop(self, order: StopOrder) -> OrderAnswer:
        """Forward a stop order."""
        if not self._record_epoch(order.epoch):
            return OrderAnswer(OrderOutcome.OLD_EPOCH)
        if self.announcement is None or order.worker != self.key:
            return OrderAnswer(OrderOutcome.OTHER_WORKER)
        self._busy = True
        answer = await self._worker.stop(order, self.announcement.name)
        self._poll_due.set()
        return answer


def summarize_runs(poll: PollResult) -> tuple:
    """Return what makes two polls differ: the running and the ended runs."""
    return (
        tuple((item.task, item.run) for item in poll.running),
        tuple(end.number for end in poll.ended),
    )
