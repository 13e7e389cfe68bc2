"""Drive the request decisions over virtual time with fake back ends."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools
import random

from hickorywing.policy.claims import Admission
from hickorywing.policy.claims import AdmissionBook
from hickorywing.policy.limits import RetryBudget
from hickorywing.policy.limits import WaitQueue
from hickorywing.policy.selection import BackendSelector
from hickorywing.policy.selection import RoundRobin
from hickorywing.policy.selection import Selector

__all__ = ["RequestFigures", "RequestSystem", "measure_requests"]

RUNNERS = 10
SLOTS = 8
CONNECTIONS = 64
SERVICE_S = 0.1
DEADLINE_S = 2.0
HOP_S = 0.001
DURATION_S = 120.0
ZONE_OUT_S = (30.0, 60.0)
SLOW_S = (75.0, 105.0)
SLOW_FACTOR = 10.0
NOTICE_S = 0.5
MAX_TRIES = 3


@dataclass
class RequestFigures:
    """What a run of requests showed."""

    served_share: float
    wait_p99_ms: float
    invariant_failures: int
    refused: int
    late: int


@dataclass
class FakeRequest:
    """One request on its way."""

    number: int
    arrives: float
    work_s: float
    safe: bool
    deadline: float
    tried: set[str] = field(default_factory=set)
    began: float | None = None
    runs: int = 0
    wait_s: float = 0.0
    end: str = ""


@dataclass
class FakeRunner:
    """An agent and its backend server."""

    name: str
    zone: str
    book: AdmissionBook
    queue: WaitQueue
    slow: float = 1.0
    out: bool = False
    waiting: dict[str, FakeRequest] = field(default_factory=dict)


class RequestSystem:
    """Ten runners in three zones behind one entry's decisions."""

    def __init__(self, selector: Selector, load: float, seed: int) -> None:
        self.random = random.Random(seed)
        self.selector = selector
        self.load = load
        self.budget = RetryBudget()
        self.now = 0.0
        self.waits: list[float] = []
        self.requests: list[FakeRequest] = []
        self.failures = 0
        self.runners: dict[str, FakeRunner] = {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        for number in range(RUNNERS):
            name = f"runner-{number}"
            zone = "abc"[number % 3]
            self.runners[name] = FakeRunner(
                name,
                zone,
                AdmissionBook(1, CONNECTIONS, SLOTS),
                WaitQueue(SLOTS, CONNECTIONS - SLOTS),
            )
            selector.add(name, zone, SLOTS)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do something at a time in seconds."""
        heapq.heappush(self._heap, (when, next(self._numbers), action))

    def run(self) -> RequestFigures:
        """Run the whole load and return the figures."""
        rate = self.load * RUNNERS * SLOTS / SERVICE_S
        when = 0.0
        for number in itertools.count():
            when += self.random.expovariate(rate)
            if when > DURATION_S:
                break
            work_s = self.random.lognormvariate(-0.32, 0.8) * SERVICE_S
            request = FakeRequest(
                number,
                when,
                work_s,
                self.random.random() < 0.5,
                when + DEADLINE_S,
            )
            self.requests.append(request)
            self.at(when, lambda request=request: self._send(request))
        self._plan_faults()
        while self._heap:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        return self._figures()

    def _plan_faults(self) -> None:
        out = [item for item in self.runners.values() if item.zone == "a"]
        slow = next(item for item in self.runners.values() if item.zone == "b")

        def leave() -> None:
            for runner in out:
                runner.out = True
                self.at(
                    self.now + NOTICE_S,
                    lambda runner=runner: self.selector.remove(runner.name),
                )

        def come_back() -> None:
            for runner in out:
                runner.out = False
                self.selector.add(runner.name, runner.zone, SLOTS)

        def slow_down() -> None:
            slow.slow = SLOW_FACTOR

        def speed_up() -> None:
            slow.slow = 1.0

        self.at(ZONE_OUT_S[0], leave)
        self.at(ZONE_OUT_S[1], come_back)
        self.at(SLOW_S[0], slow_down)
        self.at(SLOW_S[1], speed_up)

    def _send(self, request: FakeRequest) -> None:
        if not request.tried:
            self.budget.note_request()
        elif not self.budget.try_retry():
            self._finish(request, "refused")
            return
        name = self.selector.choose("a", request.tried, self.now)
        if name is None or len(request.tried) >= MAX_TRIES:
            self._finish(request, "refused")
            return
        request.tried.add(name)
        self.selector.sent(name)
        sent = self.now
        runner = self.runners[name]
        self.at(self.now + HOP_S, lambda: self._arrive(request, runner, sent))

    def _arrive(
        self, request: FakeRequest, runner: FakeRunner, sent: float
    ) -> None:
        dispatch = f"{request.number}/{len(request.tried)}"
        refusal = runner.out
        if not refusal:
            answer = runner.book.admit(dispatch, 1)
            refusal = answer is not Admission.ADMITTED
        if not refusal:
            after = runner.queue.arrive(dispatch, request.deadline, self.now)
            if after is not None:
                runner.book.withdraw(dispatch)
                runner.book.finish()
                refusal = True
        if refusal:
            self._answer(runner, sent, True, 0.0, lambda: self._send(request))
            return
        runner.waiting[dispatch] = request
        request.began = sent
        self._grant(runner)

    def _grant(self, runner: FakeRunner) -> None:
        while True:
            due, late = runner.queue.next_due(self.now)
            for dispatch in late:
                request = runner.waiting.pop(dispatch)
                runner.book.finish()
                self._answer(
                    runner,
                    request.began,
                    True,
                    0.0,
                    lambda request=request: self._send(request),
                )
            if due is None:
                return
            self._work(runner, runner.waiting.pop(due))

    def _work(self, runner: FakeRunner, request: FakeRequest) -> None:
        request.runs += 1
        if request.runs > 1 and not request.safe:
            self.failures += 1
        if runner.queue.busy > SLOTS:
            self.failures += 1
        self.waits.append(self.now - request.arrives)
        request.wait_s = self.now - request.began
        took = request.work_s * runner.slow

        def done() -> None:
            runner.queue.finish(took)
            runner.book.finish()
            in_time = self.now <= request.deadline
            self._answer(
                runner,
                request.began,
                False,
                request.wait_s,
                lambda: self._finish(request, "done" if in_time else "late"),
            )
            self._grant(runner)

        self.at(self.now + took, done)

    def _answer(
        self,
        runner: FakeRunner,
        sent: float,
        refused: bool,
        wait_s: float,
        then: Callable[[], None],
    ) -> None:
        def heard() -> None:
            self.selector.answered(
                runner.name,
                self.now - sent,
                False,
                refused,
                self.now,
                wait_s,
            )
            then()

        self.at(self.now + HOP_S, heard)

    def _finish(self, request: FakeRequest, how: str) -> None:
        if request.end:
            self.failures += 1
        request.end = how
        if how == "refused" and request.runs:
            self.failures += 1

    def _figures(self) -> RequestFigures:
        done = sum(1 for item in self.requests if item.end == "done")
        waits = sorted(self.waits)
        return RequestFigures(
            done / len(self.requests),
            1000 * waits[int(0.99 * len(waits))],
            self.failures,
            sum(1 for item in self.requests if item.end == "refused"),
            sum(1 for item in self.requests if item.end == "late"),
        )


def measure_requests(policy: str, load: float, seed: int) -> RequestFigures:
    """Run one load under one selection."""
    selector: Selector = RoundRobin()
    if policy == "shipped":
        selector = BackendSelector(random.Random(seed + 1))
    return RequestSystem(selector, load, seed).run()
