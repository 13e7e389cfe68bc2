"""Run gang members on the worker beside this agent.

A member is the part of a gang's attempt on one worker: one or more tasks. The
zone controller commands it, ``policy.MemberPermit`` decides whether a command
is allowed, and this module starts, renews and stops the tasks.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

from hickorywing.logs import get_logger
from hickorywing.mailbox import Mailbox
from hickorywing.messages import Envelope
from hickorywing.messages import HeartbeatAck
from hickorywing.messages import MemberAnswer
from hickorywing.messages import MemberCommand
from hickorywing.messages import MemberEnded
from hickorywing.messages import MemberReport
from hickorywing.metrics import Metrics
from hickorywing.policy.permit import MemberPermit
from hickorywing.policy.permit import MemberState
from hickorywing.policy.permit import PermitAnswer
from hickorywing.policy.permit import Reservation
from hickorywing.timeline import Timeline
from hickorywing.zoneworker import TaskIds
from hickorywing.zoneworker import TaskLaunch
from hickorywing.zoneworker import TaskState
from hickorywing.zoneworker import TaskStatus
from hickorywing.zoneworker import Worker

__all__ = ["MemberRunner"]

POLL_EVERY_S = 0.25
START_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 3.0


class MemberRunner:
    """Carries out a controller's commands, as far as the permit allows.

    ``clock`` gives the seconds of a monotonic clock. The last prepare command
    of each job is kept, as it lists the member's tasks.
    """

    def __init__(
        self,
        worker_id: str,
        incarnation: int,
        worker: Worker,
        permit: MemberPermit,
        mailbox: Mailbox,
        timeline: Timeline,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.worker_id = worker_id
        self.incarnation = incarnation
        self.worker = worker
        self.permit = permit
        self.mailbox = mailbox
        self.timeline = timeline
        self.metrics = metrics
        self.clock = clock
        self._prepare_commands: dict[str, MemberCommand] = {}
        self._controller_address = ""
        self._kept_s: dict[str, float] = {}
        self._running_calls: set[asyncio.Task[None]] = set()

    async def stop_leftover_tasks(self) -> None:
        """Stop the tasks that an earlier incarnation left on the worker.

        Returns once the worker reports that none is running.
        """
        while True:
            try:
                known = await self.worker.renew(TaskIds([]))
                ids = [task.task_id for task in known.tasks]
                left = await self.worker.stop(TaskIds(ids))
                await self.worker.forget(TaskIds(ids))
            except Exception as error:
                self._record_failed_call("clear", error)
                await asyncio.sleep(POLL_EVERY_S)
                continue
            if not _any_running(left.tasks):
                return

    def _record_failed_call(self, call: str, error: Exception) -> None:
        """Count and log a failed call to the worker.

        The HTTP library's errors have no common base class, so callers catch
        all errors. They continue without the answer, as the tasks' leases
        limit how long anything runs on the worker.
        """
        self.metrics.count("worker_calls_failed")
        get_logger().warning(
            "worker call failed", call=call, error=repr(error)
        )

    def handle(self, envelope: Envelope, command: MemberCommand) -> None:
        """Handle a command, unless it is for another incarnation."""
        if command.incarnation != self.incarnation:
            self.metrics.count("commands_for_another_incarnation")
            return
        self._controller_address = envelope.reply_to
        if command.kind == "prepare":
            self._answer(command, self._prepare(command))
        elif command.kind == "start":
            self._start(command)
        elif command.kind == "stop":
            self._stop(command)

    def _prepare(self, command: MemberCommand) -> PermitAnswer:
        slots = frozenset(
            slot
            for task in command.tasks
            for slot in range(task.offset, task.offset + task.size)
        )
        answer = self.permit.prepare(
            command.job_id,
            command.attempt,
            command.epoch,
            slots,
            self.clock(),
        )
        if answer is PermitAnswer.ACCEPTED:
            self._prepare_commands[command.job_id] = command
        return answer

    def _start(self, command: MemberCommand) -> None:
        former = self.permit.members.get(command.job_id)
        was_prepared = (
            former is not None and former.state is MemberState.PREPARED
        )
        answer = self.permit.start(
            command.job_id, command.attempt, command.epoch, self.clock()
        )
        if answer is not PermitAnswer.ACCEPTED:
            self.metrics.count("starts_refused")
            self.timeline.record("start refused", command.job_id, answer)
            self._answer(command, answer)
        elif was_prepared:
            self._spawn(self._launch(command))
        else:
            self._answer(command, answer)

    async def _launch(self, command: MemberCommand) -> None:
        order = self._prepare_commands[command.job_id]
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                for task in order.tasks:
                    await self.worker.start(
                        TaskLaunch(
                            task_id(command, task.index),
                            command.job_id,
                            command.attempt,
                            task.index,
                            order.run_s,
                            order.kept_s,
                        )
                    )
        except Exception as error:
            self._record_failed_call("start", error)
            self.timeline.record(
                "launch failed", command.job_id, type(error).__name__
            )
            await self._stop_tasks(order, False)
            self._end_member(order, MemberState.FAILED, None)
            return
        self._answer(command, PermitAnswer.ACCEPTED)

    def _stop(self, command: MemberCommand) -> None:
        answer = self.permit.stop(
            command.job_id, command.attempt, command.epoch
        )
        if answer is not PermitAnswer.ACCEPTED:
            self._answer(command, answer)
            return
        member = self.permit.members.get(command.job_id)
        if member is None or member.attempt != command.attempt:
            report = MemberReport(
                command.job_id, command.attempt, MemberState.STOPPED
            )
            self._send_report(report)
            return
        if member.state in (MemberState.PREPARED, MemberState.RUNNING):
            order = self._prepare_commands[command.job_id]
            self._spawn(self._stop_member(order, command.checkpoint))
        else:
            self._send_report(self._make_report(member))

    async def _stop_member(
        self, order: MemberCommand, checkpoint: bool
    ) -> None:
        stopped, kept_s = await self._stop_tasks(order, checkpoint)
        if stopped:
            self._end_member(order, MemberState.STOPPED, kept_s)

    async def _stop_tasks(
        self, order: MemberCommand, checkpoint: bool
    ) -> tuple[bool, float | None]:
        """Stop the tasks of a member.

        Return whether all have stopped and, with ``checkpoint``, the minimum
        run time in seconds that their checkpoints saved. A worker that can't
        be reached stops the tasks by itself once their leases expire.
        """
        ids = [task_id(order, task.index) for task in order.tasks]
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                statuses = await self.worker.stop(
                    TaskIds(ids, checkpoint=checkpoint)
                )
        except Exception as error:
            self._record_failed_call("stop", error)
            return False, None
        own = [task for task in statuses.tasks if task.task_id in ids]
        if _any_running(own):
            return False, None
        kept = [task.kept_s for task in own] if checkpoint else []
        return True, min(kept, default=None)

    def _end_member(
        self, order: MemberCommand, state: MemberState, kept_s: float | None
    ) -> None:
        if not self.permit.end(order.job_id, order.attempt, state):
            return
        if kept_s is not None:
            self._kept_s[order.job_id] = kept_s
        self.timeline.record(
            f"member {state}", order.job_id, f"attempt {order.attempt}"
        )
        member = self.permit.members[order.job_id]
        self._send_report(self._make_report(member))

    def _make_report(self, member: Reservation) -> MemberReport:
        return MemberReport(
            member.job_id,
            member.attempt,
            member.state,
            self._kept_s.get(member.job_id),
        )

    def _send_report(self, report: MemberReport) -> None:
        if self._controller_address:
            self.mailbox.send(
                self._controller_address, MemberEnded(self.worker_id, report)
            )

    def _answer(self, command: MemberCommand, answer: PermitAnswer) -> None:
        accepted = answer is PermitAnswer.ACCEPTED
        self.mailbox.send(
            self._controller_address,
            MemberAnswer(
                command.kind,
                command.job_id,
                command.attempt,
                self.worker_id,
                accepted,
                "" if accepted else answer,
            ),
        )

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._running_calls.add(task)
        task.add_done_callback(self._running_calls.discard)

    def reports(self) -> list[MemberReport]:
        """Return the reports of all members, for the next heartbeat."""
        return [
            self._make_report(member)
            for member in self.permit.members.values()
        ]

    def apply_ack(self, ack: HeartbeatAck) -> None:
        """Renew leases and forget the ends that the controller recorded."""
        for report in ack.renewed:
            self.permit.renew(
                report.job_id, report.attempt, ack.epoch, ack.sent_at
            )
        for report in ack.noted:
            member = self.permit.members.get(report.job_id)
            if member is None or member.attempt != report.attempt:
                continue
            order = self._prepare_commands.get(report.job_id)
            self.permit.forget(report.job_id, report.attempt)
            if report.job_id not in self.permit.members:
                self._prepare_commands.pop(report.job_id, None)
                self._kept_s.pop(report.job_id, None)
                if order is not None:
                    self._spawn(self._forget_tasks(order))

    async def _forget_tasks(self, order: MemberCommand) -> None:
        ids = [task_id(order, task.index) for task in order.tasks]
        try:
            await self.worker.forget(TaskIds(ids))
        except Exception as error:
            # The worker keeps the ended tasks until the agent restarts.
            self._record_failed_call("forget", error)

    async def poll_worker(self) -> None:
        """Renew the tasks' leases and poll their states until cancelled."""
        while True:
            await asyncio.sleep(POLL_EVERY_S)
            for member in self.permit.lapsed(self.clock()):
                self.metrics.count("member_leases_lapsed")
                order = self._prepare_commands[member.job_id]
                if member.state is MemberState.PREPARED:
                    self._end_member(order, MemberState.STOPPED, None)
                else:
                    await self._stop_member(order, True)
            await self._renew_tasks()

    async def _renew_tasks(self) -> None:
        """Renew the tasks of members with a lease; end members by result."""
        running = [
            member
            for member in self.permit.members.values()
            if member.state is MemberState.RUNNING
        ]
        ids: dict[str, Reservation] = {}
        for member in running:
            if member.lease_until <= self.clock():
                continue
            order = self._prepare_commands[member.job_id]
            for task in order.tasks:
                ids[task_id(order, task.index)] = member
        if not ids:
            return
        try:
            statuses = await self.worker.renew(TaskIds(list(ids)))
        except Exception as error:
            self._record_failed_call("renew", error)
            return
        by_id = {task.task_id: task for task in statuses.tasks}
        for member in running:
            await self._end_if_tasks_ended(member, by_id)

    async def _end_if_tasks_ended(
        self, member: Reservation, by_id: dict[str, TaskStatus]
    ) -> None:
        """End a member if its tasks are done, or if one failed or stopped.

        Nothing is done while the worker does not list all of them.
        """
        order = self._prepare_commands.get(member.job_id)
        if order is None or member.state is not MemberState.RUNNING:
            return
        states = []
        for task in order.tasks:
            status = by_id.get(task_id(order, task.index))
            if status is None:
                return
            states.append(status.state)
        if all(state is TaskState.DONE for state in states):
            self._end_member(order, MemberState.DONE, None)
        elif TaskState.FAILED in states:
            await self._stop_tasks(order, False)
            self._end_member(order, MemberState.FAILED, None)
        elif TaskState.STOPPED in states:
            await self._stop_member(order, True)


def task_id(order: MemberCommand, index: int) -> str:
    """Return the id of one task of an attempt, as the worker knows it."""
    return f"{order.job_id}/{order.attempt}/{index}"


def _any_running(tasks: list[TaskStatus]) -> bool:
    return any(task.state is TaskState.RUNNING for task in tasks)
