"""Estimate which workers are slower than others, by comparing their tasks.

The workers of a pool may differ in speed, and some become slow later. An
urgent gang ends with its slowest member, and its objective leaves little more
than half of its run time for waiting, so a gang that waits for preemption and
then runs on a slow worker misses it. Declared run times are too inaccurate to
tell a worker's speed, so tasks are compared with each other. The members of a
gang have equal work and each progresses at the speed of its own worker: a
single gang shows which of its workers are slow. Other tasks of a step differ
in work, so several of them are needed.

A worker's pace is the time that it takes for one per cent of a task. Its
slowness is the logarithm of its pace relative to that of a usual worker: 0 is
usual, and positive values are slower.
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
    "get_group_key",
    "measure_pace",
    "shows_worker_speed",
]

# A task's pace is measured once it has progressed by this much, over at least
# this time, since its first report.
MIN_PACE_PERCENT = 15
MIN_PACE_S = 1.0
# Weight of one task's pace, relative to a task of a group with equal work.
EQUAL_WEIGHT = 1.0
UNEQUAL_WEIGHT = 0.3
# Weight of the prior assumption that a worker has usual speed. It also relates
# workers that no common group compares.
PRIOR_WEIGHT = 0.1
# A worker whose data weighs less than this counts as usual.
MIN_KNOWN_WEIGHT = 0.6
# Weight of the slowness that an earlier controller found, relative to a task
# of a group with equal work.
RESTORED_WEIGHT = 0.6
# Groups with fewer workers are not used: they compare nothing or, with tasks
# of unequal work, too little.
MIN_EQUAL_WORKERS = 2
MIN_UNEQUAL_WORKERS = 3
# Older data fades: a mean is over about this many tasks of a worker in a
# group, and a worker's slowness is computed from its last groups.
MAX_TASKS = 6
MAX_GROUPS_PER_WORKER = 8
# Slowness from which a worker counts as slow: about half of the difference
# between slower and usual models. Avoiding less is not worth a wait.
MIN_SLOWNESS = math.log(1.12)
# Limits a single measurement, and with it the time for which a worker that
# stalled for a while counts as slow.
MAX_SLOWNESS = 0.7
MAX_GROUPS = 400
# The usual speed is this quantile of the workers, fastest first. It is below
# one half, so that it is not a slow worker's even if half of them are slow.
BASELINE_QUANTILE = 0.4
# Limits of the work in one update; the remaining groups are processed in the
# next one. A change of a worker's slowness by at most the tolerance does not
# cause an update of its other groups.
MAX_ROUNDS = 8
MAX_UPDATED_GROUPS = 400
TOLERANCE = 0.01

GroupKey = tuple[str | int, ...]


def shows_worker_speed(step: Step, rack: str) -> bool:
    """Return whether a task's pace on a rack shows the speed of its worker.

    It does not for a task away from its data, which is slower on any worker,
    for a lasting step, which has no progress, and for a filler, whose pace
    depends on the other tasks on its worker.
    """
    is_at_data = step.data_rack in ("", rack)
    return is_at_data and not step.filler and not step.lasting


def get_group_key(unit: Unit, step: Step) -> GroupKey:
    """Return the key of the group in which a unit's tasks are compared.

    Each run of a gang is a separate group, as runs may resume from different
    checkpoints and be spread over other racks.
    """
    return (*unit.step_key, unit.run) if step.gang else unit.step_key


def measure_pace(member: Member) -> float | None:
    """Return a member's pace in seconds per cent of its work.

    ``None`` means that it has not progressed far enough to tell.
    """
    if member.first_percent_at_s is None:
        return None
    percent = member.percent - member.first_percent
    seconds = member.percent_at_s - member.first_percent_at_s
    if percent < MIN_PACE_PERCENT or seconds < MIN_PACE_S:
        return None
    return seconds / percent


@dataclass(slots=True)
class RunningMean:
    """A running mean of the logarithms of paces, and their number."""

    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Add a value with a weight of at least ``1 / MAX_TASKS``."""
        self.count += 1
        self.value += (value - self.value) / min(self.count, MAX_TASKS)


@dataclass(slots=True)
class ComparedGroup:
    """The paces of comparable tasks on each worker, as logarithms.

    ``equal`` is whether the tasks have equal work. ``base`` is the estimated
    logarithm of the pace on a worker of usual speed.
    """

    equal: bool
    paces: dict[str, RunningMean] = field(default_factory=dict)
    base: float = 0.0

    def has_enough_workers(self) -> bool:
        """Return whether the group has enough workers to be compared."""
        minimum = MIN_EQUAL_WORKERS if self.equal else MIN_UNEQUAL_WORKERS
        return len(self.paces) >= minimum

    def get_weight(self, worker: str) -> float:
        """Return the weight of the group's data on a worker."""
        if self.equal:
            return EQUAL_WEIGHT
        return UNEQUAL_WEIGHT * min(self.paces[worker].count, MAX_TASKS)

    def update_base(self, slowness: Mapping[str, float]) -> None:
        """Recompute the base from the known slowness of the workers.

        If none is known, the base is a quantile of the workers' paces.
        """
        total = weights = 0.0
        for worker, mean in self.paces.items():
            if worker in slowness:
                weight = self.get_weight(worker)
                total += weight * (mean.value - slowness[worker])
                weights += weight
        if weights:
            self.base = total / weights
            return
        values = sorted(mean.value for mean in self.paces.values())
        self.base = values[int((len(values) - 1) * BASELINE_QUANTILE)]

    def measure(self, worker: str) -> float:
        """Return the slowness of a worker in this group, within limits."""
        slowness = self.paces[worker].value - self.base
        return max(-MAX_SLOWNESS, min(MAX_SLOWNESS, slowness))


