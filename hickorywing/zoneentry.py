"""The program ``hickorywing-entry``: HTTP for callers and operators.

An entry keeps no durable state. It routes requests to backend servers, stores
jobs and configuration as rows of the platform's table, and learns of agents
and controllers from their messages.
"""

import asyncio
from dataclasses import dataclass
import functools
from pathlib import Path
import random
import time
from typing import Annotated

from blacksheep import Application
from blacksheep import Content
from blacksheep import Request
from blacksheep import Response
import cappa
import msgspec

from hickorywing.clientlimits import RequestLimits
from hickorywing.configapi import ConfigurationApi
from hickorywing.configstore import ConfigurationStore
from hickorywing.configwatch import ConfigurationWatch
from hickorywing.decoding import decode_json
from hickorywing.decoding import DecodingError
from hickorywing.dispatch import remove_hop_headers
from hickorywing.filters import AuthenticateFilter
from hickorywing.filters import CountFilter
from hickorywing.filters import get_caller
from hickorywing.filters import install_filters
from hickorywing.filters import LimitFilter
from hickorywing.filters import Role
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient
from hickorywing.idempotency import IdempotentRequests
from hickorywing.jobapi import answer_forbidden
from hickorywing.jobapi import JobApi
from hickorywing.logs import get_logger
from hickorywing.mailbox import Mailbox
from hickorywing.mailbox import PynngMailbox
from hickorywing.messages import AgentInfo
from hickorywing.messages import ControllerHello
from hickorywing.messages import Envelope
from hickorywing.messages import Head
from hickorywing.messages import HeadPush
from hickorywing.messages import HeadSeen
from hickorywing.messages import Heartbeat
from hickorywing.messages import HeartbeatAck
from hickorywing.messages import JobChanged
from hickorywing.messages import KnownControllers
from hickorywing.messages import PresentAgents
from hickorywing.metrics import Metrics
from hickorywing.policy.homezones import choose_home
from hickorywing.policy.homezones import ZoneSummary
from hickorywing.policy.membership import Membership
from hickorywing.policy.membership import Presence
from hickorywing.policy.model import JobSpec
from hickorywing.policy.scheduler import ZoneScheduler
from hickorywing.program import cancel_tasks
from hickorywing.program import run_program
from hickorywing.program import wait_for_stop
from hickorywing.routing import RequestRouter
from hickorywing.routing import RoutedRequest
from hickorywing.rules import allot_guarantees
from hickorywing.settings import EntrySettings
from hickorywing.settings import read_settings
from hickorywing.table import HttpTable
from hickorywing.table import Table
from hickorywing.timeline import Event
from hickorywing.timeline import merge_events
from hickorywing.timeline import Timeline
from hickorywing.web import add_route
from hickorywing.web import answer_json
from hickorywing.web import find_header
from hickorywing.web import report_clients
from hickorywing.web import WebServer
from hickorywing.webexchange import reserve_memory

__all__ = ["ZoneEntry", "main"]

SERVICE_PREFIX = "/v1/services/"
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
EXPIRE_INTERVAL_S = 0.5
PEER_HEARTBEAT_INTERVAL_S = 1.0
EVENTS_TIMEOUT_S = 2.0
# A controller whose last hello is older than this counts as unknown.
CONTROLLER_TIMEOUT_S = 5.0
# How long a stopping entry waits for claims that are still to be settled.
SETTLE_TIMEOUT_S = 10.0


class ZoneStatus(msgspec.Struct):
    """One zone as this entry sees it."""

    zone: str
    is_in: bool
    controller: str
    free_accelerators: int
    jobs_queued: int
    agents: int


class BackendStatus(msgspec.Struct):
    """One agent and its backend server as this entry sees them."""

    name: str
    zone: str
    presence: str
    service: str
    worker: str


class StatusAnswer(msgspec.Struct):
    """The state of the whole system as this entry knows it.

    ``config_confirmed_s_ago`` is how many seconds ago the configuration was
    last known to be the newest, or null if that never was the case.
    """

    entry: str
    config_version: int
    config_confirmed_s_ago: float | None
    zones: list[ZoneStatus]
    agents: list[BackendStatus]


