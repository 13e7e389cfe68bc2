"""``hickorywing-entry``: HTTP for callers and operators.

An entry keeps nothing that lasts: requests are routed to backend servers, jobs
and configuration are rows of the platform's table, and what it knows of agents
and controllers it hears from their messages.
"""

import asyncio
from dataclasses import dataclass
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

from hickorywing.configapi import ConfigurationApi
from hickorywing.configuration import ConfigurationStore
from hickorywing.configwatch import ConfigurationWatch
from hickorywing.dispatch import hop_headers
from hickorywing.filters import AuthenticateFilter
from hickorywing.filters import CountFilter
from hickorywing.filters import find_caller
from hickorywing.filters import install_filters
from hickorywing.filters import LimitFilter
from hickorywing.filters import Role
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient
from hickorywing.jobapi import forbid
from hickorywing.jobapi import JobApi
from hickorywing.keyed import KeyedRequests
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
from hickorywing.policy.homes import choose_home
from hickorywing.policy.homes import ZoneDigest
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
from hickorywing.web import WebServer

__all__ = ["Entry", "main"]

SERVICE_PREFIX = "/v1/services/"
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
EXPIRE_EVERY_S = 0.5
PEER_BEAT_S = 1.0
GATHER_TIMEOUT_S = 2.0
CONTROLLER_FRESH_S = 5.0
SETTLE_PATIENCE_S = 10.0


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
    """What this entry knows of the whole system."""

    entry: str
    config_version: int
    config_confirmed_s_ago: float | None
    zones: list[ZoneStatus]
    agents: list[BackendStatus]


