"""Learn which workers are slower than others, from tasks of equal work.

Answers pools of workers of different speed, or with some that turn slow. An
urgent gang ends with its slowest member, and its objective leaves little more
than half of its work for waiting, so a gang that has to wait for stops as well
is late on a slow worker. Declared run times are too far off to tell a
worker's speed, so tasks are compared with each other. The members of a gang
have equal work and each gets on at the pace of its own worker: one gang tells
its workers apart. Other tasks of a step differ, so it takes several of these.
"""

from collections import deque
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import math

from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolruns import Member
from hickorywing.policy.poolruns import Unit

__all__ = [
    "GroupKey",
    "WorkerPace",
    "is_comparable",
    "measure_pace",
    "name_group",
]

# A pace is taken once a task has got this far while it was watched.
LEAST_PACE_PERCENT = 15
LEAST_PACE_S = 1.0
# What one task says of its worker, in tasks of equal work.
EQUAL_WEIGHT = 1.0
UNEQUAL_WEIGHT = 0.3
# What the assumption weighs that a worker is usual. It ties workers together
# that no task compares.
USUAL_WEIGHT = 0.1
# With less a worker counts as usual.
LEAST_WEIGHT = 0.6
# What an earlier controller has found weighs, in tasks of equal work.
EARLIER_WEIGHT = 0.6
# Groups with fewer workers compare nothing, or with unequal tasks too little.
LEAST_EQUAL = 2
LEAST_UNEQUAL = 3
# What is older than some tasks and groups counts no more.
MOST_TASKS = 6
MOST_GROUPS = 8
# About half of what slower models differ by; less is not worth a wait.
SLOW_LOG = math.log(1.12)
# Bounds how long a worker that stood still for a while counts as slow.
MOST_LOG = 0.7
KEPT_GROUPS = 400
# Workers up to this rank count as usual, also where half are slow.
USUAL_RANK = 0.4
# Bounds the work after each comparison; what is left is done with the next.
MOST_ROUNDS = 8
MOST_COMPARED = 400
TOLERANCE = 0.01

GroupKey = tuple[str | int, ...]


def is_comparable(step: Step, rack: str) -> bool:
    """Tell whether a task's pace on a rack is that of its worker.

    A task away from its data runs slower anywhere; what lasts has no pace,
    and what fills has that of its neighbours.
    """
    near = step.data_rack in ("", rack)
    return near and not step.filler and not step.lasting


