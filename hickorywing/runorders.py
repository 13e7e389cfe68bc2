"""Give start and stop orders until what they ask for is known to be so.

A start that got no answer may be carried out seconds later. It is asked for
again, which is harmless, and after a while the run is stopped at the worker,
which keeps a late start from doing anything.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable

from hickorywing.agentlink import AgentLink
from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.openmembers import OpenMember
from hickorywing.orders import OrderAnswer
from hickorywing.orders import OrderOutcome
from hickorywing.orders import RunningRun
from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolruns import Member
from hickorywing.poollease import PoolLease

__all__ = ["RunOrders"]

# Longer than one order's time limit, so that each start is tried twice.
START_PATIENCE_S = 1.5
# A worker that rejects a start although it should have room gets no new work
# for this long; its next report shows what it holds.
DISTRUST_S = 1.0
# A run that is still listed this long after its stop is stopped again.
STOP_REPEAT_MS = 1000

# An order without an answer is given again after this pause.
RETRY_S = 0.2

EndMember = Callable[[OpenMember, Ending], None]


class RunOrders:
    """The orders of one term of a controller."""

    def __init__(
        self,
        lease: PoolLease,
        workers: dict[str, AgentLink],
        end_member: EndMember,
        wake: Callable[[], None],
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._lease = lease
        self._workers = workers
        self._end_member = end_member
        self._wake = wake
        self._log = log
        self._metrics = metrics
        self._under_way: dict[tuple, asyncio.Task[None]] = {}
        self._distrusted: dict[str, float] = {}

    def close(self) -> None:
        """Forget all orders under way."""
        for task in self._under_way.values():
            task.cancel()

    def trusts(self, worker: str) -> bool:
        """Tell whether a worker has taken its last starts."""
        return now_s() >= self._distrusted.get(worker, 0.0)

    def give(self, members: Iterable[OpenMember]) -> None:
        """Give each member the order that it needs now, if any."""
        for item in members:
            link = self._workers.get(item.member.worker)
            if link is None:
                continue
            if item.unit.stopping:
                if item.member.stopped_ms is None:
                    self._give_stop(item, link)
            elif item.unit.committed and not item.member.seen:
                self._give_start(item, link)

    def check_stop(self, member: Member, looked_ms: int) -> None:
        """Have a stop repeated that was confirmed but has not happened."""
        stopped_ms = member.stopped_ms
        if stopped_ms is not None and (
            looked_ms > stopped_ms + STOP_REPEAT_MS
        ):
            member.stopped_ms = None

    def stop_stray(
        self, link: AgentLink, worker: str, run: RunningRun
    ) -> None:
        """Stop a run that is not the present one of its task."""
        key = ("stray", worker, run.task, run.run)
        if key in self._under_way:
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
        self._under_way[key] = task

        def finish(ended: asyncio.Task[None]) -> None:
            self._under_way.pop(key, None)
            if not ended.cancelled():
                ended.result()

        task.add_done_callback(finish)

    def _give_start(self, item: OpenMember, link: AgentLink) -> None:
        key = ("start", item.task, item.unit.run)
        if key not in self._under_way and link.can_grant():
            self._spawn(key, self._start(item, link))

    def _give_stop(self, item: OpenMember, link: AgentLink) -> None:
        key = ("stop", item.task, item.unit.run)
        if key not in self._under_way:
            self._spawn(key, self._stop(item, link))

    async def _start(self, item: OpenMember, link: AgentLink) -> None:
        unit, member, run = item.unit, item.member, item.unit.run
        member.tries += 1
        sent_s = now_s()
        answer = await link.start(
            member.worker, item.task, run, item.state.job.payload, unit.saved
        )
        self._metrics.observe("order_seconds", now_s() - sent_s, order="start")
        self._log_order(LogEvent.START_ANSWERED, item, run, answer)
        if unit.run != run or member.ending is not None:
            return
        if answer.outcome is OrderOutcome.OK:
            member.seen = True
            return
        if answer.outcome is OrderOutcome.OLD_EPOCH:
            self._lease.surrender("a worker has seen a newer epoch")
        elif answer.outcome is OrderOutcome.UNKNOWN:
            if now_s() - unit.placed_at_s > START_PATIENCE_S:
                unit.stopping = unit.stopping or "a start was not answered"
            await asyncio.sleep(RETRY_S)
        else:
            self._take_rejection(item, answer)
        self._wake()

    def _take_rejection(self, item: OpenMember, answer: OrderAnswer) -> None:
        """Close a member whose start was rejected.

        Earlier tries may still be carried out, so only a single try is
        closed without a stop.
        """
        unit, member = item.unit, item.member
        self._distrusted[member.worker] = now_s() + DISTRUST_S
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
            self._lease.surrender("a worker has seen a newer epoch")
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
