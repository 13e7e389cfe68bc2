"""Tests of moving runs off workers that leave."""

from poolhelpers import make_step

from hickorywing.policy.pooldrains import should_move
from hickorywing.policy.poolruns import Unit


def make_unit(percent: int, at_s: float) -> Unit:
    unit = Unit("j1", 0, 0, 0, 1)
    unit.place(["w0"], 0.0)
    unit.members[0].record_progress(percent, at_s)
    return unit


CHECKPOINTING = make_step(1, checkpoints=True)


class TestTakenAway:
    """Runs that can't end on a worker that is taken away restart at once.

    Otherwise gangs without checkpoints wait until the worker's lease of 6 s
    expires, although the worker is gone 1.7 s after its notice.
    """

    def test_run_without_checkpoints_is_moved(self):
        unit = make_unit(10, 1.0)
        assert should_move(unit, make_step(1), 1.0, 2.7, taken_away=True)

    def test_run_that_ends_in_time_stays(self):
        unit = make_unit(80, 4.0)
        assert not should_move(unit, make_step(1), 4.0, 5.7, taken_away=True)


class TestDrain:
    """Only runs that checkpoint and can't end in time are moved."""

    def test_stays_when_it_ends_in_time(self):
        assert not should_move(make_unit(50, 3.0), CHECKPOINTING, 3.0, 6.5)

    def test_moves_when_it_does_not(self):
        assert should_move(make_unit(50, 5.0), CHECKPOINTING, 5.0, 8.5)

    def test_moves_without_any_progress(self):
        assert should_move(make_unit(0, 0.0), CHECKPOINTING, 0.5, 4.0)

    def test_run_without_checkpoints_stays(self):
        unit = make_unit(10, 5.0)
        assert not should_move(unit, make_step(1), 5.0, 8.5)
