"""Pass requests to the backend server beside this agent, at most once each.

A dispatch is one attempt of an entry to run a request here. It is admitted,
waits for one of the slots of the backend, and is sent to it once. A refusal
before that makes certain that the request was not run. After it, only a
complete answer of the backend counts as done; otherwise the result is unknown.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import enum
import functools
import math
from typing import Annotated

from blacksheep import Content
from blacksheep import Headers
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.httpclient import AnswerTooLarge
from hickorywing.httpclient import CallError
from hickorywing.httpclient import CallTimeout
from hickorywing.httpclient import ConnectError
from hickorywing.httpclient import HttpAnswer
from hickorywing.httpclient import HttpClient
from hickorywing.logs import get_logger
from hickorywing.metrics import Metrics
from hickorywing.policy.claims import Admission
from hickorywing.policy.claims import AdmissionLog
from hickorywing.policy.limits import WaitQueue
from hickorywing.web import answer_problem
from hickorywing.web import find_header
from hickorywing.web import Problem
from hickorywing.webexchange import reserve_memory

__all__ = [
    "DispatchHeader",
    "DispatchServer",
    "RevokeAnswer",
    "RevokeRequest",
    "RunState",
    "decode_headers",
    "encode_headers",
    "remove_hop_headers",
]

# Headers that are not passed on to the next hop.
HOP_HEADERS = frozenset(
    [
        b"connection",
        b"content-length",
        b"content-type",
        b"date",
        b"host",
        b"keep-alive",
        b"server",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"proxy-authorization",
        b"authorization",
    ]
)
HEADER_PREFIX = b"hw-"
BYTES_TYPE = "application/octet-stream"
# The ids of the last dispatches are remembered.
MAX_ID_CHARS = 200
# A dispatch that waits holds its request.
MAX_DEADLINE_S = 600.0
MAX_DIGITS = 20
# The codec of the HTTP client, with which all bytes pass unchanged.
HEADER_CODEC = ("utf-8", "surrogateescape")


class DispatchHeader:
    """Names of the headers between an entry and an agent."""

    DISPATCH = b"hw-dispatch"
    INCARNATION = b"hw-incarnation"
    METHOD = b"hw-method"
    PATH = b"hw-path"
    DEADLINE = b"hw-deadline-s"
    RUN = b"hw-run"
    VERSION = b"hw-config-version"
    REASON = b"hw-reason"
    WAIT = b"hw-wait-s"


class RunState(enum.StrEnum):
    """What an agent knows of the run of a dispatch."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class RevokeRequest(msgspec.Struct, frozen=True):
    """A request to an agent to refuse a dispatch for good."""

    dispatch_id: Annotated[str, msgspec.Meta(max_length=MAX_ID_CHARS)]
    incarnation: int


class RevokeAnswer(msgspec.Struct, frozen=True):
    """Answer to a revocation; ``run`` is the value of a ``RunState``.

    "not run" means that the dispatch has not run and will not.
    """

    run: str


@dataclass(frozen=True, slots=True)
class DispatchTerms:
    """What the headers of a dispatch say of it; times are in seconds."""

    dispatch_id: str
    incarnation: int
    deadline_s: float


def read_terms(headers: Headers) -> DispatchTerms | None:
    """Return what the headers say, ``None`` if they are malformed."""
    dispatch_id = find_header(headers, DispatchHeader.DISPATCH) or ""
    incarnation = find_header(headers, DispatchHeader.INCARNATION) or ""
    deadline = find_header(headers, DispatchHeader.DEADLINE) or ""
    if not 0 < len(dispatch_id) <= MAX_ID_CHARS:
        return None
    if max(len(incarnation), len(deadline)) > MAX_DIGITS:
        return None
    try:
        terms = DispatchTerms(dispatch_id, int(incarnation), float(deadline))
    except ValueError:
        return None
    if not math.isfinite(terms.deadline_s):
        return None
    return terms if terms.deadline_s <= MAX_DEADLINE_S else None


@dataclass(slots=True)
class WaitingDispatch:
    """An admitted dispatch that waits for a slot.

    ``granted`` is set to whether it got one.
    """

    granted: asyncio.Future[bool]


