"""Account for jobs that were late, phase by phase, from the logs.

A job's time runs from the first request of its caller to the answer that
shows it as completed. It is split along the chain of runs that ended last, so
that the phases of a job add up to its time. Beside each phase stands the least
that it could have taken; the rest is what a better decision might save. Waits
for stops have no least: room may be there before an urgent job comes.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

from hickorywing.errors import UserError
from hickorywing.jobstories import JobStory
from hickorywing.jobstories import Run
from hickorywing.jobstories import StoryReader
from hickorywing.logclocks import correct_clocks
from hickorywing.loglines import read_line
from hickorywing.policy.poolsearch import URGENT

__all__ = [
    "LateAccount",
    "LateJob",
    "Phase",
    "Tally",
    "account_late",
    "draw_late",
    "format_late",
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
STORING = "ended, not stored"
SHOWING = "stored, not shown"

# Declared run times are off by up to this factor, so a run that took longer
# met something else than its work.
LONG_FACTOR = 2.0
# Shorter phases of a job are left out of its line.
LEAST_SHOWN_S = 0.05


@dataclass(slots=True)
class Phase:
    """One span of a job's time, in seconds, and the least it could take."""

    name: str
    took_s: float
    least_s: float = 0.0


@dataclass(slots=True)
class LateJob:
    """A job that took longer than its objective.

    ``total_s`` counts to the end of the logs where the job was never shown
    as completed.
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
    """How many jobs of a kind were in time, late or never accepted."""

    in_time: int = 0
    late: int = 0
    refused: int = 0


@dataclass(slots=True)
class LateAccount:
    """The jobs that were late, the latest first, and how many weren't.

    ``tallies`` are by priority, and for urgent jobs by the zone of the entry
    that was asked first. Of jobs that were never accepted no line tells the
    priority. Jobs that were cancelled, that have occurrences or last, or that
    failed, are left out.
    """

    late: list[LateJob] = field(default_factory=list)
    tallies: dict[str, Tally] = field(default_factory=dict)


def account_late(texts: Iterable[str]) -> LateAccount:
    """Return the account of the jobs in logs."""
    lines = [line for line in map(read_line, texts) if line is not None]
    lines, _ = correct_clocks(lines)
    lines.sort(key=lambda line: line.at)
    reader = StoryReader()
    for line in lines:
        reader.take(line)
    account = LateAccount()
    for story in reader.stories.values():
        count_story(account, story, reader)
    account.late.sort(key=lambda job: -job.total_s)
    account.tallies = dict(sorted(account.tallies.items()))
    return account


def count_story(
    account: LateAccount, story: JobStory, reader: StoryReader
) -> None:
    """Take a job into the account."""
    if story.cancelled or story.standing:
        return
    if story.accepted_s is None:
        if story.refusals:
            tally = account.tallies.setdefault("never accepted", Tally())
            tally.refused += 1
        return
    names = [f"priority {story.priority}"]
    if story.priority == URGENT:
        names.append(f"urgent, {story.zone}")
    tallies = [account.tallies.setdefault(name, Tally()) for name in names]
    job = judge(story, reader)
    if job is not None:
        account.late.append(job)
    elif story.shown_s is None:
        return
    for tally in tallies:
        if job is None:
            tally.in_time += 1
        else:
            tally.late += 1


def judge(story: JobStory, reader: StoryReader) -> LateJob | None:
    """Return a job's account if it was late."""
    end_s = story.shown_s or reader.last_s
    chain = list(trace_chain(story))
    work_s = sum(estimate_work_s(run, reader) for run in chain if run.done)
    if not work_s and story.shown_s is not None:
        return None
    objective_s = story.stretch * work_s + story.latency_target_s
    total_s = end_s - story.first_seen_s
    if total_s <= objective_s:
        return None
    job = LateJob(
        story.job_id,
        story.priority,
        story.first_seen_s,
        total_s,
        objective_s,
        story.shown_s is not None,
    )
    job.phases = list(split_time(story, chain, end_s, reader))
    return job


def estimate_work_s(run: Run, reader: StoryReader) -> float:
    """Return what a run would take on sound, usual workers."""
    began_s = run.started_s or run.placed_s
    took_s = (run.ended_s or began_s) - began_s
    work_s = took_s / max(1.0, reader.paces.measure(run.workers))
    if run.estimate_s <= 0:
        return work_s
    return min(work_s, LONG_FACTOR * run.estimate_s)


def trace_chain(story: JobStory) -> Iterator[Run]:
    """Yield the runs that the job waited for, the last one first.

    Before a run came the last one of the same unit, or what ended last before
    the unit's turn had come.
    """
    known = [run for run in story.runs.values() if run.ended_s is not None]
    done = [run for run in known if run.done]
    if not done:
        yield from sorted(known, key=lambda run: -run.placed_s)[:1]
        return
    run = max(done, key=lambda item: item.ended_s)
    while True:
        yield run
        before = story.runs.get((run.step, run.first, run.number - 1))
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


