"""Route a request to a backend server and get one whole answer for it.

Each try is a dispatch with a name of its own. A try that is surely not run may
go to another backend server, within the retry budget; one whose outcome is
unknown is repeated only when the request is safe or declared idempotent.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import random
import uuid

from blacksheep import Content
from blacksheep import Request
from blacksheep import Response
from blacksheep.client import ClientSession
from blacksheep.client.exceptions import ConnectionTimeout
import msgspec

from hickorywing.dispatch import DispatchHeader
from hickorywing.dispatch import hop_headers
from hickorywing.dispatch import read_whole
from hickorywing.dispatch import RevokeAnswer
from hickorywing.dispatch import RevokeRequest
from hickorywing.dispatch import RunState
from hickorywing.logs import get_logger
from hickorywing.messages import AgentInfo
from hickorywing.metrics import Metrics
from hickorywing.policy.limits import RetryBudget
from hickorywing.policy.selection import BackendSelector
from hickorywing.web import answer_problem
from hickorywing.web import CLIENT_IDLE_S
from hickorywing.web import find_header
from hickorywing.web import Problem

__all__ = ["RequestRouter", "RoutedRequest", "RouteResult"]

SAFE_METHODS = frozenset(["GET", "HEAD", "OPTIONS"])
MAX_TRIES = 3
REVOKE_TIMEOUT_S = 1.0
ANSWER_SLACK_S = 0.5


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A caller's request on its way to a service."""

    service: str
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    content_type: bytes | None
    body: bytes
    timeout_s: float
    idempotent: bool

    @property
    def repeatable(self) -> bool:
        """Tell whether a second run would do no harm."""
        return self.idempotent or self.method in SAFE_METHODS


@dataclass(frozen=True, slots=True)
class RouteResult:
    """What came of a request; the body is whole when it is done."""

    run: RunState
    status: int = 0
    content_type: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    reason: str = ""
    retry_after_s: float | None = None
    wait_s: float = 0.0

    def to_response(self) -> Response:
        """Return the answer for the caller."""
        if self.run is RunState.DONE:
            content = Content(self.content_type, self.body)
            return Response(self.status, list(self.headers), content)
        if self.run is RunState.NOT_RUN:
            return answer_problem(
                Problem(
                    "not run",
                    503,
                    self.reason,
                    RunState.NOT_RUN,
                    self.retry_after_s or 1.0,
                )
            )
        return answer_problem(
            Problem("outcome unknown", 504, self.reason, RunState.UNKNOWN)
        )


