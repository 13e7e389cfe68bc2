"""Test which events processes log, and with which fields."""

import asyncio
from pathlib import Path
import signal

from platformsystem import PlatformSystem
from poolhelpers import make_job
from poolhelpers import make_job_parts
from poolhelpers import make_step
from poolhelpers import RecordedLog
from test_runcontrol import Control
from test_runcontrol import FakeLink
from test_workermonitor import Agent
from test_workermonitor import announce

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.orders import EndedRun
from hickorywing.orders import RunningRun
from hickorywing.orders import WorkerReport
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolruns import JobState
from hickorywing.rows import RowKey
from hickorywing.standins.rowstore import MemoryRowStore
from hickorywing.standins.rowstore import StoreFault

WORKER = "vm/i-1@1"
# The worker of an ``Agent``.
WORKER_KEY = "a1/i-1@100"
JOB = "00000000000000b"
ROOT = Path(__file__).parent.parent

# The fields that the lines of each event must have to explain the decision.
REQUIRED_FIELDS = {
    LogEvent.STARTING: {"zone"},
    LogEvent.STARTED: set(),
    LogEvent.STOPPING: set(),
    LogEvent.STOPPED: set(),
    LogEvent.RELOAD: set(),
    LogEvent.REFUSED: {"job", "reason"},
    LogEvent.JOB_SUBMITTED: {
        "job",
        "priority",
        "stretch",
        "latency_target_s",
        "store",
        "outcome",
        "took_s",
    },
    LogEvent.STATUS_SHOWN: {"job", "status"},
    LogEvent.STATUS_STORED: {"job", "status"},
    LogEvent.CANCEL_ASKED: {"job", "outcome"},
    LogEvent.NO_SUCH_JOB: {"job"},
    LogEvent.CONFIGURATION_TAKEN: {"config", "row"},
    LogEvent.ZONE_OUT: {"zone", "version"},
    LogEvent.ZONE_IN: {"zone", "version"},
    LogEvent.STORE_LOST: {"reason"},
    LogEvent.STORE_REGAINED: {"age_s"},
    LogEvent.FEED_SILENT: {"table", "reason"},
    LogEvent.FEED_ANSWERS: {"table", "silent_s"},
    LogEvent.PLANNING_HELD: {"pool", "reason"},
    LogEvent.PLANNING_RESUMED: {"pool", "held_s"},
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
    LogEvent.RUN_ENDED: {
        "task",
        "run",
        "worker",
        "how",
        "stopping",
        "took_s",
        "estimate_s",
        "percent",
        "cores",
        "saves",
    },
}


