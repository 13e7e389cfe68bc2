"""Run random events against the zone schedulers and check all invariants.

Exits with 1 at the first invariant that fails, and prints the seed and the
number of steps that reproduce it.
"""

import argparse
import random
import sys
import time

from zonefake import FakeJob
from zonefake import FakeSystem
from zonefake import Site

from hickorywing.errors import InvariantViolation
from hickorywing.policy.cells import compute_shortfall
from hickorywing.policy.cells import divide_worker
from hickorywing.policy.cells import size_index
from hickorywing.policy.cells import SIZES
from hickorywing.policy.model import Adjacency
from hickorywing.policy.model import Customer
from hickorywing.policy.model import Guarantee
from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import WorkerSpec
from hickorywing.policy.queue import ArrivalOrder
from hickorywing.policy.scheduler import SchedulerOptions

__all__ = ["Soak", "main"]

CUSTOMERS = ("north", "south", "east", "west")
SYSTEM_STEPS = 500


def make_random_site(rng: random.Random) -> Site:
    """Return a small random site whose guarantees fit its workers."""
    workers = []
    for zone in ("a", "b", "c")[: rng.randint(1, 3)]:
        for number in range(rng.randint(1, 6)):
            workers.append(
                WorkerSpec(
                    f"{zone}{number}",
                    zone,
                    f"{zone}-r{number // 2}",
                    rng.choice([8, 8, 8, 4, 2, 1, 3, 6, 7, 0]),
                    64.0,
                    256.0,
                )
            )
    customers = tuple(
        Customer(name, rng.choice([None, None, 12, 24])) for name in CUSTOMERS
    )
    guarantees = make_guarantees(rng, workers)
    return Site("random", tuple(workers), customers, tuple(guarantees))


def make_guarantees(
    rng: random.Random, workers: list[WorkerSpec]
) -> list[Guarantee]:
    """Return random guarantees that the workers can hold all at once."""
    guarantees = []
    for zone in sorted({worker.zone for worker in workers}):
        capacity = [0] * len(SIZES)
        for worker in workers:
            if worker.zone == zone:
                for _, size in divide_worker(worker.accelerators):
                    capacity[size_index(size)] += 1
        wanted = [0] * len(SIZES)
        for _ in range(rng.randint(0, 12)):
            size = rng.choice([1, 2, 4, 8])
            wanted[size_index(size)] += 1
            if compute_shortfall(capacity, wanted):
                wanted[size_index(size)] -= 1
                continue
            customer = rng.choice(CUSTOMERS[:3])
            guarantees.append(Guarantee(customer, size, 1, zone))
    return guarantees


