"""Serve the requests of callers in the platform's format.

The host and path of a request select the queue, the ``x-credential`` header
the customer, and the rest of the path is the job's id. A POST submits a job,
a GET returns its status (or, without a job id, the number of waiting jobs of
the queue), and a DELETE cancels it. ``WireJob`` and ``WireStep`` become
``PoolJob`` and ``Step``; times in milliseconds become seconds.
"""

from dataclasses import dataclass
import re
from typing import Annotated

from blacksheep import Application
from blacksheep import Content
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.decoding import Count
from hickorywing.decoding import decode_json
from hickorywing.decoding import DecodingError
from hickorywing.decoding import Number
from hickorywing.filterchain import Filter
from hickorywing.filterchain import install_filters
from hickorywing.filterchain import Proceed
from hickorywing.jobservice import Answer
from hickorywing.jobservice import JobService
from hickorywing.jobservice import Outcome
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.policy.jobaccess import Caller
from hickorywing.policy.jobchecks import check_job
from hickorywing.policy.jobchecks import check_size
from hickorywing.policy.jobchecks import JobInvalid
from hickorywing.policy.jobchecks import MAX_TASKS
from hickorywing.policy.poolmodel import Customer
from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.poolconfig import ConfigurationView
from hickorywing.poolconfig import Queue
from hickorywing.web import add_any_path
from hickorywing.web import find_header
from hickorywing.web import make_app
from hickorywing.webexchange import reserve_memory

__all__ = ["CallerApi", "CallerLimits"]

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")
API_KEY_HEADER = b"x-credential"
DEADLINE_HEADER = b"x-deadline-ms"
# Part of the caller's time limit that is reserved for sending the answer.
ANSWER_SLACK_S = 0.25
# How long a request waits for the first read of the configuration, which takes
# about 20 ms after a start. With a longer wait, callers that are refused would
# turn to another entry too late.
FIRST_READ_WAIT_S = 0.06
MAX_LOGGED_CHARS = 200
# A step in memory; in a body it may have three bytes.
STEP_BYTES = 1024
QUEUE_SCOPE = "hickorywing.queue"
CUSTOMER_SCOPE = "hickorywing.customer"
STATUSES = {
    Outcome.DONE: 200,
    Outcome.UNKNOWN_JOB: 410,
    Outcome.OTHER_JOB: 409,
    Outcome.TOO_LARGE: 413,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
}


class WireStep(msgspec.Struct, rename="kebab"):
    """A step of a submitted job; absent fields are 0, false or empty.

    ``cpu`` is in thousandths of a core and ``gpu`` counts accelerators.
    ``after`` lists the steps that must be done before, ``requires`` is a label
    that the worker must have, ``affinity`` the rack of the step's data, and
    ``anti_affinity`` the maximum number of tasks on one worker. ``fills``
    marks a step that uses cores which other tasks leave unused. ``may_miss``
    is the maximum number of tasks of a long-running step that the system
    itself may keep from running at a time.
    """

    count: Count = 1
    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0
    estimate_ms: Number = 0
    after: list[Count] = []
    checkpoint: bool = False
    gang: bool = False
    rack_local: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: Count = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Number = 0
    fills: bool = False
    may_miss: Count | None = None

    def decode(self) -> Step:
        """Convert to a ``Step``."""
        return Step(
            count=self.count,
            resources=Resources(self.cpu, self.mem_mb, self.gpu),
            estimate_s=self.estimate_ms / 1000,
            after=tuple(self.after),
            checkpoints=self.checkpoint,
            gang=self.gang,
            one_rack=self.rack_local,
            required_label=self.requires,
            data_rack=self.affinity,
            spread_limit=self.anti_affinity,
            speculative=self.speculative,
            lasting=self.long_running,
            image=self.image,
            latency_target_s=self.target_ms / 1000,
            filler=self.fills,
            may_miss=self.may_miss,
        )


class WireJob(msgspec.Struct, rename="kebab"):
    """A submitted job; ``spec`` is the payload that its tasks receive.

    Each step has at least one task, so there are at most as many steps as a
    job may have tasks. If ``times`` is greater than 0, the job runs that many
    times: first at ``first_ms``, in Unix milliseconds, then every
    ``interval_ms``.
    """

    steps: Annotated[list[WireStep], msgspec.Meta(max_length=MAX_TASKS)]
    spec: str = ""
    times: Count = 0
    first_ms: Number = 0
    interval_ms: Number = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """The maximum age of the configuration, in seconds."""

    key_age_limit_s: float


