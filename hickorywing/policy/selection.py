"""Choose the backend server for a request.

Backends in the caller's own zone are preferred. Of a few that are sampled at
random, the one with the least expected time is used. A backend that fails
several requests in a row, or is much slower than its peers, is ejected for a
while; only a limited share of the backends is ejected at a time.
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

SAMPLED_BACKENDS = 3
# Above this share of its slots in use, a backend of the caller's own zone is
# no longer preferred.
MAX_NEAR_LOAD = 0.75
FAILURES_TO_EJECT = 5
# A backend is slow if its mean service time exceeds the median of those with
# enough samples by this factor.
SLOW_FACTOR = 3.0
MIN_SAMPLES = 8
# Each ejection of a backend lasts twice as long as its last one, from the
# first up to the maximum.
FIRST_EJECTION_S = 5.0
MAX_EJECTION_S = 120.0
MAX_EJECTED_SHARE = 0.4
# Assumed service time of a backend without samples.
INITIAL_SERVICE_S = 0.05


@dataclass(slots=True)
class BackendState:
    """State of one backend server, as one entry knows it.

    ``outstanding`` counts requests sent without an answer yet.
    """

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
        """Return the expected time in seconds of one more request."""
        rounds = (self.outstanding + 1) / self.slots
        return self.service.mean_s * max(1.0, rounds)


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """Outcome of one request to a backend.

    ``seconds`` is the whole time, ``wait_s`` the part of it spent waiting for
    a slot there. ``refused`` tells that it did not run.
    """

    seconds: float
    wait_s: float
    failed: bool
    refused: bool


class Selector(ABC):
    """Base class of selectors, which also track the load of backends."""

    def __init__(self) -> None:
        self.backends: dict[str, BackendState] = {}

    def add(self, name: str, zone: str, slots: int = 8) -> None:
        """Add a backend, unless it is known already."""
        if name not in self.backends:
            self.backends[name] = BackendState(name, zone, slots)

    def remove(self, name: str) -> None:
        """Remove a backend that takes no new requests."""
        self.backends.pop(name, None)

    @abstractmethod
    def choose(
        self, near_zone: str, exclude: Collection[str], now: float
    ) -> str | None:
        """Return the name of the backend to use, or ``None``.

        ``near_zone`` is the caller's zone; backends in ``exclude`` are not
        used.
        """

    def sent(self, name: str) -> None:
        """Record that a request was sent to a backend."""
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
        """Record the answer to a request.

        It came after ``seconds``, of which the request waited ``wait_s`` for a
        slot of the backend.
        """
        backend = self.backends.get(name)
        if backend is None:
            return
        backend.outstanding = max(0, backend.outstanding - 1)
        answer = BackendAnswer(seconds, wait_s, failed, refused)
        self._record_answer(backend, answer, now)

    @abstractmethod
    def _record_answer(
        self,
        backend: BackendState,
        answer: BackendAnswer,
        now: float,
    ) -> None:
        """Update the state of a backend from an answer."""


class RoundRobin(Selector):
    """Selects every backend in turn, as a baseline for comparisons."""

    def __init__(self) -> None:
        super().__init__()
        self._next_index = 0

    def choose(
        self, near_zone: str, exclude: Collection[str], now: float
    ) -> str | None:
        """Return the next backend in turn."""
        names = [name for name in self.backends if name not in exclude]
        if not names:
            return None
        self._next_index += 1
        return names[self._next_index % len(names)]

    def _record_answer(
        self,
        backend: BackendState,
        answer: BackendAnswer,
        now: float,
    ) -> None:
        """Do nothing: the turn depends on no answers."""


class BackendSelector(Selector):
    """Selects by least expected time within a sample, own zone first."""

    def __init__(self, random_source: random.Random) -> None:
        super().__init__()
        self._random = random_source

    def choose(
        self, near_zone: str, exclude: Collection[str], now: float
    ) -> str | None:
        """Return a backend below its concurrency limit, or ``None``."""
        usable = [
            backend
            for backend in self.backends.values()
            if backend.name not in exclude
            and backend.ejected_until <= now
            and backend.outstanding < backend.limit.limit
        ]
        preferred = [
            backend
            for backend in usable
            if backend.zone == near_zone
            and backend.outstanding < MAX_NEAR_LOAD * backend.slots
        ]
        return self._least_loaded(preferred or usable)

    def _least_loaded(self, usable: list[BackendState]) -> str | None:
        if not usable:
            return None
        if len(usable) > SAMPLED_BACKENDS:
            usable = self._random.sample(usable, SAMPLED_BACKENDS)
        return min(usable, key=BackendState.expected_s).name

    def _record_answer(
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
        """Return whether a backend is much slower than its peers."""
        if backend.service.samples < MIN_SAMPLES:
            return False
        peers = sorted(
            other.service.mean_s
            for other in self.backends.values()
            if other.service.samples >= MIN_SAMPLES
        )
        median = peers[len(peers) // 2]
        return backend.service.mean_s > SLOW_FACTOR * median

    def _eject(self, backend: BackendState, now: float) -> None:
        """Eject a backend, unless too many others are ejected already."""
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
