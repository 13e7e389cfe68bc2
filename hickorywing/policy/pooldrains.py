"""Decide which runs to move off a worker that is about to leave.

Workers leave after a drain, or are taken away at short notice. A run that
checkpoints and can't end in the remaining time is stopped, which saves its
work, and continues elsewhere. A run without checkpoints stays on a draining
worker: the worker may stay longer than announced, and a stop certainly loses
the work. A worker that is taken away disappears at the announced time without
reporting the ends of its runs, and their gangs would have to wait until its
lease expires. There, such runs are stopped as well and restart at once.
"""

from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolprogress import estimate_left_s
from hickorywing.policy.poolruns import Unit

__all__ = ["should_move"]

# An estimate from a task's progress is off by about one per cent of the work,
# and it takes a few round trips until an end is stored.
END_MARGIN_S = 0.3


def should_move(
    unit: Unit,
    step: Step,
    now_s: float,
    leaves_s: float,
    taken_away: bool = False,
) -> bool:
    """Return whether a unit should continue on other workers.

    ``leaves_s`` is the time at which the worker may leave, on the clock of
    ``now_s``. A unit without an estimate of its remaining time counts as one
    that can't end in time. ``taken_away`` is whether the worker is certain to
    leave then.
    """
    if not step.checkpoints and not taken_away:
        return False
    return now_s + estimate_left_s(unit, now_s) > leaves_s - END_MARGIN_S
