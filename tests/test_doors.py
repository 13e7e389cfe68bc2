"""Test that clients outside the limits end or starve no process.

The programs run as processes of their own. Nothing here depends on the speed
of the machine, but other load beside it would, so these tests run apart.
"""

import asyncio
import contextlib
import dataclasses
from pathlib import Path

from crowd import ABUSES
from crowd import AGENT_VM_BYTES
from crowd import count_descriptors
from crowd import Crowd
from crowd import ENTRY_VM_BYTES
from crowd import Growth
from crowd import IDLE_DESCRIPTORS
from crowd import LARGE_BODY
from crowd import MAX_GROWTH_BYTES
from crowd import MAX_IDLE_DESCRIPTORS
from crowd import MAX_NEW_DESCRIPTORS
from crowd import MESSAGE
from crowd import SCALE
from crowd import SHORT_MESSAGE
from crowd import TINY_HEADERS
from crowd import Visit
from crowd import VISITS
from helpers import NORTH
from helpers import submit
from helpers import wait_for_status
from platformsystem import KEY
from platformsystem import PlatformSystem
import pytest

from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient

pytestmark = pytest.mark.apart

JOB = "00000000000000aa"
# The listeners of the pool's programs: the process and its setting.
LISTENERS = [
    ("e0", "listen"),
    ("e0", "ready"),
    ("e0", "link"),
    ("w0", "listen"),
    ("w0", "link"),
]
VM_BYTES = {
    "e0": ENTRY_VM_BYTES,
    "e1": ENTRY_VM_BYTES,
    "w0": AGENT_VM_BYTES,
    "entry-1": ENTRY_VM_BYTES,
    "agent-a1": AGENT_VM_BYTES,
}
# Those of all visitors, who may stay, and of connections that the process
# itself opens.
CROWD_DESCRIPTORS = 130 * SCALE + MAX_NEW_DESCRIPTORS
# Asks for the status of a job, which reads the store, with a large body.
LEAVING = Visit(
    b"GET /jobs/00000000000000ff HTTP/1.1\r\nHost: queue.example\r\n"
    b"X-Credential: " + KEY.encode() + b"\r\n" + LARGE_BODY,
    40,
    answered=False,
    leaves=True,
)
TOO_LARGE = "heads that are too large"
TINY_HEAD = b"GET / HTTP/1.1\r\n" + TINY_HEADERS
SLOW_STARTS = {"no request": b"", "half a head": b"GET / HTTP/1.1\r\nX-A: b"}


async def serve_ordinary_job(
    system: PlatformSystem, entry: str = "e0"
) -> None:
    """Run a job for a caller who is new and tries again, as callers do."""
    await system.http.close()
    system.http = HttpClient()

    async def is_submitted() -> bool:
        try:
            return (await system.submit(JOB, entry=entry)).status == 200
        except CallError:
            return False

    async def is_completed() -> bool:
        try:
            return await system.get_status(JOB, entry=entry) == "completed"
        except CallError:
            return False

    await system.wait(is_submitted)
    await system.wait(is_completed)


def check_growth(growth: Growth, crowd: Crowd) -> None:
    grown_mb = growth.count_bytes() >> 20
    assert grown_mb <= MAX_GROWTH_BYTES >> 20
    assert growth.count_new_descriptors() <= MAX_NEW_DESCRIPTORS
    assert crowd.served == 0


def check_peak(growth: Growth, process: str) -> None:
    peak_mb = growth.count_peak_bytes() >> 20
    assert growth.fits(VM_BYTES[process]), f"{peak_mb} MB"


def check_fits(growth: Growth, process: str) -> None:
    check_peak(growth, process)
    assert growth.count_new_descriptors() <= CROWD_DESCRIPTORS


