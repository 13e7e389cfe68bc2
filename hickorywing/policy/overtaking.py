"""Bound how long a waiting unit is overtaken by less urgent work.

A gang needs the room of several workers, often of one rack, at once. On a full
pool each room that comes free is too small for it and fits single tasks of a
lower priority, which take it at once. Once a unit has waited for a limit, less
urgent work is displaced for it if that pays: the stops lose less than a share
of the work that the unit does in the room, and the room would not come free by
itself soon.
"""

from hickorywing.policy.poolpreemption import count_core_equivalents
from hickorywing.policy.poolpreemption import Preemption
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolsearch import URGENT_PRIORITY
from hickorywing.policy.poolsearch import WaitingUnit

__all__ = ["is_overtaken", "is_worth_displacing", "may_displace"]

# Largest work that stops may lose, as a share of the work that the waiting
# unit is expected to do, both in core-seconds.
MAX_LOST_SHARE = 0.08
# Room that comes free by itself within this time is waited for.
MIN_WAIT_S = 1.5
# A unit is not displaced once it has been started this often, so that it ends.
MAX_RUNS = 6


def is_overtaken(waiting: WaitingUnit, now_s: float, limit_s: float) -> bool:
    """Return whether a unit that isn't urgent has waited for the limit."""
    waited_s = now_s - waiting.unit.waiting_since_s
    return waiting.priority > URGENT_PRIORITY and waited_s >= limit_s


def may_displace(waiting: WaitingUnit, item: RunningUnit) -> bool:
    """Return whether running work may give way to a unit that is overtaken.

    Tasks that last never do.
    """
    return (
        item.priority > waiting.priority
        and item.unit.run < MAX_RUNS
        and not item.step.lasting
    )


def is_worth_displacing(
    waiting: WaitingUnit, preemption: Preemption, expected_wait_s: float
) -> bool:
    """Return whether stops for a unit that is overtaken pay.

    ``expected_wait_s`` is the time until its room comes free by itself.
    """
    work = (
        waiting.run_time_s
        * count_core_equivalents(waiting.step)
        * waiting.unit.count
    )
    return (
        expected_wait_s > MIN_WAIT_S
        and preemption.cost <= MAX_LOST_SHARE * work
    )
