"""Data classes shared by the scheduling decisions."""

from dataclasses import dataclass
from dataclasses import field
import enum

__all__ = [
    "Adjacency",
    "Customer",
    "Guarantee",
    "JobSpec",
    "Placement",
    "TaskPlace",
    "WorkerSpec",
    "round_up_cell",
]


class Adjacency(enum.StrEnum):
    """How close to each other the tasks of a gang must be placed.

    The accelerators of one task are always a single cell of one worker. The
    cells of all tasks must be on the same worker, in the same rack, or in the
    same availability zone.
    """

    WORKER = "worker"
    RACK = "rack"
    ZONE = "zone"


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """A worker, as the inventory describes it."""

    worker_id: str
    zone: str
    rack: str
    accelerators: int
    cores: float
    memory_gb: float


@dataclass(frozen=True, slots=True)
class Guarantee:
    """A customer's right to ``count`` cells of ``accelerators`` each.

    ``zone`` is ``None`` if the cells may be in any availability zone.
    """

    customer: str
    accelerators: int
    count: int
    zone: str | None = None


@dataclass(frozen=True, slots=True)
class Customer:
    """Quotas of a customer in one availability zone; ``None``: no limit."""

    name: str
    quota_accelerators: int | None = None
    quota_cores: float | None = None


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted: a gang of equal tasks.

    The resources are those of one task. ``declared_run_s`` is the run time in
    seconds that the caller expects. It is not trusted: only the order of
    waiting jobs depends on it.
    """

    job_id: str
    customer: str
    tasks: int = 1
    accelerators: int = 0
    cores: float = 1.0
    memory_gb: float = 1.0
    adjacency: Adjacency = Adjacency.ZONE
    declared_run_s: float = 60.0
    urgent: bool = False

    @property
    def total_accelerators(self) -> int:
        """Return the number of accelerators of all tasks together."""
        return self.tasks * self.accelerators


@dataclass(frozen=True, slots=True)
class TaskPlace:
    """Worker and cell of one task of a gang.

    The task has the ``size`` accelerators of the worker from ``offset`` on; a
    task without accelerators has size 0.
    """

    worker_id: str
    offset: int
    size: int


@dataclass(frozen=True, slots=True)
class Placement:
    """Places of all tasks of a gang.

    ``guaranteed`` tells that they are inside the customer's guarantee.
    """

    tasks: tuple[TaskPlace, ...]
    guaranteed: bool = False

    @property
    def workers(self) -> tuple[str, ...]:
        """Return the distinct workers in the order of the tasks."""
        return tuple(dict.fromkeys(task.worker_id for task in self.tasks))


@dataclass(slots=True)
class RunTimes:
    """Run time of a job so far, in seconds."""

    attained_s: float = 0.0
    started_at: float | None = field(default=None)


def round_up_cell(accelerators: int) -> int:
    """Return the smallest power of two not below ``accelerators``.

    Returns 0 for 0. Example: ``round_up_cell(3) == 4``.
    """
    if accelerators <= 0:
        return 0
    return 1 << (accelerators - 1).bit_length()
