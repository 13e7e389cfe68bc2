"""Order waiting jobs so that short work passes long work, within a bound.

The key of a job is its arrival time plus a delay that grows with the work it
is expected to do. The delay is capped, so a job that arrives more than
``MAX_DEFER_S`` after another can never be ahead of it: the bound that keeps
every job from waiting for ever.
"""

from abc import ABC
from abc import abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedKeyList

from hickorywing.policy.model import JobSpec

__all__ = ["ArrivalOrder", "JobQueue", "Order", "ShortWorkFirst"]

MAX_DEFER_S = 4 * 3600.0
DEFER_PER_WORK = 4.0


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """A waiting job and its place in the order; the smallest key is first."""

    key: tuple[int, float, int]
    job_id: str


class Order(ABC):
    """Gives the key, in seconds, by which waiting jobs are sorted."""

    @abstractmethod
    def sort_key(
        self, spec: JobSpec, submitted: float, expected_s: float
    ) -> float:
        """Return the key of one job."""


class ArrivalOrder(Order):
    """First come, first served: a baseline."""

    def sort_key(
        self, spec: JobSpec, submitted: float, expected_s: float
    ) -> float:
        """Return the arrival time."""
        return submitted


class ShortWorkFirst(Order):
    """Arrival time plus a capped delay for expected work."""

    def sort_key(
        self, spec: JobSpec, submitted: float, expected_s: float
    ) -> float:
        """Return arrival plus the expected work's delay."""
        work = expected_s * max(1.0, spec.total_accelerators**0.5)
        return submitted + min(MAX_DEFER_S, DEFER_PER_WORK * work)


class JobQueue:
    """Waiting jobs, urgent ones first, each class in its order."""

    def __init__(self, order: Order) -> None:
        self.order = order
        self._entries: SortedKeyList = SortedKeyList(
            key=lambda entry: entry.key
        )
        self._by_job: dict[str, QueueEntry] = {}
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._by_job)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._by_job

    def add(self, spec: JobSpec, submitted: float, expected_s: float) -> None:
        """Add a waiting job."""
        self._next_number += 1
        key = self.order.sort_key(spec, submitted, expected_s)
        rank = 0 if spec.urgent else 1
        entry = QueueEntry((rank, key, self._next_number), spec.job_id)
        self._by_job[spec.job_id] = entry
        self._entries.add(entry)

    def remove(self, job_id: str) -> bool:
        """Remove a job in logarithmic time; tell whether it was there."""
        entry = self._by_job.pop(job_id, None)
        if entry is None:
            return False
        self._entries.remove(entry)
        return True

    def in_order(self) -> Iterator[str]:
        """Yield the jobs in order; the queue must not change meanwhile."""
        for entry in self._entries:
            yield entry.job_id
