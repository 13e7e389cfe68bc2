"""Take callers' requests in the platform's form and answer them."""

from dataclasses import dataclass
import re

from blacksheep import Application
from blacksheep import Content
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.filterchain import Filter
from hickorywing.filterchain import install_filters
from hickorywing.filterchain import Proceed
from hickorywing.jobdesk import Answer
from hickorywing.jobdesk import JobDesk
from hickorywing.jobdesk import Outcome
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.policy.poolmodel import Customer
from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.poolconfig import ConfigurationView
from hickorywing.poolconfig import Queue
from hickorywing.web import add_any_path
from hickorywing.web import find_header
from hickorywing.web import make_app

__all__ = ["CallerApi", "CallerTerms"]

JOB_ID = re.compile(r"[0-9a-f]{16}")
KEY_HEADER = b"x-credential"
TIME_LIMIT_HEADER = b"x-deadline-ms"
# What is left of the caller's time for the answer's way back.
ANSWER_SLACK_S = 0.25
# A process that has just started reads its configuration in some 20 ms. Longer
# waits would hold a refusal back, so that callers try elsewhere too late.
FIRST_READ_WAIT_S = 0.06
QUEUE_SCOPE = "hickorywing.queue"
CUSTOMER_SCOPE = "hickorywing.customer"
STATUSES = {
    Outcome.DONE: 200,
    Outcome.UNKNOWN_JOB: 410,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
}


class WireStep(msgspec.Struct, rename="kebab"):
    """A step; absent fields are 0, false or empty.

    ``cpu`` is in thousandths of a core. ``affinity`` is the rack of the data,
    ``anti_affinity`` the most tasks on one worker, ``fills`` marks a filler.
    """

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: list[int] = []
    checkpoint: bool = False
    gang: bool = False
    rack_local: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_miss: int | None = None

    def decode(self) -> Step:
        """Return the step in the product's form."""
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
    """A job; ``times`` greater than 0 makes that many occurrences."""

    steps: list[WireStep]
    spec: str = ""
    times: int = 0
    first_ms: float = 0
    interval_ms: float = 0


@dataclass(frozen=True, slots=True)
class CallerTerms:
    """Bounds on the age of the configuration, in seconds."""

    key_age_limit_s: float


class ConfigurationAgeFilter(Filter):
    """Refuses what would be decided on a configuration that is too old.

    A key that was taken away must stop working within its bound also at an
    entry that can't read the configuration.
    """

    def __init__(
        self, view: ConfigurationView, terms: CallerTerms, log: DecisionLog
    ) -> None:
        self._view = view
        self._terms = terms
        self._log = log

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Let the request proceed while the configuration is known."""
        if self._view.proved_s is None:
            await self._view.wait_first(FIRST_READ_WAIT_S)
        age_s = self._view.age_s(now_s())
        if self._view.configuration is None or (
            age_s > self._terms.key_age_limit_s
        ):
            known = self._view.proved_s is not None
            self._log.write(
                LogEvent.REFUSED,
                job=guess_job_id(request),
                reason="configuration too old",
                age_s=round(age_s, 3) if known else None,
            )
            return answer_retry(503, 1)
        return await proceed(request)


class QueueFilter(Filter):
    """Finds the queue that a request is for."""

    def __init__(self, view: ConfigurationView, log: DecisionLog) -> None:
        self._view = view
        self._log = log

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Refuse requests for which there is no queue."""
        host = (find_header(request.headers, b"host") or "").lower()
        host = host.partition(":")[0]
        path = request.url.path.decode("latin-1")
        queue = self._view.find_queue(host, path)
        if queue is None:
            self._log.write(
                LogEvent.REFUSED,
                job=guess_job_id(request),
                reason="no such queue",
                host=host,
                path=path,
                config=self._view.configuration.version,
            )
            return Response(404)
        request.scope[QUEUE_SCOPE] = queue
        return await proceed(request)


