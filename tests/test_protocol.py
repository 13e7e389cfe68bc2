"""Tests of agents and entries over a simulated network, in virtual time.

Network, table and processes fail at random; after that every job must end, and
no invariant may have been violated.
"""

import asyncio
import contextlib
import random

from protocolfake import ProtocolSystem
import pytest
from virtual import run_virtual

WORKERS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
JOBS = 24
# Tasks, and accelerators of each.
JOB_SHAPES = ((1, 8), (2, 8), (2, 8), (3, 4), (4, 4), (2, 0))
CHAOS_S = 240.0
RECOVERY_S = 900.0


async def wait_for_all(system: ProtocolSystem, timeout_s: float) -> None:
    clock = asyncio.get_running_loop().time
    deadline = clock() + timeout_s
    while True:
        if system.error is not None:
            raise system.error
        statuses = await system.read_job_statuses()
        if all(status.is_terminal for status in statuses.values()):
            return
        if clock() > deadline:
            raise TimeoutError(f"jobs never ended: {statuses}")
        await asyncio.sleep(0.5)


def clear_faults(system: ProtocolSystem) -> None:
    system.network.loss_rate = 0.0
    system.network.duplicate_rate = 0.0
    system.network.delay_rate = 0.0
    system.network.cut.clear()
    for process in system.processes.values():
        process.table.cut = False
    system.table.faults.down = False
    system.table.faults.delay_s = 0.0
    system.table.faults.lose_answers = 0


async def inject_fault(system: ProtocolSystem, source: random.Random) -> None:
    """Inject a random fault, clear all faults or change a zone's state."""
    names = list(system.processes)
    choice = source.randrange(12)
    if choice == 0:
        await system.kill(source.choice(names))
    elif choice == 1:
        system.isolate(source.choice(names), source.random() < 0.5)
    elif choice == 2:
        system.table.faults.down = True
    elif choice == 3:
        system.table.faults.delay_s = source.uniform(1.0, 5.0)
    elif choice == 4:
        system.table.faults.lose_answers = source.randint(1, 5)
    elif choice == 5:
        system.network.loss_rate = source.uniform(0.0, 0.4)
        system.network.duplicate_rate = source.uniform(0.0, 0.3)
    elif choice == 6:
        system.network.delay_rate = source.uniform(0.0, 0.2)
    elif choice == 7:
        clear_faults(system)
    elif choice in (8, 9):
        process = system.processes[source.choice(names)]
        process.table.cut = True
        if choice == 9:
            system.isolate(process.name, source.random() < 0.5)
    else:
        zone = source.choice(system.zones)
        await system.set_zone(zone, source.random() < 0.5)


async def restart_killed(system: ProtocolSystem) -> None:
    for number in (0, 1):
        if f"entry-{number + 1}" not in system.processes:
            await system.start_entry(number)
    for worker_id in system.workers:
        if f"agent-{worker_id}" not in system.processes:
            await system.start_agent(worker_id)


@contextlib.asynccontextmanager
async def make_system(seed: int):
    system = ProtocolSystem(seed, WORKERS)
    try:
        await system.start()
        yield system
    finally:
        await system.stop()


async def run_chaos(seed: int) -> None:
    async with make_system(seed) as system:
        await drive_chaos(system, seed)


async def drive_chaos(system: ProtocolSystem, seed: int) -> None:
    source = random.Random(seed)
    clock = asyncio.get_running_loop().time
    submits = [
        asyncio.create_task(submit_later(system, source, number))
        for number in range(JOBS)
    ]
    until = clock() + CHAOS_S
    while clock() < until:
        await asyncio.sleep(source.uniform(1.0, 20.0))
        await inject_fault(system, source)
        if source.random() < 0.5:
            await restart_killed(system)
        if system.error is not None:
            raise system.error
    clear_faults(system)
    await restart_killed(system)
    for zone in system.zones:
        await bring_back(system, zone)
    await asyncio.gather(*submits)
    await wait_for_all(system, RECOVERY_S)


async def bring_back(system: ProtocolSystem, zone: str) -> None:
    for _ in range(100):
        if await system.set_zone(zone, True):
            return
        await asyncio.sleep(1.0)
    raise TimeoutError(f"{zone} did not come back")


async def submit_later(
    system: ProtocolSystem, source: random.Random, number: int
) -> None:
    await asyncio.sleep(source.uniform(0.0, CHAOS_S))
    tasks, accelerators = source.choice(JOB_SHAPES)
    await system.submit(f"north.j{number}", tasks, accelerators)
    if source.random() < 0.2:
        await asyncio.sleep(source.uniform(0.0, 30.0))
        await system.cancel(f"north.j{number}")


