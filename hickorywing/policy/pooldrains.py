"""Decide which runs leave a worker that is about to leave itself.

Answers workers that are taken away at short notice: a run that can't end in
the time that is left loses its work when the worker goes, so it is better
started elsewhere at once. One that can end is left alone.
"""

from hickorywing.policy.poolprogress import estimate_left_s
from hickorywing.policy.poolruns import Unit

__all__ = ["should_move"]

# An estimate from the share of work done is off by about one step of it, and
# an end takes a few round trips to be noted.
MARGIN_S = 0.3


def should_move(unit: Unit, now_s: float, leaves_s: float) -> bool:
    """Tell whether a unit should be started again on other workers.

    ``leaves_s`` is the moment at which the worker may leave. A unit of which
    nothing is known yet has lost little, and moves.
    """
    return now_s + estimate_left_s(unit, now_s) > leaves_s - MARGIN_S