class Entry:
    """All parts of one entry, wired together over what it is given."""

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
        self._controller_heard: dict[str, float] = {}
        self._checkers: dict[tuple[int, int], dict[str, ZoneScheduler]] = {}
        self.leaving = False
        self.http = HttpClient()
        self.router = RequestRouter(
            settings.zone,
            self.metrics,
            self.clock,
            random.Random(self.incarnation),
            self.http,
        )
        self.keyed = KeyedRequests(
            f"{settings.name}#{self.incarnation}",
            self.table,
            self.router,
            self.metrics,
            self.clock,
        )
        self.watch = ConfigurationWatch(
            ConfigurationStore(self.table),
            self.mailbox,
            self._present,
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
                    lambda: self.watch.documents.rules,
                    self.settings.bootstrap_operator_sha256,
                ),
            ],
        )
        ConfigurationApi(self.watch, self.metrics, self.timeline).add_routes(
            app
        )
        JobApi(
            self.table,
            self.metrics,
            self._check_job,
            self._choose_zone,
            self._notify,
        ).add_routes(app)
        add_route(app, "GET", "/healthz", self._healthz)
        add_route(app, "GET", "/metrics", self._metrics)
        add_route(app, "GET", "/v1/status", self._status)
        add_route(app, "GET", "/v1/timeline", self._timeline)
        add_route(app, "GET", "/v1/events", self._own_events)
        for method in METHODS:
            add_route(app, method, SERVICE_PREFIX + "*", self._serve)
        return app

    async def _healthz(self, request: Request) -> Response:
        return Response(503 if self.leaving else 200)

    async def _metrics(self, request: Request) -> Response:
        content = Content(b"text/plain", self.metrics.render())
        return Response(200, None, content)

    async def _serve(self, request: Request, tail: str) -> Response:
        """Route a caller's request to a service."""
        caller = find_caller(request)
        target = request.url.value.decode()[len(SERVICE_PREFIX) :]
        service, _, path = target.partition("/")
        said = find_header(request.headers, b"hickorywing-idempotent")
        routed = RoutedRequest(
            service,
            request.method,
            "/" + path,
            tuple(hop_headers(request.headers)),
            request.headers.get_first(b"content-type"),
            await request.read() or b"",
            self._timeout_of(request),
            said == "true",
        )
        key = find_header(request.headers, b"idempotency-key")
        if key is None:
            result = await self.router.route(routed)
        else:
            result = await self.keyed.handle(caller.name, key, routed)
        return result.to_response()

    def _timeout_of(self, request: Request) -> float:
        said = find_header(request.headers, b"hickorywing-timeout-s") or ""
        limit = self.settings.request_timeout_s
        try:
            return max(0.01, min(limit, float(said)))
        except ValueError:
            return limit

    async def _status(self, request: Request) -> Response:
        if find_caller(request).role is not Role.OPERATOR:
            return forbid("operators only")
        register = self.watch.register
        ago = register.confirmed_ago(self.clock())
        out = register.head.zones_out
        zones = []
        for zone in self.watch.documents.inventory.zones:
            hello = self._fresh_controller(zone)
            count = sum(1 for info in self._present() if info.zone == zone)
            zones.append(
                ZoneStatus(
                    zone,
                    zone not in out,
                    hello.name if hello else "",
                    hello.free if hello else 0,
                    hello.queued if hello else 0,
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
                None if ago == float("inf") else round(ago, 3),
                zones,
                agents,
            ),
        )

    async def _own_events(self, request: Request) -> Response:
        if find_caller(request).role is not Role.OPERATOR:
            return forbid("operators only")
        return answer_json(200, self.timeline.events())

    async def _timeline(self, request: Request) -> Response:
        """Return the merged events of all processes that answer."""
        if find_caller(request).role is not Role.OPERATOR:
            return forbid("operators only")
        token = find_header(request.headers, b"authorization") or ""
        parts = await asyncio.gather(
            *(self._gather(info, token) for info in self._present())
        )
        merged = merge_events([self.timeline.events(), *parts])
        return answer_json(200, merged)

    async def _gather(self, info: AgentInfo, token: str) -> list[Event]:
        path = "/v1/events" if info.role == "entry" else "/timeline"
        try:
            answer = await self.http.call(
                "GET",
                f"http://{info.http}{path}",
                GATHER_TIMEOUT_S,
                headers={"Authorization": token},
            )
            return msgspec.json.decode(answer.body, type=list[Event])
        except (CallError, msgspec.MsgspecError) as error:
            # One process that can't be read must not hide the others' events.
            self.metrics.count("timelines_unread")
            get_logger().warning(
                "timeline unread", agent=info.name, error=repr(error)
            )
            return []

    # Decisions about jobs

    def _check_job(self, spec: JobSpec) -> str | None:
        """Return why a job can run in no zone, or ``None``."""
        reasons = []
        for zone, checker in self._zone_checkers().items():
            refusal = checker.check(spec)
            if refusal is None:
                return None
            reasons.append(f"{zone}: {refusal.reason}")
        return "; ".join(reasons) or "the inventory has no zone"

    def _zone_checkers(self) -> dict[str, ZoneScheduler]:
        head = self.watch.register.head
        versions = (head.inventory_version, head.rules_version)
        known = self._checkers.get(versions)
        if known is not None:
            return known
        documents = self.watch.documents
        made: dict[str, ZoneScheduler] = {}
        for zone in documents.inventory.zones:
            checker = ZoneScheduler()
            for worker in documents.inventory.specs(zone):
                checker.add_worker(worker)
            checker.set_rules(documents.rules.policy_customers(), [])
            made[zone] = checker
        self._checkers = {versions: made}
        return made

    def _choose_zone(self, spec: JobSpec) -> str | None:
        documents = self.watch.documents
        out = self.watch.register.head.zones_out
        allotted = allot_guarantees(
            documents.rules, documents.inventory
        ).value_or([])
        digests = []
        for zone, checker in self._zone_checkers().items():
            if checker.check(spec) is not None:
                continue
            hello = self._fresh_controller(zone)
            customers = [
                item.customer for item in allotted if item.zone == zone
            ]
            digests.append(
                ZoneDigest(
                    zone,
                    zone not in out,
                    hello.free if hello else 0,
                    hello.queued if hello else 1,
                    hello.largest_idle if hello else 0,
                    max(1, checker.cells.counts.idle[0]),
                    frozenset(customers),
                )
            )
        return choose_home(spec, digests, self.settings.zone)

    def _fresh_controller(self, zone: str) -> ControllerHello | None:
        heard = self._controller_heard.get(zone, float("-inf"))
        if self.clock() - heard > CONTROLLER_FRESH_S:
            return None
        return self.controllers.get(zone)

    def _notify(self, zone: str, job_id: str) -> None:
        hello = self._fresh_controller(zone)
        if hello is not None:
            self.mailbox.send(hello.control, JobChanged(job_id))

    # Messages

    def _handle(self, envelope: Envelope) -> None:
        body = envelope.body
        if isinstance(body, Heartbeat):
            self._hear_beat(body, envelope.reply_to)
        elif isinstance(body, HeadSeen):
            self.watch.note_seen(body.name, body.version)
        elif isinstance(body, HeadPush):
            self.watch.adopt(body.head.to_policy(), float("-inf"))
            seen = HeadSeen(
                self.settings.name, self.watch.register.head.version
            )
            self.mailbox.send(envelope.reply_to, seen)
        elif isinstance(body, ControllerHello):
            self._hear_controller(body)
        elif isinstance(body, HeartbeatAck):
            self.watch.adopt(body.head.to_policy(), float("-inf"))

    def _hear_beat(self, beat: Heartbeat, reply_to: str) -> None:
        info = beat.info
        known = self.agents.get(info.name)
        if known is not None and info.incarnation < known.incarnation:
            return
        changed = self.membership.heard(
            info.name, info.zone, info.incarnation, beat.leaving, self.clock()
        )
        self.agents[info.name] = info
        if changed is not None:
            self.timeline.record(f"{info.role} {changed}", info.name)
        self.watch.note_seen(info.name, beat.config_version)
        self._use_agent(info)
        self.mailbox.send(reply_to, self._answer_beat(beat))

    def _use_agent(self, info: AgentInfo) -> None:
        head = self.watch.register.head
        usable = (
            self.membership.takes_work(info.name)
            and info.zone not in head.zones_out
            and info.name not in head.draining
        )
        self.router.set_agent(info, usable)

    def _answer_beat(self, beat: Heartbeat) -> HeartbeatAck:
        register = self.watch.register
        age = register.confirmed_ago(self.clock())
        return HeartbeatAck(
            beat.sent_at,
            Head.from_policy(register.head),
            None if age == float("inf") else age,
            controller=self._fresh_controller(beat.info.zone),
        )

    def _hear_controller(self, hello: ControllerHello) -> None:
        known = self.controllers.get(hello.zone)
        if known is not None and hello.epoch < known.epoch:
            return
        if known is None or known.name != hello.name:
            self.timeline.record("controller heard", hello.zone, hello.name)
        self.controllers[hello.zone] = hello
        self._controller_heard[hello.zone] = self.clock()
        fresh = [
            other
            for other in map(self._fresh_controller, self.controllers)
            if other is not None
        ]
        self.mailbox.send(hello.control, KnownControllers(fresh))
        if hello.wants_agents:
            agents = [
                info
                for info in self._present()
                if info.zone == hello.zone and info.role == "agent"
            ]
            self.mailbox.send(hello.control, PresentAgents(agents))

    def _present(self) -> list[AgentInfo]:
        """Return every process that was heard of late."""
        present = []
        for info in self.agents.values():
            member = self.membership.members.get(info.name)
            if member is not None and member.presence is not Presence.LOST:
                present.append(info)
        return present

    async def _expire_forever(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_EVERY_S)
            for member in self.membership.expire(self.clock()):
                self.timeline.record(f"agent {member.presence}", member.name)
                self.router.remove_agent(member.name)
                if member.presence is Presence.LOST:
                    self.agents.pop(member.name, None)
                    self.membership.forget(member.name)
                    self.watch.forget(member.name)
            for info in list(self.agents.values()):
                self._use_agent(info)

    async def _beat_forever(self) -> None:
        while True:
            info = AgentInfo(
                self.settings.name,
                self.settings.zone,
                self.incarnation,
                self.mailbox.address,
                self.settings.listen,
                role="entry",
            )
            beat = Heartbeat(
                info,
                self.clock(),
                self.leaving,
                self.watch.register.head.version,
                0,
            )
            for address in self.settings.entries:
                if address != self.mailbox.address:
                    self.mailbox.send(address, beat)
            await asyncio.sleep(PEER_BEAT_S)

    # Life

    def start(self) -> list[asyncio.Task[None]]:
        """Start everything but the HTTP listener."""
        self.timeline.record("entry started", self.settings.name)
        return [
            asyncio.create_task(self.mailbox.run(self._handle)),
            asyncio.create_task(self.watch.run()),
            asyncio.create_task(self._expire_forever()),
            asyncio.create_task(self._beat_forever()),
        ]

    async def run(self) -> None:
        """Serve until a signal comes, then leave without cutting work."""
        web = WebServer(self.make_app(), self.settings.listen)
        tasks = self.start()
        await web.start()
        await wait_for_stop()
        self.timeline.record("entry leaving", self.settings.name)
        self.leaving = True
        await asyncio.sleep(self.settings.drain_notice_s)
        await web.stop()
        await self.keyed.finish(SETTLE_PATIENCE_S)
        await cancel_tasks(tasks)
        await self.http.close()
        await self.mailbox.finish()
        await self.table.close()


@dataclass
class EntryCommand:
    """Serve callers and operators over HTTP."""

    settings: Annotated[Path, cappa.Arg(help="Settings file.")]


async def run_entry(path: Path) -> None:
    """Run an entry from its settings file."""
    settings = read_settings(path, EntrySettings)
    metrics = Metrics(settings.name)
    entry = Entry(
        settings,
        time.time_ns() // 1_000_000,
        HttpTable(settings.table),
        PynngMailbox(settings.name, settings.control, metrics, settings.tls),
        metrics,
    )
    await entry.run()


def main() -> None:
    """Run the program."""
    command = cappa.parse(EntryCommand)
    run_program(lambda: run_entry(command.settings), "hickorywing-entry")