class Soak:
    """A long random run that its seed determines."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.number = 0
        self.step = 0
        self.system = self._make_system()

    def _make_system(self) -> FakeSystem:
        options = self.rng.choice(
            [
                SchedulerOptions(),
                SchedulerOptions(),
                SchedulerOptions(),
                SchedulerOptions(
                    order=ArrivalOrder(),
                    first_fit=True,
                    backfill=False,
                    migrate=False,
                ),
            ]
        )
        site = make_random_site(self.rng)
        return FakeSystem(site, options, self.seed, check_state=True)

    def run(self, steps: int) -> None:
        """Do random steps, in a new system every ``SYSTEM_STEPS`` steps.

        Raises ``InvariantViolation`` if an invariant fails; ``step`` then
        holds the number of the step.
        """
        for self.step in range(1, steps + 1):
            if self.step % SYSTEM_STEPS == 0:
                self._drain()
                self.system = self._make_system()
            self._run_random_action()
            pause = self.rng.choice([0.0, 0.2, 1.0, 30.0, 600.0])
            self._advance(pause)

    def _advance(self, seconds: float) -> None:
        system = self.system
        until_s = system.now + seconds
        # Counts as a live job, so that time advances also when no job is left.
        system.live_jobs += 1
        system.schedule(until_s, lambda: None)
        system.run(until_s)
        system.live_jobs -= 1

    def _drain(self) -> None:
        """Restore all workers and zones, and let the jobs end.

        Raises ``InvariantViolation`` if a job that has arrived has not ended
        after 30 days.
        """
        system = self.system
        for worker_id in list(system.lost):
            system.restore_worker(worker_id)
        system.failing.clear()
        for zone in system.zones:
            system.bring_zone_back(zone)
        until_s = system.now + 30 * 86400.0
        tick_s = system.now
        while tick_s < until_s:
            tick_s += 1800.0
            system.schedule(
                tick_s, lambda: system.changed_zones.update(system.zones)
            )
        system.run(until_s)
        unfinished = [
            job for job in system.jobs.values()
            if job.ended_at is None and job.arrives <= system.now
        ]  # fmt: skip
        if unfinished:
            raise InvariantViolation(f"{unfinished[0]} never ended")

    def _run_random_action(self) -> None:
        actions = [
            (10, self._submit),
            (2, self._cancel),
            (1, self._cancel_customer_jobs),
            (1, self._lose_worker),
            (2, self._restore_worker),
            (1, self._take_zone_out),
            (2, self._bring_zone_back),
            (1, self._change_rules),
            (1, self._toggle_failing),
        ]
        weights = [weight for weight, _ in actions]
        choice = self.rng.choices(actions, weights)[0]
        choice[1]()

    def _submit(self) -> None:
        rng = self.rng
        for _ in range(rng.choice([1, 1, 1, 2, 6])):
            self.number += 1
            accelerators = rng.choice([0, 1, 1, 1, 2, 3, 4, 8])
            spec = JobSpec(
                f"s{self.number}",
                rng.choice(CUSTOMERS),
                rng.choice([1, 1, 1, 2, 3, 4]),
                accelerators,
                rng.choice([1.0, 4.0, 8.0]),
                rng.choice([1.0, 16.0]),
                rng.choice(list(Adjacency)),
                rng.lognormvariate(4, 2),
                rng.random() < 0.1,
            )
            work = max(1.0, min(20000.0, rng.lognormvariate(5, 1.5)))
            job = FakeJob(spec, self.system.now, work)
            job.fails = rng.random() < 0.03
            self.system.add_job(job)

    def _live_jobs(self) -> list[FakeJob]:
        return [
            job
            for job in self.system.measurements.jobs[-200:]
            if job.ended_at is None
        ]

    def _cancel(self) -> None:
        live = self._live_jobs()
        if live:
            self.system.cancel(self.rng.choice(live))

    def _cancel_customer_jobs(self) -> None:
        customer = self.rng.choice(CUSTOMERS)
        for job in self._live_jobs():
            if job.spec.customer == customer:
                self.system.cancel(job)

    def _lose_worker(self) -> None:
        worker = self.rng.choice(self.system.site.workers)
        if worker.worker_id not in self.system.lost:
            self.system.lose_worker(worker.worker_id)

    def _restore_worker(self) -> None:
        if self.system.lost:
            worker_id = self.rng.choice(sorted(self.system.lost))
            self.system.restore_worker(worker_id)

    def _take_zone_out(self) -> None:
        self.system.take_zone_out(self.rng.choice(self.system.site.zones))

    def _bring_zone_back(self) -> None:
        zone = self.rng.choice(self.system.site.zones)
        self.system.bring_zone_back(zone)

    def _change_rules(self) -> None:
        guarantees = make_guarantees(self.rng, list(self.system.site.workers))
        for zone, scheduler in self.system.zones.items():
            scheduler.set_rules(
                self.system.site.customers,
                [item for item in guarantees if item.zone == zone],
            )
            self.system.changed_zones.add(zone)

    def _toggle_failing(self) -> None:
        worker = self.rng.choice(self.system.site.workers).worker_id
        if worker in self.system.failing:
            self.system.failing.discard(worker)
        else:
            self.system.failing.add(worker)


def main() -> None:
    """Run one soak."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=20000)
    options = parser.parse_args()
    soak = Soak(options.seed)
    began = time.perf_counter()
    try:
        soak.run(options.steps)
    except InvariantViolation as error:
        print(f"invariant failed: {error}")
        print(f"replay: make soak SEED={soak.seed} STEPS={soak.step}")
        sys.exit(1)
    elapsed_s = time.perf_counter() - began
    print(
        f"seed {options.seed}: {options.steps} steps, {soak.number} jobs,"
        f" every invariant held, {elapsed_s:.1f} s"
    )


if __name__ == "__main__":
    main()
