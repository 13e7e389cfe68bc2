"""Data classes that every decision shares."""

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
    """How close the tasks of one gang must be to each other.

    The accelerators of one task always form one cell of a single worker;
    this says where the cells of the other tasks may be.
    """

    WORKER = "worker"
    RACK = "rack"
    ZONE = "zone"


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """One worker as the inventory describes it."""

    worker_id: str
    zone: str
    rack: str
    accelerators: int
    cores: float
    memory_gb: float


@dataclass(frozen=True, slots=True)
class Guarantee:
    """A customer's right to ``count`` cells of ``accelerators`` each."""

    customer: str
    accelerators: int
    count: int
    zone: str | None = None


@dataclass(frozen=True, slots=True)
class Customer:
    """Limits of one customer inside one availability zone."""

    name: str
    quota_accelerators: int | None = None
    quota_cores: float | None = None


@dataclass(frozen=True, slots=True)
class JobSpec:
    """What a caller asked for: a gang of equal tasks.

    ``declared_run_s`` is the caller's guess in seconds and is never trusted
    for anything but order.
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
        """Return the accelerators that all tasks hold together."""
        return self.tasks * self.accelerators


@dataclass(frozen=True, slots=True)
class TaskPlace:
    """The cell that one task of a gang holds.

    ``offset`` and ``size`` name accelerators of the worker; a task without
    accelerators has size 0.
    """

    worker_id: str
    offset: int
    size: int


@dataclass(frozen=True, slots=True)
class Placement:
    """Where every task of one gang runs."""

    tasks: tuple[TaskPlace, ...]
    guaranteed: bool = False

    @property
    def workers(self) -> tuple[str, ...]:
        """Return the distinct workers in the order of the tasks."""
        return tuple(dict.fromkeys(task.worker_id for task in self.tasks))


@dataclass(slots=True)
class RunTimes:
    """What a job has run so far, in seconds."""

    attained_s: float = 0.0
    started_at: float | None = field(default=None)


def round_up_cell(accelerators: int) -> int:
    """Return the smallest power of two that holds ``accelerators``.

    Returns 0 for 0. Example: ``round_up_cell(3) == 4``.
    """
    if accelerators <= 0:
        return 0
    return 1 << (accelerators - 1).bit_length()
