"""Follow the runs of a job's tasks from placement to their end.

A *unit* is what is placed and ends as a whole: all tasks of a gang step, or
one task of any other step. Each start of a unit has a run number, which rises.
A run is *closed* when none of its members can run any more: an end was
listed, a stop was confirmed, the worker's incarnation is over, or every lease
that the worker could hold has lapsed. Only a closed unit is placed again.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import enum

from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolmodel import Step

__all__ = [
    "FINAL",
    "Ending",
    "JobState",
    "JobStatus",
    "Member",
    "TaskName",
    "Unit",
    "format_task",
    "measure_left_s",
    "parse_task",
]


class Ending(enum.StrEnum):
    """How a member's part in a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"
    REJECTED = "rejected"


class JobStatus(enum.StrEnum):
    """The status of a job as callers see it."""

    PENDING = "pending"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


# A job's tasks keep off a worker on which one of them failed for this long.
# Workers that fail all they start do so for several seconds, and would use up
# the attempts of a whole job within one.
AVOID_S = 8.0

# How a member ends whose own end was not heard.
GIVEN_UP = frozenset({Ending.LAPSED, Ending.LOST})

FINAL = frozenset({JobStatus.COMPLETED, JobStatus.FAILED, JobStatus.CANCELLED})


@dataclass(frozen=True, slots=True, order=True)
class TaskName:
    """The name of one task."""

    job_id: str
    occurrence: int
    step: int
    index: int


def format_task(task: TaskName) -> str:
    """Return a task's name as text: job, occurrence, step and index."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> TaskName | None:
    """Return the task that a text names, if it names one."""
    parts = text.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskName(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


@dataclass(slots=True)
class Member:
    """One task's part in the present run of its unit.

    ``worker`` is an incarnation. ``seen`` is set once the worker has said
    that the run is there; ``tries`` counts the start orders sent.
    ``stopped_ms`` is the worker's clock when it confirmed a stop, and
    ``percent`` the share of its work done at ``percent_at_s``. The first share
    that was seen is kept as well, as a run may begin from a save.
    """

    index: int
    worker: str
    ending: Ending | None = None
    seen: bool = False
    tries: int = 0
    stopped_ms: int | None = None
    percent: int = 0
    percent_at_s: float = 0.0
    first_percent: int = 0
    first_percent_at_s: float | None = None
    paced: bool = False

    def note_percent(self, percent: int, now_s: float) -> None:
        """Take in the share of work done, if it has changed."""
        if percent != self.percent:
            self.percent = percent
            self.percent_at_s = now_s
            if self.first_percent_at_s is None:
                self.first_percent = percent
                self.first_percent_at_s = now_s


@dataclass(slots=True)
class Unit:
    """Tasks that are placed together, and their present run, if any.

    ``committed`` tells whether the place of the present run is stored; no
    start may be ordered before. ``failures`` counts the runs that failed. Of
    the present term, ``failed_runs`` names those that did, and
    ``given_up_runs`` those of which a member's end was not heard. ``stopping``
    names why the run is being closed although it has not ended by itself;
    ``stalls`` counts how often that was because it stood still.
    ``displaced_at_s`` is the moment at which it was told to give way to
    another unit.
    """

    job_id: str
    occurrence: int
    step: int
    first: int
    count: int
    run: int = 0
    failures: int = 0
    failed_runs: set[int] = field(default_factory=set)
    given_up_runs: set[int] = field(default_factory=set)
    done: bool = False
    saved: str = ""
    members: list[Member] = field(default_factory=list)
    committed: bool = False
    stopping: str = ""
    waiting_since_s: float = 0.0
    placed_at_s: float = 0.0
    displaced_at_s: float | None = None
    stalls: int = 0

    @property
    def key(self) -> tuple[str, int, int, int]:
        """Return what identifies the unit."""
        return (self.job_id, self.occurrence, self.step, self.first)

    @property
    def step_key(self) -> tuple[str, int, int]:
        """Return what identifies the step in its occurrence."""
        return (self.job_id, self.occurrence, self.step)

    @property
    def running(self) -> bool:
        """Tell whether a member may be at work."""
        return any(member.ending is None for member in self.members)

    def open_members(self) -> Iterator[Member]:
        """Return the members that may be at work."""
        return (item for item in self.members if item.ending is None)

    def find(self, index: int) -> Member | None:
        """Return the member for a task's index in the present run."""
        for member in self.members:
            if member.index == index:
                return member
        return None

    def task(self, member: Member) -> TaskName:
        """Return the name of a member's task."""
        return TaskName(self.job_id, self.occurrence, self.step, member.index)

    def place(self, workers: list[str], now_s: float) -> None:
        """Begin a new run on the given workers, one for each task."""
        self.run += 1
        self.members = [
            Member(self.first + offset, worker)
            for offset, worker in enumerate(workers)
        ]
        self.committed = False
        self.stopping = ""
        self.displaced_at_s = None
        self.placed_at_s = now_s

    def end(self, member: Member, ending: Ending, saved: str = "") -> None:
        """Note how a member ended, and what that means for the unit.

        One member of a gang that is done stands for all. The first failure
        counts as one attempt of the whole unit.
        """
        if member.ending is not None:
            return
        member.ending = ending
        if saved:
            self.saved = saved
        if ending is Ending.DONE:
            self.done = True
            for other in self.open_members():
                other.ending = Ending.DONE
        elif ending is Ending.FAILED and not self.done:
            self.count_failure(self.run)
        elif ending in GIVEN_UP:
            self.given_up_runs.add(self.run)
        if self.count > 1 and not self.done and self.running:
            self.stopping = self.stopping or f"member {ending}"

    def count_failure(self, run: int) -> bool:
        """Count a failed run as an attempt; tell whether it was not before.

        Several members may fail in one run, and the end of one that was given
        up may be listed during a later run.
        """
        if run in self.failed_runs:
            return False
        self.failed_runs.add(run)
        self.failures += 1
        return True


