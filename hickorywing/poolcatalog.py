"""Know the pools that may hold jobs.

A configuration names only the pools to which queues send jobs now. Another
pool may still hold jobs that were accepted before its queues were sent
elsewhere, and an entry that started later, or that missed a version, learns of
it only from the store.
"""

import asyncio

from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.poolconfig import ConfigurationView
from hickorywing.poolrows import REQUESTS
from hickorywing.rows import RowStore
from hickorywing.rows import StoreUnavailable

__all__ = ["PoolCatalog"]

RETRY_S = 0.2
# Entries with another version of the configuration may accept jobs in a pool
# that this one doesn't know, after it has listed the pools.
RELIST_S = 30.0


class PoolCatalog:
    """The pools that one entry knows to hold jobs, or to be sent some.

    ``names()`` holds the pools of every configuration that this process has
    seen, and those with jobs in the store when it last listed them: at its
    start, after each change of the configuration and every ``RELIST_S``
    seconds.
    """

    def __init__(
        self, store: RowStore, view: ConfigurationView, log: DecisionLog
    ) -> None:
        self._store = store
        self._view = view
        self._log = log
        self._listed: frozenset[str] | None = None

    def names(self) -> frozenset[str]:
        """Return the pools that are known so far."""
        return self._view.pools_seen | (self._listed or frozenset())

    async def find_names(self) -> frozenset[str]:
        """Return the known pools, after listing them at least once.

        Raises ``StoreUnavailable`` if they have not been listed and can't be.
        """
        if self._listed is None:
            await self._list()
        return self.names()

    async def run(self) -> None:
        """List the pools when they may have changed, until cancelled."""
        version = None
        while True:
            await self._view.wait_newer(version, RELIST_S)
            version = self._view.version()
            try:
                await self._list()
            except StoreUnavailable as error:
                self._log.write(
                    LogEvent.POOLS_NOT_LISTED,
                    reason=str(error),
                    pools=len(self.names()),
                )
                version = None
                await asyncio.sleep(RETRY_S)

    async def _list(self) -> None:
        listed = await self._store.list_parts(REQUESTS)
        for pool in sorted(listed - self.names()):
            self._log.write(LogEvent.POOL_FOUND, pool=pool)
        self._listed = listed
