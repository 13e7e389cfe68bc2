"""Measure how long a pool's controller keeps the event loop to itself.

Runs the controller's parts in this process, over a store in memory and
workers that answer at once, and submits a load of one kind. Prints the longest
time between two looks at the event loop, the processor time that plans took
and when everything was placed.
"""

import argparse
import asyncio
from collections.abc import Callable
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from poolhelpers import make_job  # noqa: E402
from test_runcontrol import Control  # noqa: E402
from test_runcontrol import FakeLink  # noqa: E402

from hickorywing.orders import WorkerReport  # noqa: E402
from hickorywing.policy.poolmodel import PoolJob  # noqa: E402
from hickorywing.policy.poolmodel import Resources  # noqa: E402
from hickorywing.policy.poolmodel import Step  # noqa: E402
from hickorywing.policy.poolruns import JobState  # noqa: E402
from hickorywing.poolconfig import Configuration  # noqa: E402

CAPACITY = Resources(64_000, 262_144, 8)
TASK = Resources(1_000, 64, 0)
TICK_S = 0.1
WORKERS_PER_RACK = 16


class Meter:
    """Records the longest time between two looks at the event loop.

    It is processor time, which other programs on the machine don't change.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def run(self) -> None:
        """Look at the event loop all the time, until cancelled."""
        last_s = time.process_time()
        while True:
            await asyncio.sleep(0)
            now_s = time.process_time()
            self.longest_s = max(self.longest_s, now_s - last_s)
            last_s = now_s


def add_workers(control: Control, count: int) -> None:
    """Let workers report, all idle."""
    for number in range(count):
        link = FakeLink(f"vm{number}/i@1")
        link.now_ms = 1_000
        link.report = WorkerReport(
            worker=link.worker,
            zone=link.zone,
            capacity=CAPACITY,
            labels=("a", f"r{number // WORKERS_PER_RACK}"),
            clock_ms=1_000,
            looked_ms=1_000,
        )
        control.runs.reports.handle_report(link, link.report)


def make_wide(count: int) -> list[PoolJob]:
    """Return jobs of one step, with up to 10,000 tasks each."""
    return [
        make_job(
            f"j{first}", (Step(min(10_000, count - first), resources=TASK),)
        )
        for first in range(0, count, 10_000)
    ]


def make_steps(count: int) -> list[PoolJob]:
    """Return a job with many steps that don't depend on each other."""
    return [make_job("j", (Step(1, resources=TASK),) * count)]


def make_overdue(count: int) -> list[PoolJob]:
    """Return a recurring job whose occurrences are all due."""
    step = Step(1, resources=TASK)
    return [make_job("j", (step,), occurrences=count, interval_s=1.0)]


def make_gangs(count: int) -> list[PoolJob]:
    """Return urgent jobs of one gang each."""
    step = Step(4, resources=Resources(1_000, 64, 2), gang=True)
    return [make_job(f"j{n}", (step,), priority=0) for n in range(count)]


def make_gang(count: int) -> list[PoolJob]:
    """Return a job of one wide gang."""
    return [make_job("j", (Step(count, resources=TASK, gang=True),))]


LOADS: dict[str, Callable[[int], list[PoolJob]]] = {
    "wide": make_wide,
    "steps": make_steps,
    "overdue": make_overdue,
    "gangs": make_gangs,
    "gang": make_gang,
}


async def measure(
    load: str, count: int, workers: int, span_s: float, fill: int
) -> str:
    """Return the row of the table for one load."""
    async with Control() as control:
        control.lease.holds = lambda: True
        control.view.accept(Configuration(1, ()))
        control.view.age_s = lambda _: 0.0
        add_workers(control, workers)
        for link in control.runs._workers.values():
            link.count_silent_s = lambda: 0.0
        meter = Meter()
        jobs = (
            [
                make_job(f"f{n}", job.steps)
                for n, job in enumerate(make_wide(fill))
            ]
            if fill
            else []
        )
        for job in jobs:
            control.runs.jobs.add(JobState(job, 1, 0.0), restored=False)
        until_s = time.perf_counter() + span_s
        while fill and time.perf_counter() < until_s:
            if len(list(control.runs.jobs.members)) >= fill:
                break
            control.runs.tick(time.time())
            await asyncio.sleep(TICK_S)
        expected = len(list(control.runs.jobs.members))
        metering = asyncio.ensure_future(meter.run())
        began_s = time.perf_counter()
        for number, job in enumerate(LOADS[load](count)):
            state = JobState(job, 2 + number, 0.0)
            control.runs.jobs.add(state, restored=False)
            await asyncio.sleep(0)
        began_s = time.perf_counter()
        placed = first_s = 0.0
        while time.perf_counter() < began_s + span_s:
            control.runs.tick(time.time())
            await asyncio.sleep(TICK_S)
            now_placed = len(list(control.runs.jobs.members)) - expected
            if now_placed != placed:
                placed = now_placed
                first_s = time.perf_counter() - began_s
        metering.cancel()
        control.runs.close()
        await asyncio.sleep(0)
        return (
            f"{load:8} {count:7} {workers:7} {fill:6} "
            f"{1000 * meter.longest_s:8.0f} {placed:8.0f} {first_s:8.1f}"
        )


def main() -> None:
    """Print a row for each load and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--load", choices=LOADS, nargs="+", default=[*LOADS])
    parser.add_argument("--count", type=int, nargs="+", default=[1_000])
    parser.add_argument("--workers", type=int, nargs="+", default=[8])
    parser.add_argument("--fill", type=int, default=0)
    parser.add_argument("--span-s", type=float, default=5.0)
    options = parser.parse_args()
    print("load       count workers   fill  gap_ms   placed  until_s")
    for load in options.load:
        for count in options.count:
            for workers in options.workers:
                row = measure(
                    load, count, workers, options.span_s, options.fill
                )
                print(asyncio.run(row), flush=True)


if __name__ == "__main__":
    main()
