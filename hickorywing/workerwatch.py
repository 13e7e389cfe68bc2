"""Know the worker beside an agent: who it is, and what it runs."""

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
from hickorywing.waiting import wait_for_event
from hickorywing.worker import Announcement
from hickorywing.worker import Look
from hickorywing.worker import Worker
from hickorywing.worker import WorkerGone
from hickorywing.worker import WorkerSilent

__all__ = ["WorkerWatch"]

# A look returns early when a run ends, so the wait only bounds how late a
# renewed lease and noted ends reach the worker.
LOOK_WAIT_S = 1.0
# After an end was listed, the next look waits for the controller to note it.
NOTE_WAIT_S = 0.3
RETRY_S = 0.1
# A worker whose process is gone runs nothing. A second refusal rules out one
# that was met while a listener was replaced.
GONE_AFTER_REFUSALS = 2


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A worker's clock as read at a moment of this process's clock."""

    clock_ms: int
    read_s: float

    def estimate_ms(self) -> int:
        """Return the worker's clock now."""
        return self.clock_ms + int((now_s() - self.read_s) * 1000)


class WorkerWatch:
    """Follows one worker by its announcements and by looking at it.

    An announcement may come late, from an incarnation that is over, so a
    worker counts as present only once it has answered a look. The look also
    shows it the newest epoch, after which it takes no order of an older one.
    """

    def __init__(self, node: str, worker: Worker, log: DecisionLog) -> None:
        self.epoch = 0
        self.announcement: Announcement | None = None
        self._node = node
        self._worker = worker
        self._log = log
        self._present = False
        self._left = ""
        self._look: Look | None = None
        self._clock: ClockReading | None = None
        self._lease_ms = 0
        self._granted_ms = 0
        self._noted = 0
        self._busy = False
        self._silent = False
        self._refusals = 0
        self._number = 1
        self._closing = False
        self._news = asyncio.Event()
        self._wake = asyncio.Event()
        self._interrupt = asyncio.Event()

    @property
    def key(self) -> str:
        """Return the name of the present incarnation in the pool."""
        if self.announcement is None:
            return ""
        return f"{self._node}/{self.announcement.worker}"

    def close(self) -> None:
        """Answer the waiting watch, and let none wait from now on."""
        self._closing = True
        self._news.set()

    # Announcements

    def announce(self, announcement: Announcement) -> bool:
        """Take in an announcement; tell whether it was a newer one."""
        last = self.announcement
        if last is not None:
            order = (announcement.born_ms, announcement.sequence)
            if order <= (last.born_ms, last.sequence):
                return False
        if last is None or announcement.worker != last.worker:
            self._begin(announcement)
        elif announcement.draining != last.draining:
            self._log.write(
                LogEvent.WORKER_DRAINING
                if announcement.draining
                else LogEvent.WORKER_BACK,
                worker=self.key,
                remaining_ms=announcement.remaining_ms,
            )
            self.announcement = announcement
            self._tell()
        self.announcement = announcement
        if announcement.clock_ms:
            self._clock = ClockReading(announcement.clock_ms, now_s())
        return True

    def _begin(self, announcement: Announcement) -> None:
        """Begin to follow a new incarnation."""
        self._left = self.key
        self.announcement = announcement
        self._present = False
        self._look = None
        self._clock = None
        self._lease_ms = 0
        self._granted_ms = 0
        self._noted = 0
        self._log.write(
            LogEvent.WORKER_ANNOUNCED,
            worker=self.key,
            replaces=self._left,
            pool=announcement.pool,
        )
        self._wake.set()

    def leave(self, name: str) -> None:
        """Note that a worker has left; its runs have ended with it."""
        if self.announcement is None or self.announcement.name != name:
            return
        self._end("it said so")

    def _end(self, reason: str) -> None:
        """Take in that the present incarnation is over."""
        self._log.write(LogEvent.WORKER_LEFT, worker=self.key, reason=reason)
        self._left = self.key
        self.announcement = None
        self._present = False
        self._silent = False
        self._look = None
        self._tell()

    # Looking

    async def run(self) -> None:
        """Look at the worker while there is a reason to, until cancelled."""
        while True:
            announcement = self.announcement
            if announcement is None or not self._has_reason_to_look():
                self._wake.clear()
                await self._wake.wait()
                continue
            await self._look_once(announcement)

    def _has_reason_to_look(self) -> bool:
        """Tell whether a look may bring news, or end a silence."""
        return self._busy or self._silent or not self._present

    async def _look_once(self, announcement: Announcement) -> None:
        # The first answer after a silence is news by itself.
        may_wait = self._present and self._look and not self._silent
        wait_s = LOOK_WAIT_S if may_wait else 0.0
        epoch = self.epoch
        lease_ms = self._pass_on(self._lease_ms)
        self._interrupt.clear()
        try:
            look = await self._await_look(
                self._worker.look(
                    announcement.name,
                    epoch,
                    lease_ms,
                    self._noted,
                    wait_s,
                )
            )
        except WorkerSilent as error:
            self._note_silence(str(error))
            self._note_refusal(error)
            await asyncio.sleep(RETRY_S)
            return
        self._refusals = 0
        if look is None:
            return
        if look.born_ms != announcement.born_ms:
            await asyncio.sleep(RETRY_S)
            return
        if self.announcement is None or (
            self.announcement.worker != announcement.worker
        ):
            return
        self._take_look(look, epoch)
        if any(end.number > self._noted for end in look.ended):
            self._wake.clear()
            await wait_for_event(self._wake, NOTE_WAIT_S)

    def _pass_on(self, lease_ms: int) -> int:
        """Return the lease that a call to the worker may carry.

        A call without an answer may still extend the lease, so a silent worker
        gets no more of them, and everything on it ends at a known time.
        """
        if self._silent:
            return 0
        self._granted_ms = max(self._granted_ms, lease_ms)
        return lease_ms

    async def _await_look(
        self, looking: Coroutine[None, None, Look]
    ) -> Look | None:
        """Return the look, or ``None`` once it is of no use any more.

        A look may wait for an end of a run. A new epoch must be shown to the
        worker at once, as nothing is placed there before.
        """
        look = asyncio.ensure_future(looking)
        interrupt = asyncio.ensure_future(self._interrupt.wait())
        try:
            await asyncio.wait(
                (look, interrupt), return_when=asyncio.FIRST_COMPLETED
            )
            return look.result() if look.done() else None
        finally:
            look.cancel()
            interrupt.cancel()

    def _note_silence(self, reason: str) -> None:
        if not self._silent:
            self._silent = True
            self._log.write(
                LogEvent.WORKER_SILENT, worker=self.key, reason=reason
            )
            self._tell()

    def _note_refusal(self, error: WorkerSilent) -> None:
        """End an incarnation whose process has gone without a word.

        A worker beside this process that hangs or is cut off doesn't refuse.
        One that has not answered yet may not listen yet.
        """
        refused = isinstance(error, WorkerGone) and self._look is not None
        self._refusals = self._refusals + 1 if refused else 0
        if self._refusals >= GONE_AFTER_REFUSALS:
            self._refusals = 0
            self._end(str(error))

    def _take_look(self, look: Look, epoch: int) -> None:
        if self._silent:
            self._silent = False
            self._log.write(LogEvent.WORKER_ANSWERS, worker=self.key)
            self._tell()
        last = self._look
        self._look = look
        self._clock = ClockReading(look.clock_ms, now_s())
        if not self._present and epoch == self.epoch:
            self._present = True
            self._tell()
        elif last is None or summarize(last) != summarize(look):
            self._tell()

    def _tell(self) -> None:
        """Answer the waiting watch, because there is news."""
        self._number += 1
        self._news.set()

    # Orders

    def _meet_epoch(self, epoch: int) -> bool:
        """Take in an order's epoch; tell whether it is the newest."""
        if epoch > self.epoch:
            self._log.write(LogEvent.EPOCH_SEEN, epoch=epoch, last=self.epoch)
            self.epoch = epoch
            self._present = False
            self._wake.set()
            self._interrupt.set()
        return epoch == self.epoch

    async def watch(self, order: WatchOrder) -> WorkerReport:
        """Renew the lease and return a report once there is news."""
        if self._meet_epoch(order.epoch) and order.worker == self.key:
            self._lease_ms = max(self._lease_ms, order.lease_ms)
            if order.noted > self._noted:
                self._noted = order.noted
                self._wake.set()
            if order.busy != self._busy:
                self._busy = order.busy
                self._wake.set()
        if order.seen == self._number and order.wait_s and not self._closing:
            self._news.clear()
            await wait_for_event(self._news, order.wait_s)
        return self._report()

    def _report(self) -> WorkerReport:
        announcement = self.announcement
        look = self._look
        if announcement is None or not self._present or look is None:
            return WorkerReport(
                self._number,
                self.epoch,
                left=self._left,
                silent=self._silent,
            )
        return WorkerReport(
            number=self._number,
            epoch=self.epoch,
            pool=announcement.pool,
            worker=self.key,
            left=self._left,
            zone=announcement.zone,
            capacity=announcement.capacity,
            labels=announcement.labels,
            draining=announcement.draining,
            remaining_ms=announcement.remaining_ms,
            clock_ms=0 if self._clock is None else self._clock.estimate_ms(),
            looked_ms=look.clock_ms,
            silent=self._silent,
            granted_ms=self._granted_ms,
            running=look.running,
            ended=tuple(end for end in look.ended if end.number > self._noted),
        )

    async def start(self, order: StartOrder) -> OrderAnswer:
        """Pass a start on, unless the worker must not get it any more."""
        refused = self._check_start(order)
        if refused is not None:
            self._log.write(
                LogEvent.START_REFUSED,
                task=order.task,
                run=order.run,
                epoch=order.epoch,
                reason=refused,
            )
            return OrderAnswer(refused)
        self._busy = True
        self._pass_on(order.lease_ms)
        answer = await self._worker.start(order, self.announcement.name)
        self._wake.set()
        return answer

    def _check_start(self, order: StartOrder) -> OrderOutcome | None:
        if not self._meet_epoch(order.epoch):
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
        """Pass a stop on."""
        if not self._meet_epoch(order.epoch):
            return OrderAnswer(OrderOutcome.OLD_EPOCH)
        if self.announcement is None or order.worker != self.key:
            return OrderAnswer(OrderOutcome.OTHER_WORKER)
        self._busy = True
        answer = await self._worker.stop(order, self.announcement.name)
        self._wake.set()
        return answer


def summarize(look: Look) -> tuple:
    """Return what makes a look news: which runs are there or have ended."""
    return (
        tuple((item.task, item.run) for item in look.running),
        tuple(end.number for end in look.ended),
    )
