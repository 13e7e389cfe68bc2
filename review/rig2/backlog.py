"""Judge whether one job keeps the pool from the other jobs.

Small jobs are submitted regularly, and the job in question among them. Some
time after the last one, each job is asked for, and what has run is looked at.
"""

import asyncio
import time

from rig2.runner import CAPACITY
from rig2.system import CannotRun
from rig2.system import System

TESTED_JOB = "5c0e7a21d94b36f8"
TESTED_WORK_S = 2.0
SMALL_WORK_S = 0.5
SMALL_STEP = {"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 500}
SMALL_JOBS = 10
TESTED_AFTER = 2
PAUSE_S = 1.0
# ``finish_s`` of the pages.
FINISH_S = 14.0
# A job has nothing running for this long although there is room.
IDLE_S = 3.0
SAMPLE_S = 0.1


class Sampler:
    """Follows which jobs have something on the runners, and the use.

    ``idle_s`` maps a job to the longest time for which it had nothing running
    after it was followed, while less than half of the runners' room was in
    use, which leaves room for several of its tasks.
    """

    def __init__(self, system: System) -> None:
        self.idle_s: dict[str, float] = {}
        self._system = system
        self._since_s: dict[str, float] = {}

    def is_done(self, job: str) -> bool:
        """Return whether a task of a job has ended done."""
        events = self._system.list_task_events(job)
        return any(event.what == "done" for event in events)

    def sample(self, jobs: list[str]) -> None:
        """Look at the runners once."""
        now_s = time.monotonic()
        runners = self._system.platform.runners
        present = {
            task.partition(".")[0]
            for runner in runners
            for task in runner.runs
        }
        used = sum(
            run.step.get("cpu", 0)
            for runner in runners
            for run in runner.runs.values()
        )
        is_free = used < len(runners) * CAPACITY["cpu"] / 2
        for job in jobs:
            if job in present or not is_free or self.is_done(job):
                self._since_s.pop(job, None)
                continue
            since_s = self._since_s.setdefault(job, now_s)
            idle_s = now_s - since_s
            self.idle_s[job] = max(self.idle_s.get(job, 0.0), idle_s)


async def submit_small(system: System, number: int) -> str:
    """Submit a small job; return it if it was accepted, else ''."""
    job = f"{0x21D94B36F800 + number:016x}"
    body = {"spec": "audit", "steps": [SMALL_STEP]}
    reply = await system.submit("lohu930", job, SMALL_WORK_S, body, number)
    return job if reply.status == 200 else ""


async def submit_all(system: System, tested: dict, queue: str) -> list[str]:
    """Submit the small jobs, and the tested one before the third.

    Returns the jobs that were accepted. No client waits for another one.
    """
    submissions = []
    for number in range(SMALL_JOBS):
        if number == TESTED_AFTER:
            reply = await system.submit(
                queue, TESTED_JOB, TESTED_WORK_S, tested, number
            )
            if reply.status != 200:
                raise CannotRun(f"the tested job got {reply.status}")
        submission = submit_small(system, number)
        submissions.append(asyncio.ensure_future(submission))
        await asyncio.sleep(PAUSE_S)
    accepted = await asyncio.gather(*submissions)
    return [TESTED_JOB, *filter(None, accepted)]


async def play_backlog(
    lines: list[str], tested: dict, queue: str = "lohu930"
) -> list[str]:
    """Play a case with a tested job; return what broke the rule LOST."""
    async with System() as system:
        system.lines = lines
        accepted = await submit_all(system, tested, queue)
        system.note("end of the traffic")
        await asyncio.sleep(FINISH_S)
        replies = await asyncio.gather(
            *(
                system.call(
                    "GET",
                    f"/{queue if job == TESTED_JOB else 'lohu930'}/{job}",
                    None,
                    number,
                )
                for number, job in enumerate(accepted)
            )
        )
        sampler = Sampler(system)
        until_s = time.monotonic() + 2 * IDLE_S
        while time.monotonic() < until_s:
            sampler.sample(accepted)
            await asyncio.sleep(SAMPLE_S)
        system.note("end of the observation")
        starts = len(
            {
                event.task
                for event in system.list_task_events(TESTED_JOB)
                if event.what == "start"
            }
        )
        lines.append(f"tasks of the tested job that were started: {starts}")
        roles = [
            f"{line['timestamp']} {name} epoch {line['epoch']}"
            for name, line in system.list_events("role taken")
        ]
        lines += ["", "the controller's role was taken by", *roles]
        broken = []
        for job, reply in zip(accepted, replies, strict=True):
            if reply.status != 200:
                broken.append(
                    f"GET of {job}, {FINISH_S:.0f} s after the traffic: "
                    f"{reply.status or 'no answer'}"
                )
            idle_s = sampler.idle_s.get(job, 0.0)
            if idle_s > IDLE_S:
                broken.append(
                    f"{job} has nothing running for {idle_s:.1f} s, though "
                    "over half of the room is free"
                )
        return broken
