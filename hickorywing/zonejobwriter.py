"""Write job rows of a zone under the epoch of its controller."""

import asyncio
from collections.abc import Callable

from hickorywing.metrics import Metrics
from hickorywing.table import Check
from hickorywing.table import commit_until_known
from hickorywing.table import Committed
from hickorywing.table import Conflict
from hickorywing.table import new_nonce
from hickorywing.table import Row
from hickorywing.table import Table
from hickorywing.table import TableUnavailable
from hickorywing.table import Transaction
from hickorywing.table import Write
from hickorywing.zonejobs import home_key
from hickorywing.zonejobs import inbox_key
from hickorywing.zonejobs import job_key
from hickorywing.zonejobs import JobRow
from hickorywing.zonejobs import JobStatus

__all__ = ["JobWriter"]

MAX_CONFLICTS = 8
MAX_CONCURRENT_COMMITS = 16
UNAVAILABLE_PAUSE_S = 1.0

Change = Callable[[JobRow], JobRow | None]


class JobWriter:
    """The job rows of one zone as last read or written.

    Changes of one job are applied one after another. Each is a function from
    the present row to the wanted one, or to ``None`` if the change no longer
    applies. After a conflict the row is read again and the function is called
    again, so that a cancellation by an entry is never overwritten.
    """

    def __init__(
        self, table: Table, epoch_check: Callable[[], Check], metrics: Metrics
    ) -> None:
        self.table = table
        self.metrics = metrics
        self._epoch_check = epoch_check
        self._rows: dict[str, JobRow] = {}
        self._versions: dict[str, int] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._unavailable_until = 0.0
        self._commit_slots = asyncio.Semaphore(MAX_CONCURRENT_COMMITS)

    def is_table_available(self) -> bool:
        """Return whether the table is expected to answer commits.

        This is false for ``UNAVAILABLE_PAUSE_S`` seconds after a commit was
        refused or not answered, unless another one succeeds meanwhile.
        """
        return asyncio.get_running_loop().time() >= self._unavailable_until

    def add_row(self, row: JobRow, version: int) -> None:
        """Store a row that was just read, unless a newer one is known."""
        if version >= self._versions.get(row.job_id, 0):
            self._rows[row.job_id] = row
            self._versions[row.job_id] = version

    def find_row(self, job_id: str) -> JobRow | None:
        """Return the row as last read or written."""
        return self._rows.get(job_id)

    def get_version(self, job_id: str) -> int:
        """Return the version of the known row, 0 if there is none."""
        return self._versions.get(job_id, 0)

    def is_ended(self, job_id: str) -> bool:
        """Return whether the known row is final, or there is none."""
        row = self._rows.get(job_id)
        return row is None or row.status.is_terminal

    def forget(self, job_id: str) -> None:
        """Drop the rows of a job that has ended or moved."""
        self._rows.pop(job_id, None)
        self._versions.pop(job_id, None)
        self._locks.pop(job_id, None)

    async def update(
        self,
        job_id: str,
        change: Change,
        checks: list[Check],
        timeout_s: float,
        ends: bool = False,
    ) -> JobRow | None:
        """Apply a change; return the row written, or ``None``.

        ``checks`` must hold as well. ``timeout_s`` limits the time of each
        commit, and ``ends`` says that the change ends the job.
        """

        def make_writes(row: JobRow) -> list[Write]:
            return row.end_writes() if ends else [row.to_write()]

        return await self._apply(
            job_id, change, checks, timeout_s, make_writes
        )

    async def move(
        self,
        job_id: str,
        home: str,
        kept_s: float,
        failures: int,
        timeout_s: float,
    ) -> JobRow | None:
        """Move a queued job to the zone ``home``, with its progress.

        ``kept_s`` is the run time that the job keeps, in seconds. Returns the
        row written, or ``None`` if the job can't move any more.
        """
        known = self._rows.get(job_id)
        old_home = known.home if known is not None else home

        def move(row: JobRow) -> JobRow | None:
            if row.home != old_home or row.cancel_requested:
                return None
            if row.status.is_terminal:
                return None
            return row.change(
                home=home,
                status=JobStatus.QUEUED,
                kept_s=kept_s,
                failures=failures,
                placement=[],
            )

        def make_writes(row: JobRow) -> list[Write]:
            return [
                row.to_write(),
                Write(home_key(old_home, job_id)),
                Write(home_key(home, job_id), {}),
                Write(inbox_key(home, job_id), {}),
            ]

        return await self._apply(job_id, move, [], timeout_s, make_writes)

    async def _apply(
        self,
        job_id: str,
        change: Change,
        checks: list[Check],
        timeout_s: float,
        make_writes: Callable[[JobRow], list[Write]],
    ) -> JobRow | None:
        """Apply a change, retrying it after conflicts with other writers.

        Returns the row written, or ``None`` if the change no longer applies,
        could not be written or met ``MAX_CONFLICTS`` conflicts.
        ``make_writes`` returns the writes that store the wanted row.
        """
        lock = self._locks.setdefault(job_id, asyncio.Lock())
        async with lock:
            for _ in range(MAX_CONFLICTS):
                row = self._rows.get(job_id)
                if row is None:
                    return None
                wanted = change(row)
                if wanted is None:
                    return None
                answer = await self._commit(
                    wanted, checks, timeout_s, make_writes
                )
                if answer is not None:
                    return wanted if answer else None
            self.metrics.count("job_writes_given_up")
            return None

    async def _commit(
        self,
        wanted: JobRow,
        checks: list[Check],
        timeout_s: float,
        make_writes: Callable[[JobRow], list[Write]],
    ) -> bool | None:
        """Try a write once; return whether it took effect.

        Returns ``None`` if the row was changed by another writer, so that the
        change is to be tried again.
        """
        job_id = wanted.job_id
        own = Check(job_key(job_id), self._versions[job_id])
        epoch = self._epoch_check()
        transaction = Transaction(
            [own, epoch, *checks], make_writes(wanted), new_nonce()
        )
        async with self._commit_slots:
            answer = await commit_until_known(
                self.table, transaction, timeout_s
            )
        if isinstance(answer, Committed):
            self._rows[job_id] = wanted
            self._versions[job_id] = answer.version
            self._unavailable_until = 0.0
            return True
        if isinstance(answer, Conflict):
            own_row = _find_row_by_key(answer.rows, own.key)
            if own_row is None:
                self.metrics.count("job_writes_fenced")
                return False
            self._adopt_row(job_id, own_row)
            return None
        self.metrics.count("job_writes_unserved")
        now = asyncio.get_running_loop().time()
        self._unavailable_until = now + UNAVAILABLE_PAUSE_S
        return await self._read_back(job_id, transaction.nonce)

    async def _read_back(self, job_id: str, nonce: str) -> bool | None:
        """Read the row to find out whether an unanswered write succeeded.

        Returns ``False`` if the row can't be read.
        """
        try:
            row = await self.table.read(job_key(job_id))
        except TableUnavailable:
            return False
        self._adopt_row(job_id, row)
        return row.nonce == nonce

    def _adopt_row(self, job_id: str, row: Row) -> None:
        if row.value is None:
            self._rows.pop(job_id, None)
            self._versions.pop(job_id, None)
            return
        self._rows[job_id] = JobRow.from_value(row.value)
        self._versions[job_id] = row.version

    async def clear_inbox(self, rows: list[Row]) -> None:
        """Delete inbox rows unless they have changed since they were read."""
        if not rows:
            return
        transaction = Transaction(
            [
                self._epoch_check(),
                *(Check(row.key, row.version) for row in rows),
            ],
            [Write(row.key) for row in rows],
            new_nonce(),
        )
        answer = await self.table.commit(transaction)
        if not isinstance(answer, Committed):
            self.metrics.count("inbox_clears_repeated")


def _find_row_by_key(rows: tuple[Row, ...], key: str) -> Row | None:
    for row in rows:
        if row.key == key:
            return row
    return None
