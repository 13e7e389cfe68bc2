"""Take a pool's jobs through their runs, from what the workers report.

Decisions come from ``hickorywing.policy``; this module feeds them, stores
their outcome through the committer and has the orders given.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass

from hickorywing.agentlink import AgentLink
from hickorywing.clock import now_s
from hickorywing.committer import Committer
from hickorywing.decisions import DecisionLog
from hickorywing.jobrows import cancel_key
from hickorywing.jobrows import encode_progress
from hickorywing.jobrows import job_key
from hickorywing.jobrows import progress_key
from hickorywing.knownworker import KnownWorker
from hickorywing.metrics import Metrics
from hickorywing.orders import EndedRun
from hickorywing.orders import RunningRun
from hickorywing.orders import WorkerReport
from hickorywing.policy.pooldrains import should_move
from hickorywing.policy.poolhealth import WorkerHealth
from hickorywing.policy.poolmodel import name_of
from hickorywing.policy.poolmodel import vm_of
from hickorywing.policy.poolplanner import Assignment
from hickorywing.policy.poolprogress import estimate_lost_s
from hickorywing.policy.poolprogress import ProgressTerms
from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolruns import format_task
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolruns import Member
from hickorywing.policy.poolruns import parse_task
from hickorywing.policy.poolruns import Unit
from hickorywing.policy.poolstalls import is_stalled
from hickorywing.poolconfig import ConfigurationView
from hickorywing.poollease import PoolLease
from hickorywing.runorders import OpenMember
from hickorywing.runorders import RunOrders
from hickorywing.runplanning import RunPlanning

__all__ = ["ControllerTerms", "RunControl"]

# Placements wait for their commit, so none is made while one is stuck.
COMMIT_STUCK_S = 0.5
# Later than any lease that an earlier controller may have granted.
LEASE_SLACK_S = 0.5
# One transaction for all jobs that save. What was saved since the last one is
# lost with the controller and the worker together.
STORE_SAVES_EVERY_S = 2.0
# Bounds the size of one transaction; 15 a sweep are 130,000 jobs a day.
FORGET_AT_ONCE = 15


@dataclass(frozen=True, slots=True)
class ControllerTerms:
    """Bounds of the deployment that a controller keeps, in seconds.

    The rows of an ended job are kept for ``keep_ended_s``.
    """

    lease_limit_s: float
    config_age_limit_s: float
    keep_ended_s: float
    progress: ProgressTerms = ProgressTerms()


class RunControl:
    """The jobs of one pool during one term of its controller."""

    def __init__(
        self,
        lease: PoolLease,
        view: ConfigurationView,
        terms: ControllerTerms,
        committer: Committer,
        is_settled: Callable[[], bool],
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.jobs: dict[str, JobState] = {}
        self._pool = lease.pool
        self._lease = lease
        self._view = view
        self._config_age_limit_s = terms.config_age_limit_s
        self._progress = terms.progress
        self._health = WorkerHealth()
        self._committer = committer
        self._is_settled = is_settled
        self._log = log
        self._metrics = metrics
        self._workers: dict[str, AgentLink] = {}
        self._earlier_leases_end_s = (
            now_s() + terms.lease_limit_s + LEASE_SLACK_S
        )
        self._cancels: set[str] = set()
        self._ended_s: dict[str, float] = {}
        self._keep_ended_s = terms.keep_ended_s
        self._live: dict[str, JobState] = {}
        self._known: dict[str, KnownWorker] = {}
        self._orders = RunOrders(
            lease, self._workers, self._end_member, self.wake, log, metrics
        )
        self._planning = RunPlanning(
            self._workers, view, self._health, self._orders, terms.progress
        )
        self._acting = False
        self._unstored_saves: set[str] = set()
        self._saves_stored_s = 0.0

    def close(self) -> None:
        """Stop giving orders."""
        self._orders.close()

    def wake(self) -> None:
        """Plan and give orders soon, once for all that happens at a time."""
        if not self._acting:
            self._acting = True
            asyncio.get_running_loop().call_soon(self._act)

    def tick(self, unix_s: float) -> None:
        """Do what depends on time: due occurrences, lapsed leases, orders."""
        now = now_s()
        for state in self._live.values():
            if state.job.occurrences:
                state.open_due_occurrences(unix_s, now)
        self._end_lapsed(now)
        if now - self._saves_stored_s >= STORE_SAVES_EVERY_S:
            self._saves_stored_s = now
            self._store_saves()
        self._act()

    def _store_saves(self) -> None:
        """Store the newest saves, so that a loss of all VMs keeps them."""
        for job_id in self._unstored_saves & self._live.keys():
            self._store(self._live[job_id])
        self._unstored_saves.clear()

    def _store(
        self, state: JobState, stored: Callable[[], None] | None = None
    ) -> None:
        self._committer.put(
            progress_key(self._pool, state.job.job_id),
            lambda: encode_progress(state),
            stored,
        )

    def _act(self) -> None:
        self._acting = False
        if self._may_place():
            self._plan()
        self._orders.give(self._open_members())

    # Jobs

    def add(self, state: JobState, restored: bool) -> None:
        """Take in an accepted job."""
        job = state.job
        self.jobs[job.job_id] = state
        if state.final and not any(state.running_units()):
            return
        self._live[job.job_id] = state
        if job.job_id in self._cancels:
            self._cancel(state)
        if not restored:
            self._log.write(
                "job seen",
                job=job.job_id,
                queue=job.terms.queue,
                customer=job.customer,
                version=state.accepted,
            )
        self.wake()

    def cancel(self, job_id: str) -> None:
        """Take in a job's cancelling, which may come before the job."""
        self._cancels.add(job_id)
        state = self._live.get(job_id)
        if state is not None:
            self._cancel(state)

    def _cancel(self, state: JobState) -> None:
        if not state.cancelled:
            state.cancelled = True
            self._log.write("job cancelled", job=state.job.job_id)
            self._settle(state)

    def _settle(self, state: JobState) -> None:
        """Work out a job's status after a change and store it."""
        if state.update_status():
            self._log.write(
                "job status", job=state.job.job_id, status=state.status
            )
            self._metrics.count("jobs", status=state.status)
        if state.final:
            for unit in state.running_units():
                unit.stopping = unit.stopping or f"job {state.status}"
            if not any(state.running_units()):
                self._live.pop(state.job.job_id, None)
        self._store(state)
        self.wake()

    def forget_ended(self) -> None:
        """Delete the rows of jobs that ended long ago."""
        now = now_s()
        ended = []
        for job_id, state in self.jobs.items():
            if len(ended) >= FORGET_AT_ONCE:
                break
            if not state.final or job_id in self._live:
                continue
            since_s = self._ended_s.setdefault(job_id, now)
            if now - since_s >= self._keep_ended_s:
                ended.append(job_id)
        for job_id in ended:
            del self.jobs[job_id], self._ended_s[job_id]
            self._cancels.discard(job_id)
            self._committer.remove(
                (
                    job_key(self._pool, job_id),
                    cancel_key(self._pool, job_id),
                    progress_key(self._pool, job_id),
                )
            )
        if ended:
            self._log.write("jobs forgotten", jobs=len(ended))

    # Reports of workers

    def take_report(self, link: AgentLink, report: WorkerReport) -> None:
        """Take in what an agent reports of its worker."""
        if report.epoch > self._lease.epoch:
            self._lease.surrender(f"an agent has heard epoch {report.epoch}")
            return
        if report.left in self._workers:
            self._forget_worker(report.left)
        if not report.worker:
            return
        if self._workers.get(report.worker) is not link:
            self._meet_worker(link, report)
        for end in report.ended:
            self._take_end(link, report, end)
        if self._known[report.worker].is_new_look(report):
            self._take_running(link, report)
        if report.draining:
            self._move_runs(report)
        link.set_busy(self._is_busy(link))
        self.wake()

    def _move_runs(self, report: WorkerReport) -> None:
        """Stop the runs that can't end before their worker may leave."""
        now = now_s()
        leaves_s = self._known[report.worker].find_leaving_s(report, now)
        for item in self._open_members():
            unit = item.unit
            if item.member.worker != report.worker or unit.stopping:
                continue
            if should_move(unit, item.step, now, leaves_s):
                unit.stopping = "its worker leaves"
                self._log.write(
                    "run moved",
                    task=item.task,
                    run=unit.run,
                    worker=report.worker,
                    percent=item.member.percent,
                    leaves_in_s=round(leaves_s - now, 2),
                )
                self._metrics.count("runs_moved")

    def _is_busy(self, link: AgentLink) -> bool:
        """Tell whether the worker has to be looked at."""
        known = self._known.get(link.worker)
        if known is not None and known.ends:
            return True
        return any(
            item.member.worker == link.worker for item in self._open_members()
        )

    def _forget_worker(self, worker: str) -> None:
        """Take in that a worker has left; what ran on it is lost."""
        self._log.write("worker left", worker=worker)
        del self._workers[worker]
        del self._known[worker]
        for item in list(self._open_members()):
            if item.member.worker == worker:
                self._end_member(
                    item.state, item.unit, item.member, Ending.LOST
                )

    def _meet_worker(self, link: AgentLink, report: WorkerReport) -> None:
        """Take in a new incarnation; what ran on earlier ones is lost."""
        vm = vm_of(report.worker)
        gone = [name for name in self._workers if vm_of(name) == vm]
        for worker in gone:
            del self._workers[worker]
            del self._known[worker]
            self._health.forget(worker)
        self._workers[report.worker] = link
        self._known[report.worker] = KnownWorker()
        self._log.write(
            "worker found",
            worker=report.worker,
            replaces=gone,
            zone=report.zone,
            accelerators=report.capacity.accelerators,
            epoch=self._lease.epoch,
        )
        for item in list(self._open_members()):
            worker = item.member.worker
            if vm_of(worker) == vm and worker != report.worker:
                self._lose_member(item, report.worker)

    def _lose_member(self, item: OpenMember, successor: str) -> None:
        """End a member whose worker has a new incarnation.

        A worker that restarted under its old name may still carry out a
        start order that was meant for its last incarnation, so the run is
        stopped there first.
        """
        unit, member = item.unit, item.member
        if name_of(member.worker) == name_of(successor):
            member.worker = successor
            # A stop was confirmed by the clock of the last incarnation.
            member.stopped_ms = None
            unit.stopping = unit.stopping or "the worker has restarted"
        else:
            self._end_member(item.state, unit, member, Ending.LOST)

    def _find(self, name: str, run: int, worker: str) -> OpenMember | None:
        """Return the open member that a worker's list names."""
        task = parse_task(name)
        state = None if task is None else self._live.get(task.job_id)
        unit = None if state is None else state.find_unit(task)
        member = None if unit is None else unit.find(task.index)
        if (
            member is None
            or unit.run != run
            or member.worker != worker
            or member.ending is not None
        ):
            return None
        return OpenMember(state, unit, member)

    def _take_end(
        self, link: AgentLink, report: WorkerReport, end: EndedRun
    ) -> None:
        if not self._known[report.worker].is_new_end(end):
            return

        def note() -> None:
            self._note_end(link, report.worker, end.number)

        item = self._find(end.task, end.run, report.worker)
        if item is None:
            self._log.write(
                "end of another run", task=end.task, run=end.run, how=end.how
            )
            note()
            return
        ending = self._read_ending(end)
        if item.step.lasting and ending is Ending.DONE:
            ending = Ending.STOPPED
        self._end_member(item.state, item.unit, item.member, ending, end.saved)
        self._store(item.state, note)

    def _read_ending(self, end: EndedRun) -> Ending:
        """Return how a run ended; what isn't known counts as stopped."""
        try:
            return Ending(end.how)
        except ValueError:
            self._log.write("ending not known", task=end.task, how=end.how)
            return Ending.STOPPED

    def _note_end(self, link: AgentLink, worker: str, number: int) -> None:
        """Let the worker forget the ends that are stored without a gap."""
        known = self._known.get(worker)
        if known is not None and link.worker == worker:
            link.note(known.store_end(number))

    def _end_member(
        self,
        state: JobState,
        unit: Unit,
        member: Member,
        ending: Ending,
        saved: str = "",
    ) -> None:
        """Note that a member has ended, and store it."""
        unit.end(member, ending, saved)
        self._note_health(state, member, ending)
        self._log.write(
            "run ended",
            task=format_task(unit.task(member)),
            run=unit.run,
            worker=member.worker,
            how=ending,
            stopping=unit.stopping,
        )
        self._metrics.count("runs_ended", how=ending)
        if not unit.running and not unit.done:
            unit.waiting_since_s = now_s()
        self._settle(state)

    def _note_health(
        self, state: JobState, member: Member, ending: Ending
    ) -> None:
        """Learn from an ending how good its worker is."""
        worker = member.worker
        if ending is Ending.DONE:
            self._health.note_done(worker, now_s())
        elif ending is Ending.FAILED:
            was_bad = self._health.is_bad(worker, now_s())
            state.note_failed(worker, now_s())
            self._health.note_failed(worker, state.job.job_id, now_s())
            if self._health.is_bad(worker, now_s()) and not was_bad:
                self._log.write("worker set aside", worker=worker)

    def _take_running(self, link: AgentLink, report: WorkerReport) -> None:
        """Compare the runs that a worker lists with what should be there."""
        listed = {(item.task, item.run) for item in report.running}
        for run in report.running:
            item = self._find(run.task, run.run, report.worker)
            if item is None:
                self._orders.stop_stray(link, report.worker, run)
            else:
                self._take_listed(item, run, report)
        for item in list(self._open_members()):
            if item.member.worker != report.worker:
                continue
            if (item.task, item.unit.run) not in listed:
                self._take_absent(item, report)

    def _take_listed(
        self, item: OpenMember, run: RunningRun, report: WorkerReport
    ) -> None:
        member = item.member
        if not member.seen:
            member.seen = True
            self._metrics.observe(
                "start_to_running_seconds", now_s() - item.unit.placed_at_s
            )
        # The lists are from the agent's last look.
        looked_ago_s = max(0, report.clock_ms - report.looked_ms) / 1000
        member.note_percent(run.percent, now_s() - looked_ago_s)
        if run.saved and run.saved != item.unit.saved:
            item.unit.saved = run.saved
            self._unstored_saves.add(item.state.job.job_id)
        self._orders.check_stop(member, report.looked_ms)
        self._check_stall(item)

    def _check_stall(self, item: OpenMember) -> None:
        """Stop a run that stands still, so that it is placed elsewhere."""
        unit, now = item.unit, now_s()
        lost_s = estimate_lost_s(unit, item.step, now, self._progress)
        if unit.stopping or not is_stalled(
            unit, item.member, item.step, now, lost_s
        ):
            return
        unit.stopping = "stands still"
        unit.stalls += 1
        item.state.note_failed(item.member.worker, now)
        self._log.write(
            "run stalled",
            task=item.task,
            run=unit.run,
            worker=item.member.worker,
            percent=item.member.percent,
            since_s=round(now - item.member.percent_at_s, 1),
        )
        self._metrics.count("runs_stalled")

    def _take_absent(self, item: OpenMember, report: WorkerReport) -> None:
        """End a member that was stopped before it was there."""
        stopped_ms = item.member.stopped_ms
        if stopped_ms is not None and report.looked_ms > stopped_ms:
            self._end_member(
                item.state, item.unit, item.member, Ending.STOPPED
            )

    def _open_members(self) -> Iterator[OpenMember]:
        for state in list(self._live.values()):
            for unit in list(state.running_units()):
                for member in list(unit.open_members()):
                    yield OpenMember(state, unit, member)

    def _end_lapsed(self, now: float) -> None:
        """End what ran on workers whose every lease has run out."""
        for item in list(self._open_members()):
            link = self._workers.get(item.member.worker)
            end_s = self._earlier_leases_end_s
            if link is not None:
                end_s = link.lease_end_s + LEASE_SLACK_S
            if now > end_s:
                self._end_member(
                    item.state, item.unit, item.member, Ending.LAPSED
                )

    # Planning

    def _may_place(self) -> bool:
        return (
            self._lease.holds()
            and self._is_settled()
            and self._committer.stuck_s() < COMMIT_STUCK_S
            and self._view.age_s(now_s()) < self._config_age_limit_s
        )

    def _plan(self) -> None:
        """Place waiting units and stop what has to give way."""
        plan = self._planning.make_plan(
            self._live.values(), self._open_members()
        )
        for assignment in plan.starts:
            self._place(assignment)
        for victim, unit in plan.stops:
            self._preempt(victim, unit)

    def _place(self, assignment: Assignment) -> None:
        unit = assignment.unit
        unit.place(list(assignment.workers), now_s())
        state = self._live[unit.job_id]
        self._log.write(
            "run placed",
            job=unit.job_id,
            occurrence=unit.occurrence,
            step=unit.step,
            first=unit.first,
            run=unit.run,
            workers=assignment.workers,
            config=self._view.configuration.version,
            waited_s=round(now_s() - unit.waiting_since_s, 3),
        )
        run = unit.run

        def commit() -> None:
            if unit.run == run:
                unit.committed = True
                self.wake()

        state.update_status()
        self._store(state, commit)
        for worker in assignment.workers:
            self._workers[worker].set_busy(True)

    def _preempt(self, victim: Unit, unit: Unit) -> None:
        victim.stopping = f"gives way to {unit.job_id}"
        self._log.write(
            "run preempted", job=victim.job_id, run=victim.run,
            step=victim.step, first=victim.first, gives_way_to=unit.job_id,
        )  # fmt: skip
        self._metrics.count("preemptions")
