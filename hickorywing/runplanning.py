"""Make plans for a pool from the state of its jobs and workers."""

from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import copy
from functools import cache
from functools import partial
from typing import TypeVar

from hickorywing.agentlink import AgentLink
from hickorywing.agentlink import IDLE_WATCH_WAIT_S
from hickorywing.agentlink import WATCH_SLACK_S
from hickorywing.clock import now_s
from hickorywing.errors import HickorywingError
from hickorywing.openmembers import OpenMember
from hickorywing.pacing import Pacer
from hickorywing.pacing import split_evenly
from hickorywing.policy.customershares import CustomerShares
from hickorywing.policy.customershares import rank_units
from hickorywing.policy.headroom import UrgentHeadroom
from hickorywing.policy.jobfaults import compute_without_faulty
from hickorywing.policy.jobfaults import JobFault
from hickorywing.policy.jobfaults import SetAsideJobs
from hickorywing.policy.jobpreview import preview_unit
from hickorywing.policy.jobpreview import UnitPreview
from hickorywing.policy.poolclaims import Claim
from hickorywing.policy.poolclaims import UnitKey
from hickorywing.policy.poolguarantees import find_covered
from hickorywing.policy.poolguarantees import rank_priority
from hickorywing.policy.poolhealth import WorkerHealth
from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolmodel import WorkerFacts
from hickorywing.policy.poolplanner import get_unit_job_id
from hickorywing.policy.poolplanner import Planner
from hickorywing.policy.poolplans import Plan
from hickorywing.policy.poolplans import PlanInput
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolprogress import estimate_left_s
from hickorywing.policy.poolprogress import estimate_lost_s
from hickorywing.policy.poolprogress import WorkerTerms
from hickorywing.policy.poolroom import compute_room
from hickorywing.policy.poolroom import get_task_room
from hickorywing.policy.poolroom import PoolRoom
from hickorywing.policy.poolruns import compute_time_left_s
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolruns import Unit
from hickorywing.policy.poolsearch import WaitingUnit
from hickorywing.policy.runtimes import ExpectedRunTime
from hickorywing.policy.speedmoves import SpeedMoves
from hickorywing.poolconfig import ConfigurationView
from hickorywing.runlearning import RunLearning
from hickorywing.runorders import RunOrders

__all__ = ["PlanAbandoned", "RunPlanning"]

# A worker whose last answered call is older gets no new work. Its age is that
# of a watch which was answered and of the next one, whose answer is still in
# time. A watch that fails marks the worker as silent at once.
MAX_SILENCE_S = 2 * (IDLE_WATCH_WAIT_S + WATCH_SLACK_S)
# Units of one step that a plan considers: more than one plan usually places.
MAX_WAITING_UNITS = 1_000
# After as many units of all jobs, each further job has a few.
MAX_PLAN_UNITS = 4_000
MAX_FURTHER_UNITS = 20
# Jobs, members or running units between two looks at the clock.
CHUNK_SIZE = 200
# Processor time in which one plan may decide about units. The next one goes on
# from there.
MAX_PLAN_S = 0.4

Result = TypeVar("Result")


class PlanAbandoned(HickorywingError):  # noqa: N818
    """Raised if the pool must not be planned any more during a plan."""


def take_first(units: Iterable[Unit], max_units: int) -> Iterator[Unit]:
    """Return the first units of each step, up to ``max_units`` of a job.

    The units of a step are alike, so a plan that places all of these is
    followed by one with the next.
    """
    counts: Counter[tuple[str, int, int]] = Counter()
    taken = 0
    for unit in units:
        if taken >= max_units:
            return
        counts[unit.step_key] += 1
        if counts[unit.step_key] <= MAX_WAITING_UNITS:
            taken += 1
            yield unit


def get_job_id(state: JobState) -> str:
    """Return the id of a job."""
    return state.job.job_id


def get_member_job_id(item: OpenMember) -> str:
    """Return the id of the job that a member belongs to."""
    return item.unit.job_id


