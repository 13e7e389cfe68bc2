"""Control one availability zone: place jobs, start gangs, renew leases.

The zone controller is a role that any agent can hold. When one takes over, it
rebuilds all its state from the table's rows and the agents' heartbeats.
``policy.ZoneScheduler`` and ``policy.GangStart`` make the decisions; this
module passes them events from messages and rows, and performs their actions.
"""

import asyncio
from collections.abc import Coroutine
import random
import time

from hickorywing.configstore import ConfigurationStore
from hickorywing.configstore import Documents
from hickorywing.errors import InvariantViolation
from hickorywing.findings import FindingsError
from hickorywing.mailbox import Mailbox
from hickorywing.messages import AgentInfo
from hickorywing.messages import ControllerHello
from hickorywing.messages import Envelope
from hickorywing.messages import Head
from hickorywing.messages import Heartbeat
from hickorywing.messages import HeartbeatAck
from hickorywing.messages import JobChanged
from hickorywing.messages import KnownControllers
from hickorywing.messages import MemberAnswer
from hickorywing.messages import MemberCommand
from hickorywing.messages import MemberEnded
from hickorywing.messages import MemberReport
from hickorywing.messages import PresentAgents
from hickorywing.messages import TaskOrder
from hickorywing.metrics import Metrics
from hickorywing.policy.actions import Action
from hickorywing.policy.actions import EvictJob
from hickorywing.policy.actions import FailJob
from hickorywing.policy.actions import Outcome
from hickorywing.policy.actions import StartJob
from hickorywing.policy.gang import GangAction
from hickorywing.policy.gang import GangActionKind
from hickorywing.policy.gang import GangPhase
from hickorywing.policy.gang import GangStart
from hickorywing.policy.homezones import plan_moves
from hickorywing.policy.homezones import WaitingJob
from hickorywing.policy.homezones import ZoneSummary
from hickorywing.policy.jobview import JobState
from hickorywing.policy.jobview import JobView
from hickorywing.policy.membership import Membership
from hickorywing.policy.membership import Presence
from hickorywing.policy.permit import MemberState
from hickorywing.policy.register import ConfigurationRegister
from hickorywing.policy.scheduler import ZoneScheduler
from hickorywing.rules import allot_guarantees
from hickorywing.table import Check
from hickorywing.table import Table
from hickorywing.table import TableUnavailable
from hickorywing.timeline import Timeline
from hickorywing.zonejobs import home_key
from hickorywing.zonejobs import inbox_prefix
from hickorywing.zonejobs import job_key
from hickorywing.zonejobs import JobRow
from hickorywing.zonejobs import JobStatus
from hickorywing.zonejobs import make_placed_tasks
from hickorywing.zonejobs import zone_key
from hickorywing.zonejobwriter import JobWriter
from hickorywing.zonelease import ZoneLease

__all__ = ["ZoneController"]

TICK_S = 0.1
HELLO_EVERY_S = 1.0
INBOX_EVERY_S = 2.0
MOVE_EVERY_S = 2.0
# After this time without a hello from a controller of the zone, the process
# competes for the role.
CONTROLLER_TIMEOUT_S = 4.0
# Timeouts of writes to job rows: in general, and for a placement.
COMMIT_TIMEOUT_S = 20.0
PLACE_TIMEOUT_S = 6.0
# Pause after the table did not answer.
TABLE_RETRY_S = 1.0


