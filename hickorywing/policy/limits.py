"""Limit concurrency, retries, rates and queueing."""

from collections import deque
from dataclasses import dataclass

__all__ = [
    "AdaptiveLimit",
    "RateLimit",
    "RetryBudget",
    "ServiceTimes",
    "WaitQueue",
]

MAX_LIMIT = 64.0
# A longer wait for a slot shows that the backend is overloaded.
MAX_WAIT_S = 0.5
SHRINK_FACTOR = 0.9
SMOOTHING_RATE = 0.1


class ServiceTimes:
    """An exponentially smoothed mean of service times, in seconds.

    It starts as the plain mean of the first samples.
    """

    def __init__(self, initial_s: float) -> None:
        self.mean_s = initial_s
        self.samples = 0

    def observe(self, seconds: float) -> None:
        """Add one service time."""
        self.samples += 1
        rate = max(SMOOTHING_RATE, 1.0 / self.samples)
        self.mean_s += rate * (seconds - self.mean_s)


class AdaptiveLimit:
    """A concurrency limit that follows the queue of one backend.

    It increases additively and decreases multiplicatively: by one for each
    ``limit`` requests that were not refused and waited at most ``MAX_WAIT_S``
    for a slot, and by ``SHRINK_FACTOR`` for each other request. It never falls
    below the slots of the backend.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.limit = MAX_LIMIT

    def observe(self, wait_s: float, refused: bool) -> None:
        """Record how long one request waited for a slot, in seconds."""
        if refused or wait_s > MAX_WAIT_S:
            self.limit = max(float(self.slots), self.limit * SHRINK_FACTOR)
        else:
            self.limit = min(MAX_LIMIT, self.limit + 1.0 / self.limit)


class RetryBudget:
    """A limit of retries to a share of recent requests.

    Each request earns ``share`` of a retry, up to ``reserve`` retries.
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0) -> None:
        self.share = share
        self.reserve = reserve
        self._tokens = reserve

    def record_request(self) -> None:
        """Record a request, which earns a share of a retry."""
        self._tokens = min(self.reserve, self._tokens + self.share)

    def try_retry(self) -> bool:
        """Spend one retry if the budget has one; return whether it had."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateLimit:
    """A token bucket with a steady rate and bursts of one second's worth."""

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self._tokens = per_s
        self._updated_at: float | None = None

    def try_acquire(self, now: float) -> float | None:
        """Take a token, or return the seconds to wait until there is one.

        Returns ``None`` if a token was taken.
        """
        if self._updated_at is not None:
            earned = (now - self._updated_at) * self.per_s
            self._tokens = min(self.per_s, self._tokens + earned)
        self._updated_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        return (1.0 - self._tokens) / self.per_s


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a slot."""

    request_id: str
    deadline: float


class WaitQueue:
    """Requests that wait for the slots of one backend.

    A request that finds the queue full, or that is not expected to finish
    before its deadline, is refused on arrival, with the time in seconds after
    which a slot is likely. ``max_length`` is the maximum length of the queue.
    """

    def __init__(
        self, slots: int, max_length: int, initial_s: float = 0.1
    ) -> None:
        self.slots = slots
        self.max_length = max_length
        self.busy = 0
        self.service = ServiceTimes(initial_s)
        self._waiting: deque[WaitingRequest] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def expected_wait_s(self) -> float:
        """Return the expected wait in seconds of a new request."""
        if self.busy < self.slots:
            return 0.0
        ahead = len(self._waiting) + 1
        return ahead * self.service.mean_s / self.slots

    def arrive(
        self, request_id: str, deadline: float, now: float
    ) -> float | None:
        """Queue a request, or return the seconds after which to retry.

        Returns ``None`` if it was queued. ``deadline`` is a time on the clock
        of ``now``, in seconds.
        """
        wait = self.expected_wait_s()
        if len(self._waiting) >= self.max_length:
            return max(wait, self.service.mean_s)
        if now + wait + self.service.mean_s > deadline:
            return max(wait, self.service.mean_s)
        self._waiting.append(WaitingRequest(request_id, deadline))
        return None

    def start_next(self, now: float) -> tuple[str | None, list[str]]:
        """Take the next request and occupy a slot for it.

        Return its id, or ``None`` if no request waits or no slot is free, and
        the ids of the requests dropped because their deadline has passed.
        """
        late: list[str] = []
        while self._waiting and self.busy < self.slots:
            waiter = self._waiting.popleft()
            if waiter.deadline <= now:
                late.append(waiter.request_id)
                continue
            self.busy += 1
            return waiter.request_id, late
        return None, late

    def finish(self, service_s: float) -> None:
        """Free a slot after ``service_s`` seconds of work."""
        self.busy -= 1
        self.service.observe(service_s)

    def abandon(self, request_id: str) -> bool:
        """Drop a waiting request; return whether it was still waiting."""
        for waiter in self._waiting:
            if waiter.request_id == request_id:
                self._waiting.remove(waiter)
                return True
        return False
