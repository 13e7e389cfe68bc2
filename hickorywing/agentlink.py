"""A controller's link to one agent and the worker beside it."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.decoding import decode_msgpack
from hickorywing.decoding import DecodingError
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
from hickorywing.policy.poolmodel import Resources

__all__ = [
    "FIRST_LEASE_S",
    "IDLE_WATCH_WAIT_S",
    "ORDER_EXPIRY_S",
    "WATCH_SLACK_S",
    "AgentLink",
    "LinkTerms",
]

# An order crosses one network link, and the agent limits the time in which the
# worker answers it.
ORDER_TIMEOUT_S = 1.2
# A watch is answered when something has changed at the worker, or after this
# time.
BUSY_WATCH_WAIT_S = 1.0
IDLE_WATCH_WAIT_S = 2.0
WATCH_SLACK_S = 0.7
RETRY_S = 0.2
# The largest share by which a worker's clock may run slower than the
# controller's.
MAX_CLOCK_SLOWNESS = 0.02
# A start order that reaches the worker later than this is not carried out.
ORDER_EXPIRY_S = 1.5
# The longest lease of a worker that had no work before, until it answers. It
# is longer than a successor of a dead controller needs to reach the worker.
FIRST_LEASE_S = 4.0
# The longest lease of a draining worker. It is longer than a watch without an
# answer and the next watch take together.
LEAVING_LEASE_S = 3.0
# A worker checks for expired leases from time to time, so it may stop work
# this long after the lease has ended.
EXPIRY_SLACK_MS = 500
CONTENT_TYPE = "application/x-msgpack"


@dataclass(frozen=True, slots=True)
class LinkTerms:
    """What all links share during one term of a controller.

    ``no_successor_before_s()`` is a moment before which no successor's term
    can have begun. A successor waits for the longest lease, ``lease_limit_s``
    seconds, from the beginning of its term. Leases that are counted from
    ``no_successor_before_s()`` at the latest have therefore expired when it
    acts. ``check_role()`` is called when an agent knows a newer epoch.
    """

    pool: str
    epoch: int
    lease_limit_s: float
    no_successor_before_s: Callable[[], float]
    check_role: Callable[[], None]
    log: DecisionLog


class AgentLink:
    """Watches one worker through its agent and sends orders to it.

    ``agent`` is the agent's name, which is that of its VM. ``on_report`` is
    called with each report. ``report`` is the latest report and
    ``last_contact_s`` the time at which the call that brought it was sent.
    ``lease_end_s`` is the latest time at which the worker can still run
    anything for this controller. ``silent`` says that the last call got no
    answer, and ``busy`` that this controller has work at the worker. Ends of
    runs up to the number ``acknowledged`` are stored, so the worker may forget
    them. All times are in seconds on the clock of ``now_s()``.
    """

    def __init__(
        self,
        agent: str,
        address: str,
        terms: LinkTerms,
        http: HttpClient,
        on_report: Callable[["AgentLink", WorkerReport], None],
    ) -> None:
        self.agent = agent
        self.address = address
        self.report: WorkerReport | None = None
        self.last_contact_s: float | None = None
        self.acknowledged = 0
        self.busy = False
        # Leases that an earlier controller granted may last this long.
        self.lease_end_s = now_s() + self._limit_duration_s(
            terms.lease_limit_s
        )
        self._terms = terms
        self._http = http
        self._on_report = on_report
        self._report_received_s = 0.0
        self._busy_since_s = float("-inf")
        self.silent = False
        self._newest_epoch = terms.epoch
        self._watch_outdated = asyncio.Event()

    @staticmethod
    def _limit_duration_s(lease_s: float) -> float:
        """Return how long a lease can last on the controller's clock."""
        return lease_s / (1 - MAX_CLOCK_SLOWNESS)

    @property
    def worker(self) -> str:
        """Return the worker's incarnation, empty if it is unknown."""
        return "" if self.report is None else self.report.worker

    @property
    def zone(self) -> str:
        """Return the worker's zone, empty if it is unknown."""
        return "" if self.report is None else self.report.zone

    def count_silent_s(self) -> float:
        """Return the seconds since the last answered call, else infinity."""
        if self.last_contact_s is None:
            return float("inf")
        return now_s() - self.last_contact_s

    def clock_ms(self) -> int:
        """Estimate the worker's clock from the latest report, 0 if unknown."""
        if self.report is None or not self.report.clock_ms:
            return 0
        elapsed_s = now_s() - self._report_received_s
        return self.report.clock_ms + int(elapsed_s * 1000)

    def grant_lease_ms(self) -> int:
        """Grant a lease and return its end on the worker's clock, or 0.

        Moves ``lease_end_s`` accordingly. No lease is granted while the agent
        is silent: a call without an answer may still extend the lease, so the
        worker's work would never be known to have ended.
        """
        if not self.can_grant():
            return 0
        now = now_s()
        lease_s = self._choose_lease_s()
        granted_s = min(now, self._terms.no_successor_before_s())
        self.lease_end_s = max(
            self.lease_end_s, granted_s + self._limit_duration_s(lease_s)
        )
        return self.clock_ms() + int((granted_s + lease_s - now) * 1000)

    def can_grant(self) -> bool:
        """Return whether a lease can be granted now.

        It can't once a successor may have waited until the last lease expired,
        as after a pause of this process. An agent forwards no lease to a
        silent worker, so none is counted then either.
        """
        remaining_s = (
            self._terms.no_successor_before_s()
            + self._choose_lease_s()
            - now_s()
        )
        return (
            not self.is_silent() and bool(self.clock_ms()) and remaining_s > 0
        )

    def is_silent(self) -> bool:
        """Return whether the agent or its worker did not answer last time."""
        return self.silent or self._is_worker_silent()

    def knows_worker(self) -> bool:
        """Return whether the agent has named its worker or found it silent."""
        return bool(self.worker) or self._is_worker_silent()

    def _is_worker_silent(self) -> bool:
        return self.report is not None and self.report.silent

    def _choose_lease_s(self) -> float:
        """Return the duration of a lease in seconds.

        A lease is shorter where the worker may be gone soon or already, as
        gangs with a member there wait until it expires. A draining worker
        often vanishes without notice. A worker that had no work may have
        vanished unnoticed, as it was not polled.
        """
        limit_s = self._terms.lease_limit_s
        if self.report is not None and self.report.draining:
            limit_s = min(LEAVING_LEASE_S, limit_s)
        return (
            limit_s
            if self._has_answered_since_busy()
            else min(FIRST_LEASE_S, limit_s)
        )

    def _has_answered_since_busy(self) -> bool:
        """Return whether a call was answered since the worker became busy."""
        return (
            self.last_contact_s is not None
            and self.last_contact_s >= self._busy_since_s
        )

    def has_no_lease(self) -> bool:
        """Return whether every lease of a silent worker has expired.

        ``granted_ms`` of the report covers the leases that the agent's present
        process forwarded. Those of earlier processes were granted before the
        last poll that was answered, and last for ``lease_limit_s`` at most.
        """
        report = self.report
        if report is None or not report.silent:
            return False
        limit_ms = int(self._terms.lease_limit_s * 1000)
        end_ms = max(report.granted_ms, report.looked_ms + limit_ms)
        # If the worker's clock is slow, the agent's estimate of it is ahead.
        ahead_ms = MAX_CLOCK_SLOWNESS * (report.clock_ms - report.looked_ms)
        return report.clock_ms - ahead_ms > end_ms + EXPIRY_SLACK_MS

    def adopt_leases(self, previous: "AgentLink") -> None:
        """Count the leases that the link to an earlier address granted."""
        self.lease_end_s = max(self.lease_end_s, previous.lease_end_s)

    def acknowledge_ends(self, number: int) -> None:
        """Let the worker forget the ends of runs up to a number."""
        if number > self.acknowledged:
            self.acknowledged = number
            self._watch_outdated.set()

    def set_busy(self, busy: bool) -> None:
        """Set whether this controller has work at the worker."""
        if busy and not self.busy:
            self._busy_since_s = now_s()
            self._watch_outdated.set()
        self.busy = busy

    async def run(self) -> None:
        """Watch the worker until cancelled."""
        while True:
            answered = await self._watch_once()
            if not answered:
                await asyncio.sleep(RETRY_S)

    async def _watch_once(self) -> bool:
        """Send one watch; return whether the next one may follow at once.

        The watch is cancelled if there is something new for the agent, so that
        the next one carries it.
        """
        self._watch_outdated.clear()
        sent_s = now_s()
        watch = asyncio.ensure_future(self._watch())
        outdated = asyncio.ensure_future(self._watch_outdated.wait())
        try:
            await asyncio.wait(
                (watch, outdated), return_when=asyncio.FIRST_COMPLETED
            )
            if not watch.done():
                return True
            report = watch.result()
        finally:
            watch.cancel()
            outdated.cancel()
        refusal = (
            report if isinstance(report, str) else self._find_refusal(report)
        )
        if refusal:
            self._record_silence(refusal)
            return False
        self._apply_report(report, sent_s)
        return not self.silent

    def _find_refusal(self, report: WorkerReport) -> str:
        """Return why a report can't be used, empty if it can.

        An agent answers only for the worker on its own VM. A row with a wrong
        address may lead to another one.
        """
        for worker in (report.worker, report.left):
            if worker and not worker.startswith(f"{self.agent}/"):
                return f"the agent answers for {worker}"
        return ""

    def _record_newer_epoch(self, epoch: int) -> None:
        """Treat an agent that knows a newer epoch as silent.

        It passes on neither leases nor orders, but what its worker lists is
        true, and the ends of runs must not be missed.
        """
        if epoch > self._newest_epoch:
            self._newest_epoch = epoch
            self._terms.check_role()
        self._record_silence(f"the agent knows of epoch {epoch}")

    def _record_silence(self, reason: str) -> None:
        """Mark the agent as silent and log it, once until it answers again."""
        if not self.silent:
            self.silent = True
            self._terms.log.write(
                LogEvent.AGENT_SILENT,
                address=self.address,
                worker=self.worker,
                reason=reason,
            )

    def _apply_report(self, report: WorkerReport, sent_s: float) -> None:
        if report.epoch > self._terms.epoch:
            self._record_newer_epoch(report.epoch)
        elif self.silent:
            self.silent = False
            self._terms.log.write(
                LogEvent.AGENT_ANSWERS,
                address=self.address,
                worker=report.worker,
            )
        if self.report is None or report.worker != self.report.worker:
            self.acknowledged = 0
        self.report = report
        self.last_contact_s = sent_s
        self._report_received_s = now_s()
        self._on_report(self, report)

    async def _watch(self) -> WorkerReport | str:
        wait_s = BUSY_WATCH_WAIT_S if self.busy else IDLE_WATCH_WAIT_S
        if self.silent or not self._has_answered_since_busy():
            wait_s = 0.0
        order = WatchOrder(
            pool=self._terms.pool,
            epoch=self._terms.epoch,
            worker=self.worker,
            lease_ms=self.grant_lease_ms() if self.busy else 0,
            seen=0 if self.report is None else self.report.number,
            noted=self.acknowledged,
            busy=self.busy,
            wait_s=wait_s,
        )
        return await self._call(
            "watch", order, order.wait_s + WATCH_SLACK_S, WorkerReport
        )

    async def start(
        self,
        worker: str,
        task: str,
        run: int,
        payload: str,
        saved: str,
        capacity: Resources | None = None,
        label: str = "",
    ) -> OrderAnswer:
        """Order the start of a run; without an answer return ``UNKNOWN``.

        The agent refuses it if the worker has less than ``capacity`` by then,
        or lacks the ``label``.
        """
        clock_ms = self.clock_ms()
        return await self._order(
            "start",
            StartOrder(
                pool=self._terms.pool,
                epoch=self._terms.epoch,
                worker=worker,
                lease_ms=self.grant_lease_ms(),
                task=task,
                run=run,
                payload=payload,
                saved=saved,
                expires_ms=clock_ms + int(ORDER_EXPIRY_S * 1000),
                capacity=capacity,
                label=label,
            ),
        )

    async def stop(self, worker: str, task: str, run: int) -> OrderAnswer:
        """Order the stop of a run; without an answer return ``UNKNOWN``."""
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
        self._record_silence(answer)
        return OrderAnswer(OrderOutcome.UNKNOWN, reason=answer)

    async def _call(
        self, call: str, order: Order, timeout_s: float, answer_type: type
    ) -> msgspec.Struct | str:
        """Return the decoded answer, or a text that says why there is none."""
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
            return decode_msgpack(answer.body, answer_type)
        except (CallError, DecodingError) as error:
            return str(error)
