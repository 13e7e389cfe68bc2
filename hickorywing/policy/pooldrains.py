"""Decide which runs leave a worker that is about to leave itself.

Answers workers that are drained, or taken away at short notice. A run that
checkpoints and can't end in the time that is left is stopped, which saves its
work, and goes on elsewhere. Others are left alone on a worker that is drained,
as it may stay longer than it says and stopping them loses their work for
certain. A worker that is taken away is gone when it said, without a word, and
gangs would then wait for its lease as well, so they start anew at once.
"""

from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolprogress import estimate_left_s
from hickorywing.policy.poolruns import Unit

__all__ = ["should_move"]

# An estimate from the share of work done is off by about one step of it, and
# an end takes a few round trips to be noted.
MARGIN_S = 0.3


def should_move(
    unit: Unit,
    step: Step,
    now_s: float,
    leaves_s: float,
    taken_away: bool = False,
) -> bool:
    """Tell whether a unit should go on on other workers.

    ``leaves_s`` is the moment at which the worker may leave. A unit of whose
    pace nothing is known yet counts as one that can't end. ``taken_away``
    tells that the worker won't stay longer.
    """
    if not step.checkpoints and not taken_away:
        return False
    return now_s + estimate_left_s(unit, now_s) > leaves_s - MARGIN_S
