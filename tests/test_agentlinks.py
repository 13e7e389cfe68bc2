"""Test which address a controller uses for an agent."""

import asyncio

import msgspec
from poolhelpers import RecordedLog
import pytest

from hickorywing.agentlink import LinkTerms
from hickorywing.agentlinks import AgentLinks
from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpAnswer
from hickorywing.metrics import Metrics
from hickorywing.orders import WatchOrder
from hickorywing.orders import WorkerReport


class Agents:
    """Agents that answer for a worker, by their addresses."""

    def __init__(self, **workers: str) -> None:
        self.workers = workers
        self.reported: list[str] = []
        log = DecisionLog("e0", "entry", Metrics("e0"), RecordedLog())
        terms = LinkTerms("p", 1, 10.0, now_s, lambda: None, log)
        self.links = AgentLinks(terms, self, self._record)

    async def call(self, method, url, timeout_s, body, **_) -> HttpAnswer:
        address = url.split("/")[2]
        if address not in self.workers:
            raise CallError("nobody answers")
        order = msgspec.msgpack.decode(body, type=WatchOrder)
        if order.seen:
            await asyncio.sleep(0.05)
        report = WorkerReport(1, worker=self.workers[address], clock_ms=500)
        return HttpAnswer(200, msgspec.msgpack.encode(report))

    def _record(self, link, report) -> None:
        self.reported.append(link.address)

    def get_address(self) -> str:
        """Return the address of the only link."""
        (link,) = self.links
        return link.address

    async def __aenter__(self) -> "Agents":
        self.links.set_address("vm", "a")
        await asyncio.sleep(0.02)
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*self.links.close(), return_exceptions=True)


class TestChangedAddress:
    """A row with a wrong address shut out a living worker for good."""

    @pytest.mark.parametrize("answers", [{}, {"b": "vm2/j@1"}, {"b": ""}])
    async def test_agent_that_is_not_there_keeps_its_link(self, answers):
        async with Agents(a="vm/i@1", **answers) as agents:
            agents.links.set_address("vm", "b")
            await asyncio.sleep(0.1)
            agents.reported.clear()
            await asyncio.sleep(0.2)
            assert agents.get_address() == "a"
            assert set(agents.reported) == {"a"}

    async def test_agent_that_answers_there_is_followed(self):
        async with Agents(a="vm/i@1", b="vm/i@1") as agents:
            (first,) = agents.links
            first.lease_end_s = now_s() + 60.0
            agents.links.set_address("vm", "b")
            await asyncio.sleep(0.02)
            assert agents.get_address() == "b"
            (second,) = agents.links
            assert second.lease_end_s == first.lease_end_s
            await asyncio.sleep(0.1)
            agents.reported.clear()
            await asyncio.sleep(0.1)
            assert set(agents.reported) == {"b"}

    async def test_agent_that_moves_is_followed_once_it_answers(self):
        async with Agents(a="vm/i@1") as agents:
            agents.links.set_address("vm", "b")
            await asyncio.sleep(0.1)
            agents.workers["b"] = agents.workers.pop("a")
            await asyncio.sleep(0.4)
            assert agents.get_address() == "b"

    async def test_row_that_is_put_back_ends_the_check(self):
        async with Agents(a="vm/i@1") as agents:
            agents.links.set_address("vm", "b")
            agents.links.set_address("vm", "a")
            agents.workers["b"] = "vm/i@1"
            await asyncio.sleep(0.3)
            assert agents.get_address() == "a"
