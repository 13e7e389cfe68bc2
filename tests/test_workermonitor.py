"""Test how an agent follows its worker."""

import asyncio

from poolhelpers import RecordedLog
import pytest

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.incarnations import MAX_CRASHED
from hickorywing.metrics import Metrics
from hickorywing.orders import OrderAnswer
from hickorywing.orders import OrderOutcome
from hickorywing.orders import StartOrder
from hickorywing.orders import WatchOrder
from hickorywing.policy.poolmodel import Resources
from hickorywing.poolworker import PollResult
from hickorywing.poolworker import Worker
from hickorywing.poolworker import WorkerAnnouncement
from hickorywing.poolworker import WorkerGone
from hickorywing.poolworker import WorkerReplaced
from hickorywing.poolworker import WorkerSilent
from hickorywing.workermonitor import WorkerMonitor


class FakeWorker(Worker):
    """Answers each poll after the wait that it asks for.

    ``name`` and ``born_ms`` are those of the incarnation that answers.
    """

    def __init__(self) -> None:
        self.name = "i-1"
        self.born_ms = 100
        self.clock_ms = 1000
        self.silent = False
        self.gone = False
        self.epochs: list[int] = []
        self.starts: list[StartOrder] = []
        self.leases: list[int] = []
        self.terms: list[tuple[int, int, int]] = []
        self.renewed = asyncio.Event()

    async def start(self, order: StartOrder, name: str) -> OrderAnswer:
        self.starts.append(order)
        return OrderAnswer(OrderOutcome.OK, 1000, born_ms=self.born_ms)

    async def stop(self, order, name) -> OrderAnswer:
        return OrderAnswer(OrderOutcome.OK, 1000, born_ms=self.born_ms)

    async def poll(
        self, name, epoch, lease_ms, acknowledged, wait_s
    ) -> PollResult:
        if self.gone:
            raise WorkerGone("connection refused")
        if self.silent:
            raise WorkerSilent("no answer")
        if name != self.name:
            raise WorkerReplaced("another name")
        self.epochs.append(epoch)
        self.leases.append(lease_ms)
        self.terms.append((self.born_ms, lease_ms, acknowledged))
        if lease_ms:
            self.renewed.set()
        await asyncio.sleep(wait_s)
        return PollResult(self.clock_ms, self.born_ms, (), ())


def announce(
    born_ms=100,
    sequence=1,
    draining=False,
    name="i-1",
    clock_ms=1000,
    accelerators=8,
    labels=("a", "r1"),
) -> WorkerAnnouncement:
    return WorkerAnnouncement(
        worker=f"{name}@{born_ms}",
        name=name,
        born_ms=born_ms,
        sequence=sequence,
        pool="p",
        zone="z",
        address="127.0.0.1:1",
        capacity=Resources(1000, 1000, accelerators),
        labels=labels,
        draining=draining,
        remaining_ms=0,
        clock_ms=clock_ms,
    )


class Agent:
    """A running ``WorkerMonitor`` over a fake worker."""

    def __init__(self, output=None) -> None:
        self.output = output or RecordedLog()

    async def __aenter__(self) -> "Agent":
        self.worker = FakeWorker()
        log = DecisionLog("a1", "agent", Metrics("a1"), self.output)
        self.monitor = WorkerMonitor("a1", self.worker, log)
        self.task = asyncio.ensure_future(self.monitor.run())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def lose_worker(self) -> None:
        """Let a worker with a lease stop answering."""
        self.monitor.announce(announce())
        await self.ask(busy=True, lease_ms=5000)
        async with asyncio.timeout(3):
            await self.worker.renewed.wait()
        self.worker.silent = True
        report = await self.ask(busy=True)
        while not report.silent:
            report = await self.ask(busy=True)

    async def ask(self, epoch=1, busy=False, wait_s=0.5, lease_ms=0, noted=0):
        order = WatchOrder(
            pool="p",
            epoch=epoch,
            worker=self.monitor.key,
            seen=self.monitor._report_number,
            busy=busy,
            wait_s=wait_s,
            lease_ms=lease_ms,
            noted=noted,
        )
        return await self.monitor.watch(order)

    async def wait_for(self, check, busy=False):
        """Return the first report for which ``check`` holds."""
        async with asyncio.timeout(3):
            while True:
                report = await self.ask(busy=busy)
                if check(report):
                    return report

    async def start(self, epoch=1, expires_ms=5000, **fields) -> OrderOutcome:
        answer = await self.monitor.start(
            StartOrder(
                pool="p",
                epoch=epoch,
                worker="a1/i-1@100",
                task="t.0.0.0",
                run=1,
                payload="",
                expires_ms=expires_ms,
                **fields,
            )
        )
        return answer.outcome


