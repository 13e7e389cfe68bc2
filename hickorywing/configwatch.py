"""Follow the configuration in the table and push it to other processes."""

import asyncio
from collections.abc import Callable

from hickorywing.configstore import ConfigurationStore
from hickorywing.configstore import Documents
from hickorywing.findings import FindingsError
from hickorywing.mailbox import Mailbox
from hickorywing.messages import AgentInfo
from hickorywing.messages import Head
from hickorywing.messages import HeadPush
from hickorywing.metrics import Metrics
from hickorywing.policy.register import ACCEPT_WITHIN_S
from hickorywing.policy.register import ConfigurationHead
from hickorywing.policy.register import ConfigurationRegister
from hickorywing.policy.register import confirmation_wait_s
from hickorywing.table import TableUnavailable
from hickorywing.timeline import Timeline

__all__ = ["ConfigurationWatch"]

MAX_READS_AT_ONCE = 8
PUSH_RETRY_S = 0.5
IN_FORCE_POLL_S = 0.02


class ConfigurationWatch:
    """The configuration register of one entry, updated from the table.

    Reads overlap, so that a slow table still confirms the configuration
    several times a second. Each read confirms the head as of the time it was
    sent.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        mailbox: Mailbox,
        peers: Callable[[], list[AgentInfo]],
        poll_s: float,
        metrics: Metrics,
        timeline: Timeline,
        clock: Callable[[], float],
    ) -> None:
        self.store = store
        self.mailbox = mailbox
        self.peers = peers
        self.poll_s = poll_s
        self.metrics = metrics
        self.timeline = timeline
        self.clock = clock
        self.register = ConfigurationRegister()
        self.documents = Documents.empty()
        self._documents_versions = (0, 0)
        self._confirmed_versions: dict[str, int] = {}
        self._reads: set[asyncio.Task[None]] = set()
        self._pushed_at = 0.0

    async def run(self) -> None:
        """Poll the head until cancelled."""
        while True:
            if len(self._reads) < MAX_READS_AT_ONCE:
                task = asyncio.create_task(self._read_once())
                self._reads.add(task)
                task.add_done_callback(self._reads.discard)
            self._retry_push()
            await asyncio.sleep(self.poll_s)

    async def _read_once(self) -> None:
        sent_at = self.clock()
        try:
            read = await self.store.read_head()
        except TableUnavailable:
            self.metrics.count("config_reads_failed")
            return
        self.adopt(read.head, sent_at)
        await self._load_documents()

    async def _load_documents(self) -> None:
        """Read the documents of the head unless they are loaded already."""
        head = self.register.head
        versions = (head.inventory_version, head.rules_version)
        if versions == self._documents_versions:
            return
        try:
            documents = await self.store.read_documents(head)
        except (TableUnavailable, FindingsError):
            self.metrics.count("config_documents_unread")
            return
        if versions >= self._documents_versions:
            self.documents = documents
            self._documents_versions = versions

    def adopt(self, head: ConfigurationHead, confirmed_at: float) -> None:
        """Adopt a head that was read or received, and push it if it is new."""
        if not self.register.adopt(head, confirmed_at):
            return
        self.timeline.record(
            "configuration adopted", f"version {head.version}"
        )
        self.metrics.set("config_version", head.version)
        self._push(self.peers())

    def _push(self, peers: list[AgentInfo]) -> None:
        self._pushed_at = self.clock()
        push = HeadPush(Head.from_policy(self.register.head))
        for info in peers:
            self.mailbox.send(info.control, push)

    def _retry_push(self) -> None:
        """Repeat the push to processes that have not confirmed the version."""
        if self.clock() - self._pushed_at < PUSH_RETRY_S:
            return
        version = self.register.head.version
        late = [
            info
            for info in self.peers()
            if self._confirmed_versions.get(info.name, 0) < version
        ]
        if late:
            self._push(late)

    def record_confirmed(self, name: str, version: int) -> None:
        """Record that a process has a version in force."""
        if version > self._confirmed_versions.get(name, 0):
            self._confirmed_versions[name] = version

    def forget(self, name: str) -> None:
        """Remove a process that is gone."""
        self._confirmed_versions.pop(name, None)

    def agent_names(self) -> set[str]:
        """Return the names of all agents and entries that are present."""
        return {info.name for info in self.peers()}

    def find_confirmed(self, version: int) -> list[str]:
        """Return the sorted names of processes with a version in force."""
        return sorted(
            name
            for name, seen in self._confirmed_versions.items()
            if seen >= version
        )

    async def wait_in_force(
        self, version: int, zone_to_stop: str | None
    ) -> list[str]:
        """Wait for confirmations; return which processes lack one.

        The wait lasts ``ACCEPT_WITHIN_S`` at most, or
        ``confirmation_wait_s()`` if the zone ``zone_to_stop`` was taken out of
        service. ``ACCEPT_WITHIN_S`` after that longer wait, no process starts
        a task in the zone any more, not even one that has not confirmed.
        """
        limit = ACCEPT_WITHIN_S
        if zone_to_stop is not None:
            limit = confirmation_wait_s()
        deadline = self.clock() + limit
        unconfirmed = self.find_unconfirmed(version, zone_to_stop)
        while unconfirmed and self.clock() < deadline:
            await asyncio.sleep(IN_FORCE_POLL_S)
            unconfirmed = self.find_unconfirmed(version, zone_to_stop)
        return unconfirmed

    def find_unconfirmed(self, version: int, zone: str | None) -> list[str]:
        """Return the sorted names of processes that have not confirmed.

        With a zone, each worker of the inventory in that zone must also have
        an agent that is present at this entry; a worker without one is listed
        as well.
        """
        names = set()
        workers = {}
        for info in self.peers():
            names.add(info.name)
            if info.worker_id:
                workers[info.worker_id] = info.name
        found = [
            name
            for name in names
            if self._confirmed_versions.get(name, 0) < version
        ]
        if zone is not None:
            for spec in self.documents.inventory.worker_specs(zone):
                if spec.worker_id not in workers:
                    found.append(f"worker {spec.worker_id}")
        return sorted(found)
