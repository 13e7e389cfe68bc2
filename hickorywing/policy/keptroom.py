"""Keep room for urgent work before it comes.

Answers urgent gangs on pools that less urgent work fills: stopping it after a
gang has come takes up to half of the time that the gang's objective leaves
beside its work, and what is free is scattered or on slow workers. So less
urgent work isn't begun on some workers: sound and fast ones, several of a
rack, as gangs want to be near each other. How many follows from the most that
urgent work has needed at a time of late; where none has come, none are kept.
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
from hickorywing.policy.poolroom import count_room
from hickorywing.policy.poolruns import Unit
from hickorywing.policy.poolsearch import count_slots
from hickorywing.policy.poolsearch import find_holding_racks
from hickorywing.policy.poolsearch import URGENT
from hickorywing.policy.poolsearch import WaitingUnit
from hickorywing.policy.poolsearch import wishes_rack

__all__ = ["KeptRoom", "fits_beside"]

# Of the order of the time between two bursts.
REMEMBER_S = 30.0
# Bounds what less urgent work does without, of the pool and of each rack.
POOL_SHARE = 0.25
RACK_SHARE = 2 / 3
# Counts for tasks that ask for nothing.
MOST_SLOTS = 1000


class UrgentDemand:
    """The most workers that urgent work has needed at a time of late."""

    def __init__(self) -> None:
        # Falling values with their times; the first one is the peak.
        self._peaks: deque[tuple[float, float]] = deque()

    def note(self, now_s: float, workers: float) -> None:
        """Take in how many workers urgent work needs now."""
        while self._peaks and self._peaks[-1][1] <= workers:
            self._peaks.pop()
        self._peaks.append((now_s, workers))

    def peak(self, now_s: float) -> float:
        """Return the most that was needed."""
        while self._peaks and now_s - self._peaks[0][0] > REMEMBER_S:
            self._peaks.popleft()
        return self._peaks[0][1] if self._peaks else 0.0


class KeptRoom:
    """Chooses the workers that are kept for urgent work, plan after plan."""

    def __init__(self) -> None:
        self._demand = UrgentDemand()
        self._widest = UrgentDemand()
        self._kept: frozenset[str] = frozenset()

    def choose(
        self,
        workers: Mapping[str, WorkerFacts],
        waiting: Iterable[WaitingUnit],
        running: Collection[RunningUnit],
        suspects: frozenset[str],
        slow: frozenset[str],
        now_s: float,
    ) -> frozenset[str]:
        """Return the workers on which less urgent work isn't begun.

        Those kept before stay, so that what ends there isn't followed by new
        work.
        """
        usable = {
            name: facts
            for name, facts in workers.items()
            if name not in suspects
        }
        self._note_demand((*waiting, *running), usable, now_s)
        most = math.ceil(self._demand.peak(now_s))
        self._kept = frozenset(
            choose_workers(
                usable,
                min(most, int(len(workers) * POOL_SHARE)),
                math.ceil(self._widest.peak(now_s)),
                count_loads(running),
                slow,
                self._kept,
            )
        )
        return self._kept

    def _note_demand(
        self,
        units: Iterable[WaitingUnit | RunningUnit],
        workers: Mapping[str, WorkerFacts],
        now_s: float,
    ) -> None:
        """Take in what urgent work needs now, together and in one rack."""
        usual = find_usual_capacity(workers.values())
        together = widest = 0.0
        for item in units:
            if item.priority <= URGENT:
                needed = count_needed(item.unit, item.step, usual)
                together += needed
                if wishes_rack(item.step):
                    widest = max(widest, needed)
        self._demand.note(now_s, together)
        self._widest.note(now_s, widest)


def find_usual_capacity(workers: Iterable[WorkerFacts]) -> Resources:
    """Return the capacity that most workers have."""
    capacities = Counter(facts.capacity for facts in workers)
    return max(capacities, key=capacities.get, default=Resources())


def count_needed(unit: Unit, step: Step, usual: Resources) -> float:
    """Return how many workers of usual capacity a unit takes."""
    slots = count_slots(count_room(step), usual, MOST_SLOTS)
    return unit.count / slots if slots else unit.count


def count_loads(running: Iterable[RunningUnit]) -> Counter[str]:
    """Count what less urgent tasks hold of each worker, in accelerators.

    Each counts as one more, as stopping it takes time as well.
    """
    loads: Counter[str] = Counter()
    for item in running:
        if item.priority > URGENT:
            for member in item.unit.open_members():
                loads[member.worker] += 1 + item.step.resources.accelerators
    return loads


def choose_workers(
    workers: Mapping[str, WorkerFacts],
    most: int,
    widest: int,
    loads: Counter[str],
    slow: frozenset[str],
    kept: frozenset[str],
) -> list[str]:
    """Return the workers to keep, those of a rack together.

    Racks with workers that are kept come first, then those with the least
    less urgent work. Slow workers come in only for gangs that need ``widest``
    workers of one rack, and in one rack.
    """
    racks: dict[str, list[str]] = {}
    for worker, facts in workers.items():
        racks.setdefault(facts.rack, []).append(worker)
    ranked = []
    for rack, names in racks.items():
        names.sort(
            key=lambda name: (
                name in slow,
                name not in kept,
                loads[name],
                name,
            )
        )
        share = math.ceil(len(names) * RACK_SHARE)
        fast = [name for name in names[:share] if name not in slow]
        load = sum(loads[name] for name in names[:share]) / share
        held = sum(name in kept for name in names)
        ranked.append((-held, load, rack, names, fast))
    ranked.sort()
    chosen: list[str] = []
    for *_, names, fast in ranked:
        first = not chosen
        wide = names[:widest] if first and widest <= len(names) else []
        chosen.extend(wide if len(wide) > len(fast) else fast)
    return chosen[:most]


def fits_beside(
    step: Step, workers: Mapping[str, WorkerFacts], kept: frozenset[str]
) -> bool:
    """Tell whether a unit of a step would fit without the kept workers.

    What would fit nowhere else, as it needs a label or wants a rack, may be
    begun on them.
    """
    others = {
        name: facts for name, facts in workers.items() if name not in kept
    }
    if wishes_rack(step) and find_holding_racks(step, workers):
        return bool(find_holding_racks(step, others))
    need = count_room(step)
    count = step.count if step.gang else 1
    label = step.required_label
    slots = sum(
        count_slots(need, facts.capacity, step.spread_limit or count)
        for facts in others.values()
        if not label or label in facts.labels
    )
    return slots >= count
