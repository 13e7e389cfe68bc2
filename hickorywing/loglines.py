"""Parse and format the log lines of pool entries and pool agents.

Lines may come from several files, in any order. Text before the JSON, such as
a prefix that a log collector adds, is ignored.
"""

from dataclasses import dataclass
import datetime
from typing import Any

from hickorywing.decoding import decode_json
from hickorywing.decoding import DecodingError

__all__ = ["LogLine", "format_line", "read_line"]

# Fields that every line has. Formatted lines show all but the role in columns.
COMMON_FACTS = frozenset({"event", "process", "role", "timestamp"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed log line.

    ``at`` is the time by the clock of the process that wrote it, ``facts`` all
    its fields.
    """

    at: datetime.datetime
    process: str
    event: str
    facts: dict[str, Any]


def read_line(text: str) -> LogLine | None:
    """Parse a line of text; return ``None`` if it has no event."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        facts = decode_json(text[start:].strip())
        at = datetime.datetime.fromisoformat(facts["timestamp"])
        return LogLine(at, facts["process"], facts["event"], facts)
    except (DecodingError, KeyError, TypeError, ValueError):
        return None


def format_line(line: LogLine, hidden: frozenset[str] = frozenset()) -> str:
    """Format a log line as text, without the fields in ``hidden``."""
    facts = " ".join(
        f"{name}={value}"
        for name, value in line.facts.items()
        if name not in COMMON_FACTS | hidden and value != ""
    )
    clock = line.at.strftime("%H:%M:%S.%f")[:-3]
    return f"{clock}  {line.process:<14} {line.event:<20} {facts}".rstrip()
