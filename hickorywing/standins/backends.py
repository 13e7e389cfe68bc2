"""A backend server with slots that announces itself to its agent."""

import asyncio
from collections import Counter

from blacksheep import Application
from blacksheep import Content
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.backends import Announcement
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient
from hickorywing.logs import get_logger
from hickorywing.settings import StandinSettings
from hickorywing.web import answer_json
from hickorywing.web import find_header

__all__ = ["BackendFaults", "make_backend_app", "announce"]

ANNOUNCE_EVERY_S = 0.5
ANNOUNCE_TIMEOUT_S = 2.0


class BackendFaults(msgspec.Struct):
    """What the backend server does wrong at the moment."""

    delay_s: float = 0.0
    fail: bool = False


class Executions(msgspec.Struct):
    """How often each request ran, by its ``X-Work`` header."""

    runs: dict[str, int]
    most_at_once: int


def make_backend_app(settings: StandinSettings) -> Application:
    """Return a backend server that echoes and counts what it ran."""
    app = Application()
    runs: Counter[str] = Counter()
    slots = asyncio.Semaphore(settings.slots)
    faults = BackendFaults()
    at_once = [0, 0]

    @app.router.post("/faults")
    async def set_faults(request: Request) -> Response:
        new = msgspec.json.decode(
            await request.read() or b"{}", type=BackendFaults
        )
        faults.delay_s, faults.fail = new.delay_s, new.fail
        return Response(204)

    @app.router.get("/executions")
    async def get_executions(request: Request) -> Response:
        return answer_json(200, Executions(dict(runs), at_once[1]))

    async def serve(request: Request) -> Response:
        body = await request.read() or b""
        work = find_header(request.headers, b"x-work")
        at_once[0] += 1
        at_once[1] = max(at_once)
        async with slots:
            if work:
                runs[work] += 1
            await asyncio.sleep(settings.service_s + faults.delay_s)
        at_once[0] -= 1
        status = 500 if faults.fail else 200
        answer = work.encode() + b":" + body if work else body
        return Response(status, None, Content(b"text/plain", answer))

    for method in ("GET", "POST", "PUT", "DELETE", "PATCH"):
        app.router.add(method, "/*", serve)
    return app


async def announce(settings: StandinSettings, address: str) -> None:
    """Tell the agent of this backend server, again and again."""
    http = HttpClient()
    body = msgspec.json.encode(
        Announcement(
            settings.name,
            f"http://{address}",
            settings.service,
            settings.slots,
            settings.connections,
        )
    )
    try:
        while True:
            try:
                await http.call(
                    "POST",
                    f"{settings.agent}/announce",
                    ANNOUNCE_TIMEOUT_S,
                    body,
                )
            except CallError as error:
                # The agent may not run yet; the next announcement tells it.
                get_logger().info("announcement unanswered", error=str(error))
            await asyncio.sleep(ANNOUNCE_EVERY_S)
    finally:
        await http.close()
