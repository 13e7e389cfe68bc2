"""A controller's connection to one agent and the worker beside it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient
from hickorywing.logevents import LogEvent
from hickorywing.orders import Order
from hickorywing.orders import OrderAnswer
from hickorywing.orders import OrderOutcome
from hickorywing.orders import StartOrder
from hickorywing.orders import StopOrder
from hickorywing.orders import WatchOrder
from hickorywing.orders import WorkerReport

__all__ = ["FIRST_LEASE_S", "ORDER_LIFE_S", "AgentLink", "LinkTerms"]

# An order passes one link and is answered by the worker within its own limit.
ORDER_TIMEOUT_S = 1.2
# A watch is answered when there is news, or after this time.
BUSY_WATCH_S = 1.0
IDLE_WATCH_S = 2.0
WATCH_SLACK_S = 0.7
RETRY_S = 0.2
# A worker's clock may run this much slower than the controller's.
CLOCK_SLOWNESS = 0.02
# Time for an order to reach the worker before it is no longer carried out.
ORDER_LIFE_S = 1.5
# The first lease of a worker that had no work, until it answers. It outlasts
# the time in which a successor of a dead controller meets the worker.
FIRST_LEASE_S = 4.0
# The lease of a worker that leaves. It outlasts a watch without an answer and
# the next one.
LEAVING_LEASE_S = 3.0
# A worker looks for lapsed leases now and then, not at the very moment.
LAPSE_SLACK_MS = 500
CONTENT_TYPE = "application/x-msgpack"


@dataclass(frozen=True, slots=True)
class LinkTerms:
    """What all links of one term of a controller share.

    No successor's term has begun before ``alone_until_s()``. A successor waits
    for the longest lease from the beginning of its term, so leases that are
    counted from that moment at the latest have run out by then.
    """

    pool: str
    epoch: int
    lease_limit_s: float
    alone_until_s: Callable[[], float]
    log: DecisionLog


class AgentLink:
    """Watches one worker and passes orders to it.

    ``report`` is the latest report and ``heard_s`` the moment at which the
    call that brought it was sent. ``lease_end_s`` is the latest moment at
    which the worker can still be running anything for this controller.
    ``silent`` tells that the last call got no answer.
    """

    def __init__(
        self,
        address: str,
        terms: LinkTerms,
        http: HttpClient,
        reported: Callable[["AgentLink", WorkerReport], None],
    ) -> None:
        self.address = address
        self.report: WorkerReport | None = None
        self.heard_s: float | None = None
        self.noted = 0
        self.busy = False
        # Leases that an earlier controller granted may run this long.
        self.lease_end_s = now_s() + self._longest(terms.lease_limit_s)
        self._terms = terms
        self._http = http
        self._reported = reported
        self._received_s = 0.0
        self._busy_since_s = float("-inf")
        self.silent = False
        self._wake = asyncio.Event()

    @staticmethod
    def _longest(lease_s: float) -> float:
        return lease_s / (1 - CLOCK_SLOWNESS)

    @property
    def worker(self) -> str:
        """Return the worker's incarnation, empty while it is unknown."""
        return "" if self.report is None else self.report.worker

    def silent_s(self) -> float:
        """Return for how long nothing has been heard."""
        if self.heard_s is None:
            return float("inf")
        return now_s() - self.heard_s

    def clock_ms(self) -> int:
        """Estimate the worker's clock from its latest report."""
        if self.report is None or not self.report.clock_ms:
            return 0
        elapsed_s = now_s() - self._received_s
        return self.report.clock_ms + int(elapsed_s * 1000)

    def lease_ms(self) -> int:
        """Grant a lease; return its end on the worker's clock, or 0.

        Nothing is granted to a silent agent, since a call without an answer
        may have granted its lease all the same.
        """
        if not self.can_grant():
            return 0
        now = now_s()
        lease_s = self._lease_s()
        since_s = min(now, self._terms.alone_until_s())
        self.lease_end_s = max(
            self.lease_end_s, since_s + self._longest(lease_s)
        )
        return self.clock_ms() + int((since_s + lease_s - now) * 1000)

    def can_grant(self) -> bool:
        """Tell whether a lease can be granted now.

        It can't once a successor may have waited for the last one, as after a
        pause of this process. An agent passes no lease on to a worker that is
        silent, so none is counted either.
        """
        left_s = self._terms.alone_until_s() + self._lease_s() - now_s()
        return not self.is_silent() and bool(self.clock_ms()) and left_s > 0

    def is_silent(self) -> bool:
        """Tell whether the agent, or its worker, left a call unanswered."""
        return self.silent or self._is_worker_silent()

    def knows_worker(self) -> bool:
        """Tell whether the agent has named its worker, or found it silent."""
        return bool(self.worker) or self._is_worker_silent()

    def _is_worker_silent(self) -> bool:
        return self.report is not None and self.report.silent

    def _lease_s(self) -> float:
        """Return how long a lease is, shorter where a worker may soon be gone.

        One that leaves often does so without a word, and gangs with a member
        there wait for its lease to run out. One that had no work may have gone
        unnoticed.
        """
        limit_s = self._terms.lease_limit_s
        if self.report is not None and self.report.draining:
            limit_s = min(LEAVING_LEASE_S, limit_s)
        return limit_s if self._is_proven() else min(FIRST_LEASE_S, limit_s)

    def _is_proven(self) -> bool:
        """Tell whether the agent has answered since there is work."""
        return self.heard_s is not None and self.heard_s >= self._busy_since_s

    def is_lapsed(self) -> bool:
        """Tell whether every lease of a silent worker has run out.

        Leases that earlier processes of the agent passed on are from before
        the last look that was answered.
        """
        report = self.report
        if report is None or not report.silent:
            return False
        limit_ms = int(self._terms.lease_limit_s * 1000)
        ends_ms = max(report.granted_ms, report.looked_ms + limit_ms)
        # The agent's estimate may run ahead of a slow clock.
        ahead_ms = CLOCK_SLOWNESS * (report.clock_ms - report.looked_ms)
        return report.clock_ms - ahead_ms > ends_ms + LAPSE_SLACK_MS

    def note(self, number: int) -> None:
        """Let the worker forget its ends up to a number."""
        if number > self.noted:
            self.noted = number
            self._wake.set()

    def set_busy(self, busy: bool) -> None:
        """Tell whether this controller has work at the worker."""
        if busy and not self.busy:
            self._busy_since_s = now_s()
            self._wake.set()
        self.busy = busy

    async def run(self) -> None:
        """Watch the worker until cancelled."""
        while True:
            answered = await self._watch_once()
            if not answered:
                await asyncio.sleep(RETRY_S)

    async def _watch_once(self) -> bool:
        """Send one watch; a wish to tell the agent something ends it early."""
        self._wake.clear()
        sent_s = now_s()
        watch = asyncio.ensure_future(self._watch())
        wake = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait(
                (watch, wake), return_when=asyncio.FIRST_COMPLETED
            )
            if not watch.done():
                return True
            report = watch.result()
        finally:
            watch.cancel()
            wake.cancel()
        if isinstance(report, str):
            self._note_silence(report)
            return False
        self._take(report, sent_s)
        return True

    def _note_silence(self, reason: str) -> None:
        """Log the first call of several that the agent did not answer."""
        if not self.silent:
            self.silent = True
            self._terms.log.write(
                LogEvent.AGENT_SILENT,
                address=self.address,
                worker=self.worker,
                reason=reason,
            )

    def _take(self, report: WorkerReport, sent_s: float) -> None:
        if self.silent:
            self.silent = False
            self._terms.log.write(
                LogEvent.AGENT_ANSWERS,
                address=self.address,
                worker=report.worker,
            )
        if self.report is None or report.worker != self.report.worker:
            self.noted = 0
        self.report = report
        self.heard_s = sent_s
        self._received_s = now_s()
        self._reported(self, report)

    async def _watch(self) -> WorkerReport | str:
        wait_s = BUSY_WATCH_S if self.busy else IDLE_WATCH_S
        if self.silent or not self._is_proven():
            wait_s = 0.0
        order = WatchOrder(
            pool=self._terms.pool,
            epoch=self._terms.epoch,
            worker=self.worker,
            lease_ms=self.lease_ms() if self.busy else 0,
            seen=0 if self.report is None else self.report.number,
            noted=self.noted,
            busy=self.busy,
            wait_s=wait_s,
        )
        return await self._call(
            "watch", order, order.wait_s + WATCH_SLACK_S, WorkerReport
        )

    async def start(
        self, worker: str, task: str, run: int, payload: str, saved: str
    ) -> OrderAnswer:
        """Order a start; no answer is ``UNKNOWN``."""
        clock_ms = self.clock_ms()
        return await self._order(
            "start",
            StartOrder(
                pool=self._terms.pool,
                epoch=self._terms.epoch,
                worker=worker,
                lease_ms=self.lease_ms(),
                task=task,
                run=run,
                payload=payload,
                saved=saved,
                expires_ms=clock_ms + int(ORDER_LIFE_S * 1000),
            ),
        )

    async def stop(self, worker: str, task: str, run: int) -> OrderAnswer:
        """Order a stop; no answer is ``UNKNOWN``."""
        return await self._order(
            "stop",
            StopOrder(
                pool=self._terms.pool,
                epoch=self._terms.epoch,
                worker=worker,
                task=task,
                run=run,
            ),
        )

    async def _order(self, call: str, order: Order) -> OrderAnswer:
        answer = await self._call(call, order, ORDER_TIMEOUT_S, OrderAnswer)
        if isinstance(answer, OrderAnswer):
            return answer
        self._note_silence(answer)
        return OrderAnswer(OrderOutcome.UNKNOWN, reason=answer)

    async def _call(
        self, call: str, order: Order, timeout_s: float, answer_type: type
    ) -> msgspec.Struct | str:
        """Return the decoded answer, or why there is none."""
        try:
            answer = await self._http.call(
                "POST",
                f"http://{self.address}/{call}",
                timeout_s,
                msgspec.msgpack.encode(order),
                content_type=CONTENT_TYPE,
            )
            if answer.status != 200:
                return f"the agent answered {answer.status}"
            return msgspec.msgpack.decode(answer.body, type=answer_type)
        except (CallError, msgspec.DecodeError) as error:
            return str(error)
