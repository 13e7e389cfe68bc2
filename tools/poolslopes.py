"""Measure the cost of a pool's controller and agents over its workers.

Starts real programs on loopback against emulators of the platform, lets each
worker run one task, and reads processor time and memory from /proc.
"""

import argparse
import asyncio
import os
from pathlib import Path
import sys
import tempfile

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from platformsystem import PlatformSystem  # noqa: E402

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1_000_000
# Far longer than the default span, so that no task ends in it.
TASK_S = 600


def read_processor_s(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_MB


async def measure(workers: int, span_s: float) -> str:
    """Return the row of the table for a number of workers."""
    with tempfile.TemporaryDirectory() as folder:
        async with PlatformSystem(Path(folder), workers, 1) as system:
            await system.submit(
                "0123456789abcdef", run_s=TASK_S, count=workers, gpu=8
            )
            await system.wait(lambda: len(system.list_starts()) == workers)
            pids = {name: system.get_pid(name) for name in system.list_names()}
            before = {name: read_processor_s(pids[name]) for name in pids}
            commits = system.store.commits
            await asyncio.sleep(span_s)
            used = {
                name: 100 * (read_processor_s(pid) - before[name]) / span_s
                for name, pid in pids.items()
            }
            agents = [used[name] for name in system.workers]
            memory = [read_memory_mb(pids[name]) for name in system.workers]
            return (
                f"{workers:7} {used['e0']:10.2f} "
                f"{read_memory_mb(pids['e0']):8.1f} "
                f"{sum(agents) / workers:9.2f} {max(memory):8.1f} "
                f"{(system.store.commits - commits) / span_s:9.2f}"
            )


def main() -> None:
    """Print a row of costs for each number of workers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="+", default=[4, 12, 24])
    parser.add_argument("--span-s", type=float, default=10.0)
    options = parser.parse_args()
    print("workers entry_pct entry_mb agent_pct agent_mb commits_s")
    for workers in options.workers:
        print(asyncio.run(measure(workers, options.span_s)), flush=True)


if __name__ == "__main__":
    main()