class TestChaos:
    @pytest.mark.parametrize("seed", range(1, 9))
    def test_invariants_hold_and_jobs_end(self, seed):
        run_virtual(run_chaos(seed))


class TestFaultFreeSystem:
    def test_gangs_are_done(self):
        async def work() -> None:
            async with make_system(1) as system:
                for number in range(6):
                    await system.submit(f"north.q{number}", 2, 8)
                await wait_for_all(system, 600.0)
                statuses = await system.read_job_statuses()
                assert set(statuses.values()) == {"done"}

        run_virtual(work())


class TestSlowTable:
    def test_gangs_start_and_zone_changes_take_effect(self):
        async def work() -> None:
            async with make_system(2) as system:
                await asyncio.sleep(15.0)
                system.table.faults.delay_s = 5.0
                for number in range(4):
                    await system.submit(f"north.s{number}", 2, 8)
                await asyncio.sleep(20.0)
                assert await system.set_zone("a", False)
                await asyncio.sleep(30.0)
                assert await system.set_zone("a", True)
                await wait_for_all(system, 900.0)
                assert system.error is None

        run_virtual(work())


class TestTableOutage:
    def test_running_job_survives_an_outage_of_an_hour(self):
        async def work() -> None:
            async with make_system(3) as system:
                await asyncio.sleep(15.0)
                await system.submit("north.long", 2, 8)
                row = system.table.rows["job/north.long"]
                value = dict(row.value, run_s=5000.0)
                system.table.rows["job/north.long"] = type(row)(
                    row.key, value, row.version, row.nonce
                )
                await asyncio.sleep(15.0)
                assert (await system.read_job_statuses())[
                    "north.long"
                ] == "started"
                system.table.faults.down = True
                await asyncio.sleep(3600.0)
                system.table.faults.down = False
                await wait_for_all(system, 4000.0)
                runs = system.history.runs.values()
                assert {run.launch.attempt for run in runs} == {1}

        run_virtual(work())


class TestEndsInAnOutage:
    """A job that ended while the table was down isn't run again.

    Guards against ends that agents forgot before they were stored, so that the
    controller's successor started the job anew.
    """

    @pytest.mark.parametrize("seed", range(1, 5))
    def test_controller_is_killed_before_it_stores_them(self, seed):
        async def work() -> None:
            async with make_system(seed) as system:
                await asyncio.sleep(15.0)
                jobs = [f"north.e{number}" for number in range(3)]
                for job in jobs:
                    await system.submit(job, 1, 8)
                    set_run_time(system, job, 20.0)
                await wait_for_status(system, jobs, "started")
                system.table.faults.down = True
                await asyncio.sleep(30.0)
                killed = [
                    name
                    for name, process in system.processes.items()
                    if name.startswith("agent-")
                    and process.daemon.controller.zone_lease.in_role
                ]
                assert killed
                for name in killed:
                    await system.kill(name)
                system.table.faults.down = False
                await restart_killed(system)
                await wait_for_all(system, RECOVERY_S)
                check_attempts(system, killed)

        run_virtual(work())


def check_attempts(system: ProtocolSystem, killed: list[str]) -> None:
    """Check that jobs beside no killed agent have run once.

    A restarted agent stops and forgets what it finds on its worker.
    """
    attempts: dict[str, list[int]] = {}
    for run in system.history.runs.values():
        if run.launch.attempt == 1 and f"agent-{run.worker_id}" not in killed:
            attempts[run.launch.job_id] = []
    for run in system.history.runs.values():
        if run.launch.job_id in attempts:
            attempts[run.launch.job_id].append(run.launch.attempt)
    assert attempts
    assert all(item == [1] for item in attempts.values()), attempts


def set_run_time(system: ProtocolSystem, job: str, run_s: float) -> None:
    """Change the time that a job takes, in its row."""
    row = system.table.rows[f"job/{job}"]
    value = dict(row.value, run_s=run_s)
    system.table.rows[row.key] = type(row)(
        row.key, value, row.version, row.nonce
    )


async def wait_for_status(
    system: ProtocolSystem, jobs: list[str], status: str
) -> None:
    async with asyncio.timeout(60.0):
        while True:
            statuses = await system.read_job_statuses()
            if {statuses[job] for job in jobs} == {status}:
                return
            await asyncio.sleep(0.2)
