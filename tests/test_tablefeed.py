"""How soon a process works again after the store was silent."""

import asyncio
from collections.abc import Coroutine
import contextlib

from cutstore import CutStore
from poolhelpers import KeptLines
import pytest

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.jobrows import encode_status
from hickorywing.jobrows import status_key
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.platform.configsource import PlatformConfigurationSource
from hickorywing.policy.poolruns import JobStatus
from hickorywing.poolconfig import ConfigurationView
from hickorywing.rows import StoreUnavailable
from hickorywing.standins.rowstore import MemoryRowStore
from hickorywing.statuscache import StatusCache
from hickorywing.tablefeed import TableFeed

# A return of the store is noticed within a call's slack and a pause.
NOTICED_WITHIN_S = 0.8


class Outage:
    """A store that is silent for longer than any call of a feed."""

    def __init__(self) -> None:
        self.store = MemoryRowStore()
        self.way = CutStore(self.store)
        self.lines = KeptLines()
        self.log = DecisionLog("e0", "entry", Metrics("e0"), self.lines)

    @contextlib.asynccontextmanager
    async def run(self, part: Coroutine, silent_s: float):
        """Run a part of an entry through an outage, until the store is back.

        Yields just after a call of the part has been lost to the outage.
        """
        task = asyncio.ensure_future(part)
        try:
            await asyncio.sleep(0.1)
            self.way.begin_silence()
            await asyncio.sleep(silent_s)
            self.way.silent = False
            yield
        finally:
            task.cancel()

    async def wait(self, condition, limit_s: float = 5.0) -> float:
        """Return after how long a condition holds."""
        began_s = now_s()
        while not condition():
            assert now_s() - began_s < limit_s
            await asyncio.sleep(0.01)
        return now_s() - began_s


class TestStoreReturn:
    """Entries that refuse while the store is silent must not go on so."""

    async def test_configuration_is_known_as_soon_as_the_store_answers(self):
        outage = Outage()
        view = ConfigurationView()
        source = PlatformConfigurationSource(
            outage.way, view, outage.log, wait_s=0.8
        )
        async with outage.run(source.run(), silent_s=1.5):
            back_s = now_s()
            took_s = await outage.wait(lambda: view.proved_s > back_s)
        assert took_s < NOTICED_WITHIN_S
        silent_s = outage.lines.find(LogEvent.FEED_ANSWERS)["silent_s"]
        assert silent_s > 1.4

    async def test_statuses_are_followed_as_soon_as_the_store_answers(self):
        outage = Outage()
        cache = StatusCache(outage.way, outage.log)
        async with outage.run(cache.run(), silent_s=2.7):
            outage.store.put(
                status_key("p", "j1"), encode_status(JobStatus.COMPLETED)
            )
            took_s = await outage.wait(
                lambda: status_key("p", "j1") in cache._statuses
            )
        assert took_s < NOTICED_WITHIN_S


class HeardStore(MemoryRowStore):
    """A store that loses calls until another one is heard to be answered."""

    def __init__(self) -> None:
        super().__init__()
        self.heard = asyncio.Event()
        self.lost = 0

    def is_reachable(self) -> bool:
        return self.heard.is_set()

    async def wait_reachable(self, most_s: float) -> None:
        await asyncio.wait_for(self.heard.wait(), most_s)

    async def follow(self, table: str, after_version: int, wait_s: float):
        if not self.heard.is_set():
            self.lost += 1
            await asyncio.sleep(0.5)
            raise StoreUnavailable("no answer")
        return await super().follow(table, after_version, wait_s)


class TestAnswerToAnotherCall:
    """A call under way at the store's return is lost, others are answered."""

    async def test_feed_asks_again_without_waiting_for_it(self):
        store = HeardStore()
        log = DecisionLog("e0", "entry", Metrics("e0"), KeptLines())
        feed = TableFeed(store, "t", 2.0, log)
        with pytest.raises(StoreUnavailable):
            await feed.fetch(0)
        asking = asyncio.ensure_future(feed.fetch(0))
        await asyncio.sleep(0.05)
        store.heard.set()
        heard_s = now_s()
        await asking
        assert now_s() - heard_s < 0.2
        assert store.lost == 2
