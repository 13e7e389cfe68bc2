"""Keep tasks apart under which workers have crashed.

A task that was blamed for one crash is not placed beside another one that was,
so that the next crash tells them apart. After two crashes it is placed on a
worker of its own, which costs nobody else any work and shows for certain
whether it is the cause. Once a task has run for a moment it counts as any
other: a worker crashes when it starts such a task.
"""

from collections.abc import Iterable
import enum

from hickorywing.policy.crashes import count_crashes
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolruns import Unit
from hickorywing.policy.undolog import UndoLog

__all__ = ["Caution", "Isolation", "get_caution"]

# A worker crashes within milliseconds of the start, which is noticed within
# half a second. A task that has run for this long has survived its start.
SURVIVED_S = 1.0
# Units wait this long for a worker that meets all conditions, and for one
# without a task that is to be alone there. Both must stay below the 3 s after
# which an idle task counts as forgotten.
MAX_APART_WAIT_S = 1.5
MAX_OTHERS_WAIT_S = 2.5
# While most of the pool is in use, no worker may be empty for some seconds.
MAX_BUSY_WAIT_S = 10.0


class Caution(enum.IntEnum):
    """How much care the placement of a unit takes."""

    NONE = 0
    APART = 1
    ALONE = 2


def get_caution(unit: Unit) -> Caution:
    """Return how much care the next run of a unit takes."""
    if not unit.crashes:
        return Caution.NONE
    return Caution(min(count_crashes(unit.crashes), Caution.ALONE))


def has_survived(unit: Unit, now_s: float) -> bool:
    """Return whether all tasks of a running unit survived their start."""
    return now_s - unit.placed_at_s >= SURVIVED_S and all(
        member.seen for member in unit.open_members()
    )


class Isolation:
    """The workers on which a plan must not place a unit, because of crashes.

    ``occupy`` is called for each placement of the plan.
    """

    def __init__(self, running: Iterable[RunningUnit], now_s: float) -> None:
        self._now_s = now_s
        self._used: set[str] = set()
        self._suspect: set[str] = set()
        self._isolated: set[str] = set()
        for item in running:
            unit = item.unit
            caution = get_caution(unit)
            if caution and has_survived(unit, now_s):
                caution = Caution.NONE
            workers = [member.worker for member in unit.open_members()]
            self._mark(caution, workers, UndoLog())

    def occupy(
        self, unit: Unit, workers: Iterable[str], undo_log: UndoLog
    ) -> None:
        """Record that a unit is placed on workers, or room is kept there."""
        self._mark(get_caution(unit), workers, undo_log)

    def _mark(
        self, caution: Caution, workers: Iterable[str], undo_log: UndoLog
    ) -> None:
        workers = set(workers)
        undo_log.add_all(self._used, workers)
        if caution >= Caution.APART:
            undo_log.add_all(self._suspect, workers)
        if caution >= Caution.ALONE:
            undo_log.add_all(self._isolated, workers)

    def list_excluded(self, unit: Unit, is_busy: bool) -> list[frozenset[str]]:
        """Return the sets of workers to exclude, the preferred one first.

        Later sets exclude fewer workers, and there is only one until the unit
        has waited. ``is_busy`` says whether most of the pool is in use.
        """
        caution = get_caution(unit)
        waits_longer = is_busy and caution is Caution.ALONE
        limit_s = MAX_BUSY_WAIT_S if waits_longer else MAX_APART_WAIT_S
        choices = [self._find_excluded(caution)]
        waited_s = self._now_s - unit.waiting_since_s
        if waited_s >= limit_s:
            choices.append(self._find_excluded(Caution.NONE))
        if waited_s >= max(limit_s, MAX_OTHERS_WAIT_S):
            choices.append(frozenset())
        return list(dict.fromkeys(choices))

    def _find_excluded(self, caution: Caution) -> frozenset[str]:
        if caution is Caution.ALONE:
            return frozenset(self._used)
        if caution is Caution.APART:
            return frozenset(self._suspect)
        return frozenset(self._isolated)
