"""Helpers for tests against a system of real processes."""

from typing import Any

from launcher import Launcher
from launcher import wait_until

from hickorywing.rules import hash_token

OPERATOR = "operator-token"
NORTH = "north-token"
SOUTH = "south-token"
WAIT_TIMEOUT_S = 60.0

INVENTORY = {
    "regions": [{"name": "r", "zones": ["a", "b"]}],
    "workers": [
        {
            "id": worker_id,
            "zone": zone,
            "rack": f"{zone}-1",
            "accelerators": 8,
            "cores": 64,
            "memory_gb": 256,
        }
        for worker_id, zone in (("a1", "a"), ("a2", "a"), ("b1", "b"))
    ],
}

RULES = {
    "customers": [
        {"name": "north", "token_sha256": [hash_token(NORTH)]},
        {"name": "south", "token_sha256": [hash_token(SOUTH)]},
    ],
    "operators": [{"name": "op", "token_sha256": [hash_token(OPERATOR)]}],
    "guarantees": [
        {"customer": "north", "accelerators": 8, "count": 1, "zone": "a"}
    ],
}


async def wait_for_workers(
    system: Launcher,
    free: dict[str, int],
    token: str,
    entries: tuple[str, ...] = ("entry-1", "entry-2"),
) -> None:
    """Wait until every entry reports the expected system.

    Each zone in ``free`` must report that many free accelerators, and an
    agent with a service must be present for each backend server.
    """

    async def ready() -> bool:
        for entry in entries:
            answer = await system.call(entry, "GET", "/v1/status", token=token)
            if answer.status != 200:
                return False
            status = answer.data()
            found = {
                zone["zone"]: zone["free_accelerators"]
                for zone in status["zones"]
            }
            if any(found.get(zone) != count for zone, count in free.items()):
                return False
            serving = [agent for agent in status["agents"] if agent["service"]]
            if len(serving) < len(system.plan.backends):
                return False
        return True

    await wait_until(ready, WAIT_TIMEOUT_S, f"zones with {free}")


async def submit(
    system: Launcher, token: str, entry: str = "entry-1", **job: Any
) -> str:
    """Submit a job and return its id."""
    answer = await system.call(entry, "POST", "/v1/jobs", job, token)
    assert answer.status == 201, answer.body
    return answer.data()["id"]


async def show(
    system: Launcher, token: str, job_id: str, entry: str = "entry-2"
) -> dict[str, Any]:
    """Return a job as its customer sees it.

    If the entry does not answer with the job, its status is ``unread``.
    """
    answer = await system.call(entry, "GET", f"/v1/jobs/{job_id}", None, token)
    return answer.data() if answer.status == 200 else {"status": "unread"}


async def wait_for_status(
    system: Launcher,
    token: str,
    job_id: str,
    wanted: str,
    timeout_s: float = WAIT_TIMEOUT_S,
) -> dict[str, Any]:
    """Wait until a job has the status ``wanted``, and return the job."""

    async def check() -> dict[str, Any] | None:
        job = await show(system, token, job_id)
        return job if job["status"] == wanted else None

    return await wait_until(check, timeout_s, f"{job_id} to be {wanted}")


async def count_runs(system: Launcher) -> dict[str, int]:
    """Return how often each request ran, over all backend servers."""
    total: dict[str, int] = {}
    for name in system.processes:
        if name.startswith("runner"):
            answer = await system.call(name, "GET", "/executions")
            for work, runs in answer.data()["runs"].items():
                total[work] = total.get(work, 0) + runs
    return total


async def list_starts(system: Launcher) -> list[dict[str, Any]]:
    """Return the task starts that the workers received."""
    starts: list[dict[str, Any]] = []
    for worker_id, _ in system.plan.workers:
        answer = await system.call(worker_id, "GET", "/starts")
        starts += answer.data()
    return starts
