"""The program ``hickorywing-agent``: runs beside a backend server or worker.

An agent announces its backend server or worker to the entries, admits
requests, runs gang members, and competes for the controller role of its
availability zone.
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

from hickorywing.backends import BackendAnnouncement
from hickorywing.configstore import ConfigurationStore
from hickorywing.decoding import decode_json
from hickorywing.dispatch import DispatchServer
from hickorywing.dispatch import RevokeAnswer
from hickorywing.dispatch import RevokeRequest
from hickorywing.httpclient import HttpClient
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
from hickorywing.policy.claims import AdmissionLog
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
from hickorywing.web import report_clients
from hickorywing.web import WebServer
from hickorywing.zonecontroller import ZoneController
from hickorywing.zoneworker import HttpWorker
from hickorywing.zoneworker import Worker

__all__ = ["ZoneAgent", "main"]

MEMBER_DRAIN_TIMEOUT_S = 60.0
DRAIN_CHECK_INTERVAL_S = 0.1
# If no entry has answered a heartbeat for this long, none can be relied on to
# name a new controller.
ENTRY_TIMEOUT_S = 5.0


class ZoneAgent:
    """Creates and connects the parts of one agent.

    The table, the mailbox and the worker are passed in, so that tests and
    simulations can replace them.
    """

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
        self._backend_announced_at = float("-inf")
        self._controller_address = ""
        self._entry_answered_at = float("-inf")
        self._controller_epoch = 0
        self._heartbeat_due = asyncio.Event()
        limits = settings.backend
        slots = limits.slots if limits else 1
        connections = limits.connections if limits else 1
        self.dispatches = DispatchServer(
            AdmissionLog(self.incarnation, connections, slots),
            self.metrics,
            self.clock,
            self._get_refusal,
            lambda: self.register.head.version,
            HttpClient(settings.clients.answer_bytes),
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
            body = await request.read() or b""
            revocation = decode_json(body, RevokeRequest)
            run = self.dispatches.revoke(
                revocation.dispatch_id, revocation.incarnation
            )
            return answer_json(200, RevokeAnswer(run))

        @router.post("/announce")
        async def announce(request: Request) -> Response:
            body = await request.read() or b""
            self._record_backend(decode_json(body, BackendAnnouncement))
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

    def _record_backend(self, announcement: BackendAnnouncement) -> None:
        if self.service != announcement.service:
            self.service = announcement.service
            self.dispatches.set_backend(announcement.url)
            self.timeline.record(
                "backend announced", announcement.name, announcement.url
            )
            self._heartbeat_due.set()
        self._backend_announced_at = self.clock()

    def _get_refusal(self) -> str:
        """Return why no request may run here, empty if one may."""
        head = self.register.head
        if self.settings.zone in head.zones_out:
            return "zone out"
        if self.settings.name in head.draining:
            return "draining"
        return ""

    # Messages

    def _handle_message(self, envelope: Envelope) -> None:
        body = envelope.body
        if isinstance(body, HeartbeatAck):
            self._handle_ack(body)
        elif isinstance(body, HeadPush):
            self._adopt_head(body.head, float("-inf"))
            seen = HeadSeen(self.settings.name, self.register.head.version)
            self.mailbox.send(envelope.reply_to, seen)
        elif isinstance(body, MemberCommand):
            if self.members is not None:
                self.members.handle(envelope, body)
        else:
            if isinstance(body, ControllerHello):
                self._record_controller(body)
            self.controller.handle(envelope)

    def _handle_ack(self, ack: HeartbeatAck) -> None:
        confirmed_at = float("-inf")
        if ack.age_s is not None:
            confirmed_at = ack.sent_at - ack.age_s
        self._adopt_head(ack.head, confirmed_at)
        if ack.controller is not None:
            self._record_controller(ack.controller)
        if not ack.epoch:
            self._entry_answered_at = self.clock()
        elif self.members is not None and self._accepts_renewals(ack):
            self.members.apply_ack(ack)

    def _accepts_renewals(self, ack: HeartbeatAck) -> bool:
        """Return whether lease renewals of a controller are accepted.

        A controller that can't renew its own lease may be cut off from the
        table while a successor restarts its jobs. Its renewals are accepted
        only while an entry answers, since the entry would name the successor.
        """
        if ack.holds:
            return True
        return self.clock() - self._entry_answered_at < ENTRY_TIMEOUT_S

    def _adopt_head(self, head: Head, confirmed_at: float) -> None:
        was_leaving = self._is_leaving()
        if self.register.adopt(head.to_policy(), confirmed_at):
            self.timeline.record(
                "configuration adopted", f"version {head.version}"
            )
        if self._is_leaving() != was_leaving:
            self._heartbeat_due.set()

    def _record_controller(self, hello: ControllerHello) -> None:
        if hello.zone != self.settings.zone:
            return
        if hello.epoch < self._controller_epoch:
            return
        self._controller_epoch = hello.epoch
        if self.members is not None:
            self.members.permit.admit_epoch(hello.epoch)
        if hello.control != self._controller_address:
            self._controller_address = hello.control
            self._heartbeat_due.set()

    def _is_leaving(self) -> bool:
        return self.leaving or (
            self.settings.name in self.register.head.draining
        )

    # Heartbeats

    def _make_info(self) -> AgentInfo:
        settings = self.settings
        announced = self.clock() - self._backend_announced_at < 3.0
        limits = settings.backend
        return AgentInfo(
            settings.name,
            settings.zone,
            self.incarnation,
            self.mailbox.address,
            settings.listen,
            self.service if announced else "",
            limits.slots if limits else 0,
            limits.connections if limits else 0,
            settings.worker.id if settings.worker else "",
        )

    def _send_heartbeat(self) -> None:
        members = self.members.reports() if self.members else []
        epoch = self.members.permit.epoch if self.members else 0
        heartbeat = Heartbeat(
            self._make_info(),
            self.clock(),
            self._is_leaving(),
            self.register.head.version,
            epoch,
            members,
        )
        without_members = msgspec.structs.replace(heartbeat, members=[])
        for address in self.settings.entries:
            self.mailbox.send(address, without_members)
        if self._controller_address:
            self.mailbox.send(self._controller_address, heartbeat)

    async def _send_heartbeats(self) -> None:
        while True:
            self._send_heartbeat()
            self._heartbeat_due.clear()
            try:
                async with asyncio.timeout(self.settings.heartbeat_s):
                    await self._heartbeat_due.wait()
            except TimeoutError:
                continue

    # Start and stop

    async def start(self) -> list[asyncio.Task[None]]:
        """Stop leftover tasks, then start the background tasks.

        The HTTP listener is started by ``run()``.
        """
        if self.members is not None:
            await self.members.stop_leftover_tasks()
        await self._read_first_head()
        self.timeline.record("agent started", self.settings.name)
        tasks = [
            asyncio.create_task(self.mailbox.run(self._handle_message)),
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._run_controller()),
        ]
        if self.members is not None:
            tasks.append(asyncio.create_task(self.members.poll_worker()))
        return tasks

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the work in progress."""
        web = WebServer(
            self.make_app(),
            self.settings.listen,
            self.settings.clients.make_limits(),
            report_clients("listen", self.metrics),
        )
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
            # The entries send the head as well.
            self.metrics.count("first_head_unread")
            get_logger().warning("first head unread", error=repr(error))
            return
        self.register.adopt(read.head, float("-inf"))

    async def leave(self) -> None:
        """Announce the stop, refuse new work and finish work in progress."""
        self.timeline.record("agent leaving", self.settings.name)
        self.leaving = True
        if self.members is not None:
            self.members.permit.leaving = True
        self._heartbeat_due.set()
        await asyncio.sleep(self.settings.drain_notice_s)
        await self.dispatches.drain()
        await self._drain_members()
        await self.controller.stop()
        self.timeline.record("agent left", self.settings.name)

    async def _drain_members(self) -> None:
        """Wait until the controller has moved the worker's members away.

        Gives up after ``MEMBER_DRAIN_TIMEOUT_S`` seconds.
        """
        if self.members is None:
            return
        deadline = self.clock() + MEMBER_DRAIN_TIMEOUT_S
        permit = self.members.permit
        while permit.members and self.clock() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)


@dataclass
class AgentCommand:
    """Run the agent beside one backend server or worker."""

    settings: Annotated[Path, cappa.Arg(help="Settings file.")]


async def run_agent(path: Path) -> None:
    """Run an agent with the settings in a file."""
    settings = read_settings(path, AgentSettings)
    metrics = Metrics(settings.name)
    worker = HttpWorker(settings.worker.url) if settings.worker else None
    agent = ZoneAgent(
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
        worker,
        metrics,
    )
    await agent.run()


def main() -> None:
    """Run the program with the arguments of the command line."""
    command = cappa.parse(AgentCommand)
    run_program(lambda: run_agent(command.settings), "hickorywing-agent")