class Scenario:
    """Makes a system of real processes log many kinds of events."""

    def __init__(self, system: PlatformSystem) -> None:
        self.system = system

    def count(self, event: LogEvent) -> int:
        lines = self.system.read_log_lines()
        return sum(line["event"] == event for line in lines)

    async def wait_event(self, event: LogEvent, times: int = 1) -> None:
        await self.system.wait(lambda: self.count(event) >= times)

    async def run_jobs(self) -> None:
        """Have jobs refused, accepted, run, preempted and cancelled."""
        system = self.system
        await system.call("e0", "GET", f"/none/{JOB}9")
        await system.call("e0", "GET", f"/jobs/{JOB}9", key="x")
        await system.call("e0", "GET", f"/jobs/{JOB}9")
        await system.submit(JOB + "1", run_s=60, gpu=8, count=2)
        await system.wait(lambda: len(system.list_starts()) == 2)
        await system.submit(JOB + "2", queue="urgent", gpu=4)
        await system.wait_status(JOB + "2", "completed", queue="urgent")
        await system.call("e1", "DELETE", f"/jobs/{JOB}1")
        await system.wait_status(JOB + "1", "cancelled", entry="e1")

    async def change_zone(self) -> None:
        key = RowKey("op", "", "evacuate/z0")
        self.system.store.put(key, b"{}")
        await self.wait_event(LogEvent.ZONE_OUT, 2)
        self.system.store.put(key, None)
        await self.wait_event(LogEvent.ZONE_IN, 2)

    async def drain_worker(self) -> None:
        worker = self.system.workers["w0"]
        worker.state = "draining"
        await self.wait_event(LogEvent.WORKER_DRAINING)
        worker.state = "ready"
        await self.wait_event(LogEvent.WORKER_BACK)

    async def change_holder(self) -> None:
        # After this time, the holder has read the list of entries again.
        await asyncio.sleep(2.0)
        holder = self.system.find_controller()
        self.system.entry_stores[holder].cut = True
        await self.wait_event(LogEvent.ROLE_HANDED_OVER)
        await self.wait_event(LogEvent.STORE_LOST)
        self.system.entry_stores[holder].cut = False
        await self.wait_event(LogEvent.STORE_REGAINED)

    async def lose_agent(self) -> None:
        self.system.kill("w1")
        await self.wait_event(LogEvent.AGENT_SILENT)
        self.system.restart("w1")
        await self.wait_event(LogEvent.AGENT_ANSWERS)

    async def reload_and_stop(self) -> None:
        self.system.signal("w0", signal.SIGHUP)
        await self.wait_event(LogEvent.RELOAD)
        await self.system.stop("w0")


class TestLines:
    """Each decision and each change of a process's view is logged."""

    async def test_fields_of_each_event(self, tmp_path):
        async with PlatformSystem(tmp_path, workers=2) as system:
            scenario = Scenario(system)
            await scenario.run_jobs()
            await scenario.change_zone()
            await scenario.drain_worker()
            await scenario.change_holder()
            await scenario.lose_agent()
            await scenario.reload_and_stop()
            lines = system.read_log_lines()
        events = {line["event"] for line in lines}
        assert REQUIRED_FIELDS.keys() <= events
        for line in lines:
            required = REQUIRED_FIELDS.get(line["event"], set())
            assert {"process", "role", "timestamp"} <= line.keys()
            assert required <= line.keys(), line
        reasons = {
            line["reason"]
            for line in lines
            if line.get("job") == JOB + "9" and line["event"] == "refused"
        }
        assert reasons == {"no such queue", "unknown key"}

    async def test_no_lines_without_decisions(self, tmp_path):
        async with PlatformSystem(tmp_path, workers=2) as system:
            await system.submit(JOB + "3", run_s=60)
            await system.wait(lambda: system.list_starts())
            await asyncio.sleep(1.0)
            before = len(system.read_log_lines())
            # Heartbeats, polls, watches and renewals go on meanwhile.
            await asyncio.sleep(4.0)
            assert len(system.read_log_lines()) == before


