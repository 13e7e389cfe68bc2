"""Accept and cancel jobs and report their status at an entry.

A job is accepted by one conditional write of its row. If the answer to that
write is lost, the job may still be accepted later, so the outcome is unknown
and never a refusal.
"""

from collections import OrderedDict
from dataclasses import dataclass
import enum

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolruns import FINAL_STATUSES
from hickorywing.policy.poolruns import JobStatus
from hickorywing.poolrows import cancel_key
from hickorywing.poolrows import encode_job
from hickorywing.poolrows import job_key
from hickorywing.rows import commit_with_retries
from hickorywing.rows import Committed
from hickorywing.rows import Mismatch
from hickorywing.rows import Refused
from hickorywing.rows import RowExpectation
from hickorywing.rows import RowStore
from hickorywing.rows import RowTransaction
from hickorywing.rows import RowWrite
from hickorywing.rows import StoreUnavailable
from hickorywing.statuscache import StatusCache

__all__ = ["Answer", "JobService", "Outcome"]

# Most outages of the store last a few seconds; earlier retries only add load.
RETRY_AFTER_S = 1.0
# A submission without an answer from the store is reported as unknown after
# this time, while the caller can still retry at another entry that may reach
# the store.
MAX_SUBMIT_S = 0.8
# Jobs whose final status has been shown to a caller, about 100 bytes each.
MAX_SHOWN_JOBS = 10_000


class Outcome(enum.StrEnum):
    """Result of a caller's request."""

    DONE = "done"
    UNKNOWN_JOB = "unknown job"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a caller's request."""

    outcome: Outcome
    status: JobStatus | None = None
    waiting: int | None = None
    retry_after_s: float | None = None


class JobService:
    """Serves callers' requests about jobs at one entry."""

    def __init__(
        self,
        store: RowStore,
        cache: StatusCache,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._cache = cache
        self._log = log
        self._metrics = metrics
        self._shown_jobs: OrderedDict[str, None] = OrderedDict()

    async def submit(self, job: PoolJob, timeout_s: float) -> Answer:
        """Accept a job, or report that it was not or may not be accepted.

        ``timeout_s`` is the caller's time limit in seconds.
        """
        started_s = now_s()
        pool = job.terms.pool
        if not self._store.is_reachable():
            self._log.write(
                LogEvent.REFUSED, job=job.job_id, reason="store not reachable"
            )
            return make_answer(Outcome.NOT_RUN)
        key = job_key(pool, job.job_id)
        feed = self._cache.feed
        transaction = RowTransaction(
            (RowExpectation(key, 0),), (RowWrite(key, encode_job(job)),)
        )
        result = await commit_with_retries(
            self._store, transaction, min(timeout_s, MAX_SUBMIT_S)
        )
        if isinstance(result, Mismatch) and result.find(key) is None:
            result = Refused()
        outcome = classify_commit(result)
        if isinstance(result, Committed):
            self._cache.add_accepted(pool, job.job_id, feed)
        took_s = now_s() - started_s
        self._metrics.observe("accept_seconds", took_s, outcome=outcome)
        self._log.write(
            LogEvent.JOB_SUBMITTED,
            job=job.job_id,
            queue=job.terms.queue,
            customer=job.customer,
            priority=job.terms.priority,
            stretch=job.terms.stretch,
            latency_target_s=job.terms.latency_target_s,
            standing=job.has_no_objective(),
            store=type(result).__name__.lower(),
            outcome=outcome,
            took_s=round(took_s, 3),
        )
        return make_answer(outcome)

    async def cancel(self, pool: str, job_id: str, timeout_s: float) -> Answer:
        """Cancel a job.

        The row is written even if no such job is known: a submission whose
        answer was lost may still be accepted, and is then cancelled.
        """
        key = cancel_key(pool, job_id)
        transaction = RowTransaction(
            (RowExpectation(key, 0),), (RowWrite(key, b""),)
        )
        result = await commit_with_retries(self._store, transaction, timeout_s)
        outcome = classify_commit(result)
        if outcome is Outcome.DONE:
            try:
                if not await self._cache.exists(pool, job_id):
                    outcome = Outcome.UNKNOWN_JOB
            except StoreUnavailable:
                outcome = Outcome.UNKNOWN
        self._log.write(LogEvent.CANCEL_ASKED, job=job_id, outcome=outcome)
        return make_answer(outcome)

    async def find_status(self, pool: str, job_id: str) -> Answer:
        """Return a job's status."""
        try:
            status = await self._cache.find(pool, job_id)
        except StoreUnavailable as error:
            self._log.write(
                LogEvent.STATUS_NOT_KNOWN, job=job_id, error=str(error)
            )
            return make_answer(Outcome.NOT_RUN)
        if status is None:
            self._log.write(LogEvent.NO_SUCH_JOB, job=job_id)
            return Answer(Outcome.UNKNOWN_JOB)
        if status in FINAL_STATUSES:
            self._log_shown(job_id, status)
        return Answer(Outcome.DONE, status=status)

    def _log_shown(self, job_id: str, status: JobStatus) -> None:
        """Log that a caller saw a job's final status, once for each job."""
        if job_id in self._shown_jobs:
            return
        self._shown_jobs[job_id] = None
        if len(self._shown_jobs) > MAX_SHOWN_JOBS:
            self._shown_jobs.popitem(last=False)
        self._log.write(LogEvent.STATUS_SHOWN, job=job_id, status=status)

    async def count_waiting(self, pool: str, queue: str) -> Answer:
        """Return the number of a queue's jobs that have not started."""
        try:
            count = await self._cache.count_waiting(pool, queue)
        except StoreUnavailable:
            return make_answer(Outcome.NOT_RUN)
        return Answer(Outcome.DONE, waiting=count)


def classify_commit(result: object) -> Outcome:
    """Return what the result of a conditional write means to the caller.

    A row that is there already comes from an earlier attempt of the same
    request.
    """
    if isinstance(result, Committed | Mismatch):
        return Outcome.DONE
    if isinstance(result, Refused):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def make_answer(outcome: Outcome) -> Answer:
    """Return the answer to the caller for an outcome."""
    not_run = outcome is Outcome.NOT_RUN
    return Answer(outcome, retry_after_s=RETRY_AFTER_S if not_run else None)
