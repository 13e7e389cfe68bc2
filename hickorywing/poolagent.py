"""The program ``hickorywing-pool-agent``: runs beside each worker of a pool.

The agent keeps no durable state. It learns of its worker from the worker's
announcements, forwards the orders of the pool's controller to it and reports
the runs that the worker lists. The controller finds the agent's address in a
row of the store.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from blacksheep import Application
from blacksheep import Content
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.decoding import decode_msgpack
from hickorywing.httpclient import HttpClient
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.orders import Order
from hickorywing.orders import StartOrder
from hickorywing.orders import StopOrder
from hickorywing.orders import WatchOrder
from hickorywing.platform.heartbeats import HeartbeatApi
from hickorywing.platform.runner import PlatformWorker
from hickorywing.platform.store import PlatformStore
from hickorywing.poolrows import AgentRow
from hickorywing.poolrows import AGENTS
from hickorywing.poolworker import WorkerPlace
from hickorywing.program import cancel_tasks
from hickorywing.program import describe_reload
from hickorywing.program import parse_settings_path
from hickorywing.program import run_program
from hickorywing.program import start_critical_task
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
from hickorywing.web import answer_json
from hickorywing.web import make_app
from hickorywing.web import report_clients
from hickorywing.web import serve_metrics
from hickorywing.web import WebServer
from hickorywing.workermonitor import WorkerMonitor

__all__ = ["OrderApi", "PoolAgent", "main"]

OrderT = TypeVar("OrderT", bound=Order)

RETRY_S = 0.5
# A controller calls at least every two seconds. An agent that isn't called for
# this long, half a lease, checks that controllers can find it.
UNCALLED_S = 5.0


class OrderApi:
    """Handles the calls of a pool's controllers: watch, start and stop.

    Calls of another pool's controllers, which may have read a wrong address,
    are refused, as their epochs are counted on their own.
    """

    def __init__(self, monitor: WorkerMonitor, pool: str) -> None:
        self._monitor = monitor
        self._pool = pool
        self._called_s = now_s()

    def count_uncalled_s(self) -> float:
        """Return the seconds since the last call."""
        return now_s() - self._called_s

    def install(self, app: Application) -> None:
        """Add the routes to an application."""
        add_route(app, "POST", "/watch", self.handle_watch)
        add_route(app, "POST", "/start", self.handle_start)
        add_route(app, "POST", "/stop", self.handle_stop)

    async def handle_watch(self, request: Request) -> Response:
        """Answer a watch with a report of the worker."""
        return await self._handle(request, WatchOrder, self._monitor.watch)

    async def handle_start(self, request: Request) -> Response:
        """Forward a start order to the worker and answer with its outcome."""
        return await self._handle(request, StartOrder, self._monitor.start)

    async def handle_stop(self, request: Request) -> Response:
        """Forward a stop order to the worker and answer with its outcome."""
        return await self._handle(request, StopOrder, self._monitor.stop)

    async def _handle(
        self,
        request: Request,
        order_type: type[OrderT],
        carry_out: Callable[[OrderT], Awaitable[msgspec.Struct]],
    ) -> Response:
        """Decode an order and carry it out if it is of the agent's pool.

        Raises ``DecodingError`` if the body is not such an order.
        """
        order = decode_msgpack(await request.read() or b"", order_type)
        if order.pool != self._pool:
            return answer_json(409, {"reason": f"of pool {self._pool}"})
        self._called_s = now_s()
        return answer_message(await carry_out(order))


def answer_message(message: msgspec.Struct) -> Response:
    """Return a response with a MessagePack body."""
    body = msgspec.msgpack.encode(message)
    return Response(200, None, Content(b"application/x-msgpack", body))


async def register_agent(
    store: RowStore, name: str, row: AgentRow, log: DecisionLog
) -> None:
    """Write an agent's address to the store, unless it is there already.

    Retries until the store answers.
    """
    key = RowKey(AGENTS, row.pool, name)
    value = msgspec.msgpack.encode(row)
    while True:
        try:
            stored = await store.read_row(key)
        except StoreUnavailable as error:
            log.write(LogEvent.STORE_UNAVAILABLE, error=str(error))
            await asyncio.sleep(RETRY_S)
            continue
        if stored is not None and stored.value == value:
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


async def keep_registered(
    store: RowStore,
    name: str,
    row: AgentRow,
    count_uncalled_s: Callable[[], float],
    log: DecisionLog,
) -> None:
    """Write an agent's row, and write it again if somebody has changed it.

    The row is read again only while no controller calls, as one that read a
    wrong row can't find the agent.
    """
    left_s = 0.0
    while True:
        if left_s <= 0:
            await register_agent(store, name, row, log)
            await asyncio.sleep(UNCALLED_S)
        else:
            await asyncio.sleep(left_s)
        left_s = UNCALLED_S - count_uncalled_s()


class PoolAgent:
    """Creates and connects the parts of one agent."""

    def __init__(self, settings: PoolAgentSettings, path: Path) -> None:
        self._settings = settings
        self._path = path
        self._metrics = Metrics(settings.name)
        self._log = DecisionLog(settings.name, "agent", self._metrics)

    async def run(self) -> None:
        """Serve until a stop signal."""
        settings = self._settings
        self._log.write(
            LogEvent.STARTING, zone=settings.zone, pool=settings.pool
        )
        http = HttpClient(settings.clients.answer_bytes)
        store = PlatformStore(settings.store, http, self._metrics)
        monitor = WorkerMonitor(
            settings.name, PlatformWorker(settings.worker, http), self._log
        )
        worker_app = make_app(self._log)
        HeartbeatApi(
            monitor.announce,
            monitor.leave,
            WorkerPlace(settings.pool, settings.zone, settings.worker),
            self._log,
            self._metrics,
        ).install(worker_app)
        order_app = make_app(self._log)
        order_api = OrderApi(monitor, settings.pool)
        order_api.install(order_app)
        serve_metrics(order_app, self._metrics)
        limits = settings.clients.make_internal_limits()
        memory = settings.clients.make_memory()
        servers = [
            WebServer(
                worker_app,
                settings.listen,
                limits,
                report_clients("listen", self._metrics, self._log),
                memory=memory,
            ),
            WebServer(
                order_app,
                settings.link,
                limits,
                report_clients("link", self._metrics, self._log),
                memory=memory,
            ),
        ]
        for server in servers:
            await server.start()
        row = AgentRow(settings.link, settings.zone, settings.pool)
        tasks = [
            start_critical_task(monitor.run(), self._log_failure),
            start_critical_task(
                keep_registered(
                    store,
                    settings.name,
                    row,
                    order_api.count_uncalled_s,
                    self._log,
                ),
                self._log_failure,
            ),
        ]
        self._log.write(LogEvent.STARTED)
        await wait_for_stop(self._reload)
        self._log.write(LogEvent.STOPPING)
        monitor.close()
        await asyncio.gather(*(server.stop() for server in servers))
        await cancel_tasks(tasks)
        await http.close()
        self._log.write(LogEvent.STOPPED)

    def _reload(self) -> None:
        """Log which settings have changed in the file, at a SIGHUP."""
        changes = describe_reload(
            self._path, PoolAgentSettings, self._settings
        )
        self._log.write(LogEvent.RELOAD, **changes)

    def _log_failure(self, trace: str) -> None:
        self._log.write(LogEvent.TASK_FAILED, trace=trace)


def run_agent(settings: Path) -> None:
    """Run an agent with the settings in a file."""
    checked = read_settings(settings, PoolAgentSettings)
    run_program(PoolAgent(checked, settings).run, "hickorywing-pool-agent")


def main() -> None:
    """Run the program with the settings file that the command line names."""
    run_agent(parse_settings_path())
