"""Test the leases that a controller grants through an agent."""

from types import SimpleNamespace

import msgspec
from poolhelpers import RecordedLog
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
from hickorywing.orders import OrderAnswer
from hickorywing.orders import OrderOutcome
from hickorywing.orders import StartOrder
from hickorywing.orders import WatchOrder
from hickorywing.orders import WorkerReport
from hickorywing.policy.poolmodel import Resources

LEASE_LIMIT_S = 10.0
CLOCK_MS = 500_000


def make_link(no_successor_for_s: float, checks=None) -> AgentLink:
    """Return a link whose controller certainly has no successor yet.

    Each check of the role adds an item to the list ``checks``.

    After ``no_successor_for_s`` seconds a successor's term may have begun; a
    negative value lies in the past.
    """
    log = DecisionLog("e0", "entry", Metrics("e0"), RecordedLog())
    until_s = now_s() + no_successor_for_s
    checks = [] if checks is None else checks

    def check_role() -> None:
        checks.append(now_s())

    terms = LinkTerms("p", 1, LEASE_LIMIT_S, lambda: until_s, check_role, log)
    link = AgentLink("vm", "nowhere", terms, HttpClient(), lambda *_: None)
    link._apply_report(
        WorkerReport(worker="vm/i@1", clock_ms=CLOCK_MS), now_s()
    )
    return link


class AnsweringAgent:
    """Answers each watch at once and records its order."""

    def __init__(self) -> None:
        self.orders: list[WatchOrder] = []

    async def call(self, method, url, timeout_s, body, **_) -> HttpAnswer:
        self.orders.append(msgspec.msgpack.decode(body, type=WatchOrder))
        report = WorkerReport(worker="vm/i@1", clock_ms=CLOCK_MS)
        return HttpAnswer(200, msgspec.msgpack.encode(report))


class OtherAgent(AnsweringAgent):
    """Answers each watch with a report that has other fields than usual."""

    def __init__(self, **fields) -> None:
        super().__init__()
        self.report = WorkerReport(clock_ms=CLOCK_MS, **fields)

    async def call(self, method, url, timeout_s, body, **_) -> HttpAnswer:
        return HttpAnswer(200, msgspec.msgpack.encode(self.report))


class TestOtherAgent:
    """An agent speaks only for the worker on its own VM.

    The rows of two agents named one address, so two links followed the same
    worker, and each report replaced what the other had recorded.
    """

    @pytest.mark.parametrize("field", ["worker", "left"])
    async def test_report_for_another_vm_has_no_effect(self, field):
        link = make_link(1.0)
        reports = []
        link._on_report = lambda _, report: reports.append(report)
        link._http = OtherAgent(**{field: "vm2/i@1"})
        assert not await link._watch_once()
        assert not reports
        assert link.worker == "vm/i@1"
        assert link.is_silent()

    async def test_report_for_its_own_vm_is_used(self):
        link = make_link(1.0)
        reports = []
        link._on_report = lambda _, report: reports.append(report)
        link._http = OtherAgent(worker="vm/i@2", left="vm/i@1")
        assert await link._watch_once()
        assert [report.worker for report in reports] == ["vm/i@2"]


class TestNewerEpoch:
    """An agent that knows a newer epoch doesn't end a controller's term.

    Somebody may have called the agent with an epoch that no controller has.
    """

    async def test_store_is_asked_once(self):
        checks = []
        link = make_link(1.0, checks)
        reports = []
        link._on_report = lambda _, report: reports.append(report)
        link._http = OtherAgent(worker="vm/i@1", epoch=7)
        for _ in range(3):
            assert not await link._watch_once()
        assert len(checks) == 1
        assert link.is_silent()
        assert len(reports) == 3

    async def test_agent_gets_no_lease(self):
        link = make_link(1.0)
        link._http = OtherAgent(worker="vm/i@1", epoch=7)
        await link._watch_once()
        assert link.grant_lease_ms() == 0


class TestLeases:
    """A lease expires before a successor treats the work as ended."""

    def test_full_lease_before_any_successor(self):
        granted_ms = make_link(1.0).grant_lease_ms() - CLOCK_MS
        assert granted_ms == pytest.approx(1000 * LEASE_LIMIT_S, abs=100)

    def test_lease_counted_from_possible_successor(self):
        granted_ms = make_link(-4.0).grant_lease_ms() - CLOCK_MS
        assert granted_ms == pytest.approx(
            1000 * (LEASE_LIMIT_S - 4.0), abs=100
        )

    def test_no_lease_after_successor_waited_for_it(self):
        link = make_link(-LEASE_LIMIT_S)
        before_s = link.lease_end_s
        assert link.grant_lease_ms() == 0
        assert link.lease_end_s == before_s


