"""Find the members that may be at work, by worker and by task.

Answers a pool of hundreds of workers that each report about once a second:
what a report costs must depend on what its own worker runs, and not on all
that runs in the pool.
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
    """A member that may be at work, with what it belongs to.

    ``task`` is the name of its task as text.
    """

    state: JobState
    unit: Unit
    member: Member
    task: str

    @property
    def step(self) -> Step:
        """Return the step that the task is of."""
        return self.state.job.steps[self.unit.step]


class OpenMembers:
    """The open members of a pool's runs; a task has one at most."""

    def __init__(self) -> None:
        self._by_task: dict[str, OpenMember] = {}
        self._by_worker: dict[str, dict[str, OpenMember]] = {}

    def __iter__(self) -> Iterator[OpenMember]:
        """Return all; they may end meanwhile."""
        return iter(list(self._by_task.values()))

    def add(self, state: JobState, unit: Unit) -> None:
        """Take in the open members of a unit's present run."""
        for member in unit.open_members():
            task = format_task(unit.task(member))
            item = OpenMember(state, unit, member, task)
            self._by_task[task] = item
            self._by_worker.setdefault(member.worker, {})[task] = item

    def drop_ended(self, unit: Unit) -> None:
        """Leave out the members of a unit's present run that have ended."""
        for member in unit.members:
            if member.ending is None:
                continue
            task = format_task(unit.task(member))
            item = self._by_task.get(task)
            if item is not None and item.member is member:
                del self._by_task[task]
                self._drop_from(member.worker, task)

    def move(self, item: OpenMember, worker: str) -> None:
        """Change the incarnation that a member is on."""
        self._drop_from(item.member.worker, item.task)
        item.member.worker = worker
        self._by_worker.setdefault(worker, {})[item.task] = item

    def _drop_from(self, worker: str, task: str) -> None:
        on_worker = self._by_worker.get(worker, {})
        on_worker.pop(task, None)
        if not on_worker:
            self._by_worker.pop(worker, None)

    def list_workers(self) -> list[str]:
        """Return the workers that have any."""
        return list(self._by_worker)

    def on_worker(self, worker: str) -> list[OpenMember]:
        """Return those on one worker; they may end meanwhile."""
        return list(self._by_worker.get(worker, {}).values())

    def find(self, task: str, run: int, worker: str) -> OpenMember | None:
        """Return the member that a worker's list names, if it is there."""
        item = self._by_task.get(task)
        if (
            item is None
            or item.unit.run != run
            or item.member.worker != worker
        ):
            return None
        return item
