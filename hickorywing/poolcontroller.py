"""Control one pool: place its jobs' tasks, follow them, store what happened.

The controller runs in the entry that holds the pool's lease. Its state is
made from rows and from what the workers list, so a successor starts from the
same state. A run's place is stored before its start is ordered, and an end is
stored before the worker may forget it.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
import time
import traceback

import msgspec

from hickorywing.agentlink import AgentLink
from hickorywing.agentlink import LinkTerms
from hickorywing.clock import now_s
from hickorywing.committer import Committer
from hickorywing.decisions import DecisionLog
from hickorywing.httpclient import HttpClient
from hickorywing.jobrows import AgentRow
from hickorywing.jobrows import AGENTS
from hickorywing.jobrows import decode_job
from hickorywing.jobrows import decode_row
from hickorywing.jobrows import decode_status
from hickorywing.jobrows import log_unreadable
from hickorywing.jobrows import PACES_KEY
from hickorywing.jobrows import PROGRESS
from hickorywing.jobrows import queue_key
from hickorywing.jobrows import QUEUE_PREFIX
from hickorywing.jobrows import REQUESTS
from hickorywing.jobrows import restore_progress
from hickorywing.jobrows import RowUnreadable
from hickorywing.jobrows import split_request_key
from hickorywing.jobrows import STATUSES
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.peerbook import PeerBook
from hickorywing.peersuccession import PeerSuccession
from hickorywing.policy.candidacy import count_head_start_s
from hickorywing.policy.candidacy import Strength
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolruns import JobStatus
from hickorywing.policy.settling import Settling
from hickorywing.poolconfig import ConfigurationView
from hickorywing.poollease import PoolLease
from hickorywing.rollcall import RollCall
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
COUNT_EVERY_S = 0.5
SWEEP_EVERY_S = 10.0


@dataclass(frozen=True, slots=True)
class ControllerParts:
    """What an entry shares with the controllers of all its pools.

    ``address`` is where other entries reach it.
    """

    name: str
    address: str
    store: RowStore
    http: HttpClient
    view: ConfigurationView
    terms: ControllerTerms
    log: DecisionLog
    metrics: Metrics
    strength: Strength = Strength()


class PoolController:
    """One candidate for a pool's controller, and the controller itself."""

    def __init__(self, pool: str, parts: ControllerParts) -> None:
        self.pool = pool
        self.peers = PeerBook(
            pool, parts.name, parts.address, parts.store, parts.log
        )
        self.lease = PoolLease(
            pool,
            parts.name,
            parts.store,
            parts.log,
            parts.metrics,
            PeerSuccession(pool, self.peers, parts.http, parts.log),
            count_head_start_s(parts.strength),
        )
        self._parts = parts

    async def run(self) -> None:
        """Compete for the pool and control it until cancelled."""
        registering = asyncio.ensure_future(self.peers.keep_registered())
        try:
            await self.lease.run(self._serve)
        finally:
            registering.cancel()

    async def _serve(self) -> None:
        """Control the pool for one term, and keep its list of candidates."""
        parts = self._parts
        call = RollCall(
            self.pool, self.peers, parts.http, self.lease.holds, parts.log
        )
        beside = [
            asyncio.ensure_future(self.peers.follow(self.lease.renew_soon)),
            asyncio.ensure_future(call.run()),
        ]
        try:
            await Term(self.lease, parts).run()
        finally:
            for task in beside:
                task.cancel()


