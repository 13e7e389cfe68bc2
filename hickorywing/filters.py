"""The filters that each HTTP request to an entry passes."""

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
    "get_caller",
]

CALLER_KEY = "hickorywing.caller"
UNAUTHENTICATED_PATHS = frozenset([b"/healthz", b"/metrics"])
MAX_HEADERS = 64
MAX_HEADER_BYTES = 16 << 10


class Role(enum.StrEnum):
    """The kind of caller, which decides what a request may do."""

    CUSTOMER = "customer"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class Caller:
    """The sender of a request: the name of a customer or operator."""

    name: str
    role: Role


def get_caller(request: Request) -> Caller:
    """Return the caller of a request that was authenticated."""
    return request.scope[CALLER_KEY]


class CountFilter(Filter):
    """Counts requests, and answers by status class (2xx, 4xx ...)."""

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
        """Refuse a request with too many headers or too many bytes.

        The declared length of the body is checked before the body is read.
        """
        size = 0
        count = 0
        for name, value in request.headers:
            count += 1
            size += len(name) + len(value)
        if count > MAX_HEADERS or size > MAX_HEADER_BYTES:
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
    """Identifies the caller by its bearer token.

    While the rules name no operator, the token with the SHA-256 hash
    ``bootstrap_operator`` is an operator's, so that the first rules can be
    loaded.
    """

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
        """Refuse unknown tokens; set the caller of the request for others."""
        if request.url.path in UNAUTHENTICATED_PATHS:
            return await proceed(request)
        authorization = find_header(request.headers, b"authorization") or ""
        scheme, _, token = authorization.partition(" ")
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
