"""Test what a controller learns from workers that the rows have lost."""

import asyncio

from poolhelpers import make_job
import pytest
from test_runcontrol import Control
from test_runcontrol import FakeLink

from hickorywing.clock import now_s
from hickorywing.orders import EndedRun
from hickorywing.orders import RunningRun
from hickorywing.orders import WorkerReport
from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolruns import JobStatus
from hickorywing.policy.poolruns import Unit
from hickorywing.poolrows import progress_key
from hickorywing.progressrows import ProgressRows
from hickorywing.progressrows import restore_progress

KEPT_S = 100.0
UNIT = (0, 0, 0)
ONE_TASK = Step()


class LostRows(Control):
    """A controller that finds jobs without some or all of their rows."""

    def __init__(self) -> None:
        super().__init__()
        self.runs.jobs.keep_ended_s = KEPT_S

    def restore(self, step: Step = ONE_TASK, **fields) -> JobState:
        """Restore a job that has no progress rows."""
        state = JobState(make_job("j1", (step,), **fields), 1, 0.0)
        self.runs.jobs.add(state, restored=True)
        return state

    def report(self, *ends: tuple[str, int, str], **fields) -> FakeLink:
        """Report ends that a worker lists: task, run and how."""
        link = FakeLink("vm/i-1@1")
        ended = tuple(
            EndedRun(number, *end) for number, end in enumerate(ends, 1)
        )
        self.runs.reports.handle_report(
            link, WorkerReport(worker=link.worker, ended=ended, **fields)
        )
        return link

    def restore_again(self, job: PoolJob) -> JobState:
        """Return the job's state as the next controller restores it."""
        state = JobState(job, 1, 0.0)
        row = self.store.rows[progress_key("p", "j1")]
        restore_progress(state, ProgressRows(row.value), 0.0)
        state.open_due_occurrences(1e9, now_s())
        state.update_status()
        return state


class TestDoneWithoutRow:
    """The end of a run counts although no row tells of the run.

    Guards against tasks that were started again, and their ends acknowledged,
    after their rows had been deleted too early.
    """

    async def test_is_stored_before_it_is_acknowledged(self):
        async with LostRows() as control:
            state = control.restore(Step(count=2))
            link = control.report(("j1.0.0.1", 1, "done"))
            assert link.acknowledged == 0
            await control.wait(lambda: link.acknowledged == 1)
            again = control.restore_again(state.job)
            assert [unit.first for unit in again.list_ready_units()] == [0]

    @pytest.mark.parametrize("opened", [False, True])
    async def test_of_a_gang_in_each_occurrence(self, opened):
        async with LostRows() as control:
            state = control.restore(
                Step(count=3, gang=True), occurrences=4, interval_s=1.0
            )
            if opened:
                state.open_due_occurrences(1e9, now_s())
            link = control.report(
                *((f"j1.{number}.0.2", 3, "done") for number in (0, 1, 3))
            )
            assert state.status is JobStatus.ACTIVE
            await control.wait(lambda: link.acknowledged == 3)
            again = control.restore_again(state.job)
            ready = [unit.occurrence for unit in again.list_ready_units()]
            assert ready == [2]

    async def test_after_a_new_start(self):
        async with LostRows() as control:
            state = control.restore()
            unit = state.units[UNIT]
            control.runs.jobs.place(unit, ["vm2/i-2@1"])
            control.report(("j1.0.0.0", 4, "done"))
            assert unit.done and unit.stopping
            assert state.status is JobStatus.COMPLETED

    @pytest.mark.parametrize("gang", [False, True])
    @pytest.mark.parametrize(
        "task", ["j1.4.0.0", "j1.0.1.0", "j1.0.0.2", "j2.0.0.0", "?"]
    )
    async def test_of_a_task_that_does_not_exist(self, task, gang):
        async with LostRows() as control:
            state = control.restore(
                Step(count=2, gang=gang), occurrences=4, interval_s=1.0
            )
            link = control.report((task, 1, "done"))
            await control.wait(lambda: link.acknowledged == 1)
            assert not any(unit.run for unit in state.units.values())
            assert not state.finished

    async def test_of_a_lasting_step(self):
        async with LostRows() as control:
            state = control.restore(Step(lasting=True))
            control.report(("j1.0.0.0", 3, "done"))
            unit = state.units[UNIT]
            assert not unit.done
            assert start_again(control, unit) == 4

    async def test_of_a_cancelled_job(self):
        async with LostRows() as control:
            state = control.restore()
            control.runs.jobs.cancel("j1")
            control.report(("j1.0.0.0", 1, "done"))
            assert state.status is JobStatus.CANCELLED


