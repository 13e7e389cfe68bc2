"""Account for the work that was thrown away, by cause, from the logs.

Work is thrown away when a run ends other than done and its time was not
saved, or when a run is done twice. It is counted in core-seconds, where an
accelerator counts as several cores. Work that its task failed itself is not
counted: no decision could have kept it.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from hickorywing.errors import UserError
from hickorywing.logevents import LogEvent
from hickorywing.loglines import LogLine
from hickorywing.loglines import read_line

__all__ = ["Waste", "account_waste", "draw_waste", "format_waste"]

# How a run ended, where nothing says why it was stopped.
CAUSES = {
    "lapsed": "lease ran out",
    "lost": "worker lost",
    "broken": "another member ended",
    "alone": "gang did not gather",
    "rejected": "start rejected",
}
# What a controller notes as the reason of a stop begins with these.
STOP_CAUSES = {
    "gives way": "gave way to urgent work",
    "job cancelled": "job cancelled",
    "job failed": "job failed",
    "its worker leaves": "worker leaves",
    "stands still": "stood still",
    "a start was not answered": "start not answered",
    "start rejected": "start rejected",
    "the worker has restarted": "worker lost",
    "member": "another member ended",
    "another member": "another member ended",
    "run ": "done twice",
}
OTHER = "other"


@dataclass(slots=True)
class Waste:
    """What one cause threw away, in core-seconds.

    ``saved`` is the work of runs that save when they are stopped, which is
    not lost.
    """

    runs: int = 0
    lost: float = 0.0
    saved: float = 0.0


def account_waste(texts: Iterable[str]) -> dict[str, Waste]:
    """Return what each cause threw away, the largest first."""
    found: dict[str, Waste] = {}
    for text in texts:
        line = read_line(text)
        if line is not None and line.event == LogEvent.RUN_ENDED:
            add_end(found, line)
    order = sorted(found.items(), key=lambda item: -item[1].lost)
    return dict(order)


def add_end(found: dict[str, Waste], line: LogLine) -> None:
    """Add the end of one member of a run."""
    facts = line.facts
    if facts.get("how") in ("done", "failed"):
        return
    cause = name_cause(facts.get("how", ""), facts.get("stopping", ""))
    work = facts.get("took_s", 0.0) * facts.get("cores", 0.0)
    waste = found.setdefault(cause, Waste())
    waste.runs += 1
    if facts.get("saves") and facts.get("how") == "stopped":
        waste.saved += work
    else:
        waste.lost += work


def name_cause(how: str, stopping: str) -> str:
    """Return the cause of an end in words."""
    for start, cause in STOP_CAUSES.items():
        if stopping.startswith(start):
            return cause
    return CAUSES.get(how, OTHER)


def format_waste(found: dict[str, Waste]) -> list[str]:
    """Return the account as lines of text."""
    lines = [f"{'cause':26} {'runs':>6} {'lost':>10} {'saved':>10}"]
    lines.extend(
        f"{cause:26} {item.runs:6} {item.lost:10.0f} {item.saved:10.0f}"
        for cause, item in found.items()
    )
    runs = sum(item.runs for item in found.values())
    lost = sum(item.lost for item in found.values())
    saved = sum(item.saved for item in found.values())
    lines.append(f"{'all':26} {runs:6} {lost:10.0f} {saved:10.0f}")
    return lines


def draw_waste(found: dict[str, Waste], file: Path) -> None:
    """Draw what each cause threw away and what it kept, as a PNG.

    Raises ``UserError`` if the library for it isn't there.
    """
    try:
        # Only this command needs the library, which takes a second to load.
        from matplotlib.figure import Figure  # noqa: PLC0415
    except ImportError as error:
        raise UserError("drawing needs matplotlib (extra: plots)") from error
    figure = Figure(figsize=(9, 1 + 0.4 * max(1, len(found))))
    axes = figure.add_subplot()
    causes = list(found)[::-1]
    lost = [found[cause].lost for cause in causes]
    saved = [found[cause].saved for cause in causes]
    axes.barh(causes, lost, color="tab:red", label="lost")
    axes.barh(causes, saved, left=lost, color="tab:green", label="saved")
    axes.set_xlabel("core-seconds")
    axes.legend()
    figure.tight_layout()
    figure.savefig(file)
