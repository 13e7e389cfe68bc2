"""Decide which running units to move from slow to faster workers.

The load that this answers: a gang was started on slow workers, because the
others were in use or because nothing was known of their speeds yet, and
faster workers have room before it ends. A move costs the time of a stop, the
work that isn't saved or the time to restore it, and core-seconds. So a unit
is moved only if it is expected to miss its objective where it is and to meet
it on workers that have room for all of it, only if it then ends clearly
earlier, and only once.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Set

from hickorywing.policy.jobfaults import JobFault
from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolplans import Plan
from hickorywing.policy.poolplans import PlanInput
from hickorywing.policy.poolplans import SpeedMove
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolroom import get_task_room
from hickorywing.policy.poolsearch import find_sufficient_racks
from hickorywing.policy.poolsearch import place_unit
from hickorywing.policy.poolsearch import URGENT_PRIORITY
from hickorywing.policy.poolsearch import WaitingUnit
from hickorywing.policy.speedchoice import COMPLETION_LATENCY_S
from hickorywing.policy.speedchoice import MARKED_SLOWDOWN

__all__ = ["SpeedMoves", "choose_moves"]

# Expected time until a unit has stopped and started again.
TYPICAL_MOVE_S = 1.0
# A move has to save this much time, and for work that isn't urgent this many
# times what it costs.
MIN_GAIN_S = 1.0
MIN_GAIN_RATIO = 2.0
# With less progress, the remaining time says too little.
MIN_PERCENT = 10


class SpeedMoves:
    """Keeps the room for the units that are being moved."""

    def __init__(self) -> None:
        self._under_way: dict[tuple, tuple[SpeedMove, Resources]] = {}

    def add_to(self, plan: Plan, state: PlanInput) -> None:
        """Add the moves that pay to a plan made from ``state``."""
        plan.moves.extend(choose_moves(state, plan))
        steps = {item.unit.key: item.step for item in state.running}
        for move in plan.moves:
            need = get_task_room(steps[move.unit.key])
            self._under_way[move.unit.key] = (move, need)

    def keep_room(self, free: dict[str, Resources]) -> None:
        """Reduce the free room by what moved units take once they stop."""
        self._under_way = {
            key: (move, need)
            for key, (move, need) in self._under_way.items()
            if move.unit.running and move.unit.stopping
        }
        for move, need in self._under_way.values():
            held = Counter(item.worker for item in move.unit.open_members())
            for worker in (Counter(move.workers) - held).elements():
                if worker in free:
                    free[worker] = free[worker] - need


def choose_moves(state: PlanInput, plan: Plan) -> list[SpeedMove]:
    """Return the moves that pay, beside a plan made from the same state."""
    markedly_slow = {
        worker
        for worker, slowdown in state.slowdowns.items()
        if slowdown >= MARKED_SLOWDOWN
    }
    stopped = {unit.key for unit, _ in plan.stops}
    candidates = [
        item
        for item in state.running
        if item.unit.key not in stopped
        and is_late_by_speed(item, markedly_slow)
    ]
    moves: list[SpeedMove] = []
    if not candidates:
        return moves
    free = compute_left_room(state, plan)
    started = {start.unit.key for start in plan.starts}
    # What still waits needs the room as much.
    priority_limit = min(
        (
            item.priority
            for item in state.waiting
            if item.unit.key not in started
        ),
        default=float("inf"),
    )
    for item in sorted(candidates, key=lambda item: item.priority):
        if item.priority >= priority_limit:
            break
        try:
            move = find_move(item, state, free, markedly_slow)
        except Exception as error:
            plan.faults.append(JobFault(item.unit.job_id, error))
            continue
        if move is not None:
            moves.append(move)
            for worker in move.workers:
                free[worker] = free[worker] - get_task_room(item.step)
    return moves


def is_late_by_speed(item: RunningUnit, markedly_slow: Set[str]) -> bool:
    """Return whether a unit on slow workers will miss its objective."""
    unit = item.unit
    if unit.stopping or unit.speed_moves or unit.crashes:
        return False
    if not item.step.checkpoints and item.priority > URGENT_PRIORITY:
        return False
    if item.remaining_s + COMPLETION_LATENCY_S <= item.time_left_s:
        return False
    members = list(unit.open_members())
    return any(member.worker in markedly_slow for member in members) and all(
        member.percent >= MIN_PERCENT for member in members
    )


def compute_left_room(state: PlanInput, plan: Plan) -> dict[str, Resources]:
    """Return the room that a plan neither starts in nor keeps."""
    free = dict(state.free)
    steps = {item.unit.key: item.step for item in state.waiting}
    taken = [(start.unit.key, start.workers) for start in plan.starts]
    taken += [(key, claim.workers) for key, claim in plan.claims.items()]
    for key, workers in taken:
        for worker in workers:
            free[worker] = free[worker] - get_task_room(steps[key])
    return free


def find_move(
    item: RunningUnit,
    state: PlanInput,
    free: dict[str, Resources],
    markedly_slow: Set[str],
) -> SpeedMove | None:
    """Return the move of a unit to faster workers if it pays."""
    unit, step = item.unit, item.step
    excluded = state.slow | markedly_slow | state.suspects | state.unsound
    if item.priority > URGENT_PRIORITY:
        excluded |= state.headroom_workers
    rooms = {
        worker: room for worker, room in free.items() if worker not in excluded
    }
    for member in unit.open_members():
        if member.worker in rooms:
            rooms[member.worker] += get_task_room(step)
    workers = place_unit(
        WaitingUnit(unit, step, item.priority, ()),
        rooms,
        state.workers,
        count_others(item, state.running),
        find_sufficient_racks(step, state.workers),
        may_spread=False,
    )
    if workers is None:
        return None
    here = find_slowdown(state, (item.worker for item in unit.open_members()))
    there = find_slowdown(state, workers)
    work_s = item.remaining_s
    if not step.checkpoints:
        work_s += state.now_s - unit.placed_at_s
    ready_s = TYPICAL_MOVE_S + work_s * there / here
    if step.checkpoints:
        ready_s += item.lost_s
    gain_s = item.remaining_s - ready_s
    if ready_s + COMPLETION_LATENCY_S > item.time_left_s or gain_s < max(
        MIN_GAIN_S,
        0.0
        if item.priority <= URGENT_PRIORITY
        else MIN_GAIN_RATIO * (TYPICAL_MOVE_S + item.lost_s),
    ):
        return None
    return SpeedMove(unit, workers, gain_s)


def find_slowdown(state: PlanInput, workers: Iterable[str]) -> float:
    """Return the factor of the slowest of some workers."""
    return max(state.slowdowns.get(worker, 1.0) for worker in workers)


def count_others(
    item: RunningUnit, running: Iterable[RunningUnit]
) -> Counter[str]:
    """Count the tasks of other units of a unit's step on each worker."""
    return Counter(
        member.worker
        for other in running
        if other.unit.step_key == item.unit.step_key
        and other.unit.key != item.unit.key
        for member in other.unit.open_members()
    )
