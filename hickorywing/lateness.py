"""Report from the logs in which phases late jobs spent their time.

A job's time counts from the first request of its caller to the answer that
shows it as completed. It is split along the critical path, the runs that the
job waited for, so that the phases of a job add up to its time. For each phase,
the minimum that it could have taken is given, too; the rest is what better
decisions might save. The minimum of a wait for stopped runs is 0, as room
might have been kept free before the urgent job came.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

from hickorywing.errors import UserError
from hickorywing.jobhistories import HistoryReader
from hickorywing.jobhistories import JobHistory
from hickorywing.jobhistories import Run
from hickorywing.logclocks import correct_clocks
from hickorywing.loglines import read_line
from hickorywing.policy.poolsearch import URGENT_PRIORITY

__all__ = [
    "LateJob",
    "LatenessReport",
    "Phase",
    "Tally",
    "draw_lateness",
    "format_lateness",
    "report_lateness",
    "sum_phases",
]

REFUSED = "refused"
ACCEPTING = "accepting"
NO_CONTROLLER = "no controller decides"
WAITING_ROOM = "waiting for room"
WAITING_STOPS = "waiting for stops"
STARTING = "starting"
LOST_RUN = "lost run"
CLOSING = "closing a lost run"
RUNNING = "running"
SLOW = "running on slow workers"
LONG = "running longer than declared"
UNENDED = "run has not ended"
FAILED = "failed"
STORING = "ended, not stored"
SHOWING = "stored, not shown"

# Declared run times are wrong by up to this factor. If a run took even longer,
# the rest isn't counted as its work.
MAX_ESTIMATE_ERROR = 2.0
# Shorter phases are left out of the line of a job.
MIN_SHOWN_S = 0.05


@dataclass(slots=True)
class Phase:
    """A part of a job's time and the minimum it could take, in seconds."""

    name: str
    took_s: float
    least_s: float = 0.0


@dataclass(slots=True)
class LateJob:
    """A job that took longer than its objective.

    ``began_s`` is the time of the first request, in Unix seconds. If the job
    was never shown as completed, ``total_s`` counts to the end of the logs.
    """

    job_id: str
    priority: int
    began_s: float
    total_s: float
    objective_s: float
    completed: bool
    phases: list[Phase] = field(default_factory=list)


@dataclass(slots=True)
class Tally:
    """Numbers of jobs that were in time, late or never accepted."""

    in_time: int = 0
    late: int = 0
    refused: int = 0


@dataclass(slots=True)
class LatenessReport:
    """The late jobs, in descending order of time, and the numbers of jobs.

    ``tallies`` are by priority, and for urgent jobs also by the zone of the
    first entry that was asked. Jobs that were never accepted have a tally of
    their own, as no line has their priority. Jobs that were cancelled, that
    have occurrences or are long-running, are left out. A failed job is never
    shown as completed, so it counts as late if the logs go on past its
    objective.
    """

    late: list[LateJob] = field(default_factory=list)
    tallies: dict[str, Tally] = field(default_factory=dict)


def report_lateness(texts: Iterable[str]) -> LatenessReport:
    """Return the report of the jobs in log lines in any order."""
    lines = [line for line in map(read_line, texts) if line is not None]
    lines, _ = correct_clocks(lines)
    lines.sort(key=lambda line: line.at)
    reader = HistoryReader()
    for line in lines:
        reader.add_line(line)
    report = LatenessReport()
    for history in reader.histories.values():
        add_job(report, history, reader)
    report.late.sort(key=lambda job: -job.total_s)
    report.tallies = dict(sorted(report.tallies.items()))
    return report


def add_job(
    report: LatenessReport, history: JobHistory, reader: HistoryReader
) -> None:
    """Add a job to the tallies, and to the late jobs if it was late.

    A job that was accepted and not shown as completed isn't counted as long as
    it isn't late.
    """
    if history.cancelled or history.standing:
        return
    if history.accepted_s is None:
        if history.refusals:
            tally = report.tallies.setdefault("never accepted", Tally())
            tally.refused += 1
        return
    names = [f"priority {history.priority}"]
    if history.priority == URGENT_PRIORITY:
        names.append(f"urgent, {history.zone}")
    tallies = [report.tallies.setdefault(name, Tally()) for name in names]
    job = make_late_job(history, reader)
    if job is not None:
        report.late.append(job)
    elif history.shown_s is None:
        return
    for tally in tallies:
        if job is None:
            tally.in_time += 1
        else:
            tally.late += 1


def make_late_job(
    history: JobHistory, reader: HistoryReader
) -> LateJob | None:
    """Return a job with its phases if it was late, else ``None``."""
    end_s = history.shown_s or reader.last_s
    critical_path = list(trace_critical_path(history))
    work_s = sum(
        estimate_work_s(run, reader) for run in critical_path if run.done
    )
    if not work_s and history.shown_s is not None:
        return None
    objective_s = history.stretch * work_s + history.latency_target_s
    total_s = end_s - history.first_seen_s
    if total_s <= objective_s:
        return None
    job = LateJob(
        history.job_id,
        history.priority,
        history.first_seen_s,
        total_s,
        objective_s,
        history.shown_s is not None,
    )
    job.phases = list(split_phases(history, critical_path, end_s, reader))
    return job


