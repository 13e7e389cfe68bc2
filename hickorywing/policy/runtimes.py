"""Learn from finished runs how long a task is going to run.

Declared run times may be wrong by a large factor, while tasks of the same
queue, of the same kind of step and above all of the same step are often
alike. Each of these is a *source* that forecasts a task's work, that is, its
run time on a worker of usual speed. The error of each source is measured at
every finished run, and the forecasts are averaged with weights that fall with
the error. So a queue whose customers declare run times well is served by
these, and one whose tasks are alike by its history.

The forecasts choose only between placements, orders and victims that are all
allowed; no rule, limit or guarantee depends on them.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import enum
from functools import lru_cache
import hashlib
import math
import statistics

from hickorywing.policy.logsketch import find_bin
from hickorywing.policy.logsketch import LogSketch
from hickorywing.policy.logsketch import PendingValues
from hickorywing.policy.poolmodel import Step

__all__ = [
    "ExpectedRunTime",
    "QueueRunTimes",
    "RunTimes",
    "RunningWork",
    "Source",
    "SourceError",
    "StepKey",
    "StepKind",
]

# How fast earlier runs fade: the median is over about 20 steps of a kind, and
# the tail over about 300 of a queue.
FADING = 0.95
TAIL_FADING = 0.997
# The share of tasks that take no longer than ``late_s``.
LATE_SHARE = 0.9
# The errors assumed before any is measured have the weight of this many steps;
# the mean is over about MAX_ERROR_STEPS. An error is the mean of the logarithm
# of the factor by which a forecast is wrong.
PRIOR_ERROR_STEPS = 2
MAX_ERROR_STEPS = 20
# A single run counts at most as wrong by this factor, as tasks that take many
# times as long say little about the others.
MAX_ERROR = math.log(10)
MIN_ERROR = 0.02
# The weight of a source is its error to this power. It is above 2, the best
# value for independent errors, since the errors of the sources are related.
ERROR_POWER = -3
# Values of work over forecast that are assumed before any is measured.
PRIOR_DEVIATIONS = (0.6, 1.0, 2.0)
# What is kept at most: steps with their last finished tasks, and kinds.
MAX_STEPS = 1_000
MAX_STEP_TASKS = 15
MAX_KINDS = 300
MAX_QUEUES = 100
MAX_DIGESTS = 1_000
# Work beyond these limits, in seconds, counts as the limit.
MIN_WORK_S = 0.01
MAX_WORK_S = 1e7

StepKey = tuple[str, int]
"""The job and the number of a step; occurrences of a job share it."""


class Source(enum.StrEnum):
    """What a forecast is based on."""

    DECLARED = "declared"
    QUEUE = "queue"
    KIND = "kind"
    STEP = "step"


INITIAL_ERRORS = {
    Source.DECLARED: 0.5,
    Source.QUEUE: 0.6,
    Source.KIND: 0.5,
    Source.STEP: 0.25,
}


@dataclass(frozen=True, slots=True)
class ExpectedRunTime:
    """The expected run time of a task on a worker of usual speed, in seconds.

    One task in ten takes longer than ``late_s``. ``known`` is whether the
    values come from finished runs; otherwise they are the declared run time.
    """

    typical_s: float
    late_s: float
    known: bool = False


@dataclass(frozen=True, slots=True)
class StepKind:
    """What is known of a step when it comes, except its declared run time."""

    queue: str
    customer: str
    resources: tuple[int, int, int] = (0, 0, 0)
    image: str = ""

    @classmethod
    def of(cls, queue: str, customer: str, step: Step) -> "StepKind":
        """Return the kind of a step."""
        need = step.resources
        return cls(
            queue,
            customer,
            (need.cores_milli, need.memory_mb, need.accelerators),
            step.image,
        )

    @property
    def digest(self) -> str:
        """Return a short name of the kind, for rows."""
        return compute_digest(self)


@lru_cache(MAX_DIGESTS)
def compute_digest(kind: StepKind) -> str:
    """Return the digest of a kind of step."""
    text = repr((kind.queue, kind.customer, kind.resources, kind.image))
    return hashlib.blake2s(text.encode(), digest_size=8).hexdigest()


@dataclass(frozen=True, slots=True)
class RunningWork:
    """The work that a running task has done so far, and all of its work.

    Both are in seconds on a worker of usual speed; ``total_s`` is
    extrapolated from the progress, ``None`` if that shows too little.
    """

    kind: StepKind
    step_key: StepKey
    done_s: float
    total_s: float | None = None


@dataclass(slots=True)
class SourceError:
    """The mean error of a source, over a number of steps."""

    value: float
    steps: float = PRIOR_ERROR_STEPS

    def add(self, error: float, weight: float) -> None:
        """Add the error of one forecast."""
        self.steps = min(self.steps + weight, MAX_ERROR_STEPS)
        error = min(error, MAX_ERROR)
        self.value += (error - self.value) * weight / self.steps


def make_errors() -> dict[Source, SourceError]:
    """Return the errors that are assumed before any is measured."""
    return {key: SourceError(value) for key, value in INITIAL_ERRORS.items()}


@dataclass(slots=True)
class QueueRunTimes:
    """What the finished runs of a queue show.

    ``works`` has their work and ``ratios`` their work over the declared run
    time. ``deviations`` has work over forecast and keeps the tail.
    """

    works: LogSketch = field(default_factory=lambda: LogSketch(FADING))
    ratios: LogSketch = field(default_factory=lambda: LogSketch(FADING))
    deviations: LogSketch = field(
        default_factory=lambda: LogSketch(
            TAIL_FADING, ((find_bin(item), 1.0) for item in PRIOR_DEVIATIONS)
        )
    )
    errors: dict[Source, SourceError] = field(default_factory=make_errors)


@dataclass(slots=True)
class StepWorks:
    """The number of a step's finished tasks, and the work of the last ones."""

    count: int = 0
    last: list[float] = field(default_factory=list)

    @property
    def next_weight(self) -> float:
        """Return the weight of the next task that finishes."""
        return weigh_task(self.count + 1)

    def add(self, work_s: float) -> None:
        """Add the work of a finished task."""
        self.count += 1
        self.last.append(work_s)
        del self.last[:-MAX_STEP_TASKS]


