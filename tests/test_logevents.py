"""Which lines real processes log, and with which facts."""

import asyncio
from pathlib import Path
import signal

from platformsystem import PlatformSystem

from hickorywing.logevents import LogEvent
from hickorywing.rows import RowKey

JOB = "00000000000000b"
ROOT = Path(__file__).parent.parent

# What a line must have so that it tells what decided.
FACTS = {
    LogEvent.STARTING: {"zone"},
    LogEvent.STARTED: set(),
    LogEvent.STOPPING: set(),
    LogEvent.STOPPED: set(),
    LogEvent.RELOAD: set(),
    LogEvent.REFUSED: {"job", "reason"},
    LogEvent.JOB_SUBMITTED: {"job", "store", "outcome", "took_s"},
    LogEvent.CANCEL_ASKED: {"job", "outcome"},
    LogEvent.NO_SUCH_JOB: {"job"},
    LogEvent.CONFIGURATION_TAKEN: {"config", "row"},
    LogEvent.ZONE_OUT: {"zone", "version"},
    LogEvent.ZONE_IN: {"zone", "version"},
    LogEvent.STORE_LOST: {"reason"},
    LogEvent.STORE_REGAINED: {"age_s"},
    LogEvent.ROLE_TAKEN: {"pool", "epoch", "previous"},
    LogEvent.ROLE_LOST: {"pool", "epoch", "reason"},
    LogEvent.ROLE_OFFERED: {"pool", "epoch", "read", "accepted"},
    LogEvent.ROLE_HANDED_OVER: {"pool", "epoch", "asked", "successor"},
    LogEvent.RENEWAL_FAILED: {"epoch", "outcome", "unconfirmed_s"},
    LogEvent.JOBS_LOADED: {"pool", "epoch", "jobs", "version"},
    LogEvent.AGENT_REGISTERED: {"address", "pool"},
    LogEvent.AGENT_FOUND: {"agent", "address"},
    LogEvent.AGENT_SILENT: {"address", "reason"},
    LogEvent.AGENT_ANSWERS: {"address", "worker"},
    LogEvent.WORKER_ANNOUNCED: {"worker", "replaces"},
    LogEvent.WORKER_FOUND: {"worker", "zone", "epoch"},
    LogEvent.WORKER_DRAINING: {"worker", "remaining_ms"},
    LogEvent.WORKER_BACK: {"worker"},
    LogEvent.EPOCH_SEEN: {"epoch", "last"},
    LogEvent.JOB_SEEN: {"job", "customer", "version"},
    LogEvent.JOB_CANCELLED: {"job"},
    LogEvent.JOB_STATUS: {"job", "status"},
    LogEvent.RUN_PLACED: {"job", "run", "workers", "config", "waited_s"},
    LogEvent.START_ANSWERED: {"task", "run", "worker", "epoch", "outcome"},
    LogEvent.STOP_ANSWERED: {"task", "run", "worker", "outcome", "stopping"},
    LogEvent.RUN_PREEMPTED: {"job", "run", "gives_way_to"},
    LogEvent.RUN_ENDED: {"task", "run", "worker", "how", "stopping"},
}


class Scenario:
    """Has a system of real processes take decisions of many kinds."""

    def __init__(self, system: PlatformSystem) -> None:
        self.system = system

    def count(self, event: LogEvent) -> int:
        lines = self.system.log_lines()
        return sum(line["event"] == event for line in lines)

    async def see(self, event: LogEvent, times: int = 1) -> None:
        await self.system.wait(lambda: self.count(event) >= times)

    async def run_jobs(self) -> None:
        """Refuse, accept, run, displace and cancel."""
        system = self.system
        await system.call("e0", "GET", f"/none/{JOB}9")
        await system.call("e0", "GET", f"/jobs/{JOB}9", key="x")
        await system.call("e0", "GET", f"/jobs/{JOB}9")
        await system.submit(JOB + "1", run_s=60, gpu=8, count=2)
        await system.wait(lambda: len(system.starts()) == 2)
        await system.submit(JOB + "2", queue="urgent", gpu=4)
        await system.wait_status(JOB + "2", "completed", queue="urgent")
        await system.call("e1", "DELETE", f"/jobs/{JOB}1")
        await system.wait_status(JOB + "1", "cancelled", entry="e1")

    async def change_zone(self) -> None:
        key = RowKey("op", "", "evacuate/z0")
        self.system.store.put(key, b"{}")
        await self.see(LogEvent.ZONE_OUT, 2)
        self.system.store.put(key, None)
        await self.see(LogEvent.ZONE_IN, 2)

    async def drain_worker(self) -> None:
        worker = self.system.workers["w0"]
        worker.state = "draining"
        await self.see(LogEvent.WORKER_DRAINING)
        worker.state = "ready"
        await self.see(LogEvent.WORKER_BACK)

    async def change_holder(self) -> None:
        # By now the holder has read again which entries there are.
        await asyncio.sleep(2.0)
        holder = self.system.controller()
        self.system.ways[holder].cut = True
        await self.see(LogEvent.ROLE_HANDED_OVER)
        await self.see(LogEvent.STORE_LOST)
        self.system.ways[holder].cut = False
        await self.see(LogEvent.STORE_REGAINED)

    async def lose_agent(self) -> None:
        self.system.kill("w1")
        await self.see(LogEvent.AGENT_SILENT)
        self.system.restart("w1")
        await self.see(LogEvent.AGENT_ANSWERS)

    async def reload_and_stop(self) -> None:
        self.system.signal("w0", signal.SIGHUP)
        await self.see(LogEvent.RELOAD)
        await self.system.stop("w0")


class TestLines:
    """Each decision and each change of belief leaves a line."""

    async def test_facts_of_each_kind(self, tmp_path):
        async with PlatformSystem(tmp_path, workers=2) as system:
            scenario = Scenario(system)
            await scenario.run_jobs()
            await scenario.change_zone()
            await scenario.drain_worker()
            await scenario.change_holder()
            await scenario.lose_agent()
            await scenario.reload_and_stop()
            lines = system.log_lines()
        events = {line["event"] for line in lines}
        assert FACTS.keys() <= events
        for line in lines:
            wanted = FACTS.get(line["event"], set())
            assert {"process", "role", "timestamp"} <= line.keys()
            assert wanted <= line.keys(), line
        refused = [line for line in lines if line["event"] == "refused"]
        assert {line["job"] for line in refused} == {JOB + "9"}

    async def test_nothing_while_nothing_is_decided(self, tmp_path):
        async with PlatformSystem(tmp_path, workers=2) as system:
            await system.submit(JOB + "3", run_s=60)
            await system.wait(lambda: system.starts())
            await asyncio.sleep(1.0)
            before = len(system.log_lines())
            # Heartbeats, looks, watches and renewals go on meanwhile.
            await asyncio.sleep(4.0)
            assert len(system.log_lines()) == before


class TestCatalogue:
    """The catalogue, the programs and the documents agree."""

    def test_each_kind_is_documented(self):
        text = (ROOT / "docs" / "OPERATIONS.md").read_text()
        missing = [event for event in LogEvent if f"`{event}`" not in text]
        assert not missing

    def test_each_kind_is_written_somewhere(self):
        sources = "".join(
            path.read_text()
            for path in (ROOT / "hickorywing").rglob("*.py")
            if path.name not in ("logevents.py", "explain.py")
        )
        unused = [
            event
            for event in LogEvent
            if f"LogEvent.{event.name}" not in sources
        ]
        assert not unused
