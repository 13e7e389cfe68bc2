"""Leases that a controller grants through an agent."""

import pytest

from hickorywing.agentlink import AgentLink
from hickorywing.agentlink import LinkTerms
from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.httpclient import HttpClient
from hickorywing.metrics import Metrics
from hickorywing.orders import WorkerReport

LEASE_LIMIT_S = 10.0
CLOCK_MS = 500_000


class NoOutput:
    def write(self, line: bytes) -> None:
        pass


def make_link(alone_for_s: float) -> AgentLink:
    """Return a link of a controller that may have met a successor."""
    log = DecisionLog("e0", "entry", Metrics("e0"), NoOutput())
    until_s = now_s() + alone_for_s
    terms = LinkTerms("p", 1, LEASE_LIMIT_S, lambda: until_s, log)
    link = AgentLink("nowhere", terms, HttpClient(), lambda *_: None)
    link._take(WorkerReport(worker="w", clock_ms=CLOCK_MS), now_s())
    return link


class TestLeases:
    """A lease ends before a successor gives the worker up."""

    def test_surely_no_successor(self):
        granted_ms = make_link(1.0).lease_ms() - CLOCK_MS
        assert granted_ms == pytest.approx(1000 * LEASE_LIMIT_S, abs=100)

    def test_counted_from_a_possible_successor(self):
        granted_ms = make_link(-4.0).lease_ms() - CLOCK_MS
        assert granted_ms == pytest.approx(
            1000 * (LEASE_LIMIT_S - 4.0), abs=100
        )

    def test_none_once_a_successor_has_waited_for_it(self):
        link = make_link(-LEASE_LIMIT_S)
        before_s = link.lease_end_s
        assert link.lease_ms() == 0
        assert link.lease_end_s == before_s
