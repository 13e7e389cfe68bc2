"""A config sends a queue to another service while one of its jobs runs.

The accepted job is then answered 410, and a delayed copy of its submission is
taken for a new job and runs once more.
"""

import asyncio
import json
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig.system import CaseError  # noqa: E402
from rig.system import run_case  # noqa: E402
from rig.system import System  # noqa: E402

FOLDER = Path(__file__).resolve().parent
RUNNER = {"cpu": 128_000, "mem-mb": 262_144, "gpu": 8}
JOB = "5c0e7a21d94b36f8"
PATH = f"/jobs/{JOB}"
TASK = f"{JOB}.0.0.0"
VISIBLE_S = 3.0
CONFIG_S = 2.0


async def play(system: System, trouble: bool) -> list[str]:
    """Return how the rules on lost jobs and double runs were broken."""
    system.configure(1, services=("pool-1", "pool-2"))
    for node in ("edge-cba-a-1", "edge-cba-b-1"):
        await system.add_entry(node, node[5:10])
    for number, pool in ((1, "pool-1"), (2, "pool-1"), (3, "pool-2")):
        node = f"side-cba-a-{number}"
        await system.add_runner(node, "cba-a", "r1-1", RUNNER, pool)
    await system.wait_serving()
    step = {"count": 1, "cpu": 11_000, "mem-mb": 23_000, "estimate-ms": 17_000}
    spec = {"work_s": 17.0, "needs": {"cpu": 11_000}}
    await system.submit(PATH, spec, [step])
    accepted_s = time.monotonic()
    await system.wait(
        lambda: bool(system.find_events("starts")), 5.0, "the job runs"
    )
    await asyncio.sleep(2.0)
    if trouble:
        system.configure(3, services=("pool-2", "pool-2"))
    else:
        system.configure(3, attempts=3, services=("pool-1", "pool-2"))
    await asyncio.sleep(CONFIG_S + 0.5)
    await asyncio.sleep(max(0.0, accepted_s + VISIBLE_S - time.monotonic()))
    answers = [await system.ask(node, "GET", PATH) for node in system.fronts]
    data = {"spec": json.dumps(spec), "steps": [step]}
    copy = await system.ask("edge-cba-b-1", "POST", PATH, data)
    if None in answers or copy is None:
        raise CaseError("an entry did not answer")
    await asyncio.sleep(3.0)
    return judge(system, [answer[0] for answer in answers if answer])


def judge(system: System, statuses: list[int]) -> list[str]:
    """Apply the rules to what the client and the runners have seen."""
    broken = []
    if 410 in statuses:
        broken.append(
            f"LOST: GET {PATH} of an accepted job that nobody has cancelled "
            f"is answered {statuses}"
        )
    ended_s = [
        at_s
        for at_s, fields in system.find_events("ends")
        if fields["task"] == TASK
    ]
    starts = [
        (at_s, fields["runner"], fields["run"])
        for at_s, fields in system.find_events("starts")
        if fields["task"] == TASK
    ]
    if len(starts) > 1 and (not ended_s or ended_s[0] > starts[1][0]):
        broken.append(f"TWICE: {TASK} runs twice at the same time: {starts}")
    return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
