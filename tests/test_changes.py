"""Test that a change which is cut at any write neither repeats nor loses work.

Hypothesis draws jobs, what happens to them, and how the store answers. Each
drawn case is played once as it is, and once more for each of its transactions,
with the controller replaced right there. Time is virtual.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import enum
import random

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from poolhelpers import CAPACITY
from poolhelpers import make_job
from poolhelpers import make_step
from poolhelpers import RecordedLog
import pytest
from test_runcontrol import FakeLink
from virtual import run_virtual

from hickorywing import clock
from hickorywing import committer
from hickorywing import poolcontroller
from hickorywing import progressrows
from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.httpclient import HttpClient
from hickorywing.jobservice import make_acceptance
from hickorywing.metrics import Metrics
from hickorywing.orders import EndedRun
from hickorywing.orders import OrderAnswer
from hickorywing.orders import OrderOutcome
from hickorywing.orders import RunningRun
from hickorywing.orders import WorkerReport
from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolruns import FINAL_STATUSES
from hickorywing.policy.poolruns import JobStatus
from hickorywing.policy.poolruns import parse_task
from hickorywing.poolconfig import Configuration
from hickorywing.poolconfig import ConfigurationView
from hickorywing.poolcontroller import ControllerParts
from hickorywing.poolcontroller import ControllerTerm
from hickorywing.poollease import PoolLease
from hickorywing.poolrows import cancel_key
from hickorywing.poolrows import decode_status
from hickorywing.poolrows import epoch_key
from hickorywing.poolrows import job_key
from hickorywing.poolrows import status_key
from hickorywing.rows import Commit
from hickorywing.rows import Committed
from hickorywing.rows import RowTransaction
from hickorywing.runcontrol import ControllerTerms
from hickorywing.standins.rowstore import MemoryRowStore
from hickorywing.standins.rowstore import StoreFault

WORKERS = 3
# Enough for all events that follow a step; time is virtual.
STEP_S = 1.0
MAX_ROUNDS = 60


class Cut(enum.Enum):
    """What happens to a controller at one of its transactions.

    The process is killed before or after the store applies it, freezes with
    its answer, or stops as planned, so that it goes on until the next term
    has begun.
    """

    BEFORE = enum.auto()
    AFTER = enum.auto()
    FREEZE = enum.auto()
    PLANNED = enum.auto()


class Act(enum.Enum):
    """What happens between two looks at the system."""

    FINISH_ALL = enum.auto()
    FINISH_SOME = enum.auto()
    FAIL_ONE = enum.auto()
    CANCEL = enum.auto()
    SUBMIT = enum.auto()
    FORGET = enum.auto()
    LATE = enum.auto()


@dataclass
class Case:
    """A drawn case; ``faults`` and ``answers`` are used up one by one."""

    jobs: list[PoolJob]
    acts: list[Act]
    faults: list[StoreFault]
    answers: list[OrderOutcome]
    seed: int


@dataclass
class Worker:
    """What runs on a worker and which ends it lists."""

    name: str
    epoch: int = 0
    runs: dict[str, int] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    closed: dict[str, int] = field(default_factory=dict)
    count: int = 0

    def end(self, task: str, how: str) -> None:
        self.count += 1
        run = self.runs.pop(task)
        self.closed[task] = max(run, self.closed.get(task, 0))
        self.ended.append(EndedRun(self.count, task, run, how))


class LoopTime:
    """The system's clocks, as the time of the event loop."""

    CLOCK_BOOTTIME = 0

    @staticmethod
    def clock_gettime(_: int) -> float:
        return asyncio.get_running_loop().time()


class CutStore(MemoryRowStore):
    """A store that calls ``on_cut`` at one transaction of a controller."""

    def __init__(self) -> None:
        super().__init__()
        self.left: int | None = None
        self.cut = Cut.BEFORE
        self.on_cut = lambda: None

    async def commit(self, transaction: RowTransaction) -> Commit:
        await asyncio.sleep(0)
        if self.left is None or self.left > 0:
            if self.left is not None:
                self.left -= 1
            return await super().commit(transaction)
        self.left = None
        if self.cut is not Cut.BEFORE:
            self.apply(transaction)
        self.on_cut()
        if self.cut is Cut.PLANNED:
            return Committed(self.version)
        # The answer comes, if at all, long after the next term has begun.
        await asyncio.sleep(3 * STEP_S)
        return Committed(self.version)


