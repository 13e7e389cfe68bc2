"""Leases that a controller grants through an agent."""

import msgspec
from poolhelpers import KeptLines
import pytest

from hickorywing.agentlink import AgentLink
from hickorywing.agentlink import FIRST_LEASE_S
from hickorywing.agentlink import LEAVING_LEASE_S
from hickorywing.agentlink import LinkTerms
from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.httpclient import HttpAnswer
from hickorywing.httpclient import HttpClient
from hickorywing.metrics import Metrics
from hickorywing.orders import WatchOrder
from hickorywing.orders import WorkerReport

LEASE_LIMIT_S = 10.0
CLOCK_MS = 500_000


def make_link(alone_for_s: float) -> AgentLink:
    """Return a link of a controller that may have met a successor."""
    log = DecisionLog("e0", "entry", Metrics("e0"), KeptLines())
    until_s = now_s() + alone_for_s
    terms = LinkTerms("p", 1, LEASE_LIMIT_S, lambda: until_s, log)
    link = AgentLink("nowhere", terms, HttpClient(), lambda *_: None)
    link._apply_report(WorkerReport(worker="w", clock_ms=CLOCK_MS), now_s())
    return link


class AnsweringAgent:
    """Answers each watch at once, and keeps them."""

    def __init__(self) -> None:
        self.orders: list[WatchOrder] = []

    async def call(self, method, url, timeout_s, body, **_) -> HttpAnswer:
        self.orders.append(msgspec.msgpack.decode(body, type=WatchOrder))
        report = WorkerReport(worker="w", clock_ms=CLOCK_MS)
        return HttpAnswer(200, msgspec.msgpack.encode(report))


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


class TestSilence:
    """A worker that stays away is given up one lease after its last grant.

    The load: VMs lose power or are cut off while urgent jobs are placed.
    """

    def test_calls_to_a_silent_agent_grant_nothing(self):
        link = make_link(1.0)
        link.lease_ms()
        before_s = link.lease_end_s
        link._record_silence("no answer")
        assert link.lease_ms() == 0
        assert link.lease_end_s == before_s

    def test_an_answer_ends_the_silence(self):
        link = make_link(1.0)
        link._record_silence("no answer")
        assert link.silent
        link._apply_report(
            WorkerReport(worker="w", clock_ms=CLOCK_MS), now_s()
        )
        assert not link.silent
        assert link.lease_ms()

    def test_the_first_lease_of_an_idle_worker_is_short(self):
        link = make_link(1.0)
        link.set_busy(True)
        granted_ms = link.lease_ms() - CLOCK_MS
        assert granted_ms == pytest.approx(1000 * FIRST_LEASE_S, abs=100)
        link._apply_report(
            WorkerReport(worker="w", clock_ms=CLOCK_MS), now_s()
        )
        granted_ms = link.lease_ms() - CLOCK_MS
        assert granted_ms == pytest.approx(1000 * LEASE_LIMIT_S, abs=100)

    async def test_the_second_lease_follows_at_once(self):
        link = make_link(1.0)
        link._http = AnsweringAgent()
        link.set_busy(True)
        await link._watch_once()
        await link._watch_once()
        first, second = link._http.orders
        assert first.wait_s == 0
        assert second.wait_s > 0
        granted_ms = second.lease_ms - first.lease_ms
        expected_ms = 1000 * (LEASE_LIMIT_S - FIRST_LEASE_S)
        assert granted_ms == pytest.approx(expected_ms, abs=100)

    def test_a_worker_that_its_agent_does_not_hear_gets_none(self):
        """The load: spot workers go, their agents stay for seconds."""
        link = make_link(1.0)
        link.lease_ms()
        before_s = link.lease_end_s
        report = WorkerReport(worker="w", clock_ms=CLOCK_MS, silent=True)
        link._apply_report(report, now_s())
        assert link.lease_ms() == 0
        assert link.lease_end_s == before_s

    def test_a_worker_that_leaves_gets_short_ones(self):
        link = make_link(1.0)
        report = WorkerReport(worker="w", clock_ms=CLOCK_MS, draining=True)
        link._apply_report(report, now_s())
        granted_ms = link.lease_ms() - CLOCK_MS
        assert granted_ms == pytest.approx(1000 * LEAVING_LEASE_S, abs=100)

    def test_a_silent_worker_behind_its_agent(self):
        link = make_link(1.0)
        for clock_ms, silent, lapsed in (
            (CLOCK_MS + 9_900, True, False),
            (CLOCK_MS + 10_500, True, False),
            (CLOCK_MS + 13_000, False, False),
            (CLOCK_MS + 13_000, True, True),
        ):
            report = WorkerReport(
                worker="w",
                clock_ms=clock_ms,
                looked_ms=CLOCK_MS,
                silent=silent,
                granted_ms=CLOCK_MS + 9_000,
            )
            link._apply_report(report, now_s())
            assert link.is_lapsed() is lapsed

    def test_a_lease_that_was_passed_on_late(self):
        link = make_link(1.0)
        report = WorkerReport(
            worker="w",
            clock_ms=CLOCK_MS + 13_000,
            looked_ms=CLOCK_MS,
            silent=True,
            granted_ms=CLOCK_MS + 13_000,
        )
        link._apply_report(report, now_s())
        assert not link.is_lapsed()


class TestKnowledge:
    """Whether a new controller has to wait for an agent's worker."""

    def test_not_before_a_first_answer(self):
        link = make_link(0.0)
        link.report = None
        assert not link.knows_worker()

    def test_of_a_worker_that_is_silent(self):
        link = make_link(0.0)
        link._apply_report(WorkerReport(epoch=1, silent=True), now_s())
        assert link.knows_worker()

    def test_not_while_the_worker_has_not_been_looked_at(self):
        link = make_link(0.0)
        link._apply_report(WorkerReport(epoch=1), now_s())
        assert not link.knows_worker()
