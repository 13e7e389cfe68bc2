"""Decide which task crashes the workers that start it.

A task may crash each worker that it is started on, and all others there lose
their work with it. A crash doesn't show which of the tasks caused it, so each
of them is blamed: it is then kept apart from other blamed tasks, and after
another crash from all others (see ``isolation``). Once three workers have
crashed under a task just after its start, the last one while nothing else ran
there, it is given up, and the others are no longer blamed for its crashes. A
worker may also crash by itself under a long task, and a worker of its own
isn't always to be had: five crashes suffice in any case.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace

__all__ = [
    "MAX_CRASHES",
    "Crash",
    "append_crash",
    "count_crashes",
    "explain_crashes",
    "find_deadly_task",
    "list_crashes_of",
]

# Crashes just after its start, after which a task is given up if it was alone
# at the last one.
MIN_CRASHES = 3
# Crashes after which it is given up, whatever else ran there. Those that are
# explained count as well, as two such tasks may have been on one worker.
MAX_CRASHES = 5
# A crash is noticed within half a second; a start may take a second to arrive.
MAX_EARLY_S = 2.0
# Crashes kept for a unit. The tasks of a wide gang may each have some.
MAX_KEPT_CRASHES = 20


@dataclass(frozen=True, slots=True)
class Crash:
    """The crash of a worker on which tasks of a unit had been started.

    ``run`` is the number of the unit's run, ``worker`` the incarnation, and
    ``tasks`` the indexes of the tasks there. ``alone`` says that no task of
    another unit was there, ``early`` that they had just been started, and
    ``explained`` that another task that was there is known to crash workers.
    """

    run: int
    worker: str
    tasks: tuple[int, ...]
    alone: bool
    early: bool = True
    explained: bool = False


def append_crash(crashes: list[Crash], crash: Crash) -> bool:
    """Add a crash to those of a unit; return whether it is a new one.

    A run of a task ends with its worker, so each run counts only once.
    """
    if not crash.tasks or any(
        item.worker == crash.worker
        or (item.run == crash.run and set(item.tasks) & set(crash.tasks))
        for item in crashes
    ):
        return False
    crashes.append(crash)
    del crashes[:-MAX_KEPT_CRASHES]
    return True


def count_crashes(crashes: Collection[Crash]) -> int:
    """Return the most crashes under one task that nothing else explains."""
    unexplained = [crash for crash in crashes if not crash.explained]
    return max(
        (len(found) for _, found in split_by_task(unexplained)), default=0
    )


def find_deadly_task(crashes: Collection[Crash]) -> int | None:
    """Return the index of a task of a unit that is to be given up, if any.

    ``crashes`` are in the order in which they happened.
    """
    for task, found in split_by_task(crashes):
        if found[-1].explained:
            continue
        early = [crash for crash in found if crash.early]
        if len(found) >= MAX_CRASHES or (
            found[-1].early
            and found[-1].alone
            and count_crashes(early) >= MIN_CRASHES
        ):
            return task
    return None


def explain_crashes(
    crashes: Iterable[Crash], workers: Collection[str]
) -> list[Crash]:
    """Return crashes, with those of the workers marked as explained."""
    return [
        replace(crash, explained=True) if crash.worker in workers else crash
        for crash in crashes
    ]


def list_crashes_of(task: int, crashes: Iterable[Crash]) -> list[Crash]:
    """Return the crashes under one task."""
    return [crash for crash in crashes if task in crash.tasks]


def split_by_task(
    crashes: Collection[Crash],
) -> Iterator[tuple[int, list[Crash]]]:
    """Return the crashes under each task of a unit."""
    tasks = {task for crash in crashes for task in crash.tasks}
    return ((task, list_crashes_of(task, crashes)) for task in sorted(tasks))
