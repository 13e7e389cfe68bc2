"""Index a pool's members that may still run, by worker and by task.

Hundreds of workers may each report about once a second. With this index the
cost of handling a report depends on the number of tasks of its own worker, not
on that of all tasks in the pool.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolruns import format_task
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolruns import Member
from hickorywing.policy.poolruns import Unit

__all__ = ["OpenMember", "OpenMembers"]


@dataclass(frozen=True, slots=True)
class OpenMember:
    """A member that may still run, with its unit and its job's state.

    ``task`` is the name of its task as text.
    """

    state: JobState
    unit: Unit
    member: Member
    task: str

    @property
    def step(self) -> Step:
        """Return the step of the job that the task belongs to."""
        return self.state.job.steps[self.unit.step]


class OpenMembers:
    """The open members of all runs of a pool, at most one per task."""

    def __init__(self) -> None:
        self._by_task: dict[str, OpenMember] = {}
        self._by_worker: dict[str, dict[str, OpenMember]] = {}

    def __iter__(self) -> Iterator[OpenMember]:
        """Iterate over a copy, so that members may end meanwhile."""
        return iter(list(self._by_task.values()))

    def add(self, state: JobState, unit: Unit) -> None:
        """Add the open members of a unit's current run."""
        for member in unit.open_members():
            task = format_task(unit.task(member))
            known = self._by_task.get(task)
            if known is not None and known.member is member:
                continue
            item = OpenMember(state, unit, member, task)
            self._by_task[task] = item
            self._by_worker.setdefault(member.worker, {})[task] = item

    def drop(self, item: OpenMember) -> None:
        """Remove one member that has ended."""
        if self._by_task.get(item.task) is item:
            del self._by_task[item.task]
            self._remove_from_worker(item.member.worker, item.task)

    def drop_ended(self, unit: Unit) -> None:
        """Remove the members of a unit's present run that have ended."""
        for member in unit.members:
            if member.ending is None:
                continue
            task = format_task(unit.task(member))
            item = self._by_task.get(task)
            if item is not None and item.member is member:
                del self._by_task[task]
                self._remove_from_worker(member.worker, task)

    def move(self, item: OpenMember, worker: str) -> None:
        """Move a member to another incarnation of its worker.

        ``worker`` names the incarnation.
        """
        self._remove_from_worker(item.member.worker, item.task)
        item.member.worker = worker
        item.unit.mark_changed()
        self._by_worker.setdefault(worker, {})[item.task] = item

    def _remove_from_worker(self, worker: str, task: str) -> None:
        on_worker = self._by_worker.get(worker, {})
        on_worker.pop(task, None)
        if not on_worker:
            self._by_worker.pop(worker, None)

    def list_workers(self) -> list[str]:
        """Return the workers that have open members."""
        return list(self._by_worker)

    def on_worker(self, worker: str) -> list[OpenMember]:
        """Return a copy of the list of open members on a worker."""
        return list(self._by_worker.get(worker, {}).values())

    def find(self, task: str, run: int, worker: str) -> OpenMember | None:
        """Return a task's open member, if it is on that worker and run."""
        item = self._by_task.get(task)
        if (
            item is None
            or item.unit.run != run
            or item.member.worker != worker
        ):
            return None
        return item
