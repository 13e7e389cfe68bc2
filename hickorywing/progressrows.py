"""Encode a job's progress as rows, and restore it from them.

A small job has one row, ``ID``. A row has a size limit, so the units of a
larger job are in rows of their own, ``ID/OCCURRENCE.STEP.FIRST``, each with a
range of ``PART_TASKS`` tasks, or fewer if these take too many bytes. A change
writes the rows that differ from the stored ones. A gang that is wider than a
part is in several rows, each with some of its members.

The rows of a change may take several transactions, and a controller may end
between any two of them. What a unit's row says must be in the store at every
moment, in that row or in the main row: the rows of completed occurrences are
deleted after the main row has these as finished, and a unit moves to another
row within one transaction.

Builds before this one open the whole of a finished occurrence if they find any
row of it. Its rows are therefore deleted together; if they are too many for
one transaction, a few of them say first that all units are done, and are
deleted with a later write.

The main row of a large job has another layout, so that controllers of builds
before this one, which know one row only, leave the job alone.
"""

from bisect import bisect_left
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field

import msgspec

from hickorywing.clock import now_s
from hickorywing.decoding import Count
from hickorywing.decoding import Number
from hickorywing.policy.crashes import Crash
from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolruns import JobStatus
from hickorywing.policy.poolruns import Member
from hickorywing.policy.poolruns import split_into_units
from hickorywing.policy.poolruns import UncertainEnd
from hickorywing.policy.poolruns import Unit
from hickorywing.poolrows import decode_row
from hickorywing.poolrows import progress_key
from hickorywing.poolrows import RowUnreadable
from hickorywing.rows import RowKey
from hickorywing.rows import ROWS_PER_COMMIT

__all__ = [
    "ProgressRows",
    "StoredProgress",
    "find_group",
    "find_job_id",
    "restore_progress",
]

# The largest progress that is kept in one row, in bytes. It is half of the
# store's limit, and larger than the progress of most jobs.
MAX_SINGLE_BYTES = 32_768
PART_TASKS = 128
PART_SEPARATOR = "/"

UnitKey = tuple[int, int, int]


class UnitRow(msgspec.Struct, array_like=True):
    """A unit that was started at least once.

    ``members`` holds the task's index, the worker and the ending, which is
    empty while the member may be running. ``placed_at_s`` is by the store's
    clock, which all controllers share and which never jumps. ``crashes`` holds
    the run, the worker, the tasks, whether they were alone there and just
    started, and whether another task explains it. Each of ``uncertain_ends``
    has the run, the task's index and the worker of an inferred end that isn't
    known yet. Rows of earlier builds lack both.
    """

    occurrence: Count
    step: Count
    first: Count
    run: Count
    failures: Count
    done: bool
    saved: str
    members: list[tuple[Count, str, str]]
    placed_at_s: Number = 0.0
    crashes: list[tuple[Count, str, list[Count], bool, bool, bool]] = []
    uncertain_ends: list[tuple[Count, Count, str]] = []


class ProgressRow(msgspec.Struct, array_like=True):
    """Everything that is stored of a small job except the job itself."""

    status: JobStatus
    finished: list[Count] = []
    units: list[UnitRow] = []


class LargeProgressRow(msgspec.Struct):
    """The row of a large job, whose units are in other rows.

    ``finished`` has ranges of occurrences, each from the first one up to but
    not including the second one.
    """

    status: JobStatus
    finished: list[tuple[Count, Count]] = []


@dataclass(slots=True)
class ProgressRows:
    """The values of a job's progress rows as read."""

    main: bytes | None = None
    parts: dict[RowKey, bytes] = field(default_factory=dict)


def find_job_id(key: RowKey) -> tuple[str, bool]:
    """Return the job of a progress row, and whether it is its main row."""
    job_id, separator, _ = key.key.partition(PART_SEPARATOR)
    return job_id, not separator


