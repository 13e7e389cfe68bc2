"""Recognise runs that have stopped making progress.

Answers workers on which tasks stand still although the worker looks healthy.
A short standstill costs less than starting again, so a run is given up only
once it has stood still for longer than what it would lose, and much longer
than its own pace explains.
"""

from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolruns import Member
from hickorywing.policy.poolruns import Unit

__all__ = ["is_stalled"]

# Shorter standstills are ordinary: a look a second, and a resuming task.
LEAST_STALL_S = 4.0
# Steps of one per cent vary around their mean by less than this.
PACE_FACTOR = 6.0
# With no step seen yet, the declared run time is the only guide. It is off by
# up to ten times, and a first step is a hundredth of the work.
DECLARED_SHARE = 0.5
# A unit that was given up before may just be slow, so each time it gets more.
GROWTH = 4.0


def is_stalled(
    unit: Unit, member: Member, step: Step, now_s: float, lost_s: float
) -> bool:
    """Tell whether a member should be started again elsewhere.

    ``lost_s`` is the time of work that giving the run up would lose.
    """
    if not member.seen or step.lasting or member.percent >= 100:
        return False
    if member.percent > 0:
        worked_s = member.percent_at_s - unit.placed_at_s
        pace_s = worked_s / member.percent
        still_s = now_s - member.percent_at_s
        patience_s = PACE_FACTOR * pace_s
    elif step.estimate_s > 0:
        still_s = now_s - unit.placed_at_s
        patience_s = DECLARED_SHARE * step.estimate_s
    else:
        # The first step of undeclared work may take any time.
        return False
    worth_s = min(lost_s, now_s - unit.placed_at_s - still_s)
    limit_s = max(LEAST_STALL_S, patience_s, worth_s)
    return still_s > limit_s * GROWTH**unit.stalls
