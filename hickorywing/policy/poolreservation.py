"""Reserve room on workers for large units that have waited.

In a steady stream of small tasks, each takes whatever room becomes free, and
a gang that needs several whole workers at once would starve. A reservation
gives the first such unit in order the workers that are expected to have room
soonest; units later in order may not use them meanwhile.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import heapq

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolmodel import WorkerFacts
from hickorywing.policy.poolpreemption import measure_held_room
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolroom import get_task_room

__all__ = [
    "MIN_RESERVE_UTILIZATION",
    "Release",
    "Reservation",
    "ReservationBudget",
    "has_ended",
    "index_releases",
    "reserve_workers",
]

# A unit gets a reservation once it has waited this long, and only if it is so
# large that small ones would otherwise keep taking the room. Reserved room is
# idle, so a plan makes more than a few reservations only within a share of the
# pool's accelerators. It makes none while less than half of the pool is in
# use: a reservation for a gang that needs most of the pool would then let
# other units wait beside idle workers.
MIN_RESERVE_WAIT_S = 1.0
MIN_RESERVE_ACCELERATORS = 4
BASE_RESERVATIONS = 2
MAX_RESERVED_SHARE = 0.25
MAX_OVERTAKEN_SHARE = 0.5
MIN_RESERVE_UTILIZATION = 0.5
# Assumed remaining run time of work without an estimate, and the maximum for
# all others. It is of the order of a long task.
UNKNOWN_REMAINING_S = 30.0
# A unit that hasn't started on its reservation after this long gives it up
# for a while, so that units behind it get a turn.
MAX_RESERVED_S = 30.0
RESERVATION_PAUSE_S = 5.0


class ReservationBudget:
    """The limit on the reservations of one plan.

    ``is_busy`` is whether enough of the pool is in use to reserve any room.
    """

    def __init__(
        self,
        workers: Mapping[str, WorkerFacts],
        free: Mapping[str, Resources],
    ) -> None:
        total = sum((item.capacity for item in workers.values()), Resources())
        left = sum(map(drop_negative, free.values()), Resources())
        self.is_busy = (
            measure_utilization(total, left) >= MIN_RESERVE_UTILIZATION
        )
        self._total = total
        self._reservations = 0
        self._accelerators = 0.0

    def measure_size(
        self, step: Step, count: int, is_overtaken: bool
    ) -> float:
        """Return the size of a unit, in accelerators.

        For a unit that is overtaken it is that of the resource of which it
        takes the largest share: a few accelerators with most of the cores of
        their workers are as hard to get.
        """
        size = count * step.resources.accelerators
        if not is_overtaken:
            return size
        need = get_task_room(step)
        shares = [
            count * needed / total
            for needed, total in (
                (need.cores_milli, self._total.cores_milli),
                (need.memory_mb, self._total.memory_mb),
            )
            if total
        ]
        return max(size, *(self._total.accelerators * it for it in shares))

    def can_reserve(
        self, accelerators: float, waited_s: float, is_overtaken: bool = False
    ) -> bool:
        """Return whether a unit of this size and wait may get a reservation.

        More of the pool may be reserved for units that are overtaken.
        """
        if (
            waited_s < MIN_RESERVE_WAIT_S
            or accelerators < MIN_RESERVE_ACCELERATORS
        ):
            return False
        if not self.is_busy:
            return False
        if self._reservations < BASE_RESERVATIONS:
            return True
        share = MAX_OVERTAKEN_SHARE if is_overtaken else MAX_RESERVED_SHARE
        max_accelerators = share * self._total.accelerators
        return self._accelerators + accelerators <= max_accelerators

    def record(self, accelerators: float) -> None:
        """Count a reservation against the limit."""
        self._reservations += 1
        self._accelerators += accelerators

    def withdraw(self, accelerators: float) -> None:
        """Take back a reservation that was counted."""
        self._reservations -= 1
        self._accelerators -= accelerators


def has_ended(since_s: float, now_s: float) -> bool:
    """Return whether a unit that reserved at ``since_s`` has to pause."""
    passed_s = (now_s - since_s) % (MAX_RESERVED_S + RESERVATION_PAUSE_S)
    return passed_s >= MAX_RESERVED_S


def drop_negative(room: Resources) -> Resources:
    """Return a room with 0 for each resource that a worker has too little of.

    A worker whose capacity has shrunk below what runs there has less than no
    free room, which takes nothing from that of others.
    """
    return Resources(
        max(0, room.cores_milli),
        max(0, room.memory_mb),
        max(0, room.accelerators),
    )


def measure_utilization(total: Resources, free: Resources) -> float:
    """Return the utilization of a pool's most used resource, from 0 to 1."""
    shares = (
        (total.cores_milli, free.cores_milli),
        (total.memory_mb, free.memory_mb),
        (total.accelerators, free.accelerators),
    )
    return max(
        1 - left / available if available else 0.0
        for available, left in shares
    )


