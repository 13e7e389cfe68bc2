"""Actions that a zone's scheduler asks its controller to perform."""

from dataclasses import dataclass
import enum

from hickorywing.policy.model import Placement

__all__ = [
    "Action",
    "EvictJob",
    "EvictReason",
    "FailJob",
    "Outcome",
    "Refusal",
    "StartJob",
]


class EvictReason(enum.StrEnum):
    """Reason for the eviction of a job."""

    RECLAIM = "guarantee reclaimed"
    URGENT = "urgent work"
    STARVING = "another job waited too long"
    MIGRATE = "moved to open a larger cell"
    OVERRUN = "ran far beyond its estimate"
    ZONE_OUT = "zone taken out"
    CANCELLED = "cancelled"


class Outcome(enum.StrEnum):
    """How an attempt of a job ended.

    ``ABORTED`` is an attempt of which no member has started.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "worker lost"
    ABORTED = "not started"


@dataclass(frozen=True, slots=True)
class StartJob:
    """Start an attempt of a job in a placement."""

    job_id: str
    attempt: int
    placement: Placement


@dataclass(frozen=True, slots=True)
class EvictJob:
    """Stop an attempt, with a checkpoint first if ``checkpoint`` is set."""

    job_id: str
    attempt: int
    reason: EvictReason
    checkpoint: bool


@dataclass(frozen=True, slots=True)
class FailJob:
    """End a job as failed, without another attempt."""

    job_id: str
    reason: str


Action = StartJob | EvictJob | FailJob


@dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why a job can never run in a zone, for its caller."""

    reason: str
