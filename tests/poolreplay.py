"""Replay of a workload on the planner, in simulated time."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import random

from poolhelpers import make_job
from poolhelpers import Pool

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolplans import Plan
from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolruns import Unit

# Resources of a worker in a large pool, and the longest time that a stop
# takes there.
CAPACITY = Resources(64_000, 131_072, 8)
MAX_STOP_S = 0.9
PLAN_INTERVAL_S = 0.05
# Seconds that a slow worker takes for work that takes 1 s on others.
SLOW_WORKER_S = 1.3


@dataclass(slots=True)
class ClaimRecord:
    """Units preempted for one job.

    ``plan_count`` counts the plans that preempted units for it, ``victims``
    holds each unit's key and workers, and ``useful_victims`` counts the
    victims that ran on a worker on which the job was then placed.
    """

    first_stop_s: float
    plan_count: int = 0
    last_plan_number: int = -1
    victims: list[tuple] = field(default_factory=list)
    useful_victims: int = 0
    placed_s: float | None = None


class Replay:
    """A pool in simulated time, in which runs and stops end when due."""

    def __init__(self, workers: int, seed: int) -> None:
        self.pool = Pool(workers, rack_size=6, capacity=CAPACITY)
        self.claims: dict[str, ClaimRecord] = {}
        self.urgent_waits_s: dict[str, float] = {}
        self.submitted_s: dict[str, float] = {}
        self.completion_s: dict[str, float] = {}
        self.preemption_counts = Counter()
        self._random = random.Random(seed)
        self._plan_count = 0
        self._pending_ends: list[tuple[float, Unit, int, Ending]] = []
        self._work_s: dict[str, float] = {}

    def submit(self, job_id: str, step: Step, priority: int, work_s: float):
        """Submit a job of one step, whose tasks run for about ``work_s``."""
        self._work_s[job_id] = work_s
        self.submitted_s[job_id] = self.pool.now_s
        return self.pool.add(
            make_job(job_id, steps=(step,), priority=priority)
        )

    def count_late(self, name: str, stretch: float) -> int:
        """Count the jobs that took over ``stretch`` times their work.

        Jobs whose id begins with ``name`` count, unfinished ones as well.
        """
        return sum(
            self.completion_s.get(job_id, float("inf"))
            > stretch * self._work_s[job_id]
            for job_id in self.submitted_s
            if job_id.startswith(name)
        )

    def advance(self, duration_s: float) -> None:
        """Advance the simulated time, and plan after each step."""
        until_s = self.pool.now_s + duration_s
        while self.pool.now_s < until_s:
            self.pool.now_s += PLAN_INTERVAL_S
            self._end_due_runs()
            self.plan()

    def plan(self) -> None:
        """Make one plan, and schedule the ends of its starts and stops."""
        self._plan_count += 1
        plan = self.pool.run()
        for start in plan.starts:
            unit = start.unit
            work_s = self._work_s[unit.job_id] * self._random.uniform(0.9, 1.1)
            if self.pool.slow & set(start.workers):
                work_s *= SLOW_WORKER_S
            end_s = self.pool.now_s + work_s
            self._pending_ends.append((end_s, unit, unit.run, Ending.DONE))
            self._record_start(unit)
        self._record_stops(plan)

    def _record_stops(self, plan: Plan) -> None:
        for victim, winner in plan.stops:
            end_s = self.pool.now_s + MAX_STOP_S * self._random.uniform(
                0.3, 1.0
            )
            self._pending_ends.append(
                (end_s, victim, victim.run, Ending.STOPPED)
            )
            claim = self.claims.setdefault(
                winner.job_id, ClaimRecord(self.pool.now_s)
            )
            if claim.last_plan_number != self._plan_count:
                claim.plan_count += 1
                claim.last_plan_number = self._plan_count
            workers = {member.worker for member in victim.members}
            claim.victims.append((victim.key, workers))
            self.preemption_counts[victim.key] += 1

    def _record_start(self, unit: Unit) -> None:
        state = self.pool.jobs[unit.job_id]
        if state.job.terms.priority == 0:
            self.urgent_waits_s[unit.job_id] = (
                self.pool.now_s - unit.waiting_since_s
            )
        claim = self.claims.get(unit.job_id)
        if claim is not None and claim.placed_s is None:
            claim.placed_s = self.pool.now_s
            workers = {member.worker for member in unit.members}
            claim.useful_victims = sum(
                bool(victim_workers & workers)
                for _, victim_workers in claim.victims
            )

    def _end_due_runs(self) -> None:
        pending = []
        for item in sorted(self._pending_ends, key=lambda item: item[0]):
            end_s, unit, run, ending = item
            if end_s > self.pool.now_s:
                pending.append(item)
                continue
            if unit.run != run or not unit.running:
                continue
            for member in unit.members:
                unit.end(member, ending)
            if not unit.done:
                unit.waiting_since_s = self.pool.now_s
            elif unit.job_id not in self.completion_s:
                submit_s = self.submitted_s[unit.job_id]
                self.completion_s[unit.job_id] = end_s - submit_s
            self.pool.jobs[unit.job_id].update_status()
        self._pending_ends = pending
