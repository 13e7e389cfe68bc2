"""Print the answers of entries as tables and lines for the terminal."""

import datetime
import sys
from typing import Any

from rich.console import Console
from rich.table import Table as RichTable

__all__ = [
    "make_console",
    "print_change",
    "print_jobs",
    "print_preview",
    "print_status",
    "print_timeline",
]


def make_console() -> Console:
    """Return a console; when piped, it is wide enough for the tables."""
    width = None if sys.stdout.isatty() else 110
    return Console(width=width)


def make_table(*columns: str) -> RichTable:
    """Return a table without borders."""
    table = RichTable(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column)
    return table


def print_preview(preview: Any) -> None:
    """Print where each unit of a job would go now, and why."""
    held = preview["planning_held"]
    if held:
        print(f"nothing is placed at present: {held}")
    for unit in preview["units"]:
        source = "as finished runs show" if unit["known"] else "as declared"
        print(
            f"step {unit['step']}, {unit['tasks']} tasks from {unit['first']},"
            f" priority {unit['priority']}: {unit['outcome']},"
            f" {unit['reason']}"
        )
        print(
            f"  expected run time {unit['expected_s']} s, one in ten over"
            f" {unit['late_s']} s, {source}"
        )
        if unit["workers"]:
            print(f"  on {', '.join(unit['workers'])}")
        if unit["preempts"]:
            print(f"  stops {', '.join(unit['preempts'])}")


def print_status(status: Any) -> None:
    """Print the configuration's version, the zones and the agents."""
    console = make_console()
    confirmed_s_ago = status["config_confirmed_s_ago"]
    console.print(
        f"configuration {status['config_version']},"
        f" confirmed {confirmed_s_ago} s ago by {status['entry']}"
    )
    zones = make_table(
        "zone", "service", "controller", "free", "queued", "agents"
    )
    for zone in status["zones"]:
        zones.add_row(
            zone["zone"],
            "in" if zone["is_in"] else "OUT",
            zone["controller"].partition("#")[0] or "none heard",
            str(zone["free_accelerators"]),
            str(zone["jobs_queued"]),
            str(zone["agents"]),
        )
    console.print(zones)
    agents = make_table("agent", "zone", "presence", "service", "worker")
    for agent in status["agents"]:
        agents.add_row(
            agent["name"],
            agent["zone"],
            agent["presence"],
            agent["service"],
            agent["worker"],
        )
    console.print(agents)


def print_jobs(data: Any) -> None:
    """Print one job, a list of jobs, or the result of a cancellation."""
    if isinstance(data, dict) and "ended_already" in data:
        print(f"cancelled {len(data['cancelled'])}", end="")
        print(f", ended already {len(data['ended_already'])}")
        return
    rows = data if isinstance(data, list) else [data]
    table = make_table("job", "status", "zone", "attempt", "gang", "workers")
    for row in rows:
        table.add_row(
            row["id"],
            row["status"],
            row["zone"],
            str(row["attempt"]),
            f"{row['tasks']} x {row['accelerators']}",
            ", ".join(row.get("workers", [])) or row.get("reason", ""),
        )
    make_console().print(table)


def print_change(change: Any) -> None:
    """Print which processes have a new configuration version in force."""
    print(f"version {change['version']} accepted in {change['waited_s']} s")
    print(f"in force at {len(change['in_force'])} processes")
    if change["not_confirmed"]:
        print("not confirmed: " + ", ".join(change["not_confirmed"]))


def print_timeline(events: Any, last: int, subject: str) -> None:
    """Print the latest ``last`` events, oldest first.

    With a subject, only its events are printed.
    """
    selected = [
        event for event in events if not subject or event["subject"] == subject
    ]
    for event in selected[-last:]:
        at = datetime.datetime.fromtimestamp(event["at"])
        clock = at.strftime("%H:%M:%S.%f")[:-3]
        line = f"{clock}  {event['process']:<12} {event['kind']:<22}"
        line += f" {event['subject']}"
        print(f"{line}  {event['detail']}".rstrip())
