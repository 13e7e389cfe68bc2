"""Place tasks that hold no accelerator.

A worker with accelerators keeps a share of its processors and memory for
them; only the rest is open here, so that such a task never strands an
accelerator. Placement is best fit over workers grouped by free whole cores.
"""

from dataclasses import dataclass

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
    cores: float
    memory_gb: float
    offered: bool = True
    bucket: int = 0


class CorePool:
    """Free processors and memory of all workers of one zone."""

    def __init__(self) -> None:
        self.workers: dict[str, WorkerCores] = {}
        self._buckets: dict[int, dict[str, None]] = {}
        self.max_cores = 0.0
        self.max_memory_gb = 0.0

    def add_worker(self, spec: WorkerSpec) -> None:
        """Add the open share of a worker."""
        share = 1.0 - ACCELERATOR_SHARE if spec.accelerators else 1.0
        worker = WorkerCores(
            spec.worker_id, spec.cores * share, spec.memory_gb * share
        )
        self.workers[spec.worker_id] = worker
        self.max_cores = max(self.max_cores, worker.cores)
        self.max_memory_gb = max(self.max_memory_gb, worker.memory_gb)
        self._file(worker)

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker."""
        worker = self.workers.pop(worker_id)
        self._buckets[worker.bucket].pop(worker_id, None)

    def set_offered(self, worker_id: str, offered: bool) -> None:
        """Offer the worker to new tasks, or stop doing so."""
        self.workers[worker_id].offered = offered

    def find(self, request: CoreRequest, tasks: int) -> list[str] | None:
        """Return one worker id per task, tightest fit first, or ``None``."""
        chosen: list[str] = []
        for bucket in sorted(self._buckets):
            if bucket + 1 <= request.cores:
                continue
            for worker_id in self._buckets[bucket]:
                room = self._room(self.workers[worker_id], request)
                chosen.extend([worker_id] * min(room, tasks - len(chosen)))
                if len(chosen) == tasks:
                    return chosen
        return None

    @staticmethod
    def _room(worker: WorkerCores, request: CoreRequest) -> int:
        if not worker.offered:
            return 0
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
