"""Process the reports of agents about a pool's workers."""

from collections.abc import Callable

from hickorywing.agentlink import AgentLink
from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.knownworker import KnownWorker
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.openmembers import OpenMember
from hickorywing.orders import EndedRun
from hickorywing.orders import RunningRun
from hickorywing.orders import WorkerReport
from hickorywing.policy.jobfaults import describe_error
from hickorywing.policy.pooldrains import should_move
from hickorywing.policy.poolhealth import WorkerHealth
from hickorywing.policy.poolmodel import get_vm
from hickorywing.policy.poolmodel import get_worker_name
from hickorywing.policy.poolprogress import estimate_lost_s
from hickorywing.policy.poolprogress import WorkerTerms
from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolstalls import is_stalled
from hickorywing.policy.workerpace import get_group_key
from hickorywing.policy.workerpace import measure_pace
from hickorywing.policy.workerpace import shows_worker_speed
from hickorywing.policy.workerpace import WorkerPace
from hickorywing.pooljobs import PoolJobs
from hickorywing.poollease import PoolLease
from hickorywing.runlearning import RunLearning
from hickorywing.runorders import RunOrders

__all__ = ["RunReports"]


def get_rack(report: WorkerReport) -> str:
    """Return the rack that a worker reports, empty if none."""
    return report.labels[1] if len(report.labels) > 1 else ""


