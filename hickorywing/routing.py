"""Route a request to a backend server and return one complete answer.

Each try is a dispatch with its own id. A try that is known not to have run may
be repeated at another backend server, within the retry budget. A try with an
unknown outcome is repeated only if the request is safe or is declared
idempotent.
"""

from collections.abc import Callable
from dataclasses import dataclass
import random
import uuid

from blacksheep import Content
from blacksheep import Response
import msgspec

from hickorywing.decoding import decode_json
from hickorywing.decoding import DecodingError
from hickorywing.dispatch import BYTES_TYPE
from hickorywing.dispatch import decode_headers
from hickorywing.dispatch import DispatchHeader
from hickorywing.dispatch import encode_headers
from hickorywing.dispatch import remove_hop_headers
from hickorywing.dispatch import RevokeAnswer
from hickorywing.dispatch import RevokeRequest
from hickorywing.dispatch import RunState
from hickorywing.httpclient import AnswerTooLarge
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
# The entry waits this much longer than the deadline that it gives the agent,
# so that the agent's own timeout answer can still arrive.
ANSWER_SLACK_S = 0.5


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A caller's request to a service, as it is sent to a backend server."""

    service: str
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    content_type: bytes | None
    body: bytes
    timeout_s: float
    idempotent: bool
    # Counts memory for the answer, unless there is no room.
    reserve: Callable[[int], bool] | None = None

    @property
    def repeatable(self) -> bool:
        """Return whether the request can be run twice without harm."""
        return self.idempotent or self.method in SAFE_METHODS


@dataclass(frozen=True, slots=True)
class RouteResult:
    """The result of a request.

    Status, content type, headers and body are set only if ``run`` is ``DONE``;
    the body is then complete. Otherwise ``reason`` says why there is no answer
    and ``retry_after_s`` when to try again. ``wait_s`` is the time in seconds
    that the request waited for a slot of the backend server.
    """

    run: RunState
    status: int = 0
    content_type: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    reason: str = ""
    retry_after_s: float | None = None
    wait_s: float = 0.0

    def to_response(self) -> Response:
        """Return the HTTP response for the caller."""
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
    """Chooses backend servers for the requests of one entry."""

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
        """Add, update or remove an agent and its backend server.

        A new service or incarnation resets the load and failure counts of the
        backend server. An agent without a service or with ``takes_work`` false
        is removed.
        """
        previous = self.agents.get(info.name)
        if previous is not None and previous.service != info.service:
            self._remove(previous)
        if previous is not None and previous.incarnation != info.incarnation:
            self._remove(previous)
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
        """Remove an agent, so that no request is sent to it."""
        info = self.agents.get(name)
        if info is not None:
            self._remove(info)

    # Requests

    async def route(
        self, request: RoutedRequest, name: str | None = None
    ) -> RouteResult:
        """Return the final result within the request's timeout.

        ``name`` identifies the request over all its tries and is the prefix of
        their dispatch ids; by default a new one is made.
        """
        self.budget.record_request()
        self.metrics.count("requests")
        name = name or uuid.uuid4().hex
        deadline = self.clock() + request.timeout_s
        tried: set[str] = set()
        result = RouteResult(
            RunState.NOT_RUN, reason="no backend server", retry_after_s=1.0
        )
        may_have_run = False
        for try_number in range(MAX_TRIES):
            backend = self._choose(request.service, tried)
            if backend is None:
                break
            if try_number and not self.budget.try_retry():
                self.metrics.count("retries_over_budget")
                break
            tried.add(backend)
            remaining_s = deadline - self.clock()
            result = await self._try(
                request, backend, f"{name}/{try_number}", remaining_s
            )
            if result.run is RunState.DONE:
                return result
            may_have_run = may_have_run or result.run is RunState.UNKNOWN
            if result.run is RunState.UNKNOWN and not request.repeatable:
                break
            if self.clock() >= deadline:
                break
            self.metrics.count("requests_tried_again")
        if may_have_run and result.run is RunState.NOT_RUN:
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
        content_type = request.content_type
        try:
            answer = await self.http.call(
                "POST",
                f"http://{info.http}/dispatch",
                timeout_s + ANSWER_SLACK_S,
                request.body
                if request.body or content_type is not None
                else None,
                headers,
                BYTES_TYPE
                if content_type is None
                else content_type.decode("latin-1"),
                request.reserve,
            )
        except ConnectError:
            self.metrics.count("agents_not_reachable")
            return RouteResult(
                RunState.NOT_RUN,
                reason="backend server's agent not reachable",
                retry_after_s=1.0,
            )
        except AnswerTooLarge as error:
            self.metrics.count("answers_too_large")
            return RouteResult(RunState.UNKNOWN, reason=str(error))
        except CallError as error:
            self.metrics.count("dispatch_answers_lost")
            get_logger().warning(
                "dispatch unanswered", dispatch=dispatch_id, error=str(error)
            )
            return await self._revoke_dispatch(
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
        run = headers.get(DispatchHeader.RUN.decode())
        reason = headers.get(DispatchHeader.REASON.decode(), "")
        if run == RunState.NOT_RUN:
            return RouteResult(
                RunState.NOT_RUN,
                reason=reason,
                retry_after_s=float(headers.get("retry-after", 1.0)),
            )
        if run != RunState.DONE:
            return RouteResult(RunState.UNKNOWN, reason=reason)
        return RouteResult(
            RunState.DONE,
            answer.status,
            headers.get("content-type", BYTES_TYPE).encode("latin-1"),
            tuple(remove_hop_headers(encode_headers(answer))),
            answer.body,
            wait_s=float(headers.get(DispatchHeader.WAIT.decode(), 0.0)),
        )

    async def _revoke_dispatch(
        self, info: AgentInfo, dispatch_id: str, reason: str
    ) -> RouteResult:
        """Revoke a dispatch whose answer was lost and return its outcome.

        The result is ``NOT_RUN`` if the agent confirms that the dispatch has
        not run and never will, else ``UNKNOWN``.
        """
        revocation = RevokeRequest(dispatch_id, info.incarnation)
        try:
            response = await self.http.call(
                "POST",
                f"http://{info.http}/revoke",
                REVOKE_TIMEOUT_S,
                msgspec.json.encode(revocation),
            )
            revoke_answer = decode_json(response.body, RevokeAnswer)
        except (CallError, DecodingError) as error:
            self.metrics.count("revocations_unanswered")
            get_logger().warning(
                "revocation unanswered",
                dispatch=dispatch_id,
                error=repr(error),
            )
            return RouteResult(RunState.UNKNOWN, reason=reason)
        if revoke_answer.run == RunState.NOT_RUN:
            return RouteResult(
                RunState.NOT_RUN, reason=reason, retry_after_s=1.0
            )
        return RouteResult(RunState.UNKNOWN, reason=reason)
