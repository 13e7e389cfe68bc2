"""The chain of filters that every HTTP request of an entry passes."""

from collections.abc import Callable
from dataclasses import dataclass
import enum

from blacksheep import Request
from blacksheep import Response

from hickorywing.filterchain import Filter
from hickorywing.filterchain import install_filters
from hickorywing.filterchain import Proceed
from hickorywing.metrics import Metrics
from hickorywing.rules import hash_token
from hickorywing.rules import RulesModel
from hickorywing.web import answer_problem
from hickorywing.web import find_header
from hickorywing.web import Problem

__all__ = [
    "AuthenticateFilter",
    "Caller",
    "CountFilter",
    "Filter",
    "LimitFilter",
    "Role",
    "install_filters",
    "find_caller",
]

CALLER_KEY = "hickorywing.caller"
OPEN_PATHS = frozenset([b"/healthz", b"/metrics"])
MAX_HEADERS = 64
MAX_HEADER_BYTES = 16 << 10


class Role(enum.StrEnum):
    """What a bearer token allows."""

    CUSTOMER = "customer"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class Caller:
    """Who sent a request."""

    name: str
    role: Role


def find_caller(request: Request) -> Caller:
    """Return who sent an authenticated request."""
    return request.scope[CALLER_KEY]


class CountFilter(Filter):
    """Counts requests and answers by the class of their status."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Pass the request on and count the answer."""
        self.metrics.count("http_requests")
        response = await proceed(request)
        self.metrics.count(f"http_answers_{response.status // 100}xx")
        return response


class LimitFilter(Filter):
    """Refuses requests whose headers or body are too large."""

    def __init__(self, metrics: Metrics, max_body_bytes: int) -> None:
        self.metrics = metrics
        self.max_body_bytes = max_body_bytes

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Refuse what is too large, by its header or by its body."""
        size = 0
        number = 0
        for name, value in request.headers:
            number += 1
            size += len(name) + len(value)
        if number > MAX_HEADERS or size > MAX_HEADER_BYTES:
            return self._refuse(431, "headers too large")
        declared = find_header(request.headers, b"content-length") or "0"
        if not declared.isdigit():
            return self._refuse(400, "bad content length")
        if int(declared) > self.max_body_bytes:
            return self._refuse(413, "body too large")
        body = await request.read() or b""
        if len(body) > self.max_body_bytes:
            return self._refuse(413, "body too large")
        return await proceed(request)

    def _refuse(self, status: int, detail: str) -> Response:
        self.metrics.count("http_over_limit")
        return answer_problem(Problem("refused", status, detail))


class AuthenticateFilter(Filter):
    """Finds the caller by its bearer token."""

    def __init__(
        self,
        metrics: Metrics,
        rules: Callable[[], RulesModel],
        bootstrap_operator: str,
    ) -> None:
        self.metrics = metrics
        self.rules = rules
        self.bootstrap_operator = bootstrap_operator

    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Refuse unknown tokens; note the caller of known ones."""
        if request.url.path in OPEN_PATHS:
            return await proceed(request)
        said = find_header(request.headers, b"authorization") or ""
        scheme, _, token = said.partition(" ")
        if scheme.lower() != "bearer" or not token:
            return self._refuse("a bearer token is needed")
        caller = self._find_caller(token)
        if caller is None:
            return self._refuse("unknown token")
        request.scope[CALLER_KEY] = caller
        return await proceed(request)

    def _find_caller(self, token: str) -> Caller | None:
        rules = self.rules()
        operator = rules.find_operator(token)
        if operator is not None:
            return Caller(operator, Role.OPERATOR)
        customer = rules.find_customer(token)
        if customer is not None:
            return Caller(customer, Role.CUSTOMER)
        if self.bootstrap_operator and not rules.operators:
            if hash_token(token) == self.bootstrap_operator:
                return Caller("bootstrap", Role.OPERATOR)
        return None

    def _refuse(self, detail: str) -> Response:
        self.metrics.count("http_unauthenticated")
        response = answer_problem(Problem("not authenticated", 401, detail))
        response.add_header(b"WWW-Authenticate", b"Bearer")
        return response
