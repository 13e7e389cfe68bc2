"""Work out the room on a pool's workers."""

from collections.abc import Iterable
from dataclasses import dataclass

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolmodel import WorkerFacts

__all__ = ["PoolRoom", "count_room", "measure_room"]


@dataclass(frozen=True, slots=True)
class PoolRoom:
    """The usable workers, their free room, and what is about to be freed."""

    workers: dict[str, WorkerFacts]
    free: dict[str, Resources]
    coming: dict[str, Resources]


def count_room(step: Step) -> Resources:
    """Return what one task takes of a worker's room."""
    if not step.filler:
        return step.resources
    return Resources(0, step.resources.memory_mb, step.resources.accelerators)


def measure_room(
    workers: dict[str, WorkerFacts],
    open_members: Iterable[tuple[str, Step, bool]],
) -> PoolRoom:
    """Return the room, given each member's worker, step and stopping mark.

    A member that is being stopped holds its room until its end is listed.
    """
    free = {name: facts.capacity for name, facts in workers.items()}
    coming: dict[str, Resources] = {}
    for worker, step, stopping in open_members:
        if worker not in free:
            continue
        need = count_room(step)
        free[worker] = free[worker] - need
        if stopping:
            coming[worker] = coming.get(worker, Resources()) + need
    return PoolRoom(workers, free, coming)