class KeyFilter(Filter):
    """Finds the customer by its key."""

    def __init__(self, view: ConfigurationView, log: DecisionLog) -> None:
        self._view = view
        self._log = log

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Refuse unknown keys, unless the queue is public."""
        key = find_header(request.headers, KEY_HEADER) or ""
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
    """The requests of callers."""

    def __init__(
        self,
        desk: JobDesk,
        view: ConfigurationView,
        terms: CallerTerms,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._desk = desk
        self._view = view
        self._terms = terms
        self._log = log
        self._metrics = metrics

    def make_app(self) -> Application:
        """Return the application for the callers' address."""
        app = make_app()
        install_filters(
            app,
            [
                ConfigurationAgeFilter(self._view, self._terms, self._log),
                QueueFilter(self._view, self._log),
                KeyFilter(self._view, self._log),
            ],
        )
        add_any_path(app, "POST", self.handle_submit)
        add_any_path(app, "GET", self.handle_status)
        add_any_path(app, "DELETE", self.handle_cancel)
        return app

    async def handle_submit(self, request: Request) -> Response:
        """Accept a job."""
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
            wire = msgspec.json.decode(body, type=WireJob)
            job = decode_job(job_id, queue, customer, wire)
        except (msgspec.DecodeError, ValueError) as error:
            self._log.write(
                LogEvent.REFUSED,
                job=job_id,
                reason="unreadable",
                error=str(error),
            )
            return Response(400)
        patience_s = read_patience_s(request, queue)
        return answer(await self._desk.submit(job, patience_s))

    async def handle_status(self, request: Request) -> Response:
        """Answer for a job's status, or for a queue's length."""
        queue: Queue = request.scope[QUEUE_SCOPE]
        pool = queue.terms.pool
        job_id = find_job_id(request, queue)
        if job_id is not None:
            return answer(await self._desk.find_status(pool, job_id))
        if request.url.path.decode("latin-1") != queue.prefix:
            return Response(404)
        return answer(await self._desk.count_waiting(pool, queue.terms.queue))

    async def handle_cancel(self, request: Request) -> Response:
        """Cancel a job."""
        queue: Queue = request.scope[QUEUE_SCOPE]
        job_id = find_job_id(request, queue)
        if job_id is None:
            return Response(404)
        patience_s = read_patience_s(request, queue)
        return answer(
            await self._desk.cancel(queue.terms.pool, job_id, patience_s)
        )


def find_job_id(request: Request, queue: Queue) -> str | None:
    """Return the job's id in a path, if the path has one."""
    path = request.url.path.decode("latin-1")
    found = JOB_ID.fullmatch(path.removeprefix(queue.prefix))
    return None if found is None else found.group()


def guess_job_id(request: Request) -> str:
    """Return the last part of a path if it looks like a job's id.

    Before its queue is known, a refused request is found by that id.
    """
    last = request.url.path.decode("latin-1").rpartition("/")[2]
    return last if JOB_ID.fullmatch(last) else ""


def read_patience_s(request: Request, queue: Queue) -> float:
    """Return how long the caller waits for an answer."""
    said = find_header(request.headers, TIME_LIMIT_HEADER) or ""
    limit_s = queue.timeout_s
    if said.isdecimal():
        limit_s = min(limit_s, int(said) / 1000)
    return max(0.1, limit_s - ANSWER_SLACK_S)


def decode_job(
    job_id: str, queue: Queue, customer: Customer | None, wire: WireJob
) -> PoolJob:
    """Return a job in the product's form; raise ``ValueError``."""
    steps = tuple(step.decode() for step in wire.steps)
    if not steps:
        raise ValueError("a job needs a step")
    for number, step in enumerate(steps):
        if step.count < 1:
            raise ValueError(f"step {number} has no tasks")
        if any(not 0 <= earlier < number for earlier in step.after):
            raise ValueError(f"step {number} comes after a later one")
    return PoolJob(
        job_id=job_id,
        customer="" if customer is None else customer.name,
        payload=wire.spec,
        steps=steps,
        terms=queue.terms,
        occurrences=wire.times,
        first_due_s=wire.first_ms / 1000,
        interval_s=wire.interval_ms / 1000,
    )


def answer(said: Answer) -> Response:
    """Return the response for an answer."""
    status = STATUSES[said.outcome]
    if said.retry_after_s is not None:
        return answer_retry(status, said.retry_after_s)
    body = {}
    if said.status is not None:
        body["state"] = said.status.value
    if said.waiting is not None:
        body["waiting"] = said.waiting
    content = Content(b"application/json", msgspec.json.encode(body))
    return Response(status, None, content)


def answer_retry(status: int, seconds: float) -> Response:
    """Return a refusal that says when to come back."""
    response = Response(status)
    response.add_header(b"Retry-After", str(max(1, round(seconds))).encode())
    return response
