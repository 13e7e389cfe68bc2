"""Tell where workers are likely to be taken away at short notice.

The load that this answers: a provider takes workers away within seconds,
several at once, at times those of one rack. A gang ends with the first of its
workers that leaves, and work without checkpoints is lost with it. Such work
therefore stays off racks that are losing workers while there is other room,
and after a departure its gangs are placed on as few workers as possible.
"""

from collections import Counter
from collections.abc import Mapping

from hickorywing.policy.poolmodel import get_vm
from hickorywing.policy.poolmodel import WorkerFacts

__all__ = ["Departures"]

# How long a departure counts, for its rack and for the pool as a whole.
RACK_MEMORY_S = 30.0
POOL_MEMORY_S = 300.0
# Workers of a rack that have to leave until others are expected to follow, and
# how many times as many as in the rest of the pool.
MIN_RACK_DEPARTURES = 2
MIN_RACK_RATIO = 3.0


class Departures:
    """The recent departures of workers at short notice."""

    def __init__(self) -> None:
        # The time of the last notice and the rack, by the worker's VM.
        self._notices: dict[str, tuple[float, str]] = {}

    def record(self, worker: str, rack: str, now_s: float) -> None:
        """Record that a worker is being taken away."""
        self._notices[get_vm(worker)] = (now_s, rack)

    def seen_recently(self, now_s: float) -> bool:
        """Return whether any worker was taken away, and drop old notices."""
        self._notices = {
            vm: (at_s, rack)
            for vm, (at_s, rack) in self._notices.items()
            if now_s - at_s < POOL_MEMORY_S
        }
        return bool(self._notices)

    def list_exposed(
        self, workers: Mapping[str, WorkerFacts], now_s: float
    ) -> frozenset[str]:
        """Return the workers in racks that are losing more than others."""
        if not self.seen_recently(now_s):
            return frozenset()
        left = Counter(
            rack
            for at_s, rack in self._notices.values()
            if now_s - at_s < RACK_MEMORY_S
        )
        stayed = Counter(facts.rack for facts in workers.values())
        exposed = set()
        for rack, count in left.items():
            others = left.total() - count
            others_size = others + stayed.total() - stayed[rack]
            share = count / (count + stayed[rack])
            if (
                count >= MIN_RACK_DEPARTURES
                and share * others_size >= MIN_RACK_RATIO * others
            ):
                exposed.add(rack)
        return frozenset(
            worker
            for worker, facts in workers.items()
            if facts.rack in exposed
        )
