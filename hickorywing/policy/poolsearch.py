"""Find workers for one unit by label and rack, best fit first.

On full pools of hundreds of workers, a plan searches for hundreds of units.
The cost of a search therefore depends only on the workers that have room, and
a unit does not wait for a rack that could never hold it.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import KW_ONLY

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolmodel import WorkerFacts
from hickorywing.policy.poolroom import get_task_room
from hickorywing.policy.poolruns import Unit
from hickorywing.policy.runtimes import ExpectedRunTime

__all__ = [
    "RACK_WAIT_S",
    "URGENT_PRIORITY",
    "WaitingUnit",
    "count_slots",
    "fill_workers",
    "find_allowed",
    "find_sufficient_racks",
    "group_workers",
    "place_unit",
    "prefers_rack",
]

# A job that runs away from its data takes several times as long, so it first
# waits this long for room in its data's rack. It must stay below the 3 s after
# which an idle task counts as forgotten.
RACK_WAIT_S = 1.5
# Priority of urgent work that no guarantee covers. Smaller numbers are more
# urgent.
URGENT_PRIORITY = 0


@dataclass(frozen=True, slots=True)
class WaitingUnit:
    """A unit that may start now.

    ``avoided_workers`` are the workers on which its job failed recently.
    ``rank`` orders units of equal priority, the smallest first, and ``order``
    those of equal rank; ``customer`` owns the job. ``time_left_s`` is the time
    left in seconds to complete its job within its objective, infinite if that
    does not depend on this unit alone. ``expected`` is the expected run time
    of its tasks, by default the declared one. A gang that
    ``needs_few_workers`` is placed on as few of them as the best fit allows.
    """

    unit: Unit
    step: Step
    priority: int
    order: tuple[float, ...]
    avoided_workers: frozenset[str] = frozenset()
    time_left_s: float = float("inf")
    _: KW_ONLY
    customer: str = ""
    needs_few_workers: bool = False
    expected: ExpectedRunTime | None = None
    rank: float = 0.0

    @property
    def run_time_s(self) -> float:
        """Return the expected run time on a worker of usual speed."""
        if self.expected is None:
            return self.step.estimate_s
        return self.expected.typical_s


def place_unit(
    waiting: WaitingUnit,
    rooms: dict[str, Resources],
    workers: dict[str, WorkerFacts],
    present: Mapping[str, int],
    racks: frozenset[str],
    may_spread: bool,
) -> tuple[str, ...] | None:
    """Return a worker for each task of the unit, or ``None``.

    ``present`` counts the tasks of the same step on each worker, and
    ``racks`` are the racks that could hold the whole unit if nothing ran
    there. Either all tasks are placed or none. A unit that prefers one rack
    is spread over several only if ``may_spread`` is set or ``racks`` is empty.
    """
    step = waiting.step
    allowed = find_allowed(step, rooms, workers)
    count = waiting.unit.count
    for group in group_workers(step, allowed, workers, racks):
        placed = fill_workers(
            step, count, group, rooms, present, waiting.needs_few_workers
        )
        if placed is not None:
            return placed
    if prefers_rack(step) and racks and not may_spread:
        return None
    return fill_workers(
        step, count, allowed, rooms, present, waiting.needs_few_workers
    )


def find_allowed(
    step: Step,
    rooms: Mapping[str, object],
    workers: Mapping[str, WorkerFacts],
) -> list[str]:
    """Return the workers of ``rooms`` with the label that a step requires."""
    label = step.required_label
    return [
        worker
        for worker in rooms
        if not label or label in workers[worker].labels
    ]


def prefers_rack(step: Step) -> bool:
    """Return whether a step's tasks run faster in one rack than elsewhere."""
    return bool(step.data_rack) or step.one_rack


def find_sufficient_racks(
    step: Step, workers: Mapping[str, WorkerFacts]
) -> frozenset[str]:
    """Return the racks on which a unit of a step would fit if nothing ran.

    The result is empty for a step without a preferred rack, for a gang wider
    than any rack, and for data on a rack that is gone: waiting for room in a
    rack is then useless.
    """
    if not prefers_rack(step):
        return frozenset()
    need = get_task_room(step)
    count = step.count if step.gang else 1
    slots: Counter[str] = Counter()
    for worker in find_allowed(step, workers, workers):
        facts = workers[worker]
        if step.data_rack in ("", facts.rack):
            slots[facts.rack] += count_slots(
                need, facts.capacity, step.spread_limit or count
            )
    return frozenset(rack for rack in slots if slots[rack] >= count)


def count_slots(need: Resources, room: Resources, limit: int) -> int:
    """Return how many equal tasks fit into a room, at most ``limit``."""
    slots = limit
    for needed, available in (
        (need.cores_milli, room.cores_milli),
        (need.memory_mb, room.memory_mb),
        (need.accelerators, room.accelerators),
    ):
        if needed > 0:
            slots = min(slots, available // needed)
    return max(0, slots)


def group_workers(
    step: Step,
    allowed: Iterable[str],
    workers: Mapping[str, WorkerFacts],
    racks: frozenset[str],
) -> list[list[str]]:
    """Return the allowed workers of each rack in ``racks``, one list a rack.

    The result is empty for a step without a preferred rack.
    """
    if not prefers_rack(step):
        return []
    groups: dict[str, list[str]] = {}
    for worker in allowed:
        rack = workers[worker].rack
        if rack in racks:
            groups.setdefault(rack, []).append(worker)
    return [groups[rack] for rack in sorted(groups)]


def fill_workers(
    step: Step,
    count: int,
    allowed: list[str],
    rooms: dict[str, Resources],
    present: Mapping[str, int],
    fewest: bool = False,
) -> tuple[str, ...] | None:
    """Place tasks by best fit; return their workers, or ``None``.

    The worker with the least room stays the best fit until it is full, so
    workers are sorted once and filled in that order. With ``fewest``, those
    are left out whose tasks the last worker takes as well: no worker gets
    tasks that would have none otherwise.
    """
    need = get_task_room(step)
    ranked = sorted(
        (rooms[worker].accelerators, rooms[worker].cores_milli, worker)
        for worker in allowed
        if need.fits_in(rooms[worker])
    )
    slots: dict[str, int] = {}
    spare = -count
    for _, _, worker in ranked:
        limit = count
        if step.spread_limit:
            limit = min(count, step.spread_limit - present.get(worker, 0))
        slots[worker] = count_slots(need, rooms[worker], limit)
        spare += slots[worker]
        if spare >= 0:
            break
    else:
        return None
    placed: list[str] = []
    for worker, number in slots.items():
        if fewest and number <= spare:
            spare -= number
            continue
        placed.extend([worker] * number)
    return tuple(placed[:count])
