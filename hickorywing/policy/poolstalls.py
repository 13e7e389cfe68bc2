"""Detect runs that have stopped making progress.

Tasks may stall on a worker that otherwise looks healthy. A short stall costs
less than a restart, so a run counts as stalled only once it has made no
progress for longer than the work that a restart would lose, and for much
longer than its own pace explains.
"""

from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolruns import Member
from hickorywing.policy.poolruns import Unit

__all__ = ["is_stalled"]

# Shorter pauses are normal: workers are polled once a second, and a resuming
# task takes a while.
MIN_STALL_S = 4.0
# One per cent of the work takes less than this many times its mean time.
PACE_FACTOR = 6.0
# Before the first progress, the time allowed is this share of the declared run
# time. The declaration may be wrong by a factor of ten, while the first report
# of progress is due after one hundredth of the work.
DECLARED_FACTOR = 0.5
# A unit stopped as stalled before may just be slow, so the time allowed grows
# by this factor each time.
BACKOFF_FACTOR = 4.0


def is_stalled(
    unit: Unit, member: Member, step: Step, now_s: float, lost_s: float
) -> bool:
    """Return whether a member is stalled and should restart elsewhere.

    ``lost_s`` is the run time in seconds that a stop would lose.
    """
    if not member.seen or step.lasting or member.percent >= 100:
        return False
    if member.percent > 0:
        worked_s = member.percent_at_s - unit.placed_at_s
        pace_s = worked_s / member.percent
        stalled_s = now_s - member.percent_at_s
        expected_s = PACE_FACTOR * pace_s
    elif step.estimate_s > 0:
        stalled_s = now_s - unit.placed_at_s
        expected_s = DECLARED_FACTOR * step.estimate_s
    else:
        # Without a declared run time, the first progress may take any time.
        return False
    loss_s = min(lost_s, now_s - unit.placed_at_s - stalled_s)
    limit_s = max(MIN_STALL_S, expected_s, loss_s)
    return stalled_s > limit_s * BACKOFF_FACTOR**unit.stalls
