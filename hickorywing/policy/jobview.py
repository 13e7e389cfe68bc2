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

    A ``CLEARING`` job has cells that evicted jobs have not left yet. The
    controller was asked to start a ``PLACED`` job and to stop a ``STOPPING``
    one.
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
    ``defragment_evictions`` counts how often the job was evicted for
    defragmentation. ``evicted_own_job`` is the last job of its own customer
    that was evicted for it, and ``own_evictions`` counts such evictions.
    ``failed_claim_changes`` is the ledger's change count at the last failed
    claim, which is tried again on the next change or from ``claim_retry_at``
    on. Defragmentation is tried again from ``defragment_at`` on.
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
    defragment_evictions: int = 0
    evicted_own_job: str = ""
    own_evictions: int = 0
    failed_claim_changes: int = -1
    claim_retry_at: float = 0.0
    defragment_at: float = 0.0

    @property
    def guaranteed(self) -> bool:
        """Return whether the job is placed in its customer's guarantee."""
        return self.placement is not None and self.placement.guaranteed
