"""Represent jobs as rows of the platform's table.

``job/ID`` holds the job. Until it ends, ``home/ZONE/ID`` names the zone that
is responsible for it, and ``inbox/ZONE/ID`` tells that zone's controller of a
change that it has not seen. ``own/CUSTOMER/ID`` lists a customer's jobs, and
``ended/HOUR/ID`` those that can be deleted after some time.
"""

import enum
import time

import msgspec

from hickorywing.decoding import convert
from hickorywing.policy.model import Adjacency
from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import Placement
from hickorywing.policy.model import TaskPlace
from hickorywing.table import Write

__all__ = [
    "JobRow",
    "JobStatus",
    "ended_key",
    "epoch_key",
    "home_key",
    "inbox_key",
    "inbox_prefix",
    "job_key",
    "lease_key",
    "customer_key",
    "zone_key",
]

SECONDS_PER_HOUR = 3600


class JobStatus(enum.StrEnum):
    """The status of a job that its caller sees."""

    QUEUED = "queued"
    PLACED = "placed"
    STARTED = "started"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_terminal(self) -> bool:
        """Return whether the job's status can't change any more."""
        return self in (self.DONE, self.FAILED, self.CANCELLED)


class PlacedTask(msgspec.Struct, frozen=True, array_like=True):
    """The worker of one task, and the slots that it has there.

    The task has ``size`` accelerators of the worker, from ``offset`` on.
    """

    worker_id: str
    offset: int
    size: int


class JobRow(msgspec.Struct, frozen=True):
    """One job as it is stored.

    Names in ``_at`` are wall-clock times and names in ``_s`` durations, both
    in seconds. ``kept_s`` is the run time that checkpoints have saved.
    ``run_s``, if set, is sent to the workers instead of ``declared_run_s``.
    """

    job_id: str
    customer: str
    tasks: int
    accelerators: int
    cores: float
    memory_gb: float
    adjacency: Adjacency
    declared_run_s: float
    urgent: bool
    home: str
    status: JobStatus = JobStatus.QUEUED
    attempt: int = 0
    submitted_at: float = 0.0
    changed_at: float = 0.0
    kept_s: float = 0.0
    run_s: float | None = None
    guaranteed: bool = False
    placement: list[PlacedTask] = []
    cancel_requested: bool = False
    failures: int = 0
    reason: str = ""

    def to_spec(self) -> JobSpec:
        """Return the job in the form that the scheduling policy uses."""
        return JobSpec(
            self.job_id,
            self.customer,
            self.tasks,
            self.accelerators,
            self.cores,
            self.memory_gb,
            self.adjacency,
            self.declared_run_s,
            self.urgent,
        )

    def to_placement(self) -> Placement:
        """Return the placement in the form that the scheduling policy uses."""
        places = tuple(
            TaskPlace(task.worker_id, task.offset, task.size)
            for task in self.placement
        )
        return Placement(places, self.guaranteed)

    def change(self, **fields: object) -> "JobRow":
        """Return a copy with changed fields and the present time."""
        return msgspec.structs.replace(self, changed_at=time.time(), **fields)

    def to_write(self) -> Write:
        """Return the write that stores this row."""
        return Write(job_key(self.job_id), msgspec.to_builtins(self))

    def submit_writes(self) -> list[Write]:
        """Return all writes that submit a new job."""
        return [
            self.to_write(),
            Write(home_key(self.home, self.job_id), {}),
            Write(inbox_key(self.home, self.job_id), {}),
            Write(customer_key(self.customer, self.job_id), {}),
        ]

    def end_writes(self) -> list[Write]:
        """Return all writes that end a job."""
        return [
            self.to_write(),
            Write(home_key(self.home, self.job_id)),
            Write(ended_key(self.changed_at, self.job_id), {}),
        ]

    @classmethod
    def from_value(cls, value: object) -> "JobRow":
        """Decode a job from a row's value."""
        return convert(value, cls)


def make_placed_tasks(placement: Placement) -> list[PlacedTask]:
    """Convert a placement to the form that rows use."""
    return [
        PlacedTask(task.worker_id, task.offset, task.size)
        for task in placement.tasks
    ]


def job_key(job_id: str) -> str:
    """Return the key of a job's row."""
    return f"job/{job_id}"


def home_key(zone: str, job_id: str) -> str:
    """Return the key that makes a zone responsible for a job."""
    return f"home/{zone}/{job_id}"


def inbox_prefix(zone: str) -> str:
    """Return the key prefix of changes that a zone has not seen."""
    return f"inbox/{zone}/"


def inbox_key(zone: str, job_id: str) -> str:
    """Return the key of a job's change that a zone has not seen."""
    return f"{inbox_prefix(zone)}{job_id}"


def customer_key(customer: str, job_id: str) -> str:
    """Return the key that lists a job under its customer."""
    return f"own/{customer}/{job_id}"


def ended_key(at: float, job_id: str) -> str:
    """Return the key that lists an ended job by hour."""
    return f"ended/{int(at) // SECONDS_PER_HOUR:08d}/{job_id}"


def lease_key(zone: str) -> str:
    """Return the key of a zone controller's lease."""
    return f"lease/{zone}"


def epoch_key(zone: str) -> str:
    """Return the key of a zone controller's epoch."""
    return f"epoch/{zone}"


def zone_key(zone: str) -> str:
    """Return the key of the row that tells whether a zone is in service."""
    return f"zone/{zone}"
