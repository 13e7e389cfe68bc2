"""Read the log lines of the pool programs.

Lines may come from any number of files, in any order, with text before the
JSON, as a collector of logs adds it.
"""

from dataclasses import dataclass
import datetime
from typing import Any

import msgspec

__all__ = ["LogLine", "read_line"]


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event; ``at`` is by the clock of its process."""

    at: datetime.datetime
    process: str
    event: str
    facts: dict[str, Any]


def read_line(text: str) -> LogLine | None:
    """Return the event in a line of text, if there is one."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        facts = msgspec.json.decode(text[start:].strip())
        at = datetime.datetime.fromisoformat(facts["timestamp"])
        return LogLine(at, facts["process"], facts["event"], facts)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None
