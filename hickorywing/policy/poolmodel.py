"""Data classes of a pool: jobs of several steps, workers, queues, customers.

A pool is all workers of one service over every availability zone. The
decisions that use these classes are in the other ``pool`` modules.
"""

from dataclasses import dataclass

__all__ = [
    "Customer",
    "PoolJob",
    "QueueTerms",
    "Resources",
    "Step",
    "WorkerFacts",
    "name_of",
    "vm_of",
]


@dataclass(frozen=True, slots=True)
class Resources:
    """What a task asks for, or what a worker has."""

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, other: "Resources") -> bool:
        """Tell whether all of this is there in ``other``."""
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
    """Equal tasks of a job that may run once the steps in ``after`` are done.

    ``data_rack`` is where the step's data lies: elsewhere its tasks are
    slower. ``spread_limit`` bounds its tasks on one worker, 0 sets no bound.
    A ``filler`` takes cores that the other tasks of a worker leave unused.
    ``may_miss`` bounds how many tasks of a lasting step the system itself may
    keep from working at a time.
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
    """The terms of a queue; priority 0 is urgent and may preempt others.

    A job should be shown as completed within ``stretch`` times its longest
    chain of work and ``latency_target_s`` more.
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

    A job with ``occurrences`` runs its steps that many times; occurrence K is
    due at ``first_due_s + K * interval_s``, in seconds since the epoch.
    """

    job_id: str
    customer: str
    payload: str
    steps: tuple[Step, ...]
    terms: QueueTerms
    occurrences: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0

    def is_standing(self) -> bool:
        """Tell whether the job has no time to be completed within."""
        lasts = any(step.lasting for step in self.steps)
        return lasts or self.occurrences > 0


@dataclass(frozen=True, slots=True)
class WorkerFacts:
    """One incarnation of a worker, as it describes itself.

    The first label is the worker's model, the second its rack.
    """

    worker: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...] = ()

    @property
    def rack(self) -> str:
        """Return the rack; a worker that names none is a rack of its own."""
        return self.labels[1] if len(self.labels) > 1 else self.worker


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer, its keys and the accelerators guaranteed to it."""

    name: str
    keys: frozenset[str] = frozenset()
    guaranteed_accelerators: int | None = None


def vm_of(worker: str) -> str:
    """Return the VM in an incarnation's name, ``VM/NAME@BORN``."""
    return worker.partition("/")[0]


def name_of(worker: str) -> str:
    """Return an incarnation's name without when it was born."""
    return worker.rpartition("@")[0]
