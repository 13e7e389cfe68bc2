"""What a controller remembers of one incarnation of a worker."""

from dataclasses import dataclass
from dataclasses import field

from hickorywing.orders import EndedRun
from hickorywing.orders import WorkerReport

__all__ = ["KnownWorker"]


@dataclass(slots=True)
class KnownWorker:
    """The ends that a worker has listed, its last look, and its leaving.

    ``ends`` tells of each end that the worker may not forget yet whether it
    is stored; ``noted`` is the last one up to which all are. ``leaves_s`` is
    the moment at which a draining worker may leave, ``notice_s`` for how long
    ahead it said so.
    """

    noted: int = 0
    ends: dict[int, bool] = field(default_factory=dict)
    looked_ms: int = 0
    leaves_s: float | None = None
    notice_s: float = 0.0

    def is_new_end(self, end: EndedRun) -> bool:
        """Take in an end; tell whether it had not been listed before."""
        if end.number in self.ends or end.number <= self.noted:
            return False
        self.ends[end.number] = False
        return True

    def store_end(self, number: int) -> int:
        """Note that an end is stored; return up to which all are.

        A worker lists its lowest numbers first, and those that it does not
        list any more were noted by an earlier controller.
        """
        self.ends[number] = True
        while self.ends:
            lowest = min(self.ends)
            if not self.ends[lowest]:
                break
            self.noted = lowest
            del self.ends[lowest]
        return self.noted

    def is_new_look(self, report: WorkerReport) -> bool:
        """Tell whether a report's lists are newer than the last ones.

        An agent repeats its last look while the worker is silent.
        """
        if report.looked_ms <= self.looked_ms:
            return False
        self.looked_ms = report.looked_ms
        return True

    def find_leaving_s(self, report: WorkerReport, now_s: float) -> float:
        """Return when the worker may leave, as it said at first."""
        if self.leaves_s is None:
            self.notice_s = report.remaining_ms / 1000
            self.leaves_s = now_s + self.notice_s
        return self.leaves_s

    def is_taken_away(self, drain_s: float) -> bool:
        """Tell whether a leaving worker has given too short a notice.

        One that is drained stays for ``drain_s`` at least. One that gave no
        time at all may stay for any.
        """
        return 0.0 < self.notice_s < drain_s