class RequestRouter:
    """The request path of one entry."""

    def __init__(
        self,
        zone: str,
        metrics: Metrics,
        clock: Callable[[], float],
        random_source: random.Random,
    ) -> None:
        self.zone = zone
        self.metrics = metrics
        self.clock = clock
        self.random_source = random_source
        self.budget = RetryBudget()
        self.selectors: dict[str, BackendSelector] = {}
        self.agents: dict[str, AgentInfo] = {}
        self._sessions: dict[str, ClientSession] = {}

    # Backend servers

    def set_agent(self, info: AgentInfo, takes_work: bool) -> None:
        """Take in what is known of an agent and its backend server."""
        known = self.agents.get(info.name)
        if known is not None and known.service != info.service:
            self._remove(known)
        if known is not None and known.incarnation != info.incarnation:
            self._remove(known)
        if not info.service or not takes_work:
            self._remove(info)
            return
        self.agents[info.name] = info
        selector = self.selectors.get(info.service)
        if selector is None:
            selector = BackendSelector(self.random_source)
            self.selectors[info.service] = selector
        selector.add(info.name, info.zone, info.slots)

    def _remove(self, info: AgentInfo) -> None:
        self.agents.pop(info.name, None)
        for selector in self.selectors.values():
            selector.remove(info.name)

    def remove_agent(self, name: str) -> None:
        """Send nothing more to an agent."""
        info = self.agents.get(name)
        if info is not None:
            self._remove(info)

    def _session_for(self, info: AgentInfo) -> ClientSession:
        session = self._sessions.get(info.http)
        if session is None:
            session = ClientSession(
                base_url=f"http://{info.http}",
                http2=False,
                max_connection_retries=0,
                idle_timeout=CLIENT_IDLE_S,
                follow_redirects=False,
                cookie_jar=False,
                connection_timeout=1.0,
                request_timeout=600.0,
            )
            self._sessions[info.http] = session
        return session

    # Requests

    async def route(
        self, request: RoutedRequest, name: str | None = None
    ) -> RouteResult:
        """Get one final answer within the request's timeout.

        ``name`` identifies the request over all its tries; by default it is
        new.
        """
        self.budget.note_request()
        self.metrics.count("requests")
        name = name or uuid.uuid4().hex
        deadline = self.clock() + request.timeout_s
        tried: set[str] = set()
        result = RouteResult(
            RunState.NOT_RUN, reason="no backend server", retry_after_s=1.0
        )
        maybe_ran = False
        for number in range(MAX_TRIES):
            backend = self._choose(request.service, tried)
            if backend is None:
                break
            if number and not self.budget.try_retry():
                self.metrics.count("retries_over_budget")
                break
            tried.add(backend)
            left = deadline - self.clock()
            result = await self._try(
                request, backend, f"{name}/{number}", left
            )
            if result.run is RunState.DONE:
                return result
            maybe_ran = maybe_ran or result.run is RunState.UNKNOWN
            if result.run is RunState.UNKNOWN and not request.repeatable:
                break
            if self.clock() >= deadline:
                break
            self.metrics.count("requests_tried_again")
        if maybe_ran and result.run is RunState.NOT_RUN:
            result = RouteResult(RunState.UNKNOWN, reason=result.reason)
        self.metrics.count(f"requests_{result.run.replace(' ', '_')}")
        return result

    def _choose(self, service: str, tried: set[str]) -> str | None:
        selector = self.selectors.get(service)
        if selector is None:
            return None
        return selector.choose(self.zone, tried, self.clock())

    async def _try(
        self,
        request: RoutedRequest,
        backend: str,
        dispatch_id: str,
        timeout_s: float,
    ) -> RouteResult:
        selector = self.selectors[request.service]
        info = self.agents[backend]
        selector.sent(backend)
        started = self.clock()
        result = RouteResult(RunState.UNKNOWN, reason="cancelled")
        try:
            result = await self._dispatch(
                request, info, dispatch_id, timeout_s
            )
        finally:
            failed = result.run is RunState.UNKNOWN or result.status >= 500
            selector.answered(
                backend,
                self.clock() - started,
                failed,
                result.run is RunState.NOT_RUN,
                self.clock(),
                result.wait_s,
            )
        return result

    async def _dispatch(
        self,
        request: RoutedRequest,
        info: AgentInfo,
        dispatch_id: str,
        timeout_s: float,
    ) -> RouteResult:
        outgoing = self._make_dispatch(request, info, dispatch_id, timeout_s)
        session = self._session_for(info)
        try:
            async with asyncio.timeout(timeout_s + ANSWER_SLACK_S):
                response = await session.send(outgoing)
                body = await read_whole(response)
        except (ConnectionRefusedError, ConnectionTimeout):
            self.metrics.count("agents_not_reachable")
            return RouteResult(
                RunState.NOT_RUN,
                reason="backend server's agent not reachable",
                retry_after_s=1.0,
            )
        except Exception as error:
            self.metrics.count("dispatch_answers_lost")
            return await self._find_out(
                info, dispatch_id, type(error).__name__
            )
        return self._read_answer(response, body)

    def _make_dispatch(
        self,
        request: RoutedRequest,
        info: AgentInfo,
        dispatch_id: str,
        timeout_s: float,
    ) -> Request:
        headers = [
            *request.headers,
            (DispatchHeader.DISPATCH, dispatch_id.encode()),
            (DispatchHeader.INCARNATION, str(info.incarnation).encode()),
            (DispatchHeader.METHOD, request.method.encode()),
            (DispatchHeader.PATH, request.path.encode()),
            (DispatchHeader.DEADLINE, f"{timeout_s:.3f}".encode()),
        ]
        outgoing = Request(
            "POST", f"http://{info.http}/dispatch".encode(), headers
        )
        if request.body or request.content_type is not None:
            kind = request.content_type or b"application/octet-stream"
            outgoing = outgoing.with_content(Content(kind, request.body))
        return outgoing

    def _read_answer(self, response: Response, body: bytes) -> RouteResult:
        said = find_header(response.headers, DispatchHeader.RUN)
        reason = find_header(response.headers, DispatchHeader.REASON) or ""
        if said == RunState.NOT_RUN:
            after = find_header(response.headers, b"retry-after")
            return RouteResult(
                RunState.NOT_RUN,
                reason=reason,
                retry_after_s=float(after) if after else 1.0,
            )
        if said != RunState.DONE:
            return RouteResult(RunState.UNKNOWN, reason=reason)
        kind = response.headers.get_first(b"content-type")
        waited = find_header(response.headers, DispatchHeader.WAIT) or "0"
        return RouteResult(
            RunState.DONE,
            response.status,
            kind or b"application/octet-stream",
            tuple(hop_headers(response.headers)),
            body,
            wait_s=float(waited),
        )

    async def _find_out(
        self, info: AgentInfo, dispatch_id: str, reason: str
    ) -> RouteResult:
        """Ask the agent to refuse a dispatch whose answer was lost."""
        wanted = RevokeRequest(dispatch_id, info.incarnation)
        content = Content(b"application/json", msgspec.json.encode(wanted))
        try:
            async with asyncio.timeout(REVOKE_TIMEOUT_S):
                session = self._session_for(info)
                response = await session.post("/revoke", content=content)
                body = await read_whole(response)
            answer = msgspec.json.decode(body, type=RevokeAnswer)
        except Exception as error:
            self.metrics.count("revocations_unanswered")
            get_logger().warning(
                "revocation unanswered",
                dispatch=dispatch_id,
                error=repr(error),
            )
            return RouteResult(RunState.UNKNOWN, reason=reason)
        if answer.run == RunState.NOT_RUN:
            return RouteResult(
                RunState.NOT_RUN, reason=reason, retry_after_s=1.0
            )
        return RouteResult(RunState.UNKNOWN, reason=reason)

    async def close(self) -> None:
        """Close all connections."""
        for session in self._sessions.values():
            await session.close()
