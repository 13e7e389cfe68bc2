"""Serve HTTP on one address, with problem documents for refusals.

Listeners keep idle connections open for longer than the system's own clients
do, so that no client sends a request on a connection that the server is just
closing.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import functools
from typing import Any

from blacksheep import Application
from blacksheep import Content
from blacksheep import Request
from blacksheep import Response
from blacksheep import Router
import msgspec
import uvicorn

from hickorywing.addresses import split_address
from hickorywing.clientlimits import ClientLimits
from hickorywing.clientlimits import RequestLimits
from hickorywing.clientmemory import ClientMemory
from hickorywing.decisions import DecisionLog
from hickorywing.decoding import DecodingError
from hickorywing.listeners import open_listener
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.webconnection import Connection
from hickorywing.webconnection import Listener

__all__ = [
    "CLIENT_IDLE_S",
    "Problem",
    "WebServer",
    "add_any_path",
    "add_route",
    "answer_json",
    "answer_problem",
    "find_header",
    "make_app",
    "report_clients",
    "serve_metrics",
]

Handler = Callable[..., Awaitable[Response]]

MAX_CONCURRENT_REQUESTS = 2048
SHUTDOWN_TIMEOUT_S = 60
# The interval in which connections that have used up their time are closed, in
# ticks of uvicorn of 0.1 s.
SWEEP_TICKS = 20
CLIENT_IDLE_S = 30.0
MAX_LOGGED_CHARS = 200


class Problem(msgspec.Struct, frozen=True):
    """An RFC 9457 problem document.

    ``run`` says whether the request was run: ``not run``, ``unknown`` or
    ``done``. ``retry_after_s`` is sent as the header ``Retry-After`` too.
    ``findings`` lists the errors of a document, and ``version`` is that of the
    configuration.
    """

    title: str
    status: int
    detail: str = ""
    run: str = "not run"
    retry_after_s: float | None = None
    findings: list[str] = []
    version: int | None = None
    type: str = "about:blank"


def answer_json(status: int, data: Any) -> Response:
    """Return a response with a JSON body."""
    body = msgspec.json.encode(data)
    return Response(status, None, Content(b"application/json", body))


def answer_problem(problem: Problem) -> Response:
    """Return a response with a problem document as its body."""
    body = msgspec.json.encode(problem)
    response = Response(
        problem.status, None, Content(b"application/problem+json", body)
    )
    if problem.retry_after_s is not None:
        seconds = max(1, round(problem.retry_after_s + 0.49))
        response.add_header(b"Retry-After", str(seconds).encode())
    return response


def find_header(headers: Any, name: bytes) -> str | None:
    """Return the value of the first header with a name, or ``None``."""
    value = headers.get_first(name)
    return None if value is None else value.decode("latin-1")


def add_route(
    app: Application, method: str, pattern: str, handler: Handler
) -> None:
    """Add a route; its handler gets the pattern's values as keywords.

    The handler may be a bound method, which blacksheep can't inspect.
    """

    async def handle(request: Request) -> Response:
        return await handler(request, **(request.route_values or {}))

    app.router.add(method, pattern, handle)


def serve_metrics(app: Application, metrics: Metrics) -> None:
    """Add the route ``/metrics``, with metrics in Prometheus' text format."""

    async def handle(request: Request) -> Response:
        content = Content(b"text/plain; version=0.0.4", metrics.render())
        return Response(200, None, content)

    app.router.add("GET", "/metrics", handle)


def make_app(log: DecisionLog | None = None) -> Application:
    """Return an application with its own router.

    By default all applications of a process share one router. A request whose
    body can't be decoded is answered with 400 and logged in ``log``, if given.
    """
    app = Application(router=Router())

    async def answer_undecodable(
        app: Application, request: Request, error: DecodingError
    ) -> Response:
        if log is not None:
            log.write(
                LogEvent.REQUEST_UNREADABLE,
                path=request.url.path.decode("latin-1")[:MAX_LOGGED_CHARS],
                error=str(error),
            )
        return answer_json(400, {})

    app.exceptions_handlers[DecodingError] = answer_undecodable
    return app


def add_any_path(app: Application, method: str, handler: Handler) -> None:
    """Add a handler for all paths; it may be a bound method."""

    async def handle(request: Request) -> Response:
        return await handler(request)

    app.router.add(method, "*", handle)


def report_clients(
    listener: str, metrics: Metrics, log: DecisionLog | None = None
) -> Callable[[str], None]:
    """Return a function that reports refused clients of a listener."""

    def report(reason: str) -> None:
        metrics.count("clients_refused", listener=listener, reason=reason)
        if log is not None:
            log.write(
                LogEvent.CLIENT_REFUSED, listener=listener, reason=reason
            )

    return report


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the program."""

    def __init__(self, config: uvicorn.Config, listener: Listener) -> None:
        super().__init__(config)
        self._listener = listener

    def install_signal_handlers(self) -> None:
        """Install nothing."""

    def capture_signals(self) -> contextlib.AbstractContextManager[None]:
        """Capture nothing."""
        return contextlib.nullcontext()

    async def on_tick(self, counter: int) -> bool:
        """Close connections that have used up their time, now and then."""
        if counter % SWEEP_TICKS == 0:
            self._listener.sweep(asyncio.get_running_loop().time())
        return await super().on_tick(counter)


class WebServer:
    """One HTTP listener around an application.

    ``report`` is called with the reason whenever a client is refused for
    exceeding ``limits``. ``find_configured`` returns the limits in force by
    the configuration, which raise those. ``memory`` counts what the clients of
    all listeners of the process hold; by default this is the only listener.
    """

    def __init__(
        self,
        app: Application,
        listen: str,
        limits: ClientLimits | None = None,
        report: Callable[[str], None] = lambda reason: None,
        find_configured: Callable[[], RequestLimits | None] = lambda: None,
        memory: ClientMemory | None = None,
    ) -> None:
        self.app = app
        self._socket = open_listener(listen)
        host, _ = split_address(listen)
        self.port = self._socket.getsockname()[1]
        self.address = f"{host}:{self.port}"
        limits = limits or ClientLimits()
        self.listener = Listener(
            limits,
            memory or ClientMemory(limits.pending_bytes),
            report,
            find_configured,
        )
        config = uvicorn.Config(
            app,
            log_config=None,
            access_log=False,
            lifespan="on",
            http=functools.partial(Connection, listener=self.listener),
            loop="asyncio",
            ws="none",
            proxy_headers=False,
            limit_concurrency=MAX_CONCURRENT_REQUESTS,
            timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
            server_header=False,
        )
        self._server = _Server(config, self.listener)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to serve; return once requests are accepted."""
        self._task = asyncio.create_task(
            self._server.serve(sockets=[self._socket])
        )
        while not self._server.started:
            if self._task.done():
                await self._task
                raise RuntimeError("the HTTP listener ended during its start")
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Accept no new connections and finish the requests in progress."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task


def to_mapping(data: object) -> Mapping[str, Any]:
    """Return decoded JSON as a mapping, empty if it is something else."""
    return data if isinstance(data, dict) else {}
