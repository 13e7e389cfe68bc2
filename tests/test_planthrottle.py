"""Tests of how often plans are made."""

import asyncio

from poolhelpers import make_job
from poolhelpers import make_step
from test_runcontrol import Control
from test_runcontrol import FakeLink

from hickorywing.orders import WorkerReport
from hickorywing.policy import planthrottle
from hickorywing.policy.planthrottle import PlanThrottle
from hickorywing.policy.poolruns import JobState


class TestPlanThrottle:
    """Plans take a bounded share of the time."""

    def test_first_plan_is_made_at_once(self):
        assert PlanThrottle().get_wait_s(0.0) == 0.0

    def test_slow_plans_take_a_bounded_share(self):
        throttle = PlanThrottle()
        now_s = worked_s = 0.0
        while now_s < 30.0:
            now_s += throttle.get_wait_s(now_s)
            began_s = now_s
            now_s += 0.1
            worked_s += 0.1
            throttle.record_plan(began_s, now_s)
        assert worked_s / now_s <= planthrottle.MAX_PLAN_SHARE + 0.01

    def test_a_freeze_during_a_plan_does_not_stop_planning(self):
        throttle = PlanThrottle()
        throttle.record_plan(0.0, 20.0)
        assert throttle.get_wait_s(20.0) <= planthrottle.MAX_PAUSE_S


class TestBurst:
    """Hundreds of jobs and ends during one slow plan share the next one."""

    async def test_events_during_a_pause_make_one_plan(self, monkeypatch):
        async with Control() as control:
            plans = []
            monkeypatch.setattr(control.runs, "_plan", lambda: plans.append(1))
            monkeypatch.setattr(control.runs, "_find_hold_reason", lambda: "")
            monkeypatch.setattr(
                control.runs._plan_throttle, "get_wait_s", lambda _: 0.05
            )
            for number in range(200):
                job = make_job(f"j{number}", (make_step(1),))
                control.runs.jobs.add(JobState(job, 1, 0.0), restored=False)
            assert plans == []
            await control.wait(lambda: plans)
            assert len(plans) == 1

    async def test_stops_do_not_wait_for_a_plan(self, monkeypatch):
        async with Control() as control:
            monkeypatch.setattr(
                control.runs._plan_throttle, "get_wait_s", lambda _: 60.0
            )
            link = FakeLink("vm/i@1")
            control.runs.reports.handle_report(
                link, WorkerReport(worker=link.worker)
            )
            state = control.accept("j1")
            control.runs.jobs.place(state.units[(0, 0, 0)], [link.worker])
            await asyncio.sleep(0.02)
            control.runs.jobs.cancel("j1")
            await control.wait(lambda: link.stops)
