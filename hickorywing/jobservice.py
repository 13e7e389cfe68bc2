"""Accept and cancel jobs and report their status at an entry.

A job is accepted by one conditional transaction, which also records the pool
that accepts it: a copy of the submission may reach an entry whose version of
the configuration sends the queue to another pool. If the answer to the
transaction is lost, the job may still be accepted later, so the outcome is
unknown and never a refusal.
"""

from collections import OrderedDict
from dataclasses import dataclass
import enum

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.joblocator import JobLocator
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.policy.jobaccess import Caller
from hickorywing.policy.jobaccess import JobOwner
from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolruns import FINAL_STATUSES
from hickorywing.policy.poolruns import JobStatus
from hickorywing.poolrows import cancel_key
from hickorywing.poolrows import encode_job
from hickorywing.poolrows import encode_job_pool
from hickorywing.poolrows import job_key
from hickorywing.poolrows import job_pool_key
from hickorywing.poolrows import REQUESTS
from hickorywing.rows import Commit
from hickorywing.rows import commit_with_retries
from hickorywing.rows import Committed
from hickorywing.rows import Mismatch
from hickorywing.rows import Refused
from hickorywing.rows import Rejected
from hickorywing.rows import RowExpectation
from hickorywing.rows import RowStore
from hickorywing.rows import RowTransaction
from hickorywing.rows import RowWrite
from hickorywing.rows import StoreUnavailable
from hickorywing.rows import Unknown
from hickorywing.statuscache import StatusCache

__all__ = ["Answer", "JobService", "Outcome"]

# Most outages of the store last a few seconds; earlier retries only add load.
RETRY_AFTER_S = 1.0
# A submission without an answer from the store is reported as unknown after
# this time, while the caller can still retry at another entry that may reach
# the store.
MAX_SUBMIT_S = 0.8
# A transaction may have 100 entries; an installation has a few pools.
MAX_OTHER_POOLS = 90
# One without a record of the job's pool, one that replaces an outdated record.
MAX_RECORD_TRIES = 2
# Jobs whose final status has been shown to a caller, about 100 bytes each.
MAX_SHOWN_JOBS = 10_000