class WorkerPace:
    """The estimated speeds of a pool's workers during one term."""

    def __init__(self) -> None:
        self._groups: OrderedDict[GroupKey, ComparedGroup] = OrderedDict()
        self._groups_by_worker: dict[str, deque[GroupKey]] = {}
        self._slowness: dict[str, float] = {}
        # Slowness found by an earlier controller.
        self._restored: dict[str, float] = {}
        # Workers with enough data.
        self._known: set[str] = set()
        # Keys of groups to process in the next update, in order.
        self._changed: dict[GroupKey, None] = {}

    def record_pace(
        self,
        key: GroupKey,
        worker: str,
        percent_s: float,
        equal: bool = False,
    ) -> None:
        """Record the pace of a task, in seconds per cent of its work.

        ``equal`` is whether the tasks of the group have equal work. Paces that
        are not positive are ignored.
        """
        if percent_s <= 0:
            return
        group = self._groups.setdefault(key, ComparedGroup(equal))
        self._groups.move_to_end(key)
        if len(self._groups) > MAX_GROUPS:
            self._drop_group(next(iter(self._groups)))
        group.paces.setdefault(worker, RunningMean()).add(math.log(percent_s))
        keys = self._groups_by_worker.setdefault(worker, deque())
        if key not in keys:
            keys.append(key)
            if len(keys) > MAX_GROUPS_PER_WORKER:
                self._remove_from_group(keys.popleft(), worker)
        self._changed[key] = None

    def restore(self, slowdowns: Mapping[str, float]) -> None:
        """Adopt the slow workers that an earlier controller found.

        ``slowdowns`` has the results of its ``get_slowdown``; values that are
        not above 1 are ignored.
        """
        for worker, slowdown in slowdowns.items():
            if slowdown > 1.0:
                slowness = min(MAX_SLOWNESS, math.log(slowdown))
                self._restored[worker] = slowness
                self._slowness[worker] = slowness
                self._known.add(worker)

    def forget(self, worker: str) -> None:
        """Drop all data on a worker that is gone."""
        for key in self._groups_by_worker.pop(worker, ()):
            self._remove_from_group(key, worker)
        self._slowness.pop(worker, None)
        self._restored.pop(worker, None)
        self._known.discard(worker)

    def is_slow(self, worker: str) -> bool:
        """Return whether a worker is clearly slower than usual."""
        return math.log(self.get_slowdown(worker)) > MIN_SLOWNESS

    def get_slowdown(self, worker: str) -> float:
        """Return the factor by which work takes longer on a worker.

        It is 1 for a worker of usual speed or without enough data.
        """
        self._update_estimates()
        if worker not in self._known:
            return 1.0
        return math.exp(self._slowness[worker])

    def _drop_group(self, key: GroupKey) -> None:
        for worker in self._groups.pop(key).paces:
            self._groups_by_worker[worker].remove(key)
        self._changed.pop(key, None)

    def _remove_from_group(self, key: GroupKey, worker: str) -> None:
        group = self._groups[key]
        del group.paces[worker]
        if not group.paces:
            del self._groups[key]
            self._changed.pop(key, None)

    def _update_estimates(self) -> None:
        """Recompute the workers' slowness from the groups that have changed.

        A worker whose slowness changes also changes the bases of its other
        groups, so the update repeats until it converges or reaches a limit.
        """
        if not self._changed:
            return
        left = MAX_UPDATED_GROUPS
        for _ in range(MAX_ROUNDS):
            keys = list(self._changed)[:left]
            left -= len(keys)
            for key in keys:
                del self._changed[key]
                group = self._groups[key]
                if group.has_enough_workers():
                    group.update_base(self._slowness)
                    for worker in group.paces:
                        self._update_worker(worker)
        self._normalize()

    def _update_worker(self, worker: str) -> None:
        """Recompute a worker's slowness from all its groups."""
        total, weights = 0.0, PRIOR_WEIGHT
        if worker in self._restored:
            total += RESTORED_WEIGHT * self._restored[worker]
            weights += RESTORED_WEIGHT
        for key in self._groups_by_worker[worker]:
            group = self._groups[key]
            if group.has_enough_workers():
                weight = group.get_weight(worker)
                total += weight * group.measure(worker)
                weights += weight
        previous = self._slowness.get(worker)
        self._slowness[worker] = total / weights
        if previous is None or abs(previous - total / weights) > TOLERANCE:
            self._changed.update(dict.fromkeys(self._groups_by_worker[worker]))

    def _sum_weights(self, worker: str) -> float:
        """Return the total weight of the data on a worker."""
        keys = self._groups_by_worker.get(worker, ())
        groups = (self._groups[key] for key in keys)
        weight = RESTORED_WEIGHT if worker in self._restored else 0.0
        return weight + sum(
            item.get_weight(worker)
            for item in groups
            if item.has_enough_workers()
        )

    def _normalize(self) -> None:
        """Shift all values so that the usual worker's slowness is 0."""
        self._known = {
            worker
            for worker in self._slowness
            if self._sum_weights(worker) >= MIN_KNOWN_WEIGHT
        }
        # Restored workers don't count without data of their own: an earlier
        # controller stores only the slow ones.
        values = sorted(
            self._slowness[worker]
            for worker in self._known
            if worker in self._groups_by_worker
        )
        usual = values[int(len(values) * BASELINE_QUANTILE)] if values else 0.0
        for worker in self._slowness:
            self._slowness[worker] -= usual
        for group in self._groups.values():
            group.base += usual
