"""Recognise workers that fail what they start, by comparing across jobs.

Answers two load patterns: a worker that fails everything looks free, so new
work goes there again and again and uses up its attempts; and jobs that fail
everywhere would make good workers look bad. A failure therefore counts once
for each job, and only until the worker has completed something.
"""

from dataclasses import dataclass
from dataclasses import field

from hickorywing.policy.workerpace import WorkerPace

__all__ = ["WorkerHealth"]

# A single failure may be the job's own fault; a second job's is not.
SUSPECT_JOBS = 1
BAD_JOBS = 2
# A failure that is older says nothing any more, so the worker is tried again.
FORGET_S = 12.0
# Of the order of a long task, so that a good worker in use stays proven.
PROVEN_S = 20.0


@dataclass(slots=True)
class Failures:
    """The jobs that failed on a worker since it last completed anything."""

    jobs: dict[str, float] = field(default_factory=dict)

    def count(self, now_s: float) -> int:
        """Return how many jobs failed of late."""
        recent = [at for at in self.jobs.values() if now_s - at < FORGET_S]
        return len(recent)


class WorkerHealth:
    """What is known of the workers of a pool."""

    def __init__(self) -> None:
        self._failures: dict[str, Failures] = {}
        self._done_s: dict[str, float] = {}
        self.pace = WorkerPace()

    def note_done(self, worker: str, now_s: float) -> None:
        """Take in that a worker completed a task."""
        self._failures.pop(worker, None)
        self._done_s[worker] = now_s

    def note_failed(self, worker: str, job_id: str, now_s: float) -> None:
        """Take in that a task failed on a worker."""
        failures = self._failures.setdefault(worker, Failures())
        failures.jobs[job_id] = now_s

    def forget(self, worker: str) -> None:
        """Drop what is known of a worker that is gone."""
        self._failures.pop(worker, None)
        self._done_s.pop(worker, None)
        self.pace.forget(worker)

    def is_proven(self, worker: str, now_s: float) -> bool:
        """Tell whether a worker has completed something of late."""
        done_s = self._done_s.get(worker)
        return done_s is not None and now_s - done_s < PROVEN_S

    def is_suspect(self, worker: str, now_s: float) -> bool:
        """Tell whether others should be preferred to a worker."""
        return self._count(worker, now_s) >= SUSPECT_JOBS

    def is_bad(self, worker: str, now_s: float) -> bool:
        """Tell whether a worker should get no work at all."""
        return self._count(worker, now_s) >= BAD_JOBS

    def _count(self, worker: str, now_s: float) -> int:
        failures = self._failures.get(worker)
        return 0 if failures is None else failures.count(now_s)