class JobState:
    """One accepted job and the state of all its units."""

    def __init__(self, job: PoolJob, accepted: int, seen_s: float) -> None:
        self.job = job
        self.accepted = accepted
        self.seen_s = seen_s
        self.status = JobStatus.PENDING
        self.cancelled = False
        self.finished: set[int] = set()
        self.units: dict[tuple[int, int, int], Unit] = {}
        self._failed_on: dict[str, float] = {}
        if job.occurrences == 0:
            self.open_occurrence(0, seen_s)

    @property
    def final(self) -> bool:
        """Tell whether the status can't change any more."""
        return self.status in FINAL

    def note_failed(self, worker: str, now_s: float) -> None:
        """Take in that one of the job's tasks failed on a worker."""
        self._failed_on[worker] = now_s

    def list_failed_on(self, now_s: float) -> frozenset[str]:
        """Return the workers on which the job has failed of late."""
        return frozenset(
            worker
            for worker, at_s in self._failed_on.items()
            if now_s - at_s < AVOID_S
        )

    def open_occurrence(self, occurrence: int, now_s: float) -> None:
        """Make the units of one occurrence."""
        for number, step in enumerate(self.job.steps):
            for first, count in split_step(step):
                key = (occurrence, number, first)
                if key not in self.units:
                    self.units[key] = Unit(
                        self.job.job_id,
                        occurrence,
                        number,
                        first,
                        count,
                        waiting_since_s=now_s,
                    )

    def open_due_occurrences(self, unix_s: float, now_s: float) -> None:
        """Make the units of all occurrences whose time has come."""
        job = self.job
        for occurrence in range(job.occurrences):
            due_s = job.first_due_s + occurrence * job.interval_s
            if due_s > unix_s:
                return
            known = (occurrence, 0, 0) in self.units
            if not known and occurrence not in self.finished:
                self.open_occurrence(occurrence, now_s)

    def step_done(self, occurrence: int, number: int) -> bool:
        """Tell whether all tasks of a step are done."""
        return all(
            unit.done
            for (of, step, _), unit in self.units.items()
            if of == occurrence and step == number
        )

    def ready_units(self) -> Iterator[Unit]:
        """Return the units whose turn has come and that are not placed."""
        if self.final or self.cancelled:
            return
        ready: dict[tuple[int, int], bool] = {}
        for (occurrence, number, _), unit in self.units.items():
            if unit.done or unit.running:
                continue
            key = (occurrence, number)
            if key not in ready:
                ready[key] = all(
                    self.step_done(occurrence, earlier)
                    for earlier in self.job.steps[number].after
                )
            if ready[key]:
                yield unit

    def running_units(self) -> Iterator[Unit]:
        """Return the units with a member that may be at work."""
        return (unit for unit in self.units.values() if unit.running)

    def find_unit(self, task: TaskName) -> Unit | None:
        """Return the unit that a task belongs to."""
        if task.step >= len(self.job.steps):
            return None
        gang = self.job.steps[task.step].gang
        first = 0 if gang else task.index
        return self.units.get((task.occurrence, task.step, first))

    def update_status(self) -> bool:
        """Work out the status anew; tell whether it has changed."""
        before = self.status
        if not self.final:
            self.status = self._work_out_status()
        return self.status is not before

    def _work_out_status(self) -> JobStatus:
        if self.cancelled:
            return JobStatus.CANCELLED
        if self._is_exhausted():
            return JobStatus.FAILED
        self._close_occurrences()
        if self._is_complete():
            return JobStatus.COMPLETED
        begun = any(unit.run for unit in self.units.values())
        if begun or self.finished:
            return JobStatus.ACTIVE
        return JobStatus.PENDING

    def _is_exhausted(self) -> bool:
        attempts = self.job.terms.attempts
        return any(
            unit.failures >= attempts
            for unit in self.units.values()
            if not unit.done and not self.job.steps[unit.step].lasting
        )

    def _close_occurrences(self) -> None:
        """Drop the units of finished occurrences of a job with times."""
        if self.job.occurrences == 0:
            return
        for occurrence in {key[0] for key in self.units}:
            keys = [key for key in self.units if key[0] == occurrence]
            if all(self.units[key].done for key in keys):
                self.finished.add(occurrence)
                for key in keys:
                    del self.units[key]

    def _is_complete(self) -> bool:
        if self.job.occurrences:
            return len(self.finished) == self.job.occurrences
        return all(unit.done for unit in self.units.values())


def measure_left_s(state: JobState, now_s: float) -> float:
    """Return the time in which a job should be shown as completed.

    Declared times stand for the work. It is infinite for jobs of several
    steps or occurrences, and for those that last.
    """
    job = state.job
    if len(job.steps) != 1 or job.is_standing():
        return float("inf")
    terms = job.terms
    due_s = terms.stretch * job.steps[0].estimate_s + terms.latency_target_s
    return state.seen_s + due_s - now_s


def split_step(step: Step) -> Iterator[tuple[int, int]]:
    """Return the first index and the number of tasks of each unit."""
    if step.gang:
        yield 0, step.count
    else:
        for index in range(step.count):
            yield index, 1
