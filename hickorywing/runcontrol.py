"""Control the runs of a pool's jobs during one term of a controller.

Connects the jobs, the workers' reports, the plans and the orders. The
decisions are made in ``hickorywing.policy``, and their results are stored
before any order follows from them.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
import itertools

import msgspec

from hickorywing.agentlink import AgentLink
from hickorywing.clock import now_s
from hickorywing.committer import Committer
from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.openmembers import OpenMember
from hickorywing.pacing import Pacer
from hickorywing.policy.brokengangs import must_have_ended
from hickorywing.policy.customershares import CustomerShares
from hickorywing.policy.jobfaults import describe_error
from hickorywing.policy.jobfaults import JobFault
from hickorywing.policy.jobpreview import UnitPreview
from hickorywing.policy.planthrottle import PlanThrottle
from hickorywing.policy.poolhealth import WorkerHealth
from hickorywing.policy.poolmodel import get_vm
from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolplans import Assignment
from hickorywing.policy.poolplans import Plan
from hickorywing.policy.poolplans import SpeedMove
from hickorywing.policy.poolprogress import WorkerTerms
from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolruns import Unit
from hickorywing.policy.poolsearch import URGENT_PRIORITY
from hickorywing.poolconfig import ConfigurationView
from hickorywing.pooljobs import PoolJobs
from hickorywing.poollease import PoolLease
from hickorywing.poolrows import customer_shares_key
from hickorywing.poolrows import worker_speeds_key
from hickorywing.runlearning import RunLearning
from hickorywing.runorders import RunOrders
from hickorywing.runplanning import PlanAbandoned
from hickorywing.runplanning import RunPlanning
from hickorywing.runreports import RunReports

__all__ = ["ControllerTerms", "RunControl"]

# No plan is made while a commit has been unanswered for this long, as starts
# wait until their placement is committed.
MAX_COMMIT_PENDING_S = 0.5
# Margin after the latest end of a worker's lease, granted by this or an
# earlier controller, before the members on it count as ended.
LEASE_SLACK_S = 0.5
# New checkpoints of all jobs are stored together, at this interval. Those made
# since then are lost only if the controller and the worker fail together.
STORE_SAVES_INTERVAL_S = 2.0
# The shares of customers change with each run. A successor that begins with
# values this old errs by little, as they are means over 30 s.
STORE_SHARES_INTERVAL_S = 10.0
# Limits the row of uneven workers, about 50 bytes each, to 2.5 KB a second.
MAX_STORED_PACES = 100
# Ratio by which a worker's factor has to change before it is stored again.
MIN_STORED_CHANGE = 1.1


@dataclass(frozen=True, slots=True)
class ControllerTerms:
    """Time limits of the deployment that a controller respects, in seconds.

    ``lease_limit_s`` is the maximum of a worker's lease. No plan is made with
    a configuration confirmed ``config_age_limit_s`` ago or longer. The rows
    of an ended job are kept for ``keep_ended_s``. ``learn_run_times`` is
    whether run times are learned from finished runs. A gang that has waited
    for ``overtaking_limit_s`` may displace less urgent work. With
    ``share_by_customer``, customers that compete for room take turns.
    """

    lease_limit_s: float
    config_age_limit_s: float
    keep_ended_s: float
    workers: WorkerTerms = WorkerTerms()
    learn_run_times: bool = True
    overtaking_limit_s: float = float("inf")
    share_by_customer: bool = False


def key_by_vm(slowdowns: Mapping[str, float]) -> dict[str, float]:
    """Return the workers' factors by the names of their VMs."""
    return {get_vm(worker): factor for worker, factor in slowdowns.items()}


