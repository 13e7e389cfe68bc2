"""HTTP interface for jobs: submit, show, list and cancel.

Jobs are rows of the platform's table. A job is accepted or marked as cancelled
once its row is written; the controller of the job's zone is then notified.
"""

import asyncio
from collections.abc import Callable
import time
from typing import Any
import uuid

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
import json5
import msgspec
from pydantic import Field
from returns.result import Failure

from hickorywing.decoding import decode_json
from hickorywing.decoding import DecodingError
from hickorywing.documents import check_model
from hickorywing.documents import Model
from hickorywing.filters import Caller
from hickorywing.filters import get_caller
from hickorywing.filters import Role
from hickorywing.metrics import Metrics
from hickorywing.policy.model import Adjacency
from hickorywing.policy.model import JobSpec
from hickorywing.table import Check
from hickorywing.table import commit_until_known
from hickorywing.table import Committed
from hickorywing.table import Conflict
from hickorywing.table import new_nonce
from hickorywing.table import Row
from hickorywing.table import Table
from hickorywing.table import TableUnavailable
from hickorywing.table import Transaction
from hickorywing.table import Unknown
from hickorywing.table import Write
from hickorywing.web import add_route
from hickorywing.web import answer_json
from hickorywing.web import answer_problem
from hickorywing.web import Problem
from hickorywing.zonejobs import customer_key
from hickorywing.zonejobs import inbox_key
from hickorywing.zonejobs import job_key
from hickorywing.zonejobs import JobRow

__all__ = ["JobApi", "JobRequest"]

COMMIT_TIMEOUT_S = 8.0
TABLE_RETRY_S = 5.0
MAX_CANCELS = 1000
CANCEL_BATCH = 25
MAX_TASKS = 64
MAX_CONFLICTS = 5


class JobRequest(Model):
    """The body of a request that submits a job.

    Cores, accelerators and memory are those of each task. ``run_s`` is the run
    time in seconds that the caller declares. ``actual_run_s``, if given, is
    sent to the workers instead.
    """

    id: str | None = Field(default=None, pattern=r"^[A-Za-z0-9_.-]{1,64}$")
    tasks: int = Field(default=1, ge=1, le=MAX_TASKS)
    accelerators: int = Field(default=0, ge=0, le=16)
    cores: float = Field(default=1.0, gt=0, le=4096)
    memory_gb: float = Field(default=1.0, gt=0, le=65536)
    adjacency: Adjacency = Adjacency.ZONE
    run_s: float = Field(default=60.0, gt=0, le=30 * 86400)
    actual_run_s: float | None = Field(default=None, gt=0)
    urgent: bool = False

    def to_spec(self, job_id: str, customer: str) -> JobSpec:
        """Return the job in the form that the scheduler uses."""
        return JobSpec(
            job_id,
            customer,
            self.tasks,
            self.accelerators,
            self.cores,
            self.memory_gb,
            self.adjacency,
            self.run_s,
            self.urgent,
        )


class CancelRequest(Model):
    """The jobs to cancel; no ids stand for all jobs of the caller."""

    ids: tuple[str, ...] = Field(default=(), max_length=MAX_CANCELS)


class JobView(msgspec.Struct, omit_defaults=True):
    """A job as it is shown to callers.

    ``kept_s`` counts the seconds of work that are saved and survive a restart.
    """

    id: str
    status: str
    zone: str
    attempt: int
    tasks: int
    accelerators: int
    cancel_requested: bool = False
    guaranteed: bool = False
    workers: list[str] = []
    reason: str = ""
    kept_s: float = 0.0


class CancelAnswer(msgspec.Struct):
    """The ids of the jobs that were and were not marked as cancelled."""

    cancelled: list[str]
    ended_already: list[str]
    not_written: list[str]


def view_job(row: JobRow) -> JobView:
    """Return the part of a row that is shown to callers."""
    return JobView(
        row.job_id,
        row.status,
        row.home,
        row.attempt,
        row.tasks,
        row.accelerators,
        row.cancel_requested,
        row.guaranteed,
        sorted({task.worker_id for task in row.placement}),
        row.reason,
        row.kept_s,
    )


