"""Pass requests to the backend server beside this agent, at most once each.

A dispatch is admitted, waits for one of the backend server's slots, and is
sent to it exactly once. Every refusal before that is a definite "not run".
After it, only the backend server's whole answer counts as done.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import enum

from blacksheep import Content
from blacksheep import Headers
from blacksheep import Request
from blacksheep import Response
from blacksheep.client import ClientSession
import msgspec

from hickorywing.errors import HickorywingError
from hickorywing.metrics import Metrics
from hickorywing.policy.claims import Admission
from hickorywing.policy.claims import AdmissionBook
from hickorywing.policy.limits import WaitQueue
from hickorywing.web import answer_problem
from hickorywing.web import CLIENT_IDLE_S
from hickorywing.web import find_header
from hickorywing.web import Problem

__all__ = [
    "DispatchHeader",
    "DispatchServer",
    "RevokeAnswer",
    "RevokeRequest",
    "RunState",
    "TruncatedAnswer",
    "hop_headers",
    "read_whole",
]

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


class DispatchHeader:
    """Header names between an entry and an agent."""

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
    """What an agent says of a dispatch."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class RevokeRequest(msgspec.Struct, frozen=True):
    """Asks an agent to refuse a dispatch for ever."""

    dispatch_id: str
    incarnation: int


class RevokeAnswer(msgspec.Struct, frozen=True):
    """Tells whether the dispatch did not and will not run."""

    run: str


class TruncatedAnswer(HickorywingError):  # noqa: N818
    """Reports a body shorter or longer than its header says."""


@dataclass(slots=True)
class Waiting:
    """An admitted dispatch that waits for a slot."""

    granted: asyncio.Future[bool]


def hop_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that may be passed on."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_HEADERS
        and not name.lower().startswith(HEADER_PREFIX)
    ]


async def read_whole(response: Response) -> bytes:
    """Return a whole body; raise ``TruncatedAnswer`` when it is not."""
    body = await response.read() or b""
    declared = response.headers.get_first(b"content-length")
    if declared is not None and int(declared) != len(body):
        raise TruncatedAnswer(f"{len(body)} of {int(declared)} bytes")
    return body


class DispatchServer:
    """The request path of one agent."""

    def __init__(
        self,
        book: AdmissionBook,
        metrics: Metrics,
        clock: Callable[[], float],
        refuses: Callable[[], str],
        config_version: Callable[[], int],
    ) -> None:
        self.book = book
        self.metrics = metrics
        self.clock = clock
        self.refuses = refuses
        self.config_version = config_version
        self.queue = WaitQueue(book.slots, book.connections - book.slots)
        self._waiting: dict[str, Waiting] = {}
        self._session: ClientSession | None = None
        self._backend_url = ""
        self._idle = asyncio.Event()
        self._idle.set()

    def set_backend(self, url: str) -> None:
        """Use the backend server at a URL."""
        self._backend_url = url.rstrip("/")
        self._session = ClientSession(
            http2=False,
            max_connection_retries=0,
            idle_timeout=CLIENT_IDLE_S,
            follow_redirects=False,
            cookie_jar=False,
            connection_timeout=1.0,
            request_timeout=600.0,
        )

    async def serve(self, request: Request) -> Response:
        """Answer one dispatch."""
        dispatch_id = find_header(request.headers, DispatchHeader.DISPATCH)
        incarnation = find_header(request.headers, DispatchHeader.INCARNATION)
        deadline_s = find_header(request.headers, DispatchHeader.DEADLINE)
        if not dispatch_id or not incarnation or not deadline_s:
            self.metrics.count("dispatches_malformed")
            return self._refuse("malformed dispatch", None)
        refusal = self.refuses()
        if refusal or self._session is None:
            self.metrics.count("dispatches_refused")
            return self._refuse(refusal or "no backend server", 1.0)
        admission = self.book.admit(dispatch_id, int(incarnation))
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
                request, dispatch_id, float(deadline_s)
            )
        finally:
            self.book.finish()
            if self.book.in_progress == 0:
                self._idle.set()

    async def _serve_admitted(
        self, request: Request, dispatch_id: str, deadline_s: float
    ) -> Response:
        body = await request.read() or b""
        arrived = self.clock()
        retry_after_s = await self._wait_for_slot(dispatch_id, deadline_s)
        if retry_after_s is not None:
            self.book.withdraw(dispatch_id)
            self.metrics.count("dispatches_shed")
            return self._refuse("no slot in time", retry_after_s)
        started = self.clock()
        waited = f"{started - arrived:.3f}".encode()
        try:
            left_s = deadline_s - (started - arrived)
            response = await self._run(request, body, left_s)
            response.add_header(DispatchHeader.WAIT, waited)
            return response
        finally:
            self.queue.finish(self.clock() - started)
            self._grant_slots()

    async def _wait_for_slot(
        self, dispatch_id: str, deadline_s: float
    ) -> float | None:
        """Wait for a slot; return the seconds to retry after if none."""
        now = self.clock()
        deadline = now + deadline_s
        retry_after_s = self.queue.arrive(dispatch_id, deadline, now)
        if retry_after_s is not None:
            return retry_after_s
        granted = asyncio.get_running_loop().create_future()
        self._waiting[dispatch_id] = Waiting(granted)
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
        while True:
            due, late = self.queue.next_due(self.clock())
            for dispatch_id in late:
                self._settle(dispatch_id, False)
            if due is None:
                return
            if not self._settle(due, True):
                self.queue.finish(self.queue.service.mean_s)

    def _settle(self, dispatch_id: str, granted: bool) -> bool:
        waiting = self._waiting.pop(dispatch_id, None)
        if waiting is None or waiting.granted.done():
            return False
        waiting.granted.set_result(granted)
        return True

    async def _run(
        self, request: Request, body: bytes, deadline_s: float
    ) -> Response:
        """Send the request to the backend server, once."""
        headers = request.headers
        method = find_header(headers, DispatchHeader.METHOD) or "GET"
        path = find_header(headers, DispatchHeader.PATH) or "/"
        url = f"{self._backend_url}{path}".encode()
        outgoing = Request(method, url, hop_headers(headers))
        kind = headers.get_first(b"content-type")
        if body or kind is not None:
            content = Content(kind or b"application/octet-stream", body)
            outgoing = outgoing.with_content(content)
        try:
            async with asyncio.timeout(deadline_s):
                answer = await self._session.send(outgoing)
                whole = await read_whole(answer)
        except TimeoutError:
            self.metrics.count("dispatches_timed_out")
            return self._answer(Response(504), RunState.UNKNOWN, "timeout")
        except ConnectionRefusedError:
            self.metrics.count("backend_refused_connection")
            return self._refuse("backend server not reachable", 1.0)
        except Exception as error:
            self.metrics.count("backend_answers_broken")
            return self._answer(
                Response(502), RunState.UNKNOWN, type(error).__name__
            )
        self.metrics.count("dispatches_done")
        kind = answer.headers.get_first(b"content-type")
        content = Content(kind or b"application/octet-stream", whole)
        passed = Response(answer.status, hop_headers(answer.headers), content)
        return self._answer(passed, RunState.DONE, "")

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
        """Refuse a dispatch for ever, unless it may have run."""
        answer = self.book.revoke(dispatch_id, incarnation)
        if answer is Admission.REVOKED:
            return RunState.NOT_RUN
        return RunState.UNKNOWN

    async def drain(self) -> None:
        """Refuse new dispatches; return when none is in progress."""
        self.book.leaving = True
        await self._idle.wait()
