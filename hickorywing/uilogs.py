"""Print and draw reports from the logs of pool entries and pool agents."""

from pathlib import Path
import sys

import msgspec

from hickorywing.explain import explain_job
from hickorywing.explain import format_explanation
from hickorywing.lateness import draw_lateness
from hickorywing.lateness import format_lateness
from hickorywing.lateness import report_lateness
from hickorywing.loglines import format_line
from hickorywing.logtimeline import draw_timeline
from hickorywing.logtimeline import read_timeline
from hickorywing.preemptions import collect_claims
from hickorywing.preemptions import format_claims
from hickorywing.waste import draw_waste
from hickorywing.waste import format_waste
from hickorywing.waste import sum_waste

__all__ = [
    "explain_logs",
    "show_claims",
    "show_late",
    "show_log_timeline",
    "show_waste",
]


def show_log_timeline(
    paths: list[str], last: int, subject: str, plot: str
) -> None:
    """Print the ``last`` events of logs, and draw all of them to ``plot``."""
    lines = read_timeline(read_logs(paths), subject)
    if plot:
        draw_timeline(lines, Path(plot))
    for line in lines[-last:]:
        print(format_line(line))


def read_logs(paths: list[str]) -> list[str]:
    """Return the lines of log files; ``-`` stands for standard input."""
    texts: list[str] = []
    for name in paths:
        if name == "-":
            texts.extend(sys.stdin)
            continue
        with open(name, encoding="utf-8", errors="replace") as log:
            texts.extend(log)
    return texts


def explain_logs(paths: list[str], job_id: str, as_json: bool) -> None:
    """Print what happened to a job; read standard input without files."""
    explanation = explain_job(job_id, read_logs(paths or ["-"]))
    if as_json:
        print(msgspec.json.encode(explanation).decode())
    else:
        print("\n".join(format_explanation(explanation)))


def show_waste(paths: list[str], as_json: bool, png: str) -> None:
    """Print the wasted work by cause, and draw it to the file ``png``."""
    by_cause = sum_waste(read_logs(paths))
    if png:
        draw_waste(by_cause, Path(png))
    if as_json:
        print(msgspec.json.encode(by_cause).decode())
    else:
        print("\n".join(format_waste(by_cause)))


def show_late(paths: list[str], as_json: bool, png: str) -> None:
    """Print the phases of late jobs, and draw them to the file ``png``."""
    report = report_lateness(read_logs(paths))
    if png:
        draw_lateness(report.late, Path(png))
    if as_json:
        print(msgspec.json.encode(report).decode())
    else:
        print("\n".join(format_lateness(report)))


def show_claims(paths: list[str], as_json: bool) -> None:
    """Print which runs were preempted for which jobs."""
    claims = collect_claims(read_logs(paths))
    if as_json:
        print(msgspec.json.encode(claims).decode())
    else:
        print("\n".join(format_claims(claims)))