class TestSilence:
    """The work of a vanished worker ends one lease after its last grant.

    VMs lose power or are cut off while urgent jobs are placed. If calls
    without an answer extended the lease, gangs would wait for it longer.
    """

    def test_calls_to_a_silent_agent_grant_nothing(self):
        link = make_link(1.0)
        link.grant_lease_ms()
        before_s = link.lease_end_s
        link._record_silence("no answer")
        assert link.grant_lease_ms() == 0
        assert link.lease_end_s == before_s

    def test_an_answer_ends_the_silence(self):
        link = make_link(1.0)
        link._record_silence("no answer")
        assert link.silent
        link._apply_report(
            WorkerReport(worker="vm/i@1", clock_ms=CLOCK_MS), now_s()
        )
        assert not link.silent
        assert link.grant_lease_ms()

    def test_the_first_lease_of_an_idle_worker_is_short(self):
        link = make_link(1.0)
        link.set_busy(True)
        granted_ms = link.grant_lease_ms() - CLOCK_MS
        assert granted_ms == pytest.approx(1000 * FIRST_LEASE_S, abs=100)
        link._apply_report(
            WorkerReport(worker="vm/i@1", clock_ms=CLOCK_MS), now_s()
        )
        granted_ms = link.grant_lease_ms() - CLOCK_MS
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

    def test_silent_worker_gets_no_lease(self):
        """Spot workers vanish while their agents stay for seconds."""
        link = make_link(1.0)
        link.grant_lease_ms()
        before_s = link.lease_end_s
        report = WorkerReport(worker="vm/i@1", clock_ms=CLOCK_MS, silent=True)
        link._apply_report(report, now_s())
        assert link.grant_lease_ms() == 0
        assert link.lease_end_s == before_s

    def test_draining_worker_gets_short_leases(self):
        link = make_link(1.0)
        report = WorkerReport(
            worker="vm/i@1", clock_ms=CLOCK_MS, draining=True
        )
        link._apply_report(report, now_s())
        granted_ms = link.grant_lease_ms() - CLOCK_MS
        assert granted_ms == pytest.approx(1000 * LEAVING_LEASE_S, abs=100)

    def test_leases_of_silent_worker_expire(self):
        link = make_link(1.0)
        for clock_ms, silent, expired in (
            (CLOCK_MS + 9_900, True, False),
            (CLOCK_MS + 10_500, True, False),
            (CLOCK_MS + 13_000, False, False),
            (CLOCK_MS + 13_000, True, True),
        ):
            report = WorkerReport(
                worker="vm/i@1",
                clock_ms=clock_ms,
                looked_ms=CLOCK_MS,
                silent=silent,
                granted_ms=CLOCK_MS + 9_000,
            )
            link._apply_report(report, now_s())
            assert link.has_no_lease() is expired

    def test_lease_that_was_forwarded_late(self):
        link = make_link(1.0)
        report = WorkerReport(
            worker="vm/i@1",
            clock_ms=CLOCK_MS + 13_000,
            looked_ms=CLOCK_MS,
            silent=True,
            granted_ms=CLOCK_MS + 13_000,
        )
        link._apply_report(report, now_s())
        assert not link.has_no_lease()


class TestStartOrders:
    """A start order names what it depends on, so that the agent can check."""

    async def test_capacity_and_label_arrive(self):
        link = make_link(1.0)
        bodies = []

        async def call(method, url, timeout_s, body, **_) -> HttpAnswer:
            bodies.append(body)
            answer = OrderAnswer(OrderOutcome.OK)
            return HttpAnswer(200, msgspec.msgpack.encode(answer))

        link._http = SimpleNamespace(call=call)
        capacity = Resources(1000, 2000, 3)
        await link.start("w", "t.0.0.0", 1, "", "", capacity, "a")
        order = msgspec.msgpack.decode(bodies[0], type=StartOrder)
        assert (order.capacity, order.label) == (capacity, "a")

    def test_order_of_an_earlier_build_has_neither(self):
        fields = dict(pool="p", epoch=1, worker="w", task="t", run=1)
        body = msgspec.msgpack.encode({**fields, "payload": ""})
        order = msgspec.msgpack.decode(body, type=StartOrder)
        assert (order.capacity, order.label) == (None, "")


class TestKnowsWorker:
    """A new controller waits until each agent's worker is known."""

    def test_unknown_before_first_answer(self):
        link = make_link(0.0)
        link.report = None
        assert not link.knows_worker()

    def test_silent_worker_is_known(self):
        link = make_link(0.0)
        link._apply_report(WorkerReport(epoch=1, silent=True), now_s())
        assert link.knows_worker()

    def test_unknown_before_first_poll(self):
        link = make_link(0.0)
        link._apply_report(WorkerReport(epoch=1), now_s())
        assert not link.knows_worker()
