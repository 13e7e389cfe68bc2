"""Show what all processes logged over a span, as text and as a picture."""

from collections.abc import Iterable
from dataclasses import dataclass
import datetime
from pathlib import Path

from hickorywing.errors import UserError
from hickorywing.logclocks import correct_clocks
from hickorywing.logevents import LogEvent
from hickorywing.loglines import LogLine
from hickorywing.loglines import read_line

__all__ = [
    "Span",
    "draw_timeline",
    "find_spans",
    "read_timeline",
]

# Beginnings and ends of what lasts, and how it is drawn. A process that starts
# anew has none of them any more.
SPANS = {
    LogEvent.ROLE_TAKEN: ("controls", "tab:green"),
    LogEvent.STORE_LOST: ("without the store", "tab:red"),
    LogEvent.WORKER_SILENT: ("worker silent", "tab:orange"),
    LogEvent.STOPPING: ("stopping", "tab:gray"),
}
SPAN_ENDS = {
    LogEvent.ROLE_LOST: LogEvent.ROLE_TAKEN,
    LogEvent.ROLE_RELEASED: LogEvent.ROLE_TAKEN,
    LogEvent.STORE_REGAINED: LogEvent.STORE_LOST,
    LogEvent.WORKER_ANSWERS: LogEvent.WORKER_SILENT,
    LogEvent.STOPPED: LogEvent.STOPPING,
}
MARKS = {
    LogEvent.STARTED: ("started", "k", "^"),
    LogEvent.REFUSED: ("refused", "tab:red", "x"),
    LogEvent.RUN_PREEMPTED: ("preempted", "tab:purple", "v"),
    LogEvent.RUN_STALLED: ("stalled", "tab:brown", "s"),
    LogEvent.ZONE_OUT: ("zone out", "tab:blue", "D"),
}
INCHES_WIDE = 12
INCHES_A_ROW = 0.3


@dataclass(frozen=True, slots=True)
class Span:
    """A time over which something held for a process."""

    process: str
    kind: LogEvent
    begin: datetime.datetime
    end: datetime.datetime


def read_timeline(texts: Iterable[str], subject: str = "") -> list[LogLine]:
    """Return the events in order; ``subject`` is in one of their facts."""
    lines = [line for line in map(read_line, texts) if line is not None]
    corrected, _ = correct_clocks(lines)
    wanted = [
        line
        for line in corrected
        if not subject or subject in str(list(line.facts.values()))
    ]
    return sorted(wanted, key=lambda line: (line.at, line.process))


def find_spans(lines: Iterable[LogLine]) -> list[Span]:
    """Return what lasted, from events in order of time.

    What no event ends lasts up to the process's next start or the last event.
    """
    spans: list[Span] = []
    begun: dict[tuple[str, LogEvent], datetime.datetime] = {}
    last: datetime.datetime | None = None

    def end(process: str, kind: LogEvent, at: datetime.datetime) -> None:
        begin = begun.pop((process, kind), None)
        if begin is not None:
            spans.append(Span(process, kind, begin, at))

    for line in lines:
        last = line.at
        if line.event in SPANS:
            kind = LogEvent(line.event)
            begun.setdefault((line.process, kind), line.at)
        elif line.event in SPAN_ENDS:
            end(line.process, SPAN_ENDS[line.event], line.at)
        elif line.event == LogEvent.STARTING:
            for kind in SPANS:
                end(line.process, kind, line.at)
    for process, kind in list(begun):
        end(process, kind, last)
    return spans


def draw_timeline(lines: list[LogLine], path: Path) -> None:
    """Draw a row for each process into an image file.

    The suffix of the path names the format. Raises ``UserError`` when there is
    nothing to draw or the library for it isn't installed.
    """
    try:
        # Only this command needs the library, which takes a second to load.
        from matplotlib import dates  # noqa: PLC0415
        from matplotlib.figure import Figure  # noqa: PLC0415
    except ImportError as error:
        raise UserError("drawing needs matplotlib (extra: plots)") from error
    if not lines:
        raise UserError("no events to draw")
    rows = {
        name: number
        for number, name in enumerate(sorted({item.process for item in lines}))
    }
    figure = Figure((INCHES_WIDE, 1.5 + INCHES_A_ROW * len(rows)))
    axes = figure.subplots()
    for span in find_spans(lines):
        label, colour = SPANS[span.kind]
        axes.barh(
            rows[span.process],
            span.end - span.begin,
            left=span.begin,
            color=colour,
            alpha=0.6,
            label=label,
        )
    for event, (label, colour, marker) in MARKS.items():
        found = [line for line in lines if line.event == event]
        if not found:
            continue
        axes.plot(
            [line.at for line in found],
            [rows[line.process] for line in found],
            marker,
            color=colour,
            label=label,
            linestyle="none",
        )
    axes.set_yticks(list(rows.values()), list(rows))
    axes.xaxis.set_major_formatter(dates.DateFormatter("%H:%M:%S"))
    axes.grid(axis="x", alpha=0.3)
    handles, labels = axes.get_legend_handles_labels()
    once = dict(zip(labels, handles, strict=True))
    axes.legend(once.values(), once.keys(), loc="upper right", fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
