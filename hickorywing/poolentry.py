"""The program ``hickorywing-pool-entry``: serves callers, controls pools.

An entry keeps no durable state. It accepts a job by writing a row to the
store, answers status requests, competes for the controller role of every pool
and controls the pools whose lease it holds.
"""

import asyncio
from pathlib import Path

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response

from hickorywing.agentlink import ORDER_EXPIRY_S
from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.handover import HandoverApi
from hickorywing.holderchecks import HolderCheckApi
from hickorywing.httpclient import HttpClient
from hickorywing.joblocator import JobLocator
from hickorywing.jobservice import JobService
from hickorywing.leaserows import read_holder_epoch
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.platform.callers import CallerApi
from hickorywing.platform.callers import CallerLimits
from hickorywing.platform.configsource import PlatformConfigurationSource
from hickorywing.platform.jobpreviews import JobPreviewApi
from hickorywing.platform.store import PlatformStore
from hickorywing.policy.candidacy import EntryCapacity
from hickorywing.policy.poolprogress import WorkerTerms
from hickorywing.poolcatalog import PoolCatalog
from hickorywing.poolconfig import ConfigurationView
from hickorywing.poolcontroller import ControllerParts
from hickorywing.poolcontroller import PoolController
from hickorywing.poollease import PoolLease
from hickorywing.program import cancel_tasks
from hickorywing.program import describe_reload
from hickorywing.program import parse_settings_path
from hickorywing.program import run_program
from hickorywing.program import start_critical_task
from hickorywing.program import wait_for_stop
from hickorywing.runcontrol import ControllerTerms
from hickorywing.settings import PoolEntrySettings
from hickorywing.settings import read_settings
from hickorywing.statuscache import StatusCache
from hickorywing.web import add_route
from hickorywing.web import make_app
from hickorywing.web import report_clients
from hickorywing.web import serve_metrics
from hickorywing.web import WebServer

__all__ = ["PoolEntry", "main"]

# How long one call to the changefeed waits for changes of the configuration.
# While the feed is silent the configuration's age can't be confirmed, so this
# wait and the timeout of the call add to the age that is allowed.
CONFIG_FEED_WAIT_S = 0.8
# A changefeed may omit changes for about a second before its calls fail, so
# the configuration may be this much older than it appears.
FEED_OMISSION_S = 1.0
POOLS_INTERVAL_S = 0.2
# A delayed submission may arrive again after its job has ended. The job's rows
# are kept for this much longer, so that it is recognized as the same job.
LATE_SUBMISSION_S = 600.0


