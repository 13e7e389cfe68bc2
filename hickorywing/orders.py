"""Messages between a pool's controller and the agents beside its workers.

The controller calls an agent over HTTP with MessagePack bodies: a *watch*
renews leases and waits for news, a *start* or *stop* carries one order. Each
call names the controller's epoch and the worker's incarnation, and each can
be repeated: what it asks for is the same when it has been done already.
"""

import enum

import msgspec

from hickorywing.policy.poolmodel import Resources

__all__ = [
    "EndedRun",
    "OrderAnswer",
    "OrderOutcome",
    "RunningRun",
    "StartOrder",
    "StopOrder",
    "WatchOrder",
    "WorkerReport",
]


class OrderOutcome(enum.StrEnum):
    """What became of an order at the worker.

    ``UNKNOWN`` means that no answer came: the worker may still carry the
    order out, also seconds later. All others but ``OK`` mean that it was not
    carried out.
    """

    OK = "ok"
    NO_ROOM = "no room"
    OLD_RUN = "old run"
    LATE = "late"
    OLD_EPOCH = "old epoch"
    NO_TICKET = "no ticket"
    INVALID = "invalid"
    OVERLOADED = "overloaded"
    OTHER_WORKER = "other worker"
    REFUSED = "refused by agent"
    UNKNOWN = "unknown"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """What every call of a controller carries.

    ``lease_ms`` is the time on the worker's clock until which its work may
    run unheard, 0 to leave it as it is.
    """

    pool: str
    epoch: int
    worker: str
    lease_ms: int = 0


class WatchOrder(Order, frozen=True, kw_only=True):
    """Renews the lease and asks for news after report ``seen``.

    ``busy`` says that the controller has work there, so the agent looks at
    the worker; ends up to ``noted`` are stored and can be forgotten.
    """

    seen: int = 0
    noted: int = 0
    busy: bool = False
    wait_s: float = 0.0


class StartOrder(Order, frozen=True, kw_only=True):
    """Starts a run; ``expires_ms`` is on the worker's clock."""

    task: str
    run: int
    payload: str
    saved: str = ""
    ticket: str = ""
    expires_ms: int = 0


class StopOrder(Order, frozen=True, kw_only=True):
    """Stops a run, or keeps it from starting if it is not there yet."""

    task: str
    run: int


class OrderAnswer(msgspec.Struct, frozen=True):
    """What became of a start or stop; ``clock_ms`` is the worker's clock.

    ``reason`` says why the outcome is unknown.
    """

    outcome: OrderOutcome
    clock_ms: int = 0
    reason: str = ""


class RunningRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that a worker lists as at work; ``percent`` of its work done."""

    task: str
    run: int
    saved: str = ""
    percent: int = 0


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """An end that a worker lists; ``number`` rises within an incarnation."""

    number: int
    task: str
    run: int
    how: str
    saved: str = ""


class WorkerReport(msgspec.Struct, frozen=True):
    """What an agent knows of its worker.

    ``worker`` is empty while none is present and ``left`` is the last
    incarnation that has surely ended. ``clock_ms`` is the
    agent's estimate of the worker's clock now, ``looked_ms`` the worker's
    clock at the last look, from which the two lists are. ``epoch`` is the
    highest epoch that the agent has heard of. ``silent`` tells that the worker
    left the last look without an answer; meanwhile the agent passes on neither
    leases nor starts. ``granted_ms`` is the end of the longest lease that this
    process of the agent has passed on.
    """

    number: int = 0
    epoch: int = 0
    pool: str = ""
    worker: str = ""
    left: str = ""
    zone: str = ""
    capacity: Resources = Resources()
    labels: tuple[str, ...] = ()
    draining: bool = False
    remaining_ms: int = 0
    clock_ms: int = 0
    looked_ms: int = 0
    silent: bool = False
    granted_ms: int = 0
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
