"""Schedule the jobs of one availability zone.

``ZoneScheduler`` is a state machine: its methods record events (a job was
submitted, an attempt ended, a worker was lost, the rules changed), and
``decide`` returns the jobs to start and to evict. It does no I/O and reads no
clock: every time is an argument, in seconds. The guarantee invariants are
checked after every decision.

A job runs either in cells that its customer's guarantee claims, or in any
other cells as a borrower, which may be evicted when a guarantee, urgent work
or a starving job needs them.

Example::

    scheduler = ZoneScheduler()
    scheduler.add_worker(WorkerSpec("w1", "a", "r1", 8, 128, 256))
    scheduler.submit(JobSpec("j1", "north", accelerators=4), now=0.0)
    [start] = scheduler.decide(now=0.0)
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from hickorywing.errors import InvariantViolation
from hickorywing.policy.actions import Action
from hickorywing.policy.actions import EvictJob
from hickorywing.policy.actions import EvictReason
from hickorywing.policy.actions import FailJob
from hickorywing.policy.actions import Outcome
from hickorywing.policy.actions import Refusal
from hickorywing.policy.actions import StartJob
from hickorywing.policy.cells import Cell
from hickorywing.policy.cells import CellIndex
from hickorywing.policy.cores import CorePool
from hickorywing.policy.cores import CoreRequest
from hickorywing.policy.estimates import RunTimeEstimates
from hickorywing.policy.feasibility import Feasibility
from hickorywing.policy.guarantees import GuaranteedCell
from hickorywing.policy.guarantees import GuaranteeLedger
from hickorywing.policy.guarantees import Risk
from hickorywing.policy.jobview import JobState
from hickorywing.policy.jobview import JobView
from hickorywing.policy.model import Adjacency
from hickorywing.policy.model import Customer
from hickorywing.policy.model import Guarantee
from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import Placement
from hickorywing.policy.model import TaskPlace
from hickorywing.policy.model import WorkerSpec
from hickorywing.policy.placement import ClaimPlan
from hickorywing.policy.placement import EvictionPlan
from hickorywing.policy.placement import find_claim
from hickorywing.policy.placement import find_evictable
from hickorywing.policy.placement import find_idle
from hickorywing.policy.placement import find_idle_first_fit
from hickorywing.policy.quarantine import Quarantine
from hickorywing.policy.queue import JobQueue
from hickorywing.policy.queue import Order
from hickorywing.policy.queue import ShortWorkFirst

__all__ = ["SchedulerOptions", "ZoneScheduler"]

# A job that has waited this long may evict borrowers; if it still cannot be
# placed, no job behind it in the queue is tried.
STARVING_AFTER_S = 4 * 3600.0
# A job must wait this long before borrowers are evicted to merge idle cells
# for it; the search for such cells is repeated at the given interval.
DEFRAGMENT_AFTER_S = 60.0
DEFRAGMENT_RETRY_S = 30.0
# A claim that failed is tried again after this time, if no guarantee changed.
CLAIM_RETRY_S = 15.0
# Searches over many cells that one decision may make for jobs that are not
# urgent; this limits its duration.
MAX_SEARCHES_PER_DECISION = 2
MAX_ATTEMPT_FAILURES = 4
# Jobs that one decision tries to place, after which the first failure ends it.
MAX_JOBS_SCANNED = 256
# Defragmentation may evict at most this share of the accelerators that the
# waiting job then gets, so that each step increases the number in use.
MAX_EVICTED_SHARE = 0.75
# How often one job may be evicted for defragmentation, and how often an urgent
# job may evict a guaranteed job of its own customer.
MAX_EVICTIONS_PER_JOB = 3


@dataclass(frozen=True, slots=True)
class SchedulerOptions:
    """Parts of the policy that can be switched off for comparison.

    ``first_fit`` places in inventory order instead of best fit, ``backfill``
    lets jobs start before an earlier one that does not fit, ``migrate`` allows
    defragmentation, and ``checkpoint`` lets evicted jobs keep their progress.
    """

    order: Order = field(default_factory=ShortWorkFirst)
    first_fit: bool = False
    backfill: bool = True
    migrate: bool = True
    checkpoint: bool = True


class ZoneScheduler:
    """The scheduler of one availability zone.

    ``has_more`` is true after a decision that reached its limit of searches,
    so that another one may place more. ``allowed_shortfall`` is the number of
    guaranteed accelerators that the inventory and the rules cannot provide
    even with every worker present; decisions must not increase it.
    """

    def __init__(self, options: SchedulerOptions | None = None) -> None:
        self.options = options or SchedulerOptions()
        self.cells = CellIndex()
        self.cores = CorePool()
        self.feasibility = Feasibility(self.cells, self.cores)
        self.ledger = GuaranteeLedger(self.cells)
        self.queue = JobQueue(self.options.order)
        self.estimates = RunTimeEstimates()
        self.quarantine = Quarantine()
        self.jobs: dict[str, JobView] = {}
        self.customers: dict[str, Customer] = {}
        self.zone_in = True
        self.allowed_shortfall = 0
        self._used_accelerators: dict[str, int] = {}
        self._used_cores: dict[str, float] = {}
        self._jobs_on: dict[str, set[str]] = {}
        self.has_more = False
        self._searches = 0

    # Inventory and rules

    def add_worker(self, spec: WorkerSpec) -> None:
        """Add a worker and offer it to new tasks."""
        self.cells.add_worker(spec)
        self.cores.add_worker(spec)
        self._jobs_on.setdefault(spec.worker_id, set())
        self.feasibility.add_worker(spec)
        self._reset_allowed_shortfall()

    def lose_worker(self, worker_id: str) -> list[str]:
        """Withhold a lost worker and return the jobs that have a task there.

        Jobs that still wait for evicted jobs to leave cells of the worker are
        put back into the queue. The attempts of the returned jobs are ended by
        the caller, with ``job_ended``.
        """
        self.cells.set_offered(worker_id, False)
        self.cores.set_offered(worker_id, False)
        self.ledger.lose_worker(worker_id)
        for job_id in sorted(self._jobs_on[worker_id]):
            job = self.jobs[job_id]
            if job.state is JobState.CLEARING:
                self._release(job)
                self._enqueue(job, job.waiting_since)
        return sorted(self._jobs_on[worker_id])

    def withhold_worker(self, worker_id: str) -> None:
        """Stop offering a worker to new tasks; its running tasks continue."""
        self.cells.set_offered(worker_id, False)
        self.cores.set_offered(worker_id, False)

    def restore_worker(self, worker_id: str) -> None:
        """Offer a worker to new tasks again, unless it is quarantined."""
        offered = not self.quarantine.is_quarantined(worker_id)
        self.cells.set_offered(worker_id, offered)
        self.cores.set_offered(worker_id, offered)

    def set_rules(
        self, customers: Iterable[Customer], guarantees: list[Guarantee]
    ) -> None:
        """Replace the quotas and guarantees.

        Jobs that run in cells of a removed guarantee continue as borrowers.
        """
        self.customers = {customer.name: customer for customer in customers}
        for job_id in self.ledger.set_guarantees(guarantees):
            self._make_borrower(self.jobs[job_id])
        self._reset_allowed_shortfall()

    def _make_borrower(self, job: JobView) -> None:
        """Let a job keep its cells outside its customer's guarantee."""
        for cell in job.cells:
            self.cells.mark_borrowed(cell, job.spec.job_id)
        self.ledger.release_job(job.spec.customer, job.spec.job_id)
        if job.placement is not None:
            job.placement = Placement(job.placement.tasks, guaranteed=False)

    def _reset_allowed_shortfall(self) -> None:
        """Allow the shortfall that is left after a change of workers or rules.

        Later decisions must not increase it. Cached feasibility answers are
        dropped.
        """
        self.feasibility.clear_cache()
        self.allowed_shortfall = self.ledger.potential_shortfall()

    def risks(self) -> list[Risk]:
        """Return the guarantees that the offered workers cannot serve."""
        return self.ledger.risks()

    # Jobs

    def check(self, spec: JobSpec) -> Refusal | None:
        """Return why the job can never run in this zone, or ``None``."""
        customer = self.customers.get(spec.customer)
        return self.feasibility.check(spec, customer)

    def submit(
        self, spec: JobSpec, now: float, attained_s: float = 0.0
    ) -> None:
        """Add a job that ``check`` accepts to the queue.

        A job that was submitted already is ignored. ``attained_s`` is the run
        time in seconds that an earlier attempt saved in a checkpoint.
        """
        if spec.job_id in self.jobs:
            return
        job = JobView(
            spec, now, self.feasibility.cell_size(spec), attained_s=attained_s
        )
        self.jobs[spec.job_id] = job
        self._enqueue(job, now)

    def _enqueue(self, job: JobView, now: float) -> None:
        """Put a job into the queue, ordered by its expected remaining time.

        At least a tenth of the expected run time counts as remaining, also
        when the job has exceeded its estimate.
        """
        job.state = JobState.QUEUED
        job.waiting_since = now
        spec = job.spec
        expected_s = self.estimates.correct(spec.customer, spec.declared_run_s)
        remaining_s = max(expected_s - job.attained_s, expected_s * 0.1)
        self.queue.add(spec, job.submitted, remaining_s)

    def adopt(
        self,
        spec: JobSpec,
        placement: Placement,
        attempt: int,
        submitted: float,
        started_at: float | None,
    ) -> None:
        """Add a job that a former controller has placed.

        Used when the state is rebuilt from the table's rows. The job becomes
        a borrower unless its customer's guarantee can be bound to its cells.
        ``started_at`` is ``None`` if its start was not committed yet.
        """
        job = JobView(spec, submitted, self.feasibility.cell_size(spec))
        job.attempt = attempt
        job.started_at = started_at
        running = started_at is not None
        job.state = JobState.RUNNING if running else JobState.PLACED
        self.jobs[spec.job_id] = job
        cells = [
            Cell(task.worker_id, task.offset, task.size)
            for task in placement.tasks
            if task.size and task.worker_id in self.cells.workers
        ]
        bound = placement.guaranteed and self._bind_running_cells(spec, cells)
        placement = Placement(placement.tasks, guaranteed=bound)
        self._hold(job, cells, placement)

    def _bind_running_cells(self, spec: JobSpec, cells: list[Cell]) -> bool:
        """Claim the cells of a running job for its customer's guarantee.

        Return false, with no cell claimed by the job, if the guarantee cannot
        contain all of them.
        """
        owned = self.ledger.cells.get(spec.customer, [])
        for cell in cells:
            owner = next(
                (
                    item
                    for item in owned
                    if item.bound
                    and item.bound.worker_id == cell.worker_id
                    and item.bound.offset <= cell.offset
                    and cell.offset + cell.size
                    <= item.bound.offset + item.bound.size
                ),
                None,
            )
            if owner is None:
                owner = self._bind_enclosing_cell(owned, cell)
            if owner is None:
                self.ledger.release_job(spec.customer, spec.job_id)
                return False
            self.ledger.use(owner, spec.job_id)
        return True

    def _bind_enclosing_cell(
        self, owned: list[GuaranteedCell], cell: Cell
    ) -> GuaranteedCell | None:
        """Bind an unbound guaranteed cell to an aligned cell around ``cell``.

        Return it, or ``None`` if there is none that is large enough.
        """
        worker = self.cells.workers[cell.worker_id]
        for item in owned:
            if item.bound is not None or item.size < cell.size:
                continue
            for enclosing in worker.cells(item.size):
                inside = (
                    enclosing.offset <= cell.offset
                    and cell.offset + cell.size
                    <= enclosing.offset + enclosing.size
                )
                if inside and worker.is_unclaimed(enclosing):
                    self.ledger.bind(item, enclosing)
                    return item
        return None

    def cancel(self, job_id: str, now: float) -> list[Action]:
        """Cancel a job and return the eviction that this needs, if any.

        A job whose start was not requested yet is removed at once. The time
        taken does not grow with the number of jobs.
        """
        job = self.jobs.get(job_id)
        if job is None or job.cancelled:
            return []
        job.cancelled = True
        if job.state is JobState.QUEUED:
            self._remove_job(job)
            return []
        if job.state is JobState.CLEARING:
            self._release(job)
            self._remove_job(job)
            return []
        if job.state is JobState.STOPPING:
            return []
        job.state = JobState.STOPPING
        return [EvictJob(job_id, job.attempt, EvictReason.CANCELLED, False)]

    def _remove_job(self, job: JobView) -> None:
        job_id = job.spec.job_id
        self.queue.remove(job_id)
        self.quarantine.forget_job(job_id)
        self.jobs.pop(job_id, None)

    def job_running(self, job_id: str, attempt: int, now: float) -> None:
        """Record that every member of the attempt has started."""
        job = self.jobs.get(job_id)
        if job is None or job.attempt != attempt:
            return
        job.started_at = now
        if job.state is JobState.PLACED:
            job.state = JobState.RUNNING

    def job_ended(
        self,
        job_id: str,
        attempt: int,
        outcome: Outcome,
        now: float,
        kept_s: float | None = None,
        failed_worker: str | None = None,
    ) -> list[Action]:
        """Record the end of an attempt and return the actions it allows.

        The cells of the attempt are released, and jobs that waited only for
        these are started. ``kept_s`` is the run time in seconds that a
        checkpoint saved; ``failed_worker`` is the worker on which a task
        failed. A job that is not done returns to the queue, or is ended with
        ``FailJob`` after ``MAX_ATTEMPT_FAILURES`` failed attempts.
        """
        job = self.jobs.get(job_id)
        if job is None or job.attempt != attempt or not job.placement:
            return []
        run_s = 0.0 if job.started_at is None else now - job.started_at
        workers = job.placement.workers
        self._release(job)
        actions = self._unblock(job_id, now)
        if outcome is Outcome.DONE:
            self._finish(job, run_s, workers)
            return actions
        if job.cancelled:
            self._remove_job(job)
            return actions
        if kept_s is not None:
            job.attained_s = kept_s
        if outcome is Outcome.FAILED:
            failed = self._count_failure(job, failed_worker, now)
            if failed is not None:
                self._remove_job(job)
                return [*actions, failed]
        self._enqueue(job, now)
        return actions

    def _finish(
        self, job: JobView, run_s: float, workers: tuple[str, ...]
    ) -> None:
        spec = job.spec
        run_s += job.attained_s
        self.estimates.observe(spec.customer, spec.declared_run_s, run_s)
        for worker_id in workers:
            self.quarantine.record_success(worker_id, spec.job_id)
        self._remove_job(job)

    def _count_failure(
        self, job: JobView, worker_id: str | None, now: float
    ) -> FailJob | None:
        job.failures += 1
        job_id = job.spec.job_id
        if worker_id is not None:
            if self.quarantine.record_failure(worker_id, job_id, now):
                self.withhold_worker(worker_id)
        if job.failures < MAX_ATTEMPT_FAILURES:
            return None
        return FailJob(job_id, f"failed {job.failures} times")

    # Decisions

    def decide(self, now: float) -> list[Action]:
        """Place waiting jobs and return the starts and evictions.

        Jobs are tried in queue order. A job is skipped if this call could not
        place one of the same placement class with as many or fewer tasks. The
        work of one call is bounded; ``has_more`` is set if a search was left
        out for that reason, so that another call soon may place more.
        """
        for worker_id in self.quarantine.release_due(now):
            if worker_id in self.cells.workers:
                self.restore_worker(worker_id)
        if not self.zone_in:
            return []
        shortfall_before = self.ledger.shortfall()
        self.has_more = False
        self._searches = 0
        actions: list[Action] = []
        failed: dict[tuple[str, int, Adjacency, bool], int] = {}
        scanned = 0
        for job_id in list(self._list_candidates()):
            job = self.jobs[job_id]
            placement_class = self._placement_class(job)
            failed_tasks = failed.get(placement_class)
            if failed_tasks is not None and job.spec.tasks >= failed_tasks:
                continue
            scanned += 1
            placed = self._try_job(job, now, actions)
            if not placed:
                failed[placement_class] = job.spec.tasks
                if not self.options.backfill:
                    break
                if self._is_starving(job, now) or scanned >= MAX_JOBS_SCANNED:
                    break
        self.assert_invariants(shortfall_before)
        return actions

    def _list_candidates(self) -> Iterable[str]:
        return self.queue.in_order()

    def _placement_class(
        self, job: JobView
    ) -> tuple[str, int, Adjacency, bool]:
        """Return a key shared by jobs that fail to fit for the same reason.

        Jobs without accelerators are distinguished by their cores and memory,
        combined into a negative size.
        """
        spec = job.spec
        size = job.cell_size or -int(spec.cores * 16 + spec.memory_gb)
        return (spec.customer, size, spec.adjacency, spec.urgent)

    def _is_starving(self, job: JobView, now: float) -> bool:
        return now - job.waiting_since >= STARVING_AFTER_S

    def _try_job(
        self, job: JobView, now: float, actions: list[Action]
    ) -> bool:
        if not self._within_quota(job):
            return False
        if job.cell_size == 0:
            return self._try_cores(job, now, actions)
        idle = self._find_idle(job)
        if idle is not None:
            self._place(job, EvictionPlan(idle), None, now, actions)
            return True
        if self._try_claim(job, now, actions):
            return True
        return self._try_eviction(job, now, actions)

    def _try_claim(
        self, job: JobView, now: float, actions: list[Action]
    ) -> bool:
        """Place a job in its customer's guarantee, evicting borrowers.

        A search that failed is repeated only once a guaranteed cell was
        released or the guarantees changed, or after ``CLAIM_RETRY_S``.
        """
        if job.spec.customer not in self.ledger.cells:
            return False
        unchanged = job.failed_claim_changes == self.ledger.changes
        if unchanged and now < job.claim_retry_at:
            return False
        if not self._count_search(job):
            return False
        claim = find_claim(
            self.cells,
            self.ledger,
            job.spec,
            job.cell_size,
            self._cost_for_claim,
        )
        if claim is None:
            job.failed_claim_changes = self.ledger.changes
            job.claim_retry_at = now + CLAIM_RETRY_S
            return False
        self._apply_claim(job, claim)
        self._place(job, claim, EvictReason.RECLAIM, now, actions)
        return True

    def _count_search(self, job: JobView) -> bool:
        """Count a search against this decision's limit.

        Return whether it may be done; urgent jobs are not limited.
        """
        if job.spec.urgent:
            return True
        if self._searches >= MAX_SEARCHES_PER_DECISION:
            self.has_more = True
            return False
        self._searches += 1
        return True

    def _find_idle(self, job: JobView) -> list[Cell] | None:
        if self.options.first_fit:
            return find_idle_first_fit(self.cells, job.spec, job.cell_size)
        return find_idle(self.cells, job.spec, job.cell_size)

    def _within_quota(self, job: JobView) -> bool:
        customer = self.customers.get(job.spec.customer)
        if customer is None:
            return True
        quota = customer.quota_accelerators
        name = customer.name
        if quota is not None and job.cell_size:
            used = self._used_accelerators.get(name, 0)
            if used + job.cell_size * job.spec.tasks > quota:
                return False
        cores = customer.quota_cores
        if cores is not None and not job.cell_size:
            used_cores = self._used_cores.get(name, 0.0)
            if used_cores + job.spec.cores * job.spec.tasks > cores:
                return False
        return True

    def _try_cores(
        self, job: JobView, now: float, actions: list[Action]
    ) -> bool:
        spec = job.spec
        request = CoreRequest(spec.cores, spec.memory_gb)
        workers = self.cores.find(request, spec.tasks, spec.adjacency)
        if workers is None:
            return False
        places = tuple(TaskPlace(worker_id, 0, 0) for worker_id in workers)
        job.attempt += 1
        self._hold(job, [], Placement(places))
        self._start(job, now, actions)
        return True

    def _try_eviction(
        self, job: JobView, now: float, actions: list[Action]
    ) -> bool:
        """Place a job by evicting borrowers, if a rule allows it.

        Urgent and starving jobs may evict any non-urgent borrower; other jobs
        only as far as defragmentation allows. Return whether cells were found.
        """
        if job.spec.urgent:
            if self._evict_for(job, EvictReason.URGENT, now, actions):
                return True
            self._evict_own_guaranteed_job(job, actions)
            return False
        if self._is_starving(job, now):
            return self._evict_for(job, EvictReason.STARVING, now, actions)
        if self._may_defragment(job, now):
            return self._try_defragment(job, now, actions)
        return False

    def _evict_for(
        self,
        job: JobView,
        reason: EvictReason,
        now: float,
        actions: list[Action],
    ) -> bool:
        """Place a job in the cells with the lowest cost of eviction."""
        plan = find_evictable(
            self.cells, job.spec, job.cell_size, self._cost_for_urgent
        )
        if plan is None:
            return False
        self._place(job, plan, reason, now, actions)
        return True

    def _evict_own_guaranteed_job(
        self, job: JobView, actions: list[Action]
    ) -> None:
        """Evict a guaranteed job of an urgent job's own customer.

        Choose the smallest non-urgent one whose cells would hold the urgent
        job. Once it has stopped, a later decision claims the cells for the
        urgent job. An urgent job has one such eviction in progress at most.
        """
        if job.evicted_own_job in self.jobs:
            other = self.jobs[job.evicted_own_job]
            if other.state is JobState.STOPPING:
                return
        if job.own_evictions >= MAX_EVICTIONS_PER_JOB:
            return
        candidates = [
            other
            for other in self.jobs.values()
            if other.guaranteed
            and other.spec.customer == job.spec.customer
            and not other.spec.urgent
            and other.state is JobState.RUNNING
            and self._could_hold(other, job)
        ]
        if not candidates:
            return
        victim = min(
            candidates, key=lambda other: other.spec.total_accelerators
        )
        job.evicted_own_job = victim.spec.job_id
        job.own_evictions += 1
        self._evict(victim, EvictReason.URGENT, actions)

    def _could_hold(self, other: JobView, job: JobView) -> bool:
        """Return whether the cells of ``other`` alone would hold ``job``."""
        tasks_by_group: dict[str, int] = {}
        for cell in other.cells:
            worker = self.cells.workers.get(cell.worker_id)
            if worker is None or not worker.offered:
                continue
            group = ""
            if job.spec.adjacency is Adjacency.RACK:
                group = worker.spec.rack
            elif job.spec.adjacency is Adjacency.WORKER:
                group = cell.worker_id
            held = tasks_by_group.get(group, 0)
            tasks_by_group[group] = held + cell.size // job.cell_size
        return max(tasks_by_group.values(), default=0) >= job.spec.tasks

    def _may_defragment(self, job: JobView, now: float) -> bool:
        if not self.options.migrate or not self.options.checkpoint:
            return False
        if (
            now - job.waiting_since < DEFRAGMENT_AFTER_S
            or now < job.defragment_at
        ):
            return False
        needed = job.cell_size * job.spec.tasks
        min_idle = needed * (1.0 - MAX_EVICTED_SHARE)
        return self.cells.counts.idle[0] >= min_idle

    def _try_defragment(
        self, job: JobView, now: float, actions: list[Action]
    ) -> bool:
        """Evict small borrowers from cells that are mostly idle.

        The borrowers are checkpointed and return to their old position in the
        queue, from which they may be placed on other idle accelerators. They
        hold at most ``MAX_EVICTED_SHARE`` of the accelerators that the waiting
        job gets, so that each such step increases the number in use.
        """
        if not self._count_search(job):
            return False
        job.defragment_at = now + DEFRAGMENT_RETRY_S
        plan = find_evictable(
            self.cells, job.spec, job.cell_size, self._cost_for_defragment
        )
        if plan is None or not plan.victims:
            return False
        evicted = sum(
            self.jobs[victim].cell_size * self.jobs[victim].spec.tasks
            for victim in plan.victims
        )
        needed = job.cell_size * job.spec.tasks
        if evicted > needed * MAX_EVICTED_SHARE:
            return False
        for victim in plan.victims:
            self.jobs[victim].defragment_evictions += 1
        self._place(job, plan, EvictReason.MIGRATE, now, actions)
        return True

    def _cost_for_claim(self, job_id: str) -> float | None:
        """Return the cost of evicting a job, ``None`` if not allowed.

        The cost is the accelerators held plus one, fourfold if it is urgent.
        """
        job = self.jobs.get(job_id)
        if job is None or job.guaranteed:
            return None
        if job.state is JobState.CLEARING:
            return None
        weight = 4.0 if job.spec.urgent else 1.0
        return weight * (1 + job.cell_size * job.spec.tasks)

    def _cost_for_urgent(self, job_id: str) -> float | None:
        job = self.jobs.get(job_id)
        if job is None or job.spec.urgent:
            return None
        return self._cost_for_claim(job_id)

    def _cost_for_defragment(self, job_id: str) -> float | None:
        job = self.jobs.get(job_id)
        if job is None or job.state is not JobState.RUNNING:
            return None
        if job.defragment_evictions >= MAX_EVICTIONS_PER_JOB:
            return None
        return self._cost_for_urgent(job_id)

    # Holding and releasing

    def _apply_claim(self, job: JobView, claim: ClaimPlan) -> None:
        for owner, cell in claim.bindings:
            self.ledger.bind(owner, cell)
        for owner in claim.owners:
            self.ledger.use(owner, job.spec.job_id)
        used = set(map(id, claim.owners))
        for owner, _ in claim.bindings:
            if id(owner) not in used:
                self.ledger.unbind(owner)

    def _place(
        self,
        job: JobView,
        plan: EvictionPlan,
        reason: EvictReason | None,
        now: float,
        actions: list[Action],
    ) -> None:
        guaranteed = isinstance(plan, ClaimPlan)
        places = tuple(
            TaskPlace(cell.worker_id, cell.offset, cell.size)
            for cell in plan.cells
        )
        for victim in sorted(plan.victims):
            if self._evict(self.jobs[victim], reason, actions):
                job.blocked_on.add(victim)
        job.attempt += 1
        self._hold(job, plan.cells, Placement(places, guaranteed))
        if job.blocked_on:
            job.state = JobState.CLEARING
            self.queue.remove(job.spec.job_id)
        else:
            self._start(job, now, actions)

    def _evict(
        self,
        victim: JobView,
        reason: EvictReason | None,
        actions: list[Action],
    ) -> bool:
        """Append the eviction of a job, unless it is stopping already.

        Return whether the job still holds its cells. This is always true: it
        releases them when its attempt has ended.
        """
        if victim.state is JobState.STOPPING:
            return True
        checkpoint = self.options.checkpoint
        victim.state = JobState.STOPPING
        actions.append(
            EvictJob(
                victim.spec.job_id,
                victim.attempt,
                reason or EvictReason.RECLAIM,
                checkpoint,
            )
        )
        return True

    def _hold(
        self, job: JobView, cells: list[Cell], placement: Placement
    ) -> None:
        """Assign a placement to a job and reserve its resources."""
        spec = job.spec
        job.cells = list(cells)
        job.placement = placement
        for cell in cells:
            self.cells.hold(cell, spec.job_id, placement.guaranteed)
        for task in placement.tasks:
            self._jobs_on.setdefault(task.worker_id, set()).add(spec.job_id)
            if not job.cell_size:
                request = CoreRequest(spec.cores, spec.memory_gb)
                self.cores.change(task.worker_id, request, -1)
        self._add_usage(job, 1)

    def _add_usage(self, job: JobView, sign: int) -> None:
        name = job.spec.customer
        if job.cell_size:
            held = job.cell_size * job.spec.tasks
            used = self._used_accelerators.get(name, 0)
            self._used_accelerators[name] = used + sign * held
        else:
            cores = job.spec.cores * job.spec.tasks
            used_cores = self._used_cores.get(name, 0.0)
            self._used_cores[name] = used_cores + sign * cores

    def _release(self, job: JobView) -> None:
        """Free the resources of a job's placement."""
        spec = job.spec
        if job.placement is None:
            return
        for cell in job.cells:
            self.cells.release(cell, spec.job_id)
        for task in job.placement.tasks:
            self._jobs_on[task.worker_id].discard(spec.job_id)
            if not job.cell_size:
                request = CoreRequest(spec.cores, spec.memory_gb)
                self.cores.change(task.worker_id, request, 1)
        if job.placement.guaranteed:
            self.ledger.release_job(spec.customer, spec.job_id)
        self._add_usage(job, -1)
        job.placement = None
        job.cells = []
        job.blocked_on = set()
        job.started_at = None

    def _unblock(self, ended_job_id: str, now: float) -> list[Action]:
        """Start the jobs that waited only for this job to stop."""
        actions: list[Action] = []
        for job in self._list_clearing():
            job.blocked_on.discard(ended_job_id)
            if not job.blocked_on:
                self._start(job, now, actions)
        return actions

    def _list_clearing(self) -> list[JobView]:
        return [
            job for job in self.jobs.values() if job.state is JobState.CLEARING
        ]

    def _start(self, job: JobView, now: float, actions: list[Action]) -> None:
        job.state = JobState.PLACED
        self.queue.remove(job.spec.job_id)
        actions.append(StartJob(job.spec.job_id, job.attempt, job.placement))

    # Zones

    def take_out(self) -> list[Action]:
        """Take the zone out of service: place nothing, evict every job."""
        self.zone_in = False
        actions: list[Action] = []
        for job in list(self.jobs.values()):
            if job.state is JobState.CLEARING:
                self._release(job)
                self._enqueue(job, job.submitted)
            elif job.state in (JobState.PLACED, JobState.RUNNING):
                self._evict(job, EvictReason.ZONE_OUT, actions)
        return actions

    def bring_back(self) -> None:
        """Bring the zone back into service."""
        self.zone_in = True

    def queued_jobs(self) -> list[JobView]:
        """Return the waiting jobs in queue order."""
        return [self.jobs[job_id] for job_id in self.queue.in_order()]

    def withdraw(self, job_id: str) -> JobView:
        """Remove and return a waiting job, to hand it to another zone."""
        job = self.jobs[job_id]
        self._remove_job(job)
        return job

    # Invariants

    def assert_invariants(self, shortfall_before: int) -> None:
        """Raise ``InvariantViolation`` if a guarantee was made unservable.

        ``shortfall_before`` is the ledger's shortfall before the decision, in
        accelerators; the decision must not have increased it.
        """
        short = self.ledger.shortfall()
        if short > shortfall_before:
            raise InvariantViolation(
                f"{short} guaranteed accelerators cannot be reclaimed"
                f" after the decision, {shortfall_before} before it"
            )
        potential = self.ledger.potential_shortfall()
        if potential > self.allowed_shortfall:
            raise InvariantViolation(
                f"{potential} guaranteed accelerators have no cell even with"
                f" all workers offered, allowed: {self.allowed_shortfall}"
            )
        self.allowed_shortfall = potential

    def assert_whole_state(self) -> None:
        """Check all cells and jobs against each other, for tests.

        Takes time linear in the number of jobs and cells.
        """
        holders: dict[tuple[str, int], str] = {}
        for job_id, job in self.jobs.items():
            placed = job.placement is not None
            if placed == (job.state is JobState.QUEUED):
                raise InvariantViolation(
                    f"job {job_id}: placement contradicts {job.state}"
                )
            if placed and len(job.placement.tasks) != job.spec.tasks:
                raise InvariantViolation(
                    f"job {job_id}: not all tasks are placed"
                )
            if job.state is JobState.QUEUED and job_id not in self.queue:
                raise InvariantViolation(
                    f"job {job_id}: queued, but not in the queue"
                )
            if job.state in (JobState.PLACED, JobState.RUNNING):
                self._assert_holds(job, holders)
        for worker in self.cells.workers.values():
            if worker.counts != worker.recount():
                raise InvariantViolation(
                    f"cell counts are wrong for {worker.spec}"
                )
            for job_id in worker.holder:
                if job_id is not None and job_id not in self.jobs:
                    raise InvariantViolation(
                        f"ended job {job_id} holds a cell"
                    )

    def _assert_holds(
        self, job: JobView, holders: dict[tuple[str, int], str]
    ) -> None:
        job_id = job.spec.job_id
        for cell in job.cells:
            worker = self.cells.workers.get(cell.worker_id)
            if worker is None:
                continue
            for slot in range(cell.offset, cell.offset + cell.size):
                if worker.holder[slot] != job_id:
                    raise InvariantViolation(
                        f"job {job_id} does not hold {cell}"
                    )
                if worker.guaranteed[slot] != job.guaranteed:
                    raise InvariantViolation(
                        f"job {job_id}: {cell} has the wrong guarantee mark"
                    )
                holder = holders.setdefault((cell.worker_id, slot), job_id)
                if holder != job_id:
                    raise InvariantViolation(f"{cell} has two holders")
