"""Correct the clocks of agents' log lines by what must have come first.

A controller's epoch is seen by an agent after the role was taken, and a worker
is found by a controller after its agent announced it. Both lines name the same
epoch or worker, so together they bound by how much the agent's clock differs
from the entries' clocks.
"""

from collections.abc import Iterable
from dataclasses import dataclass
import datetime
from typing import Any

from hickorywing.logevents import LogEvent
from hickorywing.loglines import LogLine

__all__ = ["ClockBounds", "correct_clocks", "find_bounds"]


@dataclass(slots=True)
class ClockBounds:
    """Between which seconds must be added to a process's clock."""

    least_s: float = float("-inf")
    most_s: float = float("inf")

    @property
    def shift_s(self) -> float:
        """Return the smallest correction that the bounds allow.

        Bounds that exclude each other come from a clock that was set
        meanwhile; it is left as it is.
        """
        if self.least_s > self.most_s:
            return 0.0
        return min(max(0.0, self.least_s), self.most_s)


def find_bounds(lines: Iterable[LogLine]) -> dict[str, ClockBounds]:
    """Return the bounds for each agent that the lines tell something of."""
    taken: dict[int, datetime.datetime] = {}
    found: dict[str, datetime.datetime] = {}
    lines = list(lines)
    for line in lines:
        if line.event == LogEvent.ROLE_TAKEN:
            # Pools count their epochs apart; the earliest is surely before.
            note_earliest(taken, line.facts.get("epoch", 0), line.at)
        elif line.event == LogEvent.WORKER_FOUND:
            note_earliest(found, line.facts.get("worker", ""), line.at)
    bounds: dict[str, ClockBounds] = {}
    for line in lines:
        known = bounds.setdefault(line.process, ClockBounds())
        if line.event == LogEvent.EPOCH_SEEN:
            before = taken.get(line.facts.get("epoch", 0))
            if before is not None:
                least_s = (before - line.at).total_seconds()
                known.least_s = max(known.least_s, least_s)
        elif line.event == LogEvent.WORKER_ANNOUNCED:
            after = found.get(line.facts.get("worker", ""))
            if after is not None:
                most_s = (after - line.at).total_seconds()
                known.most_s = min(known.most_s, most_s)
    return bounds


def note_earliest(
    moments: dict[Any, datetime.datetime], key: Any, at: datetime.datetime
) -> None:
    """Keep the earliest moment for a key."""
    moments[key] = min(at, moments.get(key, at))


def correct_clocks(
    lines: Iterable[LogLine],
) -> tuple[list[LogLine], dict[str, float]]:
    """Return the lines by corrected clocks, and what was added to which."""
    lines = list(lines)
    shifts = {
        process: round(bounds.shift_s, 3)
        for process, bounds in find_bounds(lines).items()
        if bounds.shift_s
    }
    corrected = [
        LogLine(
            line.at + datetime.timedelta(seconds=shifts[line.process]),
            line.process,
            line.event,
            line.facts,
        )
        if line.process in shifts
        else line
        for line in lines
    ]
    return corrected, shifts
