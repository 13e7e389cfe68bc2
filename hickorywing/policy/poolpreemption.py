"""Choose the running work that gives way to an urgent unit.

Answers urgent gangs on full workers: the room of whole workers has to be
freed at once, and every unit that is stopped loses what it has not saved. A
gang loses the work of all its members, wherever they are, so the choice is
made by the loss of whole units, worker by worker.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolroom import count_room
from hickorywing.policy.poolruns import Unit

__all__ = [
    "RunningUnit",
    "Sacrifice",
    "choose_victims",
    "count_spread",
    "held_on",
    "index_victims",
    "price_cores",
    "release",
]

# The price of one accelerator in cores, as the users count thrown-away work.
CORES_PER_ACCELERATOR = 8


@dataclass(frozen=True, slots=True)
class RunningUnit:
    """A unit at work.

    ``lost_s`` is the time of work that a stop would lose, ``left_s`` the
    estimate of what it still needs, infinite while nothing is known.
    """

    unit: Unit
    step: Step
    priority: int
    lost_s: float
    left_s: float = float("inf")

    @property
    def cost(self) -> float:
        """Return the core-seconds that a stop throws away."""
        return self.lost_s * price_cores(self.step) * self.unit.count


def price_cores(step: Step) -> float:
    """Return what a task of a step holds, in cores."""
    cores = step.resources.cores_milli / 1000
    return cores + CORES_PER_ACCELERATOR * step.resources.accelerators


@dataclass(slots=True)
class Sacrifice:
    """Units to stop, and where the urgent unit then fits."""

    cost: float = 0.0
    victims: list[RunningUnit] = field(default_factory=list)
    workers: list[str] = field(default_factory=list)


def release(rooms: dict[str, Resources], victim: RunningUnit) -> None:
    """Add to the rooms what a running unit holds."""
    for member in victim.unit.open_members():
        if member.worker in rooms:
            rooms[member.worker] += count_room(victim.step)


def choose_victims(
    step: Step,
    count: int,
    group: Iterable[str],
    rooms: dict[str, Resources],
    present: Counter,
    victims: dict[str, list[RunningUnit]],
) -> Sacrifice | None:
    """Return the cheapest way found to fit ``count`` tasks into a group.

    ``victims`` lists for each worker the units that may be stopped, the
    cheapest first. Tasks are placed one after another, each where it costs
    least; ``None`` means that even stopping all of them frees too little.
    """
    need = count_room(step)
    left = {worker: rooms[worker] for worker in group}
    used = Counter(present)
    chosen = Sacrifice()
    stopped: set[tuple] = set()
    # What each worker would cost; it changes where a task is placed, and
    # where a unit that is stopped had members.
    offers: dict[str, tuple[tuple, list[RunningUnit]]] = {}
    changed: Iterable[str] = left
    for _ in range(count):
        for worker in changed:
            offers.pop(worker, None)
            if step.spread_limit and used[worker] >= step.spread_limit:
                continue
            units = free_worker(
                need, left[worker], worker, victims.get(worker, ()), stopped
            )
            if units is not None:
                cost = sum(item.cost for item in units)
                rank = (cost, left[worker].accelerators, worker)
                offers[worker] = (rank, units)
        if not offers:
            return None
        (cost, _, worker), units = min(
            offers.values(), key=lambda offer: offer[0]
        )
        changed = {worker}
        for item in units:
            stopped.add(item.unit.key)
            release(left, item)
            changed |= {
                member.worker
                for member in item.unit.open_members()
                if member.worker in left
            }
        left[worker] = left[worker] - need
        used[worker] += 1
        chosen.cost += cost
        chosen.victims.extend(units)
        chosen.workers.append(worker)
    return chosen


def free_worker(
    need: Resources,
    room: Resources,
    worker: str,
    victims: Iterable[RunningUnit],
    stopped: set[tuple],
) -> list[RunningUnit] | None:
    """Return the units to stop so that a task fits, ``None`` if none do."""
    units: list[RunningUnit] = []
    for item in victims:
        if need.fits_in(room):
            break
        if item.unit.key in stopped:
            continue
        units.append(item)
        room = room + held_on(item, worker)
    if not need.fits_in(room):
        return None
    for item in sorted(units, key=lambda unit: -unit.cost):
        without = room - held_on(item, worker)
        if need.fits_in(without):
            units.remove(item)
            room = without
    return units


def held_on(item: RunningUnit, worker: str) -> Resources:
    """Return what a unit holds on one worker."""
    held = Resources()
    for member in item.unit.open_members():
        if member.worker == worker:
            held = held + count_room(item.step)
    return held


def index_victims(
    running: Iterable[RunningUnit],
) -> dict[str, list[RunningUnit]]:
    """Return what may be stopped on each worker, the least loss first."""
    found: dict[str, list[RunningUnit]] = {}
    for item in sorted(running, key=lambda item: item.cost):
        if item.unit.stopping:
            continue
        workers = {member.worker for member in item.unit.open_members()}
        for worker in workers:
            found.setdefault(worker, []).append(item)
    return found


def count_spread(running: Iterable[RunningUnit]) -> dict[tuple, Counter]:
    """Count the open tasks of each step on each worker."""
    spread: dict[tuple, Counter] = {}
    for item in running:
        counts = spread.setdefault(item.unit.step_key, Counter())
        counts.update(member.worker for member in item.unit.open_members())
    return spread
