"""Take in what agents report of a pool's workers."""

from collections.abc import Callable

from hickorywing.agentlink import AgentLink
from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.knownworker import KnownWorker
from hickorywing.livejobs import LiveJobs
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.openmembers import OpenMember
from hickorywing.orders import EndedRun
from hickorywing.orders import RunningRun
from hickorywing.orders import WorkerReport
from hickorywing.policy.pooldrains import should_move
from hickorywing.policy.poolhealth import WorkerHealth
from hickorywing.policy.poolmodel import name_of
from hickorywing.policy.poolmodel import vm_of
from hickorywing.policy.poolprogress import estimate_lost_s
from hickorywing.policy.poolprogress import WorkerTerms
from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolstalls import is_stalled
from hickorywing.policy.workerpace import is_comparable
from hickorywing.policy.workerpace import measure_pace
from hickorywing.policy.workerpace import name_group
from hickorywing.policy.workerpace import WorkerPace
from hickorywing.poollease import PoolLease
from hickorywing.runorders import RunOrders

__all__ = ["RunReports"]


class RunReports:
    """Compares what the workers list with what the jobs should have there.

    ``workers`` maps each present incarnation to its link; planning and orders
    read it.
    """

    def __init__(
        self,
        lease: PoolLease,
        workers: dict[str, AgentLink],
        jobs: LiveJobs,
        orders: RunOrders,
        health: WorkerHealth,
        terms: WorkerTerms,
        wake: Callable[[], None],
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._lease = lease
        self._workers = workers
        self._jobs = jobs
        self._orders = orders
        self._health = health
        self._terms = terms
        self._wake = wake
        self._log = log
        self._metrics = metrics
        self._known: dict[str, KnownWorker] = {}

    @property
    def paces(self) -> WorkerPace:
        """Return what the reports have told of the workers' speeds."""
        return self._health.pace

    def take(self, link: AgentLink, report: WorkerReport) -> None:
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

    def _move_runs(self, report: WorkerReport) -> None:
        """Stop the runs that can't end before their worker may leave."""
        now = now_s()
        known = self._known[report.worker]
        leaves_s = known.find_leaving_s(report, now)
        taken_away = known.is_taken_away(self._terms.drain_s)
        for item in self._jobs.members.on_worker(report.worker):
            unit = item.unit
            if unit.stopping:
                continue
            if should_move(unit, item.step, now, leaves_s, taken_away):
                unit.stopping = "its worker leaves"
                self._log.write(
                    LogEvent.RUN_MOVED,
                    task=item.task,
                    run=unit.run,
                    worker=report.worker,
                    percent=item.member.percent,
                    leaves_in_s=round(leaves_s - now, 2),
                )
                self._metrics.count("runs_moved")
                self._wake()

    def _is_busy(self, link: AgentLink) -> bool:
        """Tell whether the worker has to be looked at."""
        known = self._known.get(link.worker)
        if known is not None and known.ends:
            return True
        return bool(self._jobs.members.on_worker(link.worker))

    def _forget_worker(self, worker: str) -> None:
        """Take in that a worker has left; what ran on it is lost."""
        self._log.write(LogEvent.WORKER_LEFT, worker=worker)
        self._drop(worker)
        for item in self._jobs.members.on_worker(worker):
            self._jobs.end_member(item, Ending.LOST)

    def _drop(self, worker: str) -> None:
        """Forget all that is known of an incarnation that is over."""
        del self._workers[worker]
        del self._known[worker]
        self._health.forget(worker)

    def _meet_worker(self, link: AgentLink, report: WorkerReport) -> None:
        """Take in a new incarnation; what ran on earlier ones is lost."""
        vm = vm_of(report.worker)
        gone = [name for name in self._workers if vm_of(name) == vm]
        for worker in gone:
            self._drop(worker)
        self._workers[report.worker] = link
        self._known[report.worker] = KnownWorker()
        self._log.write(
            LogEvent.WORKER_FOUND,
            worker=report.worker,
            replaces=gone,
            zone=report.zone,
            accelerators=report.capacity.accelerators,
            epoch=self._lease.epoch,
        )
        self._wake()
        for worker in self._jobs.members.list_workers():
            if vm_of(worker) == vm and worker != report.worker:
                for item in self._jobs.members.on_worker(worker):
                    self._lose_member(item, report.worker)

    def _lose_member(self, item: OpenMember, successor: str) -> None:
        """End a member whose worker has a new incarnation.

        A worker that restarted under its old name may still carry out a
        start order that was meant for its last incarnation, so the run is
        stopped there first.
        """
        unit, member = item.unit, item.member
        if name_of(member.worker) == name_of(successor):
            self._jobs.members.move(item, successor)
            # A stop was confirmed by the clock of the last incarnation.
            member.stopped_ms = None
            unit.stopping = unit.stopping or "the worker has restarted"
        else:
            self._jobs.end_member(item, Ending.LOST)

    def _take_end(
        self, link: AgentLink, report: WorkerReport, end: EndedRun
    ) -> None:
        if not self._known[report.worker].is_new_end(end):
            return

        listed_s = now_s()

        def note() -> None:
            self._metrics.observe("end_to_noted_seconds", now_s() - listed_s)
            self._note_end(link, report.worker, end.number)

        item = self._jobs.members.find(end.task, end.run, report.worker)
        if item is None:
            self._take_other_end(end, note)
            return
        ending = self._read_ending(end)
        if item.step.lasting and ending is Ending.DONE:
            ending = Ending.STOPPED
        self._jobs.end_member(item, ending, end.saved)
        self._jobs.store(item.state, note)

    def _take_other_end(self, end: EndedRun, note: Callable[[], None]) -> None:
        """Take in the end of a run that is not the present one of its task.

        Its worker forgets it only once the job is stored: the end may be that
        of a gang whose other members have ended its run a moment before.
        """
        adopted = False
        if end.how == Ending.DONE:
            adopted = self._jobs.adopt_done(end.task, end.run)
        elif end.how == Ending.FAILED:
            adopted = self._jobs.count_late_failure(end.task, end.run)
        self._log.write(
            LogEvent.END_OF_ANOTHER_RUN,
            task=end.task,
            run=end.run,
            how=end.how,
            adopted=adopted,
        )
        state = self._jobs.find_job(end.task)
        if state is None:
            note()
        else:
            self._jobs.store(state, note)

    def _read_ending(self, end: EndedRun) -> Ending:
        """Return how a run ended; what isn't known counts as stopped."""
        try:
            return Ending(end.how)
        except ValueError:
            self._log.write(
                LogEvent.ENDING_NOT_KNOWN, task=end.task, how=end.how
            )
            return Ending.STOPPED

    def _note_end(self, link: AgentLink, worker: str, number: int) -> None:
        """Let the worker forget the ends that are stored without a gap."""
        known = self._known.get(worker)
        if known is not None and link.worker == worker:
            link.note(known.store_end(number))

    def _take_running(self, link: AgentLink, report: WorkerReport) -> None:
        """Compare the runs that a worker lists with what should be there."""
        listed = {(item.task, item.run) for item in report.running}
        for run in report.running:
            item = self._jobs.members.find(run.task, run.run, report.worker)
            if item is None:
                self._orders.stop_stray(link, report.worker, run)
            else:
                self._take_listed(item, run, report)
        for item in self._jobs.members.on_worker(report.worker):
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
        self._note_pace(item, report)
        self._jobs.note_save(item, run.saved)
        self._orders.check_stop(member, report.looked_ms)
        self._check_stall(item)

    def _note_pace(self, item: OpenMember, report: WorkerReport) -> None:
        """Learn once from each run how fast its worker is."""
        member, unit = item.member, item.unit
        rack = report.labels[1] if len(report.labels) > 1 else ""
        if member.paced or not is_comparable(item.step, rack):
            return
        percent_s = measure_pace(member)
        if percent_s is not None:
            member.paced = True
            self._health.pace.note(
                name_group(unit, item.step),
                report.worker,
                percent_s,
                item.step.gang,
            )

    def _check_stall(self, item: OpenMember) -> None:
        """Stop a run that stands still, so that it is placed elsewhere."""
        unit, now = item.unit, now_s()
        lost_s = estimate_lost_s(unit, item.step, now, self._terms)
        if unit.stopping or not is_stalled(
            unit, item.member, item.step, now, lost_s
        ):
            return
        unit.stopping = "stands still"
        unit.stalls += 1
        item.state.note_failed(item.member.worker, now)
        self._log.write(
            LogEvent.RUN_STALLED,
            task=item.task,
            run=unit.run,
            worker=item.member.worker,
            percent=item.member.percent,
            since_s=round(now - item.member.percent_at_s, 1),
        )
        self._metrics.count("runs_stalled")
        self._wake()

    def _take_absent(self, item: OpenMember, report: WorkerReport) -> None:
        """End a member that was stopped before it was there."""
        stopped_ms = item.member.stopped_ms
        if stopped_ms is not None and report.looked_ms > stopped_ms:
            self._jobs.end_member(item, Ending.STOPPED)
