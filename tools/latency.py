"""Measure the latency that an entry and an agent add to a request.

One run on loopback calls the backend server directly, then through entry and
agent, at 1, 16 and 64 connections. Prints medians, p99 and their ratios.
"""

import argparse
import asyncio
from pathlib import Path
import shutil
import time

from launcher import Launcher
from launcher import Plan
from slopes import read_cpu_s
from slopes import read_memory_mb

from hickorywing.httpclient import HttpClient
from hickorywing.rules import hash_token

__all__ = ["main"]

REQUESTS = 1500
CALL_TIMEOUT_S = 10.0


async def send_requests(
    url: str, path: str, connections: int, requests: int
) -> list[float]:
    """Send requests over some connections; return their sorted durations.

    The durations are in seconds.
    """
    took: list[float] = []
    remaining = [requests]

    async def use_connection() -> None:
        http = HttpClient()
        while remaining[0] > 0:
            remaining[0] -= 1
            began = time.perf_counter()
            answer = await http.call(
                "GET",
                f"{url}{path}",
                CALL_TIMEOUT_S,
                headers={"Authorization": "Bearer north"},
            )
            if answer.status != 200:
                raise RuntimeError(f"{answer.status}: {answer.body}")
            took.append(time.perf_counter() - began)
        await http.close()

    await asyncio.gather(*(use_connection() for _ in range(connections)))
    return sorted(took)


async def measure(service_s: float) -> None:
    """Start a system and compare direct with routed requests."""
    folder = Path("out/latency")
    shutil.rmtree(folder, ignore_errors=True)
    plan = Plan(
        zones=["z"],
        entries=1,
        backends=["z"],
        operator_sha256=hash_token("op"),
        service_s=service_s,
    )
    launcher = Launcher(folder, plan)
    launcher.prepare()
    try:
        launcher.start_all()
        await launcher.wait_serving()
        rules = {
            "customers": [
                {"name": "north", "token_sha256": [hash_token("north")]}
            ]
        }
        inventory = {"regions": [{"name": "r", "zones": ["z"]}]}
        await launcher.call("entry-1", "PUT", "/v1/inventory", inventory, "op")
        await launcher.call("entry-1", "PUT", "/v1/rules", rules, "op")
        await asyncio.sleep(3.0)
        await compare(launcher)
    finally:
        launcher.kill_all()


async def compare(launcher: Launcher) -> None:
    """Print direct and routed times, then the memory of each process."""
    direct = f"http://{launcher.http['runner-1']}"
    routed = f"http://{launcher.http['entry-1']}"
    entry = launcher.processes["entry-1"].popen.pid
    for connections in (1, 16, 64):
        await send_requests(direct, "/x", connections, 100)
        await send_requests(routed, "/v1/services/jobs/x", connections, 100)
        direct_s = await send_requests(direct, "/x", connections, REQUESTS)
        cpu_s = read_cpu_s(entry)
        routed_s = await send_requests(
            routed, "/v1/services/jobs/x", connections, REQUESTS
        )
        cpu_s = read_cpu_s(entry) - cpu_s
        median, p99 = len(direct_s) // 2, int(0.99 * len(direct_s))
        print(
            f"{connections:>3} connections: direct"
            f" {1000 * direct_s[median]:.2f}/{1000 * direct_s[p99]:.2f} ms,"
            " routed"
            f" {1000 * routed_s[median]:.2f}/{1000 * routed_s[p99]:.2f} ms,"
            f" ratio {routed_s[median] / direct_s[median]:.2f}/"
            f"{routed_s[p99] / direct_s[p99]:.2f},"
            f" {REQUESTS / cpu_s:.0f} requests a second of entry core"
        )
    for name in ("entry-1", "agent-runner-1", "table", "runner-1"):
        pid = launcher.processes[name].popen.pid
        print(f"{name}: {read_memory_mb(pid):.1f} MB")


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--service-s", type=float, default=0.01)
    options = parser.parse_args()
    asyncio.run(measure(options.service_s))


if __name__ == "__main__":
    main()
