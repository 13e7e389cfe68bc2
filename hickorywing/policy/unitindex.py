"""Index a job's units by what may happen to them next.

A job may have thousands of units, and each start and end asks which of them
are ready, running or out of attempts. The answers are kept up to date from
the units that have changed, so their cost doesn't depend on all the others.
"""

from bisect import bisect_left
from bisect import insort
from collections.abc import Iterable
from collections.abc import Iterator
from typing import TYPE_CHECKING

from hickorywing.policy.poolmodel import PoolJob

if TYPE_CHECKING:
    from hickorywing.policy.poolruns import Unit

__all__ = ["UnitIndex"]

StepKey = tuple[int, int]
JobUnitKey = tuple[int, int, int]


class UnitIndex:
    """The open units of one job by their state.

    ``running`` has the units with a member that may be running, ``exhausted``
    those whose attempts have all failed, ``crashed`` those with crashes of
    workers that aren't done. ``begun`` says whether any was ever placed, and
    ``completed`` has the occurrences whose units are all done.
    """

    def __init__(self, job: PoolJob) -> None:
        self.running: dict[JobUnitKey, Unit] = {}
        self.exhausted: dict[JobUnitKey, Unit] = {}
        self.crashed: dict[JobUnitKey, Unit] = {}
        self.begun = False
        self.completed: set[int] = set()
        self._job = job
        self._after = [frozenset(step.after) for step in job.steps]
        self._before: list[list[int]] = [[] for _ in job.steps]
        for number, earlier in enumerate(self._after):
            for step in earlier:
                self._before[step].append(number)
        # Whether each unit is waiting, and whether it is done.
        self._flags: dict[JobUnitKey, tuple[bool, bool]] = {}
        # The first tasks of each step's waiting units, in order.
        self._waiting: dict[StepKey, list[int]] = {}
        self._left: dict[StepKey, int] = {}
        self._steps_left: dict[int, int] = {}
        self._blocking: dict[StepKey, int] = {}
        # Steps with waiting units whose earlier steps are done, in order.
        self._ready: list[StepKey] = []

    def open(self, occurrence: int, units: Iterable["Unit"]) -> None:
        """Add all units of an occurrence."""
        for number, earlier in enumerate(self._after):
            step_key = (occurrence, number)
            self._left[step_key] = 0
            self._waiting[step_key] = []
            self._blocking[step_key] = len(earlier)
        self._steps_left[occurrence] = len(self._after)
        for unit in units:
            step_key = (occurrence, unit.step)
            self._flags[(occurrence, unit.step, unit.first)] = (False, False)
            self._left[step_key] += 1
        for unit in units:
            self.update(unit)

    def close(self, occurrence: int, keys: Iterable[JobUnitKey]) -> None:
        """Remove an occurrence whose units have these keys."""
        for key in keys:
            for found in (
                self.running, self.exhausted, self.crashed, self._flags
            ):  # fmt: skip
                found.pop(key, None)
        for number in range(len(self._after)):
            step_key = (occurrence, number)
            if self._waiting[step_key]:
                self._set_ready(step_key, is_ready=False)
            for found in (self._left, self._waiting, self._blocking):
                del found[step_key]
        del self._steps_left[occurrence]
        self.completed.discard(occurrence)

    def update(self, unit: "Unit") -> None:
        """Take over the present state of a unit."""
        key = (unit.occurrence, unit.step, unit.first)
        before = self._flags.get(key)
        if before is None:
            return
        was_waiting, was_done = before
        running = unit.running
        waiting = not unit.done and not running
        self._flags[key] = (waiting, unit.done)
        put(self.running, key, unit, running)
        put(self.crashed, key, unit, bool(unit.crashes) and not unit.done)
        put(self.exhausted, key, unit, self._is_exhausted(unit))
        self.begun = self.begun or unit.run > 0
        if waiting != was_waiting:
            self._set_waiting(key, waiting)
        if unit.done != was_done:
            self._count_done((unit.occurrence, unit.step), unit.done)

    def _is_exhausted(self, unit: "Unit") -> bool:
        return (
            unit.failures >= self._job.terms.attempts
            and not unit.done
            and not self._job.steps[unit.step].lasting
        )

    def _set_waiting(self, key: JobUnitKey, is_waiting: bool) -> None:
        step_key = key[:2]
        firsts = self._waiting[step_key]
        had_any = bool(firsts)
        if is_waiting and firsts and firsts[-1] < key[2]:
            firsts.append(key[2])
        elif is_waiting:
            insort(firsts, key[2])
        else:
            del firsts[bisect_left(firsts, key[2])]
        if had_any != bool(firsts) and not self._blocking[step_key]:
            self._set_ready(step_key, bool(firsts))

    def _count_done(self, step_key: StepKey, is_done: bool) -> None:
        was_complete = not self._left[step_key]
        self._left[step_key] -= 1 if is_done else -1
        is_complete = not self._left[step_key]
        if was_complete == is_complete:
            return
        occurrence, number = step_key
        change = -1 if is_complete else 1
        for later in self._before[number]:
            later_key = (occurrence, later)
            was_blocked = bool(self._blocking[later_key])
            self._blocking[later_key] += change
            is_blocked = bool(self._blocking[later_key])
            if was_blocked != is_blocked and self._waiting[later_key]:
                self._set_ready(later_key, not is_blocked)
        self._steps_left[occurrence] += change
        if self._steps_left[occurrence]:
            self.completed.discard(occurrence)
        else:
            self.completed.add(occurrence)

    def _set_ready(self, step_key: StepKey, is_ready: bool) -> None:
        index = bisect_left(self._ready, step_key)
        is_listed = self._ready[index : index + 1] == [step_key]
        if is_ready and not is_listed:
            self._ready.insert(index, step_key)
        elif not is_ready and is_listed:
            del self._ready[index]

    def list_ready(self) -> Iterator[JobUnitKey]:
        """Return the keys of units that wait for no other, in order."""
        for occurrence, number in list(self._ready):
            for first in list(self._waiting.get((occurrence, number), ())):
                yield occurrence, number, first

    def is_step_done(self, step_key: StepKey) -> bool:
        """Return whether all tasks of a step are done."""
        return not self._left.get(step_key, 0)


def put(
    found: dict[JobUnitKey, "Unit"],
    key: JobUnitKey,
    unit: "Unit",
    belongs: bool,
) -> None:
    """Add a unit to a part of the index, or remove it from there."""
    if belongs:
        found[key] = unit
    else:
        found.pop(key, None)
