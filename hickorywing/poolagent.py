"""``hickorywing-pool-agent``: beside each worker, for the pool's controller.

The agent keeps nothing that lasts. It knows its worker from the worker's
announcements, passes the controller's orders on and reports what the worker
lists. A row of the store tells the controller where the agent is.
"""

import asyncio
from pathlib import Path

from blacksheep import Application
from blacksheep import Content
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.decisions import DecisionLog
from hickorywing.httpclient import HttpClient
from hickorywing.jobrows import AgentRow
from hickorywing.jobrows import AGENTS
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.orders import StartOrder
from hickorywing.orders import StopOrder
from hickorywing.orders import WatchOrder
from hickorywing.platform.heartbeats import HeartbeatApi
from hickorywing.platform.runner import PlatformWorker
from hickorywing.platform.store import PlatformStore
from hickorywing.program import cancel_tasks
from hickorywing.program import describe_reload
from hickorywing.program import guard_task
from hickorywing.program import parse_settings_path
from hickorywing.program import run_program
from hickorywing.program import wait_for_stop
from hickorywing.rows import Committed
from hickorywing.rows import RowKey
from hickorywing.rows import RowStore
from hickorywing.rows import RowTransaction
from hickorywing.rows import RowWrite
from hickorywing.rows import StoreUnavailable
from hickorywing.settings import PoolAgentSettings
from hickorywing.settings import read_settings
from hickorywing.web import add_route
from hickorywing.web import make_app
from hickorywing.web import serve_metrics
from hickorywing.web import WebServer
from hickorywing.workerwatch import WorkerWatch

__all__ = ["OrderApi", "PoolAgent", "main"]

RETRY_S = 0.5


class OrderApi:
    """The calls that a controller makes."""

    def __init__(self, watch: WorkerWatch) -> None:
        self._watch = watch

    def install(self, app: Application) -> None:
        """Add the routes."""
        add_route(app, "POST", "/watch", self.handle_watch)
        add_route(app, "POST", "/start", self.handle_start)
        add_route(app, "POST", "/stop", self.handle_stop)

    async def handle_watch(self, request: Request) -> Response:
        """Answer a watch."""
        order = await read_order(request, WatchOrder)
        return answer_message(await self._watch.watch(order))

    async def handle_start(self, request: Request) -> Response:
        """Answer a start order."""
        order = await read_order(request, StartOrder)
        return answer_message(await self._watch.start(order))

    async def handle_stop(self, request: Request) -> Response:
        """Answer a stop order."""
        order = await read_order(request, StopOrder)
        return answer_message(await self._watch.stop(order))


async def read_order(request: Request, order_type: type) -> object:
    """Return the order in a request; raise ``msgspec.DecodeError``."""
    body = await request.read() or b""
    return msgspec.msgpack.decode(body, type=order_type)


def answer_message(message: msgspec.Struct) -> Response:
    """Return an answer with a MessagePack body."""
    body = msgspec.msgpack.encode(message)
    return Response(200, None, Content(b"application/x-msgpack", body))


async def register_agent(
    store: RowStore, name: str, row: AgentRow, log: DecisionLog
) -> None:
    """Store where an agent is, unless the store has it already."""
    key = RowKey(AGENTS, row.pool, name)
    value = msgspec.msgpack.encode(row)
    while True:
        try:
            present = await store.read_row(key)
        except StoreUnavailable as error:
            log.write(LogEvent.STORE_UNAVAILABLE, error=str(error))
            await asyncio.sleep(RETRY_S)
            continue
        if present is not None and present.value == value:
            return
        answer = await store.commit(
            RowTransaction((), (RowWrite(key, value),))
        )
        if isinstance(answer, Committed):
            log.write(
                LogEvent.AGENT_REGISTERED, address=row.address, pool=row.pool
            )
            return
        await asyncio.sleep(RETRY_S)


class PoolAgent:
    """All parts of one agent, wired together."""

    def __init__(self, settings: PoolAgentSettings, path: Path) -> None:
        self._settings = settings
        self._path = path
        self._metrics = Metrics(settings.name)
        self._log = DecisionLog(settings.name, "agent", self._metrics)

    async def run(self) -> None:
        """Serve until asked to stop."""
        settings = self._settings
        self._log.write(
            LogEvent.STARTING, zone=settings.zone, pool=settings.pool
        )
        http = HttpClient()
        store = PlatformStore(settings.store, http, self._metrics)
        watch = WorkerWatch(
            settings.name, PlatformWorker(settings.worker, http), self._log
        )
        worker_app = make_app()
        HeartbeatApi(watch.announce, watch.leave, self._metrics).install(
            worker_app
        )
        order_app = make_app()
        OrderApi(watch).install(order_app)
        serve_metrics(order_app, self._metrics)
        servers = [
            WebServer(worker_app, settings.listen),
            WebServer(order_app, settings.link),
        ]
        for server in servers:
            await server.start()
        row = AgentRow(settings.link, settings.zone, settings.pool)
        tasks = [
            guard_task(watch.run(), self._report),
            guard_task(
                register_agent(store, settings.name, row, self._log),
                self._report,
            ),
        ]
        self._log.write(LogEvent.STARTED)
        await wait_for_stop(self._reload)
        self._log.write(LogEvent.STOPPING)
        watch.close()
        await asyncio.gather(*(server.stop() for server in servers))
        await cancel_tasks(tasks)
        await http.close()
        self._log.write(LogEvent.STOPPED)

    def _reload(self) -> None:
        """Say at a SIGHUP what has changed in the settings."""
        found = describe_reload(self._path, PoolAgentSettings, self._settings)
        self._log.write(LogEvent.RELOAD, **found)

    def _report(self, trace: str) -> None:
        self._log.write(LogEvent.PART_DIED, trace=trace)


def run_agent(settings: Path) -> None:
    """Run an agent with a settings file."""
    checked = read_settings(settings, PoolAgentSettings)
    run_program(PoolAgent(checked, settings).run, "hickorywing-pool-agent")


def main() -> None:
    """Run the program."""
    run_agent(parse_settings_path())
