"""What the scheduler of a zone asks its controller to do."""

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
    """Why a placed job has to leave its cells."""

    RECLAIM = "guarantee reclaimed"
    URGENT = "urgent work"
    STARVING = "another job waited too long"
    MIGRATE = "moved to open a larger cell"
    OVERRUN = "ran far beyond its estimate"
    ZONE_OUT = "zone taken out"
    CANCELLED = "cancelled"


class Outcome(enum.StrEnum):
    """How one attempt of a job ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "worker lost"
    ABORTED = "not started"


@dataclass(frozen=True, slots=True)
class StartJob:
    """Start an attempt of a job at a placement."""

    job_id: str
    attempt: int
    placement: Placement


@dataclass(frozen=True, slots=True)
class EvictJob:
    """Stop an attempt; checkpoint it first when that is asked for."""

    job_id: str
    attempt: int
    reason: EvictReason
    checkpoint: bool


@dataclass(frozen=True, slots=True)
class FailJob:
    """End a job for good."""

    job_id: str
    reason: str


Action = StartJob | EvictJob | FailJob


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a job can never run here."""

    reason: str
