"""State of one job in a zone's scheduler."""

from dataclasses import dataclass
from dataclasses import field
import enum

from hickorywing.policy.cells import Cell
from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import Placement

__all__ = ["JobState", "JobView"]


class JobState(enum.StrEnum):
    """State of a job in the scheduler.

    A ``CLEARING`` job has cells from which evicted jobs have not left yet; a
    ``PLACED`` job was told to start, and a ``STOPPING`` job to stop.
    """

    QUEUED = "queued"
    CLEARING = "clearing"
    PLACED = "placed"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class JobView:
    """A job that waits or is placed, with what was decided about it.

    ``blocked_on`` holds the evicted jobs that must end before this one starts.
    ``attained_s`` is the run time in seconds that checkpoints have saved.
    ``displaced`` counts how often the job was evicted for defragmentation.
    ``displacing`` is the job of its own customer that it had evicted last, and
    ``displacements`` counts those. ``searched_changes`` is the ledger's change
    count at the last failed claim, which is tried again on the next change or
    from ``search_at`` on. Defragmentation is tried again from ``open_at`` on.
    """

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
        """Return whether the job is placed in its customer's guarantee."""
        return self.placement is not None and self.placement.guaranteed
