"""Estimate from its progress what a running unit has left, and could lose."""

from dataclasses import dataclass

from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolruns import Unit

__all__ = ["WorkerTerms", "estimate_left_s", "estimate_lost_s"]

# Below this the share of work done says too little about its speed.
LEAST_PERCENT = 5


@dataclass(frozen=True, slots=True)
class WorkerTerms:
    """How workers save and leave, in seconds.

    A task saves after each ``save_s`` of work and resumes in ``restore_s``. A
    worker that leaves as planned serves for ``drain_s`` more at least.
    """

    save_s: float = 0.5
    restore_s: float = 0.25
    drain_s: float = 0.0


def estimate_lost_s(
    unit: Unit, step: Step, now_s: float, terms: WorkerTerms
) -> float:
    """Return the time of work that is lost if the unit is stopped now.

    A task that checkpoints saves when it is stopped, so it loses only the
    time that resuming takes.
    """
    elapsed_s = max(0.0, now_s - unit.placed_at_s)
    if step.checkpoints:
        return min(elapsed_s, terms.restore_s)
    return elapsed_s


def estimate_left_s(unit: Unit, now_s: float) -> float:
    """Return how long the unit still needs, infinite if that isn't known.

    The tasks' own shares of work done are used, as declared run times are far
    off. A gang ends when its last member does.
    """
    left_s = 0.0
    for member in unit.open_members():
        if member.percent < LEAST_PERCENT:
            return float("inf")
        worked_s = member.percent_at_s - unit.placed_at_s
        whole_s = worked_s * 100 / member.percent
        left_s = max(left_s, unit.placed_at_s + whole_s - now_s)
    return left_s
