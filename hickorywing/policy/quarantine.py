"""Quarantine workers on which several different jobs fail.

A job counts against a worker only while it has failed on no other worker, and
a success clears the worker. A job that fails everywhere therefore quarantines
no worker.
"""

from dataclasses import dataclass
from dataclasses import field

__all__ = ["Quarantine", "QuarantineEntry"]

MIN_SUSPECT_JOBS = 3
FIRST_BACKOFF_S = 60.0
MAX_BACKOFF_S = 3600.0
MAX_FAILED_JOBS = 16


@dataclass(slots=True)
class QuarantineEntry:
    """The failures of one worker.

    ``until`` is the end of its quarantine in seconds, ``None`` while it is not
    quarantined, and ``backoff_s`` the length of its next quarantine.
    """

    failed_jobs: dict[str, None] = field(default_factory=dict)
    until: float | None = None
    backoff_s: float = FIRST_BACKOFF_S


class Quarantine:
    """The workers that get no new work at present, and those at risk."""

    def __init__(self) -> None:
        self._workers: dict[str, QuarantineEntry] = {}
        self._failed_on: dict[str, set[str]] = {}

    def record_failure(self, worker_id: str, job_id: str, now: float) -> bool:
        """Record a failed task; return whether it quarantines the worker."""
        failed_on = self._failed_on.setdefault(job_id, set())
        failed_on.add(worker_id)
        entry = self._workers.setdefault(worker_id, QuarantineEntry())
        if len(failed_on) > 1:
            self._clear_job(job_id, failed_on)
            return False
        entry.failed_jobs[job_id] = None
        while len(entry.failed_jobs) > MAX_FAILED_JOBS:
            entry.failed_jobs.pop(next(iter(entry.failed_jobs)))
        if entry.until is not None:
            return False
        if len(entry.failed_jobs) < MIN_SUSPECT_JOBS:
            return False
        entry.until = now + entry.backoff_s
        entry.backoff_s = min(entry.backoff_s * 2, MAX_BACKOFF_S)
        return True

    def _clear_job(self, job_id: str, failed_on: set[str]) -> None:
        """Stop counting a job that fails on several workers against them."""
        for worker_id in failed_on:
            entry = self._workers.get(worker_id)
            if entry is not None:
                entry.failed_jobs.pop(job_id, None)

    def record_success(self, worker_id: str, job_id: str) -> None:
        """Clear the failures of a worker that has completed a task.

        A quarantined worker keeps its failures and its quarantine.
        """
        self._failed_on.pop(job_id, None)
        entry = self._workers.get(worker_id)
        if entry is not None and entry.until is None:
            del self._workers[worker_id]

    def forget_job(self, job_id: str) -> None:
        """Drop the failures of an ended job."""
        self._failed_on.pop(job_id, None)

    def release_due(self, now: float) -> list[str]:
        """End the quarantines that are due and return their workers.

        Such a worker is on trial: one more job that fails on it quarantines it
        again, for twice as long.
        """
        due = []
        for worker_id, entry in self._workers.items():
            if entry.until is not None and entry.until <= now:
                entry.until = None
                kept_jobs = list(entry.failed_jobs)
                entry.failed_jobs = dict.fromkeys(
                    kept_jobs[: MIN_SUSPECT_JOBS - 1]
                )
                due.append(worker_id)
        return due

    def is_quarantined(self, worker_id: str) -> bool:
        """Return whether the worker is quarantined."""
        entry = self._workers.get(worker_id)
        return entry is not None and entry.until is not None
