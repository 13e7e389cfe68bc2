"""Report from the logs how much work was wasted, by cause.

Work is wasted when a run ends before it is done and its progress isn't saved,
or when a task is done twice. It is measured in core-seconds, where an
accelerator counts as several cores. Runs that failed by themselves aren't
counted, as no decision could have saved their work.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from hickorywing.errors import UserError
from hickorywing.logevents import LogEvent
from hickorywing.loglines import LogLine
from hickorywing.loglines import read_line

__all__ = ["Waste", "draw_waste", "format_waste", "sum_waste"]

# Causes by how a run ended, used if the line has no known reason for a stop.
CAUSES_BY_ENDING = {
    "lapsed": "lease ran out",
    "lost": "worker lost",
    "broken": "another member ended",
    "alone": "gang did not gather",
    "rejected": "start rejected",
}
# Causes by the beginning of the controller's reason for stopping a run.
CAUSES_BY_STOP_REASON = {
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
OTHER_CAUSE = "other"


@dataclass(slots=True)
class Waste:
    """The work of runs that ended for one cause, in core-seconds.

    ``saved`` is the work of runs that write a checkpoint when they are
    stopped, ``lost`` that of all others. ``runs`` counts members of gangs
    separately.
    """

    runs: int = 0
    lost: float = 0.0
    saved: float = 0.0


def sum_waste(texts: Iterable[str]) -> dict[str, Waste]:
    """Return the waste by cause, in descending order of lost work."""
    by_cause: dict[str, Waste] = {}
    for text in texts:
        line = read_line(text)
        if line is not None and line.event == LogEvent.RUN_ENDED:
            add_end(by_cause, line)
    order = sorted(by_cause.items(), key=lambda item: -item[1].lost)
    return dict(order)


def add_end(by_cause: dict[str, Waste], line: LogLine) -> None:
    """Add a line about the end of a run's member, unless done or failed."""
    facts = line.facts
    if facts.get("how") in ("done", "failed"):
        return
    cause = name_cause(facts.get("how", ""), facts.get("stopping", ""))
    work = facts.get("took_s", 0.0) * facts.get("cores", 0.0)
    waste = by_cause.setdefault(cause, Waste())
    waste.runs += 1
    if facts.get("saves") and facts.get("how") == "stopped":
        waste.saved += work
    else:
        waste.lost += work


def name_cause(how: str, stopping: str) -> str:
    """Return the cause of an end.

    ``how`` is how the run ended and ``stopping`` the controller's reason for
    stopping it, empty if there is none.
    """
    for prefix, cause in CAUSES_BY_STOP_REASON.items():
        if stopping.startswith(prefix):
            return cause
    return CAUSES_BY_ENDING.get(how, OTHER_CAUSE)


def format_waste(by_cause: dict[str, Waste]) -> list[str]:
    """Return a table of the waste by cause, with its total."""
    lines = [f"{'cause':26} {'runs':>6} {'lost':>10} {'saved':>10}"]
    lines.extend(
        f"{cause:26} {item.runs:6} {item.lost:10.0f} {item.saved:10.0f}"
        for cause, item in by_cause.items()
    )
    runs = sum(item.runs for item in by_cause.values())
    lost = sum(item.lost for item in by_cause.values())
    saved = sum(item.saved for item in by_cause.values())
    lines.append(f"{'all':26} {runs:6} {lost:10.0f} {saved:10.0f}")
    return lines


def draw_waste(by_cause: dict[str, Waste], file: Path) -> None:
    """Draw the lost and saved work of each cause as a bar chart.

    The suffix of the file selects the image format. Raises ``UserError`` if
    matplotlib isn't installed.
    """
    try:
        # Imported here since it takes a second to load and only drawing needs
        # it.
        from matplotlib.figure import Figure  # noqa: PLC0415
    except ImportError as error:
        raise UserError("drawing needs matplotlib (extra: plots)") from error
    figure = Figure(figsize=(9, 1 + 0.4 * max(1, len(by_cause))))
    axes = figure.add_subplot()
    causes = list(by_cause)[::-1]
    lost = [by_cause[cause].lost for cause in causes]
    saved = [by_cause[cause].saved for cause in causes]
    axes.barh(causes, lost, color="tab:red", label="lost")
    axes.barh(causes, saved, left=lost, color="tab:green", label="saved")
    axes.set_xlabel("core-seconds")
    axes.legend()
    figure.tight_layout()
    figure.savefig(file)
