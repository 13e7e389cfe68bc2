"""The filters that callers' requests pass."""

import asyncio

from blacksheep import Request
from blacksheep import Response
from poolhelpers import KeptLines

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.metrics import Metrics
from hickorywing.platform.callers import CallerTerms
from hickorywing.platform.callers import ConfigurationAgeFilter
from hickorywing.poolconfig import Configuration
from hickorywing.poolconfig import ConfigurationView

# Above this an answer that refuses counts as held back.
LATE_S = 0.2


class Entry:
    """An entry's first filter, and what has been let through."""

    def __init__(self) -> None:
        self.view = ConfigurationView()
        self.passed = 0
        log = DecisionLog("e0", "entry", Metrics("e0"), KeptLines())
        self.filter = ConfigurationAgeFilter(self.view, CallerTerms(5.0), log)

    async def ask(self) -> Response:
        return await self.filter.handle(
            Request("GET", b"/jobs/0000000000000001", None), self.proceed
        )

    async def proceed(self, request: Request) -> Response:
        self.passed += 1
        return Response(200)

    def take_configuration(self) -> None:
        self.view.accept(Configuration(1, (), ()))
        self.view.prove(now_s())


class TestStart:
    """An entry that starts serves once it has read its configuration.

    The load: all entries restart at once, and callers reach them through open
    listeners before the first read has been answered.
    """

    async def test_first_read_is_under_way(self):
        entry = Entry()
        asyncio.get_running_loop().call_later(0.03, entry.take_configuration)
        answer = await entry.ask()
        assert answer.status == 200
        assert entry.passed == 1

    async def test_store_is_silent(self):
        entry = Entry()
        began_s = now_s()
        answer = await entry.ask()
        assert answer.status == 503
        assert answer.headers.get_first(b"retry-after") is not None
        assert now_s() - began_s < LATE_S

    async def test_configuration_is_too_old(self):
        entry = Entry()
        entry.take_configuration()
        entry.view.proved_s = now_s() - 6.0
        began_s = now_s()
        answer = await entry.ask()
        assert answer.status == 503
        assert now_s() - began_s < LATE_S / 2