class PoolEntry:
    """Creates and connects the parts of one entry."""

    def __init__(self, settings: PoolEntrySettings, path: Path) -> None:
        self._settings = settings
        self._path = path
        self._metrics = Metrics(settings.name)
        self._log = DecisionLog(settings.name, "entry", self._metrics)
        self._client_memory = settings.clients.make_memory()
        self._view = ConfigurationView()
        self._stopping = False
        self._controllers: dict[
            str, tuple[PoolController, asyncio.Task[None]]
        ] = {}

    async def run(self) -> None:
        """Serve until a stop signal, then finish the requests in progress."""
        settings = self._settings
        self._log.write(LogEvent.STARTING, zone=settings.zone)
        http = HttpClient(settings.clients.answer_bytes)
        store = PlatformStore(settings.store, http, self._metrics)
        catalog = PoolCatalog(store, self._view, self._log)
        locator = JobLocator(store, catalog, self._log)
        cache = StatusCache(store, locator, self._log)
        job_service = JobService(
            store, cache, locator, self._log, self._metrics
        )
        callers = CallerApi(
            job_service,
            self._view,
            CallerLimits(settings.key_age_limit_s - FEED_OMISSION_S),
            self._log,
            self._metrics,
        )
        self._source = PlatformConfigurationSource(
            store, self._view, self._log, CONFIG_FEED_WAIT_S
        )
        tasks = [
            start_critical_task(self._source.run(), self._log_failure),
            start_critical_task(catalog.run(), self._log_failure),
            start_critical_task(cache.run(), self._log_failure),
            start_critical_task(
                self._start_controllers(catalog, store, http),
                self._log_failure,
            ),
        ]
        caller_server = WebServer(
            callers.make_app(),
            settings.listen,
            settings.clients.make_limits(),
            report_clients("listen", self._metrics, self._log),
            self._view.find_request_limits,
            memory=self._client_memory,
        )
        internal_servers = [
            self._make_internal_server(
                "ready", settings.ready, self._make_ready_app()
            ),
            self._make_internal_server(
                "link", settings.link, self._make_link_app(store, http)
            ),
        ]
        for server in [caller_server, *internal_servers]:
            await server.start()
        self._log.write(LogEvent.STARTED)
        await wait_for_stop(self._reload)
        await self._stop(caller_server, tasks)
        await asyncio.gather(*(server.stop() for server in internal_servers))
        await http.close()
        self._log.write(LogEvent.STOPPED)

    def _reload(self) -> None:
        """Log which settings have changed in the file, at a SIGHUP."""
        changes = describe_reload(
            self._path, PoolEntrySettings, self._settings
        )
        self._log.write(LogEvent.RELOAD, **changes)

    def _log_failure(self, trace: str) -> None:
        self._log.write(LogEvent.TASK_FAILED, trace=trace)

    async def _stop(
        self, caller_server: WebServer, tasks: list[asyncio.Task[None]]
    ) -> None:
        """Release the pools' leases, then finish the requests in progress."""
        self._log.write(LogEvent.STOPPING)
        self._stopping = True
        for controller, _ in self._controllers.values():
            await controller.lease.release()
        await asyncio.sleep(self._settings.drain_notice_s)
        await caller_server.stop()
        await cancel_tasks(
            [*tasks, *(task for _, task in self._controllers.values())]
        )

    def _make_internal_server(
        self, name: str, address: str, app: Application
    ) -> WebServer:
        """Return the server of a listener that isn't for callers."""
        limits = self._settings.clients.make_internal_limits()
        report = report_clients(name, self._metrics, self._log)
        return WebServer(
            app, address, limits, report, memory=self._client_memory
        )

    def _make_ready_app(self) -> Application:
        app = make_app()
        add_route(app, "GET", "/readiness", self.handle_ready)
        return app

    def _make_link_app(
        self, store: PlatformStore, http: HttpClient
    ) -> Application:
        app = make_app(self._log)

        async def read_epoch(pool: str) -> int | None:
            return await read_holder_epoch(store, pool)

        HandoverApi(
            self._settings.name, self._find_lease, read_epoch, self._log
        ).install(app)
        HolderCheckApi(self._find_lease, http).install(app)
        JobPreviewApi(self._view, self._find_controller).install(app)
        serve_metrics(app, self._metrics)
        return app

    def _find_lease(self, pool: str) -> PoolLease | None:
        """Return the lease of a pool that this entry is a candidate for."""
        controller = self._find_controller(pool)
        return None if controller is None else controller.lease

    def _find_controller(self, pool: str) -> PoolController | None:
        """Return this entry's candidate for the role of a pool."""
        candidate = self._controllers.get(pool)
        return None if candidate is None else candidate[0]

    async def handle_ready(self, request: Request) -> Response:
        """Answer 200 if the balancer may send new callers here, else 503.

        An entry that can't reach the store would refuse every job, while
        entries of other zones may still be able to accept them.
        """
        ready = (
            not self._stopping
            and self._source.is_reachable()
            and self._view.configuration is not None
            and self._view.age_s(now_s()) < self._settings.ready_age_limit_s
        )
        return Response(200 if ready else 503)

    async def _start_controllers(
        self, catalog: PoolCatalog, store: PlatformStore, http: HttpClient
    ) -> None:
        """Start a controller candidate for each pool that may hold jobs.

        The jobs of a pool to which no queue is sent any more still run there.
        """
        terms = ControllerTerms(
            lease_limit_s=self._settings.lease_limit_s,
            config_age_limit_s=self._settings.zone_age_limit_s
            - FEED_OMISSION_S
            - ORDER_EXPIRY_S,
            keep_ended_s=self._settings.status_kept_s + LATE_SUBMISSION_S,
            workers=WorkerTerms(
                self._settings.save_s,
                self._settings.restore_s,
                self._settings.drain_s,
            ),
            learn_run_times=self._settings.learn_run_times,
            overtaking_limit_s=self._settings.overtaking_limit_s,
            share_by_customer=self._settings.share_by_customer,
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
            EntryCapacity(
                self._settings.core_share * self._settings.core_speed,
                self._settings.link_mbps,
            ),
        )
        while True:
            for pool in catalog.names() - self._controllers.keys():
                controller = PoolController(pool, parts)
                task = start_critical_task(controller.run(), self._log_failure)
                self._controllers[pool] = (controller, task)
            if self._view.confirmed_s is None:
                await self._view.wait_confirmed(POOLS_INTERVAL_S)
            else:
                await asyncio.sleep(POOLS_INTERVAL_S)


def run_entry(settings: Path) -> None:
    """Run an entry with the settings in a file."""
    checked = read_settings(settings, PoolEntrySettings)
    run_program(PoolEntry(checked, settings).run, "hickorywing-pool-entry")


def main() -> None:
    """Run the program with the settings file that the command line names."""
    run_entry(parse_settings_path())
