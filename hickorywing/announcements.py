"""Keep what was announced of a worker until the worker confirms it.

An announcement may come late, from an incarnation that has ended, or from
another sender. Which incarnation lives is therefore decided by the answers of
the worker only, and no announcement shuts out another one.
"""

from collections.abc import Iterator

from hickorywing.poolworker import WorkerAnnouncement

__all__ = ["UnconfirmedAnnouncements", "is_newer"]

# The announcements of more incarnations than these are dropped, the oldest
# first. A worker announces itself again within seconds.
MAX_INCARNATIONS = 32


def is_newer(
    announcement: WorkerAnnouncement, last: WorkerAnnouncement
) -> bool:
    """Return whether an announcement is newer than another one.

    Both are of one incarnation. The worker's clock decides, as the worker's
    answers show whether it can be true; a sequence number can't be checked.
    """
    return (announcement.clock_ms, announcement.sequence) > (
        last.clock_ms,
        last.sequence,
    )


class UnconfirmedAnnouncements:
    """The newest unconfirmed announcement of each incarnation."""

    def __init__(self) -> None:
        self._by_worker: dict[str, WorkerAnnouncement] = {}

    def __bool__(self) -> bool:
        """Return whether there are any."""
        return bool(self._by_worker)

    def __iter__(self) -> Iterator[WorkerAnnouncement]:
        """Iterate over a copy, the oldest incarnation first."""
        return iter(list(self._by_worker.values()))

    def add(self, announcement: WorkerAnnouncement) -> bool:
        """Add an announcement; return whether its incarnation is new here."""
        known = self._by_worker.get(announcement.worker)
        if known is None and len(self._by_worker) >= MAX_INCARNATIONS:
            del self._by_worker[next(iter(self._by_worker))]
        if known is None or is_newer(announcement, known):
            self._by_worker[announcement.worker] = announcement
        return known is None

    def remove(self, announcement: WorkerAnnouncement) -> bool:
        """Remove an announcement; return whether it was still here.

        It isn't if a newer one of its incarnation has replaced it.
        """
        if self._by_worker.get(announcement.worker) != announcement:
            return False
        del self._by_worker[announcement.worker]
        return True

    def take_next(self) -> WorkerAnnouncement | None:
        """Remove and return the oldest incarnation's, if there is any."""
        for announcement in self:
            return self._by_worker.pop(announcement.worker)
        return None

    def take(self, name: str, born_ms: int) -> WorkerAnnouncement | None:
        """Remove and return the one of a name and a start, if it is here."""
        for announcement in self:
            if (announcement.name, announcement.born_ms) == (name, born_ms):
                return self._by_worker.pop(announcement.worker)
        return None