def estimate_work_s(run: Run, reader: HistoryReader) -> float:
    """Return how long a run would take at the usual pace, in seconds.

    The result is bounded by a multiple of the declared run time, so that times
    in which the run made no progress don't count as work.
    """
    began_s = run.started_s or run.placed_s
    took_s = (run.ended_s or began_s) - began_s
    work_s = took_s / max(1.0, reader.paces.get_slowdown(run.workers))
    if run.estimate_s <= 0:
        return work_s
    return min(work_s, MAX_ESTIMATE_ERROR * run.estimate_s)


def trace_critical_path(history: JobHistory) -> Iterator[Run]:
    """Yield the runs on the job's critical path, the last one first.

    The predecessor of a run is the previous run of the same unit. If the logs
    have none, it is the run of another step that ended last before the unit
    was ready, or at most 0.05 s after that. The path of a job that has not
    ended leads to the run that was placed last among those under way, or else
    to the one that ended last.
    """
    ended = [run for run in history.runs.values() if run.ended_s is not None]
    done = [run for run in ended if run.done]
    if history.completed_s is not None and done:
        run = max(done, key=lambda item: item.ended_s)
    else:
        open_runs = [
            run for run in history.runs.values() if run.ended_s is None
        ]
        if open_runs:
            run = max(open_runs, key=lambda item: item.placed_s)
        elif ended:
            run = max(ended, key=lambda item: item.ended_s)
        else:
            return
    while True:
        yield run
        before = history.runs.get((run.step, run.first, run.number - 1))
        if before is None or before.ended_s is None:
            ready_s = run.placed_s - run.waited_s
            earlier = [
                item
                for item in done
                if item.step != run.step and item.ended_s <= ready_s + 0.05
            ]
            if not earlier:
                return
            before = max(earlier, key=lambda item: item.ended_s)
        if before.placed_s >= run.placed_s:
            return
        run = before


def split_phases(
    history: JobHistory,
    critical_path: list[Run],
    end_s: float,
    reader: HistoryReader,
) -> Iterator[Phase]:
    """Yield the phases of a job in order; they add up to its time."""
    at_s = history.accepted_s
    before_s = at_s - history.first_seen_s
    if history.refusals:
        reason = max(history.refusals, key=history.refusals.get)
        yield Phase(f"{REFUSED}: {reason}", before_s)
    else:
        yield Phase(ACCEPTING, before_s, before_s)
    for run in reversed(critical_path):
        yield from split_wait(history, at_s, run.placed_s, reader)
        at_s = max(at_s, run.placed_s)
        if run.ended_s is None:
            started_s = run.started_s or at_s
            yield Phase(STARTING, started_s - at_s, started_s - at_s)
            yield Phase(UNENDED, end_s - started_s)
            return
        if run.done:
            started_s = min(run.started_s or at_s, run.ended_s)
            yield Phase(STARTING, started_s - at_s, started_s - at_s)
            ran_s = run.ended_s - started_s
            pace = max(1.0, reader.paces.get_slowdown(run.workers))
            work_s = min(estimate_work_s(run, reader), ran_s)
            slow_s = min((pace - 1) * work_s, ran_s - work_s)
            yield Phase(RUNNING, work_s, work_s)
            yield Phase(SLOW, slow_s)
            yield Phase(LONG, ran_s - work_s - slow_s)
        else:
            broken_at_s = min(run.broken_at_s or run.ended_s, run.ended_s)
            yield Phase(f"{LOST_RUN}: {run.cause}", broken_at_s - at_s)
            yield Phase(CLOSING, run.ended_s - broken_at_s)
        at_s = run.ended_s
    if history.stored_s is not None:
        stored_s = max(at_s, history.stored_s)
        yield Phase(STORING, stored_s - at_s)
        at_s = stored_s
        yield Phase(SHOWING, end_s - at_s)
    elif history.completed_s is not None:
        yield Phase(STORING, end_s - at_s)
    else:
        failed_s = max(at_s, history.failed_s or end_s)
        yield from split_wait(history, at_s, failed_s, reader)
        yield Phase(FAILED, end_s - failed_s)


def split_wait(
    history: JobHistory,
    begin_s: float,
    end_s: float,
    reader: HistoryReader,
) -> Iterator[Phase]:
    """Yield the phases of a run's wait until it was placed.

    It waits for room until runs are stopped for the job, and then for these
    stops. Times without a deciding controller are a phase of their own.
    """
    if end_s <= begin_s:
        return
    stops = [
        at_s for at_s in history.preempted_for_at_s if begin_s <= at_s <= end_s
    ]
    first_stop_s = min(stops, default=end_s)
    for from_s, to_s, name in (
        (begin_s, first_stop_s, WAITING_ROOM),
        (first_stop_s, end_s, WAITING_STOPS),
    ):
        idle_s = measure_overlap(from_s, to_s, reader.controller_gaps)
        yield Phase(NO_CONTROLLER, idle_s)
        yield Phase(name, max(0.0, to_s - from_s - idle_s))


