"""Estimate which workers are slower than others, by comparing their tasks.

The workers of a pool may differ in speed, and some become slow later. An
urgent gang ends with its slowest member, and its objective leaves little more
than half of its run time for waiting, so a gang that waits for preemption and
then runs on a slow worker misses it. Declared run times are too inaccurate to
tell a worker's speed, so tasks are compared with each other. The members of a
gang have equal work and each progresses at the speed of its own worker: a
single gang shows which of its workers are slow. Other tasks of a step differ
in work, so several of them are needed.

A worker's pace is the time that it takes for one per cent of a task. The
logarithm of a pace is the sum of the group's base, the pace of the group's
work at a reference speed, and of the worker's slowness. Both are estimated in
turn, one group and one worker at a time. Each of these steps lowers the same
convex function, the sum of the residuals (by Huber's loss, as single tasks may
stall) and of the squares of the slownesses, so the steps converge, in any
order and from any values. The reference never moves while they do: what is
usual is read from the estimates, and isn't subtracted from them.
"""

from collections import deque
from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Set
from dataclasses import dataclass
from dataclasses import field
import itertools
import math

from hickorywing.policy.poolmodel import get_vm
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
# Weight of the slowness that a VM's earlier worker or an earlier controller's
# data had, relative to a task of a group with equal work.
REMEMBERED_WEIGHT = 0.6
# VMs whose speed is remembered while they have no worker.
MAX_REMEMBERED_VMS = 1_000
# Groups with fewer workers are not used: they compare nothing or, with tasks
# of unequal work, too little.
MIN_EQUAL_WORKERS = 2
MIN_UNEQUAL_WORKERS = 3
# Older data fades: a mean is over about this many tasks of a worker in a
# group, and a worker's slowness is computed from its last groups.
MAX_TASKS = 6
MAX_GROUPS_PER_WORKER = 8
# Slowness from which a worker counts as slow: about half of the difference
# between slower and usual models. Avoiding less is not worth a wait. It counts
# as slow until its slowness is below the second value, up to which, in either
# direction, a worker is of usual speed.
MIN_SLOWNESS = math.log(1.12)
MAX_USUAL_SLOWNESS = math.log(1.06)
# Residual from which a pace's influence doesn't grow any more.
MAX_RESIDUAL = 0.25
# Limit of a stored slowness, which may come from a build with another one.
MAX_RESTORED_SLOWNESS = math.log(10.0)
MAX_GROUPS = 400
# The usual speed is this quantile of the workers, fastest first. It is below
# one half, so that it is not a slow worker's even if half of them are slow.
BASELINE_QUANTILE = 0.4
# Limit of the work in one update; the remaining groups are processed in the
# next one. A change of a worker's slowness by at most the tolerance does not
# cause an update of its other groups.
MAX_UPDATED_GROUPS = 400
TOLERANCE = 0.005

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


def compute_quantile(values: Iterable[float]) -> float:
    """Return the slowness or pace that counts as usual among ``values``."""
    ranked = sorted(values)
    return ranked[int((len(ranked) - 1) * BASELINE_QUANTILE)]