class Link(FakeLink):
    """A term's link to a worker, which refuses the orders of older terms."""

    def __init__(self, worker: Worker, system: "System", epoch: int) -> None:
        super().__init__(worker.name)
        self._node = worker
        self._system = system
        self._epoch = epoch

    def count_silent_s(self) -> float:
        return 0.0

    def acknowledge_ends(self, number: int) -> None:
        if self._epoch == self._node.epoch:
            left = [end for end in self._node.ended if end.number > number]
            self._node.ended = left

    async def start(self, worker, task, run, *_) -> OrderAnswer:
        return await self._order(lambda: self._start(task, run))

    async def stop(self, worker, task, run) -> OrderAnswer:
        return await self._order(lambda: self._stop(task, run))

    async def _order(self, execute) -> OrderAnswer:
        await asyncio.sleep(0.01)
        if self._epoch != self._node.epoch:
            return OrderAnswer(OrderOutcome.OLD_EPOCH)
        answers = self._system.answers
        answer = answers.pop() if answers else OrderOutcome.OK
        if answer is OrderOutcome.LATE:
            self._system.late_orders.append((self, execute))
            return OrderAnswer(OrderOutcome.UNKNOWN)
        outcome = execute()
        if answer is OrderOutcome.UNKNOWN:
            return OrderAnswer(answer)
        return OrderAnswer(outcome, self._system.tick_ms())

    def execute_late(self, execute) -> None:
        if self._epoch == self._node.epoch:
            execute()

    def _start(self, task: str, run: int) -> OrderOutcome:
        node = self._node
        if node.runs.get(task) == run:
            return OrderOutcome.OK
        if task in node.runs or run <= node.closed.get(task, 0):
            return OrderOutcome.OLD_RUN
        self._system.check_start(task, run)
        node.runs[task] = run
        return OrderOutcome.OK

    def _stop(self, task: str, run: int) -> OrderOutcome:
        node = self._node
        node.closed[task] = max(run, node.closed.get(task, 0))
        if node.runs.get(task, run + 1) <= run:
            node.end(task, "stopped")
        return OrderOutcome.OK