class ZoneEntry:
    """Creates and connects the parts of one entry.

    The table and the mailbox are passed in, so that tests and simulations can
    replace them.
    """

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: int,
        table: Table,
        mailbox: Mailbox,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.clock = asyncio.get_running_loop().time
        self.metrics = metrics
        self.timeline = Timeline(settings.name)
        self.table = table
        self.mailbox = mailbox
        self.membership = Membership()
        self.agents: dict[str, AgentInfo] = {}
        self.controllers: dict[str, ControllerHello] = {}
        self._hello_received_at: dict[str, float] = {}
        self._checkers_by_versions: dict[
            tuple[int, int], dict[str, ZoneScheduler]
        ] = {}
        self.leaving = False
        self.http = HttpClient(settings.clients.answer_bytes)
        self.router = RequestRouter(
            settings.zone,
            self.metrics,
            self.clock,
            random.Random(self.incarnation),
            self.http,
        )
        self.idempotent_requests = IdempotentRequests(
            f"{settings.name}#{self.incarnation}",
            self.table,
            self.router,
            self.metrics,
            self.clock,
        )
        self.config_watch = ConfigurationWatch(
            ConfigurationStore(self.table),
            self.mailbox,
            self._list_present,
            settings.config_poll_s,
            self.metrics,
            self.timeline,
            self.clock,
        )

    # HTTP

    def make_app(self) -> Application:
        """Return the HTTP interface of this entry."""
        app = Application()
        install_filters(
            app,
            [
                CountFilter(self.metrics),
                LimitFilter(self.metrics, self.settings.max_body_bytes),
                AuthenticateFilter(
                    self.metrics,
                    lambda: self.config_watch.documents.rules,
                    self.settings.bootstrap_operator_sha256,
                ),
            ],
        )
        ConfigurationApi(
            self.config_watch, self.metrics, self.timeline
        ).add_routes(app)
        JobApi(
            self.table,
            self.metrics,
            self._check_job,
            self._choose_zone,
            self._notify_controller,
        ).add_routes(app)
        add_route(app, "GET", "/healthz", self._handle_health)
        add_route(app, "GET", "/metrics", self._handle_metrics)
        add_route(app, "GET", "/v1/status", self._handle_status)
        add_route(app, "GET", "/v1/timeline", self._handle_timeline)
        add_route(app, "GET", "/v1/events", self._handle_own_events)
        for method in METHODS:
            add_route(
                app, method, SERVICE_PREFIX + "*", self._handle_service_request
            )
        return app

    async def _handle_health(self, request: Request) -> Response:
        return Response(503 if self.leaving else 200)

    async def _handle_metrics(self, request: Request) -> Response:
        content = Content(b"text/plain", self.metrics.render())
        return Response(200, None, content)

    async def _handle_service_request(
        self, request: Request, tail: str
    ) -> Response:
        """Route a caller's request to a service and return the answer."""
        caller = get_caller(request)
        target = request.url.value.decode()[len(SERVICE_PREFIX) :]
        service, _, path = target.partition("/")
        declared_idempotent = find_header(
            request.headers, b"hickorywing-idempotent"
        )
        routed = RoutedRequest(
            service,
            request.method,
            "/" + path,
            tuple(remove_hop_headers(request.headers)),
            request.headers.get_first(b"content-type"),
            await request.read() or b"",
            self._parse_timeout(request),
            declared_idempotent == "true",
            functools.partial(reserve_memory, request.scope),
        )
        key = find_header(request.headers, b"idempotency-key")
        if key is None:
            result = await self.router.route(routed)
        else:
            result = await self.idempotent_requests.handle(
                caller.name, key, routed
            )
        return result.to_response()

    def _parse_timeout(self, request: Request) -> float:
        requested = (
            find_header(request.headers, b"hickorywing-timeout-s") or ""
        )
        limit = self.settings.request_timeout_s
        try:
            return max(0.01, min(limit, float(requested)))
        except ValueError:
            return limit

    async def _handle_status(self, request: Request) -> Response:
        if get_caller(request).role is not Role.OPERATOR:
            return answer_forbidden("operators only")
        register = self.config_watch.register
        confirmed_s_ago = register.confirmed_ago(self.clock())
        zones_out = register.head.zones_out
        zones = []
        for zone in self.config_watch.documents.inventory.zones:
            controller = self._get_fresh_controller(zone)
            count = sum(
                1 for info in self._list_present() if info.zone == zone
            )
            zones.append(
                ZoneStatus(
                    zone,
                    zone not in zones_out,
                    controller.name if controller else "",
                    controller.free if controller else 0,
                    controller.queued if controller else 0,
                    count,
                )
            )
        agents = [
            BackendStatus(
                info.name,
                info.zone,
                self.membership.members[info.name].presence,
                info.service,
                info.worker_id,
            )
            for info in sorted(
                self.agents.values(), key=lambda item: item.name
            )
            if info.name in self.membership.members
        ]
        return answer_json(
            200,
            StatusAnswer(
                self.settings.name,
                register.head.version,
                None
                if confirmed_s_ago == float("inf")
                else round(confirmed_s_ago, 3),
                zones,
                agents,
            ),
        )

    async def _handle_own_events(self, request: Request) -> Response:
        if get_caller(request).role is not Role.OPERATOR:
            return answer_forbidden("operators only")
        return answer_json(200, self.timeline.events())

    async def _handle_timeline(self, request: Request) -> Response:
        """Return the events of this entry and of all processes that answer."""
        if get_caller(request).role is not Role.OPERATOR:
            return answer_forbidden("operators only")
        token = find_header(request.headers, b"authorization") or ""
        parts = await asyncio.gather(
            *(self._fetch_events(info, token) for info in self._list_present())
        )
        merged = merge_events([self.timeline.events(), *parts])
        return answer_json(200, merged)

    async def _fetch_events(self, info: AgentInfo, token: str) -> list[Event]:
        path = "/v1/events" if info.role == "entry" else "/timeline"
        try:
            answer = await self.http.call(
                "GET",
                f"http://{info.http}{path}",
                EVENTS_TIMEOUT_S,
                headers={"Authorization": token},
            )
            return decode_json(answer.body, list[Event])
        except (CallError, DecodingError) as error:
            # A process that can't be read must not hide the others' events.
            self.metrics.count("timelines_unread")
            get_logger().warning(
                "timeline unread", agent=info.name, error=repr(error)
            )
            return []

    # Decisions about jobs

    def _check_job(self, spec: JobSpec) -> str | None:
        """Return why the job can't run in any zone, ``None`` if it can."""
        reasons = []
        for zone, checker in self._get_zone_checkers().items():
            refusal = checker.check(spec)
            if refusal is None:
                return None
            reasons.append(f"{zone}: {refusal.reason}")
        return "; ".join(reasons) or "the inventory has no zone"

    def _get_zone_checkers(self) -> dict[str, ZoneScheduler]:
        head = self.config_watch.register.head
        versions = (head.inventory_version, head.rules_version)
        known = self._checkers_by_versions.get(versions)
        if known is not None:
            return known
        documents = self.config_watch.documents
        checkers: dict[str, ZoneScheduler] = {}
        for zone in documents.inventory.zones:
            checker = ZoneScheduler()
            for worker in documents.inventory.worker_specs(zone):
                checker.add_worker(worker)
            checker.set_rules(documents.rules.policy_customers(), [])
            checkers[zone] = checker
        self._checkers_by_versions = {versions: checkers}
        return checkers

    def _choose_zone(self, spec: JobSpec) -> str | None:
        documents = self.config_watch.documents
        zones_out = self.config_watch.register.head.zones_out
        allotted = allot_guarantees(
            documents.rules, documents.inventory
        ).value_or([])
        summaries = []
        for zone, checker in self._get_zone_checkers().items():
            if checker.check(spec) is not None:
                continue
            controller = self._get_fresh_controller(zone)
            customers = [
                item.customer for item in allotted if item.zone == zone
            ]
            summaries.append(
                ZoneSummary(
                    zone,
                    zone not in zones_out,
                    controller.free if controller else 0,
                    controller.queued if controller else 1,
                    controller.largest_idle if controller else 0,
                    max(1, checker.cells.counts.idle[0]),
                    frozenset(customers),
                )
            )
        return choose_home(spec, summaries, self.settings.zone)

    def _get_fresh_controller(self, zone: str) -> ControllerHello | None:
        received_at = self._hello_received_at.get(zone, float("-inf"))
        if self.clock() - received_at > CONTROLLER_TIMEOUT_S:
            return None
        return self.controllers.get(zone)

    def _notify_controller(self, zone: str, job_id: str) -> None:
        hello = self._get_fresh_controller(zone)
        if hello is not None:
            self.mailbox.send(hello.control, JobChanged(job_id))

    # Messages

    def _handle_message(self, envelope: Envelope) -> None:
        body = envelope.body
        if isinstance(body, Heartbeat):
            self._handle_heartbeat(body, envelope.reply_to)
        elif isinstance(body, HeadSeen):
            self.config_watch.record_confirmed(body.name, body.version)
        elif isinstance(body, HeadPush):
            self.config_watch.adopt(body.head.to_policy(), float("-inf"))
            seen = HeadSeen(
                self.settings.name, self.config_watch.register.head.version
            )
            self.mailbox.send(envelope.reply_to, seen)
        elif isinstance(body, ControllerHello):
            self._handle_controller_hello(body)
        elif isinstance(body, HeartbeatAck):
            self.config_watch.adopt(body.head.to_policy(), float("-inf"))

    def _handle_heartbeat(self, heartbeat: Heartbeat, reply_to: str) -> None:
        info = heartbeat.info
        known = self.agents.get(info.name)
        if known is not None and info.incarnation < known.incarnation:
            return
        changed = self.membership.heard(
            info.name,
            info.zone,
            info.incarnation,
            heartbeat.leaving,
            self.clock(),
        )
        self.agents[info.name] = info
        if changed is not None:
            self.timeline.record(f"{info.role} {changed}", info.name)
        self.config_watch.record_confirmed(info.name, heartbeat.config_version)
        self._update_router(info)
        self.mailbox.send(reply_to, self._make_heartbeat_ack(heartbeat))

    def _update_router(self, info: AgentInfo) -> None:
        head = self.config_watch.register.head
        usable = (
            self.membership.takes_work(info.name)
            and info.zone not in head.zones_out
            and info.name not in head.draining
        )
        self.router.set_agent(info, usable)

    def _make_heartbeat_ack(self, heartbeat: Heartbeat) -> HeartbeatAck:
        register = self.config_watch.register
        confirmed_s_ago = register.confirmed_ago(self.clock())
        return HeartbeatAck(
            heartbeat.sent_at,
            Head.from_policy(register.head),
            None if confirmed_s_ago == float("inf") else confirmed_s_ago,
            controller=self._get_fresh_controller(heartbeat.info.zone),
        )

    def _handle_controller_hello(self, hello: ControllerHello) -> None:
        known = self.controllers.get(hello.zone)
        if known is not None and hello.epoch < known.epoch:
            return
        if known is None or known.name != hello.name:
            self.timeline.record("controller heard", hello.zone, hello.name)
        self.controllers[hello.zone] = hello
        self._hello_received_at[hello.zone] = self.clock()
        controllers = [
            other
            for other in map(self._get_fresh_controller, self.controllers)
            if other is not None
        ]
        self.mailbox.send(hello.control, KnownControllers(controllers))
        if hello.wants_agents:
            agents = [
                info
                for info in self._list_present()
                if info.zone == hello.zone and info.role == "agent"
            ]
            self.mailbox.send(hello.control, PresentAgents(agents))

    def _list_present(self) -> list[AgentInfo]:
        """Return the processes that are not lost, by their heartbeats."""
        present = []
        for info in self.agents.values():
            member = self.membership.members.get(info.name)
            if member is not None and member.presence is not Presence.LOST:
                present.append(info)
        return present

    async def _expire_members(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            for member in self.membership.expire(self.clock()):
                self.timeline.record(f"agent {member.presence}", member.name)
                self.router.remove_agent(member.name)
                if member.presence is Presence.LOST:
                    self.agents.pop(member.name, None)
                    self.membership.forget(member.name)
                    self.config_watch.forget(member.name)
            for info in list(self.agents.values()):
                self._update_router(info)

    async def _send_heartbeats(self) -> None:
        while True:
            info = AgentInfo(
                self.settings.name,
                self.settings.zone,
                self.incarnation,
                self.mailbox.address,
                self.settings.listen,
                role="entry",
            )
            heartbeat = Heartbeat(
                info,
                self.clock(),
                self.leaving,
                self.config_watch.register.head.version,
                0,
            )
            for address in self.settings.entries:
                if address != self.mailbox.address:
                    self.mailbox.send(address, heartbeat)
            await asyncio.sleep(PEER_HEARTBEAT_INTERVAL_S)

    # Start and stop

    def start(self) -> list[asyncio.Task[None]]:
        """Start the background tasks, but not the HTTP listener."""
        self.timeline.record("entry started", self.settings.name)
        return [
            asyncio.create_task(self.mailbox.run(self._handle_message)),
            asyncio.create_task(self.config_watch.run()),
            asyncio.create_task(self._expire_members()),
            asyncio.create_task(self._send_heartbeats()),
        ]

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the requests in progress.

        The health check turns to 503 first; the listener closes
        ``drain_notice_s`` seconds later.
        """
        settings = self.settings
        web = WebServer(
            self.make_app(),
            settings.listen,
            settings.clients.make_limits(),
            report_clients("listen", self.metrics),
            lambda: RequestLimits(body_bytes=settings.max_body_bytes),
        )
        tasks = self.start()
        await web.start()
        await wait_for_stop()
        self.timeline.record("entry leaving", self.settings.name)
        self.leaving = True
        await asyncio.sleep(self.settings.drain_notice_s)
        await web.stop()
        await self.idempotent_requests.finish(SETTLE_TIMEOUT_S)
        await cancel_tasks(tasks)
        await self.http.close()
        await self.mailbox.finish()
        await self.table.close()


@dataclass
class EntryCommand:
    """Serve callers and operators over HTTP."""

    settings: Annotated[Path, cappa.Arg(help="Settings file.")]


async def run_entry(path: Path) -> None:
    """Run an entry with the settings in a file."""
    settings = read_settings(path, EntrySettings)
    metrics = Metrics(settings.name)
    entry = ZoneEntry(
        settings,
        time.time_ns() // 1_000_000,
        HttpTable(settings.table),
        PynngMailbox(
            settings.name,
            settings.control,
            metrics,
            settings.tls,
            settings.clients.message_bytes,
        ),
        metrics,
    )
    await entry.run()


def main() -> None:
    """Run the program with the arguments of the command line."""
    command = cappa.parse(EntryCommand)
    run_program(lambda: run_entry(command.settings), "hickorywing-entry")
