"""Kill the controller's entry while many occurrences end, and the store slow.

A recurring job has many occurrences that are due at once. Each of them must
run once.
"""

import asyncio
from collections import defaultdict
from pathlib import Path
import time

from rig2.system import CannotRun
from rig2.system import has_trouble
from rig2.system import run_case
from rig2.system import System

JOB = "5c0e7a21d94b36f8"
OCCURRENCES = 240
TASKS = 3
WORK_S = 4.0
# The site files have platform_slow with x = 60 for 4.5 s.
SLOWNESS = 60.0
SLOW_S = 4.5
KILL_AFTER_S = 0.9
STEP = {
    "count": TASKS,
    "cpu": 250,
    "mem-mb": 64,
    "estimate-ms": int(WORK_S * 1000),
    "gang": True,
}


def count(system: System, what: str) -> int:
    """Count the events of a kind."""
    return sum(event.what == what for event in system.platform.events)


def find_second_starts(system: System) -> list[str]:
    """Return the tasks that were started after an end that was noted.

    An end is noted when ``ack-cursor`` reaches it, then or later; no lease
    lapses here while a task runs that has ended.
    """
    noted = {
        (event.runner, event.task, event.run)
        for event in system.platform.events
        if event.what == "noted"
    }
    done_s: dict[str, float] = {}
    broken = []
    for event in system.platform.events:
        if event.what == "done" and (
            (event.runner, event.task, event.run) in noted
        ):
            done_s.setdefault(event.task, event.at_s)
        if event.what == "start" and event.task in done_s:
            after_s = event.at_s - done_s[event.task]
            broken.append(
                f"{event.task} run {event.run} was started at {event.runner} "
                f"{after_s:.2f} s after a run of it had ended done"
            )
    return broken


def summarize(system: System) -> list[str]:
    """Return lines that tell when the runners did what."""
    began_s = system.began_s
    seconds: dict[int, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    for event in system.platform.events:
        seconds[int(event.at_s - began_s)][event.what] += 1
    return [
        f"{second:5d} s: "
        + ", ".join(f"{number} {what}" for what, number in counts.items())
        for second, counts in sorted(seconds.items())
    ]


async def play(lines: list[str]) -> list[str]:
    """Play the case; return what broke the rule."""
    async with System() as system:
        system.lines = lines
        first_ms = int((time.time() - 3600) * 1000)
        body = {
            "spec": "rebuild",
            "steps": [STEP],
            "times": OCCURRENCES,
            "first-ms": first_ms,
            "interval-ms": 1000,
        }
        reply = await system.submit("lohu930", JOB, WORK_S, body)
        if reply.status != 200:
            raise CannotRun(f"the job was answered with {reply.status}")
        every = OCCURRENCES * TASKS
        await system.wait(lambda: count(system, "start") >= every, 20.0)
        if has_trouble():
            await asyncio.sleep(1.0)
            system.note(f"store answers take {SLOWNESS:.0f} times as long")
            system.store.slowness = SLOWNESS
            slow_until_s = time.monotonic() + SLOW_S
            await system.wait(lambda: count(system, "done") >= every, 10.0)
            await asyncio.sleep(KILL_AFTER_S)
            holder = system.find_holder()
            system.kill(holder)
            await system.restart(holder)
            await asyncio.sleep(max(0.0, slow_until_s - time.monotonic()))
            system.store.slowness = 1.0
            system.note("store answers as usual")
        until_s = time.monotonic() + 40.0
        state = ""
        while state != "completed" and time.monotonic() < until_s:
            await asyncio.sleep(1.0)
            reply = await system.call("GET", f"/lohu930/{JOB}")
            state = reply.body.get("state", "")
        await asyncio.sleep(2.0)
        broken = find_second_starts(system)
        lines += ["", "what the runners did, by second", *summarize(system)]
        lines += ["", *broken]
        if broken:
            return [
                f"{len(broken)} starts of tasks that had ended done",
                broken[0],
            ]
        if state != "completed":
            raise CannotRun(f"the job is {state or 'unknown'} at the end")
        return []


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
