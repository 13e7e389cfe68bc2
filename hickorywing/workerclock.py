"""Estimate the clock of the worker beside an agent."""

from hickorywing.clock import now_s
from hickorywing.poolworker import WorkerAnnouncement

__all__ = ["WorkerClock", "is_ahead"]

# Answers and announcements take different times on their way.
SLACK_MS = 100


def is_ahead(announcement: WorkerAnnouncement, clock_ms: int) -> bool:
    """Return whether an announcement shows a time after ``clock_ms``.

    If the worker's clock shows ``clock_ms`` later, the worker can't have sent
    the announcement.
    """
    return announcement.clock_ms > clock_ms + SLACK_MS


class WorkerClock:
    """The worker's clock, extrapolated from what it was last known to show.

    Leases end at a time on this clock. An estimate that is ahead makes them
    longer than the controller assumes, so only the worker's answers set it;
    announcements, which somebody else may have sent, can only set it back.
    """

    def __init__(self, clock_ms: int) -> None:
        self._clock_ms = clock_ms
        self._read_s = now_s()

    def estimate_ms(self) -> int:
        """Estimate the worker's clock now, in milliseconds."""
        return self._clock_ms + int((now_s() - self._read_s) * 1000)

    def set_back(self, announced_ms: int) -> None:
        """Take the clock of an announcement, unless it is ahead or missing."""
        if 0 < announced_ms < self.estimate_ms():
            self._clock_ms = announced_ms
            self._read_s = now_s()
