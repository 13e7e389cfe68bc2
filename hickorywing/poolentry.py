"""``hickorywing-pool-entry``: for callers, and a candidate for every pool.

An entry keeps nothing that lasts. It accepts jobs by a row of the store,
answers for their status, and controls the pools whose lease it holds.
"""

import asyncio
from pathlib import Path

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response

from hickorywing.agentlink import ORDER_LIFE_S
from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.handover import HandOverApi
from hickorywing.httpclient import HttpClient
from hickorywing.jobdesk import JobDesk
from hickorywing.leaserows import read_holder_epoch
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.platform.callers import CallerApi
from hickorywing.platform.callers import CallerTerms
from hickorywing.platform.configsource import PlatformConfigurationSource
from hickorywing.platform.store import PlatformStore
from hickorywing.policy.candidacy import Strength
from hickorywing.policy.poolprogress import WorkerTerms
from hickorywing.poolconfig import ConfigurationView
from hickorywing.poolcontroller import ControllerParts
from hickorywing.poolcontroller import PoolController
from hickorywing.poollease import PoolLease
from hickorywing.program import cancel_tasks
from hickorywing.program import describe_reload
from hickorywing.program import guard_task
from hickorywing.program import parse_settings_path
from hickorywing.program import run_program
from hickorywing.program import wait_for_stop
from hickorywing.runcontrol import ControllerTerms
from hickorywing.settings import PoolEntrySettings
from hickorywing.settings import read_settings
from hickorywing.statuscache import StatusCache
from hickorywing.suspicion import SuspicionApi
from hickorywing.web import add_route
from hickorywing.web import make_app
from hickorywing.web import serve_metrics
from hickorywing.web import WebServer

__all__ = ["PoolEntry", "main"]

# A feed that went silent keeps the configuration's age from being known; the
# wait of one call and its time limit come on top of what the age may be.
CONFIG_WAIT_S = 0.8
# A feed may leave changes out for about a second before it breaks off.
FEED_SILENCE_S = 1.0
POOLS_EVERY_S = 0.2
# A submission that was held up may arrive again after its job has ended; for
# this long it is known to be the same job.
LATE_REPEAT_S = 600.0


class PoolEntry:
    """All parts of one entry, wired together."""

    def __init__(self, settings: PoolEntrySettings, path: Path) -> None:
        self._settings = settings
        self._path = path
        self._metrics = Metrics(settings.name)
        self._log = DecisionLog(settings.name, "entry", self._metrics)
        self._view = ConfigurationView()
        self._leaving = False
        self._controllers: dict[
            str, tuple[PoolController, asyncio.Task[None]]
        ] = {}

    async def run(self) -> None:
        """Serve until asked to stop, and finish what is in progress."""
        settings = self._settings
        self._log.write(LogEvent.STARTING, zone=settings.zone)
        http = HttpClient()
        store = PlatformStore(settings.store, http, self._metrics)
        cache = StatusCache(store, self._log)
        desk = JobDesk(store, cache, self._log, self._metrics)
        callers = CallerApi(
            desk,
            self._view,
            CallerTerms(settings.key_age_limit_s - FEED_SILENCE_S),
            self._log,
            self._metrics,
        )
        self._source = PlatformConfigurationSource(
            store, self._view, self._log, CONFIG_WAIT_S
        )
        tasks = [
            guard_task(self._source.run(), self._report),
            guard_task(cache.run(), self._report),
            guard_task(self._keep_controllers(store, http), self._report),
        ]
        front = WebServer(callers.make_app(), settings.listen)
        others = [
            WebServer(self._make_ready_app(), settings.ready),
            WebServer(self._make_link_app(store, http), settings.link),
        ]
        for server in [front, *others]:
            await server.start()
        self._log.write(LogEvent.STARTED)
        await wait_for_stop(self._reload)
        await self._stop(front, tasks)
        await asyncio.gather(*(server.stop() for server in others))
        await http.close()
        self._log.write(LogEvent.STOPPED)

    def _reload(self) -> None:
        """Say at a SIGHUP what has changed in the settings."""
        found = describe_reload(self._path, PoolEntrySettings, self._settings)
        self._log.write(LogEvent.RELOAD, **found)

    def _report(self, trace: str) -> None:
        self._log.write(LogEvent.PART_DIED, trace=trace)

    async def _stop(
        self, front: WebServer, tasks: list[asyncio.Task[None]]
    ) -> None:
        """Hand the pools over, then finish the requests in progress."""
        self._log.write(LogEvent.STOPPING)
        self._leaving = True
        for controller, _ in self._controllers.values():
            await controller.lease.release()
        await asyncio.sleep(self._settings.drain_notice_s)
        await front.stop()
        await cancel_tasks(
            [*tasks, *(task for _, task in self._controllers.values())]
        )

    def _make_ready_app(self) -> Application:
        app = make_app()
        add_route(app, "GET", "/readiness", self.handle_ready)
        return app

    def _make_link_app(
        self, store: PlatformStore, http: HttpClient
    ) -> Application:
        app = make_app()

        async def read_epoch(pool: str) -> int | None:
            return await read_holder_epoch(store, pool)

        HandOverApi(self._find_lease, read_epoch, self._log).install(app)
        SuspicionApi(self._find_lease, http).install(app)
        serve_metrics(app, self._metrics)
        return app

    def _find_lease(self, pool: str) -> PoolLease | None:
        """Return this entry's part in a pool's lease."""
        known = self._controllers.get(pool)
        return None if known is None else known[0].lease

    async def handle_ready(self, request: Request) -> Response:
        """Tell whether new callers are welcome.

        An entry that can't reach the store refuses every job, while entries
        of other zones may take them.
        """
        ready = (
            not self._leaving
            and self._source.is_reachable()
            and self._view.configuration is not None
            and self._view.age_s(now_s()) < self._settings.ready_age_limit_s
        )
        return Response(200 if ready else 503)

    async def _keep_controllers(
        self, store: PlatformStore, http: HttpClient
    ) -> None:
        """Be a candidate for each pool of the configuration."""
        terms = ControllerTerms(
            lease_limit_s=self._settings.lease_limit_s,
            config_age_limit_s=self._settings.zone_age_limit_s
            - FEED_SILENCE_S
            - ORDER_LIFE_S,
            keep_ended_s=self._settings.status_kept_s + LATE_REPEAT_S,
            workers=WorkerTerms(
                self._settings.save_s,
                self._settings.restore_s,
                self._settings.drain_s,
            ),
        )
        parts = ControllerParts(
            self._settings.name,
            self._settings.link,
            store,
            http,
            self._view,
            terms,
            self._log,
            self._metrics,
            Strength(
                self._settings.core_share * self._settings.core_speed,
                self._settings.link_mbps,
            ),
        )
        while True:
            for pool in self._view.pools() - self._controllers.keys():
                controller = PoolController(pool, parts)
                task = guard_task(controller.run(), self._report)
                self._controllers[pool] = (controller, task)
            if self._view.proved_s is None:
                await self._view.wait_first(POOLS_EVERY_S)
            else:
                await asyncio.sleep(POOLS_EVERY_S)


def run_entry(settings: Path) -> None:
    """Run an entry with a settings file."""
    checked = read_settings(settings, PoolEntrySettings)
    run_program(PoolEntry(checked, settings).run, "hickorywing-pool-entry")


def main() -> None:
    """Run the program."""
    run_entry(parse_settings_path())
