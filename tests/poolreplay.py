"""Replays a load on the planner as a sequence of plans, without a process."""

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

# A worker of a grown pool, and the most that a stop takes there.
CAPACITY = Resources(64_000, 131_072, 8)
STOP_S = 0.9
PLAN_EVERY_S = 0.05
# What slow workers take for work that takes 1 s on others.
SLOW_PACE = 1.3


@dataclass(slots=True)
class ClaimRecord:
    """What was stopped for one urgent gang before it was placed."""

    asked_s: float
    rounds: int = 0
    last_plan: int = -1
    victims: list[tuple] = field(default_factory=list)
    useful: int = 0
    placed_s: float | None = None


class Replay:
    """A full pool whose runs and stops end after their time."""

    def __init__(self, workers: int, seed: int) -> None:
        self.pool = Pool(workers, rack_size=6, capacity=CAPACITY)
        self.claims: dict[str, ClaimRecord] = {}
        self.urgent_waits: dict[str, float] = {}
        self.submitted_s: dict[str, float] = {}
        self.took_s: dict[str, float] = {}
        self.restarted = Counter()
        self._random = random.Random(seed)
        self._plans = 0
        self._ends: list[tuple[float, Unit, int, Ending]] = []
        self._work_s: dict[str, float] = {}

    def submit(self, job_id: str, step: Step, priority: int, work_s: float):
        """Hand a job in that runs for a time."""
        self._work_s[job_id] = work_s
        self.submitted_s[job_id] = self.pool.now_s
        return self.pool.add(
            make_job(job_id, steps=(step,), priority=priority)
        )

    def count_late(self, name: str, stretch: float) -> int:
        """Count the jobs that took over ``stretch`` times their work."""
        return sum(
            self.took_s.get(job_id, float("inf"))
            > stretch * self._work_s[job_id]
            for job_id in self.submitted_s
            if job_id.startswith(name)
        )

    def pass_time(self, for_s: float) -> None:
        """Plan again and again while runs and stops end."""
        until_s = self.pool.now_s + for_s
        while self.pool.now_s < until_s:
            self.pool.now_s += PLAN_EVERY_S
            self._end_due()
            self.plan()

    def plan(self) -> None:
        """Make one plan and follow what it does."""
        self._plans += 1
        plan = self.pool.run()
        for start in plan.starts:
            unit = start.unit
            work_s = self._work_s[unit.job_id] * self._random.uniform(0.9, 1.1)
            if self.pool.slow & set(start.workers):
                work_s *= SLOW_PACE
            end_s = self.pool.now_s + work_s
            self._ends.append((end_s, unit, unit.run, Ending.DONE))
            self._note_start(unit)
        self._note_stops(plan)

    def _note_stops(self, plan: Plan) -> None:
        for victim, winner in plan.stops:
            end_s = self.pool.now_s + STOP_S * self._random.uniform(0.3, 1.0)
            self._ends.append((end_s, victim, victim.run, Ending.STOPPED))
            claim = self.claims.setdefault(
                winner.job_id, ClaimRecord(self.pool.now_s)
            )
            if claim.last_plan != self._plans:
                claim.rounds += 1
                claim.last_plan = self._plans
            workers = {member.worker for member in victim.members}
            claim.victims.append((victim.key, workers))
            self.restarted[victim.key] += 1

    def _note_start(self, unit: Unit) -> None:
        state = self.pool.jobs[unit.job_id]
        if state.job.terms.priority == 0:
            self.urgent_waits[unit.job_id] = (
                self.pool.now_s - unit.waiting_since_s
            )
        claim = self.claims.get(unit.job_id)
        if claim is not None and claim.placed_s is None:
            claim.placed_s = self.pool.now_s
            workers = {member.worker for member in unit.members}
            claim.useful = sum(bool(at & workers) for _, at in claim.victims)

    def _end_due(self) -> None:
        left = []
        for item in sorted(self._ends, key=lambda item: item[0]):
            end_s, unit, run, ending = item
            if end_s > self.pool.now_s:
                left.append(item)
                continue
            if unit.run != run or not unit.running:
                continue
            for member in unit.members:
                unit.end(member, ending)
            if not unit.done:
                unit.waiting_since_s = self.pool.now_s
            elif unit.job_id not in self.took_s:
                began_s = self.submitted_s[unit.job_id]
                self.took_s[unit.job_id] = end_s - began_s
            self.pool.jobs[unit.job_id].update_status()
        self._ends = left