class System:
    """A store, workers and the controllers of one pool, one after another."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.random = random.Random(case.seed)
        self.answers = list(case.answers)
        self.store = CutStore()
        self.store.on_cut = self._replace
        self.workers = [
            Worker(f"vm{number}/i-{number}@1") for number in range(WORKERS)
        ]
        self.late_orders: list[tuple[Link, Callable]] = []
        self.violations: list[str] = []
        self.done: set[str] = set()
        self.failed: set[str] = set()
        self.cancelled: set[str] = set()
        self.accepted: dict[str, PoolJob] = {}
        self._epoch = 0
        self._clock_ms = 1000
        self._terms: list[tuple[ControllerTerm, asyncio.Task, list]] = []
        self._log = DecisionLog("e", "entry", Metrics("e"), RecordedLog())
        self._http = HttpClient()

    def tick_ms(self) -> int:
        self._clock_ms += 1
        return self._clock_ms

    def check_start(self, task: str, run: int) -> None:
        """Record a start that must not be."""
        if task in self.done:
            self.violations.append(f"{task} run {run} had ended done")
        if any(task in worker.runs for worker in self.workers):
            self.violations.append(f"{task} run {run} runs already")

    def begin_term(self) -> None:
        """Begin a term, as a takeover writes it."""
        self._epoch += 1
        epoch = bytes([self._epoch])
        lease = PoolLease("p", "e", self.store, self._log, Metrics("e"))
        lease.epoch = self._epoch
        lease.epoch_version = self.store.put(epoch_key("p"), epoch)
        # No lease expires while virtual time passes.
        lease.renewed_s = now_s() + 1e6
        view = ConfigurationView()
        view.accept(Configuration(1, ()))
        view.confirm(now_s() + 1e6)
        parts = ControllerParts(
            "e",
            "127.0.0.1:1",
            self.store,
            self._http,
            view,
            ControllerTerms(10.0, 5.0, 0.0),
            self._log,
            Metrics("e"),
        )
        term = ControllerTerm(lease, parts)
        links = [Link(node, self, self._epoch) for node in self.workers]
        self._terms.append((term, asyncio.ensure_future(term.run()), links))

    def _replace(self) -> None:
        """End the present term as drawn and begin the next one."""
        if self.store.cut in (Cut.BEFORE, Cut.AFTER):
            self._terms[-1][1].cancel()
        self.begin_term()

    def report(self) -> None:
        """Let each worker tell the present controller of itself."""
        term, task, links = self._terms[-1]
        if task.done() or not term._runs.jobs.accepted.keys() >= (
            self._list_stored_jobs()
        ):
            # It has not read the rows yet.
            return
        for link, node in zip(links, self.workers, strict=True):
            node.epoch = self._epoch
            link.now_ms = self.tick_ms()
            running = tuple(
                RunningRun(task, run) for task, run in node.runs.items()
            )
            link.report = WorkerReport(
                worker=node.name,
                zone="z",
                capacity=CAPACITY,
                clock_ms=link.now_ms,
                looked_ms=link.now_ms,
                running=running,
                ended=tuple(node.ended),
            )
            term._runs.reports.handle_report(link, link.report)

    def _list_stored_jobs(self) -> set[str]:
        return {
            job_id
            for job_id in self.accepted
            if job_key("p", job_id) in self.store.rows
        }

    def list_running(self) -> Iterator[tuple[Worker, str]]:
        for worker in self.workers:
            for task in list(worker.runs):
                yield worker, task

    def end_run(self, worker: Worker, task: str, how: str) -> None:
        """End a run, and what else of its gang runs."""
        name = parse_task(task)
        step = self.accepted[name.job_id].steps[name.step]
        members = [(worker, task)]
        if step.gang:
            prefix = task.rpartition(".")[0] + "."
            members = [
                item
                for item in self.list_running()
                if item[1].startswith(prefix)
                and item[0].runs[item[1]] == worker.runs[task]
            ]
            if len(members) < step.count:
                how = "alone"
        for node, member in members:
            other = "broken" if how == "failed" and member != task else how
            node.end(member, other)
            if how == "done":
                self.done.add(member)

    def act(self, act: Act) -> None:
        """Let something happen."""
        running = list(self.list_running())
        if act is Act.FINISH_SOME:
            running = running[:: 1 + self.random.randrange(3)]
        if act in (Act.FINISH_ALL, Act.FINISH_SOME):
            for worker, task in running:
                if task in worker.runs:
                    self.end_run(worker, task, "done")
        elif act is Act.FAIL_ONE and running:
            worker, task = self.random.choice(running)
            if task.rpartition(".")[0] not in self.failed:
                self.failed.add(task.rpartition(".")[0])
                self.end_run(worker, task, "failed")
        elif act is Act.CANCEL and self.accepted:
            job_id = self.random.choice(sorted(self.accepted))
            if job_key("p", job_id) in self.store.rows:
                self.cancelled.add(job_id)
                if cancel_key("p", job_id) not in self.store.rows:
                    self.store.put(cancel_key("p", job_id), b"")
        elif act is Act.SUBMIT:
            self.submit()
        elif act is Act.FORGET and self._terms:
            self._terms[-1][0]._runs.jobs.delete_ended()
        elif act is Act.LATE:
            self.store.apply_late()
            for link, execute in self.late_orders:
                link.execute_late(execute)
            self.late_orders.clear()

    def submit(self) -> None:
        """Accept the next drawn job, if there is one."""
        waiting = [
            job for job in self.case.jobs if job.job_id not in self.accepted
        ]
        if waiting:
            self.accepted[waiting[0].job_id] = waiting[0]
            self.store.apply(make_acceptance(waiting[0], frozenset(), 0))

    def get_status(self, job_id: str) -> JobStatus | None:
        """Return a job's status as callers see it, ``None`` if forgotten."""
        if job_key("p", job_id) not in self.store.rows:
            return None
        row = self.store.rows.get(status_key("p", job_id))
        return JobStatus.PENDING if row is None else decode_status(row.value)

    def is_over(self) -> bool:
        statuses = map(self.get_status, self.accepted)
        return all(
            status is None or status in FINAL_STATUSES for status in statuses
        ) and not any(worker.runs or worker.ended for worker in self.workers)

    async def play(self) -> int:
        """Play the case; return how many transactions it took."""
        self.store.plan_faults(*self.case.faults)
        before = self.store.commits
        self.begin_term()
        self.submit()
        try:
            for act in (*self.case.acts, *[Act.SUBMIT] * len(self.case.jobs)):
                await asyncio.sleep(STEP_S)
                self.report()
                await asyncio.sleep(STEP_S)
                self.act(act)
                self.report()
            count = self.store.commits - before
            await self._finish()
            return count
        finally:
            for _, task, _ in self._terms:
                task.cancel()
            await asyncio.gather(
                *(task for _, task, _ in self._terms), return_exceptions=True
            )
            await self._http.close()

    async def _finish(self) -> None:
        """Let all work end, without further faults."""
        self.store.drop_planned_faults()
        self.answers.clear()
        for _ in range(MAX_ROUNDS):
            await asyncio.sleep(STEP_S)
            self.report()
            if self.is_over():
                return
            self.act(Act.FINISH_ALL)

    def check(self) -> None:
        """Check that nothing ran twice and nothing was lost."""
        assert self.violations == []
        assert self.is_over(), [
            (job_id, self.get_status(job_id)) for job_id in self.accepted
        ]
        for job_id, job in self.accepted.items():
            every = {
                f"{job_id}.{occurrence}.{number}.{index}"
                for occurrence in range(max(1, job.occurrences))
                for number, step in enumerate(job.steps)
                for index in range(step.count)
            }
            status = self.get_status(job_id)
            if job_id not in self.cancelled:
                assert every <= self.done, (job_id, status)
                assert status in (None, JobStatus.COMPLETED)
            elif status is JobStatus.COMPLETED:
                assert every <= self.done


