"""Tests of the state that a controller records of a worker."""

from hickorywing.knownworker import KnownWorker
from hickorywing.orders import EndedRun
from hickorywing.orders import WorkerReport


def end(number: int) -> EndedRun:
    return EndedRun(number, f"j.0.0.{number}", 1, "done")


class TestEnds:
    """A worker may forget an end once it and all before it are stored."""

    def test_repeated_end_is_not_new(self):
        known = KnownWorker()
        assert known.record_end(end(1))
        assert not known.record_end(end(1))

    def test_stored_end_waits_for_earlier_ends(self):
        known = KnownWorker()
        for number in (1, 2, 3):
            known.record_end(end(number))
        assert known.record_stored(2) == 0
        assert known.record_stored(1) == 2
        assert known.record_stored(3) == 3
        assert not known.record_end(end(3))
        assert not known.ends

    def test_new_controller_starts_at_the_first_listed_end(self):
        known = KnownWorker()
        for number in (5, 6):
            known.record_end(end(number))
        assert known.record_stored(5) == 5
        assert known.record_stored(6) == 6

    def test_end_numbers_may_have_gaps(self):
        known = KnownWorker()
        for number in (2, 7, 9):
            known.record_end(end(number))
        known.record_stored(7)
        assert known.record_stored(2) == 7


class TestReports:
    """Repeated reports are recognized, and a drain's end is set once."""

    def test_repeated_report_is_not_new(self):
        known = KnownWorker()
        assert known.record_poll(WorkerReport(looked_ms=10))
        assert not known.record_poll(WorkerReport(looked_ms=10))

    def test_short_notice_means_taken_away(self):
        for remaining_ms, taken_away in (
            (1700, True),
            (4500, False),
            (0, False),
        ):
            known = KnownWorker()
            report = WorkerReport(draining=True, remaining_ms=remaining_ms)
            known.compute_leaving_s(report, 10.0)
            assert known.is_taken_away(3.0) is taken_away

    def test_leaving_time_is_set_by_the_first_report(self):
        known = KnownWorker()
        report = WorkerReport(draining=True, remaining_ms=3000)
        assert known.compute_leaving_s(report, 10.0) == 13.0
        assert known.compute_leaving_s(report, 11.0) == 13.0
