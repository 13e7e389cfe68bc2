"""Keep headroom for urgent work before it arrives.

On a pool filled by less urgent work, preemption after an urgent gang arrives
takes up to half of the time that the gang's objective leaves beside its run
time, and the room that is free is scattered or on slow workers. Less urgent
work is therefore not started on some workers: fast ones without recent
failures, several of one rack, as members of a gang run faster close to each
other. Their number follows the recent peak demand of urgent work; without
such demand there is no headroom.
"""

from collections import Counter
from collections import deque
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import math

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolmodel import WorkerFacts
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolroom import get_task_room
from hickorywing.policy.poolruns import Unit
from hickorywing.policy.poolsearch import count_slots
from hickorywing.policy.poolsearch import find_sufficient_racks
from hickorywing.policy.poolsearch import prefers_rack
from hickorywing.policy.poolsearch import URGENT_PRIORITY
from hickorywing.policy.poolsearch import WaitingUnit

__all__ = ["UrgentHeadroom", "fits_outside_headroom"]

# Urgent demand older than this does not count. It is of the order of the time
# between two bursts.
DEMAND_WINDOW_S = 30.0
# Largest share of a pool, and of a rack, withheld from less urgent work.
MAX_POOL_SHARE = 0.25
MAX_RACK_SHARE = 2 / 3
# Number of tasks that fit on a worker if they ask for no resources.
MAX_SLOTS = 1000


class PeakDemand:
    """The maximum of a demand, in workers, over the last DEMAND_WINDOW_S."""

    def __init__(self) -> None:
        # Pairs of time and value; times rise and values fall, so the first
        # value is the maximum.
        self._peaks: deque[tuple[float, float]] = deque()

    def record(self, now_s: float, workers: float) -> None:
        """Record how many workers are needed now."""
        while self._peaks and self._peaks[-1][1] <= workers:
            self._peaks.pop()
        self._peaks.append((now_s, workers))

    def get_peak(self, now_s: float) -> float:
        """Return the maximum within the window, 0 without any records."""
        while self._peaks and now_s - self._peaks[0][0] > DEMAND_WINDOW_S:
            self._peaks.popleft()
        return self._peaks[0][1] if self._peaks else 0.0


class UrgentHeadroom:
    """Chooses, for each plan, the workers kept as headroom for urgent work.

    Remembers the demand of urgent work, and the workers kept for the last
    plan.
    """

    def __init__(self) -> None:
        self._demand = PeakDemand()
        self._widest = PeakDemand()
        # When urgent work last asked for tasks of each size.
        self._needs: dict[Resources, float] = {}
        self._headroom: frozenset[str] = frozenset()

    def choose(
        self,
        workers: Mapping[str, WorkerFacts],
        units: Collection[WaitingUnit | RunningUnit],
        suspects: frozenset[str],
        slow: frozenset[str],
        now_s: float,
    ) -> frozenset[str]:
        """Return the workers on which less urgent work must not start.

        ``units`` are the units that wait and those that run.
        ``suspects`` are workers with recent failures, which are never kept.
        Neither are workers too small for any recent urgent task, as a worker's
        capacity may shrink to nothing. Workers kept for the last plan are
        preferred, so that they empty as their less urgent work ends.
        """
        usable = {
            name: facts
            for name, facts in workers.items()
            if name not in suspects
        }
        self._record_demand(units, usable, now_s)
        usable = {
            name: facts
            for name, facts in usable.items()
            if any(need.fits_in(facts.capacity) for need in self._needs)
        }
        max_count = math.ceil(self._demand.get_peak(now_s))
        self._headroom = frozenset(
            choose_workers(
                usable,
                min(max_count, int(len(workers) * MAX_POOL_SHARE)),
                math.ceil(self._widest.get_peak(now_s)),
                count_loads(units),
                slow,
                self._headroom,
            )
        )
        return self._headroom

    def _record_demand(
        self,
        units: Iterable[WaitingUnit | RunningUnit],
        workers: Mapping[str, WorkerFacts],
        now_s: float,
    ) -> None:
        """Record how many workers urgent work needs now.

        The total and the widest unit that prefers a single rack are recorded.
        """
        common = find_common_capacity(workers.values())
        total = widest_gang = 0.0
        for item in units:
            if item.priority <= URGENT_PRIORITY:
                needed = count_needed_workers(item.unit, item.step, common)
                total += needed
                self._needs[get_task_room(item.step)] = now_s
                if prefers_rack(item.step):
                    widest_gang = max(widest_gang, needed)
        self._demand.record(now_s, total)
        self._widest.record(now_s, widest_gang)
        self._needs = {
            need: at_s
            for need, at_s in self._needs.items()
            if now_s - at_s <= DEMAND_WINDOW_S
        }


