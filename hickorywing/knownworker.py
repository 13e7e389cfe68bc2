"""State of one incarnation of a worker, as recorded by a controller.

A worker lists its ended runs, numbered in order. The controller allows it to
forget an end once that end and all before it are stored.
"""

from dataclasses import dataclass
from dataclasses import field

from hickorywing.orders import EndedRun
from hickorywing.orders import WorkerReport

__all__ = ["KnownWorker"]


@dataclass(slots=True)
class KnownWorker:
    """The ends that a worker listed, its last poll, and when it leaves.

    ``stored_up_to`` is the number of the last end up to which all are stored.
    ``ends`` maps the number of each later end to whether it is stored.
    ``polled_ms`` is the worker's clock at the last poll whose lists were used.
    ``leaves_s`` is the time at which a draining worker may leave, and
    ``notice_s`` the seconds until then at the first report of the drain.
    ``has_lapsed`` says that the ends it lists may be older than the jobs: it
    was without a lease for so long that a job may have been forgotten and
    another one submitted under its name.
    """

    stored_up_to: int = 0
    ends: dict[int, bool] = field(default_factory=dict)
    polled_ms: int = 0
    leaves_s: float | None = None
    notice_s: float = 0.0
    has_lapsed: bool = False

    def record_lapse(self, report: WorkerReport, keep_ended_s: float) -> None:
        """Update ``has_lapsed``; ended jobs are kept for ``keep_ended_s``.

        A job is forgotten only after its runs have ended for that long, and
        no run outlives the lease. Half of the time leaves room for the last
        lease and for clocks that differ. An agent that was restarted doesn't
        know the earlier leases. A worker that lists no ends has no old ones.
        """
        lapsed_ms = report.clock_ms - report.granted_ms
        if not report.ended:
            self.has_lapsed = False
        elif report.granted_ms and lapsed_ms > 1000 * keep_ended_s / 2:
            self.has_lapsed = True

    def record_end(self, end: EndedRun) -> bool:
        """Record an end; return whether it was not listed before."""
        if end.number in self.ends or end.number <= self.stored_up_to:
            return False
        self.ends[end.number] = False
        return True

    def record_stored(self, number: int) -> int:
        """Record that an end is stored; return ``stored_up_to``.

        The worker may forget the ends up to the number returned. A worker
        lists its lowest numbers first; lower numbers that it does not list
        any more were stored by an earlier controller.
        """
        self.ends[number] = True
        while self.ends:
            lowest = min(self.ends)
            if not self.ends[lowest]:
                break
            self.stored_up_to = lowest
            del self.ends[lowest]
        return self.stored_up_to

    def record_poll(self, report: WorkerReport) -> bool:
        """Record a report's poll; return whether its lists are new.

        An agent repeats the lists of its last poll while the worker does not
        answer.
        """
        if report.looked_ms <= self.polled_ms:
            return False
        self.polled_ms = report.looked_ms
        return True

    def compute_leaving_s(self, report: WorkerReport, now_s: float) -> float:
        """Return the time in seconds at which the worker may leave.

        It is computed from the first report of the drain; later reports do not
        change it.
        """
        if self.leaves_s is None:
            self.notice_s = report.remaining_ms / 1000
            self.leaves_s = now_s + self.notice_s
        return self.leaves_s

    def is_taken_away(self, drain_s: float) -> bool:
        """Return whether a leaving worker gave too short a notice.

        A worker that is drained regularly stays for at least ``drain_s``
        seconds. One that gave no time may stay for any length of time.
        """
        return 0.0 < self.notice_s < drain_s
