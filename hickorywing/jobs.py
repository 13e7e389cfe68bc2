"""Jobs as rows of the platform's table.

``job/ID`` holds the job. While it lives, ``home/ZONE/ID`` names the zone that
is responsible for it, and ``inbox/ZONE/ID`` tells that zone's controller of a
change it has not seen. ``own/CUSTOMER/ID`` lists a customer's jobs and
``ended/HOUR/ID`` what can be deleted after a while.
"""

import enum
import time

import msgspec

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
    "own_key",
    "zone_key",
]

SECONDS_PER_HOUR = 3600


class JobStatus(enum.StrEnum):
    """The state of a job as its caller sees it."""

    QUEUED = "queued"
    PLACED = "placed"
    STARTED = "started"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_terminal(self) -> bool:
        """Tell whether nothing can happen to the job any more."""
        return self in (self.DONE, self.FAILED, self.CANCELLED)


class PlacedTask(msgspec.Struct, frozen=True, array_like=True):
    """Where one task runs."""

    worker_id: str
    offset: int
    size: int


class JobRow(msgspec.Struct, frozen=True):
    """One job; times are wall-clock seconds, run times seconds."""

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
        """Return the form that the decisions use."""
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
        """Return the placement in the form that the decisions use."""
        places = tuple(
            TaskPlace(task.worker_id, task.offset, task.size)
            for task in self.placement
        )
        return Placement(places, self.guaranteed)

    def change(self, **fields: object) -> "JobRow":
        """Return the row with some fields changed, stamped with now."""
        return msgspec.structs.replace(self, changed_at=time.time(), **fields)

    def to_write(self) -> Write:
        """Return the write that stores this row."""
        return Write(job_key(self.job_id), msgspec.to_builtins(self))

    def submit_writes(self) -> list[Write]:
        """Return all writes of a new job."""
        return [
            self.to_write(),
            Write(home_key(self.home, self.job_id), {}),
            Write(inbox_key(self.home, self.job_id), {}),
            Write(own_key(self.customer, self.job_id), {}),
        ]

    def end_writes(self) -> list[Write]:
        """Return all writes of a job that has just ended."""
        return [
            self.to_write(),
            Write(home_key(self.home, self.job_id)),
            Write(ended_key(self.changed_at, self.job_id), {}),
        ]

    @classmethod
    def from_value(cls, value: object) -> "JobRow":
        """Return the job that a row's value describes."""
        return msgspec.convert(value, cls)


def place_tasks(placement: Placement) -> list[PlacedTask]:
    """Return a placement in the form that rows use."""
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
    """Return the prefix of a zone's unseen changes."""
    return f"inbox/{zone}/"


def inbox_key(zone: str, job_id: str) -> str:
    """Return the key of one unseen change."""
    return f"{inbox_prefix(zone)}{job_id}"


def own_key(customer: str, job_id: str) -> str:
    """Return the key that lists a job under its customer."""
    return f"own/{customer}/{job_id}"


def ended_key(at: float, job_id: str) -> str:
    """Return the key that lists an ended job by the hour."""
    return f"ended/{int(at) // SECONDS_PER_HOUR:08d}/{job_id}"


def lease_key(zone: str) -> str:
    """Return the key of a zone controller's lease."""
    return f"lease/{zone}"


def epoch_key(zone: str) -> str:
    """Return the key of a zone controller's epoch."""
    return f"epoch/{zone}"


def zone_key(zone: str) -> str:
    """Return the key of the row that says whether a zone is in."""
    return f"zone/{zone}"