def split_time(
    story: JobStory,
    chain: list[Run],
    end_s: float,
    reader: StoryReader,
) -> Iterator[Phase]:
    """Yield the phases of a job, which add up to its time."""
    at_s = story.accepted_s
    before_s = at_s - story.first_seen_s
    if story.refusals:
        reason = max(story.refusals, key=story.refusals.get)
        yield Phase(f"{REFUSED}: {reason}", before_s)
    else:
        yield Phase(ACCEPTING, before_s, before_s)
    for run in reversed(chain):
        yield from split_wait(story, at_s, run.placed_s, reader)
        at_s = max(at_s, run.placed_s)
        if run.done:
            started_s = min(run.started_s or at_s, run.ended_s)
            yield Phase(STARTING, started_s - at_s, started_s - at_s)
            ran_s = run.ended_s - started_s
            pace = max(1.0, reader.paces.measure(run.workers))
            work_s = min(estimate_work_s(run, reader), ran_s)
            slow_s = min((pace - 1) * work_s, ran_s - work_s)
            yield Phase(RUNNING, work_s, work_s)
            yield Phase(SLOW, slow_s)
            yield Phase(LONG, ran_s - work_s - slow_s)
        else:
            broke_s = min(run.broke_s or run.ended_s, run.ended_s)
            yield Phase(f"{LOST_RUN}: {run.cause}", broke_s - at_s)
            yield Phase(CLOSING, run.ended_s - broke_s)
        at_s = run.ended_s
    if story.stored_s is not None:
        stored_s = max(at_s, story.stored_s)
        yield Phase(STORING, stored_s - at_s)
        at_s = stored_s
        yield Phase(SHOWING, end_s - at_s)
    else:
        name = STORING if story.completed_s else "not completed"
        yield Phase(name, end_s - at_s)


def split_wait(
    story: JobStory,
    begin_s: float,
    end_s: float,
    reader: StoryReader,
) -> Iterator[Phase]:
    """Split a wait for a place by what kept it waiting."""
    if end_s <= begin_s:
        return
    stops = [at_s for at_s in story.claims if begin_s <= at_s <= end_s]
    asked_s = min(stops, default=end_s)
    for from_s, to_s, name in (
        (begin_s, asked_s, WAITING_ROOM),
        (asked_s, end_s, WAITING_STOPS),
    ):
        idle_s = measure_overlap(from_s, to_s, reader.undecided)
        yield Phase(NO_CONTROLLER, idle_s)
        yield Phase(name, max(0.0, to_s - from_s - idle_s))


def measure_overlap(
    begin_s: float, end_s: float, spans: list[tuple[float, float]]
) -> float:
    """Return for how long a time lies within any of the spans."""
    covered_s = 0.0
    reached_s = begin_s
    for from_s, to_s in sorted(spans):
        from_s, to_s = max(from_s, reached_s), min(to_s, end_s)
        if to_s > from_s:
            covered_s += to_s - from_s
            reached_s = to_s
    return covered_s


def sum_phases(late: Iterable[LateJob]) -> dict[str, tuple[int, float, float]]:
    """Return for each phase its jobs, seconds and least seconds.

    The phase with the most to gain comes first.
    """
    sums: dict[str, tuple[int, float, float]] = {}
    for job in late:
        of_job: dict[str, tuple[float, float]] = {}
        for phase in job.phases:
            took_s, least_s = of_job.get(phase.name, (0.0, 0.0))
            of_job[phase.name] = (
                took_s + phase.took_s,
                least_s + phase.least_s,
            )
        for name, (took_s, least_s) in of_job.items():
            if took_s < 0.005:
                continue
            jobs, all_s, all_least_s = sums.get(name, (0, 0.0, 0.0))
            sums[name] = (jobs + 1, all_s + took_s, all_least_s + least_s)
    order = sorted(sums.items(), key=lambda item: item[1][2] - item[1][1])
    return dict(order)


def format_late(account: LateAccount) -> list[str]:
    """Return the account as text: how many, by phase, then by job.

    Urgent jobs have phases of their own, as others may wait for them.
    """
    lines = [f"{'jobs':40} {'in time':>8} {'late':>8} {'refused':>8}"]
    lines.extend(
        f"{name:40} {tally.in_time:8} {tally.late:8} {tally.refused:8}"
        for name, tally in account.tallies.items()
    )
    urgent = [job for job in account.late if job.priority == URGENT]
    others = [job for job in account.late if job.priority != URGENT]
    for name, late in (("urgent", urgent), ("others", others)):
        lines.append("")
        lines.extend(format_phases(name, late))
    lines.append("")
    lines.extend(format_job(job) for job in urgent + others)
    return lines


def format_phases(name: str, late: list[LateJob]) -> list[str]:
    """Return the phases of late jobs and their sum as lines of text."""
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
    """Return a late job with its longer phases."""
    phases = ", ".join(
        f"{phase.name} {phase.took_s:.2f}"
        for phase in job.phases
        if phase.took_s >= LEAST_SHOWN_S
    )
    end = "" if job.completed else " (never shown as completed)"
    return (
        f"{job.job_id} priority {job.priority} took {job.total_s:.2f} s,"
        f" objective {job.objective_s:.2f} s{end}: {phases}"
    )


def draw_late(late: list[LateJob], file: Path) -> None:
    """Draw each phase with its least and the rest, as a PNG.

    Raises ``UserError`` if the library for it isn't there.
    """
    try:
        # Only this command needs the library, which takes a second to load.
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
