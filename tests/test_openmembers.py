"""Tests of the index of open members, and of the cost of a report.

The work for one report must not grow with what else runs in the pool.
"""

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


def run_on_all_workers(control: Control) -> JobState:
    """Return the state of a job that has a task running on each worker."""
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


class TestUnchangedReports:
    """An unchanged report costs no iteration over members and no plan.

    Hundreds of busy workers report about once a second, mostly without change.
    """

    async def test_neither_iterates_all_members_nor_plans(self, monkeypatch):
        async with Control() as control:
            run_on_all_workers(control)
            links = [FakeLink(worker) for worker in WORKERS]
            for index, link in enumerate(links):
                control.runs.reports.handle_report(
                    link, report_running(index, 100)
                )
            await control.wait(lambda: not control.runs.plan_due)
            iterations, plans = [], []
            monkeypatch.setattr(
                OpenMembers,
                "__iter__",
                lambda _: iterations.append(1) or iter(()),
            )
            monkeypatch.setattr(control.runs, "_plan", lambda: plans.append(1))
            for looked_ms in (200, 300):
                for index, link in enumerate(links):
                    report = report_running(index, looked_ms)
                    control.runs.reports.handle_report(link, report)
            assert not control.runs.plan_due
            assert iterations == []
            assert plans == []


class TestOpenMembers:
    """Members are found by worker and by task until they have ended."""

    def make(self) -> tuple[OpenMembers, JobState]:
        step = Step(count=3, gang=True)
        state = JobState(make_job("j1", (step,)), 1, 0.0)
        unit = state.units[(0, 0, 0)]
        unit.place(["w0", "w1", "w1"], 0.0)
        members = OpenMembers()
        members.add(state, unit)
        return members, state

    def test_finds_members_by_worker(self):
        members, _ = self.make()
        assert [item.task for item in members.on_worker("w1")] == [
            "j1.0.0.1",
            "j1.0.0.2",
        ]
        assert members.on_worker("w2") == []

    def test_ended_member_is_dropped(self):
        members, state = self.make()
        unit = state.units[(0, 0, 0)]
        unit.end(unit.members[1], Ending.FAILED)
        members.drop_ended(unit)
        assert [item.task for item in members.on_worker("w1")] == ["j1.0.0.2"]
        assert members.find("j1.0.0.1", 1, "w1") is None
        assert members.find("j1.0.0.2", 1, "w1") is not None

    def test_one_done_member_drops_the_gang(self):
        members, state = self.make()
        unit = state.units[(0, 0, 0)]
        unit.end(unit.members[1], Ending.DONE)
        members.drop_ended(unit)
        assert list(members) == []
        assert members.list_workers() == []

    def test_other_run_or_worker_is_not_found(self):
        members, _ = self.make()
        assert members.find("j1.0.0.0", 2, "w0") is None
        assert members.find("j1.0.0.0", 1, "w1") is None

    def test_member_moves_to_a_new_incarnation(self):
        members, _ = self.make()
        members.move(members.on_worker("w0")[0], "w0@2")
        assert members.on_worker("w0") == []
        assert members.find("j1.0.0.0", 1, "w0@2") is not None
