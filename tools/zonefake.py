"""Simulate the zone schedulers in virtual time, with fake workers.

There is no network and no process here: a heap of events calls
``policy.ZoneScheduler`` for each zone and applies its actions at once or
after the time that a checkpoint or a start takes.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools
import random

from hickorywing.errors import InvariantViolation
from hickorywing.policy.actions import Action
from hickorywing.policy.actions import EvictJob
from hickorywing.policy.actions import FailJob
from hickorywing.policy.actions import Outcome
from hickorywing.policy.actions import StartJob
from hickorywing.policy.cells import size_index
from hickorywing.policy.homezones import choose_home
from hickorywing.policy.homezones import plan_moves
from hickorywing.policy.homezones import WaitingJob
from hickorywing.policy.homezones import ZoneSummary
from hickorywing.policy.jobview import JobState
from hickorywing.policy.jobview import JobView
from hickorywing.policy.model import Customer
from hickorywing.policy.model import Guarantee
from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import WorkerSpec
from hickorywing.policy.scheduler import SchedulerOptions
from hickorywing.policy.scheduler import ZoneScheduler

__all__ = ["FakeJob", "FakeSystem", "Site", "Measurements"]

# Time from the decision to start a job until it runs.
START_S = 0.4
# Time until a scheduler that has more to decide is called again.
TICK_S = 0.1
# Time that an eviction takes, with or without a checkpoint.
CHECKPOINT_S = 1.5
# Time that a job which continues from a checkpoint takes to load it.
RESUME_COST_S = 20.0
SAMPLE_INTERVAL_S = 60.0
# Interval at which waiting jobs may move to other zones.
MOVE_INTERVAL_S = 2.0


@dataclass(frozen=True)
class Site:
    """Workers, customers and guarantees of one installation."""

    name: str
    workers: tuple[WorkerSpec, ...]
    customers: tuple[Customer, ...]
    guarantees: tuple[Guarantee, ...]

    @property
    def zones(self) -> list[str]:
        """Return the zones in the order of the workers."""
        return list(dict.fromkeys(worker.zone for worker in self.workers))

    @property
    def accelerators(self) -> int:
        """Return the accelerators of all workers."""
        return sum(worker.accelerators for worker in self.workers)


@dataclass
class FakeJob:
    """A job with facts that the scheduler does not know.

    ``work_s`` is its run time without interruptions, ``attained_s`` the part
    of it that is done or saved in a checkpoint, and ``end`` says how it ended.
    """

    spec: JobSpec
    arrives: float
    work_s: float
    cancel_at: float | None = None
    fails: bool = False
    zone: str = ""
    attempt: int = 0
    attained_s: float = 0.0
    running_from: float | None = None
    started_at: float | None = None
    ended_at: float | None = None
    end: str = ""


@dataclass
class Measurements:
    """Measurements of one run.

    ``useful`` holds the start, the end and the accelerators of each period of
    work that ended with a checkpoint or the job's completion. ``reclaim_s``
    holds the times from when accelerators began to be cleared for a guaranteed
    job until it ran, ``decisions_s`` the durations of scheduler calls.
    """

    jobs: list[FakeJob] = field(default_factory=list)
    fragmentation: list[float] = field(default_factory=list)
    stranded_samples: int = 0
    samples: int = 0
    useful: list[tuple[float, float, int]] = field(default_factory=list)
    reclaim_s: list[float] = field(default_factory=list)
    decisions_s: list[float] = field(default_factory=list)
    evictions: int = 0
    invariant_failures: int = 0

    def useful_hours(self, start: float, end: float) -> float:
        """Return the accelerator-hours of useful work between two times."""
        total = 0.0
        for since, until, accelerators in self.useful:
            overlap = min(until, end) - max(since, start)
            if overlap > 0:
                total += overlap * accelerators
        return total / 3600.0


class FakeSystem:
    """The zones of a site, simulated under one policy."""

    def __init__(
        self,
        site: Site,
        options: SchedulerOptions,
        seed: int,
        clock: Callable[[], float] | None = None,
        check_state: bool = False,
    ) -> None:
        self.site = site
        self.options = options
        self.random = random.Random(seed)
        self.clock = clock
        self.check_state = check_state
        self.now = 0.0
        self.measurements = Measurements()
        self.jobs: dict[str, FakeJob] = {}
        self.zones: dict[str, ZoneScheduler] = {}
        self.failing: set[str] = set()
        self.lost: set[str] = set()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.changed_zones: set[str] = set()
        self.live_jobs = 0
        self._clearing: dict[str, float] = {}
        self._next_sample = 0.0
        self._next_move = 0.0
        for zone in site.zones:
            self.zones[zone] = self._make_zone(zone)
        self._capacity = {
            zone: max(1, scheduler.cells.counts.idle[0])
            for zone, scheduler in self.zones.items()
        }
        self._guaranteed = {
            zone: frozenset(
                item.customer for item in site.guarantees if item.zone == zone
            )
            for zone in site.zones
        }

    def _make_zone(self, zone: str) -> ZoneScheduler:
        scheduler = ZoneScheduler(self.options)
        for worker in self.site.workers:
            if worker.zone == zone:
                scheduler.add_worker(worker)
        scheduler.set_rules(
            self.site.customers,
            [item for item in self.site.guarantees if item.zone == zone],
        )
        return scheduler

    # Events

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time in seconds."""
        heapq.heappush(self._heap, (when, next(self._numbers), action))

    def add_job(self, job: FakeJob) -> None:
        """Schedule a job's arrival and, if it has one, its cancellation."""
        self.jobs[job.spec.job_id] = job
        self.measurements.jobs.append(job)
        self.live_jobs += 1
        self.schedule(job.arrives, lambda: self._arrive(job))
        if job.cancel_at is not None:
            self.schedule(job.cancel_at, lambda: self.cancel(job))

    def run(self, until: float) -> Measurements:
        """Run until a time, or until no job is left."""
        while self._heap and self.live_jobs > 0:
            when = self._heap[0][0]
            if when > until:
                break
            self._sample_until(when)
            self.now = when
            while self._heap and self._heap[0][0] <= when:
                heapq.heappop(self._heap)[2]()
            self._decide_all()
        return self.measurements

    def _arrive(self, job: FakeJob) -> None:
        home = self._choose_home(job.spec)
        if home is None:
            self.schedule(self.now + 5.0, lambda: self._arrive(job))
            return
        refusal = self.zones[home].check(job.spec)
        if refusal is not None:
            homes = [
                zone
                for zone, scheduler in self.zones.items()
                if scheduler.zone_in and scheduler.check(job.spec) is None
            ]
            if not homes:
                self._end(job, "refused")
                return
            home = homes[0]
        job.zone = home
        self.zones[home].submit(job.spec, self.now)
        self.changed_zones.add(home)

    def _choose_home(self, spec: JobSpec) -> str | None:
        summaries = [
            self._make_summary(zone, scheduler)
            for zone, scheduler in self.zones.items()
        ]
        return choose_home(spec, summaries, self.site.zones[0])

    def _make_summary(
        self, zone: str, scheduler: ZoneScheduler
    ) -> ZoneSummary:
        idle = scheduler.cells.counts.idle
        largest = max(
            (1 << index for index, count in enumerate(idle) if count),
            default=0,
        )
        return ZoneSummary(
            zone,
            scheduler.zone_in,
            idle[0],
            len(scheduler.queue),
            largest,
            self._capacity[zone],
            self._guaranteed[zone],
        )

    def cancel(self, job: FakeJob) -> None:
        """Cancel a job now, unless it has ended or was not submitted yet."""
        if job.ended_at is not None or not job.zone:
            return
        scheduler = self.zones[job.zone]
        queued = job.spec.job_id in scheduler.queue
        self._apply_actions(
            job.zone, scheduler.cancel(job.spec.job_id, self.now)
        )
        if queued or job.spec.job_id not in scheduler.jobs:
            self._end(job, "cancelled")
        self.changed_zones.add(job.zone)

    def _end(self, job: FakeJob, reason: str) -> None:
        if job.ended_at is None:
            job.ended_at = self.now
            job.end = reason
            self.live_jobs -= 1

    # Decisions

    def _decide_all(self) -> None:
        for zone in sorted(self.changed_zones):
            self._decide(zone)
        self.changed_zones.clear()
        if self.now >= self._next_move:
            self._next_move = self.now + MOVE_INTERVAL_S
            for zone in self.zones:
                self._move_waiting(zone)

    def _decide(self, zone: str) -> None:
        scheduler = self.zones[zone]
        began = self.clock() if self.clock else 0.0
        try:
            actions = scheduler.decide(self.now)
            if self.check_state:
                scheduler.assert_whole_state()
        except InvariantViolation:
            self.measurements.invariant_failures += 1
            raise
        if self.clock:
            self.measurements.decisions_s.append(self.clock() - began)
        if scheduler.has_more:
            self.schedule(
                self.now + TICK_S, lambda: self.changed_zones.add(zone)
            )
        for view in scheduler._list_clearing():
            if view.state is JobState.CLEARING:
                self._clearing.setdefault(view.spec.job_id, self.now)
        self._apply_actions(zone, actions)

    def _apply_actions(self, zone: str, actions: list[Action]) -> None:
        for action in actions:
            job = self.jobs[action.job_id]
            if isinstance(action, StartJob):
                self._start(zone, job, action)
            elif isinstance(action, EvictJob):
                self._evict(zone, job, action)
            elif isinstance(action, FailJob):
                self._end(job, "failed")

    def _start(self, zone: str, job: FakeJob, action: StartJob) -> None:
        job.attempt = action.attempt
        attempt = action.attempt
        clearing_since = self._clearing.pop(job.spec.job_id, None)
        if action.placement.guaranteed and clearing_since is not None:
            self.measurements.reclaim_s.append(
                self.now - clearing_since + START_S
            )

        def begin() -> None:
            if job.attempt != attempt or job.ended_at is not None:
                return
            view = self.zones[zone].jobs.get(job.spec.job_id)
            if view is None or view.state is not JobState.PLACED:
                return
            if job.started_at is None:
                job.started_at = self.now
            cost = RESUME_COST_S if job.attained_s > 0 else 0.0
            job.running_from = self.now + cost
            self.zones[zone].job_running(job.spec.job_id, attempt, self.now)
            remaining_s = job.work_s - job.attained_s
            workers = set(action.placement.workers)
            if job.fails or workers & self.failing:
                self.schedule(self.now + 1.0, lambda: fail(workers))
            else:
                self.schedule(self.now + cost + remaining_s, finish)

        def finish() -> None:
            if job.attempt != attempt or job.running_from is None:
                return
            if job.ended_at is not None:
                return
            self._record_work(job)
            self._finish(zone, job, Outcome.DONE, None)
            self._end(job, "done")

        def fail(workers: set[str]) -> None:
            if job.attempt != attempt or job.running_from is None:
                return
            job.running_from = None
            failed_workers = sorted(workers & self.failing) or sorted(workers)
            self._finish(zone, job, Outcome.FAILED, failed_workers[0])

        self.schedule(self.now + START_S, begin)

    def _record_work(self, job: FakeJob) -> None:
        """Record the current attempt's work, which is done or saved."""
        if job.running_from is not None and job.running_from < self.now:
            held = job.spec.total_accelerators
            self.measurements.useful.append((job.running_from, self.now, held))
            job.attained_s += self.now - job.running_from
        job.running_from = None

    def _finish(
        self, zone: str, job: FakeJob, outcome: Outcome, worker: str | None
    ) -> None:
        scheduler = self.zones[zone]
        actions = scheduler.job_ended(
            job.spec.job_id,
            job.attempt,
            outcome,
            self.now,
            job.attained_s,
            worker,
        )
        self._apply_actions(zone, actions)
        self.changed_zones.add(zone)
        if outcome is not Outcome.DONE and job.zone == zone:
            if job.spec.job_id not in scheduler.jobs:
                self._end(job, "cancelled")

    def _evict(self, zone: str, job: FakeJob, action: EvictJob) -> None:
        self.measurements.evictions += 1
        attempt = action.attempt

        def complete_eviction() -> None:
            if job.attempt != attempt or job.ended_at is not None:
                return
            if action.checkpoint:
                self._record_work(job)
            else:
                job.running_from = None
                job.attained_s = 0.0
            self._finish(zone, job, Outcome.STOPPED, None)

        self.schedule(self.now + CHECKPOINT_S, complete_eviction)

    # Zones and workers

    def take_zone_out(self, zone: str) -> None:
        """Take a zone out of service now."""
        self._apply_actions(zone, self.zones[zone].take_out())
        self.changed_zones.add(zone)

    def bring_zone_back(self, zone: str) -> None:
        """Bring a zone back into service now."""
        self.zones[zone].bring_back()
        self.changed_zones.add(zone)

    def lose_worker(self, worker_id: str) -> None:
        """Lose a worker and restart its jobs from their last checkpoint."""
        zone = self._find_zone(worker_id)
        self.lost.add(worker_id)
        for job_id in self.zones[zone].lose_worker(worker_id):
            job = self.jobs[job_id]
            job.running_from = None
            self._finish(zone, job, Outcome.LOST, None)
        self.changed_zones.add(zone)

    def restore_worker(self, worker_id: str) -> None:
        """Bring a lost worker back."""
        zone = self._find_zone(worker_id)
        self.lost.discard(worker_id)
        self.zones[zone].restore_worker(worker_id)
        self.changed_zones.add(zone)

    def _find_zone(self, worker_id: str) -> str:
        for zone, scheduler in self.zones.items():
            if worker_id in scheduler.cells.workers:
                return zone
        raise KeyError(worker_id)

    def _move_waiting(self, zone: str) -> None:
        scheduler = self.zones[zone]
        waiting = [
            WaitingJob(view.spec, self.now - view.waiting_since)
            for view in scheduler.queued_jobs()
        ]
        if not waiting:
            return
        summaries = [
            self._make_summary(name, other)
            for name, other in self.zones.items()
        ]
        for move in plan_moves(zone, waiting, summaries):
            view = scheduler.jobs[move.job_id]
            if self.zones[move.zone].check(view.spec) is None:
                self._move(view, zone, move.zone)

    def _move(self, view: JobView, zone: str, home: str) -> None:
        job_id = view.spec.job_id
        moved = self.zones[zone].withdraw(job_id)
        job = self.jobs[job_id]
        job.zone = home
        target = self.zones[home]
        target.submit(moved.spec, moved.submitted, moved.attained_s)
        target.jobs[job_id].attempt = moved.attempt
        self.changed_zones.add(home)
        self._decide(home)

    # Samples

    def _sample_until(self, when: float) -> None:
        while self._next_sample <= when:
            self._sample()
            self._next_sample += SAMPLE_INTERVAL_S

    def _sample(self) -> None:
        """Sample the fragmentation of zones in which a large job waits.

        It is the share of the idle accelerators that the largest waiting job
        can't use. The sample counts as stranded if the idle accelerators
        would be enough for the job in number.
        """
        for scheduler in self.zones.values():
            if not scheduler.zone_in:
                continue
            waiting = [
                view
                for view in scheduler.queued_jobs()
                if view.cell_size * view.spec.tasks >= 8
            ]
            if not waiting:
                continue
            largest = max(
                waiting, key=lambda view: view.cell_size * view.spec.tasks
            )
            free = scheduler.cells.counts.idle[0]
            if free == 0:
                continue
            size = largest.cell_size
            cells = scheduler.cells.counts.idle[size_index(size)]
            usable = min(free, cells * size)
            self.measurements.samples += 1
            self.measurements.fragmentation.append(1.0 - usable / free)
            if free >= size * largest.spec.tasks:
                self.measurements.stranded_samples += 1
