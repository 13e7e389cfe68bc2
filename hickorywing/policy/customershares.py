"""Rank waiting units of equal priority by what their customers hold.

On a full pool, work in order of acceptance serves a customer by how much the
others have submitted before: a few large jobs of one customer keep the next
rooms from all others for longer than their objectives allow. Units of equal
priority are therefore taken in turns, and the next turn is that of the
customer with the smallest share of the pool. Within a customer, units keep
their order.

A share is counted in the resource that binds, the one of which the pool has
the least left: customers with tasks that need much memory compete for memory,
however many accelerators are free. What a customer has held over the last
while counts as well as what it holds now, so that short tasks are not
preferred to long ones.
"""

from collections import deque
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import heapq
import itertools
import math

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolreservation import drop_negative
from hickorywing.policy.poolreservation import measure_utilization
from hickorywing.policy.poolreservation import MIN_RESERVE_UTILIZATION
from hickorywing.policy.poolroom import get_task_room
from hickorywing.policy.poolroom import PoolRoom
from hickorywing.policy.poolsearch import WaitingUnit

__all__ = [
    "CustomerShares",
    "find_scarce_resource",
    "measure_part",
    "rank_units",
]

# Time constant of the mean of a share, of the order of a long job.
WINDOW_S = 30.0
# Smaller means are dropped.
MIN_SHARE = 0.001

RESOURCES = ("cores_milli", "memory_mb", "accelerators")


def find_scarce_resource(total: Resources, free: Resources) -> str:
    """Return the name of the resource of which the least is left.

    Of several, the first in the order of ``Resources`` is returned. Resources
    that the pool doesn't have are left out.

    >>> total = Resources(64_000, 256_000, 8)
    >>> find_scarce_resource(total, Resources(32_000, 16_000, 4))
    'memory_mb'
    """
    return min(
        RESOURCES,
        key=lambda name: (
            getattr(free, name) / getattr(total, name)
            if getattr(total, name)
            else math.inf
        ),
    )


def measure_part(room: Resources, total: Resources, resource: str) -> float:
    """Return which part of the pool's total of a resource a room takes."""
    available = getattr(total, resource)
    return getattr(room, resource) / available if available else 0.0


class CustomerShares:
    """The shares that customers have held of a pool, as means over time."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._held: dict[str, float] = {}
        self._updated_s: float | None = None
        self._total = Resources()
        self._resource = RESOURCES[0]

    def update(
        self,
        held: Mapping[str, Resources],
        total: Resources,
        free: Iterable[Resources],
        now_s: float,
    ) -> None:
        """Record the room that each customer holds now.

        ``total`` is the capacity of the pool, and ``free`` has the room left
        on each worker. What was held since the last call counts as held all
        the while.
        """
        if self._updated_s is not None:
            self._age_means(max(0.0, now_s - self._updated_s))
        self._updated_s = now_s
        self._total = total
        left = sum(map(drop_negative, free), Resources())
        self._resource = find_scarce_resource(total, left)
        self._held = {
            customer: measure_part(room, total, self._resource)
            for customer, room in held.items()
        }

    def restore(self, means: Mapping[str, float]) -> None:
        """Adopt the means that an earlier controller stored."""
        self._means = {
            customer: min(mean, 1.0)
            for customer, mean in means.items()
            if mean >= MIN_SHARE
        }

    def get_means(self) -> dict[str, float]:
        """Return the means, rounded, for a later controller."""
        return {
            customer: round(mean, 3) for customer, mean in self._means.items()
        }

    def get_share(self, customer: str) -> float:
        """Return a customer's share of the pool, from 0 to 1.

        It is the larger one of what it holds now and of its mean.
        """
        return max(
            self._held.get(customer, 0.0), self._means.get(customer, 0.0)
        )

    def take_turns(
        self, units: Iterable[WaitingUnit]
    ) -> Iterator[WaitingUnit]:
        """Yield units of equal priority in the order of their turns.

        ``units`` are in the order in which they would be served if all were of
        one customer. A unit counts as held by its customer once it has been
        yielded.
        """
        queues: dict[str, deque[WaitingUnit]] = {}
        for unit in units:
            queues.setdefault(unit.customer, deque()).append(unit)
        turns = [
            (self.get_share(customer), number, customer)
            for number, customer in enumerate(queues)
        ]
        heapq.heapify(turns)
        while turns:
            share, number, customer = heapq.heappop(turns)
            unit = queues[customer].popleft()
            yield unit
            if queues[customer]:
                share += self._measure_unit(unit)
                heapq.heappush(turns, (share, number, customer))

    def _measure_unit(self, waiting: WaitingUnit) -> float:
        """Return which part of the pool a unit takes."""
        task = measure_part(
            get_task_room(waiting.step), self._total, self._resource
        )
        return waiting.unit.count * task

    def _age_means(self, passed_s: float) -> None:
        """Move the means towards what was held for the last seconds."""
        kept = math.exp(-passed_s / WINDOW_S)
        means = {
            customer: kept * self._means.get(customer, 0.0)
            + (1 - kept) * self._held.get(customer, 0.0)
            for customer in self._means.keys() | self._held.keys()
        }
        self._means = {
            customer: mean
            for customer, mean in means.items()
            if mean >= MIN_SHARE
        }


def rank_units(
    shares: CustomerShares,
    waiting: Sequence[WaitingUnit],
    running: Iterable[RunningUnit],
    room: PoolRoom,
    now_s: float,
) -> list[WaitingUnit]:
    """Return the waiting units, ranked by turns where customers compete.

    They don't while half of the pool is free, or while all units of a priority
    are of one customer. Such units keep the rank that they have.
    """
    total = sum(
        (facts.capacity for facts in room.workers.values()), Resources()
    )
    held: dict[str, Resources] = {}
    for item in running:
        task = get_task_room(item.step)
        for _ in item.unit.open_members():
            held[item.customer] = held.get(item.customer, Resources()) + task
    shares.update(held, total, room.free.values(), now_s)
    left = sum(map(drop_negative, room.free.values()), Resources())
    if measure_utilization(total, left) < MIN_RESERVE_UTILIZATION:
        return list(waiting)
    ranked: list[WaitingUnit] = []
    ordered = sorted(waiting, key=lambda item: (item.priority, item.order))
    for _, group in itertools.groupby(ordered, key=lambda item: item.priority):
        units = list(group)
        if len({item.customer for item in units}) > 1:
            units = [
                dataclasses.replace(item, rank=float(turn))
                for turn, item in enumerate(shares.take_turns(units))
            ]
        ranked.extend(units)
    return ranked