class ConfigurationAgeFilter(Filter):
    """Refuses requests while the known configuration is too old.

    A revoked API key must stop working within a bounded time, also at an
    entry that can't read the configuration any more.
    """

    def __init__(
        self, view: ConfigurationView, limits: CallerLimits, log: DecisionLog
    ) -> None:
        self._view = view
        self._limits = limits
        self._log = log

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Answer 503 if the configuration is too old or not known yet."""
        if self._view.confirmed_s is None:
            await self._view.wait_confirmed(FIRST_READ_WAIT_S)
        age_s = self._view.age_s(now_s())
        if self._view.configuration is None or (
            age_s > self._limits.key_age_limit_s
        ):
            known = self._view.confirmed_s is not None
            self._log.write(
                LogEvent.REFUSED,
                job=guess_job_id(request),
                reason="configuration too old",
                age_s=round(age_s, 3) if known else None,
            )
            return make_retry_response(503, 1)
        return await proceed(request)


class QueueFilter(Filter):
    """Finds the queue of a request by its host and path."""

    def __init__(self, view: ConfigurationView, log: DecisionLog) -> None:
        self._view = view
        self._log = log

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Set the request's queue; answer 404 if there is none."""
        host = (find_header(request.headers, b"host") or "").lower()
        host = host.partition(":")[0]
        path = request.url.path.decode("latin-1")
        queue = self._view.find_queue(host, path)
        if queue is None:
            self._log.write(
                LogEvent.REFUSED,
                job=guess_job_id(request),
                reason="no such queue",
                host=host[:MAX_LOGGED_CHARS],
                path=path[:MAX_LOGGED_CHARS],
                config=self._view.configuration.version,
            )
            return Response(404)
        request.scope[QUEUE_SCOPE] = queue
        return await proceed(request)


class KeyFilter(Filter):
    """Finds the customer of a request by its API key."""

    def __init__(self, view: ConfigurationView, log: DecisionLog) -> None:
        self._view = view
        self._log = log

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Set the request's customer; answer 401 if the key is unknown.

        Public queues accept requests without a known key.
        """
        key = find_header(request.headers, API_KEY_HEADER) or ""
        customer = self._view.find_customer(key)
        if customer is None and not request.scope[QUEUE_SCOPE].public:
            self._log.write(
                LogEvent.REFUSED,
                job=guess_job_id(request),
                reason="unknown key",
                config=self._view.configuration.version,
                age_s=round(self._view.age_s(now_s()), 3),
            )
            return Response(401)
        request.scope[CUSTOMER_SCOPE] = customer
        return await proceed(request)


class CallerApi:
    """Handles submissions, status queries and cancellations of callers."""

    def __init__(
        self,
        job_service: JobService,
        view: ConfigurationView,
        limits: CallerLimits,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._job_service = job_service
        self._view = view
        self._limits = limits
        self._log = log
        self._metrics = metrics

    def make_app(self) -> Application:
        """Return the web application that serves callers."""
        app = make_app()
        install_filters(
            app,
            [
                ConfigurationAgeFilter(self._view, self._limits, self._log),
                QueueFilter(self._view, self._log),
                KeyFilter(self._view, self._log),
            ],
        )
        add_any_path(app, "POST", self.handle_submit)
        add_any_path(app, "GET", self.handle_status)
        add_any_path(app, "DELETE", self.handle_cancel)
        return app

    async def handle_submit(self, request: Request) -> Response:
        """Submit a job; answer 400 if it is invalid, 413 if too large."""
        queue: Queue = request.scope[QUEUE_SCOPE]
        job_id = find_job_id(request, queue)
        if job_id is None:
            return Response(404)
        limit = self._view.configuration.limits.body_bytes
        body = await request.read() or b""
        if len(body) > limit:
            self._log.write(
                LogEvent.REFUSED,
                job=job_id,
                reason="body too large",
                bytes=len(body),
                limit=limit,
            )
            return Response(413)
        customer: Customer | None = request.scope[CUSTOMER_SCOPE]
        try:
            job = decode_job(job_id, queue, customer, body)
        except DecodingError as error:
            self._log.write(
                LogEvent.REFUSED,
                job=job_id,
                reason="unreadable",
                error=str(error),
            )
            return Response(400)
        if not reserve_memory(request.scope, STEP_BYTES * len(job.steps)):
            self._log.write(
                LogEvent.REFUSED, job=job_id, reason="too many bytes pending"
            )
            return make_retry_response(503, 1)
        timeout_s = read_timeout_s(request, queue)
        return make_response(
            await self._job_service.submit(
                job, timeout_s, read_caller(request)
            )
        )

    async def handle_status(self, request: Request) -> Response:
        """Return a job's status, or the number of waiting jobs of a queue."""
        queue: Queue = request.scope[QUEUE_SCOPE]
        pool = queue.terms.pool
        job_id = find_job_id(request, queue)
        if job_id is not None:
            return make_response(
                await self._job_service.find_status(
                    pool, job_id, read_caller(request)
                )
            )
        if request.url.path.decode("latin-1") != queue.prefix:
            return Response(404)
        return make_response(
            await self._job_service.count_waiting(pool, queue.terms.queue)
        )

    async def handle_cancel(self, request: Request) -> Response:
        """Cancel a job; answer 404 if the path has no job id."""
        queue: Queue = request.scope[QUEUE_SCOPE]
        job_id = find_job_id(request, queue)
        if job_id is None:
            return Response(404)
        timeout_s = read_timeout_s(request, queue)
        return make_response(
            await self._job_service.cancel(
                queue.terms.pool, job_id, timeout_s, read_caller(request)
            )
        )


