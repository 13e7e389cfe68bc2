"""Choose the backend server for one request.

Back ends of the caller's own zone come first; of a few drawn at random the
least loaded wins. A back end whose answers fail or slow down far beyond its
peers is ejected for a while, but never more than a share of them.
"""

from abc import ABC
from abc import abstractmethod
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import random

from hickorywing.policy.limits import AdaptiveLimit
from hickorywing.policy.limits import ServiceTimes

__all__ = [
    "BackendAnswer",
    "BackendSelector",
    "BackendState",
    "RoundRobin",
    "Selector",
]

CHOICES = 3
NEAR_SHARE = 0.75
FAILURES_TO_EJECT = 5
SLOW_TIMES_MEDIAN = 3.0
SAMPLES_TO_JUDGE = 8
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 120.0
MAX_EJECTED_SHARE = 0.4
INITIAL_SERVICE_S = 0.05


@dataclass(slots=True)
class BackendState:
    """What an entry knows of one backend server."""

    name: str
    zone: str
    slots: int = 8
    outstanding: int = 0
    failures_in_row: int = 0
    ejected_until: float = 0.0
    ejection_s: float = FIRST_EJECTION_S
    service: ServiceTimes = field(
        default_factory=lambda: ServiceTimes(INITIAL_SERVICE_S)
    )
    limit: AdaptiveLimit = field(init=False)

    def __post_init__(self) -> None:
        self.limit = AdaptiveLimit(self.slots)

    def expected_s(self) -> float:
        """Return the time in seconds that one more request would take."""
        waves = (self.outstanding + 1) / self.slots
        return self.service.mean_s * max(1.0, waves)


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """How a back end answered; times are in seconds."""

    seconds: float
    wait_s: float
    failed: bool
    refused: bool


class Selector(ABC):
    """Chooses back ends and learns from their answers."""

    def __init__(self) -> None:
        self.backends: dict[str, BackendState] = {}

    def add(self, name: str, zone: str, slots: int = 8) -> None:
        """Add a back end, or keep it as it is known."""
        if name not in self.backends:
            self.backends[name] = BackendState(name, zone, slots)

    def remove(self, name: str) -> None:
        """Remove a back end that takes no new work."""
        self.backends.pop(name, None)

    @abstractmethod
    def choose(
        self, near_zone: str, exclude: Collection[str], now: float
    ) -> str | None:
        """Return the back end to use, or ``None`` when all are at a limit."""

    def sent(self, name: str) -> None:
        """Note that a request is on its way."""
        backend = self.backends.get(name)
        if backend is not None:
            backend.outstanding += 1

    def answered(
        self,
        name: str,
        seconds: float,
        failed: bool,
        refused: bool,
        now: float,
        wait_s: float = 0.0,
    ) -> None:
        """Note an answer after ``seconds``, ``wait_s`` of them for a slot."""
        backend = self.backends.get(name)
        if backend is None:
            return
        backend.outstanding = max(0, backend.outstanding - 1)
        answer = BackendAnswer(seconds, wait_s, failed, refused)
        self._learn(backend, answer, now)

    @abstractmethod
    def _learn(
        self,
        backend: BackendState,
        answer: BackendAnswer,
        now: float,
    ) -> None:
        """Learn from an answer."""


class RoundRobin(Selector):
    """Every back end in turn: a baseline."""

    def __init__(self) -> None:
        super().__init__()
        self._turn = 0

    def choose(
        self, near_zone: str, exclude: Collection[str], now: float
    ) -> str | None:
        """Return the next back end in turn."""
        names = [name for name in self.backends if name not in exclude]
        if not names:
            return None
        self._turn += 1
        return names[self._turn % len(names)]

    def _learn(
        self,
        backend: BackendState,
        answer: BackendAnswer,
        now: float,
    ) -> None:
        """Learn nothing."""


class BackendSelector(Selector):
    """Least expected time of a few choices, own zone first."""

    def __init__(self, random_source: random.Random) -> None:
        super().__init__()
        self._random = random_source

    def choose(
        self, near_zone: str, exclude: Collection[str], now: float
    ) -> str | None:
        """Return a back end below its limit, or ``None``."""
        usable = [
            backend
            for backend in self.backends.values()
            if backend.name not in exclude
            and backend.ejected_until <= now
            and backend.outstanding < backend.limit.limit
        ]
        near = [
            backend
            for backend in usable
            if backend.zone == near_zone
            and backend.outstanding < NEAR_SHARE * backend.slots
        ]
        return self._least_loaded(near or usable)

    def _least_loaded(self, usable: list[BackendState]) -> str | None:
        if not usable:
            return None
        if len(usable) > CHOICES:
            usable = self._random.sample(usable, CHOICES)
        return min(usable, key=BackendState.expected_s).name

    def _learn(
        self,
        backend: BackendState,
        answer: BackendAnswer,
        now: float,
    ) -> None:
        backend.limit.observe(answer.wait_s, answer.refused)
        if answer.refused:
            return
        if answer.failed:
            backend.failures_in_row += 1
            if backend.failures_in_row >= FAILURES_TO_EJECT:
                self._eject(backend, now)
            return
        backend.failures_in_row = 0
        backend.service.observe(answer.seconds - answer.wait_s)
        if self._is_slow(backend):
            self._eject(backend, now)

    def _is_slow(self, backend: BackendState) -> bool:
        if backend.service.samples < SAMPLES_TO_JUDGE:
            return False
        peers = sorted(
            other.service.mean_s
            for other in self.backends.values()
            if other.service.samples >= SAMPLES_TO_JUDGE
        )
        median = peers[len(peers) // 2]
        return backend.service.mean_s > SLOW_TIMES_MEDIAN * median

    def _eject(self, backend: BackendState, now: float) -> None:
        ejected = sum(
            1 for other in self._others(backend) if other.ejected_until > now
        )
        if ejected + 1 > MAX_EJECTED_SHARE * len(self.backends):
            return
        backend.ejected_until = now + backend.ejection_s
        backend.ejection_s = min(backend.ejection_s * 2, MAX_EJECTION_S)
        backend.failures_in_row = 0
        backend.service = ServiceTimes(INITIAL_SERVICE_S)

    def _others(self, backend: BackendState) -> Iterable[BackendState]:
        return (
            other for other in self.backends.values() if other is not backend
        )
