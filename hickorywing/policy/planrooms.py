"""Keep account of the room that a plan can still give away."""

from collections import Counter
from collections.abc import Collection
from collections.abc import Sequence
from functools import partial

from hickorywing.policy.isolation import Isolation
from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolplans import PlanInput
from hickorywing.policy.poolpreemption import count_tasks_by_worker
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolroom import get_task_room
from hickorywing.policy.poolsearch import WaitingUnit
from hickorywing.policy.undolog import UndoLog

__all__ = ["PlanRooms"]


class PlanRooms:
    """The room of a pool's workers during one plan.

    ``free`` is the room of each usable worker now, ``after_stops`` the room
    there once all stops already ordered have completed. Both are reduced by
    what the plan starts, claims and reserves. ``isolation`` knows which
    workers a unit is kept off because of crashes. All changes are recorded in
    ``undo_log``.
    """

    def __init__(
        self,
        state: PlanInput,
        running: Sequence[RunningUnit],
        undo_log: UndoLog,
    ) -> None:
        self.free = dict(state.free)
        self.after_stops = {
            worker: room + state.releasing.get(worker, Resources())
            for worker, room in state.free.items()
        }
        self.isolation = Isolation(running, state.now_s)
        self._task_counts = count_tasks_by_worker(running)
        self._undo_log = undo_log

    def occupy(self, waiting: WaitingUnit, workers: Collection[str]) -> None:
        """Count a unit's tasks on workers against all limits of its step.

        This holds for tasks that are started and for those that room is kept
        for.
        """
        need = get_task_room(waiting.step)
        for rooms in (self.free, self.after_stops):
            for worker in workers:
                self._undo_log.set_item(rooms, worker, rooms[worker] - need)
        counts = self._task_counts.setdefault(waiting.unit.step_key, Counter())
        counts.update(workers)
        self._undo_log.push(partial(counts.subtract, workers))
        self.isolation.occupy(waiting.unit, workers, self._undo_log)

    def vacate(self, waiting: WaitingUnit, workers: Collection[str]) -> None:
        """Return the room that was kept for a unit's tasks on workers."""
        need = get_task_room(waiting.step)
        for rooms in (self.free, self.after_stops):
            for worker in workers:
                self._undo_log.set_item(rooms, worker, rooms[worker] + need)
        counts = self._task_counts[waiting.unit.step_key]
        counts.subtract(workers)
        self._undo_log.push(partial(counts.update, workers))

    def add_stopped(self, victim: RunningUnit) -> None:
        """Count the room of a unit that the plan stops as being freed."""
        need = get_task_room(victim.step)
        rooms = self.after_stops
        for member in victim.unit.open_members():
            if member.worker in rooms:
                self._undo_log.set_item(
                    rooms, member.worker, rooms[member.worker] + need
                )

    def count_present(self, waiting: WaitingUnit) -> Counter:
        """Count the tasks of the unit's step on each worker."""
        return self._task_counts.get(waiting.unit.step_key, Counter())