class TestPoolPrograms:
    """Each listener of an entry and an agent, under each kind of abuse."""

    @pytest.mark.parametrize("name", ABUSES)
    @pytest.mark.parametrize(("process", "listener"), LISTENERS)
    async def test_crowd(self, tmp_path: Path, process, listener, name):
        async with PlatformSystem(tmp_path, workers=1, entries=1) as system:
            address = system.get_listener(process, listener)
            growth = Growth(system.get_pid(process))
            with Crowd(address) as crowd:
                await crowd.abuse(ABUSES[name], growth.is_within)
                await serve_ordinary_job(system)
                check_growth(growth, crowd)
            assert system.is_alive(process)

    @pytest.mark.parametrize("name", VISITS)
    @pytest.mark.parametrize(("process", "listener"), LISTENERS)
    async def test_visits(self, tmp_path: Path, process, listener, name):
        """Requests that are answered or refused keep nothing."""
        async with PlatformSystem(tmp_path, workers=1, entries=1) as system:
            address = system.get_listener(process, listener)
            growth = Growth(system.get_pid(process))
            with Crowd(address) as crowd:
                await crowd.visit(
                    VISITS[name], lambda: growth.fits(VM_BYTES[process])
                )
                await serve_ordinary_job(system)
                check_fits(growth, process)
            assert system.is_alive(process)

    async def test_callers_who_leave_during_an_outage(self, tmp_path: Path):
        """Requests that run on without their callers count all the same."""
        async with PlatformSystem(tmp_path, workers=1, entries=1) as system:
            growth = Growth(system.get_pid("e0"))
            store = system.entry_stores["e0"]
            with Crowd(system.entries["e0"]) as crowd:
                store.begin_silence()
                await crowd.visit(LEAVING, lambda: growth.fits(ENTRY_VM_BYTES))
                store.silent = False
                await serve_ordinary_job(system)
                check_fits(growth, "e0")
            assert system.is_alive("e0")

    @pytest.mark.parametrize("name", SLOW_STARTS)
    @pytest.mark.parametrize(("process", "listener"), LISTENERS)
    async def test_many_connections(
        self, tmp_path: Path, process, listener, name
    ):
        system = PlatformSystem(
            tmp_path, workers=1, entries=1, descriptors=IDLE_DESCRIPTORS
        )
        async with system:
            with Crowd(system.get_listener(process, listener)) as crowd:
                await crowd.hold(SLOW_STARTS[name])
                await serve_ordinary_job(system)
                descriptors = count_descriptors(system.get_pid(process))
                assert descriptors <= MAX_IDLE_DESCRIPTORS
            assert system.is_alive(process)

    @pytest.mark.parametrize(("process", "listener"), LISTENERS)
    async def test_clients_that_come_back(
        self, tmp_path: Path, process, listener
    ):
        """Each connection is opened again once it was closed."""
        visit = dataclasses.replace(VISITS[TOO_LARGE], leaves=True)
        async with PlatformSystem(tmp_path, workers=1, entries=1) as system:
            growth = Growth(system.get_pid(process))
            with Crowd(system.get_listener(process, listener)) as crowd:
                await asyncio.gather(
                    *(crowd.visit(visit, lambda: True) for _ in range(3))
                )
                await serve_ordinary_job(system)
                check_fits(growth, process)
            assert system.is_alive(process)


class TestPlannedStop:
    """An entry that holds the role stops and hands it over in a crowd."""

    @pytest.mark.parametrize("start", [*SLOW_STARTS.values(), TINY_HEAD])
    async def test_crowd_on_each_listener(self, tmp_path: Path, start):
        async with PlatformSystem(tmp_path, workers=1, entries=2) as system:
            holder = system.find_controller()
            (other,) = system.entries.keys() - {holder}
            growth = Growth(system.get_pid(holder))
            with contextlib.ExitStack() as crowds:
                for listener in ("listen", "ready", "link"):
                    address = system.get_listener(holder, listener)
                    crowd = crowds.enter_context(Crowd(address))
                    await crowd.hold(start)
                await serve_ordinary_job(system, holder)
                check_peak(growth, holder)
                assert await system.stop(holder) == 0
            await serve_ordinary_job(system, other)


class TestZonePrograms:
    """The listeners of an entry and an agent of availability zones."""

    @pytest.mark.parametrize("name", VISITS)
    @pytest.mark.parametrize("process", ["entry-1", "agent-a1"])
    async def test_visits(self, system, process, name):
        """Requests that are answered or refused keep nothing."""
        popen = system.processes[process].popen
        growth = Growth(popen.pid)
        with Crowd(system.http[process]) as crowd:
            await crowd.visit(
                VISITS[name], lambda: growth.fits(VM_BYTES[process])
            )
            job = await submit(system, NORTH, cores=1, run_s=0.1)
            await wait_for_status(system, NORTH, job, "done")
            check_fits(growth, process)
        assert popen.poll() is None

    @pytest.mark.parametrize("name", ABUSES)
    @pytest.mark.parametrize("process", ["entry-1", "agent-a1"])
    async def test_crowd(self, system, process, name):
        popen = system.processes[process].popen
        growth = Growth(popen.pid)
        with Crowd(system.http[process]) as crowd:
            await crowd.abuse(ABUSES[name], growth.is_within)
            job = await submit(system, NORTH, cores=1, run_s=0.1)
            await wait_for_status(system, NORTH, job, "done")
            check_growth(growth, crowd)
        assert popen.poll() is None

    @pytest.mark.parametrize("process", ["entry-1", "agent-a1"])
    async def test_messages_without_end(self, system, process):
        """Parts of messages are bounded in size."""
        await self.send_messages(system, process, MESSAGE)

    @pytest.mark.parametrize("process", ["entry-1", "agent-a1"])
    async def test_many_short_messages_without_end(self, system, process):
        """The connections of peers are bounded in number."""
        await self.send_messages(system, process, SHORT_MESSAGE)

    async def send_messages(self, system, process, message: Visit) -> None:
        popen = system.processes[process].popen
        growth = Growth(popen.pid)
        with Crowd(system.control[process]) as crowd:
            await crowd.visit(message, lambda: growth.fits(VM_BYTES[process]))
            job = await submit(system, NORTH, cores=1, run_s=0.1)
            await wait_for_status(system, NORTH, job, "done")
            check_peak(growth, process)
        assert popen.poll() is None