def read_caller(request: Request) -> Caller:
    """Return who sends a request that has passed the filters."""
    queue: Queue = request.scope[QUEUE_SCOPE]
    customer: Customer | None = request.scope[CUSTOMER_SCOPE]
    name = "" if customer is None else customer.name
    return Caller(name, queue.terms.queue, queue.public)


def find_job_id(request: Request, queue: Queue) -> str | None:
    """Return the job id that follows the queue's prefix in the path."""
    path = request.url.path.decode("latin-1")
    match = JOB_ID_PATTERN.fullmatch(path.removeprefix(queue.prefix))
    return None if match is None else match.group()


def guess_job_id(request: Request) -> str:
    """Return the last part of the path if it looks like a job id.

    It is logged when a request is refused before its queue is known, so that
    the refusal can be found by the job id.
    """
    last = request.url.path.decode("latin-1").rpartition("/")[2]
    return last if JOB_ID_PATTERN.fullmatch(last) else ""


def read_timeout_s(request: Request, queue: Queue) -> float:
    """Return how many seconds may be spent on a request.

    This is the smaller of the queue's and the caller's time limits, less the
    time for sending the answer, and at least 0.1 s.
    """
    header = find_header(request.headers, DEADLINE_HEADER) or ""
    limit_s = queue.timeout_s
    if DEADLINE_PATTERN.fullmatch(header):
        limit_s = min(limit_s, int(header) / 1000)
    return max(0.1, limit_s - ANSWER_SLACK_S)


def decode_job(
    job_id: str, queue: Queue, customer: Customer | None, body: bytes
) -> PoolJob:
    """Decode a submitted job.

    Raises ``DecodingError`` if the body is unreadable or the job is invalid.
    """
    wire = decode_json(body, WireJob)
    job = PoolJob(
        job_id=job_id,
        customer="" if customer is None else customer.name,
        payload=wire.spec,
        steps=tuple(step.decode() for step in wire.steps),
        terms=queue.terms,
        occurrences=wire.times,
        first_due_s=wire.first_ms / 1000,
        interval_s=wire.interval_ms / 1000,
    )
    try:
        check_job(job)
        check_size(job)
    except JobInvalid as error:
        raise DecodingError(str(error)) from error
    return job


def make_response(answer: Answer) -> Response:
    """Convert an answer to an HTTP response."""
    status = STATUSES[answer.outcome]
    if answer.retry_after_s is not None:
        return make_retry_response(status, answer.retry_after_s)
    body = {}
    if answer.status is not None:
        body["state"] = answer.status.value
    if answer.waiting is not None:
        body["waiting"] = answer.waiting
    content = Content(b"application/json", msgspec.json.encode(body))
    return Response(status, None, content)


def make_retry_response(status: int, seconds: float) -> Response:
    """Return a refusal with a ``Retry-After`` header, at least 1 s."""
    response = Response(status)
    response.add_header(b"Retry-After", str(max(1, round(seconds))).encode())
    return response