def improve_mean(
    current: float,
    values: Iterable[tuple[float, float]],
    prior_weight: float = 0.0,
) -> float:
    """Return a mean of weighted values, closer to the best one than before.

    Values far from ``current`` have less weight (one step of iteratively
    reweighted least squares). ``prior_weight`` is the weight of the value 0.
    """
    total, weights = 0.0, prior_weight
    for value, weight in values:
        residual = abs(value - current)
        if residual > MAX_RESIDUAL:
            weight *= MAX_RESIDUAL / residual
        total += weight * value
        weights += weight
    return total / weights if weights else current


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
    logarithm of the pace on a worker of slowness 0, ``None`` if unknown yet.
    """

    equal: bool
    paces: dict[str, RunningMean] = field(default_factory=dict)
    base: float | None = None

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
        """Improve the base by the estimated slowness of the workers.

        If none is known, the base is a quantile of the workers' paces.
        """
        values = [
            (mean.value - slowness[worker], self.get_weight(worker))
            for worker, mean in self.paces.items()
            if worker in slowness
        ]
        if not values:
            self.base = compute_quantile(
                mean.value for mean in self.paces.values()
            )
            return
        if self.base is None:
            self.base = compute_quantile(value for value, _ in values)
        self.base = improve_mean(self.base, values)

    def measure(self, worker: str) -> float:
        """Return the slowness that a worker shows in this group."""
        return self.paces[worker].value - (self.base or 0.0)


class WorkerPace:
    """The estimated speeds of a pool's workers during one term.

    A speed belongs to the worker's VM: it is remembered after the worker has
    gone and holds for the VM's next worker until that is measured.
    """

    def __init__(self) -> None:
        self._groups: OrderedDict[GroupKey, ComparedGroup] = OrderedDict()
        self._groups_by_worker: dict[str, deque[GroupKey]] = {}
        # Slowness relative to a fixed reference.
        self._slowness: dict[str, float] = {}
        # The same by VM, of earlier workers and from earlier controllers.
        self._remembered: OrderedDict[str, float] = OrderedDict()
        # Number of workers whose speeds an earlier controller stored.
        self._restored_count = 0
        # Slowness relative to a usual worker, of those with enough data.
        self._known: dict[str, float] = {}
        # Slowness of a usual worker of most of the pool.
        self._usual = 0.0
        self._slow: set[str] = set()
        # Keys of groups to process in the next update, in order.
        self._changed: dict[GroupKey, None] = {}
        self._is_current = True

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
                self._drop_oldest(worker, keys)
        self._changed[key] = None
        self._is_current = False

    def restore(self, slowdowns: Mapping[str, float]) -> None:
        """Adopt the workers' speeds that an earlier controller stored.

        ``slowdowns`` has the result of its ``list_uneven``; values that are
        not positive numbers are ignored.
        """
        for worker, slowdown in slowdowns.items():
            if slowdown > 0.0:
                slowness = max(
                    -MAX_RESTORED_SLOWNESS,
                    min(MAX_RESTORED_SLOWNESS, math.log(slowdown)),
                )
                self._remember(worker, self._usual + slowness)
        self._restored_count = len(slowdowns)
        self._is_current = False

    def forget(self, worker: str) -> None:
        """Drop the data on a worker that is gone, but for its VM's speed."""
        self._update_estimates()
        if worker in self._known:
            self._remember(worker, self._slowness[worker])
        for key in self._groups_by_worker.pop(worker, ()):
            self._remove_from_group(key, worker)
        self._slowness.pop(worker, None)
        self._known.pop(worker, None)
        self._slow.discard(worker)

    def list_unmeasured(self, workers: Iterable[str]) -> frozenset[str]:
        """Return the workers whose speed isn't known."""
        self._update_estimates()
        return frozenset(
            worker
            for worker in workers
            if worker not in self._known
            and get_vm(worker) not in self._remembered
        )

    def list_uneven(self, workers: Iterable[str]) -> dict[str, float]:
        """Return the factors of the workers that aren't of usual speed.

        VMs without a worker are listed by their own names. The most uneven
        ones come first.
        """
        names = {vm: vm for vm in self._remembered}
        names |= {get_vm(worker): worker for worker in workers}
        factors = self.list_factors(names.values())
        ranked = sorted(
            factors, key=lambda name: (-abs(math.log(factors[name])), name)
        )
        return {worker: round(factors[worker], 2) for worker in ranked}

    def list_factors(self, workers: Iterable[str]) -> dict[str, float]:
        """Return the factors of those workers that aren't of usual speed."""
        self._update_estimates()
        return {
            worker: math.exp(slowness)
            for worker in workers
            if abs(slowness := self._get_slowness(worker)) > MAX_USUAL_SLOWNESS
        }

    def is_slow(self, worker: str) -> bool:
        """Return whether a worker is clearly slower than usual.

        Once it is, it has to be clearly faster to count as usual again.
        """
        self._update_estimates()
        if worker in self._known:
            return worker in self._slow
        return self._get_slowness(worker) > MIN_SLOWNESS

    def get_slowdown(self, worker: str) -> float:
        """Return the factor by which work takes longer on a worker.

        It is 1 for a worker of usual speed or without enough data.
        """
        self._update_estimates()
        return math.exp(self._get_slowness(worker))

    def _get_slowness(self, worker: str) -> float:
        """Return a worker's slowness relative to a usual one."""
        if worker in self._known:
            return self._known[worker]
        remembered = self._remembered.get(get_vm(worker))
        return 0.0 if remembered is None else remembered - self._usual

    def _remember(self, worker: str, slowness: float) -> None:
        vm = get_vm(worker)
        self._remembered[vm] = slowness
        self._remembered.move_to_end(vm)
        if len(self._remembered) > MAX_REMEMBERED_VMS:
            self._remembered.popitem(last=False)

    def _drop_oldest(self, worker: str, keys: deque[GroupKey]) -> None:
        """Remove a worker from its oldest group, or from one without use."""
        oldest = next(
            (
                key
                for key in itertools.islice(keys, MAX_GROUPS_PER_WORKER // 2)
                if not self._groups[key].has_enough_workers()
            ),
            keys[0],
        )
        keys.remove(oldest)
        self._remove_from_group(oldest, worker)

    def _drop_group(self, key: GroupKey) -> None:
        for worker in self._groups.pop(key).paces:
            self._groups_by_worker[worker].remove(key)
        self._changed.pop(key, None)

    def _remove_from_group(self, key: GroupKey, worker: str) -> None:
        group = self._groups[key]
        del group.paces[worker]
        if group.paces:
            # The next pace causes the update: many workers may leave at once.
            self._changed[key] = None
        else:
            del self._groups[key]
            self._changed.pop(key, None)

    def _update_estimates(self) -> None:
        """Improve the estimates by the groups that have changed.

        A worker whose slowness changes also changes the bases of its other
        groups, so the update repeats until it converges or reaches a limit.
        """
        if self._is_current:
            return
        for _ in range(MAX_UPDATED_GROUPS):
            if not self._changed:
                break
            key = next(iter(self._changed))
            del self._changed[key]
            group = self._groups[key]
            if group.has_enough_workers():
                group.update_base(self._slowness)
                for worker in group.paces:
                    self._update_worker(worker)
        self._update_known()
        self._is_current = True

    def _update_worker(self, worker: str) -> None:
        """Improve a worker's slowness by all its groups."""
        values = list(self._list_measurements(worker))
        previous = self._slowness.get(worker)
        current = previous
        if current is None:
            current = compute_quantile(value for value, _ in values)
        slowness = improve_mean(current, values, PRIOR_WEIGHT)
        self._slowness[worker] = slowness
        if previous is None or abs(previous - slowness) > TOLERANCE:
            self._changed.update(dict.fromkeys(self._groups_by_worker[worker]))

    def _list_measurements(self, worker: str) -> Iterator[tuple[float, float]]:
        """Yield the slowness that each source shows, and its weight."""
        remembered = self._remembered.get(get_vm(worker))
        if remembered is not None:
            yield remembered, REMEMBERED_WEIGHT
        for key in self._groups_by_worker.get(worker, ()):
            group = self._groups[key]
            if group.has_enough_workers() and group.base is not None:
                yield group.measure(worker), group.get_weight(worker)

    def _update_known(self) -> None:
        """Recompute the slowness of workers relative to a usual one.

        Only workers that are related by common groups, or whose VMs' speeds
        are remembered, can be compared.
        """
        known = {
            worker
            for worker in self._slowness
            if sum(weight for _, weight in self._list_measurements(worker))
            >= MIN_KNOWN_WEIGHT
        }
        self._known = {}
        largest = 0
        for workers in self._list_related():
            compared = workers & known
            usual = self._find_usual(compared)
            if len(compared) > largest:
                largest, self._usual = len(compared), usual
            for worker in compared:
                self._known[worker] = self._slowness[worker] - usual
        self._slow = {
            worker
            for worker, slowness in self._known.items()
            if slowness > MIN_SLOWNESS
            or (worker in self._slow and slowness > MAX_USUAL_SLOWNESS)
        }

    def _find_usual(self, workers: Set[str]) -> float:
        """Return the slowness of a usual worker among related ones.

        An earlier controller's reference holds until more workers have been
        measured than it stored, as it stores uneven ones only.
        """
        remembered = any(get_vm(name) in self._remembered for name in workers)
        if remembered and len(workers) <= self._restored_count:
            return self._usual
        if not workers:
            return 0.0
        return compute_quantile(map(self._slowness.__getitem__, workers))

    def _list_related(self) -> Iterator[set[str]]:
        """Yield sets of workers that groups relate, directly or not."""
        left = set(self._slowness)
        remembered = {
            worker for worker in left if get_vm(worker) in self._remembered
        }
        unused = {
            key
            for key, group in self._groups.items()
            if group.has_enough_workers()
        }
        while left:
            pending = [next(iter(left))]
            found: set[str] = set()
            while pending:
                worker = pending.pop()
                if worker not in left:
                    continue
                left.discard(worker)
                found.add(worker)
                if worker in remembered:
                    pending.extend(remembered)
                    remembered = set()
                for key in self._groups_by_worker.get(worker, ()):
                    if key in unused:
                        unused.discard(key)
                        pending.extend(self._groups[key].paces)
            yield found