class TestRecovery:
    """A worker that was silent for a moment is used again at once.

    Workers reset connections now and then. While one counts as silent, it
    gets no starts and no leases, so its first answer must not be delayed.
    """

    async def test_first_answer_is_reported_without_delay(self):
        async with Agent() as agent:
            await agent.lose_worker()
            agent.worker.silent = False
            back_s = now_s()
            while (await agent.ask(busy=True)).silent:
                pass
            assert now_s() - back_s < 0.5


class TestPresence:
    """A worker is present once it has answered a poll."""

    async def test_announced_and_answering(self):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            report = await agent.ask()
            assert report.worker == "a1/i-1@100"

    async def test_silent_worker_is_not_present(self):
        async with Agent() as agent:
            agent.worker.silent = True
            agent.monitor.announce(announce())
            assert (await agent.ask()).worker == ""

    async def test_late_announcement_of_an_earlier_incarnation(self):
        async with Agent() as agent:
            agent.monitor.announce(announce(born_ms=100))
            assert not agent.monitor.announce(announce(born_ms=50, sequence=9))
            assert agent.monitor.key == "a1/i-1@100"

    async def test_restart_under_the_same_name(self):
        async with Agent() as agent:
            agent.monitor.announce(announce(born_ms=100, sequence=7))
            await agent.ask()
            agent.worker.born_ms = 200
            agent.monitor.announce(announce(born_ms=200, sequence=1))
            report = await agent.ask()
            assert report.worker == "a1/i-1@200"
            assert report.left == "a1/i-1@100"


