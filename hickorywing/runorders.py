"""Send start and stop orders until their effect is confirmed.

A start order without an answer may be executed seconds later. It is repeated,
which is idempotent, and after a timeout the run is stopped on the worker: a
start order that arrives after the stop has no effect.

A start may have to wait for its worker. What it depends on is therefore
checked when it is sent, not only when the run is planned.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator

from hickorywing.agentlink import AgentLink
from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.openmembers import OpenMember
from hickorywing.openmembers import OpenMembers
from hickorywing.orders import OrderAnswer
from hickorywing.orders import OrderOutcome
from hickorywing.orders import RunningRun
from hickorywing.orders import WorkerReport
from hickorywing.policy.poolroom import fit_together
from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolruns import Member
from hickorywing.poolconfig import ConfigurationView
from hickorywing.poollease import PoolLease

__all__ = ["RunOrders"]

# Longer than the timeout of one order, so that each start is tried twice.
START_TIMEOUT_S = 1.5
# A worker that rejects a start although it should have room gets no new work
# for this long; its next report shows what is running there.
DISTRUST_S = 1.0
# A run that is still listed this long after its stop was confirmed is stopped
# again.
REPEAT_STOP_AFTER_MS = 1000

# Bounds what one call does, about 10 ms. The next call goes on.
MAX_ORDERS_PER_CALL = 100
MAX_MEMBERS_PER_CALL = 5_000

# Pause before an order without an answer is repeated.
RETRY_S = 0.2

EndMember = Callable[[OpenMember, Ending], None]


class RunOrders:
    """The orders that a controller sends during one term.

    Nothing is started with a configuration confirmed ``config_age_limit_s``
    ago or longer. At most one order for the same purpose, task and run is
    pending at a time.
    """

    def __init__(
        self,
        lease: PoolLease,
        view: ConfigurationView,
        config_age_limit_s: float,
        workers: dict[str, AgentLink],
        end_member: EndMember,
        schedule_plan: Callable[[], None],
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._lease = lease
        self._view = view
        self._config_age_limit_s = config_age_limit_s
        self._workers = workers
        self._end_member = end_member
        self._schedule_plan = schedule_plan
        self._log = log
        self._metrics = metrics
        self._pending: dict[tuple, asyncio.Task[None]] = {}
        self._distrusted_until_s: dict[str, float] = {}
        self._unvisited: Iterator[OpenMember] | None = None

    def close(self) -> None:
        """Cancel all pending orders."""
        for task in self._pending.values():
            task.cancel()

    def is_trusted(self, worker: str) -> bool:
        """Return whether a worker has not rejected a start recently."""
        return now_s() >= self._distrusted_until_s.get(worker, 0.0)

    @property
    def is_sending(self) -> bool:
        """Return whether the last call of ``send_orders`` wasn't finished."""
        return self._unvisited is not None

    def send_orders(self, members: OpenMembers) -> None:
        """Send the start or stop order that each member needs now, if any.

        With many members it takes several calls to get to all of them.
        """
        if self._unvisited is None:
            self._unvisited = iter(members)
        sent = visited = 0
        for item in self._unvisited:
            visited += 1
            if item.member.ending is None:
                sent += self._send_order(item, members)
            if sent >= MAX_ORDERS_PER_CALL or visited >= MAX_MEMBERS_PER_CALL:
                return
        self._unvisited = None

    def _send_order(self, item: OpenMember, members: OpenMembers) -> bool:
        """Send the order that a member needs; return whether it needs one."""
        link = self._workers.get(item.member.worker)
        if link is None:
            return False
        if item.unit.stopping:
            if item.member.stopped_ms is not None:
                return False
            self._send_stop(item, link)
            return True
        if not item.unit.committed or item.member.seen:
            return False
        self._send_start(item, link, members)
        return True

    def repeat_stop_if_running(self, member: Member, polled_ms: int) -> None:
        """Repeat the stop of a member that runs although it was confirmed.

        The worker listed the member when it was polled at ``polled_ms`` on the
        worker's clock.
        """
        stopped_ms = member.stopped_ms
        if stopped_ms is not None and (
            polled_ms > stopped_ms + REPEAT_STOP_AFTER_MS
        ):
            member.stopped_ms = None

    def stop_stray(
        self, link: AgentLink, worker: str, run: RunningRun
    ) -> None:
        """Stop a run on a worker that is not the present run of its task."""
        key = ("stray", worker, run.task, run.run)
        if key in self._pending:
            return
        self._log.write(
            LogEvent.STRAY_RUN, task=run.task, run=run.run, worker=worker
        )

        async def stop() -> None:
            answer = await link.stop(worker, run.task, run.run)
            self._log.write(
                LogEvent.STRAY_RUN_STOPPED,
                task=run.task,
                run=run.run,
                worker=worker,
                outcome=answer.outcome,
                reason=answer.reason,
            )

        self._spawn(key, stop())

    def _spawn(self, key: tuple, order: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(order)
        self._pending[key] = task

        def finish(ended: asyncio.Task[None]) -> None:
            self._pending.pop(key, None)
            if not ended.cancelled():
                ended.result()

        task.add_done_callback(finish)

    def _send_start(
        self, item: OpenMember, link: AgentLink, members: OpenMembers
    ) -> None:
        key = ("start", item.task, item.unit.run)
        if key in self._pending or not link.can_grant():
            return
        if self._view.age_s(now_s()) >= self._config_age_limit_s:
            return
        obstacle = self._find_obstacle(item, link, members)
        if obstacle:
            # An earlier order without an answer may still be carried out.
            item.unit.stopping = obstacle
            self._schedule_plan()
            return
        # The starts that follow have to count this one.
        item.member.tries += 1
        self._spawn(key, self._start(item, link, link.report))

    def _find_obstacle(
        self, item: OpenMember, link: AgentLink, members: OpenMembers
    ) -> str:
        """Return why a start may not be sent any more, empty if it may be.

        Its worker may have changed since the run was planned. Runs that are
        being stopped hold their room until their end is listed.
        """
        if link.zone in self._view.zones_out:
            return "zone out of service"
        report = link.report
        if report is None:
            return ""
        label = item.step.required_label
        if label and label not in report.labels:
            return "its worker has lost a label"
        started = (
            other.step
            for other in members.on_worker(item.member.worker)
            if other.member is not item.member
            and (other.member.seen or other.member.tries)
        )
        if not fit_together((item.step, *started), report.capacity):
            return "its worker has less room"
        return ""

    def _send_stop(self, item: OpenMember, link: AgentLink) -> None:
        key = ("stop", item.task, item.unit.run)
        if key not in self._pending:
            self._spawn(key, self._stop(item, link))

    async def _start(
        self, item: OpenMember, link: AgentLink, report: WorkerReport | None
    ) -> None:
        """Order a start that was checked against this report."""
        unit, member, run = item.unit, item.member, item.unit.run
        sent_s = now_s()
        if member.ordered_s is None:
            member.ordered_s = sent_s
        answer = await link.start(
            member.worker,
            item.task,
            run,
            item.state.job.payload,
            unit.saved,
            None if report is None else report.capacity,
            item.step.required_label,
        )
        self._metrics.observe("order_seconds", now_s() - sent_s, order="start")
        self._log_order(LogEvent.START_ANSWERED, item, run, answer)
        if unit.run != run or member.ending is not None:
            return
        if answer.outcome is OrderOutcome.OK:
            member.seen = True
            return
        if answer.outcome is OrderOutcome.UNKNOWN:
            if now_s() - unit.placed_at_s > START_TIMEOUT_S:
                unit.stopping = unit.stopping or "a start was not answered"
            await asyncio.sleep(RETRY_S)
        else:
            if answer.outcome is OrderOutcome.OLD_EPOCH:
                self._lease.check_role()
            self._handle_rejection(item, answer)
        self._schedule_plan()

    def _handle_rejection(self, item: OpenMember, answer: OrderAnswer) -> None:
        """Stop the run of a member whose start was rejected.

        Earlier start orders may still be executed, so the member itself ends
        without a stop only if this order was the first one.
        """
        unit, member = item.unit, item.member
        self._distrusted_until_s[member.worker] = now_s() + DISTRUST_S
        self._metrics.count("starts_rejected", reason=answer.outcome)
        if member.tries == 1:
            self._end_member(item, Ending.REJECTED)
        unit.stopping = unit.stopping or f"start rejected: {answer.outcome}"

    async def _stop(self, item: OpenMember, link: AgentLink) -> None:
        unit, member, run = item.unit, item.member, item.unit.run
        answer = await link.stop(member.worker, item.task, run)
        self._log_order(LogEvent.STOP_ANSWERED, item, run, answer)
        if answer.outcome is OrderOutcome.OK and unit.run == run:
            member.stopped_ms = answer.clock_ms
        elif answer.outcome is OrderOutcome.OLD_EPOCH:
            self._lease.check_role()
            await asyncio.sleep(RETRY_S)
        elif answer.outcome is OrderOutcome.UNKNOWN:
            await asyncio.sleep(RETRY_S)

    def _log_order(
        self, event: str, item: OpenMember, run: int, answer: OrderAnswer
    ) -> None:
        self._log.write(
            event,
            task=item.task,
            run=run,
            worker=item.member.worker,
            epoch=self._lease.epoch,
            tries=item.member.tries,
            outcome=answer.outcome,
            reason=answer.reason,
            stopping=item.unit.stopping,
        )
