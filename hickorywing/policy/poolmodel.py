"""Data classes for a pool's jobs, steps, workers, queues and customers.

A pool is all workers of one service, across the availability zones. The
scheduling decisions are in the other ``pool`` modules.
"""

from dataclasses import dataclass

__all__ = [
    "Customer",
    "PoolJob",
    "QueueTerms",
    "Resources",
    "Step",
    "WorkerFacts",
    "get_vm",
    "get_worker_name",
]


@dataclass(frozen=True, slots=True)
class Resources:
    """Resources that a task requests or that a worker has."""

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, other: "Resources") -> bool:
        """Return whether ``other`` has at least as much of each resource."""
        return (
            self.cores_milli <= other.cores_milli
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cores_milli + other.cores_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cores_milli - other.cores_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


@dataclass(frozen=True, slots=True)
class Step:
    """Equal tasks of a job, which may start once all steps in ``after`` end.

    ``estimate_s`` is the declared run time of a task in seconds, 0 if none is
    declared. The tasks of a ``gang`` step run together or not at all.
    ``data_rack`` is the rack with the step's data: its tasks run slower
    elsewhere. Those of a ``one_rack`` step run faster if they share a rack.
    ``spread_limit`` is the maximum number of its tasks on one worker, 0 for no
    limit. A ``filler`` step uses cores that the other tasks on a worker leave
    idle. A ``lasting`` step runs until it is cancelled, and ``may_miss`` is
    the maximum number of its tasks that the system itself may keep from
    running at any time. No decision depends on ``may_miss``, ``speculative``,
    ``image`` or ``latency_target_s``.
    """

    count: int = 1
    resources: Resources = Resources()
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    spread_limit: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    latency_target_s: float = 0.0
    filler: bool = False
    may_miss: int | None = None


@dataclass(frozen=True, slots=True)
class QueueTerms:
    """The settings of a queue; priority 0 is urgent and may preempt others.

    The objective of a job is to be shown as completed within ``stretch``
    times its longest chain of work plus ``latency_target_s``.
    """

    queue: str
    pool: str
    priority: int = 1
    attempts: int = 1
    stretch: float = 2.0
    latency_target_s: float = 1.0


@dataclass(frozen=True, slots=True)
class PoolJob:
    """An accepted job.

    A job with ``occurrences`` above 0 runs all its steps that many times;
    occurrence K is due at ``first_due_s + K * interval_s``, in seconds since
    the Unix epoch.
    """

    job_id: str
    customer: str
    payload: str
    steps: tuple[Step, ...]
    terms: QueueTerms
    occurrences: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0

    def has_no_objective(self) -> bool:
        """Return whether the job has no completion objective."""
        lasts = any(step.lasting for step in self.steps)
        return lasts or self.occurrences > 0


@dataclass(frozen=True, slots=True)
class WorkerFacts:
    """The reported properties of one incarnation of a worker.

    The first label is the worker's model, the second its rack.
    """

    worker: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...] = ()

    @property
    def rack(self) -> str:
        """Return the rack, or the worker's own name if it reports none."""
        return self.labels[1] if len(self.labels) > 1 else self.worker


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its API keys and number of guaranteed accelerators."""

    name: str
    keys: frozenset[str] = frozenset()
    guaranteed_accelerators: int | None = None


def get_vm(worker: str) -> str:
    """Return the VM from the name of an incarnation, ``VM/NAME@BORN``."""
    return worker.partition("/")[0]


def get_worker_name(worker: str) -> str:
    """Return the name of an incarnation without its start time."""
    return worker.rpartition("@")[0]
