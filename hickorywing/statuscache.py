"""Cache the statuses of jobs from the changefeed and the rows."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass

from hickorywing.decisions import DecisionLog
from hickorywing.decoding import Count
from hickorywing.joblocator import JobLocator
from hickorywing.logevents import LogEvent
from hickorywing.policy.poolruns import JobStatus
from hickorywing.poolrows import decode_row
from hickorywing.poolrows import decode_status
from hickorywing.poolrows import log_unreadable
from hickorywing.poolrows import queue_key
from hickorywing.poolrows import QUEUE_PREFIX
from hickorywing.poolrows import RowUnreadable
from hickorywing.poolrows import status_key
from hickorywing.poolrows import STATUSES
from hickorywing.rows import HistoryLost
from hickorywing.rows import RowKey
from hickorywing.rows import RowStore
from hickorywing.rows import StoredRow
from hickorywing.rows import StoreUnavailable
from hickorywing.tablefeed import TableFeed

__all__ = ["FeedPeriod", "StatusCache"]

RETRY_S = 0.2
FEED_WAIT_S = 2.0
# About 100 bytes each, 5 MB together.
MAX_STATUSES = 50_000


@dataclass(frozen=True, slots=True, eq=False)
class FeedPeriod:
    """A period in which the changefeed was followed without a gap.

    ``since`` is the store's version at its start.
    """

    since: int


class StatusCache:
    """The statuses of jobs that one entry knows.

    A cached status is the latest one from the changefeed. For a job that is
    not cached the rows in the store decide, so an accepted job is never
    reported as unknown because the cache is still empty. A status read from
    the rows is cached only if the feed has had no gap since. ``feed`` is
    ``None`` while the changefeed isn't followed.
    """

    def __init__(
        self, store: RowStore, locator: JobLocator, log: DecisionLog
    ) -> None:
        self.feed: FeedPeriod | None = None
        self._store = store
        self._locator = locator
        self._log = log
        self._table_feed = TableFeed(store, STATUSES, FEED_WAIT_S, log)
        self._statuses: OrderedDict[str, JobStatus] = OrderedDict()
        self._waiting_counts: dict[RowKey, int] = {}

    async def run(self) -> None:
        """Follow the jobs' statuses until cancelled."""
        version = 0
        while True:
            try:
                if self.feed is None:
                    version = await self._start_following()
                page = await self._table_feed.fetch(version)
            except HistoryLost:
                self._log.write(LogEvent.FEED_LOST_ITS_HISTORY, table=STATUSES)
                self._clear()
                continue
            except StoreUnavailable:
                await asyncio.sleep(RETRY_S)
                continue
            version = page.version
            for row in page.rows:
                self._apply_row(row)

    async def _start_following(self) -> int:
        """Start to follow the table; return the version to follow from."""
        # The answer to any read carries the store's newest version.
        read = await self._store.read_part(STATUSES, "", "~", "~\0")
        self._clear()
        self.feed = FeedPeriod(read.version)
        return read.version

    def _clear(self) -> None:
        """Drop what may be out of date after a gap in the feed."""
        self.feed = None
        self._statuses.clear()
        self._waiting_counts.clear()
        self._locator.clear()

    def _apply_row(self, row: StoredRow) -> None:
        """Apply a changed row of the feed.

        A deleted row leaves the last status as it is.
        """
        if row.value is None:
            self._locator.forget(row.key.key)
            return
        try:
            if row.key.key.startswith(QUEUE_PREFIX):
                self._waiting_counts[row.key] = decode_row(row.value, Count)
            else:
                self._set_status(row.key.key, decode_status(row.value))
                self._locator.add(row.key.key, row.key.part)
        except RowUnreadable as error:
            log_unreadable(self._log, row, error)

    def _set_status(self, job_id: str, status: JobStatus) -> None:
        self._statuses[job_id] = status
        if len(self._statuses) > MAX_STATUSES:
            self._statuses.popitem(last=False)

    def add_accepted(
        self, pool: str, job_id: str, feed: FeedPeriod | None
    ) -> None:
        """Record that a job has just been accepted in a pool.

        ``feed`` is the period of the changefeed in which the job was written,
        if any. If it still lasts, the feed brings each later status, so the
        job is cached as pending.
        """
        self._locator.add(job_id, pool)
        if feed is not None and feed is self.feed:
            self._statuses.setdefault(job_id, JobStatus.PENDING)

    async def find(self, pool: str, job_id: str) -> JobStatus | None:
        """Return a job's status, or ``None`` if there is no such job.

        ``pool`` is the present pool of the job's queue; another one may have
        accepted the job. Raises ``StoreUnavailable`` if the store has to be
        read and can't be.
        """
        if job_id in self._statuses:
            return self._statuses[job_id]
        feed = self.feed
        asked = self._locator.find_known(job_id) or pool
        status, version = await self._read_status(asked, job_id)
        if status is None:
            located = await self._locator.locate(asked, job_id)
            if located is None:
                return None
            if located != asked:
                status, version = await self._read_status(located, job_id)
            status = status or JobStatus.PENDING
        if feed is not None and feed is self.feed:
            # The feed may have brought a newer status during the read.
            status = self._statuses.get(job_id, status)
            if version >= feed.since:
                self._set_status(job_id, status)
        return status

    async def _read_status(
        self, pool: str, job_id: str
    ) -> tuple[JobStatus | None, int]:
        """Read the status row of a job; return it and the store's version.

        Raises ``StoreUnavailable``.
        """
        key = status_key(pool, job_id)
        read = await self._store.read_part(
            key.table, key.part, key.key, key.key + "\0"
        )
        if not read.rows or read.rows[0].value is None:
            return None, read.version
        return read_status(read.rows[0]), read.version

    async def count_waiting(self, pool: str, queue: str) -> int:
        """Return the number of a queue's jobs that have not started.

        Raises ``StoreUnavailable``.
        """
        key = queue_key(pool, queue)
        if key not in self._waiting_counts:
            feed = self.feed
            row = await self._store.read_row(key)
            count = 0
            if row is not None and row.value is not None:
                count = read_count(row)
            if feed is None or feed is not self.feed:
                return count
            self._waiting_counts.setdefault(key, count)
        return self._waiting_counts[key]


def read_status(row: StoredRow) -> JobStatus:
    """Return the status in a row; raise ``StoreUnavailable``."""
    try:
        return decode_status(row.value)
    except RowUnreadable as error:
        raise StoreUnavailable(f"unreadable status: {error}") from error


def read_count(row: StoredRow) -> int:
    """Return the count in a row; raise ``StoreUnavailable``."""
    try:
        return decode_row(row.value, Count)
    except RowUnreadable as error:
        raise StoreUnavailable(f"unreadable count: {error}") from error