class JobApi:
    """Handles HTTP requests about jobs.

    ``check_job`` returns why a job can't run in any zone, ``choose_zone`` the
    zone for a job, and ``notify`` tells the controller of a zone that a job's
    row has changed.
    """

    def __init__(
        self,
        table: Table,
        metrics: Metrics,
        check_job: Callable[[JobSpec], str | None],
        choose_zone: Callable[[JobSpec], str | None],
        notify: Callable[[str, str], None],
    ) -> None:
        self.table = table
        self.metrics = metrics
        self.check_job = check_job
        self.choose_zone = choose_zone
        self.notify = notify

    def add_routes(self, app: Application) -> None:
        """Add the routes to an application."""
        add_route(app, "POST", "/v1/jobs", self.submit)
        add_route(app, "GET", "/v1/jobs", self.list_jobs)
        add_route(app, "GET", "/v1/jobs/{job_id}", self.show)
        add_route(app, "POST", "/v1/jobs/{job_id}/cancel", self.cancel_one)
        add_route(app, "POST", "/v1/cancellations", self.cancel_many)

    async def submit(self, request: Request) -> Response:
        """Accept a job, or refuse it with all findings."""
        caller = get_caller(request)
        if caller.role is not Role.CUSTOMER:
            return answer_forbidden("only customers submit jobs")
        checked = check_model(await read_json(request), JobRequest, "job")
        if isinstance(checked, Failure):
            return answer_findings(checked.failure())
        job_request = checked.unwrap()
        job_id = f"{caller.name}.{job_request.id or uuid.uuid4().hex[:12]}"
        spec = job_request.to_spec(job_id, caller.name)
        reason = self.check_job(spec)
        if reason is not None:
            self.metrics.count("jobs_refused")
            return answer_problem(
                Problem("the job can never run", 422, reason)
            )
        zone = self.choose_zone(spec)
        if zone is None:
            return answer_problem(
                Problem(
                    "no zone is in service", 503, retry_after_s=TABLE_RETRY_S
                )
            )
        return await self._commit(job_request, spec, zone)

    async def _commit(
        self, job_request: JobRequest, spec: JobSpec, zone: str
    ) -> Response:
        now = time.time()
        row = JobRow(
            spec.job_id,
            spec.customer,
            spec.tasks,
            spec.accelerators,
            spec.cores,
            spec.memory_gb,
            spec.adjacency,
            spec.declared_run_s,
            spec.urgent,
            zone,
            submitted_at=now,
            changed_at=now,
            run_s=job_request.actual_run_s,
        )
        transaction = Transaction(
            [Check(job_key(spec.job_id), 0)], row.submit_writes(), new_nonce()
        )
        answer = await commit_until_known(
            self.table, transaction, COMMIT_TIMEOUT_S
        )
        if isinstance(answer, Committed):
            self.metrics.count("jobs_accepted")
            self.notify(zone, spec.job_id)
            return answer_json(201, view_job(row))
        if isinstance(answer, Conflict):
            return self._answer_existing(answer.rows[0], spec)
        if isinstance(answer, Unknown):
            return await self._answer_unknown_commit(spec)
        return answer_problem(table_problem())

    async def _answer_unknown_commit(self, spec: JobSpec) -> Response:
        """Answer for a job whose commit has an unknown outcome.

        The zone's controller may have written the row since, so the nonce of
        the row can't tell. The job was accepted if the row holds the same job
        under the same id.
        """
        try:
            row = await self.table.read(job_key(spec.job_id))
        except TableUnavailable:
            return answer_problem(unknown_problem(spec.job_id))
        if row.value is None:
            return answer_problem(unknown_problem(spec.job_id))
        known = JobRow.from_value(row.value)
        if known.to_spec() != spec:
            return self._answer_existing(row, spec)
        self.metrics.count("jobs_accepted")
        self.notify(known.home, spec.job_id)
        return answer_json(201, view_job(known))

    def _answer_existing(self, row: Row, spec: JobSpec) -> Response:
        known = JobRow.from_value(row.value)
        if known.to_spec() != spec:
            return answer_problem(
                Problem("another job has this id", 409, spec.job_id)
            )
        return answer_json(200, view_job(known))

    async def show(self, request: Request, job_id: str) -> Response:
        """Answer with one job."""
        caller = get_caller(request)
        try:
            row = await self.table.read(job_key(job_id))
        except TableUnavailable:
            return answer_problem(table_problem())
        if row.value is None or not may_see(caller, row):
            return answer_problem(Problem("no such job", 404, job_id))
        return answer_json(200, view_job(JobRow.from_value(row.value)))

    async def list_jobs(self, request: Request) -> Response:
        """Answer with the caller's jobs, for operators with all jobs."""
        caller = get_caller(request)
        prefix = (
            "own/"
            if caller.role is Role.OPERATOR
            else (customer_key(caller.name, ""))
        )
        try:
            owned = await self.table.scan(prefix)
            keys = [job_key(row.key.rsplit("/", 1)[1]) for row in owned]
            rows = []
            for start in range(0, len(keys), 200):
                rows += await self.table.read_many(keys[start : start + 200])
        except TableUnavailable:
            return answer_problem(table_problem())
        views = [
            view_job(JobRow.from_value(row.value))
            for row in rows
            if row.value is not None
        ]
        return answer_json(200, views)

    async def cancel_one(self, request: Request, job_id: str) -> Response:
        """Cancel one job."""
        return await self._cancel(get_caller(request), [job_id])

    async def cancel_many(self, request: Request) -> Response:
        """Cancel the named jobs, or all of the caller's if none is named."""
        caller = get_caller(request)
        checked = check_model(
            await read_json(request), CancelRequest, "cancellation"
        )
        if isinstance(checked, Failure):
            return answer_findings(checked.failure())
        ids = list(checked.unwrap().ids)
        if not ids:
            if caller.role is not Role.CUSTOMER:
                return answer_forbidden("name the jobs to cancel")
            try:
                owned = await self.table.scan(customer_key(caller.name, ""))
            except TableUnavailable:
                return answer_problem(table_problem())
            ids = [row.key.rsplit("/", 1)[1] for row in owned]
        return await self._cancel(caller, ids)

    async def _cancel(self, caller: Caller, ids: list[str]) -> Response:
        """Mark jobs as cancelled, ``CANCEL_BATCH`` rows in one transaction."""
        result = CancelAnswer([], [], [])
        batches = [
            ids[start : start + CANCEL_BATCH]
            for start in range(0, len(ids), CANCEL_BATCH)
        ]
        for batch in batches:
            await self._cancel_batch(caller, batch, result)
        self.metrics.add("jobs_cancel_requested", len(result.cancelled))
        if len(ids) == 1 and not result.cancelled:
            if not result.ended_already and not result.not_written:
                return answer_problem(Problem("no such job", 404, ids[0]))
        status = 503 if result.not_written else 200
        return answer_json(status, result)

    async def _cancel_batch(
        self, caller: Caller, batch: list[str], result: CancelAnswer
    ) -> None:
        remaining = list(batch)
        for _ in range(MAX_CONFLICTS):
            try:
                rows = await self.table.read_many(
                    [job_key(job_id) for job_id in remaining]
                )
            except TableUnavailable:
                break
            unfinished = []
            for row in rows:
                if row.value is None or not may_see(caller, row):
                    continue
                job = JobRow.from_value(row.value)
                if job.status.is_terminal:
                    result.ended_already.append(job.job_id)
                else:
                    unfinished.append((row, job))
            if not unfinished:
                return
            answer = await self._commit_cancels(unfinished)
            remaining = [job.job_id for _, job in unfinished]
            if isinstance(answer, Committed):
                result.cancelled.extend(remaining)
                for _, job in unfinished:
                    self.notify(job.home, job.job_id)
                return
            if not isinstance(answer, Conflict | Unknown):
                break
            await asyncio.sleep(0.05)
        result.not_written.extend(remaining)

    async def _commit_cancels(
        self, unfinished: list[tuple[Row, JobRow]]
    ) -> Any:
        checks = [Check(row.key, row.version) for row, _ in unfinished]
        writes = []
        for _, job in unfinished:
            writes.append(job.change(cancel_requested=True).to_write())
            writes.append(Write(inbox_key(job.home, job.job_id), {}))
        transaction = Transaction(checks, writes, new_nonce())
        return await commit_until_known(
            self.table, transaction, COMMIT_TIMEOUT_S
        )


