"""What a controller does for one report, whatever else the pool runs."""

from poolhelpers import make_job
from test_runcontrol import Control
from test_runcontrol import FakeLink

from hickorywing.clock import now_s
from hickorywing.openmembers import OpenMembers
from hickorywing.orders import RunningRun
from hickorywing.orders import WorkerReport
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolruns import JobState

WORKERS = [f"vm{number}/i@1" for number in range(40)]


def run_everywhere(control: Control) -> JobState:
    """Return a job that has a task at work on each worker."""
    state = JobState(make_job("j1", (Step(count=len(WORKERS)),)), 1, 0.0)
    for unit, worker in zip(state.units.values(), WORKERS, strict=True):
        unit.place([worker], now_s())
        unit.committed = True
    control.runs.jobs.add(state, restored=True)
    return state


def report_running(index: int, looked_ms: int) -> WorkerReport:
    return WorkerReport(
        worker=WORKERS[index],
        clock_ms=looked_ms,
        looked_ms=looked_ms,
        running=(RunningRun(f"j1.0.0.{index}", 1, "", looked_ms // 100),),
    )


class TestReportsWithoutNews:
    """Hundreds of busy workers report once a second; most say nothing new."""

    async def test_costs_neither_a_walk_nor_a_plan(self, monkeypatch):
        async with Control() as control:
            run_everywhere(control)
            links = [FakeLink(worker) for worker in WORKERS]
            for index, link in enumerate(links):
                control.runs.reports.take(link, report_running(index, 100))
            await control.wait(lambda: not control.runs.plan_due)
            walks, plans = [], []
            monkeypatch.setattr(
                OpenMembers, "__iter__", lambda _: walks.append(1) or iter(())
            )
            monkeypatch.setattr(control.runs, "_plan", lambda: plans.append(1))
            for looked_ms in (200, 300):
                for index, link in enumerate(links):
                    report = report_running(index, looked_ms)
                    control.runs.reports.take(link, report)
            assert not control.runs.plan_due
            assert walks == []
            assert plans == []


class TestOpenMembers:
    """Members are found by worker and by task until they end."""

    def make(self) -> tuple[OpenMembers, JobState]:
        step = Step(count=3, gang=True)
        state = JobState(make_job("j1", (step,)), 1, 0.0)
        unit = state.units[(0, 0, 0)]
        unit.place(["w0", "w1", "w1"], 0.0)
        members = OpenMembers()
        members.add(state, unit)
        return members, state

    def test_by_worker(self):
        members, _ = self.make()
        assert [item.task for item in members.on_worker("w1")] == [
            "j1.0.0.1",
            "j1.0.0.2",
        ]
        assert members.on_worker("w2") == []

    def test_end_of_one(self):
        members, state = self.make()
        unit = state.units[(0, 0, 0)]
        unit.end(unit.members[1], Ending.FAILED)
        members.drop_ended(unit)
        assert [item.task for item in members.on_worker("w1")] == ["j1.0.0.2"]
        assert members.find("j1.0.0.1", 1, "w1") is None
        assert members.find("j1.0.0.2", 1, "w1") is not None

    def test_one_member_that_is_done_ends_a_gang(self):
        members, state = self.make()
        unit = state.units[(0, 0, 0)]
        unit.end(unit.members[1], Ending.DONE)
        members.drop_ended(unit)
        assert list(members) == []
        assert members.list_workers() == []

    def test_other_runs_are_not_found(self):
        members, _ = self.make()
        assert members.find("j1.0.0.0", 2, "w0") is None
        assert members.find("j1.0.0.0", 1, "w1") is None

    def test_restarted_worker(self):
        members, _ = self.make()
        members.move(members.on_worker("w0")[0], "w0@2")
        assert members.on_worker("w0") == []
        assert members.find("j1.0.0.0", 1, "w0@2") is not None
