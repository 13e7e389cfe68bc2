"""Run random events against the zone decisions with all invariants asserted.

Exits with 1 at the first invariant that fails and prints the seed and step
that replay it.
"""

import argparse
import random
import sys
import time

from zonefake import FakeJob
from zonefake import FakeSystem
from zonefake import Site

from hickorywing.errors import InvariantViolation
from hickorywing.policy.cells import cut_roots
from hickorywing.policy.cells import fits
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
RESTART_EVERY = 500


def make_random_site(source: random.Random) -> Site:
    """Return a small site with mixed workers and guarantees that fit."""
    workers = []
    for zone in ("a", "b", "c")[: source.randint(1, 3)]:
        for number in range(source.randint(1, 6)):
            workers.append(
                WorkerSpec(
                    f"{zone}{number}",
                    zone,
                    f"{zone}-r{number // 2}",
                    source.choice([8, 8, 8, 4, 2, 1, 3, 6, 7, 0]),
                    64.0,
                    256.0,
                )
            )
    customers = tuple(
        Customer(name, source.choice([None, None, 12, 24]))
        for name in CUSTOMERS
    )
    guarantees = make_guarantees(source, workers)
    return Site("random", tuple(workers), customers, tuple(guarantees))


def make_guarantees(
    source: random.Random, workers: list[WorkerSpec]
) -> list[Guarantee]:
    """Return random guarantees that fit all at once."""
    guarantees = []
    for zone in sorted({worker.zone for worker in workers}):
        room = [0] * len(SIZES)
        for worker in workers:
            if worker.zone == zone:
                for _, size in cut_roots(worker.accelerators):
                    room[size_index(size)] += 1
        wanted = [0] * len(SIZES)
        for _ in range(source.randint(0, 12)):
            size = source.choice([1, 2, 4, 8])
            wanted[size_index(size)] += 1
            if fits(room, wanted):
                wanted[size_index(size)] -= 1
                continue
            customer = source.choice(CUSTOMERS[:3])
            guarantees.append(Guarantee(customer, size, 1, zone))
    return guarantees


class Soak:
    """One long random run; everything comes from one seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.source = random.Random(seed)
        self.number = 0
        self.step = 0
        self.system = self._make_system()

    def _make_system(self) -> FakeSystem:
        options = self.source.choice(
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
        site = make_random_site(self.source)
        return FakeSystem(site, options, self.seed, check_whole=True)

    def run(self, steps: int) -> None:
        """Do random steps; raise ``InvariantViolation`` with the step."""
        for self.step in range(1, steps + 1):
            if self.step % RESTART_EVERY == 0:
                self._drain()
                self.system = self._make_system()
            self._do_one()
            pause = self.source.choice([0.0, 0.2, 1.0, 30.0, 600.0])
            self._advance(pause)

    def _advance(self, seconds: float) -> None:
        system = self.system
        until = system.now + seconds
        system._live += 1
        system.at(until, lambda: None)
        system.run(until)
        system._live -= 1

    def _drain(self) -> None:
        """Bring everything back; every live job must come to its end."""
        system = self.system
        for worker_id in list(system.lost):
            system.restore_worker(worker_id)
        system.failing.clear()
        for zone in system.zones:
            system.bring_zone_back(zone)
        until = system.now + 30 * 86400.0
        ticks = system.now
        while ticks < until:
            ticks += 1800.0
            system.at(ticks, lambda: system._dirty.update(system.zones))
        system.run(until)
        left = [
            job for job in system.jobs.values()
            if job.ended_at is None and job.arrives <= system.now
        ]  # fmt: skip
        if left:
            raise InvariantViolation(f"{left[0]} never ended")

    def _do_one(self) -> None:
        actions = [
            (10, self._submit),
            (2, self._cancel),
            (1, self._cancel_wave),
            (1, self._lose_worker),
            (2, self._restore_worker),
            (1, self._take_zone_out),
            (2, self._bring_zone_back),
            (1, self._change_rules),
            (1, self._toggle_failing),
        ]
        weights = [weight for weight, _ in actions]
        choice = self.source.choices(actions, weights)[0]
        choice[1]()

    def _submit(self) -> None:
        source = self.source
        for _ in range(source.choice([1, 1, 1, 2, 6])):
            self.number += 1
            accelerators = source.choice([0, 1, 1, 1, 2, 3, 4, 8])
            spec = JobSpec(
                f"s{self.number}",
                source.choice(CUSTOMERS),
                source.choice([1, 1, 1, 2, 3, 4]),
                accelerators,
                source.choice([1.0, 4.0, 8.0]),
                source.choice([1.0, 16.0]),
                source.choice(list(Adjacency)),
                source.lognormvariate(4, 2),
                source.random() < 0.1,
            )
            work = max(1.0, min(20000.0, source.lognormvariate(5, 1.5)))
            job = FakeJob(spec, self.system.now, work)
            job.fails = source.random() < 0.03
            self.system.add_job(job)

    def _live_jobs(self) -> list[FakeJob]:
        return [
            job
            for job in self.system.tally.jobs[-200:]
            if job.ended_at is None
        ]

    def _cancel(self) -> None:
        live = self._live_jobs()
        if live:
            self.system._cancel(self.source.choice(live))

    def _cancel_wave(self) -> None:
        customer = self.source.choice(CUSTOMERS)
        for job in self._live_jobs():
            if job.spec.customer == customer:
                self.system._cancel(job)

    def _lose_worker(self) -> None:
        worker = self.source.choice(self.system.site.workers)
        if worker.worker_id not in self.system.lost:
            self.system.lose_worker(worker.worker_id)

    def _restore_worker(self) -> None:
        if self.system.lost:
            worker_id = self.source.choice(sorted(self.system.lost))
            self.system.restore_worker(worker_id)

    def _take_zone_out(self) -> None:
        self.system.take_zone_out(self.source.choice(self.system.site.zones))

    def _bring_zone_back(self) -> None:
        zone = self.source.choice(self.system.site.zones)
        self.system.bring_zone_back(zone)

    def _change_rules(self) -> None:
        guarantees = make_guarantees(
            self.source, list(self.system.site.workers)
        )
        for zone, scheduler in self.system.zones.items():
            scheduler.set_rules(
                self.system.site.customers,
                [item for item in guarantees if item.zone == zone],
            )
            self.system._dirty.add(zone)

    def _toggle_failing(self) -> None:
        worker = self.source.choice(self.system.site.workers).worker_id
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
    took = time.perf_counter() - began
    print(
        f"seed {options.seed}: {options.steps} steps, {soak.number} jobs,"
        f" every invariant held, {took:.1f} s"
    )


if __name__ == "__main__":
    main()
