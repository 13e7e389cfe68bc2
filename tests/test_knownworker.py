"""The ends that a worker lists are forgotten there without a gap."""

from hickorywing.knownworker import KnownWorker
from hickorywing.orders import EndedRun
from hickorywing.orders import WorkerReport


def end(number: int) -> EndedRun:
    return EndedRun(number, f"j.0.0.{number}", 1, "done")


class TestEnds:
    """An end may be forgotten once it and all before it are stored."""

    def test_listed_twice_is_taken_once(self):
        known = KnownWorker()
        assert known.is_new_end(end(1))
        assert not known.is_new_end(end(1))

    def test_waits_for_earlier_ones(self):
        known = KnownWorker()
        for number in (1, 2, 3):
            known.is_new_end(end(number))
        assert known.store_end(2) == 0
        assert known.store_end(1) == 2
        assert known.store_end(3) == 3
        assert not known.is_new_end(end(3))
        assert not known.ends

    def test_successor_begins_where_the_list_begins(self):
        known = KnownWorker()
        for number in (5, 6):
            known.is_new_end(end(number))
        assert known.store_end(5) == 5
        assert known.store_end(6) == 6

    def test_numbers_may_leave_gaps(self):
        known = KnownWorker()
        for number in (2, 7, 9):
            known.is_new_end(end(number))
        known.store_end(7)
        assert known.store_end(2) == 7


class TestReports:
    """Repeated lists say nothing new; a leaving is dated once."""

    def test_repeated_look(self):
        known = KnownWorker()
        assert known.is_new_look(WorkerReport(looked_ms=10))
        assert not known.is_new_look(WorkerReport(looked_ms=10))

    def test_short_notice_tells_a_worker_that_is_taken_away(self):
        for remaining_ms, taken_away in (
            (1700, True),
            (4500, False),
            (0, False),
        ):
            known = KnownWorker()
            report = WorkerReport(draining=True, remaining_ms=remaining_ms)
            known.find_leaving_s(report, 10.0)
            assert known.is_taken_away(3.0) is taken_away

    def test_leaving_is_dated_by_the_first_report(self):
        known = KnownWorker()
        report = WorkerReport(draining=True, remaining_ms=3000)
        assert known.find_leaving_s(report, 10.0) == 13.0
        assert known.find_leaving_s(report, 11.0) == 13.0
