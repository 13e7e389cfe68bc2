"""Tests of the detection of stalled runs."""

from poolhelpers import make_step

from hickorywing.policy.poolruns import Unit
from hickorywing.policy.poolstalls import is_stalled


def make_unit(placed_s: float, percent: int, at_s: float) -> Unit:
    unit = Unit("j1", 0, 0, 0, 1)
    unit.place(["w0"], placed_s)
    member = unit.members[0]
    member.seen = True
    member.record_progress(percent, at_s)
    return unit


def check(unit: Unit, now_s: float, lost_s: float = 100.0, **step) -> bool:
    return is_stalled(
        unit, unit.members[0], make_step(1, **step), now_s, lost_s
    )


class TestStall:
    """A run is stalled once a restart costs less than waiting."""

    def test_steady_progress(self):
        assert not check(make_unit(0, 50, 10), 12)

    def test_unsaved_work_is_waited_for_as_long_as_it_took(self):
        unit = make_unit(0, 50, 10)
        assert not check(unit, 19)
        assert check(unit, 21)

    def test_run_that_loses_little_is_stalled_soon(self):
        unit = make_unit(0, 50, 10)
        assert check(unit, 14.5, lost_s=0.25)

    def test_slow_progress_of_long_work_is_no_stall(self):
        unit = make_unit(0, 2, 200)
        assert not check(unit, 500, lost_s=0.25)
        assert check(unit, 900, lost_s=0.25)

    def test_no_progress_yet(self):
        unit = make_unit(0, 0, 0)
        assert not check(unit, 8, estimate_s=20)
        assert check(unit, 11, estimate_s=20)

    def test_no_progress_yet_without_a_declared_run_time(self):
        unit = make_unit(0, 0, 0)
        assert not check(unit, 300)

    def test_time_allowed_grows_with_each_stall(self):
        unit = make_unit(0, 0, 0)
        unit.stalls = 2
        assert not check(unit, 60, estimate_s=1)
        assert check(unit, 70, estimate_s=1)

    def test_member_not_confirmed_as_running(self):
        unit = make_unit(0, 0, 0)
        unit.members[0].seen = False
        assert not check(unit, 100)
