"""Choose the running work to preempt for an urgent unit.

An urgent gang may need the room of several whole workers at once, and every
unit that is stopped loses the work that it has not saved. Stopping one member
of a gang loses the work of all its members, on whichever workers they run.
Victims are therefore whole units, chosen worker by worker by what each unit
would lose.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import KW_ONLY

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolroom import get_task_room
from hickorywing.policy.poolruns import Unit

__all__ = [
    "Preemption",
    "RunningUnit",
    "add_released_room",
    "choose_victims",
    "count_core_equivalents",
    "count_tasks_by_worker",
    "index_victims",
    "measure_held_room",
]

# How many cores one accelerator counts for in lost work. Customers count lost
# work in the same unit.
CORES_PER_ACCELERATOR = 8


@dataclass(frozen=True, slots=True)
class RunningUnit:
    """A running unit with its estimates, in seconds.

    ``lost_s`` is the run time that a stop would lose, ``remaining_s`` the
    estimate of the remaining run time, infinite while it is not known.
    ``time_left_s`` is the time left to meet the objective of its job,
    infinite if that does not depend on this unit alone. ``customer`` owns the
    job.
    """

    unit: Unit
    step: Step
    priority: int
    lost_s: float
    remaining_s: float = float("inf")
    _: KW_ONLY
    time_left_s: float = float("inf")
    customer: str = ""

    @property
    def cost(self) -> float:
        """Return the work that a stop loses, in core-seconds."""
        return (
            self.lost_s * count_core_equivalents(self.step) * self.unit.count
        )


def count_core_equivalents(step: Step) -> float:
    """Return a task's cores, with its accelerators converted to cores."""
    cores = step.resources.cores_milli / 1000
    return cores + CORES_PER_ACCELERATOR * step.resources.accelerators


@dataclass(slots=True)
class Preemption:
    """Units to stop, what that costs, and where the urgent unit then fits.

    ``cost`` is in core-seconds; ``workers`` has one entry for each task.
    """

    cost: float = 0.0
    victims: list[RunningUnit] = field(default_factory=list)
    workers: list[str] = field(default_factory=list)


def add_released_room(
    rooms: dict[str, Resources], victim: RunningUnit
) -> None:
    """Add the room that a running unit holds to ``rooms``."""
    for member in victim.unit.open_members():
        if member.worker in rooms:
            rooms[member.worker] += get_task_room(victim.step)


def choose_victims(
    step: Step,
    count: int,
    group: Iterable[str],
    rooms: dict[str, Resources],
    present: Counter,
    victims: dict[str, list[RunningUnit]],
) -> Preemption | None:
    """Return what to stop so that ``count`` tasks fit into a group of workers.

    ``rooms`` is the free room of each worker, ``present`` the number of tasks
    of the same step on it, and ``victims`` the units that may be stopped
    there, the cheapest first. The search is greedy: tasks are placed one
    after another, each where it costs least. ``None`` means that stopping all
    victims would free too little.
    """
    need = get_task_room(step)
    left = {worker: rooms[worker] for worker in group}
    used = Counter(present)
    preemption = Preemption()
    stopped: set[tuple] = set()
    # Rank and victims for one more task on each worker. They change only on
    # the worker that gets a task and on workers where stopped units ran.
    options: dict[str, tuple[tuple, list[RunningUnit]]] = {}
    changed: Iterable[str] = left
    for _ in range(count):
        for worker in changed:
            options.pop(worker, None)
            if step.spread_limit and used[worker] >= step.spread_limit:
                continue
            units = find_units_to_stop(
                need, left[worker], worker, victims.get(worker, ()), stopped
            )
            if units is not None:
                cost = sum(item.cost for item in units)
                rank = (cost, left[worker].accelerators, worker)
                options[worker] = (rank, units)
        if not options:
            return None
        (cost, _, worker), units = min(
            options.values(), key=lambda option: option[0]
        )
        changed = {worker}
        for item in units:
            stopped.add(item.unit.key)
            add_released_room(left, item)
            changed |= {
                member.worker
                for member in item.unit.open_members()
                if member.worker in left
            }
        left[worker] = left[worker] - need
        used[worker] += 1
        preemption.cost += cost
        preemption.victims.extend(units)
        preemption.workers.append(worker)
    return preemption


def find_units_to_stop(
    need: Resources,
    room: Resources,
    worker: str,
    victims: Iterable[RunningUnit],
    stopped: set[tuple],
) -> list[RunningUnit] | None:
    """Return units to stop on a worker so that one task fits.

    ``victims`` are tried in order; those that turn out not to be needed are
    left running, the most costly first. ``None`` means that the task does not
    fit even if all victims are stopped.
    """
    units: list[RunningUnit] = []
    for item in victims:
        if need.fits_in(room):
            break
        if item.unit.key in stopped:
            continue
        units.append(item)
        room = room + measure_held_room(item, worker)
    if not need.fits_in(room):
        return None
    for item in sorted(units, key=lambda unit: -unit.cost):
        without = room - measure_held_room(item, worker)
        if need.fits_in(without):
            units.remove(item)
            room = without
    return units


def measure_held_room(item: RunningUnit, worker: str) -> Resources:
    """Return the room that a unit's open members hold on one worker."""
    held = Resources()
    for member in item.unit.open_members():
        if member.worker == worker:
            held = held + get_task_room(item.step)
    return held


def index_victims(
    running: Iterable[RunningUnit],
) -> dict[str, list[RunningUnit]]:
    """Return the units that may be stopped on each worker, cheapest first.

    Units that are being stopped already are left out.
    """
    found: dict[str, list[RunningUnit]] = {}
    for item in sorted(running, key=lambda item: item.cost):
        if item.unit.stopping:
            continue
        workers = {member.worker for member in item.unit.open_members()}
        for worker in workers:
            found.setdefault(worker, []).append(item)
    return found


def count_tasks_by_worker(
    running: Iterable[RunningUnit],
) -> dict[tuple, Counter]:
    """Count the open tasks of each step on each worker."""
    task_counts: dict[tuple, Counter] = {}
    for item in running:
        counts = task_counts.setdefault(item.unit.step_key, Counter())
        counts.update(member.worker for member in item.unit.open_members())
    return task_counts