def find_group(key: RowKey, is_removed: bool) -> str:
    """Return the name of the rows that a row is written together with.

    These are the rows of a range of tasks, between which units move. Rows are
    removed with all others of their occurrence, since an earlier build that
    finds some of them opens the whole occurrence.
    """
    job_id, _, suffix = key.key.partition(PART_SEPARATOR)
    unit = parse_unit_key(suffix)
    if unit is None:
        return key.key
    if is_removed:
        return f"{job_id}{PART_SEPARATOR}{unit[0]}"
    return f"{job_id}{PART_SEPARATOR}{find_range(unit)}"


def find_range(key: UnitKey) -> UnitKey:
    """Return the key of the range of tasks that a unit's row is in."""
    occurrence, step, first = key
    return occurrence, step, first - first % PART_TASKS


def get_first(key: RowKey) -> int:
    """Return the first task of a part by its key."""
    return int(key.key.rpartition(".")[2])


def parse_unit_key(suffix: str) -> UnitKey | None:
    """Return the first unit of a part by its key, ``None`` if it has none."""
    numbers = suffix.split(".")
    if len(numbers) != 3 or not all(map(str.isdecimal, numbers)):
        return None
    occurrence, step, first = map(int, numbers)
    return occurrence, step, first


class StoredProgress:
    """The progress of one job in the store, as this controller has written it.

    A job that was large once stays so. ``known`` are the rows of a large job
    that an earlier controller wrote.
    """

    def __init__(
        self, pool: str, state: JobState, known: ProgressRows | None = None
    ) -> None:
        self._key = progress_key(pool, state.job.job_id)
        self._state = state
        self._written: dict[RowKey, bytes] = {}
        # The keys of the rows of each range of tasks. A range that is split
        # stays so: a deletion of its second row would come later than the
        # growth of its first.
        self._keys: dict[UnitKey, list[RowKey]] = {}
        # Rows that say that all units of a finished occurrence are done: those
        # that aren't stored yet, and those that are.
        self._summaries: list[RowKey] = []
        self._stored_summaries: list[RowKey] = []
        self._finished_ranges: tuple[int, list[tuple[int, int]]] = (-1, [])
        self._large = known is not None and bool(known.parts)
        if known is not None and self._large:
            self._adopt(known)

    def _adopt(self, known: ProgressRows) -> None:
        """Begin with the rows that an earlier controller wrote."""
        state = self._state
        self._written = dict(known.parts)
        for key in known.parts:
            unit = parse_unit_key(key.key.partition(PART_SEPARATOR)[2])
            if unit is not None:
                self._add_key(find_range(unit), key)
        state.refresh()
        if known.main is not None and is_large(known.main):
            # All units are stored; rows that were to be deleted are left.
            steps = state.job.steps
            state.unstored = {
                (occurrence, step, 0 if steps[step].gang else first)
                for occurrence, step, first in self._keys
                if occurrence in state.finished and step < len(steps)
            }

    def _add_key(self, begin: UnitKey, key: RowKey) -> None:
        keys = self._keys.setdefault(begin, [])
        if key not in keys:
            keys.append(key)
            keys.sort(key=get_first)

    def list_keys(self) -> list[RowKey]:
        """Return the keys of all rows that may be in the store."""
        return [self._key, *(self._written.keys() - {self._key})]

    def confirm_stored(self) -> None:
        """Record that all changes that were encoded are stored."""
        self._stored_summaries.extend(self._summaries)
        self._summaries.clear()

    def encode_changes(
        self, store_clock_s: float, row_bytes: int
    ) -> dict[RowKey, bytes | None]:
        """Return the rows to write, in this order; ``None`` deletes one.

        The main row comes after all that it shows the status of, and before
        the deletions that it makes up for. ``store_clock_s`` is the store's
        clock now in seconds, and ``row_bytes`` the limit of a row.
        """
        state = self._state
        state.refresh()
        limit = min(MAX_SINGLE_BYTES, row_bytes // 2)
        offset_s = store_clock_s - now_s()
        if not self._large:
            units = [
                encode_unit(unit, offset_s)
                for unit in state.units.values()
                if unit.run
            ]
            row = ProgressRow(state.status, sorted(state.finished), units)
            value = msgspec.msgpack.encode(row)
            if len(value) <= limit:
                state.unstored.clear()
                return {self._key: value}
            self._large = True
            state.unstored = set(state.units)
        changes = self._encode_changed_parts(offset_s, limit)
        main = msgspec.msgpack.encode(
            LargeProgressRow(state.status, self._list_finished())
        )
        if self._written.get(self._key) != main:
            changes[self._key] = self._written[self._key] = main
        return changes

    def _list_finished(self) -> list[tuple[int, int]]:
        """Return the ranges of finished occurrences, which only grow."""
        count = len(self._state.finished)
        if self._finished_ranges[0] != count:
            ranges = find_ranges(self._state.finished)
            self._finished_ranges = (count, ranges)
        return self._finished_ranges[1]

    def _encode_changed_parts(
        self, offset_s: float, limit: int
    ) -> dict[RowKey, bytes | None]:
        """Return the changes of the rows of units that have changed."""
        state = self._state
        begins: set[UnitKey] = set()
        gangs: dict[UnitKey, dict[int, UnitRow]] = {}
        for key in state.unstored:
            if state.job.steps[key[1]].gang:
                begins.update(self._list_gang_ranges(key, offset_s, gangs))
            else:
                begins.add(find_range(key))
        state.unstored.clear()
        changes: dict[RowKey, bytes | None] = {}
        for row_key in self._stored_summaries:
            changes[row_key] = None
            del self._written[row_key]
        self._stored_summaries.clear()
        # The rows of finished occurrences, as they were stored.
        removed: dict[int, dict[RowKey, bytes]] = {}
        for begin in sorted(begins):
            if state.job.steps[begin[1]].gang:
                part = gangs[begin[:2] + (0,)].get(begin[2])
                units = [] if part is None else [part]
            else:
                units = self._encode_range(begin, offset_s)
            rows = dict(self._encode_part(begin, units, limit))
            for row_key, value in rows.items():
                if self._written.get(row_key) != value:
                    changes[row_key] = self._written[row_key] = value
            for row_key in self._keys.get(begin, ()):
                if row_key not in rows:
                    changes[row_key] = None
                    value = self._written.pop(row_key)
                    if begin[0] in state.finished:
                        removed.setdefault(begin[0], {})[row_key] = value
            self._keys[begin] = list(rows)
            if not rows:
                del self._keys[begin]
        for occurrence, stored in removed.items():
            if len(stored) > ROWS_PER_COMMIT:
                changes.update(self._summarize(occurrence, stored, limit))
        return changes

    def _summarize(
        self, occurrence: int, stored: dict[RowKey, bytes], limit: int
    ) -> dict[RowKey, bytes]:
        """Return rows that say that all units of an occurrence are done.

        They replace the first of the stored ones, in order, and each unit of
        a row that is replaced is in that row or an earlier one.
        """
        known = join_parts(stored.values())
        keys = [
            (occurrence, number, first)
            for number, step in enumerate(self._state.job.steps)
            for first, _ in split_into_units(step)
        ]
        runs = [known[key].run if key in known else 1 for key in keys]
        units = [
            UnitRow(*key, run, 0, True, "", [])
            for key, run in zip(keys, runs, strict=True)
        ]
        bytes_each = max(len(msgspec.msgpack.encode(unit)) for unit in units)
        count = max(PART_TASKS, limit // bytes_each)
        summaries = {
            key: msgspec.msgpack.encode(units[begin : begin + count])
            for key, begin in zip(
                stored, range(0, len(units), count), strict=False
            )
        }
        self._written.update(summaries)
        self._summaries.extend(summaries)
        return summaries

    def _list_gang_ranges(
        self,
        key: UnitKey,
        offset_s: float,
        gangs: dict[UnitKey, dict[int, UnitRow]],
    ) -> Iterator[UnitKey]:
        """Return the ranges of a gang's members; add its parts to ``gangs``.

        They are those of its present run and those stored before.
        """
        unit = self._state.units.get(key)
        parts = gangs[key] = {}
        if unit is not None and unit.run:
            parts.update(split_unit(encode_unit(unit, offset_s)))
        count = self._state.job.steps[key[1]].count
        for first in range(0, count, PART_TASKS):
            begin = (key[0], key[1], first)
            if first in parts or begin in self._keys:
                yield begin

    def _encode_range(self, begin: UnitKey, offset_s: float) -> list[UnitRow]:
        """Return the units that were started in a range of tasks."""
        occurrence, step, first = begin
        found = (
            self._state.units.get((occurrence, step, first + offset))
            for offset in range(PART_TASKS)
        )
        return [
            encode_unit(unit, offset_s)
            for unit in found
            if unit is not None and unit.run
        ]

    def _encode_part(
        self, begin: UnitKey, units: list[UnitRow], limit: int
    ) -> Iterator[tuple[RowKey, bytes]]:
        """Encode the units of a range as rows, split where they were before.

        A row that takes too many bytes is split into two.
        """
        firsts = [get_first(key) for key in self._keys.get(begin, ())]
        first = begin[2]
        for second in [*(item for item in firsts if item > first), None]:
            count = len(units)
            if second is not None:
                count = bisect_left(units, second, key=lambda unit: unit.first)
            if count:
                yield from self._encode_rows(
                    (*begin[:2], first), units[:count], limit
                )
            units = units[count:]
            first = first if second is None else second

    def _encode_rows(
        self, key: UnitKey, units: list[UnitRow], limit: int
    ) -> Iterator[tuple[RowKey, bytes]]:
        """Encode units as a row, or as several if they take too many bytes."""
        value = msgspec.msgpack.encode(units)
        if len(value) > limit and len(units) > 1:
            middle = len(units) // 2
            yield from self._encode_rows(key, units[:middle], limit)
            second = (*key[:2], units[middle].first)
            yield from self._encode_rows(second, units[middle:], limit)
            return
        suffix = ".".join(map(str, key))
        job_key = self._key
        yield (
            RowKey(
                job_key.table,
                job_key.part,
                f"{job_key.key}{PART_SEPARATOR}{suffix}",
            ),
            value,
        )


def encode_unit(unit: Unit, offset_s: float) -> UnitRow:
    """Return the row of a unit that was started.

    ``offset_s`` is how much the store's clock is ahead, in seconds.
    """
    # Estimates of the store's clock differ, which would change rows.
    if unit.placed_store_s is None:
        unit.placed_store_s = round(unit.placed_at_s + offset_s, 1)
    uncertain = [
        (run, end.index, end.worker)
        for run, end in unit.uncertain_ends.items()
    ]
    fields = (
        unit.occurrence,
        unit.step,
        unit.first,
        unit.run,
        unit.failures,
        unit.done,
        unit.saved,
    )
    if unit.done:
        return UnitRow(*fields, [], 0.0, [], uncertain)
    members = [
        (item.index, item.worker, item.ending or "") for item in unit.members
    ]
    crashes = [
        (
            item.run,
            item.worker,
            list(item.tasks),
            item.alone,
            item.early,
            item.explained,
        )
        for item in unit.crashes
    ]
    return UnitRow(*fields, members, unit.placed_store_s, crashes, uncertain)


def split_unit(unit: UnitRow) -> Iterator[tuple[int, UnitRow]]:
    """Return the part of a unit in each range of tasks, with its begin."""
    begins: dict[int, list[tuple[int, str, str]]] = {}
    begins[unit.first - unit.first % PART_TASKS] = []
    for member in unit.members:
        begin = member[0] - member[0] % PART_TASKS
        begins.setdefault(begin, []).append(member)
    for begin, members in begins.items():
        yield begin, msgspec.structs.replace(unit, members=members)


def find_ranges(numbers: Iterable[int]) -> list[tuple[int, int]]:
    """Return the ranges of consecutive numbers, without their ends."""
    ranges: list[tuple[int, int]] = []
    for number in sorted(numbers):
        if ranges and ranges[-1][1] == number:
            ranges[-1] = (ranges[-1][0], number + 1)
        else:
            ranges.append((number, number + 1))
    return ranges


def restore_progress(
    state: JobState, rows: ProgressRows, store_clock_s: float
) -> None:
    """Set a job's state from its progress rows.

    ``store_clock_s`` is the store's clock now, in seconds. Raises
    ``RowUnreadable``, after which the state may be set in part.
    """
    units: dict[UnitKey, UnitRow] = {}
    if rows.main is not None and is_large(rows.main):
        large = decode_row(rows.main, LargeProgressRow)
        state.status = large.status
        for begin, end in large.finished:
            check_occurrence(state, end - 1)
            state.finished.update(range(begin, end))
    elif rows.main is not None:
        row = decode_row(rows.main, ProgressRow)
        state.status = row.status
        state.finished = set(row.finished)
        units = {get_key(item): item for item in row.units}
    # The parts are written before the main row, so they are never older.
    units.update(join_parts(rows.parts.values()))
    for key, item in units.items():
        check_occurrence(state, item.occurrence)
        if item.occurrence in state.finished:
            # The last controller ended before it had deleted all rows.
            continue
        if key not in state.units:
            state.open_occurrence(item.occurrence, now_s())
        try:
            restore_unit(state.units[key], item, store_clock_s)
        except (KeyError, ValueError) as error:
            raise RowUnreadable(f"unit {key}: {error!r}") from error


def check_occurrence(state: JobState, occurrence: int) -> None:
    """Raise ``RowUnreadable`` if a job has no such occurrence."""
    if occurrence >= max(1, state.job.occurrences):
        raise RowUnreadable(f"the job has no occurrence {occurrence}")


def is_large(value: bytes) -> bool:
    """Return whether a main row is a ``LargeProgressRow``.

    It is a MessagePack map with a few fields, whose first byte begins with 8.
    """
    return value[:1].hex().startswith("8")


def get_key(row: UnitRow) -> UnitKey:
    """Return the key of a unit's row within its job."""
    return (row.occurrence, row.step, row.first)


def join_parts(values: Iterable[bytes]) -> dict[UnitKey, UnitRow]:
    """Return the units in the rows of a large job.

    A unit's members may be in several rows. These may differ in their run if
    the last controller ended while it wrote them; then the older ones don't
    count, as no start of the newer run was ordered yet. Raises
    ``RowUnreadable``.
    """
    units: dict[UnitKey, UnitRow] = {}
    for value in values:
        for row in decode_row(value, list[UnitRow]):
            key = get_key(row)
            known = units.get(key)
            if known is None or row.run > known.run:
                units[key] = row
            elif row.run == known.run:
                both = [*known.members, *row.members]
                members = list({item[0]: item for item in both}.values())
                done = known.done or row.done
                units[key] = msgspec.structs.replace(
                    known,
                    members=[] if done else members,
                    done=done,
                    uncertain_ends=known.uncertain_ends or row.uncertain_ends,
                )
    return units


def restore_unit(unit: Unit, row: UnitRow, store_clock_s: float) -> None:
    """Set a unit from its row.

    Start orders of earlier controllers may still be in transit, so each member
    that has not ended counts as tried once.
    """
    unit.run = row.run
    unit.failures = row.failures
    unit.done = row.done
    unit.saved = row.saved
    unit.committed = True
    unit.placed_at_s = now_s() - (store_clock_s - row.placed_at_s)
    unit.placed_store_s = row.placed_at_s
    unit.members = [
        Member(index, worker, Ending(ending) if ending else None, tries=1)
        for index, worker, ending in row.members
    ]
    # Only lists from now on show how these runs have ended.
    unit.uncertain_ends = {
        run: UncertainEnd(index, worker, now_s())
        for run, index, worker in row.uncertain_ends
    }
    unit.given_up_runs = set(unit.uncertain_ends)
    unit.crashes = [
        Crash(run, worker, tuple(tasks), *flags)
        for run, worker, tasks, *flags in row.crashes
    ]
    if unit.running and any(item.ending for item in unit.members):
        unit.stopping = "another member has ended"
    if unit.running and len(unit.members) < unit.count:
        unit.stopping = "its placement was not stored as a whole"
    unit.mark_changed()