@dataclass(frozen=True, slots=True)
class Release:
    """Room that a worker is expected to free in ``after_s`` seconds."""

    after_s: float
    room: Resources


@dataclass(frozen=True, slots=True)
class Reservation:
    """Workers on which a unit is expected to fit in ``after_s`` seconds."""

    after_s: float
    workers: tuple[str, ...]


def index_releases(
    running: Iterable[RunningUnit],
) -> dict[str, list[Release]]:
    """Return the expected releases of each worker, the soonest first.

    Units that last are left out, as they don't end by themselves, and units
    that are being stopped: their room counts as free in the rooms that
    ``reserve_workers`` gets.
    """
    releases: dict[str, list[Release]] = {}
    for item in running:
        if item.unit.stopping or item.step.lasting:
            continue
        after_s = min(max(item.remaining_s, 0.0), UNKNOWN_REMAINING_S)
        for worker in {member.worker for member in item.unit.open_members()}:
            release = Release(after_s, measure_held_room(item, worker))
            releases.setdefault(worker, []).append(release)
    for items in releases.values():
        items.sort(key=lambda release: release.after_s)
    return releases


def reserve_workers(
    step: Step,
    count: int,
    group: Iterable[str],
    rooms: dict[str, Resources],
    present: Counter,
    releases: dict[str, list[Release]],
) -> Reservation | None:
    """Return the workers on which ``count`` tasks would fit soonest, if any.

    ``rooms`` is the room that is free now or is being freed by stops, and
    ``present`` the number of tasks of the same step on each worker.
    """
    need = get_task_room(step)
    left = {worker: rooms[worker] for worker in group}
    used = Counter(present)

    def rank(worker: str) -> tuple[float, int, str] | None:
        """Return a worker's sort key, or ``None`` if a task never fits.

        Only placing a task on the worker changes it, so a heap entry is valid
        until it is popped.
        """
        if step.spread_limit and used[worker] >= step.spread_limit:
            return None
        room = left[worker]
        after_s = estimate_room_wait_s(need, room, releases.get(worker, ()))
        if after_s is None:
            return None
        return after_s, room.accelerators, worker

    ranks = [found for worker in left if (found := rank(worker)) is not None]
    heapq.heapify(ranks)
    chosen: list[str] = []
    latest_s = 0.0
    while ranks and len(chosen) < count:
        after_s, _, worker = heapq.heappop(ranks)
        latest_s = max(latest_s, after_s)
        left[worker] = left[worker] - need
        used[worker] += 1
        chosen.append(worker)
        next_rank = rank(worker)
        if next_rank is not None:
            heapq.heappush(ranks, next_rank)
    if len(chosen) < count:
        return None
    return Reservation(latest_s, tuple(chosen))


def estimate_room_wait_s(
    need: Resources, room: Resources, releases: Iterable[Release]
) -> float | None:
    """Return in how many seconds a task fits, ``None`` if it never does."""
    if need.fits_in(room):
        return 0.0
    for release in releases:
        room = room + release.room
        if need.fits_in(room):
            return release.after_s
    return None
