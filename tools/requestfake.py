"""Simulate the routing of requests in virtual time, with fake backends."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import heapq
import itertools
import random

from hickorywing.policy.claims import Admission
from hickorywing.policy.claims import AdmissionLog
from hickorywing.policy.limits import RetryBudget
from hickorywing.policy.limits import WaitQueue
from hickorywing.policy.selection import BackendSelector
from hickorywing.policy.selection import RoundRobin
from hickorywing.policy.selection import Selector

__all__ = ["RequestFigures", "RequestSystem", "measure_requests"]

BACKENDS = 10
SLOTS = 8
CONNECTIONS = 64
# Mean time that a backend server takes for a request.
SERVICE_S = 0.1
DEADLINE_S = 2.0
# Network delay between entry and agent, one way.
HOP_S = 0.001
DURATION_S = 120.0
# A zone is out of service and a backend server is slow between these times.
ZONE_OUT_S = (30.0, 60.0)
SLOW_S = (75.0, 105.0)
SLOW_FACTOR = 10.0
# Time until the entry learns that a zone was taken out.
NOTICE_S = 0.5
MAX_TRIES = 3


@dataclass
class RequestFigures:
    """Results of one run."""

    served_share: float
    wait_p99_ms: float
    invariant_failures: int
    refused: int
    late: int


@dataclass
class FakeRequest:
    """A request with its run time and what has happened to it.

    ``sent_at`` is when the entry sent it to the latest backend server, and
    ``wait_s`` the time from then until it ran.
    """

    number: int
    arrives: float
    work_s: float
    safe: bool
    deadline: float
    tried_backends: set[str] = field(default_factory=set)
    sent_at: float | None = None
    runs: int = 0
    wait_s: float = 0.0
    end: str = ""


@dataclass
class FakeBackend:
    """An agent and its backend server."""

    name: str
    zone: str
    admissions: AdmissionLog
    queue: WaitQueue
    slowdown: float = 1.0
    is_out: bool = False
    waiting: dict[str, FakeRequest] = field(default_factory=dict)


class RequestSystem:
    """Ten backend servers in three zones behind one entry."""

    def __init__(self, selector: Selector, load: float, seed: int) -> None:
        self.random = random.Random(seed)
        self.selector = selector
        self.load = load
        self.budget = RetryBudget()
        self.now = 0.0
        self.waits: list[float] = []
        self.requests: list[FakeRequest] = []
        self.violations = 0
        self.backends: dict[str, FakeBackend] = {}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        for number in range(BACKENDS):
            name = f"runner-{number}"
            zone = "abc"[number % 3]
            self.backends[name] = FakeBackend(
                name,
                zone,
                AdmissionLog(1, CONNECTIONS, SLOTS),
                WaitQueue(SLOTS, CONNECTIONS - SLOTS),
            )
            selector.add(name, zone, SLOTS)

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time in seconds."""
        heapq.heappush(self._heap, (when, next(self._numbers), action))

    def run(self) -> RequestFigures:
        """Simulate all requests and faults, and return the results."""
        rate = self.load * BACKENDS * SLOTS / SERVICE_S
        when = 0.0
        for number in itertools.count():
            when += self.random.expovariate(rate)
            if when > DURATION_S:
                break
            # The factor of SERVICE_S has a mean of 1.
            work_s = self.random.lognormvariate(-0.32, 0.8) * SERVICE_S
            request = FakeRequest(
                number,
                when,
                work_s,
                self.random.random() < 0.5,
                when + DEADLINE_S,
            )
            self.requests.append(request)
            self.schedule(when, lambda request=request: self._send(request))
        self._schedule_faults()
        while self._heap:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        return self._make_figures()

    def _schedule_faults(self) -> None:
        zone_backends = [
            item for item in self.backends.values() if item.zone == "a"
        ]
        slow_backend = next(
            item for item in self.backends.values() if item.zone == "b"
        )

        def take_zone_out() -> None:
            for backend in zone_backends:
                backend.is_out = True
                self.schedule(
                    self.now + NOTICE_S,
                    lambda backend=backend: self.selector.remove(backend.name),
                )

        def bring_zone_back() -> None:
            for backend in zone_backends:
                backend.is_out = False
                self.selector.add(backend.name, backend.zone, SLOTS)

        def slow_down() -> None:
            slow_backend.slowdown = SLOW_FACTOR

        def speed_up() -> None:
            slow_backend.slowdown = 1.0

        self.schedule(ZONE_OUT_S[0], take_zone_out)
        self.schedule(ZONE_OUT_S[1], bring_zone_back)
        self.schedule(SLOW_S[0], slow_down)
        self.schedule(SLOW_S[1], speed_up)

    def _send(self, request: FakeRequest) -> None:
        if not request.tried_backends:
            self.budget.record_request()
        elif not self.budget.try_retry():
            self._finish(request, "refused")
            return
        name = self.selector.choose("a", request.tried_backends, self.now)
        if name is None or len(request.tried_backends) >= MAX_TRIES:
            self._finish(request, "refused")
            return
        request.tried_backends.add(name)
        self.selector.sent(name)
        sent = self.now
        backend = self.backends[name]
        self.schedule(
            self.now + HOP_S, lambda: self._arrive(request, backend, sent)
        )

    def _arrive(
        self, request: FakeRequest, backend: FakeBackend, sent: float
    ) -> None:
        dispatch = f"{request.number}/{len(request.tried_backends)}"
        refusal = backend.is_out
        if not refusal:
            answer = backend.admissions.admit(dispatch, 1)
            refusal = answer is not Admission.ADMITTED
        if not refusal:
            after = backend.queue.arrive(dispatch, request.deadline, self.now)
            if after is not None:
                backend.admissions.cancel_admitted(dispatch)
                backend.admissions.finish()
                refusal = True
        if refusal:
            self._answer(backend, sent, True, 0.0, lambda: self._send(request))
            return
        backend.waiting[dispatch] = request
        request.sent_at = sent
        self._start_due(backend)

    def _start_due(self, backend: FakeBackend) -> None:
        while True:
            started, late = backend.queue.start_next(self.now)
            for dispatch in late:
                request = backend.waiting.pop(dispatch)
                backend.admissions.finish()
                self._answer(
                    backend,
                    request.sent_at,
                    True,
                    0.0,
                    lambda request=request: self._send(request),
                )
            if started is None:
                return
            self._run_request(backend, backend.waiting.pop(started))

    def _run_request(self, backend: FakeBackend, request: FakeRequest) -> None:
        request.runs += 1
        if request.runs > 1 and not request.safe:
            self.violations += 1
        if backend.queue.busy > SLOTS:
            self.violations += 1
        self.waits.append(self.now - request.arrives)
        request.wait_s = self.now - request.sent_at
        service_s = request.work_s * backend.slowdown

        def complete() -> None:
            backend.queue.finish(service_s)
            backend.admissions.finish()
            in_time = self.now <= request.deadline
            self._answer(
                backend,
                request.sent_at,
                False,
                request.wait_s,
                lambda: self._finish(request, "done" if in_time else "late"),
            )
            self._start_due(backend)

        self.schedule(self.now + service_s, complete)

    def _answer(
        self,
        backend: FakeBackend,
        sent: float,
        refused: bool,
        wait_s: float,
        then: Callable[[], None],
    ) -> None:
        def deliver() -> None:
            self.selector.answered(
                backend.name,
                self.now - sent,
                False,
                refused,
                self.now,
                wait_s,
            )
            then()

        self.schedule(self.now + HOP_S, deliver)

    def _finish(self, request: FakeRequest, outcome: str) -> None:
        if request.end:
            self.violations += 1
        request.end = outcome
        if outcome == "refused" and request.runs:
            self.violations += 1

    def _make_figures(self) -> RequestFigures:
        done = sum(1 for item in self.requests if item.end == "done")
        waits = sorted(self.waits)
        return RequestFigures(
            done / len(self.requests),
            1000 * waits[int(0.99 * len(waits))],
            self.violations,
            sum(1 for item in self.requests if item.end == "refused"),
            sum(1 for item in self.requests if item.end == "late"),
        )


def measure_requests(policy: str, load: float, seed: int) -> RequestFigures:
    """Simulate one load under a policy's selection of backend servers.

    ``load`` is the share of the backend servers' capacity that is requested.
    """
    selector: Selector = RoundRobin()
    if policy == "shipped":
        selector = BackendSelector(random.Random(seed + 1))
    return RequestSystem(selector, load, seed).run()