class Term:
    """The controller's state during one term of its lease."""

    def __init__(self, lease: PoolLease, parts: ControllerParts) -> None:
        terms, log = parts.terms, parts.log
        self._pool = lease.pool
        self._lease = lease
        self._store = parts.store
        self._http = parts.http
        self._metrics = parts.metrics
        self._log = log
        self._links: dict[str, tuple[AgentLink, asyncio.Task[None]]] = {}
        self._link_terms = LinkTerms(
            lease.pool,
            lease.epoch,
            terms.lease_limit_s,
            lease.alone_until_s,
            log,
        )
        self._committer = Committer(lease, parts.store, log)
        self._counts: dict[str, int] = {}
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

    def _is_settled(self) -> bool:
        """Tell whether all workers that answer are known.

        A plan over the first few would stop work although others have room.
        """
        links = [link for link, _ in self._links.values()]
        workers = {link.worker for link in links} - {""}
        all_known = self._agents_read and all(
            link.knows_worker() for link in links
        )
        return self._settling.is_settled(now_s(), workers, all_known)

    async def run(self) -> None:
        """Load the rows, then follow them until the role is lost."""
        requests_version = await self._load()
        parts: list[Coroutine[None, None, None]] = [
            self._follow(
                REQUESTS, requests_version, FEED_WAIT_S, self._take_request
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
        tasks.extend(watching for _, watching in self._links.values())
        for task in tasks:
            task.cancel()
        self._runs.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _load(self) -> int:
        """Read all jobs and their progress; return the version to follow.

        Nobody but this holder writes progress and statuses, so it doesn't
        matter which of the reads is answered first.
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
                self._take_status(row)
            rows = {row.key.key: row for row in progress.rows}
            self._take_paces(rows.pop(PACES_KEY, None))
            for row in requests.rows:
                self._take_request(row, rows)
            for row in progress.rows:
                self._committer.versions[row.key] = row.version
            self._log.write(
                LogEvent.JOBS_LOADED,
                pool=self._pool,
                epoch=self._lease.epoch,
                jobs=len(self._runs.jobs.accepted),
                version=requests.version,
            )
            return requests.version

    def _take_paces(self, row: StoredRow | None) -> None:
        """Take in which workers an earlier controller has found slow."""
        if row is None or row.value is None:
            return
        try:
            paces = decode_row(row.value, dict[str, float])
        except RowUnreadable as error:
            # Speeds are learnt anew.
            log_unreadable(self._log, row, error)
            return
        self._runs.restore_paces(paces)

    def _take_status(self, row: StoredRow) -> None:
        """Take in which status callers see, or how many jobs wait."""
        self._committer.versions[row.key] = row.version
        if row.value is None or row.key.key.startswith(QUEUE_PREFIX):
            return
        try:
            status = decode_status(row.value)
        except RowUnreadable as error:
            # The status is written anew from the progress row.
            log_unreadable(self._log, row, error)
            return
        self._runs.jobs.note_published(row.key.key, status)

    async def _follow(
        self,
        table: str,
        version: int,
        wait_s: float,
        take: Callable[[StoredRow], None],
    ) -> None:
        """Hand on each change of a table; read it again after a gap."""
        feed = TableFeed(self._store, table, wait_s, self._log)
        while True:
            try:
                page = await feed.fetch(version)
                version = page.version
                rows = page.rows
            except HistoryLost:
                read = await self._read_again(table)
                if read is None:
                    continue
                rows, version = read
            except StoreUnavailable:
                await asyncio.sleep(RETRY_S)
                continue
            for row in rows:
                if row.key.part == self._pool:
                    take(row)

    async def _read_again(
        self, table: str
    ) -> tuple[tuple[StoredRow, ...], int] | None:
        self._log.write(LogEvent.FEED_LOST_ITS_HISTORY, table=table)
        try:
            read = await self._store.read_part(table, self._pool)
        except StoreUnavailable:
            await asyncio.sleep(RETRY_S)
            return None
        return read.rows, read.version

    def _take_request(
        self,
        row: StoredRow,
        progress: dict[str, StoredRow] | None = None,
    ) -> None:
        """Take in an accepted or cancelled job.

        A job of which a row can't be read is left alone, as starting it might
        run its work again.
        """
        if row.value is None:
            return
        job_id, is_job = split_request_key(row.key.key)
        if not is_job:
            self._runs.jobs.cancel(job_id)
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
        if stored is not None and stored.value is not None:
            try:
                restore_progress(state, stored.value, self._store.clock_s())
            except RowUnreadable as error:
                log_unreadable(self._log, stored, error)
                return
        self._runs.jobs.add(state, restored=progress is not None)

    async def _follow_agents(self) -> None:
        """Keep a link to each agent of the pool."""
        while True:
            try:
                read = await self._store.read_part(AGENTS, self._pool)
                break
            except StoreUnavailable:
                await asyncio.sleep(RETRY_S)
        for row in read.rows:
            self._take_agent(row)
        self._agents_read = True
        await self._follow(
            AGENTS, read.version, AGENT_FEED_WAIT_S, self._take_agent
        )

    def _take_agent(self, row: StoredRow) -> None:
        name = row.key.key
        present = self._links.get(name)
        if row.value is None:
            return
        try:
            agent = decode_row(row.value, AgentRow)
        except RowUnreadable as error:
            log_unreadable(self._log, row, error)
            return
        if present is not None:
            if present[0].address == agent.address:
                return
            present[1].cancel()
        link = AgentLink(
            agent.address,
            self._link_terms,
            self._http,
            self._runs.reports.take,
        )
        self._links[name] = (link, asyncio.ensure_future(self._watch(link)))
        self._log.write(
            LogEvent.AGENT_FOUND, agent=name, address=agent.address
        )

    async def _watch(self, link: AgentLink) -> None:
        """Watch an agent's worker; an error must not lose the worker."""
        while True:
            try:
                await link.run()
            except Exception:
                self._log.write(
                    LogEvent.PART_DIED, trace=traceback.format_exc()
                )
                await asyncio.sleep(RETRY_S)

    async def _tick(self) -> None:
        """Do what depends on time alone."""
        counted_s = 0.0
        swept_s = now_s()
        while True:
            self._runs.tick(time.time())
            if now_s() - counted_s >= COUNT_EVERY_S:
                counted_s = now_s()
                self._publish_counts()
                self._metrics.set(
                    "role_lease_age_seconds", self._lease.unconfirmed_s()
                )
            if now_s() - swept_s >= SWEEP_EVERY_S:
                swept_s = now_s()
                self._runs.jobs.forget_ended()
            await asyncio.sleep(TICK_S)

    def _publish_counts(self) -> None:
        """Store how many jobs of each queue have not begun."""
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
