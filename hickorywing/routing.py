"""Route a request to a backend server and get one whole answer for it.

Each try is a dispatch with a name of its own. A try that is surely not run may
go to another backend server, within the retry budget; one whose outcome is
unknown is repeated only when the request is safe or declared idempotent.
"""

from collections.abc import Callable
from dataclasses import dataclass
import random
import uuid

from blacksheep import Content
from blacksheep import Response
import msgspec

from hickorywing.dispatch import BYTES_TYPE
from hickorywing.dispatch import decode_headers
from hickorywing.dispatch import DispatchHeader
from hickorywing.dispatch import encode_headers
from hickorywing.dispatch import hop_headers
from hickorywing.dispatch import RevokeAnswer
from hickorywing.dispatch import RevokeRequest
from hickorywing.dispatch import RunState
from hickorywing.httpclient import CallError
from hickorywing.httpclient import ConnectError
from hickorywing.httpclient import HttpAnswer
from hickorywing.httpclient import HttpClient
from hickorywing.logs import get_logger
from hickorywing.messages import AgentInfo
from hickorywing.metrics import Metrics
from hickorywing.policy.limits import RetryBudget
from hickorywing.policy.selection import BackendSelector
from hickorywing.web import answer_problem
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
        http: HttpClient,
    ) -> None:
        self.zone = zone
        self.metrics = metrics
        self.clock = clock
        self.random_source = random_source
        self.budget = RetryBudget()
        self.selectors: dict[str, BackendSelector] = {}
        self.agents: dict[str, AgentInfo] = {}
        self.http = http

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
        headers = self._dispatch_headers(request, info, dispatch_id, timeout_s)
        kind = request.content_type
        try:
            answer = await self.http.call(
                "POST",
                f"http://{info.http}/dispatch",
                timeout_s + ANSWER_SLACK_S,
                request.body if request.body or kind is not None else None,
                headers,
                BYTES_TYPE if kind is None else kind.decode("latin-1"),
            )
        except ConnectError:
            self.metrics.count("agents_not_reachable")
            return RouteResult(
                RunState.NOT_RUN,
                reason="backend server's agent not reachable",
                retry_after_s=1.0,
            )
        except CallError as error:
            self.metrics.count("dispatch_answers_lost")
            get_logger().warning(
                "dispatch unanswered", dispatch=dispatch_id, error=str(error)
            )
            return await self._find_out(
                info, dispatch_id, "answer of backend server's agent lost"
            )
        return self._read_answer(answer)

    def _dispatch_headers(
        self,
        request: RoutedRequest,
        info: AgentInfo,
        dispatch_id: str,
        timeout_s: float,
    ) -> list[tuple[str, str]]:
        return decode_headers(
            [
                *request.headers,
                (DispatchHeader.DISPATCH, dispatch_id.encode()),
                (DispatchHeader.INCARNATION, str(info.incarnation).encode()),
                (DispatchHeader.METHOD, request.method.encode()),
                (DispatchHeader.PATH, request.path.encode()),
                (DispatchHeader.DEADLINE, f"{timeout_s:.3f}".encode()),
            ]
        )

    def _read_answer(self, answer: HttpAnswer) -> RouteResult:
        headers = answer.headers
        said = headers.get(DispatchHeader.RUN.decode())
        reason = headers.get(DispatchHeader.REASON.decode(), "")
        if said == RunState.NOT_RUN:
            return RouteResult(
                RunState.NOT_RUN,
                reason=reason,
                retry_after_s=float(headers.get("retry-after", 1.0)),
            )
        if said != RunState.DONE:
            return RouteResult(RunState.UNKNOWN, reason=reason)
        return RouteResult(
            RunState.DONE,
            answer.status,
            headers.get("content-type", BYTES_TYPE).encode("latin-1"),
            tuple(hop_headers(encode_headers(answer))),
            answer.body,
            wait_s=float(headers.get(DispatchHeader.WAIT.decode(), 0.0)),
        )

    async def _find_out(
        self, info: AgentInfo, dispatch_id: str, reason: str
    ) -> RouteResult:
        """Ask the agent to refuse a dispatch whose answer was lost."""
        wanted = RevokeRequest(dispatch_id, info.incarnation)
        try:
            said = await self.http.call(
                "POST",
                f"http://{info.http}/revoke",
                REVOKE_TIMEOUT_S,
                msgspec.json.encode(wanted),
            )
            answer = msgspec.json.decode(said.body, type=RevokeAnswer)
        except (CallError, msgspec.MsgspecError) as error:
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
