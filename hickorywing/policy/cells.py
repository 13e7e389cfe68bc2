"""Track the accelerator cells of one availability zone.

A cell is a run of adjacent accelerators of one worker. Its size is a power of
two and its offset a multiple of that size. A worker whose number of
accelerators is no power of two is divided into the largest cells first: six
accelerators are a cell of four and one of two. Cells split and merge as in a
buddy allocator. Their use to keep guarantees servable was published as HiveD
(OSDI 2020).

For a worker, a rack and the whole zone, the number of disjoint cells of each
size that are idle, that hold no guaranteed task, or that no guarantee claims
can be read in constant time: the counts are updated on every change.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field

from hickorywing.errors import InvariantViolation
from hickorywing.policy.model import WorkerSpec

__all__ = ["Cell", "CellIndex", "Counts", "WorkerCells", "compute_shortfall"]

# All cell sizes, in accelerators.
SIZES = (1, 2, 4, 8, 16)

SizeCounts = list[int]


@dataclass(frozen=True, slots=True, order=True)
class Cell:
    """A cell: an aligned run of ``size`` accelerators from ``offset`` on."""

    worker_id: str
    offset: int
    size: int

    def divide(self, size: int) -> Iterator["Cell"]:
        """Yield the cells of ``size`` into which this cell divides."""
        for offset in range(self.offset, self.offset + self.size, size):
            yield Cell(self.worker_id, offset, size)


@dataclass(slots=True)
class Counts:
    """Numbers of cells per size, indexed like ``SIZES``.

    ``idle`` counts cells that no task holds, ``evictable`` those that no
    guaranteed task holds, and ``unclaimed`` those that no guarantee is bound
    to. ``maximal_unclaimed`` counts the unclaimed cells that no larger
    unclaimed cell contains.
    """

    idle: SizeCounts = field(default_factory=lambda: [0] * len(SIZES))
    evictable: SizeCounts = field(default_factory=lambda: [0] * len(SIZES))
    unclaimed: SizeCounts = field(default_factory=lambda: [0] * len(SIZES))
    maximal_unclaimed: SizeCounts = field(
        default_factory=lambda: [0] * len(SIZES)
    )

    def add(self, other: "Counts", sign: int) -> None:
        """Add the counts of ``other`` times ``sign``."""
        for mine, theirs in (
            (self.idle, other.idle),
            (self.evictable, other.evictable),
            (self.unclaimed, other.unclaimed),
            (self.maximal_unclaimed, other.maximal_unclaimed),
        ):
            for index, value in enumerate(theirs):
                if value:
                    mine[index] += sign * value


def size_index(size: int) -> int:
    """Return the position of a cell size in ``SIZES``."""
    return size.bit_length() - 1


def compute_shortfall(available: list[int], wanted: list[int]) -> int:
    """Return how many accelerators of ``wanted`` cells do not fit.

    ``available`` counts maximal unclaimed cells and ``wanted`` the cells
    needed, both per size. Serving the largest cells first and splitting the
    remaining ones gives the exact minimum, as all sizes are powers of two.
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
    """The accelerators of one worker, with the holder and claim of each.

    Per accelerator, ``holder`` is the job that has it, ``guaranteed`` tells
    whether that job runs inside a guarantee, and ``claim`` is the guaranteed
    cell bound to it. ``roots`` are the (offset, size) of the largest cells.
    ``counts`` are zero while the worker is not offered; ``potential`` counts
    maximal unclaimed cells also then.
    """

    def __init__(self, spec: WorkerSpec) -> None:
        self.spec = spec
        self.offered = True
        self.holder: list[str | None] = [None] * spec.accelerators
        self.guaranteed: list[bool] = [False] * spec.accelerators
        self.claim: list[object | None] = [None] * spec.accelerators
        self.roots = list(divide_worker(spec.accelerators))
        self.counts = Counts()
        self.potential = [0] * len(SIZES)
        self.maximal_idle_sizes: tuple[int, ...] = ()

    def cells(self, size: int) -> Iterator[Cell]:
        """Yield every cell of ``size``, idle or not."""
        for offset, root in self.roots:
            for start in range(offset, offset + root, size):
                if size <= root:
                    yield Cell(self.spec.worker_id, start, size)

    def is_idle(self, cell: Cell) -> bool:
        """Return whether no job holds any accelerator of the cell."""
        end = cell.offset + cell.size
        return not any(self.holder[cell.offset : end])

    def is_evictable(self, cell: Cell) -> bool:
        """Return whether no guaranteed job holds any of the cell."""
        return not any(self.guaranteed[cell.offset : cell.offset + cell.size])

    def is_unclaimed(self, cell: Cell) -> bool:
        """Return whether no guarantee is bound to any of the cell."""
        end = cell.offset + cell.size
        return not any(self.claim[cell.offset : end])

    def holders(self, cell: Cell) -> set[str]:
        """Return the jobs that hold accelerators of the cell."""
        end = cell.offset + cell.size
        return {job for job in self.holder[cell.offset : end] if job}

    def recount(self) -> Counts:
        """Return the counts computed anew from the present state.

        Also sets ``potential`` and ``maximal_idle_sizes``, the sizes of the
        idle cells that no larger idle cell contains.
        """
        counts = Counts()
        maximal_idle_sizes: list[int] = []
        for offset, size in self.roots:
            self._count_tree(
                counts, maximal_idle_sizes, offset, size, False, False
            )
        self.potential = counts.maximal_unclaimed
        if not self.offered:
            self.maximal_idle_sizes = ()
            return Counts()
        self.maximal_idle_sizes = tuple(sorted(set(maximal_idle_sizes)))
        return counts

    def _count_tree(
        self,
        counts: Counts,
        maximal_idle_sizes: list[int],
        offset: int,
        size: int,
        idle_above: bool,
        unclaimed_above: bool,
    ) -> None:
        """Count a cell and, recursively, all cells inside it.

        ``idle_above`` and ``unclaimed_above`` tell whether the next larger
        cell is idle or unclaimed, in which case this one is not maximal.
        """
        index = size_index(size)
        end = offset + size
        idle = not any(self.holder[offset:end])
        unclaimed = not any(self.claim[offset:end])
        if idle:
            counts.idle[index] += 1
            if not idle_above:
                maximal_idle_sizes.append(size)
        if not any(self.guaranteed[offset:end]):
            counts.evictable[index] += 1
        if unclaimed:
            counts.unclaimed[index] += 1
            if not unclaimed_above:
                counts.maximal_unclaimed[index] += 1
        if size == 1:
            return
        half = size // 2
        for start in (offset, offset + half):
            self._count_tree(
                counts, maximal_idle_sizes, start, half, idle, unclaimed
            )