class RunReports:
    """Compares the runs that workers report with the state of the jobs.

    ``workers`` maps each present incarnation of a worker to its link. Only
    this class changes it; planning and orders read it.
    """

    def __init__(
        self,
        lease: PoolLease,
        workers: dict[str, AgentLink],
        jobs: PoolJobs,
        orders: RunOrders,
        health: WorkerHealth,
        learning: RunLearning,
        terms: WorkerTerms,
        schedule_plan: Callable[[], None],
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._lease = lease
        self._workers = workers
        self._jobs = jobs
        self._orders = orders
        self._health = health
        self._learning = learning
        self._terms = terms
        self._schedule_plan = schedule_plan
        self._log = log
        self._metrics = metrics
        self._known: dict[str, KnownWorker] = {}
        self._awaited_leases: dict[str, float] = {}
        self._crashed: set[str] = set()

    @property
    def worker_pace(self) -> WorkerPace:
        """Return the workers' speeds as estimated from the reports."""
        return self._health.pace

    def handle_report(self, link: AgentLink, report: WorkerReport) -> None:
        """Process an agent's report about its worker."""
        for worker in report.crashed:
            self._record_crash(worker)
        if report.left in self._workers:
            self._remove_worker(report.left)
        if not report.worker:
            return
        if self._workers.get(report.worker) is not link:
            self._add_worker(link, report)
        known = self._known[report.worker]
        known.record_lapse(report, self._jobs.keep_ended_s)
        for end in report.ended:
            self._handle_end(link, report, end)
        if known.record_poll(report):
            self._compare_runs(link, report)
            self._settle_unlisted_ends(report)
        if report.draining:
            self._move_runs(report)
        link.set_busy(self._is_busy(link))

    def _move_runs(self, report: WorkerReport) -> None:
        """Stop runs that should move off a draining worker."""
        now = now_s()
        known = self._known[report.worker]
        leaves_s = known.compute_leaving_s(report, now)
        taken_away = known.is_taken_away(self._terms.drain_s)
        if taken_away:
            self._health.departures.record(
                report.worker, get_rack(report), leaves_s - known.notice_s
            )
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
                self._schedule_plan()

    def _is_busy(self, link: AgentLink) -> bool:
        """Return whether the worker has runs or unacknowledged ends."""
        known = self._known.get(link.worker)
        if known is not None and known.ends:
            return True
        if any(
            end.worker == link.worker
            for _, _, end in self._jobs.list_uncertain_ends()
        ):
            return True
        return bool(self._jobs.members.on_worker(link.worker))

    def get_lease_end_s(self, worker: str) -> float:
        """Return when the last lease of a worker that has left ends.

        The result is negative infinity if none of its members is waited for.
        """
        return self._awaited_leases.get(worker, float("-inf"))

    def _record_crash(self, worker: str) -> None:
        """Record the crash of an incarnation, which many reports repeat."""
        if worker not in self._crashed:
            self._crashed.add(worker)
            self._jobs.record_crash(worker)

    def _remove_worker(self, worker: str) -> None:
        """Remove a worker that has left, and end its members as lost.

        Its next incarnation may carry out a start order without an answer if
        it has the same name. Such a member is stopped there, or given up once
        the lease has ended.
        """
        self._log.write(LogEvent.WORKER_LEFT, worker=worker)
        lease_end_s = self._workers[worker].lease_end_s
        self._drop_worker(worker)
        self._settle_ends_of_earlier(get_vm(worker))
        members = self._jobs.members
        for item in members.on_worker(worker):
            if item.member.may_start_late:
                item.unit.stopping = item.unit.stopping or "its worker left"
            else:
                self._jobs.end_member(item, Ending.LOST)
        self._awaited_leases = {
            name: end_s
            for name, end_s in self._awaited_leases.items()
            if members.on_worker(name)
        }
        if members.on_worker(worker):
            self._awaited_leases[worker] = lease_end_s
            self._schedule_plan()

    def _drop_worker(self, worker: str) -> None:
        """Drop all data on an incarnation that has ended."""
        del self._workers[worker]
        del self._known[worker]
        self._health.forget(worker)

    def _add_worker(self, link: AgentLink, report: WorkerReport) -> None:
        """Add a new incarnation in place of the earlier ones on its VM."""
        vm = get_vm(report.worker)
        replaced = [name for name in self._workers if get_vm(name) == vm]
        for worker in replaced:
            self._drop_worker(worker)
        self._workers[report.worker] = link
        self._known[report.worker] = KnownWorker()
        self._log.write(
            LogEvent.WORKER_FOUND,
            worker=report.worker,
            replaces=replaced,
            zone=report.zone,
            accelerators=report.capacity.accelerators,
            epoch=self._lease.epoch,
        )
        self._schedule_plan()
        self._settle_ends_of_earlier(vm, report.worker)
        for worker in self._jobs.members.list_workers():
            if get_vm(worker) == vm and worker != report.worker:
                for item in self._jobs.members.on_worker(worker):
                    self._handle_worker_restart(item, report.worker)

    def _handle_worker_restart(self, item: OpenMember, successor: str) -> None:
        """End or stop a member whose worker has a new incarnation.

        If the worker restarted under the same name, it may still execute a
        start order for its last incarnation, so the run is stopped there
        before the member ends. Otherwise the member ends as lost.
        """
        unit, member = item.unit, item.member
        if get_worker_name(member.worker) == get_worker_name(successor):
            self._jobs.members.move(item, successor)
            # ``stopped_ms`` is on the clock of the last incarnation.
            member.stopped_ms = None
            unit.stopping = unit.stopping or "the worker has restarted"
        else:
            self._jobs.end_member(item, Ending.LOST)

    def _handle_end(
        self, link: AgentLink, report: WorkerReport, end: EndedRun
    ) -> None:
        if not self._known[report.worker].record_end(end):
            return

        listed_s = now_s()

        def acknowledge() -> None:
            self._metrics.observe("end_to_noted_seconds", now_s() - listed_s)
            self._acknowledge_end(link, report.worker, end.number)

        item = self._jobs.members.find(end.task, end.run, report.worker)
        if item is None:
            self._handle_end_of_other_run(report.worker, end, acknowledge)
            return
        ending = self._parse_ending(end)
        if item.step.lasting and ending is Ending.DONE:
            ending = Ending.STOPPED
        if ending is Ending.DONE and self._ran_near_data(item):
            self._learn(item, listed_s)
        self._jobs.end_member(item, ending, end.saved)
        self._jobs.store(item.state, acknowledge)

    def _learn(self, item: OpenMember, ended_s: float) -> None:
        """Learn from a finished run; an error doesn't affect its end."""
        try:
            self._learning.record_done(item, ended_s)
        except Exception as error:
            self._log.write(
                LogEvent.RUN_TIME_NOT_LEARNED,
                task=item.task,
                reason=describe_error(error),
            )

    def _ran_near_data(self, item: OpenMember) -> bool:
        """Return whether a run shows the usual run time of its step.

        Tasks take several times as long away from their data, or on several
        racks if they prefer a single one.
        """
        step = item.step
        racks = {
            labels[1]
            for member in item.unit.members
            if (link := self._workers.get(member.worker)) is not None
            and link.report is not None
            and len(labels := link.report.labels) > 1
        }
        if step.data_rack:
            return racks <= {step.data_rack}
        return not step.one_rack or len(racks) <= 1

    def _handle_end_of_other_run(
        self, worker: str, end: EndedRun, acknowledge: Callable[[], None]
    ) -> None:
        """Handle the end of a run that is not open on its worker.

        An end that the worker may have listed for an earlier job of the same
        name changes nothing (see ``docs/design/lost-rows.md``). Any end is
        acknowledged only after the job is stored: the run may belong to
        a gang that the end of another member has just closed, and that end may
        not be stored yet.
        """
        has_lapsed = self._known[worker].has_lapsed
        known_run = self._jobs.get_known_run(end.task)
        adopted = not has_lapsed and self._jobs.adopt_end(
            end.task, end.run, end.how
        )
        self._jobs.settle_end(end.task, end.run, worker)
        self._log.write(
            LogEvent.END_OF_ANOTHER_RUN,
            task=end.task,
            run=end.run,
            worker=worker,
            how=end.how,
            known_run=known_run,
            lapsed=has_lapsed,
            adopted=adopted,
        )
        state = self._jobs.find_job(end.task)
        if state is None:
            acknowledge()
        else:
            self._jobs.store(state, acknowledge)

    def _parse_ending(self, end: EndedRun) -> Ending:
        """Return how a run ended; unknown values count as stopped."""
        try:
            return Ending(end.how)
        except ValueError:
            self._log.write(
                LogEvent.ENDING_NOT_KNOWN, task=end.task, how=end.how
            )
            return Ending.STOPPED

    def _acknowledge_end(
        self, link: AgentLink, worker: str, number: int
    ) -> None:
        """Mark an end as stored, and acknowledge ends up to the first gap.

        The worker forgets all ends up to the acknowledged number.
        """
        known = self._known.get(worker)
        if known is not None and link.worker == worker:
            link.acknowledge_ends(known.record_stored(number))

    def _compare_runs(self, link: AgentLink, report: WorkerReport) -> None:
        """Compare the runs that a worker lists with the members on it."""
        listed = {(item.task, item.run) for item in report.running}
        for run in report.running:
            listed_run = (run.task, run.run, report.worker)
            item = self._jobs.members.find(*listed_run)
            if item is None and self._jobs.adopt_run(*listed_run):
                item = self._jobs.members.find(*listed_run)
            if item is None:
                self._orders.stop_stray(link, report.worker, run)
            else:
                self._handle_listed_run(item, run, report)
        for item in self._jobs.members.on_worker(report.worker):
            if (item.task, item.unit.run) not in listed:
                self._handle_absent_run(item, report)

    def _handle_listed_run(
        self, item: OpenMember, run: RunningRun, report: WorkerReport
    ) -> None:
        member = item.member
        if not member.seen:
            member.seen = True
            self._metrics.observe(
                "start_to_running_seconds", now_s() - item.unit.placed_at_s
            )
        # The lists are as old as the agent's last poll of the worker.
        polled_ago_s = max(0, report.clock_ms - report.looked_ms) / 1000
        member.record_progress(run.percent, now_s() - polled_ago_s)
        self._record_pace(item, report)
        self._jobs.record_checkpoint(item, run.saved)
        self._orders.repeat_stop_if_running(member, report.looked_ms)
        self._stop_if_stalled(item)

    def _record_pace(self, item: OpenMember, report: WorkerReport) -> None:
        """Record the worker's pace, once for each member of a run."""
        member, unit = item.member, item.unit
        rack = get_rack(report)
        if member.pace_recorded or not shows_worker_speed(item.step, rack):
            return
        percent_s = measure_pace(member)
        if percent_s is not None:
            member.pace_recorded = True
            self._health.pace.record_pace(
                get_group_key(unit, item.step),
                report.worker,
                percent_s,
                item.step.gang,
            )

    def _stop_if_stalled(self, item: OpenMember) -> None:
        """Stop a stalled run, so that it is placed on another worker."""
        unit, now = item.unit, now_s()
        lost_s = estimate_lost_s(unit, item.step, now, self._terms)
        if unit.stopping or not is_stalled(
            unit, item.member, item.step, now, lost_s
        ):
            return
        unit.stopping = "stands still"
        unit.stalls += 1
        item.state.record_failure(item.member.worker, now)
        self._log.write(
            LogEvent.RUN_STALLED,
            task=item.task,
            run=unit.run,
            worker=item.member.worker,
            percent=item.member.percent,
            since_s=round(now - item.member.percent_at_s, 1),
        )
        self._metrics.count("runs_stalled")
        self._schedule_plan()

    def _settle_ends_of_earlier(self, vm: str, present: str = "") -> None:
        """Settle the inferred ends that only a worker that is gone has listed.

        ``present`` is the incarnation on the VM now, if any.
        """
        for task, run, end in self._jobs.list_uncertain_ends():
            if get_vm(end.worker) == vm and end.worker != present:
                self._jobs.settle_end(task, run, end.worker)

    def _settle_unlisted_ends(self, report: WorkerReport) -> None:
        """Settle the inferred ends that a worker would list but doesn't.

        A worker lists the ends that were not acknowledged, some at a time, so
        an empty list shows that it has no others. A list from before the
        inference shows nothing, as the run may have ended after it.
        """
        if report.ended or report.asked_ago_ms < 0:
            return
        listed = {(item.task, item.run) for item in report.running}
        # The estimate of the worker's clock doesn't tell: a heartbeat that was
        # held up sets it back.
        asked_s = now_s() - report.asked_ago_ms / 1000
        for task, run, end in self._jobs.list_uncertain_ends():
            if (
                end.worker == report.worker
                and (task, run) not in listed
                and asked_s > end.since_s
            ):
                self._jobs.settle_end(task, run, end.worker)

    def _handle_absent_run(
        self, item: OpenMember, report: WorkerReport
    ) -> None:
        """End a member that is not listed and whose stop was confirmed."""
        stopped_ms = item.member.stopped_ms
        if stopped_ms is not None and report.looked_ms > stopped_ms:
            self._jobs.end_member(item, Ending.STOPPED)
