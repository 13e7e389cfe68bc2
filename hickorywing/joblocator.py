"""Find the pool that accepted a job, and whose the job is.

A job stays in the pool that accepted it, also when its queue is sent to
another pool. The row ``job_pools/ID`` says which pool that is. Entries of an
earlier build write no such row, so the jobs that they accepted are looked for
in all known pools.
"""

from collections import OrderedDict

from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.policy.jobaccess import JobOwner
from hickorywing.poolcatalog import PoolCatalog
from hickorywing.poolrows import decode_job_pool
from hickorywing.poolrows import decode_owner
from hickorywing.poolrows import job_key
from hickorywing.poolrows import job_pool_key
from hickorywing.poolrows import log_unreadable
from hickorywing.poolrows import RowUnreadable
from hickorywing.rows import RowStore
from hickorywing.rows import StoredRow

__all__ = ["JobLocator"]

# About 100 bytes each, 5 MB together.
MAX_JOBS = 50_000
MAX_OWNERS = 1_000


class JobLocator:
    """The pools of the jobs that one entry has met."""

    def __init__(
        self, store: RowStore, catalog: PoolCatalog, log: DecisionLog
    ) -> None:
        self._store = store
        self._catalog = catalog
        self._log = log
        self._pools: OrderedDict[str, str] = OrderedDict()
        self._owners: OrderedDict[str, JobOwner] = OrderedDict()
        # One object for all jobs of a customer in a queue.
        self._shared_owners: dict[JobOwner, JobOwner] = {}

    def add_owner(self, job_id: str, owner: JobOwner) -> None:
        """Record whose a job is that a pool has accepted."""
        if len(self._shared_owners) > MAX_OWNERS:
            self._shared_owners.clear()
        self._owners[job_id] = self._shared_owners.setdefault(owner, owner)
        if len(self._owners) > MAX_JOBS:
            self._owners.popitem(last=False)

    def add(self, job_id: str, pool: str) -> None:
        """Record that a pool has accepted a job."""
        self._pools[job_id] = pool
        if len(self._pools) > MAX_JOBS:
            self._pools.popitem(last=False)

    def forget(self, job_id: str) -> None:
        """Drop a job whose rows have been deleted."""
        self._pools.pop(job_id, None)
        self._owners.pop(job_id, None)

    def clear(self) -> None:
        """Drop all jobs, as some may have been deleted unnoticed."""
        self._pools.clear()
        self._owners.clear()

    def find_known(self, job_id: str) -> str | None:
        """Return a job's pool if this entry has met the job."""
        return self._pools.get(job_id)

    async def locate(self, pool: str, job_id: str) -> str | None:
        """Return the pool that accepted a job, ``None`` if there is no job.

        ``pool`` is the one that most likely did: the present pool of the
        queue. Raises ``StoreUnavailable``.
        """
        known = self.find_known(job_id)
        if known is not None:
            return known
        if await self.holds(pool, job_id):
            return pool
        row = await self._store.read_row(job_pool_key(job_id))
        recorded = None if row is None else self.decode(row)
        others = {recorded} if recorded else await self.find_others(pool)
        for other in sorted(others - {pool}):
            if await self.holds(other, job_id):
                self._log.write(
                    LogEvent.JOB_ELSEWHERE,
                    job=job_id,
                    pool=other,
                    queue_pool=pool,
                    recorded=recorded is not None,
                )
                return other
        return None

    async def find_owner(self, pool: str, job_id: str) -> JobOwner | None:
        """Return whose a job is, ``None`` if there is no job.

        ``pool`` is the one that most likely accepted it. Raises
        ``StoreUnavailable``.
        """
        if job_id not in self._owners:
            located = await self.locate(pool, job_id)
            if located is not None and job_id not in self._owners:
                await self.holds(located, job_id)
        return self._owners.get(job_id)

    async def find_others(self, pool: str) -> frozenset[str]:
        """Return the other pools that may hold jobs of an earlier build.

        Raises ``StoreUnavailable`` if no list of the pools is known yet.
        """
        return await self._catalog.find_names() - {pool}

    async def holds(self, pool: str, job_id: str) -> bool:
        """Return whether a pool has accepted a job.

        Raises ``StoreUnavailable``.
        """
        row = await self._store.read_row(job_key(pool, job_id))
        if row is None:
            return False
        self.add(job_id, pool)
        self.add_owner_of(job_id, row)
        return True

    def add_owner_of(self, job_id: str, row: StoredRow) -> None:
        """Record whose the job in a row is, nobody's if it is unreadable."""
        try:
            owner = decode_owner(row.value)
        except RowUnreadable as error:
            log_unreadable(self._log, row, error)
            owner = JobOwner("", "")
        self.add_owner(job_id, owner)

    def decode(self, row: StoredRow) -> str | None:
        """Return the pool in a row of ``job_pools``.

        A row that can't be decoded is logged and names no pool.
        """
        try:
            return decode_job_pool(row.value)
        except RowUnreadable as error:
            log_unreadable(self._log, row, error)
            return None
