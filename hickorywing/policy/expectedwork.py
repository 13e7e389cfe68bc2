"""Compute the expected work and the slack of waiting units, to order them."""

from hickorywing.policy.poolpreemption import count_core_equivalents
from hickorywing.policy.poolsearch import WaitingUnit

__all__ = ["estimate_slack_s", "estimate_work"]


def estimate_work(waiting: WaitingUnit) -> float:
    """Return the expected work of a unit in core-seconds.

    An accelerator counts as several cores. The result is 0 if nothing is known
    of the run time.
    """
    cores = count_core_equivalents(waiting.step) * waiting.unit.count
    return cores * waiting.run_time_s


def estimate_slack_s(waiting: WaitingUnit) -> float:
    """Return how long a unit may wait and still meet its objective, in s.

    It is negative for a unit that is expected to be late, and infinite for one
    without an objective of its own, or whose run time isn't known from
    finished runs: a declared run time is too inaccurate to precede others.
    """
    if waiting.expected is None or not waiting.expected.known:
        return float("inf")
    return waiting.time_left_s - waiting.run_time_s
