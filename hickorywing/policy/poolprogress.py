"""Estimate the remaining time of a running unit and what a stop loses."""

from collections.abc import Callable
from dataclasses import dataclass

from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolruns import Member
from hickorywing.policy.poolruns import Unit

__all__ = [
    "WorkerTerms",
    "estimate_left_s",
    "estimate_lost_s",
    "extrapolate_total_s",
    "is_resumed",
]

# With less progress, the remaining time can't be estimated.
MIN_PERCENT = 5

ExpectLeft = Callable[[float, float], float]


def expect_nothing(ran_s: float, saved: float) -> float:
    """Return that the remaining run time is not known."""
    return float("inf")


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


def estimate_left_s(
    unit: Unit, now_s: float, expect_left: ExpectLeft = expect_nothing
) -> float:
    """Return the remaining run time in seconds, infinite if not known.

    It is extrapolated from the tasks' progress, as declared run times are too
    inaccurate. For tasks with too little progress, ``expect_left`` returns it
    from the time in seconds that the run has taken so far, and the share of
    the work that an earlier run had saved. A gang ends when its last member
    does.
    """
    left_s = 0.0
    for member in unit.open_members():
        member_left_s = extrapolate_left_s(unit, member, now_s)
        if member_left_s is None:
            saved = member.first_percent / 100 if is_resumed(unit) else 0.0
            ran_s = max(0.0, now_s - unit.placed_at_s)
            member_left_s = expect_left(ran_s, saved)
        left_s = max(left_s, member_left_s)
    return left_s


def extrapolate_left_s(
    unit: Unit, member: Member, now_s: float
) -> float | None:
    """Return the remaining run time of a member, ``None`` if not known."""
    total_s = extrapolate_total_s(unit, member)
    if total_s is None:
        return None
    return member.percent_at_s + total_s * (1 - member.percent / 100) - now_s


def extrapolate_total_s(unit: Unit, member: Member) -> float | None:
    """Return the time that a member takes for all of its work, if known.

    The progress of a run that resumes from a checkpoint is counted from its
    first report, as what came before was done by an earlier run.
    """
    percent, since_s = member.percent, unit.placed_at_s
    if is_resumed(unit):
        if member.first_percent_at_s is None:
            return None
        percent -= member.first_percent
        since_s = member.first_percent_at_s
    if percent < MIN_PERCENT:
        return None
    return max(0.0, member.percent_at_s - since_s) * 100 / percent


def is_resumed(unit: Unit) -> bool:
    """Return whether a unit's run may have resumed from a checkpoint."""
    return unit.run > 1 and bool(unit.saved)