def measure_member(item: OpenMember) -> tuple[str, Resources, bool]:
    """Return a member's worker, its room and whether it is being stopped."""
    need = Resources() + get_task_room(item.step)
    return item.member.worker, need, bool(item.unit.stopping)


async def never_pause() -> None:
    """Go on without letting others run."""


def complete(work: Coroutine[None, None, Result]) -> Result:
    """Return the result of work that never pauses."""
    try:
        work.send(None)
    except StopIteration as end:
        return end.value
    work.close()
    raise RuntimeError("the work has paused")


class RunPlanning:
    """Collects the planner's input during one term of a controller."""

    def __init__(
        self,
        workers: Mapping[str, AgentLink],
        view: ConfigurationView,
        health: WorkerHealth,
        learning: RunLearning,
        orders: RunOrders,
        terms: WorkerTerms,
        overtaking_limit_s: float,
        shares: CustomerShares | None = None,
    ) -> None:
        self._workers = workers
        self._view = view
        self._health = health
        self._learning = learning
        self._orders = orders
        self._terms = terms
        self._overtaking_limit_s = overtaking_limit_s
        self._shares = shares
        self._claims: dict[UnitKey, Claim] = {}
        self._reserved_since: dict[UnitKey, float] = {}
        # The unit at which the last plan stopped, if it took too long.
        self._next_unit: UnitKey | None = None
        self._headroom = UrgentHeadroom()
        self._set_aside = SetAsideJobs()
        self._speed_moves = SpeedMoves()

    async def make_plan(
        self,
        states: Iterable[JobState],
        members: Iterable[OpenMember],
        pacer: Pacer,
        may_plan: Callable[[], bool],
    ) -> Plan:
        """Return the units to start and to stop among the live jobs.

        The claims of a plan are an input of the next one. A successor begins
        without claims, but sees the room that is being freed. Jobs that are
        set aside, because planning them raised an error, are left out.

        Others run whenever ``pacer`` says so, and the plan may be out of date
        in parts when it is returned. One that takes too long stops, and the
        next one goes on with the next unit. Raises ``PlanAbandoned`` once
        ``may_plan`` no longer holds.
        """
        now = now_s()
        self._set_aside.forget_old(now)

        async def pause() -> None:
            if await pacer.pause_if_due() and not may_plan():
                raise PlanAbandoned("the pool must not be planned any more")

        plan = await self._plan(
            [
                state
                for state in states
                if not self._set_aside.contains(state.job.job_id, now)
            ],
            list(members),
            pacer,
            pause,
        )
        self._claims = plan.claims
        # A plan that stopped early hasn't looked at all units.
        earlier = self._reserved_since if self._next_unit else {}
        self._reserved_since = {**earlier, **plan.reserved_since}
        return plan

    def preview(
        self,
        state: JobState,
        states: Iterable[JobState],
        members: Iterable[OpenMember],
    ) -> list[UnitPreview]:
        """Return where a job that wasn't submitted would go now.

        Nothing is started or kept, and the headroom for urgent work doesn't
        remember the job.
        """
        members = list(members)
        headroom, moves = self._headroom, self._speed_moves
        next_unit = self._next_unit
        self._headroom = copy.deepcopy(headroom)
        self._speed_moves = copy.copy(moves)
        try:
            plan = complete(
                self._plan([*states, state], members, Pacer(), never_pause)
            )
        finally:
            self._headroom, self._speed_moves = headroom, moves
            self._next_unit = next_unit
        room = complete(self._compute_room(members, [], never_pause))
        covered = find_covered([*states, state], self._view.guarantees())
        waiting = list(self._list_waiting([state], covered, MAX_PLAN_UNITS))
        others = list(self._list_waiting(states, covered))
        return [
            preview_unit(
                item,
                plan,
                room.workers,
                room.free,
                sum(other.priority <= item.priority for other in others),
            )
            for item in waiting
        ]

    def set_aside(self, job_id: str) -> float:
        """Leave a job out of plans; return for how many seconds."""
        return self._set_aside.record(job_id, now_s())

    async def _plan(
        self,
        states: list[JobState],
        members: list[OpenMember],
        pacer: Pacer,
        pause: Callable[[], Awaitable[None]],
    ) -> Plan:
        faults: list[JobFault] = []
        covered = compute_without_faulty(
            lambda items: find_covered(items, self._view.guarantees()),
            states,
            get_job_id,
            faults,
        )
        waiting = await self._collect_waiting(states, covered, faults, pause)
        if not waiting and not self._health.pace.knows_slow():
            return Plan(faults=faults)
        room = await self._compute_room(members, faults, pause)
        running = await self._collect_running(states, covered, faults, pause)
        suspects = self._select_workers(room, self._health.is_suspect)
        slow = frozenset(filter(self._health.pace.is_slow, room.workers))
        await pause()
        headroom_workers = self._choose_headroom(
            room, [*waiting, *running], suspects, slow, faults
        )
        await pause()
        faulty = {fault.job_id for fault in faults}
        if self._shares is not None:
            waiting = rank_units(self._shares, waiting, running, room, now_s())
        self._speed_moves.keep_room(room.free)
        state = PlanInput(
            room.workers,
            room.free,
            room.releasing,
            [item for item in waiting if item.unit.job_id not in faulty],
            [item for item in running if item.unit.job_id not in faulty],
            now_s(),
            suspects,
            self._select_workers(room, self._health.succeeded_recently),
            self._claims,
            slow,
            headroom_workers,
            self._health.pace.list_factors(room.workers),
            self._health.choose_unsound(room.workers, now_s()),
            self._health.departures.list_exposed(room.workers, now_s()),
            self._reserved_since,
            self._overtaking_limit_s,
            self._health.pace.list_unmeasured(room.workers),
        )
        planner = Planner(state)
        # Collecting doesn't count, or many jobs would leave no time to decide.
        limit_s = pacer.busy_s + MAX_PLAN_S
        next_unit = None
        for item in planner.decide_in_order(self._next_unit):
            if pacer.busy_s >= limit_s:
                next_unit = item.unit.key
                break
            await pause()
        self._next_unit = next_unit
        self._speed_moves.add_to(planner.plan, state)
        planner.plan.faults.extend(faults)
        return planner.plan

    async def _collect_waiting(
        self,
        states: list[JobState],
        covered: frozenset[str],
        faults: list[JobFault],
        pause: Callable[[], Awaitable[None]],
    ) -> list[WaitingUnit]:
        """Return the units that wait, not all of them if there are many."""
        waiting: list[WaitingUnit] = []
        ordered = sorted(
            states,
            key=lambda state: (state.job.terms.priority, state.accepted),
        )
        for chunk in split_evenly(ordered, CHUNK_SIZE):
            await pause()
            for state in chunk:
                max_units = max(
                    MAX_PLAN_UNITS - len(waiting), MAX_FURTHER_UNITS
                )
                found = compute_without_faulty(
                    lambda items, limit=max_units: list(
                        self._list_waiting(items, covered, limit)
                    ),
                    [state],
                    get_job_id,
                    faults,
                )
                waiting.extend(found)
                if len(found) >= CHUNK_SIZE:
                    await pause()
        return waiting

    async def _collect_running(
        self,
        states: list[JobState],
        covered: frozenset[str],
        faults: list[JobFault],
        pause: Callable[[], Awaitable[None]],
    ) -> list[RunningUnit]:
        pairs = [
            (state, unit)
            for state in states
            for unit in state.list_running_units()
        ]
        running: list[RunningUnit] = []
        for chunk in split_evenly(pairs, CHUNK_SIZE):
            await pause()
            running += compute_without_faulty(
                lambda items: list(self._list_running(items, covered)),
                chunk,
                lambda pair: pair[0].job.job_id,
                faults,
            )
        return running

    def _choose_headroom(
        self,
        room: PoolRoom,
        units: list[WaitingUnit | RunningUnit],
        suspects: frozenset[str],
        slow: frozenset[str],
        faults: list[JobFault],
    ) -> frozenset[str]:
        """Return the workers kept as headroom for urgent work."""

        def choose(
            headroom: UrgentHeadroom,
            units: Iterable[WaitingUnit | RunningUnit],
        ) -> frozenset[str]:
            return headroom.choose(
                room.workers, units, suspects, slow, now_s()
            )

        return compute_without_faulty(
            lambda items: choose(self._headroom, items),
            units,
            get_unit_job_id,
            faults,
            probe=lambda items: choose(UrgentHeadroom(), items),
        )

    def _select_workers(
        self, room: PoolRoom, predicate: Callable[[str, float], bool]
    ) -> frozenset[str]:
        """Return the usable workers for which ``predicate`` holds now."""
        now = now_s()
        return frozenset(name for name in room.workers if predicate(name, now))

    def _list_waiting(
        self,
        states: Iterable[JobState],
        covered: frozenset[str],
        max_units: int = MAX_PLAN_UNITS,
    ) -> Iterator[WaitingUnit]:
        for state in states:
            priority = rank_priority(state, covered)
            expect = cache(partial(self._learning.expect, state))
            for unit in take_first(state.list_ready_units(), max_units):
                yield WaitingUnit(
                    unit,
                    state.job.steps[unit.step],
                    priority,
                    (float(state.accepted), unit.occurrence, unit.first),
                    state.list_avoided_workers(now_s()),
                    compute_time_left_s(
                        state, now_s(), expect(unit.step).typical_s
                    ),
                    customer=state.job.customer,
                    needs_few_workers=self._needs_few_workers(
                        state.job.steps[unit.step]
                    ),
                    expected=expect(unit.step),
                )

    def _needs_few_workers(self, step: Step) -> bool:
        """Return whether each further worker makes a loss more likely."""
        return (
            step.gang
            and not step.checkpoints
            and self._health.departures.seen_recently(now_s())
        )

    def _list_running(
        self,
        pairs: Iterable[tuple[JobState, Unit]],
        covered: frozenset[str],
    ) -> Iterator[RunningUnit]:
        now = now_s()
        expected: dict[tuple, ExpectedRunTime] = {}
        for state, unit in pairs:
            if unit.running:
                step, key = state.job.steps[unit.step], unit.step_key
                if key not in expected:
                    expected[key] = self._learning.expect(state, unit.step)
                priority = rank_priority(state, covered)
                yield RunningUnit(
                    unit,
                    step,
                    priority,
                    estimate_lost_s(unit, step, now, self._terms),
                    estimate_left_s(
                        unit,
                        now,
                        partial(self._learning.estimate_left_s, state, unit),
                    ),
                    time_left_s=compute_time_left_s(
                        state, now, expected[key].typical_s
                    ),
                    customer=state.job.customer,
                )

    async def _compute_room(
        self,
        members: list[OpenMember],
        faults: list[JobFault],
        pause: Callable[[], Awaitable[None]],
    ) -> PoolRoom:
        """Return the usable workers and their room.

        A worker counts as not usable if it runs a task whose room can't be
        computed.
        """
        workers = {
            name: WorkerFacts(
                name,
                link.report.zone,
                link.report.capacity,
                link.report.labels,
            )
            for name, link in self._workers.items()
            if self._is_usable(name, link)
        }
        known = len(faults)
        room = compute_room(workers, ())
        for chunk in split_evenly(members, CHUNK_SIZE):
            await pause()
            for worker, need, stopping in compute_without_faulty(
                lambda items: list(map(measure_member, items)),
                chunk,
                get_member_job_id,
                faults,
            ):
                room.occupy(worker, need, stopping)
        faulty = {fault.job_id for fault in faults[known:]}
        for item in members if faulty else ():
            if get_member_job_id(item) in faulty:
                room.workers.pop(item.member.worker, None)
                room.free.pop(item.member.worker, None)
        return room

    def _is_usable(self, name: str, link: AgentLink) -> bool:
        """Return whether a worker may get new work now."""
        report = link.report
        return (
            report is not None
            and report.worker == name
            and report.clock_ms > 0
            and not report.draining
            and not report.silent
            and report.zone not in self._view.zones_out
            and not link.silent
            and link.count_silent_s() < MAX_SILENCE_S
            and self._orders.is_trusted(name)
        )
