"""Track the accelerator cells of one availability zone.

A cell is a run of adjacent accelerators of one worker whose size is a power
of two and whose offset is a multiple of that size. A worker with an odd count
is cut into the largest cells first: six accelerators are a cell of four and
one of two. Cells split and merge in the way of a buddy allocator; the use of
such cells to keep guarantees whole was published as HiveD (OSDI 2020).

Two questions are answered in constant time for a worker, a rack and the whole
zone: how many disjoint idle cells of a size there are, and how many that hold
no guaranteed task. The per-size counts are kept up to date on every change.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field

from hickorywing.errors import InvariantViolation
from hickorywing.policy.model import WorkerSpec

__all__ = ["Cell", "CellIndex", "Counts", "WorkerCells", "fits"]

SIZES = (1, 2, 4, 8, 16)

SizeCounts = list[int]


@dataclass(frozen=True, slots=True, order=True)
class Cell:
    """One aligned run of accelerators of a worker."""

    worker_id: str
    offset: int
    size: int

    def cut(self, size: int) -> Iterator["Cell"]:
        """Yield the cells of ``size`` that this cell consists of."""
        for offset in range(self.offset, self.offset + self.size, size):
            yield Cell(self.worker_id, offset, size)


@dataclass(slots=True)
class Counts:
    """Numbers of cells per size, indexed like ``SIZES``."""

    idle: SizeCounts = field(default_factory=lambda: [0] * len(SIZES))
    soft: SizeCounts = field(default_factory=lambda: [0] * len(SIZES))
    unclaimed: SizeCounts = field(default_factory=lambda: [0] * len(SIZES))
    maximal: SizeCounts = field(default_factory=lambda: [0] * len(SIZES))

    def add(self, other: "Counts", sign: int) -> None:
        """Add the counts of ``other`` times ``sign``."""
        for mine, theirs in (
            (self.idle, other.idle),
            (self.soft, other.soft),
            (self.unclaimed, other.unclaimed),
            (self.maximal, other.maximal),
        ):
            for index, value in enumerate(theirs):
                if value:
                    mine[index] += sign * value


def size_index(size: int) -> int:
    """Return the position of a cell size in ``SIZES``."""
    return size.bit_length() - 1


def fits(available: list[int], wanted: list[int]) -> int:
    """Return how many accelerators of ``wanted`` cells do not fit.

    ``available`` counts maximal free cells and ``wanted`` the cells asked
    for, both per size. Since all sizes are powers of two, serving the largest
    first and splitting what is left over is exact.
    """
    short = 0
    spare = 0
    for index in range(len(SIZES) - 1, -1, -1):
        spare = spare * 2 + available[index] - wanted[index]
        if spare < 0:
            short += -spare * SIZES[index]
            spare = 0
    return short


class WorkerCells:
    """The accelerators of one worker: who holds and who claims each."""

    def __init__(self, spec: WorkerSpec) -> None:
        self.spec = spec
        self.offered = True
        self.holder: list[str | None] = [None] * spec.accelerators
        self.hard: list[bool] = [False] * spec.accelerators
        self.claim: list[object | None] = [None] * spec.accelerators
        self.roots = list(cut_roots(spec.accelerators))
        self.counts = Counts()
        self.potential = [0] * len(SIZES)
        self.idle_maximal: tuple[int, ...] = ()

    def cells(self, size: int) -> Iterator[Cell]:
        """Yield every aligned cell of ``size``, free or not."""
        for offset, root in self.roots:
            for start in range(offset, offset + root, size):
                if size <= root:
                    yield Cell(self.spec.worker_id, start, size)

    def is_idle(self, cell: Cell) -> bool:
        """Tell whether no task holds any accelerator of the cell."""
        end = cell.offset + cell.size
        return not any(self.holder[cell.offset : end])

    def is_soft(self, cell: Cell) -> bool:
        """Tell whether no guaranteed task holds any of the cell."""
        return not any(self.hard[cell.offset : cell.offset + cell.size])

    def is_unclaimed(self, cell: Cell) -> bool:
        """Tell whether no guarantee is bound to any of the cell."""
        end = cell.offset + cell.size
        return not any(self.claim[cell.offset : end])

    def holders(self, cell: Cell) -> set[str]:
        """Return the jobs that hold accelerators of the cell."""
        end = cell.offset + cell.size
        return {job for job in self.holder[cell.offset : end] if job}

    def recount(self) -> Counts:
        """Return fresh counts for the present state."""
        counts = Counts()
        idle_maximal: list[int] = []
        for offset, size in self.roots:
            self._count_tree(counts, idle_maximal, offset, size, False, False)
        self.potential = counts.maximal
        if not self.offered:
            self.idle_maximal = ()
            return Counts()
        self.idle_maximal = tuple(sorted(set(idle_maximal)))
        return counts

    def _count_tree(
        self,
        counts: Counts,
        idle_maximal: list[int],
        offset: int,
        size: int,
        idle_above: bool,
        unclaimed_above: bool,
    ) -> None:
        index = size_index(size)
        end = offset + size
        idle = not any(self.holder[offset:end])
        unclaimed = not any(self.claim[offset:end])
        if idle:
            counts.idle[index] += 1
            if not idle_above:
                idle_maximal.append(size)
        if not any(self.hard[offset:end]):
            counts.soft[index] += 1
        if unclaimed:
            counts.unclaimed[index] += 1
            if not unclaimed_above:
                counts.maximal[index] += 1
        if size == 1:
            return
        half = size // 2
        for start in (offset, offset + half):
            self._count_tree(
                counts, idle_maximal, start, half, idle, unclaimed
            )


def cut_roots(accelerators: int) -> Iterator[tuple[int, int]]:
    """Yield (offset, size) of the largest aligned cells of a worker."""
    offset = 0
    for size in reversed(SIZES):
        while accelerators - offset >= size:
            yield offset, size
            offset += size


@dataclass(slots=True)
class Rack:
    """The workers of one rack and their counts."""

    name: str
    workers: dict[str, WorkerCells] = field(default_factory=dict)
    counts: Counts = field(default_factory=Counts)


class CellIndex:
    """All cells of one availability zone with constant-time counts."""

    def __init__(self) -> None:
        self.workers: dict[str, WorkerCells] = {}
        self.racks: dict[str, Rack] = {}
        self.counts = Counts()
        self.potential = [0] * len(SIZES)
        self._by_maximal: list[dict[str, None]] = [{} for _ in SIZES]

    def add_worker(self, spec: WorkerSpec) -> None:
        """Add a worker, all accelerators idle."""
        worker = WorkerCells(spec)
        self.workers[spec.worker_id] = worker
        rack = self.racks.setdefault(spec.rack, Rack(spec.rack))
        rack.workers[spec.worker_id] = worker
        self._refresh(worker)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker that no task holds any more."""
        worker = self.workers[worker_id]
        self.set_offered(worker_id, False)
        for index, value in enumerate(worker.potential):
            self.potential[index] -= value
        rack = self.racks[worker.spec.rack]
        del rack.workers[worker_id]
        if not rack.workers:
            del self.racks[worker.spec.rack]
        del self.workers[worker_id]

    def set_offered(self, worker_id: str, offered: bool) -> None:
        """Offer the worker's cells to decisions, or withhold all of them."""
        worker = self.workers[worker_id]
        worker.offered = offered
        self._refresh(worker)

    def soften(self, cell: Cell, job_id: str) -> None:
        """Turn a guaranteed task's accelerators into borrowed ones."""
        worker = self.workers.get(cell.worker_id)
        if worker is None:
            return
        for slot in range(cell.offset, cell.offset + cell.size):
            if worker.holder[slot] == job_id:
                worker.hard[slot] = False
        self._refresh(worker)

    def hold(self, cell: Cell, job_id: str, hard: bool) -> None:
        """Give a cell to a job; ``hard`` marks guaranteed tasks."""
        worker = self.workers[cell.worker_id]
        for slot in range(cell.offset, cell.offset + cell.size):
            if worker.hard[slot]:
                raise InvariantViolation(
                    f"{job_id} takes a guaranteed task's accelerator {cell}"
                )
            worker.holder[slot] = job_id
            worker.hard[slot] = hard
        self._refresh(worker)

    def release(self, cell: Cell, job_id: str) -> None:
        """Free the accelerators of a cell that the job still holds."""
        worker = self.workers.get(cell.worker_id)
        if worker is None:
            return
        for slot in range(cell.offset, cell.offset + cell.size):
            if worker.holder[slot] == job_id:
                worker.holder[slot] = None
                worker.hard[slot] = False
        self._refresh(worker)

    def set_claim(self, cell: Cell, claim: object | None) -> None:
        """Bind a guarantee to a cell, or unbind with ``None``."""
        worker = self.workers[cell.worker_id]
        for slot in range(cell.offset, cell.offset + cell.size):
            if claim is not None and worker.claim[slot] is not None:
                raise InvariantViolation(f"cell {cell} is claimed twice")
            worker.claim[slot] = claim
        self._refresh(worker)

    def workers_with_idle(self, size: int) -> Iterator[WorkerCells]:
        """Yield workers with an idle cell, tightest fit first."""
        seen = set()
        for index in range(size_index(size), len(SIZES)):
            for worker_id in list(self._by_maximal[index]):
                if worker_id not in seen:
                    seen.add(worker_id)
                    yield self.workers[worker_id]

    def most_idle_workers(self) -> list[WorkerCells]:
        """Return all workers, those with the largest idle cells first."""
        ordered: dict[str, None] = {}
        for bucket in reversed(self._by_maximal):
            ordered.update(bucket)
        ordered.update(dict.fromkeys(self.workers))
        return [self.workers[worker_id] for worker_id in ordered]

    def _refresh(self, worker: WorkerCells) -> None:
        rack = self.racks[worker.spec.rack]
        old = worker.counts
        old_potential = worker.potential
        old_maximal = worker.idle_maximal
        new = worker.recount()
        worker.counts = new
        for index, value in enumerate(worker.potential):
            self.potential[index] += value - old_potential[index]
        for total in (rack.counts, self.counts):
            total.add(old, -1)
            total.add(new, 1)
        if old_maximal == worker.idle_maximal:
            return
        for size in old_maximal:
            self._by_maximal[size_index(size)].pop(worker.spec.worker_id, None)
        for size in worker.idle_maximal:
            self._by_maximal[size_index(size)][worker.spec.worker_id] = None