class TestClaimedRestart:
    """A living worker was given up on an announcement that wasn't its own.

    What ends an incarnation is an answer of the worker itself, or that its
    process is gone.
    """

    CLAIMS = [
        announce(name="i-2", born_ms=101),
        announce(name="i-2", born_ms=2**53),
        announce(name="i-2", born_ms=50),
        announce(born_ms=101),
        announce(born_ms=50, sequence=2**53),
    ]

    async def follow(self, agent: Agent, busy: bool) -> None:
        agent.monitor.announce(announce())
        await agent.ask(busy=busy)
        await agent.ask(busy=busy, wait_s=0.1)

    async def expect_unchanged(self, agent: Agent, busy: bool) -> None:
        await asyncio.sleep(0.5)
        report = await agent.ask(busy=busy, wait_s=0.0)
        assert (report.worker, report.left) == ("a1/i-1@100", "")
        assert not report.silent
        assert await agent.start() is OrderOutcome.OK

    @pytest.mark.parametrize("busy", [False, True])
    @pytest.mark.parametrize("claim", CLAIMS, ids=lambda item: item.worker)
    async def test_while_the_worker_answers(self, claim, busy):
        async with Agent() as agent:
            await self.follow(agent, busy)
            agent.monitor.announce(claim)
            await self.expect_unchanged(agent, busy)

    @pytest.mark.parametrize("claim", CLAIMS, ids=lambda item: item.worker)
    async def test_while_the_worker_is_silent(self, claim):
        async with Agent() as agent:
            await agent.lose_worker()
            agent.monitor.announce(claim)
            await asyncio.sleep(0.5)
            report = await agent.ask(busy=True, wait_s=0.0)
            assert report.silent
            assert report.left == ""
            agent.worker.silent = False
            await self.expect_unchanged(agent, busy=True)

    @pytest.mark.parametrize("busy", [False, True])
    async def test_departure(self, busy):
        async with Agent() as agent:
            await self.follow(agent, busy)
            agent.monitor.leave("i-1")
            await self.expect_unchanged(agent, busy)

    async def test_departure_of_the_last_incarnation_comes_late(self):
        async with Agent() as agent:
            await self.follow(agent, busy=True)
            agent.worker.born_ms = 200
            agent.monitor.announce(announce(born_ms=200))
            report = await agent.ask()
            agent.monitor.leave("i-1")
            await asyncio.sleep(0.5)
            report = await agent.ask(wait_s=0.0)
            assert (report.worker, report.left) == ("a1/i-1@200", "a1/i-1@100")

    async def test_leases_go_on_while_claims_pour_in(self):
        async with Agent() as agent:
            await self.follow(agent, busy=True)
            for number in range(50):
                agent.monitor.announce(
                    announce(name=f"i-{number + 2}", born_ms=number)
                )
                await agent.ask(
                    busy=True, wait_s=0.0, lease_ms=2000 + 100 * number
                )
                await asyncio.sleep(0.01)
            await self.expect_unchanged(agent, busy=True)
            assert agent.worker.leases[-1] == 6900
            # Checks follow each other with pauses.
            assert len(agent.worker.leases) < 25

    async def test_later_born_claim_before_the_worker_answers(self):
        async with Agent() as agent:
            agent.worker.silent = True
            for claim in self.CLAIMS:
                agent.monitor.announce(claim)
            agent.monitor.announce(announce())
            agent.worker.silent = False
            async with asyncio.timeout(3):
                while (await agent.ask()).worker != "a1/i-1@100":
                    pass

    @pytest.mark.parametrize("busy", [False, True])
    async def test_clock_ahead_changes_neither_clock_nor_order(self, busy):
        async with Agent() as agent:
            await self.follow(agent, busy)
            claim = announce(sequence=9, clock_ms=2**53, draining=True)
            agent.monitor.announce(claim)
            await self.expect_unchanged(agent, busy)
            report = await agent.ask(busy=busy, wait_s=0.0)
            assert not report.draining
            assert report.clock_ms < 60_000
            agent.worker.clock_ms = 3000
            agent.monitor.announce(
                announce(sequence=2, clock_ms=2500, draining=True)
            )
            async with asyncio.timeout(3):
                while not (await agent.ask(busy=busy)).draining:
                    pass


class TestRestart:
    """A restart is noticed at once, whether or not the worker was polled."""

    NOTICE_S = 0.25

    @pytest.mark.parametrize("busy", [False, True])
    @pytest.mark.parametrize("name", ["i-1", "i-2"])
    @pytest.mark.parametrize("born_ms", [200, 50])
    async def test_new_incarnation(self, busy, name, born_ms):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            await agent.ask(busy=busy)
            await agent.ask(busy=busy, wait_s=0.1)
            agent.worker.name = name
            agent.worker.born_ms = born_ms
            agent.worker.clock_ms = 1
            agent.monitor.announce(
                announce(name=name, born_ms=born_ms, clock_ms=1)
            )
            began_s = now_s()
            report = await agent.wait_for(
                lambda report: report.worker == f"a1/{name}@{born_ms}", busy
            )
            assert report.left == "a1/i-1@100"
            assert now_s() - began_s < self.NOTICE_S

    @pytest.mark.parametrize("busy", [False, True])
    async def test_unannounced(self, busy):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            await agent.ask(busy=busy)
            await agent.ask(busy=busy, wait_s=0.1)
            agent.worker.born_ms = 200
            agent.monitor.leave("i-1")  # Makes the agent ask an idle worker.
            began_s = now_s()
            await agent.wait_for(
                lambda report: report.left == "a1/i-1@100", busy
            )
            assert now_s() - began_s < self.NOTICE_S
            agent.monitor.announce(announce(born_ms=200))
            report = await agent.ask(busy=busy)
            assert (report.worker, report.left) == ("a1/i-1@200", "a1/i-1@100")

    async def test_among_many_claims(self):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            await agent.ask(busy=True)
            await agent.ask(busy=True, wait_s=0.1)
            agent.worker.born_ms = 200
            agent.monitor.announce(announce(born_ms=200))
            for number in range(20):
                agent.monitor.announce(announce(born_ms=300 + number))
            began_s = now_s()
            await agent.wait_for(
                lambda report: report.worker == "a1/i-1@200", busy=True
            )
            assert now_s() - began_s < self.NOTICE_S

    async def test_late_departure_while_the_new_one_does_not_listen(self):
        async with Agent() as agent:
            agent.worker.gone = True
            agent.monitor.announce(announce())
            agent.monitor.leave("i-1")
            await asyncio.sleep(0.5)
            agent.worker.gone = False
            began_s = now_s()
            await agent.wait_for(lambda report: report.worker == "a1/i-1@100")
            assert now_s() - began_s < self.NOTICE_S

    async def test_claimed_clock_before_the_first_answer(self):
        async with Agent() as agent:
            agent.worker.silent = True
            agent.monitor.announce(announce())
            agent.monitor.announce(announce(clock_ms=2**53, draining=True))
            await asyncio.sleep(0.3)
            agent.worker.silent = False
            began_s = now_s()
            report = await agent.wait_for(
                lambda report: report.worker == "a1/i-1@100"
            )
            assert now_s() - began_s < self.NOTICE_S
            assert not report.draining

    async def test_departure(self):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            await agent.ask()
            await agent.ask(wait_s=0.1)
            agent.monitor.leave("i-1")
            await asyncio.sleep(0.3)
            agent.worker.gone = True
            began_s = now_s()
            await agent.wait_for(lambda report: report.left == "a1/i-1@100")
            assert now_s() - began_s < self.NOTICE_S


