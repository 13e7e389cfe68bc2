"""Learn which workers are slower than others, from tasks of the same step.

Answers pools of workers of different speed, or with some that turn slow. An
urgent gang runs at the pace of its slowest member, and its objective leaves
little more than half of its work for waiting, so a gang that has to wait for
stops as well is late on a slow worker. Declared run times are too far off to
tell a worker's speed; tasks of one step ask for about the same work, so the
paces of its tasks are compared with each other.
"""

from collections import OrderedDict
from dataclasses import dataclass
import math

from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolruns import Member

__all__ = ["WorkerPace", "is_comparable", "measure_pace"]

# A pace is taken once a task has got this far while it was watched.
LEAST_PACE_PERCENT = 15
LEAST_PACE_S = 1.0
# With fewer paces a step's mean says too little.
LEAST_TASKS = 3
# Tasks of a step differ, so one alone doesn't make a worker slow, and what is
# older than some tasks counts less and less.
LEAST_SEEN = 2
MOST_WEIGHT = 6
# About half of what slower models differ by; less is not worth a wait.
SLOW_LOG = math.log(1.12)
KEPT_STEPS = 200
# Workers up to this rank count as usual, also where most are slow.
USUAL_RANK = 1 / 3

StepKey = tuple[str, int, int]


def is_comparable(step: Step, rack: str) -> bool:
    """Tell whether a task's pace on a rack is that of its worker alone.

    A gang runs at the pace of its slowest member, and a task away from its
    data runs slower anywhere.
    """
    near = step.data_rack in ("", rack)
    return near and not step.gang and not step.filler and not step.lasting


def measure_pace(member: Member) -> float | None:
    """Return a member's seconds per cent of work, once it has got on."""
    if member.first_percent_at_s is None:
        return None
    percent = member.percent - member.first_percent
    seconds = member.percent_at_s - member.first_percent_at_s
    if percent < LEAST_PACE_PERCENT or seconds < LEAST_PACE_S:
        return None
    return seconds / percent


@dataclass(slots=True)
class Mean:
    """A mean of logarithms, and of how many."""

    value: float = 0.0
    count: int = 0

    def add(self, value: float, most_weight: float = float("inf")) -> None:
        """Take in a value; older ones keep a bounded weight."""
        self.count += 1
        self.value += (value - self.value) / min(self.count, most_weight)


class WorkerPace:
    """What is known of the workers' speeds during one term."""

    def __init__(self) -> None:
        self._steps: OrderedDict[StepKey, Mean] = OrderedDict()
        self._workers: dict[str, Mean] = {}
        self._usual: float | None = None

    def note(self, step: StepKey, worker: str, percent_s: float) -> None:
        """Take in the seconds that a task took for one per cent."""
        if percent_s <= 0:
            return
        pace = math.log(percent_s)
        mean = self._steps.setdefault(step, Mean())
        self._steps.move_to_end(step)
        if len(self._steps) > KEPT_STEPS:
            self._steps.popitem(last=False)
        known = self._workers.setdefault(worker, Mean())
        if mean.count >= LEAST_TASKS:
            known.add(pace - mean.value, MOST_WEIGHT)
            self._usual = None
        # What a slow worker adds is not the step's.
        mean.add(pace - known.value)

    def forget(self, worker: str) -> None:
        """Drop what is known of a worker that is gone."""
        self._workers.pop(worker, None)
        self._usual = None

    def is_slow(self, worker: str) -> bool:
        """Tell whether a worker is clearly slower than the usual one."""
        known = self._workers.get(worker)
        if known is None or known.count < LEAST_SEEN:
            return False
        if self._usual is None:
            self._usual = self._find_usual()
        return known.value - self._usual > SLOW_LOG

    def _find_usual(self) -> float:
        """Return the logarithm of the usual worker's slowness."""
        values = sorted(
            known.value
            for known in self._workers.values()
            if known.count >= LEAST_SEEN
        )
        return values[int(len(values) * USUAL_RANK)] if values else 0.0
