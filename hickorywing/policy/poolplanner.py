"""Decide which waiting units start where, and what has to give way.

Answers the load at which workers are full: urgent units first take free
room, then room that is being freed, and at last stop the running work that
loses least. Room that a more urgent unit waits for is not given to others.
Best fit keeps whole workers free for tasks that ask for many accelerators.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolmodel import WorkerFacts
from hickorywing.policy.poolruns import Unit

__all__ = ["Assignment", "Plan", "PlanInput", "RunningUnit", "WaitingUnit"]

# The price of one accelerator in cores, as the users count thrown-away work.
CORES_PER_ACCELERATOR = 8
# A job that runs away from its data takes several times as long, so it first
# waits a moment for room beside it, below the 3 s after which an idle task
# counts as forgotten.
DATA_WAIT_S = 1.5


@dataclass(frozen=True, slots=True)
class WaitingUnit:
    """A unit whose turn has come."""

    unit: Unit
    step: Step
    priority: int
    order: tuple[float, ...]
    customer: str = ""


@dataclass(frozen=True, slots=True)
class RunningUnit:
    """A unit at work; ``lost_s`` is the work that a stop would lose."""

    unit: Unit
    step: Step
    priority: int
    lost_s: float

    @property
    def cost(self) -> float:
        """Return the core-seconds that a stop throws away."""
        cores = self.step.resources.cores_milli / 1000
        cores += CORES_PER_ACCELERATOR * self.step.resources.accelerators
        return self.lost_s * cores * self.unit.count


@dataclass(frozen=True, slots=True)
class Assignment:
    """A unit and the worker for each of its tasks."""

    unit: Unit
    workers: tuple[str, ...]


@dataclass(slots=True)
class Plan:
    """What to start now and what to stop for whom."""

    starts: list[Assignment] = field(default_factory=list)
    stops: list[tuple[Unit, Unit]] = field(default_factory=list)


@dataclass(slots=True)
class PlanInput:
    """The state that a plan is made from.

    ``free`` is the room of each usable worker now, ``coming`` what members
    that are being stopped will free there.
    """

    workers: dict[str, WorkerFacts]
    free: dict[str, Resources]
    coming: dict[str, Resources]
    waiting: list[WaitingUnit]
    running: list[RunningUnit]
    now_s: float


class Planner:
    """Makes one plan."""

    def __init__(self, state: PlanInput) -> None:
        self._state = state
        self._free = dict(state.free)
        self._soon = {
            worker: room + state.coming.get(worker, Resources())
            for worker, room in state.free.items()
        }
        self._stopped: set[tuple] = set()
        self._plan = Plan()
        self._victims = index_victims(state.running)
        self._spread = count_spread(state.running)

    def make_plan(self) -> Plan:
        """Return what to start and to stop."""
        for waiting in sorted(
            self._state.waiting, key=lambda item: (item.priority, item.order)
        ):
            self._serve(waiting)
        return self._plan

    def _serve(self, waiting: WaitingUnit) -> None:
        workers = self._place(waiting, self._free)
        if workers is not None:
            self._take(self._free, waiting.step, workers)
            self._take(self._soon, waiting.step, workers)
            self._plan.starts.append(Assignment(waiting.unit, workers))
            self._spread.setdefault(waiting.unit.step_key, Counter()).update(
                workers
            )
            return
        workers = self._place(waiting, self._soon)
        if workers is None and waiting.priority == 0:
            workers = self._preempt(waiting)
        if workers is not None and waiting.priority == 0:
            # Keeps the room for this unit until it is free.
            self._take(self._free, waiting.step, workers)
            self._take(self._soon, waiting.step, workers)

    def _take(
        self,
        rooms: dict[str, Resources],
        step: Step,
        workers: Iterable[str],
    ) -> None:
        for worker in workers:
            rooms[worker] = rooms[worker] - count_room(step)

    def _place(
        self, waiting: WaitingUnit, rooms: dict[str, Resources]
    ) -> tuple[str, ...] | None:
        present = self._spread.get(waiting.unit.step_key, Counter())
        return place_unit(
            waiting, rooms, self._state.workers, present, self._state.now_s
        )

    def _preempt(self, waiting: WaitingUnit) -> tuple[str, ...] | None:
        """Stop the work that loses least until the unit would fit."""
        rooms = dict(self._soon)
        chosen: list[RunningUnit] = []
        for victim in self._victims:
            if victim.priority <= waiting.priority:
                continue
            if victim.unit.key in self._stopped:
                continue
            release(rooms, victim)
            chosen.append(victim)
            workers = self._place(waiting, rooms)
            if workers is not None:
                chosen = self._spare(waiting, chosen)
                for item in chosen:
                    self._stop(item, waiting.unit)
                return self._place(waiting, self._soon)
        return None

    def _spare(
        self, waiting: WaitingUnit, chosen: list[RunningUnit]
    ) -> list[RunningUnit]:
        """Drop the victims without whom the unit fits as well."""
        needed = list(chosen)
        for victim in sorted(chosen, key=lambda item: -item.cost):
            rooms = dict(self._soon)
            rest = [item for item in needed if item is not victim]
            for item in rest:
                release(rooms, item)
            if self._place(waiting, rooms) is not None:
                needed = rest
        return needed

    def _stop(self, victim: RunningUnit, unit: Unit) -> None:
        self._stopped.add(victim.unit.key)
        release(self._soon, victim)
        self._plan.stops.append((victim.unit, unit))


def index_victims(running: Iterable[RunningUnit]) -> list[RunningUnit]:
    """Return what may be stopped, least loss for its size first."""
    return sorted(
        (item for item in running if not item.unit.stopping),
        key=lambda item: (-item.priority, item.cost),
    )


def count_spread(running: Iterable[RunningUnit]) -> dict[tuple, Counter]:
    """Count the open tasks of each step on each worker."""
    spread: dict[tuple, Counter] = {}
    for item in running:
        counts = spread.setdefault(item.unit.step_key, Counter())
        counts.update(member.worker for member in item.unit.open_members())
    return spread


def release(rooms: dict[str, Resources], victim: RunningUnit) -> None:
    """Add to the rooms what a running unit holds."""
    for member in victim.unit.open_members():
        if member.worker in rooms:
            rooms[member.worker] += count_room(victim.step)


def count_room(step: Step) -> Resources:
    """Return what one task takes of a worker's room."""
    if not step.filler:
        return step.resources
    return Resources(0, step.resources.memory_mb, step.resources.accelerators)


