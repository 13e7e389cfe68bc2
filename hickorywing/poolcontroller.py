"""Control one pool: place the tasks of its jobs, track and store their runs.

The controller runs in the entry that holds the pool's lease. It rebuilds its
state from rows and from the workers' reports, so a successor begins with the
same state. A placement is stored before its start is ordered, and an end is
stored before it is acknowledged to the worker.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from dataclasses import dataclass
import time

import msgspec

from hickorywing.agentlink import LinkTerms
from hickorywing.agentlinks import AgentLinks
from hickorywing.clock import now_s
from hickorywing.committer import Committer
from hickorywing.decisions import DecisionLog
from hickorywing.decoding import Count
from hickorywing.decoding import Number
from hickorywing.httpclient import HttpClient
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.peerprobes import PeerProber
from hickorywing.peerregistry import PeerRegistry
from hickorywing.peersuccession import PeerSuccession
from hickorywing.policy.candidacy import compute_head_start_s
from hickorywing.policy.candidacy import EntryCapacity
from hickorywing.policy.jobpreview import UnitPreview
from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolruns import JobStatus
from hickorywing.policy.settling import Settling
from hickorywing.poolconfig import ConfigurationView
from hickorywing.poollease import PoolLease
from hickorywing.poolrows import AgentRow
from hickorywing.poolrows import AGENTS
from hickorywing.poolrows import CUSTOMER_SHARES_KEY
from hickorywing.poolrows import decode_job
from hickorywing.poolrows import decode_row
from hickorywing.poolrows import decode_status
from hickorywing.poolrows import LEARNED_PREFIX
from hickorywing.poolrows import log_unreadable
from hickorywing.poolrows import PROGRESS
from hickorywing.poolrows import progress_key
from hickorywing.poolrows import queue_key
from hickorywing.poolrows import QUEUE_PREFIX
from hickorywing.poolrows import REQUESTS
from hickorywing.poolrows import RowUnreadable
from hickorywing.poolrows import RUN_TIMES_KEY
from hickorywing.poolrows import split_request_key
from hickorywing.poolrows import status_key
from hickorywing.poolrows import STATUSES
from hickorywing.poolrows import WORKER_SPEEDS_KEY
from hickorywing.progressrows import find_job_id
from hickorywing.progressrows import ProgressRows
from hickorywing.progressrows import restore_progress
from hickorywing.rows import HistoryLost
from hickorywing.rows import RowStore
from hickorywing.rows import StoredRow
from hickorywing.rows import StoreUnavailable
from hickorywing.runcontrol import ControllerTerms
from hickorywing.runcontrol import RunControl
from hickorywing.tablefeed import TableFeed

__all__ = ["ControllerParts", "PoolController"]

RETRY_S = 0.2
FEED_WAIT_S = 2.0
AGENT_FEED_WAIT_S = 5.0
TICK_S = 0.1
QUEUE_COUNT_INTERVAL_S = 0.5
SWEEP_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class ControllerParts:
    """The objects that an entry shares among the controllers of its pools.

    ``address`` is the address at which other entries reach it.
    """

    name: str
    address: str
    store: RowStore
    http: HttpClient
    view: ConfigurationView
    terms: ControllerTerms
    log: DecisionLog
    metrics: Metrics
    capacity: EntryCapacity = EntryCapacity()


class PoolController:
    """A candidate for the role of a pool's controller, which it may hold.

    ``term`` is the present term, ``None`` while another entry controls.
    """

    def __init__(self, pool: str, parts: ControllerParts) -> None:
        self.pool = pool
        self.term: ControllerTerm | None = None
        self.peers = PeerRegistry(
            pool, parts.name, parts.address, parts.store, parts.log
        )
        self.lease = PoolLease(
            pool,
            parts.name,
            parts.store,
            parts.log,
            parts.metrics,
            PeerSuccession(pool, self.peers, parts.http, parts.log),
            compute_head_start_s(parts.capacity),
        )
        self._parts = parts

    async def run(self) -> None:
        """Compete for the role and control the pool until cancelled."""
        registering = asyncio.ensure_future(self.peers.keep_registered())
        try:
            await self.lease.run(self._serve)
        finally:
            registering.cancel()

    async def _serve(self) -> None:
        """Control the pool for one term, and maintain its candidates."""
        parts = self._parts
        peer_prober = PeerProber(
            self.pool, self.peers, parts.http, self.lease.holds, parts.log
        )
        background_tasks = [
            asyncio.ensure_future(
                self.peers.follow(self.lease.request_renewal)
            ),
            asyncio.ensure_future(peer_prober.run()),
        ]
        try:
            self.term = ControllerTerm(self.lease, parts)
            await self.term.run()
        finally:
            self.term = None
            for task in background_tasks:
                task.cancel()


class ControllerTerm:
    """The state and tasks of a controller during one term."""

    def __init__(self, lease: PoolLease, parts: ControllerParts) -> None:
        terms, log = parts.terms, parts.log
        self._pool = lease.pool
        self._lease = lease
        self._store = parts.store
        self._metrics = parts.metrics
        self._log = log
        link_terms = LinkTerms(
            lease.pool,
            lease.epoch,
            terms.lease_limit_s,
            lease.no_successor_before_s,
            lease.check_role,
            log,
        )
        self._committer = Committer(lease, parts.store, log, parts.metrics)
        # As stored; ``None`` for a row that can't be decoded.
        self._counts: dict[str, int | None] = {}
        self._settling = Settling(now_s())
        self._agents_read = False
        self._runs = RunControl(
            lease,
            parts.view,
            terms,
            self._committer,
            self._is_settled,
            log,
            parts.metrics,
        )
        self._links = AgentLinks(
            link_terms, parts.http, self._runs.reports.handle_report
        )

    def _is_settled(self) -> bool:
        """Return whether enough workers are known to make a plan.

        A plan over the first few would preempt work although others have room.
        """
        workers = {link.worker for link in self._links} - {""}
        all_known = self._agents_read and all(
            link.knows_worker() for link in self._links
        )
        return self._settling.is_settled(now_s(), workers, all_known)

    def preview(self, job: PoolJob) -> tuple[str, list[UnitPreview]]:
        """Return where a job that wasn't submitted would go now.

        The text says what holds up planning at present, empty if nothing.
        """
        return self._runs.preview(job)

    async def run(self) -> None:
        """Load the rows, then follow their changes until a task ends."""
        requests_version = await self._load()
        parts: list[Coroutine[None, None, None]] = [
            self._follow(
                REQUESTS,
                requests_version,
                FEED_WAIT_S,
                self._handle_request_row,
            ),
            self._follow_agents(),
            self._committer.run(),
            self._tick(),
        ]
        tasks = [asyncio.ensure_future(part) for part in parts]
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
        finally:
            await self._close(tasks)

    async def _close(self, tasks: list[asyncio.Task[None]]) -> None:
        for task in tasks:
            task.cancel()
        tasks.extend(self._links.close())
        self._runs.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _load(self) -> int:
        """Read all jobs and their progress; return the version to follow.

        Only the holder of the role writes progress and statuses, so the three
        reads need not be consistent with each other.
        """
        while True:
            try:
                requests, progress, statuses = await asyncio.gather(
                    self._store.read_part(REQUESTS, self._pool),
                    self._store.read_part(PROGRESS, self._pool),
                    self._store.read_part(STATUSES, self._pool),
                )
            except StoreUnavailable as error:
                self._log.write(LogEvent.LOAD_FAILED, error=str(error))
                await asyncio.sleep(RETRY_S)
                continue
            for row in statuses.rows:
                self._handle_status_row(row)
            rows = self._sort_progress(progress.rows)
            for row in requests.rows:
                self._handle_request_row(row, rows)
            self._remove_rows_without_job(requests.rows, rows)
            self._log.write(
                LogEvent.JOBS_LOADED,
                pool=self._pool,
                epoch=self._lease.epoch,
                jobs=len(self._runs.jobs.accepted),
                version=requests.version,
            )
            return requests.version

    def _sort_progress(
        self, rows: Iterable[StoredRow]
    ) -> dict[str, ProgressRows]:
        """Return the progress rows of each job.

        The rows with the slow workers and the learned run times, which have
        the same table, are adopted.
        """
        found: dict[str, ProgressRows] = {}
        for row in rows:
            self._committer.versions[row.key] = row.version
            if row.value is None:
                continue
            if row.key.key == WORKER_SPEEDS_KEY:
                self._restore_worker_speeds(row)
                continue
            if row.key.key == CUSTOMER_SHARES_KEY:
                self._restore_customer_shares(row)
                continue
            if row.key.key == RUN_TIMES_KEY:
                self._runs.learning.restore(row)
                continue
            if row.key.key.startswith(LEARNED_PREFIX):
                # A later build has learned something else.
                continue
            job_id, is_main = find_job_id(row.key)
            progress = found.setdefault(job_id, ProgressRows())
            if is_main:
                progress.main = row.value
            else:
                progress.parts[row.key] = row.value
        return found

    def _remove_rows_without_job(
        self, requests: Iterable[StoredRow], rows: dict[str, ProgressRows]
    ) -> None:
        """Delete progress rows whose job has been deleted.

        A controller of an earlier build may leave some of a job's rows.
        """
        jobs = {split_request_key(row.key.key)[0] for row in requests}
        for job_id in rows.keys() - jobs:
            keys = [
                *rows[job_id].parts,
                progress_key(self._pool, job_id),
                status_key(self._pool, job_id),
            ]
            versions = self._committer.versions
            self._committer.remove(
                {key: versions[key] for key in keys if versions.get(key)}
            )

    def _restore_customer_shares(self, row: StoredRow) -> None:
        """Adopt the customers' shares that an earlier controller stored."""
        try:
            means = decode_row(row.value, dict[str, Number])
        except RowUnreadable as error:
            # Without the row, shares are those held from now on.
            log_unreadable(self._log, row, error)
            return
        self._runs.restore_customer_shares(means)

    def _restore_worker_speeds(self, row: StoredRow) -> None:
        """Adopt the uneven workers that an earlier controller stored."""
        try:
            slowdowns = decode_row(row.value, dict[str, Number])
        except RowUnreadable as error:
            # Without the row, speeds are estimated again.
            log_unreadable(self._log, row, error)
            return
        self._runs.restore_worker_speeds(slowdowns)

    def _handle_status_row(self, row: StoredRow) -> None:
        """Record a row that callers see: a job's status or a queue's count.

        A count that is out of date is replaced by the next one.
        """
        self._committer.versions[row.key] = row.version
        if row.value is None:
            return
        key = row.key.key
        try:
            if key.startswith(QUEUE_PREFIX):
                queue = key.removeprefix(QUEUE_PREFIX)
                self._counts[queue] = None
                self._counts[queue] = decode_row(row.value, Count)
            else:
                status = decode_status(row.value)
                self._runs.jobs.record_published(key, status)
        except RowUnreadable as error:
            # The row is rewritten from the progress of the jobs.
            log_unreadable(self._log, row, error)

    async def _follow(
        self,
        table: str,
        version: int,
        wait_s: float,
        handle_row: Callable[[StoredRow], None],
    ) -> None:
        """Pass each changed row of the pool in a table to ``handle_row``.

        All rows are read again if the store no longer has the changes since
        ``version``.
        """
        feed = TableFeed(self._store, table, wait_s, self._log)
        while True:
            try:
                page = await feed.fetch(version)
                version = page.version
                rows = page.rows
            except HistoryLost:
                read = await self._reread_table(table)
                if read is None:
                    continue
                rows, version = read
            except StoreUnavailable:
                await asyncio.sleep(RETRY_S)
                continue
            for row in rows:
                if row.key.part == self._pool:
                    handle_row(row)

    async def _reread_table(
        self, table: str
    ) -> tuple[tuple[StoredRow, ...], int] | None:
        self._log.write(LogEvent.FEED_LOST_ITS_HISTORY, table=table)
        try:
            read = await self._store.read_part(table, self._pool)
        except StoreUnavailable:
            await asyncio.sleep(RETRY_S)
            return None
        return read.rows, read.version

    def _handle_request_row(
        self,
        row: StoredRow,
        progress: dict[str, ProgressRows] | None = None,
    ) -> None:
        """Add an accepted job, or cancel one.

        ``progress`` has the progress rows by job while the rows are loaded. A
        job with a row that can't be decoded is ignored, as starting it might
        repeat completed work.
        """
        if row.value is None:
            return
        job_id, is_job = split_request_key(row.key.key)
        if not is_job:
            self._runs.jobs.cancel(job_id, row.version)
            return
        if job_id in self._runs.jobs.accepted:
            return
        try:
            job = decode_job(row.value)
        except RowUnreadable as error:
            self._log.write(
                LogEvent.JOB_UNREADABLE, job=job_id, error=str(error)
            )
            return
        state = JobState(job, row.version, now_s())
        stored = None if progress is None else progress.get(job_id)
        if stored is not None:
            try:
                restore_progress(state, stored, self._store.clock_s())
            except RowUnreadable as error:
                key = progress_key(self._pool, job_id)
                version = self._committer.versions.get(key, 0)
                stored_row = StoredRow(key, stored.main, version)
                log_unreadable(self._log, stored_row, error)
                return
            self._log_restored(state, stored)
        self._runs.jobs.add(state, progress is not None, stored)

    def _log_restored(self, state: JobState, rows: ProgressRows) -> None:
        """Log what the rows of a job that may go on tell of it.

        A unit without a run in an open occurrence never ran by the rows; an
        ``end of another run`` of its task shows that they have lost it.
        """
        if state.final:
            return
        units = state.units.values()
        self._log.write(
            LogEvent.JOB_RESTORED,
            job=state.job.job_id,
            status=state.status,
            finished=len(state.finished),
            rows=len(rows.parts),
            units=len(units),
            placed=sum(unit.run > 0 for unit in units),
            done=sum(unit.done for unit in units),
        )

    async def _follow_agents(self) -> None:
        """Maintain a link to each agent of the pool."""
        while True:
            try:
                read = await self._store.read_part(AGENTS, self._pool)
                break
            except StoreUnavailable:
                await asyncio.sleep(RETRY_S)
        for row in read.rows:
            self._handle_agent_row(row)
        self._agents_read = True
        await self._follow(
            AGENTS, read.version, AGENT_FEED_WAIT_S, self._handle_agent_row
        )

    def _handle_agent_row(self, row: StoredRow) -> None:
        if row.value is None:
            return
        try:
            agent = decode_row(row.value, AgentRow)
        except RowUnreadable as error:
            log_unreadable(self._log, row, error)
            return
        self._links.set_address(row.key.key, agent.address)

    async def _tick(self) -> None:
        """Run the periodic work: ticks, queue counts and removal of jobs."""
        counted_s = 0.0
        swept_s = now_s()
        while True:
            self._runs.tick(time.time())
            if now_s() - counted_s >= QUEUE_COUNT_INTERVAL_S:
                counted_s = now_s()
                self._publish_counts()
                self._metrics.set(
                    "role_lease_age_seconds", self._lease.unconfirmed_s()
                )
            if now_s() - swept_s >= SWEEP_INTERVAL_S:
                swept_s = now_s()
                self._runs.jobs.delete_ended()
            await asyncio.sleep(TICK_S)

    def _publish_counts(self) -> None:
        """Store the number of pending jobs of each queue, if it changed."""
        counts = dict.fromkeys(self._counts, 0)
        for state in self._runs.jobs.accepted.values():
            if state.status is JobStatus.PENDING and not state.job.occurrences:
                queue = state.job.terms.queue
                counts[queue] = counts.get(queue, 0) + 1
        for queue, count in counts.items():
            if self._counts.get(queue) != count:
                self._committer.put(
                    queue_key(self._pool, queue),
                    lambda value=count: msgspec.msgpack.encode(value),
                )
        self._counts = counts