class TestRareLines:
    """Events that are rare with real processes are logged, too."""

    def place_unit(self, control: Control, step: Step, running: bool = True):
        """Add a job whose only unit runs on ``WORKER``; return the unit."""
        state = JobState(make_job("j1", (step,)), 1, 0.0)
        unit = state.units[(0, 0, 0)]
        unit.place([WORKER], now_s() - 60.0)
        unit.committed = True
        unit.members[0].seen = running
        control.runs.jobs.add(state, restored=True)
        return unit

    def report(self, control: Control, **facts) -> FakeLink:
        link = FakeLink(WORKER)
        link.now_ms = 5000
        report = WorkerReport(
            worker=WORKER, clock_ms=5000, looked_ms=5000, **facts
        )
        control.runs.reports.handle_report(link, report)
        return link

    async def test_run_without_progress(self):
        recorded = RecordedLog()
        async with Control(output=recorded) as control:
            unit = self.place_unit(control, make_step(1, checkpoints=True))
            unit.members[0].record_progress(10, now_s() - 55.0)
            self.report(control, running=(RunningRun("j1.0.0.0", 1, "", 10),))
        assert {"task", "worker", "percent", "since_s"} <= recorded.find(
            LogEvent.RUN_STALLED
        ).keys()

    async def test_run_on_a_leaving_worker(self):
        recorded = RecordedLog()
        async with Control(output=recorded) as control:
            self.place_unit(control, make_step(1, checkpoints=True))
            self.report(
                control,
                draining=True,
                remaining_ms=2000,
                running=(RunningRun("j1.0.0.0", 1, "", 10),),
            )
        assert recorded.find(LogEvent.RUN_MOVED)["leaves_in_s"] <= 2.0

    async def test_unknown_runs_and_ends(self):
        recorded = RecordedLog()
        async with Control(output=recorded) as control:
            link = self.report(
                control,
                running=(RunningRun("x.0.0.0", 1, "", 10),),
                ended=(EndedRun(1, "y.0.0.0", 1, "done"),),
            )
            await control.wait(lambda: link.stops)
            await asyncio.sleep(0)
        assert recorded.find(LogEvent.STRAY_RUN)["worker"] == WORKER
        assert recorded.find(LogEvent.STRAY_RUN_STOPPED)["outcome"] == "ok"
        assert recorded.find(LogEvent.END_OF_ANOTHER_RUN)["how"] == "done"

    async def test_unknown_ending(self):
        recorded = RecordedLog()
        async with Control(output=recorded) as control:
            self.place_unit(control, make_step(1))
            self.report(control, ended=(EndedRun(1, "j1.0.0.0", 1, "odd"),))
        assert recorded.find(LogEvent.ENDING_NOT_KNOWN)["how"] == "odd"

    async def test_worker_that_leaves(self):
        recorded = RecordedLog()
        async with Control(output=recorded) as control:
            link = self.report(control)
            gone = WorkerReport(left=WORKER)
            control.runs.reports.handle_report(link, gone)
        assert recorded.find(LogEvent.WORKER_LEFT)["worker"] == WORKER

    async def test_worker_that_fails_two_jobs(self):
        recorded = RecordedLog()
        async with Control(output=recorded) as control:
            for job_id in ("j1", "j2"):
                state = JobState(make_job(job_id), 1, 0.0)
                state.units[(0, 0, 0)].place([WORKER], now_s())
                control.runs.jobs.add(state, restored=True)
            for item in control.runs.jobs.members:
                control.runs.jobs.end_member(item, Ending.FAILED)
        assert recorded.find(LogEvent.WORKER_SET_ASIDE)["worker"] == WORKER

    async def test_slow_worker_of_a_gang(self):
        recorded = RecordedLog()
        async with Control(output=recorded) as control:
            state = JobState(
                make_job(steps=(make_step(8, count=2, gang=True),)), 1, 0.0
            )
            (unit,) = state.list_ready_units()
            unit.place([WORKER, "vm2/w2@1"], now_s())
            control.runs.jobs.add(state, restored=True)
            for member, percent in zip(unit.members, (60, 80), strict=True):
                member.record_progress(20, now_s() - 4.0)
                task = f"j1.0.0.{member.index}"
                report = WorkerReport(
                    worker=member.worker,
                    clock_ms=5000,
                    looked_ms=5000,
                    running=(RunningRun(task, 1, "", percent),),
                )
                link = FakeLink(member.worker)
                control.runs.reports.handle_report(link, report)
            control.runs.log_slow_workers()
        assert recorded.find(LogEvent.WORKER_SLOW)["worker"] == WORKER
        assert recorded.find(LogEvent.WORKER_SLOW)["pace"] > 1.2

    async def test_worker_that_is_no_longer_slow(self):
        recorded = RecordedLog()
        async with Control(output=recorded) as control:
            link = self.report(control)
            worker_pace = control.runs.reports.worker_pace
            for worker, percent_s in ((WORKER, 0.2), ("vm2/w2@1", 0.1)):
                worker_pace.record_pace(
                    ("j1", 0, 0, 1), worker, percent_s, equal=True
                )
            control.runs.log_slow_workers()
            for run in range(2, 12):
                for worker in (WORKER, "vm2/w2@1"):
                    worker_pace.record_pace(
                        ("j1", 0, 0, run), worker, 0.1, equal=True
                    )
            control.runs.log_slow_workers()
        assert link.worker == WORKER
        assert recorded.find(LogEvent.WORKER_USUAL)["worker"] == WORKER

    async def test_commit_without_an_answer(self):
        recorded = RecordedLog()
        async with Control(output=recorded) as control:
            control.store.plan_faults(StoreFault.LOST_AFTER)
            control.accept("j1")
            control.runs.jobs.cancel("j1")
            await control.wait(
                lambda: any(
                    item["event"] == LogEvent.COMMIT_FAILED
                    for item in recorded.lines
                )
            )
        assert recorded.find(LogEvent.COMMIT_FAILED)["outcome"] == "unknown"

    async def test_role_that_is_released(self):
        recorded = RecordedLog()
        async with Control(output=recorded) as control:
            control.lease.renewed_s = now_s()
            await control.lease.release()
        assert "outcome" in recorded.find(LogEvent.ROLE_RELEASED)

    async def test_order_to_a_silent_worker(self):
        recorded = RecordedLog()
        async with Agent(recorded) as agent:
            await agent.lose_worker()
            await agent.start()
            agent.worker.silent = False
            while (await agent.ask()).silent:
                pass
            agent.monitor.leave("i-1")
            agent.worker.gone = True
            await agent.wait_for(lambda report: report.left == WORKER_KEY)
        assert "reason" in recorded.find(LogEvent.WORKER_SILENT)
        assert recorded.find(LogEvent.START_REFUSED)["run"] == 1
        assert "worker" in recorded.find(LogEvent.WORKER_ANSWERS)
        assert "worker" in recorded.find(LogEvent.DEPARTURE_ANNOUNCED)
        assert "worker" in recorded.find(LogEvent.WORKER_LEFT)
        assert "reason" in recorded.find(LogEvent.WORKER_LEFT)

    async def test_announcement_of_a_worker_that_does_not_answer(self):
        recorded = RecordedLog()
        async with Agent(recorded) as agent:
            agent.monitor.announce(announce())
            await agent.ask()
            agent.monitor.announce(announce(born_ms=200))
            await asyncio.sleep(0.2)
        assert recorded.find(LogEvent.WORKER_CONFIRMED)["replaces"] == ""
        refuted = recorded.find(LogEvent.ANNOUNCEMENT_REFUTED)
        assert refuted["worker"] == "a1/i-1@200"
        assert refuted["present"] == WORKER_KEY

    async def test_feed_that_lost_its_history(self):
        recorded = RecordedLog()
        store = MemoryRowStore()
        log = DecisionLog("e0", "entry", Metrics("e0"), recorded)
        cache = make_job_parts(store, log, "p").cache
        task = asyncio.ensure_future(cache.run())
        await asyncio.sleep(0.01)
        # The waiting feed returns at a change, and then finds the store down.
        store.put(RowKey("other", "", "row"), b"")
        store.down = True
        await asyncio.sleep(0.01)
        store.put(RowKey("other", "", "row"), b"")
        store.forget_history()
        store.down = False
        await asyncio.sleep(0.5)
        task.cancel()
        assert (
            recorded.find(LogEvent.FEED_LOST_ITS_HISTORY)["table"]
            == "statuses"
        )


class TestEventList:
    """Every event is documented, and logged by some program."""

    def test_each_event_is_documented(self):
        text = (ROOT / "docs" / "OPERATIONS.md").read_text()
        missing = [event for event in LogEvent if f"`{event}`" not in text]
        assert not missing

    def test_each_event_is_logged_somewhere(self):
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
