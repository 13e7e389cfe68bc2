"""Print and draw what the logs of the pool programs tell."""

from pathlib import Path
import sys

import msgspec

from hickorywing.explain import explain_job
from hickorywing.explain import format_account
from hickorywing.lateness import account_late
from hickorywing.lateness import draw_late
from hickorywing.lateness import format_late
from hickorywing.loglines import format_line
from hickorywing.logtimeline import draw_timeline
from hickorywing.logtimeline import read_timeline
from hickorywing.preemptions import account_claims
from hickorywing.preemptions import format_claims
from hickorywing.waste import account_waste
from hickorywing.waste import draw_waste
from hickorywing.waste import format_waste

__all__ = [
    "explain_logs",
    "show_claims",
    "show_late",
    "show_log_timeline",
    "show_waste",
]


def show_log_timeline(
    names: list[str], last: int, subject: str, plot: str
) -> None:
    """Print the latest events in logs, and draw all if a file is named."""
    lines = read_timeline(read_logs(names), subject)
    if plot:
        draw_timeline(lines, Path(plot))
    for line in lines[-last:]:
        print(format_line(line))


def read_logs(names: list[str]) -> list[str]:
    """Return the lines of log files; ``-`` is standard input."""
    texts: list[str] = []
    for name in names:
        if name == "-":
            texts.extend(sys.stdin)
            continue
        with open(name, encoding="utf-8", errors="replace") as log:
            texts.extend(log)
    return texts


def explain_logs(names: list[str], job_id: str, as_json: bool) -> None:
    """Print the account of a job from logs."""
    account = explain_job(job_id, read_logs(names or ["-"]))
    if as_json:
        print(msgspec.json.encode(account).decode())
    else:
        print("\n".join(format_account(account)))


def show_waste(names: list[str], as_json: bool, png: str) -> None:
    """Print what was thrown away by cause, and draw it if a file is named."""
    found = account_waste(read_logs(names))
    if png:
        draw_waste(found, Path(png))
    if as_json:
        print(msgspec.json.encode(found).decode())
    else:
        print("\n".join(format_waste(found)))


def show_late(names: list[str], as_json: bool, png: str) -> None:
    """Print why jobs were late by phase, and draw it if a file is named."""
    account = account_late(read_logs(names))
    if png:
        draw_late(account.late, Path(png))
    if as_json:
        print(msgspec.json.encode(account).decode())
    else:
        print("\n".join(format_late(account)))


def show_claims(names: list[str], as_json: bool) -> None:
    """Print what urgent work stopped, claim by claim."""
    claims = account_claims(read_logs(names))
    if as_json:
        print(msgspec.json.encode(claims).decode())
    else:
        print("\n".join(format_claims(claims)))