def name_group(unit: Unit, step: Step) -> GroupKey:
    """Return what a unit's tasks are compared within.

    Runs of a gang may start from different saves and spread over other racks,
    so each is a group of its own.
    """
    return (*unit.step_key, unit.run) if step.gang else unit.step_key


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
    """A mean of logarithms of paces, and of how many."""

    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Take in a value; older ones keep a bounded weight."""
        self.count += 1
        self.value += (value - self.value) / min(self.count, MOST_TASKS)


@dataclass(slots=True)
class Group:
    """Tasks that are compared: the pace on each worker, as a logarithm.

    ``base`` is what the pace would be on a worker of slowness 0.
    """

    equal: bool
    paces: dict[str, Mean] = field(default_factory=dict)
    base: float = 0.0

    def compares(self) -> bool:
        """Tell whether there are enough workers."""
        least = LEAST_EQUAL if self.equal else LEAST_UNEQUAL
        return len(self.paces) >= least

    def weigh(self, worker: str) -> float:
        """Return how much the group says of a worker."""
        if self.equal:
            return EQUAL_WEIGHT
        return UNEQUAL_WEIGHT * min(self.paces[worker].count, MOST_TASKS)

    def rebase(self, slowness: Mapping[str, float]) -> None:
        """Work out the base from what is known of the workers.

        Where nothing is known of any, the faster ones count as usual.
        """
        total = weights = 0.0
        for worker, mean in self.paces.items():
            if worker in slowness:
                weight = self.weigh(worker)
                total += weight * (mean.value - slowness[worker])
                weights += weight
        if weights:
            self.base = total / weights
            return
        values = sorted(mean.value for mean in self.paces.values())
        self.base = values[int((len(values) - 1) * USUAL_RANK)]

    def measure(self, worker: str) -> float:
        """Return how much slower than the base a worker was."""
        slowness = self.paces[worker].value - self.base
        return max(-MOST_LOG, min(MOST_LOG, slowness))


class WorkerPace:
    """What is known of the workers' speeds during one term."""

    def __init__(self) -> None:
        self._groups: OrderedDict[GroupKey, Group] = OrderedDict()
        self._of_worker: dict[str, deque[GroupKey]] = {}
        self._slowness: dict[str, float] = {}
        # What an earlier controller has found.
        self._earlier: dict[str, float] = {}
        # Workers that enough is known of.
        self._known: set[str] = set()
        # Groups to compare anew, in order.
        self._changed: dict[GroupKey, None] = {}

    def note(
        self,
        key: GroupKey,
        worker: str,
        percent_s: float,
        equal: bool = False,
    ) -> None:
        """Take in the seconds that a task took for one per cent.

        ``equal`` tells that the tasks of the group have equal work.
        """
        if percent_s <= 0:
            return
        group = self._groups.setdefault(key, Group(equal))
        self._groups.move_to_end(key)
        if len(self._groups) > KEPT_GROUPS:
            self._drop_group(next(iter(self._groups)))
        group.paces.setdefault(worker, Mean()).add(math.log(percent_s))
        keys = self._of_worker.setdefault(worker, deque())
        if key not in keys:
            keys.append(key)
            if len(keys) > MOST_GROUPS:
                self._drop_pace(keys.popleft(), worker)
        self._changed[key] = None

    def restore(self, paces: Mapping[str, float]) -> None:
        """Take over which workers an earlier controller has found slow.

        Paces are as ``measure`` returns them; others than slow ones say
        nothing.
        """
        for worker, pace in paces.items():
            if pace > 1.0:
                slowness = min(MOST_LOG, math.log(pace))
                self._earlier[worker] = slowness
                self._slowness[worker] = slowness
                self._known.add(worker)

    def forget(self, worker: str) -> None:
        """Drop what is known of a worker that is gone."""
        for key in self._of_worker.pop(worker, ()):
            self._drop_pace(key, worker)
        self._slowness.pop(worker, None)
        self._earlier.pop(worker, None)
        self._known.discard(worker)

    def is_slow(self, worker: str) -> bool:
        """Tell whether a worker is clearly slower than the usual one."""
        return math.log(self.measure(worker)) > SLOW_LOG

    def measure(self, worker: str) -> float:
        """Return how many times as long as usual work takes on a worker."""
        self._compare()
        if worker not in self._known:
            return 1.0
        return math.exp(self._slowness[worker])

    def _drop_group(self, key: GroupKey) -> None:
        for worker in self._groups.pop(key).paces:
            self._of_worker[worker].remove(key)
        self._changed.pop(key, None)

    def _drop_pace(self, key: GroupKey, worker: str) -> None:
        group = self._groups[key]
        del group.paces[worker]
        if not group.paces:
            del self._groups[key]
            self._changed.pop(key, None)

    def _compare(self) -> None:
        """Work out the workers' slowness from the groups that have changed.

        A worker that is found slower or faster changes what its other groups
        say of their workers.
        """
        if not self._changed:
            return
        left = MOST_COMPARED
        for _ in range(MOST_ROUNDS):
            keys = list(self._changed)[:left]
            left -= len(keys)
            for key in keys:
                del self._changed[key]
                group = self._groups[key]
                if group.compares():
                    group.rebase(self._slowness)
                    for worker in group.paces:
                        self._update(worker)
        self._center()

    def _update(self, worker: str) -> None:
        """Work out a worker's slowness from all its groups."""
        total, weights = 0.0, USUAL_WEIGHT
        if worker in self._earlier:
            total += EARLIER_WEIGHT * self._earlier[worker]
            weights += EARLIER_WEIGHT
        for key in self._of_worker[worker]:
            group = self._groups[key]
            if group.compares():
                weight = group.weigh(worker)
                total += weight * group.measure(worker)
                weights += weight
        known = self._slowness.get(worker)
        self._slowness[worker] = total / weights
        if known is None or abs(known - total / weights) > TOLERANCE:
            self._changed.update(dict.fromkeys(self._of_worker[worker]))

    def _weigh(self, worker: str) -> float:
        """Return how much is known of a worker."""
        keys = self._of_worker.get(worker, ())
        groups = (self._groups[key] for key in keys)
        weight = EARLIER_WEIGHT if worker in self._earlier else 0.0
        return weight + sum(
            item.weigh(worker) for item in groups if item.compares()
        )

    def _center(self) -> None:
        """Have the usual worker's slowness be 0."""
        self._known = {
            worker
            for worker in self._slowness
            if self._weigh(worker) >= LEAST_WEIGHT
        }
        # An earlier controller names the slow ones only.
        values = sorted(
            self._slowness[worker]
            for worker in self._known
            if worker in self._of_worker
        )
        usual = values[int(len(values) * USUAL_RANK)] if values else 0.0
        for worker in self._slowness:
            self._slowness[worker] -= usual
        for group in self._groups.values():
            group.base += usual
