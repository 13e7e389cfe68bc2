"""Decide which runs leave a worker that is about to leave itself.

Answers workers that are taken away at short notice. A run that checkpoints and
can't end in the time that is left is stopped, which saves its work, and goes
on elsewhere. Others are left alone: they may still end, as a worker often
stays longer than it says, and stopping them loses their work for certain.
"""

from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolprogress import estimate_left_s
from hickorywing.policy.poolruns import Unit

__all__ = ["should_move"]

# An estimate from the share of work done is off by about one step of it, and
# an end takes a few round trips to be noted.
MARGIN_S = 0.3


def should_move(unit: Unit, step: Step, now_s: float, leaves_s: float) -> bool:
    """Tell whether a unit should go on on other workers.

    ``leaves_s`` is the moment at which the worker may leave. A unit of whose
    pace nothing is known yet counts as one that can't end.
    """
    if not step.checkpoints:
        return False
    return now_s + estimate_left_s(unit, now_s) > leaves_s - MARGIN_S