class TestRunningWithoutRow:
    """A run that a worker lists is known, although no row tells of it.

    Guards against a task that is started while an earlier run of it, whose
    row was lost, is still running elsewhere.
    """

    async def report(
        self, control: LostRows, worker: str, *tasks: str, run: int = 3
    ) -> FakeLink:
        link = FakeLink(worker)
        link.now_ms = 100
        control.runs.reports.handle_report(
            link,
            WorkerReport(
                worker=worker,
                zone="z",
                clock_ms=100,
                looked_ms=100,
                running=tuple(RunningRun(task, run) for task in tasks),
            ),
        )
        await asyncio.sleep(0.05)
        return link

    async def test_single_task_goes_on(self):
        async with LostRows() as control:
            state = control.restore(Step(count=2))
            link = await self.report(control, "vm/i-1@1", "j1.0.0.1")
            ready = [unit.first for unit in state.list_ready_units()]
            assert ready == [0]
            assert link.stops == [] and state.status is JobStatus.ACTIVE
            again = control.restore_again(state.job)
            assert [unit.first for unit in again.list_ready_units()] == [0]
            ends = (EndedRun(1, "j1.0.0.1", 3, "done"),)
            control.runs.reports.handle_report(
                link, WorkerReport(worker=link.worker, ended=ends)
            )
            await control.wait(lambda: link.acknowledged == 1)
            assert state.units[(0, 0, 1)].done

    async def test_gang_ends_before_it_is_placed_again(self):
        async with LostRows() as control:
            state = control.restore(Step(count=3, gang=True))
            unit = state.units[UNIT]
            links = [
                await self.report(control, f"vm{n}/i@1", f"j1.0.0.{n}")
                for n in (0, 2)
            ]
            assert [link.stops for link in links] == [
                [("vm0/i@1", "j1.0.0.0", 3)],
                [("vm2/i@1", "j1.0.0.2", 3)],
            ]
            for index, link in zip((0, 2), links, strict=True):
                assert list(state.list_ready_units()) == []
                ends = (EndedRun(1, f"j1.0.0.{index}", 3, "stopped"),)
                control.runs.reports.handle_report(
                    link, WorkerReport(worker=link.worker, ended=ends)
                )
            assert list(state.list_ready_units()) == [unit]
            assert start_again(control, unit) == 4

    @pytest.mark.parametrize("case", ["placed", "given up", "cancelled"])
    async def test_is_stopped_if_the_task_needs_no_run(self, case):
        async with LostRows() as control:
            state = control.restore()
            unit = state.units[UNIT]
            if case == "cancelled":
                control.runs.jobs.cancel("j1")
            else:
                control.runs.jobs.place(unit, ["vm2/i-2@1"])
            if case == "given up":
                unit.run = 3
                unit.end(unit.members[0], Ending.LAPSED)
            link = await self.report(control, "vm/i-1@1", "j1.0.0.0")
            assert link.stops == [("vm/i-1@1", "j1.0.0.0", 3)]
            assert "vm/i-1@1" not in {m.worker for m in unit.members}


class TestForgottenJob:
    """An end is not that of an earlier job of the same name.

    Guards against a job that is shown as completed without having run. A
    worker that was cut off may list ends of jobs that were forgotten since.
    """

    LAPSED = {"clock_ms": 200_000, "granted_ms": 90_000}

    async def test_its_end_is_only_acknowledged(self):
        async with LostRows() as control:
            state = control.restore()
            link = control.report(("j1.0.0.0", 1, "done"), **self.LAPSED)
            await control.wait(lambda: link.acknowledged == 1)
            assert not state.units[UNIT].done
            assert start_again(control, state.units[UNIT]) == 1

    async def test_ends_that_are_listed_after_a_new_lease(self):
        """A worker lists some hundred ends at a time."""
        async with LostRows() as control:
            state = control.restore(Step(count=2))
            link = control.report(("j1.0.0.0", 1, "done"), **self.LAPSED)
            for number, how in ((2, False), (3, True)):
                ends = (EndedRun(number, "j1.0.0.1", 1, "done"),)
                for ended in (ends, ()):
                    control.runs.reports.handle_report(
                        link,
                        WorkerReport(
                            worker=link.worker,
                            clock_ms=201_000,
                            granted_ms=210_000,
                            ended=ended,
                        ),
                    )
                assert state.units[(0, 0, 1)].done is how

    @pytest.mark.parametrize("granted_ms", [0, 160_000, 205_000])
    async def test_end_of_a_worker_in_touch(self, granted_ms):
        """An agent that was restarted knows no lease."""
        async with LostRows() as control:
            state = control.restore()
            control.report(
                ("j1.0.0.0", 1, "done"),
                clock_ms=200_000,
                granted_ms=granted_ms,
            )
            assert state.units[UNIT].done


class TestOtherEndsWithoutRow:
    """Each run that a worker lists counts, however it ended.

    Guards against more attempts than a job may have, and against run numbers
    that a worker rejects as old.
    """

    async def test_failed_is_an_attempt(self):
        async with LostRows() as control:
            state = control.restore(attempts=2)
            control.report(("j1.0.0.0", 1, "failed"))
            assert state.units[UNIT].failures == 1
            assert start_again(control, state.units[UNIT]) == 2

    async def test_two_of_a_gang_are_one_attempt(self):
        async with LostRows() as control:
            state = control.restore(Step(count=2, gang=True), attempts=2)
            control.report(
                ("j1.0.0.0", 1, "failed"), ("j1.0.0.1", 1, "failed")
            )
            assert state.units[UNIT].failures == 1

    async def test_last_attempt_fails_the_job(self):
        async with LostRows() as control:
            state = control.restore(attempts=2)
            control.report(
                ("j1.0.0.0", 1, "failed"), ("j1.0.0.0", 2, "failed")
            )
            assert state.status is JobStatus.FAILED

    @pytest.mark.parametrize("how", ["stopped", "lapsed", "broken", "?"])
    async def test_next_run_has_a_higher_number(self, how):
        async with LostRows() as control:
            state = control.restore()
            link = control.report(("j1.0.0.0", 7, how))
            await control.wait(lambda: link.acknowledged == 1)
            again = control.restore_again(state.job)
            assert start_again(control, again.units[UNIT]) == 8

    async def test_failure_of_the_next_run_counts_too(self):
        async with LostRows() as control:
            state = control.restore(attempts=3)
            unit = state.units[UNIT]
            control.runs.jobs.place(unit, ["vm2/i-2@1"])
            control.report(("j1.0.0.0", 2, "failed"))
            assert unit.failures == 1 and not unit.stopping
            unit.members.clear()
            assert start_again(control, unit) == 3
            assert unit.count_failure(3)


def start_again(control: Control, unit: Unit) -> int:
    """Place a unit and return the number of its run."""
    unit.place(["vm2/i-2@1"] * unit.count, now_s())
    return unit.run