def weigh_task(number: int) -> float:
    """Return the weight of a step's finished task, counted from 1."""
    return 1 / number**2


class RunTimes:
    """The expected run times of a pool's tasks.

    ``kinds`` has the work of each kind's finished runs by the kind's digest,
    ``queues`` that of each queue. Both are ordered by their last use.
    """

    def __init__(self) -> None:
        self.kinds: OrderedDict[str, LogSketch] = OrderedDict()
        self.queues: OrderedDict[str, QueueRunTimes] = OrderedDict()
        self._steps: OrderedDict[StepKey, StepWorks] = OrderedDict()
        # The work of runs that have not ended, by queue or kind and by step.
        self._running: dict[str, PendingValues] = {}
        self._running_steps: dict[StepKey, list[float]] = {}
        # Medians by queue or kind, until they change.
        self._medians: dict[str, float] = {}

    def observe(
        self,
        kind: StepKind,
        step_key: StepKey,
        declared_s: float,
        work_s: float,
    ) -> ExpectedRunTime | None:
        """Learn from a finished run; return what was expected before.

        The tasks of one step are alike, so all later ones together have less
        weight than the first one. Work that isn't positive is ignored.
        """
        if not work_s > 0:
            return None
        work_s = min(MAX_WORK_S, max(MIN_WORK_S, work_s))
        expected = self.expect(kind, step_key, declared_s)
        queue = self.queues.setdefault(kind.queue, QueueRunTimes())
        works = self.kinds.setdefault(kind.digest, LogSketch(FADING))
        siblings = self._steps.setdefault(step_key, StepWorks())
        weight = siblings.next_weight
        for source, forecast_s in self._forecast(
            kind, step_key, declared_s
        ).items():
            error = abs(math.log(work_s / forecast_s))
            # Only a step's second task can show how alike its tasks are.
            is_first = source is Source.STEP and siblings.count == 1
            queue.errors[source].add(error, 1.0 if is_first else weight)
        if expected.known:
            queue.deviations.add(work_s / expected.typical_s, weight)
        queue.works.add(work_s, weight)
        works.add(work_s, weight)
        if declared_s > 0:
            queue.ratios.add(work_s / declared_s, weight)
        siblings.add(work_s)
        self._medians.pop(kind.queue, None)
        self._medians.pop(kind.digest, None)
        self._limit(kind, step_key)
        return expected

    def set_running(self, works: Iterable[RunningWork]) -> None:
        """Take into account the runs that have not ended.

        Long runs end last, so the finished ones alone are too short on
        average while much is running.
        """
        counts: dict[StepKey, int] = {}
        running: dict[str, PendingValues] = {}
        steps: dict[StepKey, list[float]] = {}
        for item in works:
            key = item.step_key
            if key not in counts:
                siblings = self._steps.get(key)
                counts[key] = 0 if siblings is None else siblings.count
            counts[key] += 1
            weight = weigh_task(counts[key])
            if item.total_s is not None:
                steps.setdefault(key, []).append(item.total_s)
            for name in (item.kind.queue, item.kind.digest):
                values = running.setdefault(name, PendingValues())
                if item.total_s is None:
                    number = find_bin(max(MIN_WORK_S, item.done_s))
                    values.at_least[number] += weight
                else:
                    number = find_bin(max(MIN_WORK_S, item.total_s))
                    values.expected[number] += weight
        self._running, self._running_steps = running, steps
        self._medians.clear()

    def expect(
        self, kind: StepKind, step_key: StepKey, declared_s: float
    ) -> ExpectedRunTime:
        """Return the expected run time of a task that has not started.

        ``declared_s`` is 0 if no run time is declared.
        """
        forecasts = self._forecast(kind, step_key, declared_s)
        queue = self.queues.get(kind.queue)
        if queue is None or not forecasts:
            return ExpectedRunTime(declared_s, declared_s)
        step_s = forecasts.get(Source.STEP)
        total = weights = 0.0
        for source, forecast_s in forecasts.items():
            error = max(MIN_ERROR, queue.errors[source].value)
            count = self._count_values(source, kind, step_key)
            if count:
                # Few values show little, however small the error is.
                error *= math.sqrt(1 + 1 / count)
            if step_s is not None:
                # The step's own tasks show how wrong the others are about it.
                error = max(error, abs(math.log(step_s / forecast_s)))
            weight = error**ERROR_POWER
            total += weight * math.log(forecast_s)
            weights += weight
        typical_s = math.exp(total / weights)
        factor = queue.deviations.compute_quantile(LATE_SHARE)
        return ExpectedRunTime(typical_s, typical_s * max(1.0, factor), True)

    def estimate_left_s(
        self, queue: str, expected: ExpectedRunTime, done_s: float
    ) -> float:
        """Return the work that a task has left which has done some already.

        It is the median over those of the queue's tasks that had as much work
        compared with the expectation. A task that has taken longer than all
        of them is expected to take as long again.
        """
        if expected.typical_s <= 0:
            return float("inf")
        found = self.queues.get(queue)
        if found is None or done_s <= 0:
            return max(expected.typical_s - done_s, done_s)
        factor = found.deviations.compute_median_beyond(
            done_s / expected.typical_s
        )
        if factor is None:
            return done_s
        return max(0.0, factor * expected.typical_s - done_s)

    def describe_queues(self, limit: int) -> dict[str, tuple[float, float]]:
        """Return median and late work, in seconds, of the last used queues."""
        names = list(self.queues)[-limit:]
        return {
            name: (
                round(works.compute_quantile(0.5), 2),
                round(works.compute_quantile(LATE_SHARE), 2),
            )
            for name in names
            if (works := self.queues[name].works).weight
        }

    def _forecast(
        self, kind: StepKind, step_key: StepKey, declared_s: float
    ) -> dict[Source, float]:
        """Return the work in seconds that each source forecasts."""
        forecasts: dict[Source, float] = {}
        queue = self.queues.get(kind.queue)
        if declared_s > 0:
            ratio = 1.0
            if queue is not None and queue.ratios.weight:
                weight = queue.ratios.weight
                ratio = queue.ratios.compute_quantile(0.5)
                # The first few ratios count together with a ratio of 1.
                ratio **= weight / (weight + 1)
            forecasts[Source.DECLARED] = declared_s * ratio
        if queue is not None and queue.works.weight:
            forecasts[Source.QUEUE] = self._compute_median(
                kind.queue, queue.works
            )
        digest = kind.digest
        works = self.kinds.get(digest)
        if works is not None and works.weight:
            forecasts[Source.KIND] = self._compute_median(digest, works)
        if siblings := self._list_step_works(step_key):
            forecasts[Source.STEP] = statistics.median(siblings)
        return forecasts

    def _compute_median(self, name: str, works: LogSketch) -> float:
        """Return the median work of a queue or a kind."""
        median_s = self._medians.get(name)
        if median_s is None:
            median_s = works.compute_quantile(0.5, self._running.get(name))
            self._medians[name] = median_s
        return median_s

    def _list_step_works(self, step_key: StepKey) -> list[float]:
        """Return the work of a step's finished and extrapolated tasks."""
        running = self._running_steps.get(step_key, [])[:MAX_STEP_TASKS]
        finished = self._steps.get(step_key)
        return running if finished is None else finished.last + running

    def _count_values(
        self, source: Source, kind: StepKind, step_key: StepKey
    ) -> float:
        """Return how many values a source's forecast is based on."""
        if source is Source.QUEUE:
            return self.queues[kind.queue].works.weight
        if source is Source.KIND:
            return self.kinds[kind.digest].weight
        if source is Source.STEP:
            return len(self._list_step_works(step_key))
        return 0.0

    def _limit(self, kind: StepKind, step_key: StepKey) -> None:
        """Drop what was not used for longest, beyond the limits."""
        for table, key, limit in (
            (self.kinds, kind.digest, MAX_KINDS),
            (self.queues, kind.queue, MAX_QUEUES),
            (self._steps, step_key, MAX_STEPS),
        ):
            table.move_to_end(key)
            if len(table) > limit:
                table.popitem(last=False)
