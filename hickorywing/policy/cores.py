"""Place tasks that need no accelerator.

A worker with accelerators reserves a share of its cores and memory for the
tasks that use them. Only the rest is available here, so that a task without
accelerators never makes an accelerator unusable. Placement is best fit, over
workers in buckets by the whole number of their free cores.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace

from hickorywing.policy.model import Adjacency
from hickorywing.policy.model import WorkerSpec

__all__ = ["ACCELERATOR_SHARE", "CorePool", "CoreRequest"]

# Share of cores and memory that a worker reserves for its accelerators.
ACCELERATOR_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class CoreRequest:
    """The cores and memory that one task needs."""

    cores: float
    memory_gb: float


@dataclass(slots=True)
class WorkerCores:
    """The share of a worker that tasks without accelerators may use.

    ``all_cores`` and ``all_memory_gb`` are its size; ``cores`` and
    ``memory_gb`` are what is free of it.
    """

    worker_id: str
    rack: str
    all_cores: float
    all_memory_gb: float
    cores: float
    memory_gb: float
    offered: bool = True
    bucket: int = 0


class CorePool:
    """The free cores and memory of all workers of one zone."""

    def __init__(self) -> None:
        self.workers: dict[str, WorkerCores] = {}
        self._buckets: dict[int, dict[str, None]] = {}

    def add_worker(self, spec: WorkerSpec) -> None:
        """Add a worker with the share that is available here."""
        share = 1.0 - ACCELERATOR_SHARE if spec.accelerators else 1.0
        cores = spec.cores * share
        memory_gb = spec.memory_gb * share
        worker = WorkerCores(
            spec.worker_id, spec.rack, cores, memory_gb, cores, memory_gb
        )
        self.workers[spec.worker_id] = worker
        self._add_to_bucket(worker)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker."""
        worker = self.workers.pop(worker_id)
        self._buckets[worker.bucket].pop(worker_id, None)

    def set_offered(self, worker_id: str, offered: bool) -> None:
        """Offer the worker to new tasks, or stop offering it."""
        self.workers[worker_id].offered = offered

    def find(
        self, request: CoreRequest, tasks: int, adjacency: Adjacency
    ) -> list[str] | None:
        """Return a worker id for each task, or ``None`` if they do not fit.

        If the tasks may be anywhere in the zone, workers are chosen by best
        fit. If one rack or worker must hold all tasks, the first that can is
        used.
        """
        if adjacency is Adjacency.ZONE:
            return self._choose_workers(
                self._iterate_best_fit(request), request, tasks
            )
        for group in self._group_workers(adjacency):
            chosen = self._choose_workers(iter(group), request, tasks)
            if chosen is not None:
                return chosen
        return None

    def _iterate_best_fit(self, request: CoreRequest) -> Iterator[WorkerCores]:
        for bucket in sorted(self._buckets):
            if bucket + 1 <= request.cores:
                continue
            for worker_id in self._buckets[bucket]:
                yield self.workers[worker_id]

    def _choose_workers(
        self, workers: Iterator[WorkerCores], request: CoreRequest, tasks: int
    ) -> list[str] | None:
        chosen: list[str] = []
        for worker in workers:
            fitting = (
                self._count_fitting(worker, request) if worker.offered else 0
            )
            count = min(fitting, tasks - len(chosen))
            chosen.extend([worker.worker_id] * count)
            if len(chosen) == tasks:
                return chosen
        return None

    def _group_workers(self, adjacency: Adjacency) -> list[list[WorkerCores]]:
        """Group the workers that may share a gang of this adjacency."""
        groups: dict[str, list[WorkerCores]] = {}
        for worker in self.workers.values():
            name = ""
            if adjacency is Adjacency.RACK:
                name = worker.rack
            elif adjacency is Adjacency.WORKER:
                name = worker.worker_id
            groups.setdefault(name, []).append(worker)
        return list(groups.values())

    def max_tasks(self, request: CoreRequest, adjacency: Adjacency) -> int:
        """Return how many such tasks a gang could have on empty workers."""
        maximum = 0
        for group in self._group_workers(adjacency):
            fitting = sum(
                self._count_fitting(
                    replace(
                        worker,
                        cores=worker.all_cores,
                        memory_gb=worker.all_memory_gb,
                    ),
                    request,
                )
                for worker in group
            )
            maximum = max(maximum, fitting)
        return maximum

    @staticmethod
    def _count_fitting(worker: WorkerCores, request: CoreRequest) -> int:
        by_cores = worker.cores / max(request.cores, 0.01)
        by_memory = worker.memory_gb / max(request.memory_gb, 0.01)
        return max(0, int(min(by_cores, by_memory) + 1e-9))

    def change(self, worker_id: str, request: CoreRequest, sign: int) -> None:
        """Reserve (``sign`` -1) or free (``sign`` 1) the share of one task."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        self._buckets[worker.bucket].pop(worker_id, None)
        worker.cores += sign * request.cores
        worker.memory_gb += sign * request.memory_gb
        self._add_to_bucket(worker)

    def _add_to_bucket(self, worker: WorkerCores) -> None:
        worker.bucket = int(worker.cores + 1e-9)
        self._buckets.setdefault(worker.bucket, {})[worker.worker_id] = None