def remove_hop_headers(
    headers: Headers | Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return the headers that may be passed on to the next hop."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS
        and not name.lower().startswith(HEADER_PREFIX)
    ]


def encode_headers(answer: HttpAnswer) -> list[tuple[bytes, bytes]]:
    """Return an answer's headers as bytes, as the HTTP server has them."""
    return [
        (name.encode(*HEADER_CODEC), value.encode(*HEADER_CODEC))
        for name, value in answer.headers.items()
    ]


def decode_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> list[tuple[str, str]]:
    """Return headers as text, as the HTTP client takes them."""
    return [
        (name.decode(*HEADER_CODEC), value.decode(*HEADER_CODEC))
        for name, value in headers
    ]


def make_response(answer: HttpAnswer) -> Response:
    """Return the response to an entry with a backend's answer."""
    content_type = answer.headers.get("content-type", BYTES_TYPE)
    return Response(
        answer.status,
        remove_hop_headers(encode_headers(answer)),
        Content(content_type.encode("latin-1"), answer.body),
    )


class DispatchServer:
    """The server of the dispatches that entries send to one agent.

    ``clock`` gives the seconds of a monotonic clock. ``get_refusal`` returns
    the reason for which the agent accepts no dispatch at present, or an empty
    text.
    """

    def __init__(
        self,
        admissions: AdmissionLog,
        metrics: Metrics,
        clock: Callable[[], float],
        get_refusal: Callable[[], str],
        config_version: Callable[[], int],
        http: HttpClient | None = None,
    ) -> None:
        self.admissions = admissions
        self.metrics = metrics
        self.clock = clock
        self.get_refusal = get_refusal
        self.config_version = config_version
        self.queue = WaitQueue(
            admissions.slots, admissions.connections - admissions.slots
        )
        self._waiting: dict[str, WaitingDispatch] = {}
        self._http = http or HttpClient()
        self._backend_url = ""
        self._idle = asyncio.Event()
        self._idle.set()

    def set_backend(self, url: str) -> None:
        """Set the URL of the backend server."""
        self._backend_url = url.rstrip("/")

    async def serve(self, request: Request) -> Response:
        """Answer one dispatch; every answer tells whether it has run."""
        terms = read_terms(request.headers)
        if terms is None:
            self.metrics.count("dispatches_malformed")
            return self._refuse("malformed dispatch", None)
        refusal = self.get_refusal()
        if refusal or not self._backend_url:
            self.metrics.count("dispatches_refused")
            return self._refuse(refusal or "no backend server", 1.0)
        admission = self.admissions.admit(terms.dispatch_id, terms.incarnation)
        if admission is Admission.DUPLICATE:
            self.metrics.count("dispatches_duplicate")
            return self._answer(
                Response(409), RunState.UNKNOWN, "already dispatched"
            )
        if admission is not Admission.ADMITTED:
            self.metrics.count("dispatches_refused")
            wait_s = self.queue.expected_wait_s()
            return self._refuse(admission.value, max(0.1, wait_s))
        self._idle.clear()
        try:
            return await self._serve_admitted(
                request, terms.dispatch_id, terms.deadline_s
            )
        finally:
            self.admissions.finish()
            if self.admissions.in_progress == 0:
                self._idle.set()

    async def _serve_admitted(
        self, request: Request, dispatch_id: str, deadline_s: float
    ) -> Response:
        body = await request.read() or b""
        arrived = self.clock()
        retry_after_s = await self._wait_for_slot(dispatch_id, deadline_s)
        if retry_after_s is not None:
            self.admissions.cancel_admitted(dispatch_id)
            self.metrics.count("dispatches_shed")
            return self._refuse("no slot in time", retry_after_s)
        started = self.clock()
        wait_header = f"{started - arrived:.3f}".encode()
        try:
            left_s = deadline_s - (started - arrived)
            response = await self._run(request, body, left_s)
            response.add_header(DispatchHeader.WAIT, wait_header)
            return response
        finally:
            self.queue.finish(self.clock() - started)
            self._grant_slots()

    async def _wait_for_slot(
        self, dispatch_id: str, deadline_s: float
    ) -> float | None:
        """Wait for a slot of the backend, at most ``deadline_s`` seconds.

        Return ``None`` once there is one, else the seconds to retry after.
        """
        now = self.clock()
        deadline = now + deadline_s
        retry_after_s = self.queue.arrive(dispatch_id, deadline, now)
        if retry_after_s is not None:
            return retry_after_s
        granted = asyncio.get_running_loop().create_future()
        self._waiting[dispatch_id] = WaitingDispatch(granted)
        self._grant_slots()
        try:
            async with asyncio.timeout(deadline_s):
                await asyncio.shield(granted)
        except TimeoutError:
            self._waiting.pop(dispatch_id, None)
            if not self.queue.abandon(dispatch_id) and granted.done():
                self.queue.finish(0.0)
            return max(0.1, self.queue.expected_wait_s())
        return None if granted.result() else 0.1

    def _grant_slots(self) -> None:
        """Give free slots to waiting dispatches, and refuse late ones.

        A slot whose dispatch has given up is freed again at once, counted
        with the mean service time so that the mean does not change.
        """
        while True:
            started, late = self.queue.start_next(self.clock())
            for dispatch_id in late:
                self._resolve(dispatch_id, False)
            if started is None:
                return
            if not self._resolve(started, True):
                self.queue.finish(self.queue.service.mean_s)

    def _resolve(self, dispatch_id: str, granted: bool) -> bool:
        """Tell a dispatch whether it has a slot, if it still waits for one.

        Return whether it did.
        """
        waiting = self._waiting.pop(dispatch_id, None)
        if waiting is None or waiting.granted.done():
            return False
        waiting.granted.set_result(granted)
        return True

    async def _run(
        self, request: Request, body: bytes, deadline_s: float
    ) -> Response:
        """Send the request to the backend server once, without a retry."""
        headers = request.headers
        method = find_header(headers, DispatchHeader.METHOD) or "GET"
        path = find_header(headers, DispatchHeader.PATH) or "/"
        content_type = find_header(headers, b"content-type")
        try:
            answer = await self._http.call(
                method,
                f"{self._backend_url}{path}",
                deadline_s,
                body if body or content_type is not None else None,
                decode_headers(remove_hop_headers(headers)),
                content_type or BYTES_TYPE,
                functools.partial(reserve_memory, request.scope),
            )
        except AnswerTooLarge as error:
            self.metrics.count("answers_too_large")
            return self._answer(Response(502), RunState.UNKNOWN, str(error))
        except CallTimeout:
            self.metrics.count("dispatches_timed_out")
            return self._answer(Response(504), RunState.UNKNOWN, "timeout")
        except ConnectError:
            self.metrics.count("backend_refused_connection")
            return self._refuse("backend server not reachable", 1.0)
        except CallError as error:
            self.metrics.count("backend_answers_broken")
            get_logger().warning("backend answer lost", error=str(error))
            return self._answer(
                Response(502), RunState.UNKNOWN, "answer of backend lost"
            )
        self.metrics.count("dispatches_done")
        return self._answer(make_response(answer), RunState.DONE, "")

    def _answer(
        self, response: Response, run: RunState, reason: str
    ) -> Response:
        version = str(self.config_version()).encode()
        response.add_header(DispatchHeader.RUN, run.encode())
        response.add_header(DispatchHeader.VERSION, version)
        if reason:
            response.add_header(DispatchHeader.REASON, reason.encode())
        return response

    def _refuse(self, reason: str, retry_after_s: float | None) -> Response:
        problem = Problem("not run", 503, reason, retry_after_s=retry_after_s)
        return self._answer(answer_problem(problem), RunState.NOT_RUN, reason)

    def revoke(self, dispatch_id: str, incarnation: int) -> RunState:
        """Refuse a dispatch for good, unless it may have run."""
        answer = self.admissions.revoke(dispatch_id, incarnation)
        if answer is Admission.REVOKED:
            return RunState.NOT_RUN
        return RunState.UNKNOWN

    async def drain(self) -> None:
        """Refuse new dispatches and wait until none is in progress."""
        self.admissions.leaving = True
        await self._idle.wait()

    async def close(self) -> None:
        """Close the connections to the backend server."""
        await self._http.close()
