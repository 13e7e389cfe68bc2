"""Tell what can never run in a zone, and which cell a task needs."""

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

CHECKED_SHAPES = 4096


class Feasibility:
    """What the workers of one zone could hold if they were all empty."""

    def __init__(self, index: CellIndex, cores: CorePool) -> None:
        self.index = index
        self.cores = cores
        self._share_cores = float("inf")
        self._share_memory = float("inf")
        self._checked: dict[object, Refusal | None] = {}

    def add_worker(self, spec: WorkerSpec) -> None:
        """Take in the share that an accelerator of a worker brings."""
        self.forget()
        if spec.accelerators:
            per = ACCELERATOR_SHARE / spec.accelerators
            self._share_cores = min(self._share_cores, spec.cores * per)
            self._share_memory = min(self._share_memory, spec.memory_gb * per)

    def forget(self) -> None:
        """Drop the answers kept by shape, after a change of the zone."""
        self._checked.clear()

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
        if shape not in self._checked:
            if len(self._checked) >= CHECKED_SHAPES:
                self._checked.clear()
            self._checked[shape] = self._check_shape(spec)
        return self._checked[shape]

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
        most = self.cores.most_tasks(request, spec.adjacency)
        if most >= spec.tasks:
            return None
        return Refusal(
            f"needs {spec.tasks} tasks of {spec.cores:g} cores and"
            f" {spec.memory_gb:g} GB within one {spec.adjacency.value},"
            f" the most anywhere is {most}"
        )

    def _check_cells(self, spec: JobSpec, size: int) -> Refusal | None:
        if size > SIZES[-1]:
            return Refusal(f"a cell of {size} accelerators exists nowhere")
        most = 0
        groups: dict[object, int] = {}
        for worker in self.index.workers.values():
            room = sum(root // size for _, root in worker.roots)
            group: object = 0
            if spec.adjacency is Adjacency.RACK:
                group = worker.spec.rack
            elif spec.adjacency is Adjacency.WORKER:
                group = worker.spec.worker_id
            groups[group] = groups.get(group, 0) + room
            most = max(most, groups[group])
        if most < spec.tasks:
            return Refusal(
                f"needs {spec.tasks} cells of {size} accelerators within one"
                f" {spec.adjacency.value}, the most anywhere is {most}"
            )
        return None

    def cell_size(self, spec: JobSpec) -> int:
        """Return the cell one task needs for accelerators, cores, memory."""
        if spec.accelerators == 0:
            return 0
        by_cores = spec.cores / self._share_cores
        by_memory = spec.memory_gb / self._share_memory
        needed = max(float(spec.accelerators), by_cores, by_memory)
        return round_up_cell(int(-(-needed // 1)))