def may_see(caller: Caller, row: Row) -> bool:
    """Return whether a caller may see and cancel the job of a row."""
    if caller.role is Role.OPERATOR:
        return True
    return row.value["customer"] == caller.name


def table_problem() -> Problem:
    """Return the refusal for a time when the table doesn't answer."""
    return Problem(
        "the table is not serving", 503, retry_after_s=TABLE_RETRY_S
    )


def unknown_problem(job_id: str) -> Problem:
    """Return the problem for a job that may or may not have been accepted."""
    return Problem(
        "outcome unknown",
        504,
        f"look up {job_id}",
        "unknown",
        TABLE_RETRY_S,
    )


def answer_forbidden(detail: str) -> Response:
    """Return the refusal for a caller whose role doesn't allow the request."""
    return answer_problem(Problem("not allowed", 403, detail))


def answer_findings(findings: tuple[object, ...]) -> Response:
    """Return a refusal with all findings of a document."""
    return answer_problem(
        Problem(
            "the document has findings",
            422,
            findings=[str(item) for item in findings],
        )
    )


async def read_json(request: Request) -> Any:
    """Return the body as data, ``None`` if it is neither JSON nor JSON5.

    An empty body is an empty object.
    """
    body = await request.read() or b"{}"
    try:
        return decode_json(body)
    except DecodingError:
        pass
    try:
        return json5.loads(body.decode())
    except (ValueError, RecursionError):
        return None
