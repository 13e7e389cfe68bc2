"""Estimate the remaining time of a running unit and what a stop loses."""

from dataclasses import dataclass

from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolruns import Unit

__all__ = ["WorkerTerms", "estimate_left_s", "estimate_lost_s"]

# With less progress, the remaining time can't be estimated.
MIN_PERCENT = 5


@dataclass(frozen=True, slots=True)
class WorkerTerms:
    """Times of checkpoints and drains on workers, in seconds.

    A task writes a checkpoint after each ``save_s`` of work and takes
    ``restore_s`` to resume. A worker that is drained keeps running for at
    least ``drain_s``.
    """

    save_s: float = 0.5
    restore_s: float = 0.25
    drain_s: float = 0.0


def estimate_lost_s(
    unit: Unit, step: Step, now_s: float, terms: WorkerTerms
) -> float:
    """Return the run time in seconds that is lost if the unit stops now.

    A task that checkpoints saves its work when it is stopped, so it loses only
    the time to resume.
    """
    elapsed_s = max(0.0, now_s - unit.placed_at_s)
    if step.checkpoints:
        return min(elapsed_s, terms.restore_s)
    return elapsed_s


def estimate_left_s(unit: Unit, now_s: float) -> float:
    """Return the remaining run time in seconds, infinite if not known.

    It is extrapolated from the tasks' progress, as declared run times are too
    inaccurate. A gang ends when its last member does.
    """
    left_s = 0.0
    for member in unit.open_members():
        if member.percent < MIN_PERCENT:
            return float("inf")
        worked_s = member.percent_at_s - unit.placed_at_s
        total_s = worked_s * 100 / member.percent
        left_s = max(left_s, unit.placed_at_s + total_s - now_s)
    return left_s