def divide_worker(accelerators: int) -> Iterator[tuple[int, int]]:
    """Yield (offset, size) of the largest aligned cells of a worker."""
    offset = 0
    for size in reversed(SIZES):
        while accelerators - offset >= size:
            yield offset, size
            offset += size


@dataclass(slots=True)
class Rack:
    """The workers of one rack, with the sum of their counts."""

    name: str
    workers: dict[str, WorkerCells] = field(default_factory=dict)
    counts: Counts = field(default_factory=Counts)


class CellIndex:
    """All cells of one availability zone, with their counts.

    ``counts`` covers the offered workers and can be read in constant time.
    ``potential`` counts the maximal unclaimed cells of all workers.
    """

    def __init__(self) -> None:
        self.workers: dict[str, WorkerCells] = {}
        self.racks: dict[str, Rack] = {}
        self.counts = Counts()
        self.potential = [0] * len(SIZES)
        self._workers_by_idle_size: list[dict[str, None]] = [{} for _ in SIZES]

    def add_worker(self, spec: WorkerSpec) -> None:
        """Add a worker whose accelerators are all idle."""
        worker = WorkerCells(spec)
        self.workers[spec.worker_id] = worker
        rack = self.racks.setdefault(spec.rack, Rack(spec.rack))
        rack.workers[spec.worker_id] = worker
        self._update_counts(worker)

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
        """Start or stop offering the worker's cells to new tasks."""
        worker = self.workers[worker_id]
        worker.offered = offered
        self._update_counts(worker)

    def mark_borrowed(self, cell: Cell, job_id: str) -> None:
        """Mark the cell's accelerators that the job holds as borrowed."""
        worker = self.workers.get(cell.worker_id)
        if worker is None:
            return
        for slot in range(cell.offset, cell.offset + cell.size):
            if worker.holder[slot] == job_id:
                worker.guaranteed[slot] = False
        self._update_counts(worker)

    def hold(self, cell: Cell, job_id: str, guaranteed: bool) -> None:
        """Give a cell to a job; ``guaranteed`` if it is inside its guarantee.

        An evicted job that is still stopping in the cell is replaced as its
        holder. A guaranteed job never is: this raises ``InvariantViolation``.
        """
        worker = self.workers[cell.worker_id]
        for slot in range(cell.offset, cell.offset + cell.size):
            if worker.guaranteed[slot]:
                raise InvariantViolation(
                    f"job {job_id} cannot hold {cell}: guaranteed work has it"
                )
            worker.holder[slot] = job_id
            worker.guaranteed[slot] = guaranteed
        self._update_counts(worker)

    def release(self, cell: Cell, job_id: str) -> None:
        """Free those accelerators of a cell that the job still holds."""
        worker = self.workers.get(cell.worker_id)
        if worker is None:
            return
        for slot in range(cell.offset, cell.offset + cell.size):
            if worker.holder[slot] == job_id:
                worker.holder[slot] = None
                worker.guaranteed[slot] = False
        self._update_counts(worker)

    def set_claim(self, cell: Cell, claim: object | None) -> None:
        """Bind a guaranteed cell to a cell, or unbind with ``None``."""
        worker = self.workers[cell.worker_id]
        for slot in range(cell.offset, cell.offset + cell.size):
            if claim is not None and worker.claim[slot] is not None:
                raise InvariantViolation(f"cell {cell} is claimed twice")
            worker.claim[slot] = claim
        self._update_counts(worker)

    def iterate_best_fit(self, size: int) -> Iterator[WorkerCells]:
        """Yield the workers with an idle cell of at least ``size``.

        Those with the smallest sufficient idle cell come first (best fit).
        """
        seen = set()
        for index in range(size_index(size), len(SIZES)):
            for worker_id in list(self._workers_by_idle_size[index]):
                if worker_id not in seen:
                    seen.add(worker_id)
                    yield self.workers[worker_id]

    def most_idle_workers(self) -> list[WorkerCells]:
        """Return all workers, those with the largest idle cells first."""
        ordered: dict[str, None] = {}
        for bucket in reversed(self._workers_by_idle_size):
            ordered.update(bucket)
        ordered.update(dict.fromkeys(self.workers))
        return [self.workers[worker_id] for worker_id in ordered]

    def _update_counts(self, worker: WorkerCells) -> None:
        """Recount a worker and apply the difference to all totals."""
        rack = self.racks[worker.spec.rack]
        old = worker.counts
        old_potential = worker.potential
        old_idle_sizes = worker.maximal_idle_sizes
        new = worker.recount()
        worker.counts = new
        for index, value in enumerate(worker.potential):
            self.potential[index] += value - old_potential[index]
        for total in (rack.counts, self.counts):
            total.add(old, -1)
            total.add(new, 1)
        if old_idle_sizes == worker.maximal_idle_sizes:
            return
        for size in old_idle_sizes:
            self._workers_by_idle_size[size_index(size)].pop(
                worker.spec.worker_id, None
            )
        for size in worker.maximal_idle_sizes:
            self._workers_by_idle_size[size_index(size)][
                worker.spec.worker_id
            ] = None
