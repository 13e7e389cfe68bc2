"""``hickorywing-agent``: the one process beside each backend server.

An agent announces its backend server or worker, admits requests, runs gang
members, and competes for the controller role of its availability zone.
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

from hickorywing.backends import Announcement
from hickorywing.configuration import ConfigurationStore
from hickorywing.dispatch import DispatchServer
from hickorywing.dispatch import RevokeAnswer
from hickorywing.dispatch import RevokeRequest
from hickorywing.logs import get_logger
from hickorywing.mailbox import Mailbox
from hickorywing.mailbox import PynngMailbox
from hickorywing.members import MemberRunner
from hickorywing.messages import AgentInfo
from hickorywing.messages import ControllerHello
from hickorywing.messages import Envelope
from hickorywing.messages import Head
from hickorywing.messages import HeadPush
from hickorywing.messages import HeadSeen
from hickorywing.messages import Heartbeat
from hickorywing.messages import HeartbeatAck
from hickorywing.messages import MemberCommand
from hickorywing.metrics import Metrics
from hickorywing.policy.claims import AdmissionBook
from hickorywing.policy.permit import MemberPermit
from hickorywing.policy.register import ConfigurationRegister
from hickorywing.program import cancel_tasks
from hickorywing.program import run_program
from hickorywing.program import wait_for_stop
from hickorywing.settings import AgentSettings
from hickorywing.settings import read_settings
from hickorywing.table import HttpTable
from hickorywing.table import Table
from hickorywing.table import TableUnavailable
from hickorywing.timeline import Timeline
from hickorywing.web import answer_json
from hickorywing.web import WebServer
from hickorywing.workers import HttpWorker
from hickorywing.workers import Worker
from hickorywing.zonecontroller import ZoneController

__all__ = ["Agent", "main"]

MEMBER_DRAIN_S = 60.0
DRAIN_CHECK_S = 0.1
ENTRY_HEARD_S = 5.0


class Agent:
    """All parts of one agent, wired together over what it is given."""

    def __init__(
        self,
        settings: AgentSettings,
        incarnation: int,
        table: Table,
        mailbox: Mailbox,
        worker: Worker | None,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.clock = asyncio.get_running_loop().time
        self.metrics = metrics
        self.timeline = Timeline(settings.name)
        self.register = ConfigurationRegister()
        self.table = table
        self.worker = worker
        self.mailbox = mailbox
        self.leaving = False
        self.service = ""
        self._backend_seen_at = float("-inf")
        self._controller_at = ""
        self._entry_heard_at = float("-inf")
        self._controller_epoch = 0
        self._kick = asyncio.Event()
        limits = settings.backend
        slots = limits.slots if limits else 1
        connections = limits.connections if limits else 1
        self.dispatches = DispatchServer(
            AdmissionBook(self.incarnation, connections, slots),
            self.metrics,
            self.clock,
            self._refusal,
            lambda: self.register.head.version,
        )
        self.members = self._make_members(worker)
        self.controller = ZoneController(
            settings.zone,
            f"{settings.name}#{self.incarnation}",
            self.table,
            self.mailbox,
            settings.entries,
            self.register,
            self.timeline,
            self.metrics,
            random.Random(self.incarnation),
        )

    def _make_members(self, worker: Worker | None) -> MemberRunner | None:
        if worker is None or self.settings.worker is None:
            return None
        permit = MemberPermit(self.settings.zone, self.register)
        return MemberRunner(
            self.settings.worker.id,
            self.incarnation,
            worker,
            permit,
            self.mailbox,
            self.timeline,
            self.metrics,
            self.clock,
        )

    # HTTP

    def make_app(self) -> Application:
        """Return the HTTP interface of this agent."""
        app = Application()
        router = app.router

        @router.post("/dispatch")
        async def dispatch(request: Request) -> Response:
            return await self.dispatches.serve(request)

        @router.post("/revoke")
        async def revoke(request: Request) -> Response:
            wanted = msgspec.json.decode(
                await request.read() or b"", type=RevokeRequest
            )
            run = self.dispatches.revoke(
                wanted.dispatch_id, wanted.incarnation
            )
            return answer_json(200, RevokeAnswer(run))

        @router.post("/announce")
        async def announce(request: Request) -> Response:
            told = msgspec.json.decode(
                await request.read() or b"", type=Announcement
            )
            self._note_backend(told)
            return Response(204)

        @router.get("/healthz")
        async def healthz(request: Request) -> Response:
            return Response(503 if self.leaving else 200)

        @router.get("/metrics")
        async def metrics(request: Request) -> Response:
            content = Content(b"text/plain", self.metrics.render())
            return Response(200, None, content)

        @router.get("/timeline")
        async def timeline(request: Request) -> Response:
            return answer_json(200, self.timeline.events())

        return app

    def _note_backend(self, told: Announcement) -> None:
        if self.service != told.service:
            self.service = told.service
            self.dispatches.set_backend(told.url)
            self.timeline.record("backend announced", told.name, told.url)
            self._kick.set()
        self._backend_seen_at = self.clock()

    def _refusal(self) -> str:
        """Return why no request may run here, or nothing."""
        head = self.register.head
        if self.settings.zone in head.zones_out:
            return "zone out"
        if self.settings.name in head.draining:
            return "draining"
        return ""

    # Messages

    def _handle(self, envelope: Envelope) -> None:
        body = envelope.body
        if isinstance(body, HeartbeatAck):
            self._take_ack(body)
        elif isinstance(body, HeadPush):
            self._adopt(body.head, float("-inf"))
            seen = HeadSeen(self.settings.name, self.register.head.version)
            self.mailbox.send(envelope.reply_to, seen)
        elif isinstance(body, MemberCommand):
            if self.members is not None:
                self.members.handle(envelope, body)
        else:
            if isinstance(body, ControllerHello):
                self._note_controller(body)
            self.controller.handle(envelope)

    def _take_ack(self, ack: HeartbeatAck) -> None:
        confirmed_at = float("-inf")
        if ack.age_s is not None:
            confirmed_at = ack.sent_at - ack.age_s
        self._adopt(ack.head, confirmed_at)
        if ack.controller is not None:
            self._note_controller(ack.controller)
        if not ack.epoch:
            self._entry_heard_at = self.clock()
        elif self.members is not None and self._may_renew(ack):
            self.members.take_ack(ack)

    def _may_renew(self, ack: HeartbeatAck) -> bool:
        """Tell whether a controller's renewals count.

        One that cannot renew its own lease may be cut off from the table
        while a successor restarts its jobs. It is believed only as long as
        an entry is heard, since entries name the successor.
        """
        if ack.holds:
            return True
        return self.clock() - self._entry_heard_at < ENTRY_HEARD_S

    def _adopt(self, head: Head, confirmed_at: float) -> None:
        was_leaving = self._is_leaving()
        if self.register.adopt(head.to_policy(), confirmed_at):
            self.timeline.record(
                "configuration adopted", f"version {head.version}"
            )
        if self._is_leaving() != was_leaving:
            self._kick.set()

    def _note_controller(self, hello: ControllerHello) -> None:
        if hello.zone != self.settings.zone:
            return
        if hello.epoch < self._controller_epoch:
            return
        self._controller_epoch = hello.epoch
        if self.members is not None:
            self.members.permit.admit_epoch(hello.epoch)
        if hello.control != self._controller_at:
            self._controller_at = hello.control
            self._kick.set()

    def _is_leaving(self) -> bool:
        return self.leaving or (
            self.settings.name in self.register.head.draining
        )

    # Heartbeats

    def _info(self) -> AgentInfo:
        settings = self.settings
        fresh = self.clock() - self._backend_seen_at < 3.0
        limits = settings.backend
        return AgentInfo(
            settings.name,
            settings.zone,
            self.incarnation,
            self.mailbox.address,
            settings.listen,
            self.service if fresh else "",
            limits.slots if limits else 0,
            limits.connections if limits else 0,
            settings.worker.id if settings.worker else "",
        )

    def _beat(self) -> None:
        members = self.members.reports() if self.members else []
        epoch = self.members.permit.epoch if self.members else 0
        beat = Heartbeat(
            self._info(),
            self.clock(),
            self._is_leaving(),
            self.register.head.version,
            epoch,
            members,
        )
        bare = msgspec.structs.replace(beat, members=[])
        for address in self.settings.entries:
            self.mailbox.send(address, bare)
        if self._controller_at:
            self.mailbox.send(self._controller_at, beat)

    async def _beat_forever(self) -> None:
        while True:
            self._beat()
            self._kick.clear()
            try:
                async with asyncio.timeout(self.settings.heartbeat_s):
                    await self._kick.wait()
            except TimeoutError:
                continue

    # Life

    async def start(self) -> list[asyncio.Task[None]]:
        """Clear the worker, then start everything but the HTTP listener."""
        if self.members is not None:
            await self.members.clear_worker()
        await self._read_first_head()
        self.timeline.record("agent started", self.settings.name)
        tasks = [
            asyncio.create_task(self.mailbox.run(self._handle)),
            asyncio.create_task(self._beat_forever()),
            asyncio.create_task(self._run_controller()),
        ]
        if self.members is not None:
            tasks.append(asyncio.create_task(self.members.watch()))
        return tasks

    async def run(self) -> None:
        """Serve until a signal comes, then leave without cutting work."""
        web = WebServer(self.make_app(), self.settings.listen)
        await web.start()
        tasks = await self.start()
        await wait_for_stop()
        await self.leave()
        await cancel_tasks(tasks)
        await web.stop()
        await self.mailbox.finish()
        await self.dispatches.close()
        if self.worker is not None:
            await self.worker.close()
        await self.table.close()

    async def _run_controller(self) -> None:
        if self.settings.candidate:
            await self.controller.run()

    async def _read_first_head(self) -> None:
        try:
            read = await ConfigurationStore(self.table).read_head()
        except (TableUnavailable, msgspec.MsgspecError) as error:
            # The entries' messages bring the head as well.
            self.metrics.count("first_head_unread")
            get_logger().warning("first head unread", error=repr(error))
            return
        self.register.adopt(read.head, float("-inf"))

    async def leave(self) -> None:
        """Say so, refuse new work, finish what is in progress."""
        self.timeline.record("agent leaving", self.settings.name)
        self.leaving = True
        if self.members is not None:
            self.members.permit.leaving = True
        self._kick.set()
        await asyncio.sleep(self.settings.drain_notice_s)
        await self.dispatches.drain()
        await self._drain_members()
        await self.controller.stop()
        self.timeline.record("agent left", self.settings.name)

    async def _drain_members(self) -> None:
        """Wait until the controller has moved this worker's tasks away."""
        if self.members is None:
            return
        deadline = self.clock() + MEMBER_DRAIN_S
        permit = self.members.permit
        while permit.members and self.clock() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_CHECK_S)


@dataclass
class AgentCommand:
    """Run the agent beside one backend server or worker."""

    settings: Annotated[Path, cappa.Arg(help="Settings file.")]


async def run_agent(path: Path) -> None:
    """Run an agent from its settings file."""
    settings = read_settings(path, AgentSettings)
    metrics = Metrics(settings.name)
    worker = HttpWorker(settings.worker.url) if settings.worker else None
    agent = Agent(
        settings,
        time.time_ns() // 1_000_000,
        HttpTable(settings.table),
        PynngMailbox(settings.name, settings.control, metrics, settings.tls),
        worker,
        metrics,
    )
    await agent.run()


def main() -> None:
    """Run the program."""
    command = cappa.parse(AgentCommand)
    run_program(lambda: run_agent(command.settings), "hickorywing-agent")