class TestNextLife:
    """Orders for an incarnation took effect on the next one of its name."""

    async def follow(self, agent: Agent) -> None:
        """Follow a worker with a lease and an acknowledged end."""
        agent.monitor.announce(announce())
        await agent.ask(busy=True)
        for wait_s in (0.3, 0.0):
            await agent.ask(busy=True, wait_s=wait_s, lease_ms=5000, noted=57)
        await agent.wait_for(
            lambda _: (100, 5000, 57) in agent.worker.terms, busy=True
        )

    @pytest.mark.parametrize("busy", [False, True])
    async def test_lease_and_acknowledged_ends(self, busy):
        async with Agent() as agent:
            await self.follow(agent)
            await agent.ask(busy=busy, wait_s=0.0, noted=57)
            await asyncio.sleep(1.2)
            agent.worker.born_ms = 200
            agent.monitor.announce(announce(born_ms=200))
            report = await agent.ask(busy=busy)
            assert report.worker == "a1/i-1@200"
            await asyncio.sleep(0.2)
            given = {terms for terms in agent.worker.terms if terms[0] == 200}
            assert given == {(200, 0, 0)}

    async def test_start_after_a_restart_was_announced(self):
        async with Agent() as agent:
            await self.follow(agent)
            agent.monitor.announce(announce(born_ms=200))
            assert await agent.start() is OrderOutcome.OTHER_WORKER
            assert not agent.worker.starts

    async def test_start_before_a_restart_is_announced(self):
        async with Agent() as agent:
            await self.follow(agent)
            agent.worker.born_ms = 200
            assert await agent.start() is OrderOutcome.UNKNOWN


class TestChangedWorker:
    """What a worker may be given is reported as soon as it changes.

    A watch of an idle worker waits for two seconds, in which a start could
    bring the worker over a capacity that has shrunk.
    """

    @pytest.mark.parametrize("busy", [False, True])
    @pytest.mark.parametrize(
        "change", [{"accelerators": 2}, {"labels": ("b", "r1")}]
    )
    async def test_while_a_watch_waits(self, busy, change):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            while not (await agent.ask(busy=busy)).worker:
                pass
            await agent.ask(busy=busy, wait_s=0.1)
            watch = asyncio.ensure_future(agent.ask(busy=busy, wait_s=2.0))
            await asyncio.sleep(0.05)
            began_s = now_s()
            agent.monitor.announce(announce(sequence=2, **change))
            report = await watch
            assert now_s() - began_s < 0.1
            announced = announce(**change)
            assert report.capacity == announced.capacity
            assert report.labels == announced.labels

    async def test_same_announcement_answers_no_watch(self):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            while not (await agent.ask()).worker:
                pass
            await agent.ask(wait_s=0.1)
            watch = asyncio.ensure_future(agent.ask(wait_s=0.3))
            await asyncio.sleep(0.05)
            agent.monitor.announce(announce(sequence=2))
            await asyncio.sleep(0.1)
            assert not watch.done()
            await watch


