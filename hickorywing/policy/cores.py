"""Place tasks that hold no accelerator.

A worker with accelerators keeps a share of its processors and memory for
them; only the rest is open here, so that such a task never strands an
accelerator. Placement is best fit over workers grouped by free whole cores.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace

from hickorywing.policy.model import Adjacency
from hickorywing.policy.model import WorkerSpec

__all__ = ["ACCELERATOR_SHARE", "CorePool", "CoreRequest"]

ACCELERATOR_SHARE = 0.75


@dataclass(frozen=True, slots=True)
class CoreRequest:
    """Processors and memory of one task."""

    cores: float
    memory_gb: float


@dataclass(slots=True)
class WorkerCores:
    """What is free of a worker's open share."""

    worker_id: str
    rack: str
    all_cores: float
    all_memory_gb: float
    cores: float
    memory_gb: float
    offered: bool = True
    bucket: int = 0


class CorePool:
    """Free processors and memory of all workers of one zone."""

    def __init__(self) -> None:
        self.workers: dict[str, WorkerCores] = {}
        self._buckets: dict[int, dict[str, None]] = {}

    def add_worker(self, spec: WorkerSpec) -> None:
        """Add the open share of a worker."""
        share = 1.0 - ACCELERATOR_SHARE if spec.accelerators else 1.0
        cores = spec.cores * share
        memory_gb = spec.memory_gb * share
        worker = WorkerCores(
            spec.worker_id, spec.rack, cores, memory_gb, cores, memory_gb
        )
        self.workers[spec.worker_id] = worker
        self._file(worker)

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker."""
        worker = self.workers.pop(worker_id)
        self._buckets[worker.bucket].pop(worker_id, None)

    def set_offered(self, worker_id: str, offered: bool) -> None:
        """Offer the worker to new tasks, or stop doing so."""
        self.workers[worker_id].offered = offered

    def find(
        self, request: CoreRequest, tasks: int, adjacency: Adjacency
    ) -> list[str] | None:
        """Return one worker id per task, tightest fit first, or ``None``."""
        if adjacency is Adjacency.ZONE:
            return self._take(self._tightest_first(request), request, tasks)
        for group in self._groups(adjacency):
            chosen = self._take(iter(group), request, tasks)
            if chosen is not None:
                return chosen
        return None

    def _tightest_first(self, request: CoreRequest) -> Iterator[WorkerCores]:
        for bucket in sorted(self._buckets):
            if bucket + 1 <= request.cores:
                continue
            for worker_id in self._buckets[bucket]:
                yield self.workers[worker_id]

    def _take(
        self, workers: Iterator[WorkerCores], request: CoreRequest, tasks: int
    ) -> list[str] | None:
        chosen: list[str] = []
        for worker in workers:
            room = self._room(worker, request) if worker.offered else 0
            take = min(room, tasks - len(chosen))
            chosen.extend([worker.worker_id] * take)
            if len(chosen) == tasks:
                return chosen
        return None

    def _groups(self, adjacency: Adjacency) -> list[list[WorkerCores]]:
        """Return the workers that may share one gang, group by group."""
        groups: dict[str, list[WorkerCores]] = {}
        for worker in self.workers.values():
            name = ""
            if adjacency is Adjacency.RACK:
                name = worker.rack
            elif adjacency is Adjacency.WORKER:
                name = worker.worker_id
            groups.setdefault(name, []).append(worker)
        return list(groups.values())

    def most_tasks(self, request: CoreRequest, adjacency: Adjacency) -> int:
        """Return the largest gang of such tasks on empty workers."""
        most = 0
        for group in self._groups(adjacency):
            room = sum(
                self._room(
                    replace(
                        worker,
                        cores=worker.all_cores,
                        memory_gb=worker.all_memory_gb,
                    ),
                    request,
                )
                for worker in group
            )
            most = max(most, room)
        return most

    @staticmethod
    def _room(worker: WorkerCores, request: CoreRequest) -> int:
        by_cores = worker.cores / max(request.cores, 0.01)
        by_memory = worker.memory_gb / max(request.memory_gb, 0.01)
        return max(0, int(min(by_cores, by_memory) + 1e-9))

    def change(self, worker_id: str, request: CoreRequest, sign: int) -> None:
        """Give back (``sign`` 1) or take (``sign`` -1) one task's share."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        self._buckets[worker.bucket].pop(worker_id, None)
        worker.cores += sign * request.cores
        worker.memory_gb += sign * request.memory_gb
        self._file(worker)

    def _file(self, worker: WorkerCores) -> None:
        worker.bucket = int(worker.cores + 1e-9)
        self._buckets.setdefault(worker.bucket, {})[worker.worker_id] = None
