"""Read the log lines of the pool programs.

Lines may come from any number of files, in any order, with text before the
JSON, as a collector of logs adds it.
"""

from dataclasses import dataclass
import datetime
from typing import Any

import msgspec

__all__ = ["LogLine", "format_line", "read_line"]

# Facts that every line has; the text shows them in columns.
COMMON_FACTS = frozenset({"event", "process", "role", "timestamp"})


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


def format_line(line: LogLine, hidden: frozenset[str] = frozenset()) -> str:
    """Return an event as a line of text, without the facts that are hidden."""
    facts = " ".join(
        f"{name}={value}"
        for name, value in line.facts.items()
        if name not in COMMON_FACTS | hidden and value != ""
    )
    clock = line.at.strftime("%H:%M:%S.%f")[:-3]
    return f"{clock}  {line.process:<14} {line.event:<20} {facts}".rstrip()