class TestCrashes:
    """Incarnations that end without notice are reported as crashed."""

    async def follow(self, agent: Agent, draining: bool = False) -> None:
        agent.monitor.announce(announce(draining=draining))
        await agent.ask(busy=True)
        await agent.ask(busy=True, wait_s=0.1)

    async def find_crashed(self, agent: Agent) -> tuple[str, ...]:
        """Return what is reported as crashed once the worker has ended."""
        report = await agent.ask(busy=True)
        async with asyncio.timeout(3):
            while not report.left:
                report = await agent.ask(busy=True)
        return report.crashed

    async def test_process_is_gone(self):
        async with Agent() as agent:
            await self.follow(agent)
            agent.worker.gone = True
            assert await self.find_crashed(agent) == ("a1/i-1@100",)

    async def test_restart(self):
        async with Agent() as agent:
            await self.follow(agent)
            agent.worker.born_ms = 200
            agent.monitor.announce(announce(born_ms=200))
            assert await self.find_crashed(agent) == ("a1/i-1@100",)

    async def test_departure(self):
        async with Agent() as agent:
            await self.follow(agent)
            agent.monitor.leave("i-1")
            agent.worker.gone = True
            assert await self.find_crashed(agent) == ()

    async def test_draining_worker(self):
        async with Agent() as agent:
            await self.follow(agent, draining=True)
            agent.worker.gone = True
            assert await self.find_crashed(agent) == ()

    async def test_number_is_bounded(self):
        async with Agent() as agent:
            await self.follow(agent)
            for born_ms in range(200, 200 + 2 * MAX_CRASHED):
                agent.worker.born_ms = born_ms
                agent.monitor.announce(announce(born_ms=born_ms))
                report = await agent.ask(busy=True)
                async with asyncio.timeout(3):
                    while report.worker != f"a1/i-1@{born_ms}":
                        report = await agent.ask(busy=True)
            assert len(report.crashed) == MAX_CRASHED
            assert report.crashed[-1] == f"a1/i-1@{born_ms - 1}"


class TestEpochs:
    """A new controller's epoch reaches a busy worker at once."""

    async def test_interrupts_a_waiting_poll(self):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            await agent.ask(epoch=1)
            await agent.ask(epoch=1, busy=True, wait_s=0.1)
            loop = asyncio.get_running_loop()
            began = loop.time()
            report = await agent.ask(epoch=2)
            assert report.worker == "a1/i-1@100"
            assert loop.time() - began < 0.3
            assert agent.worker.epochs[-1] == 2

    async def test_refuses_an_older_epoch(self):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            await agent.ask(epoch=2)
            assert await agent.start(epoch=1) is OrderOutcome.OLD_EPOCH
            assert not agent.worker.starts


