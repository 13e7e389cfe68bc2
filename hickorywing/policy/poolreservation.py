"""Reserve the room of workers for a large unit that has waited.

Answers a steady stream of small tasks: each takes what becomes free, so a
gang that needs several whole workers at a time would never start. The unit
that is first in order gets the room that frees up soonest; later units may
not use it meanwhile.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import heapq

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolmodel import WorkerFacts
from hickorywing.policy.poolpreemption import held_on
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolroom import count_room

__all__ = [
    "Release",
    "Reservation",
    "ReservationBudget",
    "index_releases",
    "reserve_workers",
]

# Room is kept for a unit that has waited this long and is so large that small
# ones would go on taking what becomes free. A few reservations at a time are
# made on any pool, and more only for a share of its accelerators, as what is
# kept stands idle meanwhile. None is made while less than half of the pool is
# in use, as for a gang that takes most of it: the others would wait beside
# idle workers.
RESERVE_AFTER_S = 1.0
RESERVE_ACCELERATORS = 4
RESERVED_UNITS = 2
RESERVED_SHARE = 0.25
RESERVE_LEAST_USE = 0.5
# Counts for work of which nothing is known yet; of the order of a long task.
UNKNOWN_LEFT_S = 30.0


class ReservationBudget:
    """What one plan may keep for units that wait.

    ``is_busy`` tells whether so much of the pool is in use that room may be
    kept at all.
    """

    def __init__(
        self,
        workers: Mapping[str, WorkerFacts],
        free: Mapping[str, Resources],
    ) -> None:
        whole = sum((item.capacity for item in workers.values()), Resources())
        left = sum(free.values(), Resources())
        self.is_busy = measure_use(whole, left) >= RESERVE_LEAST_USE
        self._share = RESERVED_SHARE * whole.accelerators
        self._units = 0
        self._accelerators = 0

    def allows(self, accelerators: int, waited_s: float) -> bool:
        """Tell whether room may be kept for one more unit."""
        if waited_s < RESERVE_AFTER_S or accelerators < RESERVE_ACCELERATORS:
            return False
        if not self.is_busy:
            return False
        if self._units < RESERVED_UNITS:
            return True
        return self._accelerators + accelerators <= self._share

    def take(self, accelerators: int) -> None:
        """Count a unit for which room is kept."""
        self._units += 1
        self._accelerators += accelerators


def measure_use(whole: Resources, free: Resources) -> float:
    """Return the share in use of what a pool has least of."""
    shares = (
        (whole.cores_milli, free.cores_milli),
        (whole.memory_mb, free.memory_mb),
        (whole.accelerators, free.accelerators),
    )
    return max(1 - left / there if there else 0.0 for there, left in shares)


@dataclass(frozen=True, slots=True)
class Release:
    """Room that a worker is expected to free after a time."""

    after_s: float
    room: Resources


@dataclass(frozen=True, slots=True)
class Reservation:
    """Where a unit is expected to fit after a time."""

    after_s: float
    workers: tuple[str, ...]


def index_releases(
    running: Iterable[RunningUnit],
) -> dict[str, list[Release]]:
    """Return what each worker will free, the soonest first."""
    releases: dict[str, list[Release]] = {}
    for item in running:
        if item.unit.stopping:
            continue
        after_s = min(max(item.left_s, 0.0), UNKNOWN_LEFT_S)
        for worker in {member.worker for member in item.unit.open_members()}:
            release = Release(after_s, held_on(item, worker))
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
    """Return the workers on which all tasks would fit soonest, if any.

    ``rooms`` is what is free now or is being freed by stops.
    """
    need = count_room(step)
    left = {worker: rooms[worker] for worker in group}
    used = Counter(present)

    def rank(worker: str) -> tuple[float, int, str] | None:
        """Return a worker's rank, which only tasks placed there change."""
        if step.spread_limit and used[worker] >= step.spread_limit:
            return None
        room = left[worker]
        after_s = wait_for_room(need, room, releases.get(worker, ()))
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
        again = rank(worker)
        if again is not None:
            heapq.heappush(ranks, again)
    if len(chosen) < count:
        return None
    return Reservation(latest_s, tuple(chosen))


def wait_for_room(
    need: Resources, room: Resources, releases: Iterable[Release]
) -> float | None:
    """Return after how long a task fits, ``None`` if it never does."""
    if need.fits_in(room):
        return 0.0
    for release in releases:
        room = room + release.room
        if need.fits_in(room):
            return release.after_s
    return None
