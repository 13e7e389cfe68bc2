"""Explain where a plan would put a job that hasn't been submitted."""

from collections.abc import Mapping
from dataclasses import dataclass

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolmodel import WorkerFacts
from hickorywing.policy.poolplans import Plan
from hickorywing.policy.poolroom import get_task_room
from hickorywing.policy.poolsearch import count_slots
from hickorywing.policy.poolsearch import find_allowed
from hickorywing.policy.poolsearch import WaitingUnit

__all__ = ["UnitPreview", "explain_wait", "preview_unit"]


@dataclass(frozen=True, slots=True)
class UnitPreview:
    """Where one unit of a job would go now, and why.

    ``outcome`` is "starts", "waits for claimed room" or "waits". ``workers``
    has a worker for each task; ``preempts`` lists the runs that would be
    stopped for the unit as ``JOB.OCCURRENCE.STEP.INDEX``. ``expected_s`` and
    ``late_s`` are the expected run time on a worker of usual speed; ``known``
    is whether finished runs have shown it.
    """

    step: int
    first: int
    tasks: int
    priority: int
    outcome: str
    reason: str
    workers: tuple[str, ...]
    preempts: tuple[str, ...]
    expected_s: float
    late_s: float
    known: bool


def preview_unit(
    waiting: WaitingUnit,
    plan: Plan,
    workers: Mapping[str, WorkerFacts],
    free: Mapping[str, Resources],
    ahead: int,
) -> UnitPreview:
    """Return what a plan decides about a waiting unit.

    ``free`` is the room of each usable worker before the plan, and ``ahead``
    the number of units that the plan handles before this one.
    """
    unit = waiting.unit
    placed: tuple[str, ...] = ()
    outcome = "waits"
    claim = plan.claims.get(unit.key)
    for start in plan.starts:
        if start.unit is unit:
            outcome, placed = "starts", start.workers
    if claim is not None:
        outcome, placed = "waits for claimed room", claim.workers
    preempted = [
        ".".join(map(str, victim.key))
        for victim, preemptor in plan.stops
        if preemptor is unit
    ]
    if outcome == "starts":
        reason = "has room now, by best fit"
    elif claim is not None and claim.awaited:
        reason = "running work is about to end there"
    elif claim is not None:
        reason = "less urgent work is being stopped there"
    else:
        reason = explain_wait(waiting.step, unit.count, workers, free, ahead)
    expected = waiting.expected
    return UnitPreview(
        unit.step,
        unit.first,
        unit.count,
        waiting.priority,
        outcome,
        reason,
        placed,
        tuple(preempted),
        round(waiting.run_time_s, 2),
        round(waiting.run_time_s if expected is None else expected.late_s, 2),
        expected is not None and expected.known,
    )


def explain_wait(
    step: Step,
    count: int,
    workers: Mapping[str, WorkerFacts],
    free: Mapping[str, Resources],
    ahead: int,
) -> str:
    """Return why a unit of ``count`` tasks of a step doesn't start."""
    need = get_task_room(step)
    limit = step.spread_limit or count
    allowed = find_allowed(step, workers, workers)
    if not allowed:
        return f"no worker has the label {step.required_label!r}"
    capacity = sum(
        count_slots(need, workers[worker].capacity, limit)
        for worker in allowed
    )
    if capacity < count:
        return f"the pool could hold {capacity} of {count} tasks at most"
    slots = sum(
        count_slots(need, free[worker], limit)
        for worker in allowed
        if worker in free
    )
    if slots < count:
        return f"free room for {min(slots, count)} of {count} tasks"
    return (
        f"the free room is kept: {ahead} units come first, and some is kept"
        " for urgent work, for large units or away from failures"
    )