def find_common_capacity(workers: Iterable[WorkerFacts]) -> Resources:
    """Return the most frequent capacity of the workers."""
    capacities = Counter(facts.capacity for facts in workers)
    return max(capacities, key=capacities.get, default=Resources())


def count_needed_workers(unit: Unit, step: Step, common: Resources) -> float:
    """Return how many workers of capacity ``common`` a unit takes.

    The number may be a fraction. A task that does not fit on such a worker
    counts as one worker.
    """
    slots = count_slots(get_task_room(step), common, MAX_SLOTS)
    return unit.count / slots if slots else unit.count


def count_loads(
    units: Iterable[WaitingUnit | RunningUnit],
) -> Counter[str]:
    """Return the load of each worker from less urgent tasks that run.

    It is the number of accelerators that they hold plus one for each task,
    as each stop takes time.
    """
    loads: Counter[str] = Counter()
    for item in units:
        if item.priority > URGENT_PRIORITY:
            for member in item.unit.open_members():
                loads[member.worker] += 1 + item.step.resources.accelerators
    return loads


def choose_workers(
    workers: Mapping[str, WorkerFacts],
    max_count: int,
    widest_gang: int,
    loads: Counter[str],
    slow: frozenset[str],
    headroom: frozenset[str],
) -> list[str]:
    """Return up to ``max_count`` workers to keep, grouped by rack.

    Racks with the most workers in ``headroom``, those kept so far, come first,
    then racks with the least load. Slow workers are kept only in the first
    rack, and only if the widest gang of ``widest_gang`` workers needs them to
    fit there.
    """
    racks: dict[str, list[str]] = {}
    for worker, facts in workers.items():
        racks.setdefault(facts.rack, []).append(worker)
    ranked = []
    for rack, names in racks.items():
        names.sort(
            key=lambda name: (
                name in slow,
                name not in headroom,
                loads[name],
                name,
            )
        )
        rack_limit = math.ceil(len(names) * MAX_RACK_SHARE)
        fast = [name for name in names[:rack_limit] if name not in slow]
        load = sum(loads[name] for name in names[:rack_limit]) / rack_limit
        headroom_count = sum(name in headroom for name in names)
        ranked.append((-headroom_count, load, rack, names, fast))
    ranked.sort()
    chosen: list[str] = []
    for *_, names, fast in ranked:
        is_first_rack = not chosen
        gang_workers = (
            names[:widest_gang]
            if is_first_rack and widest_gang <= len(names)
            else []
        )
        chosen.extend(gang_workers if len(gang_workers) > len(fast) else fast)
    return chosen[:max_count]


def fits_outside_headroom(
    step: Step, workers: Mapping[str, WorkerFacts], headroom: frozenset[str]
) -> bool:
    """Return whether a unit would fit on empty workers outside the headroom.

    A unit that would not, because of the label or the rack that it needs, may
    start on workers of the headroom.
    """
    others = {
        name: facts for name, facts in workers.items() if name not in headroom
    }
    if prefers_rack(step) and find_sufficient_racks(step, workers):
        return bool(find_sufficient_racks(step, others))
    need = get_task_room(step)
    count = step.count if step.gang else 1
    label = step.required_label
    slots = sum(
        count_slots(need, facts.capacity, step.spread_limit or count)
        for facts in others.values()
        if not label or label in facts.labels
    )
    return slots >= count
