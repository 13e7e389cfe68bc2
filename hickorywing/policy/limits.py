"""Limit concurrency, retries and waiting."""

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
MAX_WAIT_S = 0.5
SHRINK_FACTOR = 0.9
SMOOTHING = 0.1


class ServiceTimes:
    """A smoothed mean of service times in seconds."""

    def __init__(self, initial_s: float) -> None:
        self.mean_s = initial_s
        self.samples = 0

    def observe(self, seconds: float) -> None:
        """Take in one service time."""
        self.samples += 1
        rate = max(SMOOTHING, 1.0 / self.samples)
        self.mean_s += rate * (seconds - self.mean_s)


class AdaptiveLimit:
    """A concurrency limit that follows the queue of one back end.

    The limit grows by one for each limit's worth of requests that hardly
    waited for a slot, and shrinks by a factor when one was refused or waited
    longer than ``MAX_WAIT_S``. It never falls below the back end's slots.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.limit = MAX_LIMIT

    def observe(self, wait_s: float, refused: bool) -> None:
        """Take in how long one request waited for a slot, in seconds."""
        if refused or wait_s > MAX_WAIT_S:
            self.limit = max(float(self.slots), self.limit * SHRINK_FACTOR)
        else:
            self.limit = min(MAX_LIMIT, self.limit + 1.0 / self.limit)


class RetryBudget:
    """Allow retries as a share of the requests of late."""

    def __init__(self, share: float = 0.1, reserve: float = 10.0) -> None:
        self.share = share
        self.reserve = reserve
        self._tokens = reserve

    def note_request(self) -> None:
        """Earn a share of one retry."""
        self._tokens = min(self.reserve, self._tokens + self.share)

    def try_retry(self) -> bool:
        """Spend one retry if the budget has it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateLimit:
    """Allow a steady rate of operations with a one-second burst."""

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self._tokens = per_s
        self._at: float | None = None

    def try_take(self, now: float) -> float | None:
        """Take one; return the seconds to wait when there is none."""
        if self._at is not None:
            earned = (now - self._at) * self.per_s
            self._tokens = min(self.per_s, self._tokens + earned)
        self._at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        return (1.0 - self._tokens) / self.per_s


@dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits for a slot."""

    request_id: str
    deadline: float


class WaitQueue:
    """Requests waiting for the slots of one back end.

    A request whose expected wait passes its deadline is refused on arrival,
    with the time in seconds after which a slot is likely.
    """

    def __init__(self, slots: int, room: int, initial_s: float = 0.1) -> None:
        self.slots = slots
        self.room = room
        self.busy = 0
        self.service = ServiceTimes(initial_s)
        self._waiting: deque[Waiter] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def expected_wait_s(self) -> float:
        """Return the wait in seconds that a new arrival would have."""
        if self.busy < self.slots:
            return 0.0
        ahead = len(self._waiting) + 1
        return ahead * self.service.mean_s / self.slots

    def arrive(
        self, request_id: str, deadline: float, now: float
    ) -> float | None:
        """Queue a request, or return the seconds after which to retry."""
        wait = self.expected_wait_s()
        if len(self._waiting) >= self.room:
            return max(wait, self.service.mean_s)
        if now + wait + self.service.mean_s > deadline:
            return max(wait, self.service.mean_s)
        self._waiting.append(Waiter(request_id, deadline))
        return None

    def next_due(self, now: float) -> tuple[str | None, list[str]]:
        """Return the request to run, if a slot is free, and those too late."""
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
        """Drop a waiting request; tell whether it was still waiting."""
        for waiter in self._waiting:
            if waiter.request_id == request_id:
                self._waiting.remove(waiter)
                return True
        return False
