"""Check whether a job can ever run in a zone, and size its cells."""

from hickorywing.policy.actions import Refusal
from hickorywing.policy.cells import CellIndex
from hickorywing.policy.cells import SIZES
from hickorywing.policy.cores import ACCELERATOR_SHARE
from hickorywing.policy.cores import CorePool
from hickorywing.policy.cores import CoreRequest
from hickorywing.policy.model import Adjacency
from hickorywing.policy.model import Customer
from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import round_up_cell
from hickorywing.policy.model import WorkerSpec

__all__ = ["Feasibility"]

# Maximum number of cached answers, one for each shape of job.
MAX_CACHED_SHAPES = 4096


class Feasibility:
    """What the workers of one zone could hold if they were all empty.

    Each accelerator comes with an equal part of the cores and memory that its
    worker reserves for accelerators. The smallest such part in the zone
    decides how many accelerators a task with many cores or much memory needs.
    """

    def __init__(self, index: CellIndex, cores: CorePool) -> None:
        self.index = index
        self.cores = cores
        self._cores_per_accelerator = float("inf")
        self._memory_per_accelerator = float("inf")
        self._refusals: dict[object, Refusal | None] = {}

    def add_worker(self, spec: WorkerSpec) -> None:
        """Add a worker's cores and memory, and drop the cached answers."""
        self.clear_cache()
        if spec.accelerators:
            share = ACCELERATOR_SHARE / spec.accelerators
            self._cores_per_accelerator = min(
                self._cores_per_accelerator, spec.cores * share
            )
            self._memory_per_accelerator = min(
                self._memory_per_accelerator, spec.memory_gb * share
            )

    def clear_cache(self) -> None:
        """Drop the cached answers, after a change of the zone."""
        self._refusals.clear()

    def check(
        self, spec: JobSpec, customer: Customer | None
    ) -> Refusal | None:
        """Return why the job can never run in this zone, or ``None``."""
        if customer is not None:
            refusal = self._check_quota(spec, customer)
            if refusal is not None:
                return refusal
        shape = (
            spec.tasks,
            spec.accelerators,
            spec.cores,
            spec.memory_gb,
            spec.adjacency,
        )
        if shape not in self._refusals:
            if len(self._refusals) >= MAX_CACHED_SHAPES:
                self._refusals.clear()
            self._refusals[shape] = self._check_shape(spec)
        return self._refusals[shape]

    def _check_shape(self, spec: JobSpec) -> Refusal | None:
        if spec.accelerators == 0:
            return self._check_cores(spec)
        return self._check_cells(spec, self.cell_size(spec))

    def _check_quota(
        self, spec: JobSpec, customer: Customer
    ) -> Refusal | None:
        quota = customer.quota_accelerators
        needed = spec.tasks * self.cell_size(spec)
        if quota is not None and needed > quota:
            return Refusal(
                f"needs {needed} accelerators, the quota of"
                f" {spec.customer} is {quota}"
            )
        cores = customer.quota_cores
        if cores is not None and spec.tasks * spec.cores > cores:
            return Refusal(
                f"needs {spec.tasks * spec.cores:g} cores, the quota of"
                f" {spec.customer} is {cores:g}"
            )
        return None

    def _check_cores(self, spec: JobSpec) -> Refusal | None:
        request = CoreRequest(spec.cores, spec.memory_gb)
        maximum = self.cores.max_tasks(request, spec.adjacency)
        if maximum >= spec.tasks:
            return None
        return Refusal(
            f"needs {spec.tasks} tasks of {spec.cores:g} cores and"
            f" {spec.memory_gb:g} GB within one {spec.adjacency.value},"
            f" the most anywhere is {maximum}"
        )

    def _check_cells(self, spec: JobSpec, size: int) -> Refusal | None:
        if size > SIZES[-1]:
            return Refusal(f"a cell of {size} accelerators exists nowhere")
        maximum = 0
        groups: dict[object, int] = {}
        for worker in self.index.workers.values():
            fitting = sum(root // size for _, root in worker.roots)
            group: object = 0
            if spec.adjacency is Adjacency.RACK:
                group = worker.spec.rack
            elif spec.adjacency is Adjacency.WORKER:
                group = worker.spec.worker_id
            groups[group] = groups.get(group, 0) + fitting
            maximum = max(maximum, groups[group])
        if maximum < spec.tasks:
            return Refusal(
                f"needs {spec.tasks} cells of {size} accelerators within one"
                f" {spec.adjacency.value}, the most anywhere is {maximum}"
            )
        return None

    def cell_size(self, spec: JobSpec) -> int:
        """Return the cell size that one task needs, 0 without accelerators.

        The cell is large enough also for the task's cores and memory.
        """
        if spec.accelerators == 0:
            return 0
        by_cores = spec.cores / self._cores_per_accelerator
        by_memory = spec.memory_gb / self._memory_per_accelerator
        needed = max(float(spec.accelerators), by_cores, by_memory)
        return round_up_cell(int(-(-needed // 1)))
