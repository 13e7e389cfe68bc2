"""Explain what happened to a job from the log lines of all processes.

Lines that can't be parsed are counted. As the clocks of VMs may differ, an
agent's clock is corrected where the lines show a difference.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from hickorywing.logclocks import correct_clocks
from hickorywing.logevents import LogEvent
from hickorywing.loglines import format_line
from hickorywing.loglines import LogLine
from hickorywing.loglines import read_line
from hickorywing.policy.poolmodel import get_vm

__all__ = ["JobExplanation", "explain_job", "format_explanation"]


@dataclass(slots=True)
class JobExplanation:
    """The log lines that explain what happened to a job.

    ``lines`` are the job's events and the events between them that affect all
    jobs, such as changes of the controller role, the store and the workers.
    ``missing`` describes lines that the logs should have but don't, and
    ``clocks`` the corrections of clocks by process, in seconds.
    ``unreadable`` counts the lines that can't be parsed.
    """

    job_id: str
    lines: list[LogLine] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)
    clocks: dict[str, float] = field(default_factory=dict)
    unreadable: int = 0


# Events that name no job but explain what happens to jobs.
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


def mentions_job(line: LogLine, job_id: str) -> bool:
    """Return whether a line is about a job, its tasks or its victims."""
    facts = line.facts
    if facts.get("job") == job_id or facts.get("gives_way_to") == job_id:
        return True
    return str(facts.get("task", "")).startswith(f"{job_id}.")


def explain_job(job_id: str, texts: Iterable[str]) -> JobExplanation:
    """Return the explanation of a job from log lines in any order."""
    explanation = JobExplanation(job_id)
    lines: list[LogLine] = []
    for text in texts:
        line = read_line(text)
        if line is not None:
            lines.append(line)
        elif text.strip():
            explanation.unreadable += 1
    lines, shifts = correct_clocks(lines)
    job_lines = [line for line in lines if mentions_job(line, job_id)]
    context = [
        line
        for line in lines
        if line.event in CONTEXT_EVENTS and not mentions_job(line, job_id)
    ]
    explanation.lines = sorted(
        job_lines + select_context(job_lines, context),
        key=lambda line: (line.at, line.process),
    )
    explanation.missing = find_missing(job_lines, job_lines + context)
    shown = {line.process for line in explanation.lines}
    explanation.clocks = {
        process: shift_s
        for process, shift_s in shifts.items()
        if process in shown
    }
    return explanation


def select_context(
    job_lines: list[LogLine], context: list[LogLine]
) -> list[LogLine]:
    """Return the events in ``context`` between a job's first and last line.

    Events of workers and agents are included only if the job was placed there.
    """
    if not job_lines:
        return []
    first = min(line.at for line in job_lines)
    last = max(line.at for line in job_lines)
    workers = find_workers(job_lines)
    vms = {get_vm(worker) for worker in workers}
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


def find_missing(job_lines: list[LogLine], lines: list[LogLine]) -> list[str]:
    """Return descriptions of lines that the logs should have but don't.

    ``lines`` are the job's lines and those that affect all jobs.
    """
    events = {line.event for line in job_lines}
    missing = []
    if not job_lines:
        return ["no line names the job"]
    if LogEvent.JOB_SUBMITTED not in events:
        missing.append("no entry logged the submission")
    if LogEvent.JOB_STATUS not in events:
        missing.append("no controller logged a change of status")
    processes = {line.process for line in lines}
    vms = {get_vm(worker) for worker in find_workers(job_lines)}
    missing.extend(
        f"no lines of the agent on {vm}" for vm in sorted(vms - processes)
    )
    return missing


def format_explanation(explanation: JobExplanation) -> list[str]:
    """Return the explanation as lines of text."""
    lines = [f"job {explanation.job_id}"]
    lines.extend(
        format_line(line, frozenset({"job"})) for line in explanation.lines
    )
    lines.extend(
        f"clock of {process} corrected by {shift_s:+g} s"
        for process, shift_s in sorted(explanation.clocks.items())
    )
    lines.extend(f"missing: {text}" for text in explanation.missing)
    if explanation.unreadable:
        lines.append(f"missing: {explanation.unreadable} lines can't be read")
    return lines