def place_unit(
    waiting: WaitingUnit,
    rooms: dict[str, Resources],
    workers: dict[str, WorkerFacts],
    present: Mapping[str, int],
    now_s: float,
) -> tuple[str, ...] | None:
    """Return a worker for each task of the unit, or ``None``.

    ``present`` counts the tasks of the same step that workers have already.
    A unit is placed whole. Tasks that should share a rack are placed in one,
    if any rack has the room, and else over several.
    """
    step = waiting.step
    allowed = [
        worker
        for worker in rooms
        if not step.required_label
        or step.required_label in workers[worker].labels
    ]
    count = waiting.unit.count
    for group in group_workers(step, allowed, workers):
        placed = fill_workers(step, count, group, rooms, present)
        if placed is not None:
            return placed
    waited_s = now_s - waiting.unit.waiting_since_s
    if (step.data_rack or step.one_rack) and waited_s < DATA_WAIT_S:
        return None
    return fill_workers(step, count, allowed, rooms, present)


def group_workers(
    step: Step, allowed: list[str], workers: dict[str, WorkerFacts]
) -> list[list[str]]:
    """Return the groups of workers to try first."""
    racks: dict[str, list[str]] = {}
    for worker in allowed:
        racks.setdefault(workers[worker].rack, []).append(worker)
    if step.data_rack:
        return [racks.get(step.data_rack, [])]
    if step.one_rack:
        return [racks[rack] for rack in sorted(racks)]
    return []


def fill_workers(
    step: Step,
    count: int,
    allowed: list[str],
    rooms: dict[str, Resources],
    present: Mapping[str, int],
) -> tuple[str, ...] | None:
    """Place tasks one after another where they leave the least room."""
    need = count_room(step)
    left = {worker: rooms[worker] for worker in allowed}
    used = dict(present)
    placed: list[str] = []
    for _ in range(count):
        best: str | None = None
        best_rank: tuple | None = None
        for worker, room in left.items():
            if not need.fits_in(room):
                continue
            if step.spread_limit and (
                used.get(worker, 0) >= step.spread_limit
            ):
                continue
            rank = (room.accelerators, room.cores_milli, worker)
            if best_rank is None or rank < best_rank:
                best, best_rank = worker, rank
        if best is None:
            return None
        left[best] = left[best] - need
        used[best] = used.get(best, 0) + 1
        placed.append(best)
    return tuple(placed)