def measure_overlap(
    begin_s: float, end_s: float, spans: list[tuple[float, float]]
) -> float:
    """Return for how many seconds a period overlaps any of the spans."""
    covered_s = 0.0
    reached_s = begin_s
    for from_s, to_s in sorted(spans):
        from_s, to_s = max(from_s, reached_s), min(to_s, end_s)
        if to_s > from_s:
            covered_s += to_s - from_s
            reached_s = to_s
    return covered_s


def sum_phases(late: Iterable[LateJob]) -> dict[str, tuple[int, float, float]]:
    """Return the number of jobs, seconds and minimum seconds of each phase.

    Phases are in descending order of the seconds above the minimum.
    """
    sums: dict[str, tuple[int, float, float]] = {}
    for job in late:
        job_sums: dict[str, tuple[float, float]] = {}
        for phase in job.phases:
            took_s, least_s = job_sums.get(phase.name, (0.0, 0.0))
            job_sums[phase.name] = (
                took_s + phase.took_s,
                least_s + phase.least_s,
            )
        for name, (took_s, least_s) in job_sums.items():
            if took_s < 0.005:
                continue
            jobs, all_s, all_least_s = sums.get(name, (0, 0.0, 0.0))
            sums[name] = (jobs + 1, all_s + took_s, all_least_s + least_s)
    order = sorted(sums.items(), key=lambda item: item[1][2] - item[1][1])
    return dict(order)


def format_lateness(report: LatenessReport) -> list[str]:
    """Return the report as lines of text: tallies, phases, then jobs.

    The phases of urgent jobs are summed separately, as other jobs may wait
    for urgent ones.
    """
    lines = [f"{'jobs':40} {'in time':>8} {'late':>8} {'refused':>8}"]
    lines.extend(
        f"{name:40} {tally.in_time:8} {tally.late:8} {tally.refused:8}"
        for name, tally in report.tallies.items()
    )
    urgent = [job for job in report.late if job.priority == URGENT_PRIORITY]
    others = [job for job in report.late if job.priority != URGENT_PRIORITY]
    for name, late in (("urgent", urgent), ("others", others)):
        lines.append("")
        lines.extend(format_phases(name, late))
    lines.append("")
    lines.extend(format_job(job) for job in urgent + others)
    return lines


def format_phases(name: str, late: list[LateJob]) -> list[str]:
    """Return a table of the phases of late jobs, with their total."""
    sums = sum_phases(late)
    took_s = sum(item[1] for item in sums.values())
    least_s = sum(item[2] for item in sums.values())
    rows = [*sums.items(), ("all", (len(late), took_s, least_s))]
    title = f"phases of late jobs, {name}"
    lines = [f"{title:40} {'jobs':>5} {'s':>8} {'least':>8} {'over':>8}"]
    lines.extend(
        f"{phase:40} {jobs:5} {took_s:8.1f} {least_s:8.1f}"
        f" {took_s - least_s:8.1f}"
        for phase, (jobs, took_s, least_s) in rows
    )
    return lines


def format_job(job: LateJob) -> str:
    """Return a line of text with a late job and its longer phases."""
    phases = ", ".join(
        f"{phase.name} {phase.took_s:.2f}"
        for phase in job.phases
        if phase.took_s >= MIN_SHOWN_S
    )
    end = "" if job.completed else " (never shown as completed)"
    return (
        f"{job.job_id} priority {job.priority} took {job.total_s:.2f} s,"
        f" objective {job.objective_s:.2f} s{end}: {phases}"
    )


def draw_lateness(late: list[LateJob], file: Path) -> None:
    """Draw the minimum and the excess of each phase as a bar chart.

    The suffix of the file selects the image format. Raises ``UserError`` if
    matplotlib isn't installed.
    """
    try:
        # Imported here since it takes a second to load and only drawing needs
        # it.
        from matplotlib.figure import Figure  # noqa: PLC0415
    except ImportError as error:
        raise UserError("drawing needs matplotlib (extra: plots)") from error
    sums = sum_phases(late)
    figure = Figure(figsize=(9, 1 + 0.4 * max(1, len(sums))))
    axes = figure.add_subplot()
    names = list(sums)[::-1]
    least = [sums[name][2] for name in names]
    over = [sums[name][1] - sums[name][2] for name in names]
    axes.barh(names, least, color="tab:gray", label="least possible")
    axes.barh(names, over, left=least, color="tab:red", label="over")
    axes.set_xlabel("seconds of late jobs")
    axes.legend()
    figure.tight_layout()
    figure.savefig(file)
