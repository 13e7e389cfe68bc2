"""Order the units that wait for room.

Covered work comes first in everything. Then a task that lasts and is due comes
before all room that is kept for others, as its bound is the shortest and it
needs little room. All other units follow by priority, by ``rank`` within a
priority, and by their acceptance.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from hickorywing.policy.poolguarantees import COVERED_PRIORITY
from hickorywing.policy.poolsearch import WaitingUnit

__all__ = ["LASTING_WAIT_S", "PlanOrder", "is_due_lasting", "order_units"]

# A task that lasts waits this long for room that is kept for nobody else. It
# must start within 3 s while there is any room, whoever waits beside it.
LASTING_WAIT_S = 1.0


def is_due_lasting(waiting: WaitingUnit, now_s: float) -> bool:
    """Return whether a unit lasts and may take room kept for others."""
    if not waiting.step.lasting:
        return False
    waited_s = now_s - waiting.unit.waiting_since_s
    return waited_s >= LASTING_WAIT_S


@dataclass(frozen=True, slots=True)
class PlanOrder:
    """The order in which a plan decides about waiting units.

    The claims of ``covered`` are kept first, then ``due_lasting`` are placed,
    then the claims of ``others`` are kept, and last ``covered`` and ``others``
    are placed.
    """

    covered: list[WaitingUnit]
    due_lasting: list[WaitingUnit]
    others: list[WaitingUnit]


def order_units(waiting: Iterable[WaitingUnit], now_s: float) -> PlanOrder:
    """Return the order of waiting units in a plan."""
    ordered = sorted(
        waiting, key=lambda item: (item.priority, item.rank, item.order)
    )
    order = PlanOrder([], [], [])
    for item in ordered:
        if is_due_lasting(item, now_s):
            order.due_lasting.append(item)
        elif item.priority <= COVERED_PRIORITY:
            order.covered.append(item)
        else:
            order.others.append(item)
    return order
