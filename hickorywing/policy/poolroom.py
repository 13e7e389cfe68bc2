"""Compute the free room on a pool's workers."""

from collections.abc import Iterable
from dataclasses import dataclass

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolmodel import WorkerFacts

__all__ = ["PoolRoom", "compute_room", "fit_together", "get_task_room"]


@dataclass(frozen=True, slots=True)
class PoolRoom:
    """The usable workers, their free room, and the room being freed.

    ``releasing`` is the room held by members that are being stopped; workers
    without any are missing there.
    """

    workers: dict[str, WorkerFacts]
    free: dict[str, Resources]
    releasing: dict[str, Resources]

    def occupy(self, worker: str, need: Resources, stopping: bool) -> None:
        """Count an open member that needs this room on a worker.

        One that is being stopped holds its room until its worker lists its
        end.
        """
        if worker not in self.free:
            return
        self.free[worker] = self.free[worker] - need
        if stopping:
            released = self.releasing.get(worker, Resources())
            self.releasing[worker] = released + need


def get_task_room(step: Step) -> Resources:
    """Return the room that one task takes on a worker.

    A filler task takes no cores, as it uses only cores left idle by others.
    """
    if not step.filler:
        return step.resources
    return Resources(0, step.resources.memory_mb, step.resources.accelerators)


def fit_together(steps: Iterable[Step], capacity: Resources) -> bool:
    """Return whether one task of each of these steps fits on a worker."""
    held = sum((get_task_room(step) for step in steps), Resources())
    return held.fits_in(capacity)


def compute_room(
    workers: dict[str, WorkerFacts],
    open_members: Iterable[tuple[str, Step, bool]],
) -> PoolRoom:
    """Return the free room on the workers, given all open members.

    ``open_members`` yields the worker, the step and whether the member is
    being stopped.
    """
    free = {name: facts.capacity for name, facts in workers.items()}
    room = PoolRoom(workers, free, {})
    for worker, step, stopping in open_members:
        room.occupy(worker, get_task_room(step), stopping)
    return room