class Outcome(enum.StrEnum):
    """Result of a caller's request."""

    DONE = "done"
    UNKNOWN_JOB = "unknown job"
    OTHER_JOB = "other job"
    TOO_LARGE = "too large"
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
        locator: JobLocator,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._cache = cache
        self._locator = locator
        self._log = log
        self._metrics = metrics
        self._shown_jobs: OrderedDict[str, None] = OrderedDict()

    async def submit(
        self, job: PoolJob, timeout_s: float, caller: Caller | None = None
    ) -> Answer:
        """Accept a job, or report that it was not or may not be accepted.

        ``timeout_s`` is the caller's time limit in seconds. ``caller`` is by
        default one with a key of the job's customer.
        """
        started_s = now_s()
        pool = job.terms.pool
        if not self._store.is_reachable():
            self._log.write(
                LogEvent.REFUSED, job=job.job_id, reason="store not reachable"
            )
            return make_answer(Outcome.NOT_RUN)
        size, limit = len(encode_job(job)), self._store.limits.row_bytes
        if size > limit:
            self._log.write(
                LogEvent.REFUSED,
                job=job.job_id,
                reason="job too large",
                bytes=size,
                limit=limit,
            )
            return make_answer(Outcome.TOO_LARGE)
        feed = self._cache.feed
        result = await self._accept(job, min(timeout_s, MAX_SUBMIT_S))
        outcome = classify_commit(result)
        if isinstance(result, Committed):
            self._cache.add_accepted(pool, job.job_id, feed)
            self._locator.add_owner(
                job.job_id, JobOwner(job.customer, job.terms.queue)
            )
        elif isinstance(result, Mismatch):
            caller = caller or Caller(job.customer, job.terms.queue)
            outcome = await self._compare_owner(job, caller)
        took_s = now_s() - started_s
        self._metrics.observe("accept_seconds", took_s, outcome=outcome)
        self._log.write(
            LogEvent.JOB_SUBMITTED,
            job=job.job_id,
            queue=job.terms.queue,
            pool=self._locator.find_known(job.job_id) or "",
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

    async def _compare_owner(self, job: PoolJob, caller: Caller) -> Outcome:
        """Return the outcome for a job whose id was accepted before."""
        try:
            owner = await self._locator.find_owner(job.terms.pool, job.job_id)
        except StoreUnavailable:
            return Outcome.UNKNOWN
        if owner is None or caller.may_know(owner):
            return Outcome.DONE
        return Outcome.OTHER_JOB

    async def _accept(self, job: PoolJob, timeout_s: float) -> Commit:
        """Write the rows of a job unless it was accepted before.

        The result is a ``Mismatch`` only if the job was accepted before.
        """
        try:
            others = await self._locator.find_others(job.terms.pool)
        except StoreUnavailable:
            return Refused()
        record_version = 0
        for _ in range(MAX_RECORD_TRIES):
            transaction = make_acceptance(job, others, record_version)
            result = await commit_with_retries(
                self._store, transaction, timeout_s
            )
            if not isinstance(result, Mismatch):
                return result
            try:
                if await self._was_accepted(job.job_id, result):
                    return result
            except StoreUnavailable:
                return Unknown()
            record = result.find(job_pool_key(job.job_id))
            if record is None:
                return Refused()
            # The rows of the job that it belongs to were deleted.
            record_version = record.version
        return Refused()

    async def _was_accepted(self, job_id: str, mismatch: Mismatch) -> bool:
        """Return whether a mismatch shows that a job was accepted before.

        Raises ``StoreUnavailable``.
        """
        for row in mismatch.rows:
            if row.key.table == REQUESTS and row.value is not None:
                self._locator.add(job_id, row.key.part)
                self._locator.add_owner_of(job_id, row)
                return True
        record = mismatch.find(job_pool_key(job_id))
        pool = None if record is None else self._locator.decode(record)
        return pool is not None and await self._locator.holds(pool, job_id)

    async def cancel(
        self,
        pool: str,
        job_id: str,
        timeout_s: float,
        caller: Caller,
    ) -> Answer:
        """Cancel a job of a caller.

        ``pool`` is the present pool of the job's queue. The row is written
        even if no such job is known: a submission whose answer was lost may
        still be accepted, and is then cancelled.
        """
        deadline_s = now_s() + timeout_s
        try:
            owner = await self._locator.find_owner(pool, job_id)
        except StoreUnavailable as error:
            self._log_unread(job_id, error)
            return make_answer(Outcome.NOT_RUN)
        if owner is not None and not caller.may_know(owner):
            self._log.write(LogEvent.NO_SUCH_JOB, job=job_id, hidden=True)
            return Answer(Outcome.UNKNOWN_JOB)
        asked = self._locator.find_known(job_id) or pool
        outcome = await self._write_cancel(asked, job_id, deadline_s)
        if outcome is Outcome.DONE:
            try:
                outcome = await self._cancel_located(asked, job_id, deadline_s)
            except StoreUnavailable:
                outcome = Outcome.UNKNOWN
        self._log.write(LogEvent.CANCEL_ASKED, job=job_id, outcome=outcome)
        return make_answer(outcome)

    async def _cancel_located(
        self, asked: str, job_id: str, deadline_s: float
    ) -> Outcome:
        """Cancel a job also in the pool that accepted it, if it is another.

        If no pool did, each known one may still accept a submission that is
        under way. Raises ``StoreUnavailable``.
        """
        located = await self._locator.locate(asked, job_id)
        if located == asked:
            return Outcome.DONE
        if located is not None:
            return await self._write_cancel(located, job_id, deadline_s)
        for other in await self._locator.find_others(asked):
            await self._write_cancel(other, job_id, deadline_s)
        return Outcome.UNKNOWN_JOB

    async def _write_cancel(
        self, pool: str, job_id: str, deadline_s: float
    ) -> Outcome:
        """Write the row that cancels a job in a pool."""
        key = cancel_key(pool, job_id)
        transaction = RowTransaction(
            (RowExpectation(key, 0),), (RowWrite(key, b""),)
        )
        result = await commit_with_retries(
            self._store, transaction, deadline_s - now_s()
        )
        return classify_commit(result)

    async def find_status(
        self, pool: str, job_id: str, caller: Caller
    ) -> Answer:
        """Return a job's status, if the caller may know of the job."""
        try:
            owner = await self._locator.find_owner(pool, job_id)
            hidden = owner is not None and not caller.may_know(owner)
            status = None
            if owner is not None and not hidden:
                status = await self._cache.find(pool, job_id)
        except StoreUnavailable as error:
            self._log_unread(job_id, error)
            return make_answer(Outcome.NOT_RUN)
        if status is None:
            self._log.write(LogEvent.NO_SUCH_JOB, job=job_id, hidden=hidden)
            return Answer(Outcome.UNKNOWN_JOB)
        if status in FINAL_STATUSES:
            self._log_shown(job_id, status)
        return Answer(Outcome.DONE, status=status)

    def _log_unread(self, job_id: str, error: StoreUnavailable) -> None:
        self._log.write(
            LogEvent.STATUS_NOT_KNOWN, job=job_id, error=str(error)
        )

    def _log_shown(self, job_id: str, status: JobStatus) -> None:
        """Log that a caller saw a job's final status, once for each job."""
        if job_id in self._shown_jobs:
            return
        self._shown_jobs[job_id] = None
        if len(self._shown_jobs) > MAX_SHOWN_JOBS:
            self._shown_jobs.popitem(last=False)
        self._log.write(LogEvent.STATUS_SHOWN, job=job_id, status=status)

    async def count_waiting(self, pool: str, queue: str) -> Answer:
        """Return the number of a queue's jobs that have not started.

        Jobs that were accepted before the queue was sent to ``pool`` wait in
        other pools.
        """
        try:
            pools = await self._locator.find_others(pool) | {pool}
            counts = [
                await self._cache.count_waiting(name, queue) for name in pools
            ]
        except StoreUnavailable:
            return make_answer(Outcome.NOT_RUN)
        return Answer(Outcome.DONE, waiting=sum(counts))


def make_acceptance(
    job: PoolJob, others: frozenset[str], record_version: int
) -> RowTransaction:
    """Return the transaction that accepts a job.

    It fails if the job is in its own pool already, in one of ``others``, or in
    any pool by the record of its pool, which is expected to have
    ``record_version``. The other pools matter for jobs that an entry of an
    earlier build accepted without a record.
    """
    key = job_key(job.terms.pool, job.job_id)
    record_key = job_pool_key(job.job_id)
    absent = (
        job_key(pool, job.job_id) for pool in sorted(others)[:MAX_OTHER_POOLS]
    )
    return RowTransaction(
        (
            RowExpectation(key, 0),
            RowExpectation(record_key, record_version),
            *(RowExpectation(other, 0) for other in absent),
        ),
        (
            RowWrite(key, encode_job(job)),
            RowWrite(record_key, encode_job_pool(job.terms.pool)),
        ),
    )


def classify_commit(result: object) -> Outcome:
    """Return what the result of a conditional write means to the caller.

    A row that is there already comes from an earlier attempt of the same
    request.
    """
    if isinstance(result, Committed | Mismatch):
        return Outcome.DONE
    if isinstance(result, Refused):
        return Outcome.NOT_RUN
    if isinstance(result, Rejected):
        return Outcome.TOO_LARGE
    return Outcome.UNKNOWN


def make_answer(outcome: Outcome) -> Answer:
    """Return the answer to the caller for an outcome."""
    not_run = outcome is Outcome.NOT_RUN
    return Answer(outcome, retry_after_s=RETRY_AFTER_S if not_run else None)
