"""Give one account of a job from the log lines of all processes.

Lines that can't be read are counted. Clocks of VMs may differ: where the lines
themselves show it, an agent's clock is corrected.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from hickorywing.logclocks import correct_clocks
from hickorywing.logevents import LogEvent
from hickorywing.loglines import format_line
from hickorywing.loglines import LogLine
from hickorywing.loglines import read_line
from hickorywing.policy.poolmodel import vm_of

__all__ = ["Account", "explain_job", "format_account"]


@dataclass(slots=True)
class Account:
    """What the logs say of one job.

    ``lines`` are its own events and the changes of role, store and workers
    between them. ``missing`` names what the logs should hold and do not;
    ``clocks`` what was added to a process's clock, in seconds.
    """

    job_id: str
    lines: list[LogLine] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)
    clocks: dict[str, float] = field(default_factory=dict)
    unreadable: int = 0


# Events without a job that explain what happens to jobs.
CONTEXT_EVENTS = frozenset(
    {
        LogEvent.AGENT_ANSWERS,
        LogEvent.AGENT_SILENT,
        LogEvent.COMMIT_FAILED,
        LogEvent.CONFIGURATION_TAKEN,
        LogEvent.EPOCH_SEEN,
        LogEvent.FEED_ANSWERS,
        LogEvent.FEED_LOST_ITS_HISTORY,
        LogEvent.FEED_SILENT,
        LogEvent.PLANNING_HELD,
        LogEvent.PLANNING_RESUMED,
        LogEvent.RENEWAL_FAILED,
        LogEvent.ROLE_HANDED_OVER,
        LogEvent.ROLE_LOST,
        LogEvent.ROLE_NOT_TAKEN,
        LogEvent.ROLE_RELEASED,
        LogEvent.ROLE_TAKEN,
        LogEvent.STARTED,
        LogEvent.STOPPING,
        LogEvent.STORE_LOST,
        LogEvent.STORE_REGAINED,
        LogEvent.WORKER_ANSWERS,
        LogEvent.WORKER_DRAINING,
        LogEvent.WORKER_FOUND,
        LogEvent.WORKER_LEFT,
        LogEvent.WORKER_SET_ASIDE,
        LogEvent.WORKER_SILENT,
        LogEvent.WORKER_SLOW,
        LogEvent.WORKER_USUAL,
        LogEvent.ZONE_IN,
        LogEvent.ZONE_OUT,
    }
)


def names_job(line: LogLine, job_id: str) -> bool:
    """Tell whether a line is about a job or one of its tasks."""
    facts = line.facts
    if facts.get("job") == job_id or facts.get("gives_way_to") == job_id:
        return True
    return str(facts.get("task", "")).startswith(f"{job_id}.")


def explain_job(job_id: str, texts: Iterable[str]) -> Account:
    """Return the account of a job."""
    account = Account(job_id)
    lines: list[LogLine] = []
    for text in texts:
        line = read_line(text)
        if line is not None:
            lines.append(line)
        elif text.strip():
            account.unreadable += 1
    lines, shifts = correct_clocks(lines)
    own = [line for line in lines if names_job(line, job_id)]
    context = [
        line
        for line in lines
        if line.event in CONTEXT_EVENTS and not names_job(line, job_id)
    ]
    account.lines = sorted(
        own + select_context(own, context),
        key=lambda line: (line.at, line.process),
    )
    account.missing = find_missing(own, own + context)
    shown = {line.process for line in account.lines}
    account.clocks = {
        process: shift_s
        for process, shift_s in shifts.items()
        if process in shown
    }
    return account


def select_context(
    own: list[LogLine], context: list[LogLine]
) -> list[LogLine]:
    """Return the other events between a job's first and last ones.

    Events of workers and agents count only where the job was placed.
    """
    if not own:
        return []
    first = min(line.at for line in own)
    last = max(line.at for line in own)
    workers = find_workers(own)
    vms = {vm_of(worker) for worker in workers}
    return [
        line
        for line in context
        if first <= line.at <= last
        and line.facts.get("worker", "") in workers | {""}
        and (line.facts.get("role") != "agent" or line.process in vms)
    ]


def find_workers(lines: Iterable[LogLine]) -> set[str]:
    """Return the workers that a job was placed on."""
    found: set[str] = set()
    for line in lines:
        found.update(line.facts.get("workers", ()))
        found.update(filter(None, [line.facts.get("worker")]))
    return found


def find_missing(own: list[LogLine], known: list[LogLine]) -> list[str]:
    """Return what the logs should hold of the job and do not."""
    events = {line.event for line in own}
    missing = []
    if not own:
        return ["no line names the job"]
    if LogEvent.JOB_SUBMITTED not in events:
        missing.append("no entry logged the submission")
    if LogEvent.JOB_STATUS not in events:
        missing.append("no controller logged a change of status")
    processes = {line.process for line in known}
    vms = {vm_of(worker) for worker in find_workers(own)}
    missing.extend(
        f"no lines of the agent on {vm}" for vm in sorted(vms - processes)
    )
    return missing


def format_account(account: Account) -> list[str]:
    """Return the account as lines of text."""
    lines = [f"job {account.job_id}"]
    lines.extend(
        format_line(line, frozenset({"job"})) for line in account.lines
    )
    lines.extend(
        f"clock of {process} corrected by {shift_s:+g} s"
        for process, shift_s in sorted(account.clocks.items())
    )
    lines.extend(f"missing: {text}" for text in account.missing)
    if account.unreadable:
        lines.append(f"missing: {account.unreadable} lines can't be read")
    return lines
