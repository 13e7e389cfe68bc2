"""Merge the logs of all processes into a timeline, and draw it."""

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

# Events that begin a span, with its label and colour in the drawing, and the
# events that end it. A restart of the process ends its spans, too.
SPAN_STYLES = {
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
MARKERS = {
    LogEvent.STARTED: ("started", "k", "^"),
    LogEvent.REFUSED: ("refused", "tab:red", "x"),
    LogEvent.RUN_PREEMPTED: ("preempted", "tab:purple", "v"),
    LogEvent.RUN_STALLED: ("stalled", "tab:brown", "s"),
    LogEvent.ZONE_OUT: ("zone out", "tab:blue", "D"),
}
FIGURE_WIDTH_INCHES = 12
ROW_HEIGHT_INCHES = 0.3


@dataclass(frozen=True, slots=True)
class Span:
    """A period during which a state held for a process.

    ``kind`` is the event that began it.
    """

    process: str
    kind: LogEvent
    begin: datetime.datetime
    end: datetime.datetime


def read_timeline(texts: Iterable[str], subject: str = "") -> list[LogLine]:
    """Return the events in order of time, with clocks corrected.

    If ``subject`` is given, only events with this text in one of their fields
    are returned.
    """
    lines = [line for line in map(read_line, texts) if line is not None]
    corrected, _ = correct_clocks(lines)
    matching = [
        line
        for line in corrected
        if not subject or subject in str(list(line.facts.values()))
    ]
    return sorted(matching, key=lambda line: (line.at, line.process))


def find_spans(lines: Iterable[LogLine]) -> list[Span]:
    """Return the spans in events that are in order of time.

    A span that no event ends lasts until the process starts again, or else
    until the last event.
    """
    spans: list[Span] = []
    open_spans: dict[tuple[str, LogEvent], datetime.datetime] = {}
    last: datetime.datetime | None = None

    def close(process: str, kind: LogEvent, at: datetime.datetime) -> None:
        begin = open_spans.pop((process, kind), None)
        if begin is not None:
            spans.append(Span(process, kind, begin, at))

    for line in lines:
        last = line.at
        if line.event in SPAN_STYLES:
            kind = LogEvent(line.event)
            open_spans.setdefault((line.process, kind), line.at)
        elif line.event in SPAN_ENDS:
            close(line.process, SPAN_ENDS[line.event], line.at)
        elif line.event == LogEvent.STARTING:
            for kind in SPAN_STYLES:
                close(line.process, kind, line.at)
    for process, kind in list(open_spans):
        close(process, kind, last)
    return spans


def draw_timeline(lines: list[LogLine], path: Path) -> None:
    """Draw the spans and events of each process as a row of an image.

    The suffix of the path selects the image format. Raises ``UserError`` if
    there are no lines or matplotlib isn't installed.
    """
    try:
        # Imported here since it takes a second to load and only drawing needs
        # it.
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
    figure = Figure((FIGURE_WIDTH_INCHES, 1.5 + ROW_HEIGHT_INCHES * len(rows)))
    axes = figure.subplots()
    for span in find_spans(lines):
        label, colour = SPAN_STYLES[span.kind]
        axes.barh(
            rows[span.process],
            span.end - span.begin,
            left=span.begin,
            color=colour,
            alpha=0.6,
            label=label,
        )
    for event, (label, colour, marker) in MARKERS.items():
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
    unique = dict(zip(labels, handles, strict=True))
    axes.legend(unique.values(), unique.keys(), loc="upper right", fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