@st.composite
def draw_jobs(draw) -> list[PoolJob]:
    jobs = []
    for number in range(draw(st.integers(1, 2))):
        steps = tuple(
            make_step(
                0,
                count=draw(st.integers(1, 5)),
                gang=draw(st.booleans()),
                after=(place - 1,) if place else (),
            )
            for place in range(draw(st.integers(1, 2)))
        )
        occurrences = draw(st.sampled_from((0, 0, 3, 6)))
        fields = {"interval_s": 1.0} if occurrences else {}
        jobs.append(
            make_job(
                f"j{number}",
                steps,
                attempts=9,
                occurrences=occurrences,
                **fields,
            )
        )
    return jobs


CASES = st.builds(
    Case,
    draw_jobs(),
    st.lists(st.sampled_from(Act), min_size=2, max_size=6),
    st.lists(st.sampled_from(StoreFault), max_size=8),
    st.lists(
        st.sampled_from(
            (OrderOutcome.OK, OrderOutcome.UNKNOWN, OrderOutcome.LATE)
        ),
        max_size=8,
    ),
    st.integers(0, 1000),
)


class TestChangesThatAreCut:
    """Nothing runs twice and nothing is lost, wherever a change is cut.

    Guards against work that ran again because its controller was lost between
    two writes that belong together, or had acknowledged an end before.
    """

    @pytest.fixture(autouse=True)
    def many_rows(self, monkeypatch):
        """Make small jobs take several rows and transactions."""
        monkeypatch.setattr(clock, "time", LoopTime)
        monkeypatch.setattr(progressrows, "MAX_SINGLE_BYTES", 150)
        monkeypatch.setattr(progressrows, "PART_TASKS", 2)
        monkeypatch.setattr(poolcontroller, "TICK_S", 0.5)
        for module in (progressrows, committer):
            monkeypatch.setattr(module, "ROWS_PER_COMMIT", 2)

    @pytest.mark.parametrize("cut", Cut)
    @given(case=CASES)
    @settings(
        max_examples=25,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=[HealthCheck.function_scoped_fixture],
    )
    def test_at_every_write(self, cut, case):
        async def play() -> None:
            system = System(case)
            count = await system.play()
            system.check()
            for number in range(count):
                system = System(case)
                system.store.cut, system.store.left = cut, number
                await system.play()
                system.check()

        run_virtual(play())