class RunControl:
    """Plans, places and stops the runs of a pool.

    ``jobs`` has the state of the jobs, ``learning`` the learned run times, and
    ``reports`` handles the reports of the agents. ``is_settled`` returns
    whether enough workers are known.
    """

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
        self._lease = lease
        self._view = view
        self._config_age_limit_s = terms.config_age_limit_s
        self._committer = committer
        self._is_settled = is_settled
        self._log = log
        self._metrics = metrics
        self._previous_leases_end_s = (
            now_s() + terms.lease_limit_s + LEASE_SLACK_S
        )
        self._closed = False
        self._plan_requested = False
        self._plan_task: asyncio.Task[None] | None = None
        self._held_since_s: float | None = None
        self._orders_due = False
        self._orders_requested = False
        self._slow: frozenset[str] = frozenset()
        # The stored factors of uneven workers, by VM.
        self._stored_speeds: dict[str, float] = {}
        self._plan_throttle = PlanThrottle()
        self._saves_stored_s = 0.0
        self._shares = CustomerShares() if terms.share_by_customer else None
        self._stored_shares: dict[str, float] = {}
        self._shares_due_s = 0.0
        self._workers: dict[str, AgentLink] = {}
        health = WorkerHealth()
        self.jobs = PoolJobs(
            lease.pool,
            terms.keep_ended_s,
            committer,
            health,
            self.schedule_plan,
            log,
            metrics,
        )
        self.learning = RunLearning(
            lease.pool,
            terms.learn_run_times,
            health.pace.get_slowdown,
            committer,
            log,
            metrics,
        )
        self._orders = RunOrders(
            lease,
            view,
            terms.config_age_limit_s,
            self._workers,
            self.jobs.end_member,
            self.schedule_plan,
            log,
            metrics,
        )
        self.reports = RunReports(
            lease,
            self._workers,
            self.jobs,
            self._orders,
            health,
            self.learning,
            terms.workers,
            self.schedule_plan,
            log,
            metrics,
        )
        self._planning = RunPlanning(
            self._workers,
            view,
            health,
            self.learning,
            self._orders,
            terms.workers,
            terms.overtaking_limit_s,
            self._shares,
        )

    def close(self) -> None:
        """Stop planning and sending orders."""
        self._closed = True
        if self._plan_task is not None:
            self._plan_task.cancel()
        self._orders.close()

    @property
    def plan_due(self) -> bool:
        """Return whether a plan is requested or being made."""
        return self._plan_requested or self._plan_task is not None

    def schedule_plan(self) -> None:
        """Schedule orders at once, and a plan as soon as the throttle allows.

        All changes until then share one plan. Orders, such as stops of
        cancelled jobs, don't wait for it.
        """
        self._schedule_orders()
        if not self._plan_requested:
            self._plan_requested = True
            if self._plan_task is None:
                self._call_plan()

    def _call_plan(self) -> None:
        """Begin the requested plan as soon as the throttle allows."""
        wait_s = self._plan_throttle.get_wait_s(now_s())
        asyncio.get_running_loop().call_later(
            wait_s, self._plan_and_send_orders
        )

    def _schedule_orders(self) -> None:
        """Send orders in the next iteration of the event loop."""
        self._orders_requested = True
        self._call_orders()

    def _call_orders(self) -> None:
        if not self._orders_due:
            self._orders_due = True
            asyncio.get_running_loop().call_soon(self._send_orders)

    def tick(self, unix_s: float) -> None:
        """Handle due occurrences and expired leases, and store checkpoints.

        ``unix_s`` is the time of day in seconds since the Unix epoch.
        """
        now = now_s()
        for state in self.jobs.live.values():
            if state.job.occurrences:
                state.open_due_occurrences(unix_s, now)
        self._end_unreported(now)
        if now - self._saves_stored_s >= STORE_SAVES_INTERVAL_S:
            self._saves_stored_s = now
            self.jobs.store_checkpoints()
            self.store_worker_speeds()
            self.learning.store_and_log(now)
            self._store_customer_shares(now)
        self.learning.collect_running(self.jobs.live.values(), now)
        self.schedule_plan()

    def restore_worker_speeds(self, slowdowns: dict[str, float]) -> None:
        """Adopt the uneven workers that an earlier controller found."""
        worker_pace = self.reports.worker_pace
        worker_pace.restore(slowdowns)
        self._slow = frozenset(filter(worker_pace.is_slow, slowdowns))
        self._stored_speeds = key_by_vm(worker_pace.list_uneven(slowdowns))

    def restore_customer_shares(self, means: dict[str, float]) -> None:
        """Adopt the shares that an earlier controller stored."""
        if self._shares is not None:
            self._shares.restore(means)

    def _store_customer_shares(self, now: float) -> None:
        """Store the customers' shares for a later controller."""
        if self._shares is None or now < self._shares_due_s:
            return
        self._shares_due_s = now + STORE_SHARES_INTERVAL_S
        means = self._shares.get_means()
        if means != self._stored_shares:
            self._stored_shares = means
            self._committer.put(
                customer_shares_key(self._lease.pool),
                lambda: msgspec.msgpack.encode(means),
            )

    def store_worker_speeds(self) -> None:
        """Store the uneven workers for a later controller, if they changed."""
        slowdowns = dict(
            itertools.islice(
                self.reports.worker_pace.list_uneven(self._workers).items(),
                MAX_STORED_PACES,
            )
        )
        speeds = key_by_vm(slowdowns)
        if speeds.keys() == self._stored_speeds.keys() and all(
            1 / MIN_STORED_CHANGE
            < slowdown / self._stored_speeds[vm]
            < MIN_STORED_CHANGE
            for vm, slowdown in speeds.items()
        ):
            return
        self._stored_speeds = speeds
        self._committer.put(
            worker_speeds_key(self._lease.pool),
            lambda: msgspec.msgpack.encode(slowdowns),
        )

    def _plan_and_send_orders(self) -> None:
        self._plan_requested = False
        if self._closed:
            return
        hold = self._find_hold_reason()
        self._log_hold(hold)
        if not hold:
            self._plan()
        self._schedule_orders()

    def _plan(self) -> None:
        """Begin a plan; changes during it are handled by the next one."""
        self._plan_task = asyncio.ensure_future(self._make_and_apply_plan())
        self._plan_task.add_done_callback(self._finish_plan)

    def _finish_plan(self, task: asyncio.Task[None]) -> None:
        self._plan_task = None
        if task.cancelled():
            return
        self._schedule_orders()
        if self._plan_requested:
            self._call_plan()
        task.result()

    def _send_orders(self) -> None:
        """Send orders, some at a time if there are many.

        What changes while they are sent is looked at once more afterwards.
        """
        self._orders_due = False
        if self._closed:
            return
        if not self._orders.is_sending:
            self._orders_requested = False
        self._orders.send_orders(self.jobs.members)
        if self._orders.is_sending or self._orders_requested:
            self._call_orders()

    def _end_unreported(self, now: float) -> None:
        """End the members that must have ended although no report says so."""
        for worker in self.jobs.members.list_workers():
            link = self._workers.get(worker)
            expired = self._have_leases_expired(worker, link, now)
            silent = link is None or link.is_silent()
            if not expired and not silent:
                continue
            for item in self.jobs.members.on_worker(worker):
                if expired and not self._may_get_lease(item, link):
                    self.jobs.end_member(item, Ending.LAPSED)
                elif silent and must_have_ended(item.unit, item.member):
                    self.jobs.infer_end(item)
        self._settle_expired_ends(now)

    def _settle_expired_ends(self, now: float) -> None:
        """Settle the inferred ends that can't be acknowledged any more.

        An end counts only if it is acknowledged before the worker's lease
        expires, so nothing waits for a worker that never answers.
        """
        for task, run, end in self.jobs.list_uncertain_ends():
            link = self._workers.get(end.worker)
            if self._have_leases_expired(end.worker, link, now):
                self.jobs.settle_end(task, run, end.worker)

    def _may_get_lease(self, item: OpenMember, link: AgentLink | None) -> bool:
        """Return whether a member may start although no lease is left.

        The lease of an idle worker may have expired, but a member that is
        about to start there gets a new one with its first start order.
        """
        return item.member.tries == 0 and link is not None and link.can_grant()

    def _have_leases_expired(
        self, worker: str, link: AgentLink | None, now: float
    ) -> bool:
        """Return whether every lease of a worker has expired."""
        if link is None:
            lease_end_s = self.reports.get_lease_end_s(worker)
            return now > max(
                self._previous_leases_end_s, lease_end_s + LEASE_SLACK_S
            )
        return now > link.lease_end_s + LEASE_SLACK_S or link.has_no_lease()

    def _find_hold_reason(self) -> str:
        """Return why no plan may be made now, empty if one may be."""
        if not self._lease.holds():
            return "lease not confirmed"
        if not self._is_settled():
            return "workers not known yet"
        if self._committer.pending_s() >= MAX_COMMIT_PENDING_S:
            return "commit not answered"
        if self._view.age_s(now_s()) >= self._config_age_limit_s:
            return "configuration too old"
        return ""

    def _log_hold(self, reason: str) -> None:
        """Log when planning is put on hold, and when it resumes."""
        if reason and self._held_since_s is None:
            self._held_since_s = now_s()
            self._log.write(
                LogEvent.PLANNING_HELD, pool=self._lease.pool, reason=reason
            )
        elif not reason and self._held_since_s is not None:
            held_s = now_s() - self._held_since_s
            self._held_since_s = None
            self._metrics.observe("planning_held_seconds", held_s)
            self._log.write(
                LogEvent.PLANNING_RESUMED,
                pool=self._lease.pool,
                held_s=round(held_s, 3),
            )

    def preview(self, job: PoolJob) -> tuple[str, list[UnitPreview]]:
        """Return where a job that wasn't submitted would go now.

        The text says what holds up planning at present, empty if nothing.
        """
        accepted = max(
            (state.accepted for state in self.jobs.accepted.values()),
            default=0,
        )
        units = self._planning.preview(
            JobState(job, accepted + 1, now_s()),
            list(self.jobs.live.values()),
            self.jobs.members,
        )
        return self._find_hold_reason(), units

    def _may_plan(self) -> bool:
        """Return whether a plan that is being made may go on."""
        return not self._find_hold_reason()

    async def _make_and_apply_plan(self) -> None:
        """Make a plan, place its units and preempt its victims."""
        pacer = Pacer()
        try:
            plan = await self._planning.make_plan(
                self.jobs.live.values(),
                self.jobs.members,
                pacer,
                self._may_plan,
            )
            await self._apply_plan(plan, pacer)
        except PlanAbandoned:
            # The next plan finds out why and logs it.
            self.schedule_plan()
        except Exception as error:
            self._metrics.count("plans_failed")
            self._log.write(
                LogEvent.PLAN_FAILED,
                pool=self._lease.pool,
                reason=describe_error(error),
            )
        finally:
            self._plan_throttle.record_plan(now_s() - pacer.busy_s, now_s())

    async def _apply_plan(self, plan: Plan, pacer: Pacer) -> None:
        """Carry out what a plan has decided, as far as it still applies.

        Others may have run since it was begun.
        """
        self.log_slow_workers()
        for assignment in plan.starts:
            if await pacer.pause_if_due() and not self._may_plan():
                raise PlanAbandoned("its starts can't be stored")
            if not self._applies(assignment):
                continue
            try:
                self._place(assignment)
            except Exception as error:
                unit = assignment.unit
                if unit.running:
                    # Nothing is started for it, so no worker will end it.
                    unit.stopping = "it could not be placed"
                plan.faults.append(JobFault(unit.job_id, error))
        for victim, unit in plan.stops:
            if (
                victim.running
                and not victim.stopping
                and unit.job_id in self.jobs.live
            ):
                self._preempt(victim, unit)
        for move in plan.moves:
            if move.unit.running and not move.unit.stopping:
                self._move(move)
        for unit, reason in plan.dropped_claims:
            self._metrics.count("claims_revised", reason=reason)
            self._log.write(
                LogEvent.CLAIM_REVISED, job=unit.job_id, step=unit.step,
                first=unit.first, reason=reason,
            )  # fmt: skip
        self._set_aside_faulty(plan.faults)

    def _applies(self, assignment: Assignment) -> bool:
        """Return whether a planned start is still wanted and possible."""
        unit = assignment.unit
        state = self.jobs.live.get(unit.job_id)
        return (
            state is not None
            and not state.final
            and not state.cancelled
            and not unit.done
            and not unit.running
            and all(map(self._planning.is_usable, assignment.workers))
        )

    def _set_aside_faulty(self, faults: list[JobFault]) -> None:
        """Leave the jobs that raised an error out of the next plans."""
        first_faults = {fault.job_id: fault for fault in reversed(faults)}
        for job_id, fault in first_faults.items():
            for_s = self._planning.set_aside(job_id)
            self._metrics.count("jobs_set_aside")
            self._log.write(
                LogEvent.JOB_SET_ASIDE,
                job=job_id,
                reason=fault.describe(),
                for_s=for_s,
            )

    def log_slow_workers(self) -> None:
        """Log the workers that are newly slow, or of usual speed again."""
        worker_pace = self.reports.worker_pace
        slow = frozenset(filter(worker_pace.is_slow, self._workers))
        for worker in sorted(slow - self._slow):
            self._log.write(
                LogEvent.WORKER_SLOW,
                worker=worker,
                pace=round(worker_pace.get_slowdown(worker), 2),
            )
        for worker in sorted((self._slow - slow) & self._workers.keys()):
            self._log.write(LogEvent.WORKER_USUAL, worker=worker)
        self._slow = slow

    def _place(self, assignment: Assignment) -> None:
        unit = assignment.unit
        state = self.jobs.place(unit, assignment.workers)
        self._log.write(
            LogEvent.RUN_PLACED,
            job=unit.job_id,
            occurrence=unit.occurrence,
            step=unit.step,
            first=unit.first,
            run=unit.run,
            workers=assignment.workers,
            config=self._view.configuration.version,
            waited_s=round(now_s() - unit.waiting_since_s, 3),
            pace=round(
                max(
                    map(
                        self.reports.worker_pace.get_slowdown,
                        assignment.workers,
                    )
                ),
                2,
            ),
        )
        self._metrics.observe(
            "placement_wait_seconds", now_s() - unit.waiting_since_s
        )
        run = unit.run

        def commit() -> None:
            if unit.run == run:
                unit.committed = True
                self._schedule_orders()

        state.update_status()
        self.jobs.store(state, commit)
        for worker in assignment.workers:
            self._workers[worker].set_busy(True)

    def _move(self, move: SpeedMove) -> None:
        """Stop a unit, so that it continues on faster workers."""
        unit = move.unit
        unit.stopping = "faster workers are free"
        unit.speed_moves += 1
        self._log.write(
            LogEvent.RUN_SPED_UP, job=unit.job_id, run=unit.run,
            step=unit.step, first=unit.first, workers=move.workers,
            gain_s=round(move.gain_s, 2),
        )  # fmt: skip
        self._metrics.count("runs_sped_up")

    def _preempt(self, victim: Unit, unit: Unit) -> None:
        victim.stopping = f"gives way to {unit.job_id}"
        victim.preempted_at_s = now_s()
        terms = self.jobs.live[unit.job_id].job.terms
        reason = "urgent" if terms.priority <= URGENT_PRIORITY else "overtaken"
        self._log.write(
            LogEvent.RUN_PREEMPTED, job=victim.job_id, run=victim.run,
            step=victim.step, first=victim.first, gives_way_to=unit.job_id,
            reason=reason,
        )  # fmt: skip
        self._metrics.count("preemptions", reason=reason)
