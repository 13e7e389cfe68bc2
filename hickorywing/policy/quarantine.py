"""Withhold workers that fail what other workers run.

A failure is held against a worker only once a different worker has finished a
task of the same job, or when several different jobs failed on it in a row. A
job that fails everywhere therefore quarantines nobody.
"""

from dataclasses import dataclass
from dataclasses import field

__all__ = ["Quarantine", "QuarantineEntry"]

DISTINCT_JOBS_TO_SUSPECT = 3
FIRST_BACKOFF_S = 60.0
MAX_BACKOFF_S = 3600.0
FAILED_JOB_MEMORY = 16


@dataclass(slots=True)
class QuarantineEntry:
    """What is known of one worker's failures."""

    failed_jobs: dict[str, None] = field(default_factory=dict)
    until: float | None = None
    backoff_s: float = FIRST_BACKOFF_S


class Quarantine:
    """Decide which workers get no new work for now."""

    def __init__(self) -> None:
        self._workers: dict[str, QuarantineEntry] = {}
        self._failed_on: dict[str, set[str]] = {}

    def record_failure(self, worker_id: str, job_id: str, now: float) -> bool:
        """Count a failed task; return whether this quarantines the worker."""
        failed_on = self._failed_on.setdefault(job_id, set())
        failed_on.add(worker_id)
        entry = self._workers.setdefault(worker_id, QuarantineEntry())
        if len(failed_on) > 1:
            self._forgive(job_id, failed_on)
            return False
        entry.failed_jobs[job_id] = None
        while len(entry.failed_jobs) > FAILED_JOB_MEMORY:
            entry.failed_jobs.pop(next(iter(entry.failed_jobs)))
        if entry.until is not None:
            return False
        if len(entry.failed_jobs) < DISTINCT_JOBS_TO_SUSPECT:
            return False
        entry.until = now + entry.backoff_s
        entry.backoff_s = min(entry.backoff_s * 2, MAX_BACKOFF_S)
        return True

    def _forgive(self, job_id: str, failed_on: set[str]) -> None:
        """Hold a job that fails on several workers against none of them."""
        for worker_id in failed_on:
            entry = self._workers.get(worker_id)
            if entry is not None:
                entry.failed_jobs.pop(job_id, None)

    def record_success(self, worker_id: str, job_id: str) -> None:
        """Clear a worker that has just finished a task."""
        self._failed_on.pop(job_id, None)
        entry = self._workers.get(worker_id)
        if entry is not None and entry.until is None:
            del self._workers[worker_id]

    def forget_job(self, job_id: str) -> None:
        """Drop what was kept of an ended job."""
        self._failed_on.pop(job_id, None)

    def release_due(self, now: float) -> list[str]:
        """Return the workers whose quarantine has run out, for a trial.

        One more suspect failure sends such a worker back for twice as long.
        """
        due = []
        for worker_id, entry in self._workers.items():
            if entry.until is not None and entry.until <= now:
                entry.until = None
                keep = list(entry.failed_jobs)
                entry.failed_jobs = dict.fromkeys(
                    keep[: DISTINCT_JOBS_TO_SUSPECT - 1]
                )
                due.append(worker_id)
        return due

    def is_quarantined(self, worker_id: str) -> bool:
        """Tell whether the worker is withheld at present."""
        entry = self._workers.get(worker_id)
        return entry is not None and entry.until is not None
