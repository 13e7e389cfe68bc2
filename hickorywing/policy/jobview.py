"""What a zone's scheduler knows of one job."""

from dataclasses import dataclass
from dataclasses import field
import enum

from hickorywing.policy.cells import Cell
from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import Placement

__all__ = ["JobState", "JobView"]


class JobState(enum.StrEnum):
    """Where a job stands inside the scheduler."""

    QUEUED = "queued"
    CLEARING = "clearing"
    PLACED = "placed"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class JobView:
    """One job that the scheduler knows."""

    spec: JobSpec
    submitted: float
    cell_size: int
    state: JobState = JobState.QUEUED
    attempt: int = 0
    placement: Placement | None = None
    cells: list[Cell] = field(default_factory=list)
    blocked_on: set[str] = field(default_factory=set)
    started_at: float | None = None
    attained_s: float = 0.0
    failures: int = 0
    cancelled: bool = False
    waiting_since: float = 0.0
    displaced: int = 0
    displacing: str = ""
    displacements: int = 0
    searched_changes: int = -1
    search_at: float = 0.0
    open_at: float = 0.0

    @property
    def guaranteed(self) -> bool:
        """Tell whether the job runs inside its customer's guarantee."""
        return self.placement is not None and self.placement.guaranteed
