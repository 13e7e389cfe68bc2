"""Order the waiting jobs of a zone, short work first within a bound.

The sort key of a job is its arrival time plus a delay that grows with its
expected work. The delay is capped: a job that arrives more than
``MAX_DEFER_S`` after another is never ordered before it, so that a steady
arrival of short jobs cannot starve a long one.
"""

from abc import ABC
from abc import abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedKeyList

from hickorywing.policy.model import JobSpec

__all__ = ["ArrivalOrder", "JobQueue", "Order", "ShortWorkFirst"]

MAX_DEFER_S = 4 * 3600.0
# Seconds of delay for each second of expected run time, which is weighted by
# the square root of the accelerators.
DEFER_PER_WORK = 4.0


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """A waiting job and its sort key; the smallest key comes first."""

    key: tuple[int, float, int]
    job_id: str


class Order(ABC):
    """An order of waiting jobs, by a key in seconds."""

    @abstractmethod
    def sort_key(
        self, spec: JobSpec, submitted: float, expected_s: float
    ) -> float:
        """Return the sort key of a job.

        ``submitted`` is its arrival time and ``expected_s`` its expected
        remaining run time, both in seconds.
        """


class ArrivalOrder(Order):
    """First come, first served, as a baseline for comparisons."""

    def sort_key(
        self, spec: JobSpec, submitted: float, expected_s: float
    ) -> float:
        """Return the arrival time."""
        return submitted


class ShortWorkFirst(Order):
    """Arrival time plus a capped delay for the expected work."""

    def sort_key(
        self, spec: JobSpec, submitted: float, expected_s: float
    ) -> float:
        """Return the arrival time plus the delay for the expected work."""
        work = expected_s * max(1.0, spec.total_accelerators**0.5)
        return submitted + min(MAX_DEFER_S, DEFER_PER_WORK * work)


class JobQueue:
    """Waiting jobs: urgent ones first, then the others, each by the order."""

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
        """Add a waiting job; see ``Order.sort_key`` for the arguments."""
        self._next_number += 1
        key = self.order.sort_key(spec, submitted, expected_s)
        priority = 0 if spec.urgent else 1
        entry = QueueEntry((priority, key, self._next_number), spec.job_id)
        self._by_job[spec.job_id] = entry
        self._entries.add(entry)

    def remove(self, job_id: str) -> bool:
        """Remove a job in logarithmic time; return whether it was queued."""
        entry = self._by_job.pop(job_id, None)
        if entry is None:
            return False
        self._entries.remove(entry)
        return True

    def in_order(self) -> Iterator[str]:
        """Yield the ids of the jobs in order.

        The queue must not be changed during the iteration.
        """
        for entry in self._entries:
            yield entry.job_id
