"""Correct the clocks of agents in log lines by the order of cause and effect.

An agent sees an epoch after an entry has taken the controller role with it,
and a controller finds a worker after its agent has announced it. Pairs of such
lines name the same epoch or worker, so they bound the difference between the
agent's clock and the entries' clocks.
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
    """The range of the correction of a process's clock, in seconds."""

    min_shift_s: float = float("-inf")
    max_shift_s: float = float("inf")

    @property
    def shift_s(self) -> float:
        """The smallest correction within the bounds, in seconds.

        If the bounds contradict each other, the clock was set between the
        lines. It isn't corrected then.
        """
        if self.min_shift_s > self.max_shift_s:
            return 0.0
        return min(max(0.0, self.min_shift_s), self.max_shift_s)


def find_bounds(lines: Iterable[LogLine]) -> dict[str, ClockBounds]:
    """Return the bounds of the clock correction of each process."""
    role_taken_at: dict[int, datetime.datetime] = {}
    worker_found_at: dict[str, datetime.datetime] = {}
    lines = list(lines)
    for line in lines:
        if line.event == LogEvent.ROLE_TAKEN:
            # Each pool has its own epochs, so several lines may have the same
            # number. The earliest one comes before the agent's line in any
            # case.
            record_earliest(role_taken_at, line.facts.get("epoch", 0), line.at)
        elif line.event == LogEvent.WORKER_FOUND:
            record_earliest(
                worker_found_at, line.facts.get("worker", ""), line.at
            )
    bounds: dict[str, ClockBounds] = {}
    for line in lines:
        process_bounds = bounds.setdefault(line.process, ClockBounds())
        if line.event == LogEvent.EPOCH_SEEN:
            before = role_taken_at.get(line.facts.get("epoch", 0))
            if before is not None:
                min_shift_s = (before - line.at).total_seconds()
                process_bounds.min_shift_s = max(
                    process_bounds.min_shift_s, min_shift_s
                )
        elif line.event == LogEvent.WORKER_ANNOUNCED:
            after = worker_found_at.get(line.facts.get("worker", ""))
            if after is not None:
                max_shift_s = (after - line.at).total_seconds()
                process_bounds.max_shift_s = min(
                    process_bounds.max_shift_s, max_shift_s
                )
    return bounds


def record_earliest(
    moments: dict[Any, datetime.datetime], key: Any, at: datetime.datetime
) -> None:
    """Record a time for a key, unless an earlier one is recorded."""
    moments[key] = min(at, moments.get(key, at))


def correct_clocks(
    lines: Iterable[LogLine],
) -> tuple[list[LogLine], dict[str, float]]:
    """Return the lines with corrected times, and the corrections.

    The corrections are by process, in seconds, without those that are 0.
    """
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
