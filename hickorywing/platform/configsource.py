"""Follow the configuration that the platform's operator keeps in the store.

Rows of the operator's table become updates of a ``ConfigurationView``: the
``config`` row a new configuration, an ``evacuate/`` row a zone that is out of
service.
"""

import asyncio

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.platform.operator import CONFIG_KEY
from hickorywing.platform.operator import decode_configuration
from hickorywing.platform.operator import decode_zone
from hickorywing.platform.operator import OPERATOR_TABLE
from hickorywing.poolconfig import ConfigurationSource
from hickorywing.poolconfig import ConfigurationView
from hickorywing.rows import HistoryLost
from hickorywing.rows import RowStore
from hickorywing.rows import StoredRow
from hickorywing.rows import StoreUnavailable
from hickorywing.tablefeed import TableFeed

__all__ = ["PlatformConfigurationSource"]

RETRY_S = 0.1


class PlatformConfigurationSource(ConfigurationSource):
    """Keeps a configuration view up to date with the operator's table.

    Each answer of the feed confirms the view as of the time of the call. As a
    call waits at most ``wait_s`` for changes, the view is confirmed regularly
    also while nothing changes.
    """

    def __init__(
        self,
        store: RowStore,
        view: ConfigurationView,
        log: DecisionLog,
        wait_s: float,
    ) -> None:
        self._store = store
        self._view = view
        self._log = log
        self._changes = TableFeed(store, OPERATOR_TABLE, wait_s, log)
        self._reachable = True

    def is_reachable(self) -> bool:
        """Return whether the last call to the store was answered."""
        return self._reachable

    async def run(self) -> None:
        """Read the table and follow its changes until cancelled."""
        version: int | None = None
        while True:
            asked_s = now_s()
            try:
                version = await self._update_once(version)
            except HistoryLost:
                self._log.write(
                    LogEvent.FEED_LOST_ITS_HISTORY, table=OPERATOR_TABLE
                )
                version = None
            except StoreUnavailable as error:
                self._record_lost(str(error))
                await asyncio.sleep(RETRY_S)
            else:
                self._record_regained()
                self._view.confirm(asked_s)

    async def _update_once(self, version: int | None) -> int:
        """Read the table, or its changes after ``version``, and apply them.

        Returns the version from which to follow further changes.
        """
        if version is None:
            read = await self._store.read_part(OPERATOR_TABLE, "")
            self._view.set_zones_out(
                zone
                for zone in map(decode_zone, read.rows)
                if zone is not None
            )
            for row in read.rows:
                self._apply_row(row)
            return read.version
        page = await self._changes.fetch(version)
        for row in page.rows:
            self._apply_row(row)
        return page.version

    def _apply_row(self, row: StoredRow) -> None:
        zone = decode_zone(row)
        if zone is not None:
            out = row.value is not None
            if self._view.set_zone(zone, out):
                self._log.write(
                    LogEvent.ZONE_OUT if out else LogEvent.ZONE_IN,
                    zone=zone,
                    version=row.version,
                )
        elif row.key.key == CONFIG_KEY and row.value is not None:
            self._apply_configuration(row)

    def _apply_configuration(self, row: StoredRow) -> None:
        configuration = decode_configuration(row.value)
        if configuration is None:
            self._log.write(LogEvent.CONFIGURATION_UNREADABLE, row=row.version)
        elif self._view.accept(configuration):
            self._log.write(
                LogEvent.CONFIGURATION_TAKEN,
                config=configuration.version,
                row=row.version,
                queues=len(configuration.queues),
                customers=len(configuration.customers),
            )

    def _record_lost(self, reason: str) -> None:
        if self._reachable:
            self._reachable = False
            self._log.write(LogEvent.STORE_LOST, reason=reason)

    def _record_regained(self) -> None:
        if not self._reachable:
            self._reachable = True
            known = self._view.confirmed_s is not None
            age_s = self._view.age_s(now_s())
            self._log.write(
                LogEvent.STORE_REGAINED,
                age_s=round(age_s, 3) if known else None,
            )
