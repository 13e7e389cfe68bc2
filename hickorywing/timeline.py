"""Record the events of a process, and merge those of several processes."""

from collections import deque
from collections.abc import Iterable
import time

import msgspec

from hickorywing.logs import get_logger

__all__ = ["Event", "Timeline", "merge_events"]

MAX_EVENTS = 2000
MAX_CHARS = 1000


class Event(msgspec.Struct, frozen=True):
    """A change of state in a process.

    ``at`` is in Unix seconds, and ``number`` counts the events of the process.
    """

    at: float
    process: str
    number: int
    kind: str
    subject: str
    detail: str = ""


class Timeline:
    """Keeps the latest ``MAX_EVENTS`` events of one process."""

    def __init__(self, process: str) -> None:
        self.process = process
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self._number = 0

    def record(self, kind: str, subject: str, detail: str = "") -> None:
        """Record a change of state and log it, with its texts shortened."""
        self._number += 1
        subject, detail = subject[:MAX_CHARS], detail[:MAX_CHARS]
        event = Event(
            time.time(), self.process, self._number, kind, subject, detail
        )
        self._events.append(event)
        get_logger().info(
            kind, process=self.process, subject=subject, detail=detail
        )

    def events(self, since: float = 0.0) -> list[Event]:
        """Return the events at or after a time in Unix seconds."""
        return [event for event in self._events if event.at >= since]


def merge_events(parts: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge events of several processes, ordered by time and process."""
    merged = [event for part in parts for event in part]
    merged.sort(key=lambda event: (event.at, event.process, event.number))
    return merged