class TestStarts:
    """The agent refuses starts that must not reach the worker."""

    async def test_forwards_a_start(self):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            await agent.ask()
            assert await agent.start() is OrderOutcome.OK

    async def test_refuses_while_draining(self):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            await agent.ask()
            agent.monitor.announce(announce(sequence=2, draining=True))
            assert await agent.start() is OrderOutcome.REFUSED
            assert not agent.worker.starts

    @pytest.mark.parametrize(
        ("change", "outcome"),
        [
            ({}, OrderOutcome.OK),
            ({"accelerators": 16}, OrderOutcome.OK),
            ({"labels": ("a", "r2")}, OrderOutcome.OK),
            ({"accelerators": 7}, OrderOutcome.REFUSED),
            ({"labels": ("b", "r1")}, OrderOutcome.REFUSED),
        ],
    )
    async def test_checks_what_the_controller_counted_on(
        self, change, outcome
    ):
        """An announcement may pass an order on its way to the agent."""
        async with Agent() as agent:
            agent.monitor.announce(announce())
            await agent.ask()
            agent.monitor.announce(announce(sequence=2, **change))
            capacity = announce().capacity
            assert await agent.start(capacity=capacity, label="a") is outcome
            assert bool(agent.worker.starts) is (outcome is OrderOutcome.OK)

    async def test_refuses_an_expired_order(self):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            await agent.ask()
            assert await agent.start(expires_ms=900) is OrderOutcome.LATE

    async def test_refuses_an_order_for_another_incarnation(self):
        async with Agent() as agent:
            agent.worker.born_ms = 300
            agent.monitor.announce(announce(born_ms=300))
            await agent.ask()
            assert await agent.start() is OrderOutcome.OTHER_WORKER
            assert not agent.worker.starts

    async def test_refuses_before_the_worker_has_answered(self):
        async with Agent() as agent:
            agent.worker.silent = True
            agent.monitor.announce(announce())
            assert await agent.start() is OrderOutcome.OTHER_WORKER
            assert not agent.worker.starts

    async def test_refuses_while_the_worker_is_silent(self):
        async with Agent() as agent:
            await agent.lose_worker()
            assert await agent.start() is OrderOutcome.REFUSED
            assert not agent.worker.starts


class TestSilence:
    """The controller is told when the leases of a silent worker end."""

    async def test_silence_ends_without_work(self):
        async with Agent() as agent:
            await agent.lose_worker()
            await agent.ask(busy=False, wait_s=0.0)
            await asyncio.sleep(0.2)
            agent.worker.silent = False
            async with asyncio.timeout(3):
                while (await agent.ask(busy=False)).silent:
                    pass

    async def test_no_lease_is_forwarded(self):
        async with Agent() as agent:
            await agent.lose_worker()
            report = await agent.ask(busy=True, wait_s=0.0, lease_ms=9000)
            assert report.silent
            assert report.granted_ms == 5000
            agent.worker.silent = False
            while report.silent:
                report = await agent.ask(busy=True, lease_ms=9000)
            await agent.ask(busy=True, wait_s=0.2, lease_ms=9000)
            assert agent.worker.leases[-1] == 9000


class TestNewController:
    """The term of a controller begins while a worker is silent."""

    async def test_is_told_at_once_of_silent_worker(self):
        async with Agent() as agent:
            await agent.lose_worker()
            report = await agent.ask(epoch=2, wait_s=0.0)
        # The controller doesn't have to wait for this worker before it plans.
        assert report.worker == ""
        assert report.silent


class TestEndedProcess:
    """The worker's process ends without notice, as in a crash."""

    async def test_runs_end_at_once(self):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            await agent.ask(busy=True)
            agent.worker.gone = True
            began_s = now_s()
            report = await agent.ask(busy=True)
            while not report.left:
                report = await agent.ask(busy=True)
            # Long before any of its leases expires.
            assert now_s() - began_s < 1.5
            assert report.left == "a1/i-1@100"
            assert report.worker == ""

    async def test_late_announcement_has_no_effect(self):
        async with Agent() as agent:
            agent.monitor.announce(announce())
            await agent.ask(busy=True)
            agent.worker.gone = True
            while not (await agent.ask(busy=True)).left:
                pass
            agent.monitor.announce(announce(sequence=2))
            report = await agent.ask(busy=True)
            assert report.worker == ""

    async def test_hanging_worker_has_not_ended(self):
        async with Agent() as agent:
            await agent.lose_worker()
            report = await agent.ask(busy=True)
            assert report.silent
            assert report.worker == "a1/i-1@100"
            assert report.left == ""

    async def test_worker_that_does_not_listen_yet_is_awaited(self):
        async with Agent() as agent:
            agent.worker.gone = True
            agent.monitor.announce(announce())
            await asyncio.sleep(0.5)
            agent.worker.gone = False
            report = await agent.ask()
            while not report.worker:
                report = await agent.ask()
