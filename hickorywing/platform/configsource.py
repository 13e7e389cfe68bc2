"""Follow the rows that the platform's operator writes."""

import asyncio

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.platform.operator import CONFIG_KEY
from hickorywing.platform.operator import decode_configuration
from hickorywing.platform.operator import decode_zone_out
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
    """Keeps a view equal to the operator's table.

    A feed that has gone silent is bounded by the wait of each call: what it
    answers then proves the view anew.
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
        """Tell whether the store gave an answer when it was last asked."""
        return self._reachable

    async def run(self) -> None:
        """Follow the table until cancelled."""
        version: int | None = None
        while True:
            asked_s = now_s()
            try:
                version = await self._step(version)
            except HistoryLost:
                self._log.write(
                    LogEvent.FEED_LOST_ITS_HISTORY, table=OPERATOR_TABLE
                )
                version = None
            except StoreUnavailable as error:
                self._note_lost(str(error))
                await asyncio.sleep(RETRY_S)
            else:
                self._note_regained()
                self._view.prove(asked_s)

    async def _step(self, version: int | None) -> int:
        """Read or follow once; return the version to go on from."""
        if version is None:
            read = await self._store.read_part(OPERATOR_TABLE, "")
            self._view.set_zones_out(
                zone
                for zone in map(decode_zone_out, read.rows)
                if zone is not None
            )
            for row in read.rows:
                self._take(row)
            return read.version
        page = await self._changes.fetch(version)
        for row in page.rows:
            self._take(row)
        return page.version

    def _take(self, row: StoredRow) -> None:
        zone = decode_zone_out(row)
        if zone is not None:
            out = row.value is not None
            if self._view.set_zone(zone, out):
                self._log.write(
                    LogEvent.ZONE_OUT if out else LogEvent.ZONE_IN,
                    zone=zone,
                    version=row.version,
                )
        elif row.key.key == CONFIG_KEY and row.value is not None:
            self._take_configuration(row)

    def _take_configuration(self, row: StoredRow) -> None:
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

    def _note_lost(self, reason: str) -> None:
        if self._reachable:
            self._reachable = False
            self._log.write(LogEvent.STORE_LOST, reason=reason)

    def _note_regained(self) -> None:
        if not self._reachable:
            self._reachable = True
            known = self._view.proved_s is not None
            age_s = self._view.age_s(now_s())
            self._log.write(
                LogEvent.STORE_REGAINED,
                age_s=round(age_s, 3) if known else None,
            )
