"""A stand-in for a backend server that announces itself to its agent."""

import asyncio
from collections import Counter

from blacksheep import Application
from blacksheep import Content
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.backends import BackendAnnouncement
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient
from hickorywing.logs import get_logger
from hickorywing.settings import StandinSettings
from hickorywing.web import answer_json
from hickorywing.web import find_header

__all__ = ["BackendFaults", "make_backend_app", "announce"]

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_TIMEOUT_S = 2.0


class BackendFaults(msgspec.Struct):
    """The present faults of the backend server.

    ``delay_s`` is added to the service time, and ``fail`` makes it answer 500.
    """

    delay_s: float = 0.0
    fail: bool = False


class Executions(msgspec.Struct):
    """How often each request ran, by its ``X-Work`` header.

    ``most_at_once`` is the maximum number of concurrent requests, including
    those that waited for a slot.
    """

    runs: dict[str, int]
    most_at_once: int


def make_backend_app(settings: StandinSettings) -> Application:
    """Return a backend server that echoes requests and counts them."""
    app = Application()
    runs: Counter[str] = Counter()
    slots = asyncio.Semaphore(settings.slots)
    faults = BackendFaults()
    # The present and the maximum number of concurrent requests.
    concurrency = [0, 0]

    @app.router.post("/faults")
    async def set_faults(request: Request) -> Response:
        new = msgspec.json.decode(
            await request.read() or b"{}", type=BackendFaults
        )
        faults.delay_s, faults.fail = new.delay_s, new.fail
        return Response(204)

    @app.router.get("/executions")
    async def get_executions(request: Request) -> Response:
        return answer_json(200, Executions(dict(runs), concurrency[1]))

    async def serve(request: Request) -> Response:
        body = await request.read() or b""
        work_id = find_header(request.headers, b"x-work")
        concurrency[0] += 1
        concurrency[1] = max(concurrency)
        async with slots:
            if work_id:
                runs[work_id] += 1
            await asyncio.sleep(settings.service_s + faults.delay_s)
        concurrency[0] -= 1
        status = 500 if faults.fail else 200
        answer = work_id.encode() + b":" + body if work_id else body
        return Response(status, None, Content(b"text/plain", answer))

    for method in ("GET", "POST", "PUT", "DELETE", "PATCH"):
        app.router.add(method, "/*", serve)
    return app


async def announce(settings: StandinSettings, address: str) -> None:
    """Announce the backend server to its agent regularly, until cancelled."""
    http = HttpClient()
    body = msgspec.json.encode(
        BackendAnnouncement(
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
                # The agent may not have started yet; the next announcement
                # reaches it.
                get_logger().info("announcement unanswered", error=str(error))
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
    finally:
        await http.close()
