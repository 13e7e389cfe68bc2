"""Hold the configuration of entries and controllers, and its age.

A process may act on a configuration only while it knows how old that knowledge
is: a key that was revoked must stop working within a bounded time, even at a
process that receives no further changes.
"""

from abc import ABC
from abc import abstractmethod
import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from hickorywing.clientlimits import RequestLimits
from hickorywing.policy.poolmodel import Customer
from hickorywing.policy.poolmodel import QueueTerms
from hickorywing.waiting import wait_for_event

__all__ = [
    "Configuration",
    "ConfigurationSource",
    "ConfigurationView",
    "Queue",
    "RequestLimits",
]


@dataclass(frozen=True, slots=True)
class Queue:
    """A host and path prefix at which callers submit jobs."""

    host: str
    prefix: str
    terms: QueueTerms
    public: bool = False
    timeout_s: float = 3.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration set by the operators."""

    version: int
    queues: tuple[Queue, ...] = ()
    customers: tuple[Customer, ...] = ()
    limits: RequestLimits = RequestLimits()


class ConfigurationView:
    """One process's view of the configuration and of zones out of service.

    ``confirmed_s`` is the latest time, on the process's own clock, at which
    this was certainly the newest state. ``pools_seen`` holds the pools to
    which this version or an earlier one that was seen sends jobs.
    """

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.zones_out: frozenset[str] = frozenset()
        self.pools_seen: frozenset[str] = frozenset()
        self.confirmed_s: float | None = None
        self._confirmed = asyncio.Event()
        self._changed = asyncio.Event()
        self._by_host: dict[str, list[Queue]] = {}
        self._by_key: dict[str, Customer] = {}
        self._guarantees: dict[str, int] = {}

    def accept(self, configuration: Configuration) -> bool:
        """Adopt a configuration if it is newer; return whether it was."""
        present = self.configuration
        if present is not None and configuration.version <= present.version:
            return False
        self.configuration = configuration
        self.pools_seen |= {queue.terms.pool for queue in configuration.queues}
        self._by_host = {}
        for queue in configuration.queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: -len(queue.prefix))
        self._by_key = {
            key: customer
            for customer in configuration.customers
            for key in customer.keys
        }
        self._guarantees = {
            customer.name: customer.guaranteed_accelerators
            for customer in configuration.customers
            if customer.guaranteed_accelerators is not None
        }
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    def set_zone(self, zone: str, out: bool) -> bool:
        """Set whether a zone is out of service; return whether it changed."""
        if (zone in self.zones_out) == out:
            return False
        self.zones_out = self.zones_out ^ {zone}
        return True

    def set_zones_out(self, zones: Iterable[str]) -> None:
        """Replace the set of zones that are out of service."""
        self.zones_out = frozenset(zones)

    def confirm(self, moment_s: float) -> None:
        """Record that the state was the newest one at ``moment_s``."""
        if self.confirmed_s is None or moment_s > self.confirmed_s:
            self.confirmed_s = moment_s
            self._confirmed.set()

    async def wait_confirmed(self, timeout_s: float) -> None:
        """Wait until the state is first read, ``timeout_s`` at the longest."""
        await wait_for_event(self._confirmed, timeout_s)

    def version(self) -> int | None:
        """Return the version of the configuration, ``None`` before any."""
        present = self.configuration
        return None if present is None else present.version

    async def wait_newer(self, version: int | None, timeout_s: float) -> None:
        """Wait until the version is another one, ``timeout_s`` at most."""
        if self.version() == version:
            await wait_for_event(self._changed, timeout_s)

    def find_request_limits(self) -> RequestLimits | None:
        """Return the limits of requests, ``None`` before any are known."""
        present = self.configuration
        return None if present is None else present.limits

    def age_s(self, now_s: float) -> float:
        """Return the seconds for which the state may have been outdated.

        The result is infinite before the first read.
        """
        if self.confirmed_s is None:
            return float("inf")
        return now_s - self.confirmed_s

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue whose path prefix is the longest that matches."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def find_customer(self, key: str) -> Customer | None:
        """Return the customer that an API key belongs to."""
        return self._by_key.get(key)

    def guarantees(self) -> dict[str, int]:
        """Return the number of accelerators guaranteed to each customer."""
        return self._guarantees


class ConfigurationSource(ABC):
    """Keeps a view up to date from a source."""

    @abstractmethod
    def is_reachable(self) -> bool:
        """Return whether the source answered when it was last asked."""

    @abstractmethod
    async def run(self) -> None:
        """Keep the view up to date until cancelled."""