class ZoneController:
    """The controller role of one zone, in one process.

    ``entries`` are the mailbox addresses of the entries. ``zones`` holds the
    last hello of each zone's controller. ``ready`` is set once the state has
    been rebuilt; ``document_versions`` are the versions of the inventory and
    rules that are applied.
    """

    def __init__(
        self,
        zone: str,
        name: str,
        table: Table,
        mailbox: Mailbox,
        entries: tuple[str, ...],
        register: ConfigurationRegister,
        timeline: Timeline,
        metrics: Metrics,
        random_source: random.Random,
    ) -> None:
        self.zone = zone
        self.name = name
        self.table = table
        self.mailbox = mailbox
        self.entries = entries
        self.register = register
        self.timeline = timeline
        self.metrics = metrics
        self.zone_lease = ZoneLease(
            zone,
            name,
            table,
            metrics,
            self._is_controller_silent,
            random_source,
        )
        self.store = ConfigurationStore(table)
        self.zones: dict[str, ControllerHello] = {}
        self._last_hello_at = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()
        self._reset()

    def _reset(self) -> None:
        """Drop the state of the role."""
        self.scheduler = ZoneScheduler()
        self.membership = Membership()
        self.agents: dict[str, AgentInfo] = {}
        self.gangs: dict[str, GangStart] = {}
        self.documents = Documents.empty()
        self.document_versions = (-1, -1)
        self.ready = False
        self.writer = JobWriter(
            self.table, self.zone_lease.epoch_check, self.metrics
        )
        self._next_hello_at = 0.0
        self._next_inbox_at = 0.0
        self._next_moves_at = 0.0
        self._reading: set[str] = set()

    # Role

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _is_controller_silent(self) -> bool:
        return self._now() - self._last_hello_at > CONTROLLER_TIMEOUT_S

    @property
    def active(self) -> bool:
        """Return whether the process has the role and its state is rebuilt."""
        return self.zone_lease.in_role and self.ready

    async def run(self) -> None:
        """Compete for the role, and perform it while held, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(
                self.zone_lease.run(self._on_gained, self._on_lost)
            )
            group.create_task(self._tick_forever())

    def _on_gained(self) -> None:
        epoch = self.zone_lease.holder.epoch
        self.timeline.record("controller gained", self.zone, f"epoch {epoch}")
        self._reset()
        self._spawn(self._take_over(epoch))

    def _on_lost(self) -> None:
        self.timeline.record("controller lost", self.zone)
        self._reset()

    async def stop(self) -> None:
        """Step down at once, without waiting for the lease to expire."""
        await self.zone_lease.step_down()
        for task in list(self._tasks):
            task.cancel()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.metrics.count("controller_task_errors")
            self.timeline.record(
                "controller error", self.zone, repr(task.exception())
            )

    async def _take_over(self, epoch: int) -> None:
        """Rebuild the zone's state from the table, until that succeeds.

        Ends early if the role was lost meanwhile.
        """
        while self.zone_lease.in_role and not self.ready:
            if self.zone_lease.holder.epoch != epoch:
                return
            try:
                await self._load_documents()
                rows = await self._load_jobs()
            except (TableUnavailable, FindingsError):
                await asyncio.sleep(TABLE_RETRY_S)
                continue
            for row, version in rows:
                self._adopt_job(row, version)
            self.ready = True
            self.timeline.record(
                "controller ready", self.zone, f"{len(rows)} jobs"
            )
            self._broadcast_hello(wants_agents=True)

    async def _load_jobs(self) -> list[tuple[JobRow, int]]:
        """Return the rows of all jobs of the zone, with their versions."""
        home_rows = await self.table.scan(home_key(self.zone, ""))
        ids = [row.key.rsplit("/", 1)[1] for row in home_rows]
        found = []
        for start in range(0, len(ids), 200):
            keys = [job_key(item) for item in ids[start : start + 200]]
            for row in await self.table.read_many(keys):
                if row.value is not None:
                    found.append((JobRow.from_value(row.value), row.version))
        return found

    async def _load_documents(self) -> None:
        """Read the newest inventory and rules, and apply them if changed."""
        head = (await self.store.read_head()).head
        self.register.adopt(head, float("-inf"))
        head = self.register.head
        versions = (head.inventory_version, head.rules_version)
        if versions == self.document_versions:
            return
        documents = await self.store.read_documents(head)
        self._apply_documents(documents)
        self.document_versions = versions

    def _apply_documents(self, documents: Documents) -> None:
        """Apply an inventory and rules to the scheduler.

        New workers are withheld until their agents are present.
        """
        self.documents = documents
        wanted = {
            spec.worker_id: spec
            for spec in documents.inventory.worker_specs(self.zone)
        }
        known = self.scheduler.cells.workers
        for worker_id in sorted(set(known) - set(wanted)):
            self._lose_worker(worker_id, "no longer in the inventory")
        for worker_id in sorted(set(wanted) - set(known)):
            self.scheduler.add_worker(wanted[worker_id])
            if not self._is_worker_present(worker_id):
                self.scheduler.lose_worker(worker_id)
        allotted = allot_guarantees(documents.rules, documents.inventory)
        guarantees = [
            item for item in allotted.value_or([]) if item.zone == self.zone
        ]
        self.scheduler.set_rules(
            documents.rules.policy_customers(), guarantees
        )

    def _is_worker_present(self, worker_id: str) -> bool:
        info = self.agents.get(worker_id)
        return info is not None and self.membership.takes_work(info.name)

    def _adopt_job(self, row: JobRow, version: int) -> None:
        """Add a job of a former controller, from its row."""
        if row.status.is_terminal or row.home != self.zone:
            return
        self.writer.add_row(row, version)
        now = self._now()
        submitted = now - max(0.0, time.time() - row.submitted_at)
        spec = row.to_spec()
        if row.status is JobStatus.QUEUED:
            self.scheduler.submit(spec, submitted, row.kept_s)
        else:
            self._adopt_placed_job(row, submitted, now)
        job = self.scheduler.jobs[row.job_id]
        job.attempt = row.attempt
        job.failures = row.failures
        if row.cancel_requested:
            self._perform(self.scheduler.cancel(row.job_id, now))
            self._finish_cancelled_in_queue(row.job_id)

    def _adopt_placed_job(
        self, row: JobRow, submitted: float, now: float
    ) -> None:
        started = row.status is JobStatus.STARTED
        placement = row.to_placement()
        self.scheduler.adopt(
            row.to_spec(),
            placement,
            row.attempt,
            submitted,
            now if started else None,
        )
        self.scheduler.jobs[row.job_id].attained_s = row.kept_s
        make_gang = GangStart.adopt if started else GangStart
        self.gangs[row.job_id] = make_gang(
            row.job_id, row.attempt, placement.workers, now
        )

    # Messages

    def handle(self, envelope: Envelope) -> bool:
        """Handle a message; return whether it was one for a controller.

        Messages about controllers are handled also without the role, all
        others only while ``active``.
        """
        body = envelope.body
        if isinstance(body, ControllerHello):
            self._handle_hello(body)
            return True
        if isinstance(body, KnownControllers):
            for hello in body.hellos:
                self._handle_hello(hello)
            return True
        if not self.active:
            return False
        if isinstance(body, Heartbeat):
            self._handle_heartbeat(body, envelope.reply_to)
        elif isinstance(body, MemberAnswer):
            self._handle_answer(body)
        elif isinstance(body, MemberEnded):
            self._handle_report(body.worker_id, body.report)
        elif isinstance(body, JobChanged):
            self._spawn(self._read_inbox())
        elif isinstance(body, PresentAgents):
            for info in body.agents:
                self._send_hello(info.control)
        else:
            return False
        return True

    def _handle_hello(self, hello: ControllerHello) -> None:
        """Record the newest controller of a zone.

        If it is another controller of this zone, whose epoch is not older,
        this process does not compete for the role in the next
        ``CONTROLLER_TIMEOUT_S`` seconds.
        """
        known = self.zones.get(hello.zone)
        if known is None or hello.epoch >= known.epoch:
            self.zones[hello.zone] = hello
        if hello.zone != self.zone or hello.name == self.name:
            return
        if hello.epoch >= self.zone_lease.holder.epoch:
            self._last_hello_at = self._now()

    def _handle_heartbeat(self, beat: Heartbeat, reply_to: str) -> None:
        """Handle a heartbeat of an agent of the zone, and acknowledge it.

        Heartbeats of an older incarnation of a worker's agent are ignored.
        """
        info = beat.info
        if info.zone != self.zone:
            return
        now = self._now()
        known = self.agents.get(info.worker_id)
        if known is not None and info.incarnation < known.incarnation:
            return
        changed = self.membership.heard(
            info.name, info.zone, info.incarnation, beat.leaving, now
        )
        if info.worker_id:
            self._record_worker(beat, known, changed is not None)
        for report in beat.members:
            self._handle_report(info.worker_id, report)
        self.mailbox.send(reply_to, self._make_ack(beat))

    def _record_worker(
        self, beat: Heartbeat, known: AgentInfo | None, changed: bool
    ) -> None:
        """Record a worker's agent and offer or withhold the worker.

        ``known`` is its former record; ``changed`` tells that its presence or
        incarnation has changed.
        """
        info = beat.info
        self.agents[info.worker_id] = info
        if known is not None and known.incarnation != info.incarnation:
            # A new incarnation of an agent stops all tasks on its worker
            # before it sends a heartbeat.
            self._lose_worker(info.worker_id, "agent restarted")
        if info.worker_id not in self.scheduler.cells.workers:
            return
        if not changed and known is not None:
            return
        if beat.leaving:
            self.timeline.record("worker leaving", info.worker_id)
            self.scheduler.withhold_worker(info.worker_id)
            self._stop_gangs_on(info.worker_id)
        else:
            self.timeline.record("worker present", info.worker_id)
            self.scheduler.restore_worker(info.worker_id)

    def _stop_gangs_on(self, worker_id: str) -> None:
        now = self._now()
        for gang in self.gangs.values():
            if worker_id in gang.workers:
                gang.stop("worker leaving", True, now)

    def _make_ack(self, beat: Heartbeat) -> HeartbeatAck:
        """Return the acknowledgment of a heartbeat.

        It renews the members that belong to a present attempt and confirms
        the ends that are stored. Members of no known gang are stopped.
        """
        now = self._now()
        renewed = []
        ended_reports = []
        for report in beat.members:
            gang = self.gangs.get(report.job_id)
            live = report.state in (MemberState.PREPARED, MemberState.RUNNING)
            if not live:
                if self._is_end_stored(report):
                    ended_reports.append(report)
            elif self._should_renew(gang, report):
                renewed.append(report)
            elif gang is None and self.ready:
                self._send_stop(beat.info, report)
        age_s = self.register.confirmed_ago(now)
        return HeartbeatAck(
            beat.sent_at,
            Head.from_policy(self.register.head),
            None if age_s == float("inf") else age_s,
            self.zone_lease.holder.epoch,
            renewed,
            ended_reports,
            holds=self.zone_lease.holds(),
        )

    def _is_end_stored(self, report: MemberReport) -> bool:
        """Return whether an agent may forget the end of a member.

        While the job's row shows the attempt as placed or started, a successor
        of this controller has to be told the end as well.
        """
        row = self.writer.find_row(report.job_id)
        return (
            row is None
            or row.attempt != report.attempt
            or row.status not in (JobStatus.PLACED, JobStatus.STARTED)
        )

    @staticmethod
    def _should_renew(gang: GangStart | None, report: MemberReport) -> bool:
        """Return whether a reported member may continue to run."""
        if gang is None or gang.attempt != report.attempt:
            return False
        return gang.phase not in (GangPhase.STOPPING, GangPhase.ENDED)

    def _send_stop(self, info: AgentInfo, report: MemberReport) -> None:
        """Tell an agent to stop a member that belongs to no gang here."""
        self.mailbox.send(
            info.control,
            MemberCommand(
                "stop",
                report.job_id,
                report.attempt,
                self.zone_lease.holder.epoch,
                info.incarnation,
            ),
        )

    def _handle_answer(self, answer: MemberAnswer) -> None:
        """Pass the answer to a command to the gang.

        Answers to ``stop`` are ignored: the agent reports the end itself.
        """
        gang = self.gangs.get(answer.job_id)
        if gang is None or gang.attempt != answer.attempt:
            self.metrics.count("late_member_answers")
            return
        now = self._now()
        worker = answer.worker_id
        if answer.kind == "stop":
            return
        if not answer.accepted:
            gang.refused(worker, answer.reason, now)
        elif answer.kind == "prepare":
            self._perform_gang(gang, gang.prepared(worker, now))
        elif answer.kind == "start":
            self._perform_gang(gang, gang.started(worker, now))

    def _handle_report(self, worker_id: str, report: MemberReport) -> None:
        """Pass the reported end of a member to its gang."""
        gang = self.gangs.get(report.job_id)
        if gang is None or gang.attempt != report.attempt:
            return
        now = self._now()
        if report.state == MemberState.DONE:
            self._perform_gang(gang, gang.member_done(worker_id, now))
        elif report.state == MemberState.FAILED:
            gang.member_failed(worker_id, now)
        elif report.state == MemberState.STOPPED:
            gang.member_stopped(worker_id, report.kept_s, now)

    # Periodic work

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if not self.active:
                continue
            try:
                self._tick(self._now())
            except InvariantViolation as error:
                self.metrics.count("invariant_violations")
                self.timeline.record(
                    "invariant violated", self.zone, str(error)
                )
                await self.zone_lease.step_down()
                self._on_lost()

    def _tick(self, now: float) -> None:
        self._expire_agents(now)
        self._apply_head()
        for gang in list(self.gangs.values()):
            self._perform_gang(gang, gang.poll(now))
        if self.zone_lease.holds() and self.is_table_available():
            self._perform(self.scheduler.decide(now))
            self._move_waiting_jobs(now)
        if now >= self._next_hello_at:
            self._next_hello_at = now + HELLO_EVERY_S
            self._broadcast_hello(wants_agents=not self.agents)
        if now >= self._next_inbox_at:
            self._next_inbox_at = now + INBOX_EVERY_S
            self._spawn(self._read_inbox())
        self._set_gauges()

    def is_table_available(self) -> bool:
        """Return whether the table has answered the latest commits."""
        return self.writer.is_table_available()

    def _set_gauges(self) -> None:
        counts = self.scheduler.cells.counts
        self.metrics.set("accelerators_idle", counts.idle[0])
        self.metrics.set("jobs_queued", len(self.scheduler.queue))
        self.metrics.set("gangs", len(self.gangs))
        risk = sum(
            item.accelerators * item.count for item in self.scheduler.risks()
        )
        self.metrics.set("guaranteed_accelerators_at_risk", risk)

    def _expire_agents(self, now: float) -> None:
        """Withhold workers whose agents are silent, and lose them later."""
        by_name = {info.name: info for info in self.agents.values()}
        for member in self.membership.expire(now):
            info = by_name.get(member.name)
            if info is None or not info.worker_id:
                continue
            worker_id = info.worker_id
            if worker_id not in self.scheduler.cells.workers:
                continue
            if member.presence is Presence.LOST:
                self._lose_worker(worker_id, "silent")
            else:
                self.timeline.record("worker suspect", worker_id)
                self.scheduler.withhold_worker(worker_id)

    def _lose_worker(self, worker_id: str, reason: str) -> None:
        if worker_id not in self.scheduler.cells.workers:
            return
        self.timeline.record("worker lost", worker_id, reason)
        self.metrics.count("workers_lost")
        self.scheduler.lose_worker(worker_id)
        now = self._now()
        for gang in self.gangs.values():
            gang.worker_lost(worker_id, now)

    def _apply_head(self) -> None:
        """Apply the configuration head that the register has."""
        head = self.register.head
        is_in = self.zone not in head.zones_out
        if is_in and not self.scheduler.zone_in:
            self.timeline.record("zone in", self.zone)
            self.scheduler.bring_back()
        elif not is_in and self.scheduler.zone_in:
            self.timeline.record("zone out", self.zone)
            self._perform(self.scheduler.take_out())
        versions = (head.inventory_version, head.rules_version)
        if (
            versions != self.document_versions
            and "documents" not in self._reading
        ):
            self._reading.add("documents")
            self._spawn(self._reload_documents())

    async def _reload_documents(self) -> None:
        try:
            await self._load_documents()
        except (TableUnavailable, FindingsError):
            await asyncio.sleep(TABLE_RETRY_S)
        finally:
            self._reading.discard("documents")

    def _make_hello(self, wants_agents: bool = False) -> ControllerHello:
        counts = self.scheduler.cells.counts
        largest = 0
        for index, count in enumerate(counts.idle):
            if count:
                largest = 1 << index
        return ControllerHello(
            self.zone,
            self.zone_lease.holder.epoch,
            self.name,
            self.mailbox.address,
            counts.idle[0],
            len(self.scheduler.queue),
            largest,
            wants_agents,
        )

    def _broadcast_hello(self, wants_agents: bool = False) -> None:
        hello = self._make_hello(wants_agents)
        self.zones[self.zone] = hello
        for address in (*self.entries, self.mailbox.address):
            self.mailbox.send(address, hello)
        for info in self.agents.values():
            self.mailbox.send(info.control, hello)

    def _send_hello(self, control: str) -> None:
        if control != self.mailbox.address:
            self.mailbox.send(control, self._make_hello())

    # Actions

    def _perform(self, actions: list[Action]) -> None:
        now = self._now()
        for action in actions:
            if isinstance(action, StartJob):
                self._spawn(self._commit_placement(action))
            elif isinstance(action, EvictJob):
                gang = self.gangs.get(action.job_id)
                if gang is not None:
                    gang.stop(action.reason, action.checkpoint, now)
                self.timeline.record(
                    "job evicted", action.job_id, action.reason
                )
            elif isinstance(action, FailJob):
                self._spawn(
                    self._end_job(
                        action.job_id, JobStatus.FAILED, action.reason
                    )
                )

    async def _commit_placement(self, action: StartJob) -> None:
        """Write a placement to the job's row, then start its gang.

        If the row does not allow it any more, or the job was evicted during
        the write, the attempt ends as aborted.
        """
        job_id = action.job_id
        writer = self.writer

        def place(row: JobRow) -> JobRow | None:
            if row.status.is_terminal or row.cancel_requested:
                return None
            return row.change(
                status=JobStatus.PLACED,
                attempt=action.attempt,
                placement=make_placed_tasks(action.placement),
                guaranteed=action.placement.guaranteed,
            )

        row = await writer.update(job_id, place, [], PLACE_TIMEOUT_S)
        if writer is not self.writer:
            return
        now = self._now()
        job = self.scheduler.jobs.get(job_id)
        if job is None or job.attempt != action.attempt:
            return
        evicted = job.state is JobState.STOPPING
        if row is None or evicted:
            self._perform(
                self.scheduler.job_ended(
                    job_id, action.attempt, Outcome.ABORTED, now
                )
            )
            await self._resolve_aborted(job_id)
            return
        self.timeline.record(
            "job placed", job_id, ",".join(action.placement.workers)
        )
        gang = GangStart(job_id, action.attempt, action.placement.workers, now)
        self.gangs[job_id] = gang

    async def _resolve_aborted(self, job_id: str) -> None:
        """End a job whose placement was aborted, if its row demands it.

        That is so if the job has ended, is gone, or is to be cancelled.
        """
        row = self.writer.find_row(job_id)
        if row is None or row.status.is_terminal:
            self._perform(self.scheduler.cancel(job_id, self._now()))
            self.writer.forget(job_id)
        elif row.cancel_requested:
            self._perform(self.scheduler.cancel(job_id, self._now()))
            await self._end_job(job_id, JobStatus.CANCELLED, "cancelled")

    def _perform_gang(
        self, gang: GangStart, gang_actions: list[GangAction]
    ) -> None:
        for action in gang_actions:
            kind = action.kind
            if kind is GangActionKind.COMMIT_STARTED:
                self._spawn(self._commit_started(gang))
            elif kind is GangActionKind.RUNNING:
                self._on_running(gang)
            elif kind is GangActionKind.ENDED:
                self._on_ended(gang)
            elif action.worker is not None:
                self._send_command(gang, kind, action.worker)

    def _send_command(
        self, gang: GangStart, kind: GangActionKind, worker: str
    ) -> None:
        info = self.agents.get(worker)
        job = self.scheduler.jobs.get(gang.job_id)
        if info is None or job is None or job.placement is None:
            return
        tasks = [
            TaskOrder(index, task.offset, task.size)
            for index, task in enumerate(job.placement.tasks)
            if task.worker_id == worker
        ]
        row = self.writer.find_row(gang.job_id)
        run_s = job.spec.declared_run_s
        if row is not None and row.run_s is not None:
            run_s = row.run_s
        self.mailbox.send(
            info.control,
            MemberCommand(
                kind.value,
                gang.job_id,
                gang.attempt,
                self.zone_lease.holder.epoch,
                info.incarnation,
                tasks,
                run_s,
                job.attained_s,
                gang.checkpoint,
            ),
        )

    async def _commit_started(self, gang: GangStart) -> None:
        """Write the start of a gang to the job's row.

        The write is conditional on the zone's row being unchanged and in
        service, so that no gang starts after the zone was taken out.
        """
        writer = self.writer

        def start(row: JobRow) -> JobRow | None:
            if row.attempt != gang.attempt or row.cancel_requested:
                return None
            if row.status is not JobStatus.PLACED:
                return None
            return row.change(status=JobStatus.STARTED)

        committed = False
        try:
            zone_row = await self.table.read(zone_key(self.zone))
            value = zone_row.value or {"in": True}
            if value["in"]:
                check = Check(zone_row.key, zone_row.version)
                row = await writer.update(
                    gang.job_id, start, [check], COMMIT_TIMEOUT_S
                )
                committed = row is not None
        except TableUnavailable:
            self.metrics.count("starts_without_table")
        if writer is self.writer:
            gang.commit_answered(committed, self._now())

    def _on_running(self, gang: GangStart) -> None:
        self.timeline.record(
            "job running", gang.job_id, f"attempt {gang.attempt}"
        )
        self.metrics.count("gangs_started")
        self.scheduler.job_running(gang.job_id, gang.attempt, self._now())

    def _on_ended(self, gang: GangStart) -> None:
        """Record the end of an attempt in the scheduler and the table."""
        job_id = gang.job_id
        self.gangs.pop(job_id, None)
        job = self.scheduler.jobs.get(job_id)
        if job is None:
            return
        cancelled = job.cancelled
        outcome = self._outcome_of(gang)
        self.timeline.record(
            "attempt ended", job_id, f"{outcome} {gang.failure or ''}".strip()
        )
        actions = self.scheduler.job_ended(
            job_id,
            gang.attempt,
            outcome,
            self._now(),
            gang.kept_s,
            gang.failed_worker,
        )
        self._perform(actions)
        if outcome is Outcome.DONE:
            self._spawn(self._end_job(job_id, JobStatus.DONE, ""))
        elif cancelled:
            self._spawn(
                self._end_job(job_id, JobStatus.CANCELLED, "cancelled")
            )
        elif job_id in self.scheduler.jobs:
            self._spawn(self._requeue(job_id, gang))

    @staticmethod
    def _outcome_of(gang: GangStart) -> Outcome:
        if gang.failure is None:
            return Outcome.DONE
        if gang.failed_worker is not None:
            return Outcome.FAILED
        if not gang.ever_started:
            return Outcome.ABORTED
        return Outcome.LOST if gang.lost else Outcome.STOPPED

    async def _requeue(self, job_id: str, gang: GangStart) -> None:
        job = self.scheduler.jobs.get(job_id)
        if job is None:
            return
        kept = job.attained_s
        failures = job.failures

        def requeue(row: JobRow) -> JobRow | None:
            if row.attempt != gang.attempt or row.status.is_terminal:
                return None
            return row.change(
                status=JobStatus.QUEUED,
                kept_s=kept,
                failures=failures,
                placement=[],
            )

        await self.writer.update(job_id, requeue, [], COMMIT_TIMEOUT_S)

    async def _end_job(
        self, job_id: str, status: JobStatus, reason: str
    ) -> None:
        """Write the end of a job, repeating until the table has it."""
        writer = self.writer

        def end(row: JobRow) -> JobRow | None:
            if row.status.is_terminal:
                return None
            return row.change(status=status, reason=reason, placement=[])

        while writer is self.writer:
            row = await writer.update(
                job_id, end, [], COMMIT_TIMEOUT_S, ends=True
            )
            if row is not None or writer.is_ended(job_id):
                self.timeline.record(f"job {status}", job_id, reason)
                self.metrics.count(f"jobs_{status}")
                writer.forget(job_id)
                return
            await asyncio.sleep(TABLE_RETRY_S)

    # New, changed and moved jobs

    async def _read_inbox(self) -> None:
        """Read the job rows that the inbox lists, and clear the inbox.

        Only one read runs at a time; a call during a read has the next tick
        start another.
        """
        if "inbox" in self._reading:
            self._next_inbox_at = self._now()
            return
        if not self.is_table_available():
            return
        self._reading.add("inbox")
        writer = self.writer
        try:
            changed = await self.table.scan(inbox_prefix(self.zone))
            ids = [row.key.rsplit("/", 1)[1] for row in changed]
            for start in range(0, len(ids), 100):
                batch = ids[start : start + 100]
                rows = await self.table.read_many(
                    [job_key(item) for item in batch]
                )
                if writer is not self.writer:
                    return
                for row in rows:
                    if row.value is not None:
                        self._handle_row(
                            JobRow.from_value(row.value), row.version
                        )
                await writer.clear_inbox(changed[start : start + 100])
        except TableUnavailable:
            self.metrics.count("inbox_reads_failed")
        finally:
            self._reading.discard("inbox")

    def _handle_row(self, row: JobRow, version: int) -> None:
        """Apply a row that has changed: a new job or a cancellation."""
        if row.home != self.zone or row.status.is_terminal:
            return
        self.writer.add_row(row, version)
        now = self._now()
        if row.job_id not in self.scheduler.jobs:
            if row.status is not JobStatus.QUEUED:
                return
            submitted = now - max(0.0, time.time() - row.submitted_at)
            self.scheduler.submit(row.to_spec(), submitted, row.kept_s)
            job = self.scheduler.jobs[row.job_id]
            job.attempt = row.attempt
            self.timeline.record("job queued", row.job_id, row.customer)
        if row.cancel_requested:
            self._perform(self.scheduler.cancel(row.job_id, now))
            self._finish_cancelled_in_queue(row.job_id)

    def _finish_cancelled_in_queue(self, job_id: str) -> None:
        if job_id not in self.scheduler.jobs:
            self._spawn(
                self._end_job(job_id, JobStatus.CANCELLED, "cancelled")
            )

    def _move_waiting_jobs(self, now: float) -> None:
        """Move waiting jobs to zones that can start them."""
        if now < self._next_moves_at:
            return
        self._next_moves_at = now + MOVE_EVERY_S
        waiting = [
            WaitingJob(job.spec, now - job.waiting_since)
            for job in self.scheduler.queued_jobs()
        ]
        for move in plan_moves(self.zone, waiting, self._make_summaries()):
            job = self.scheduler.withdraw(move.job_id)
            self._spawn(self._move_job(job, move.zone))

    def _make_summaries(self) -> list[ZoneSummary]:
        out = self.register.head.zones_out
        allotted = allot_guarantees(
            self.documents.rules, self.documents.inventory
        ).value_or([])
        capacity: dict[str, int] = {}
        for worker in self.documents.inventory.workers:
            total = capacity.get(worker.zone, 0)
            capacity[worker.zone] = total + worker.accelerators
        return [
            ZoneSummary(
                zone,
                zone not in out,
                hello.free,
                hello.queued,
                hello.largest_idle,
                capacity.get(zone, 1),
                frozenset(
                    item.customer for item in allotted if item.zone == zone
                ),
            )
            for zone, hello in self.zones.items()
        ]

    async def _move_job(self, job: JobView, home: str) -> None:
        """Write a job's new home to its row and tell that controller.

        If the write does not take effect, the job is queued here again.
        """
        writer = self.writer
        job_id = job.spec.job_id
        row = await writer.move(
            job_id, home, job.attained_s, job.failures, COMMIT_TIMEOUT_S
        )
        if writer is not self.writer:
            return
        if row is None:
            known = writer.find_row(job_id)
            if known is not None:
                self._handle_row(known, writer.get_version(job_id))
            return
        self.timeline.record("job moved", job_id, home)
        writer.forget(job_id)
        hello = self.zones.get(home)
        if hello is not None:
            self.mailbox.send(hello.control, JobChanged(job_id))
