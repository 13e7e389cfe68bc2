"""Detect workers that fail their tasks, by comparing failures across jobs.

A worker that fails every task always has room, so without detection new work
keeps going there and uses up its attempts. A job that fails everywhere, on the
other hand, would make good workers look bad. Failures on a worker are
therefore counted once for each job, and only until the worker completes a
task. What fails on most of a pool has a cause outside its workers, such as a
service that all tasks need.
"""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field

from hickorywing.policy.departures import Departures
from hickorywing.policy.workerpace import WorkerPace

__all__ = ["WorkerHealth"]

# Number of failed jobs from which a worker is suspect, or bad. A single job
# may have failed by its own fault, a second one has not.
MIN_SUSPECT_JOBS = 1
MIN_BAD_JOBS = 2
# Older failures don't count, so that the worker is tried again.
FAILURE_WINDOW_S = 12.0
# For this long after a success a worker is preferred for retries. It is of the
# order of a long task, so that a good worker in use stays preferred.
RECENT_SUCCESS_S = 20.0
# A job that fails on a larger share of a pool's workers is itself the cause,
# and a larger share of bad workers has a common cause. Neither is then held
# against any worker.
MAX_BLAMED_SHARE = 0.5


@dataclass(slots=True)
class Failures:
    """The jobs that failed on a worker since it last completed a task.

    ``jobs`` maps each job to the time of its last failure.
    """

    jobs: dict[str, float] = field(default_factory=dict)

    def list_recent(self, now_s: float) -> list[str]:
        """Return the jobs that failed recently."""
        return [
            job_id
            for job_id, at_s in self.jobs.items()
            if now_s - at_s < FAILURE_WINDOW_S
        ]


class WorkerHealth:
    """The failures, successes, speeds and departures of a pool's workers."""

    def __init__(self) -> None:
        self._failures: dict[str, Failures] = {}
        self._last_success_s: dict[str, float] = {}
        self.pace = WorkerPace()
        self.departures = Departures()

    def record_success(self, worker: str, now_s: float) -> None:
        """Record that a worker completed a task."""
        self._failures.pop(worker, None)
        self._last_success_s[worker] = now_s

    def record_failure(self, worker: str, job_id: str, now_s: float) -> None:
        """Record that a task of a job failed on a worker."""
        failures = self._failures.setdefault(worker, Failures())
        failures.jobs[job_id] = now_s

    def forget(self, worker: str) -> None:
        """Drop all data on a worker that is gone."""
        self._failures.pop(worker, None)
        self._last_success_s.pop(worker, None)
        self.pace.forget(worker)

    def succeeded_recently(self, worker: str, now_s: float) -> bool:
        """Return whether a worker completed a task recently."""
        success_s = self._last_success_s.get(worker)
        return success_s is not None and now_s - success_s < RECENT_SUCCESS_S

    def is_suspect(self, worker: str, now_s: float) -> bool:
        """Return whether other workers should be preferred."""
        return self._count_failed_jobs(worker, now_s) >= MIN_SUSPECT_JOBS

    def is_bad(self, worker: str, now_s: float) -> bool:
        """Return whether several different jobs failed on a worker."""
        return self._count_failed_jobs(worker, now_s) >= MIN_BAD_JOBS

    def choose_unsound(
        self, workers: Collection[str], now_s: float
    ) -> frozenset[str]:
        """Return the workers that should get no work at all.

        ``workers`` are all workers of the pool. At least half of them remain:
        what looks bad is otherwise not the workers' fault.
        """
        failed = {
            worker: self._failures[worker].list_recent(now_s)
            for worker in workers
            if worker in self._failures
        }
        max_blamed = MAX_BLAMED_SHARE * len(workers)
        spread = Counter(job_id for jobs in failed.values() for job_id in jobs)
        unsound = frozenset(
            worker
            for worker, jobs in failed.items()
            if sum(spread[job_id] <= max_blamed for job_id in jobs)
            >= MIN_BAD_JOBS
        )
        return frozenset() if len(unsound) > max_blamed else unsound

    def _count_failed_jobs(self, worker: str, now_s: float) -> int:
        failures = self._failures.get(worker)
        return 0 if failures is None else len(failures.list_recent(now_s))
