"""Messages between a pool's controller and the agents beside its workers.

The controller calls an agent over HTTP with MessagePack bodies: a *watch*
renews the worker's lease and waits for a changed report, a *start* or *stop*
carries one order. Each call names the controller's epoch and the worker's
incarnation, and all calls are idempotent.
"""

import enum

import msgspec

from hickorywing.decoding import Count
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
    """The outcome of an order at the worker.

    ``UNKNOWN`` means that no answer came: the worker may still carry the
    order out, even seconds later. All others but ``OK`` mean that the order
    was not carried out.
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
    """The fields that each call of a controller carries.

    ``lease_ms`` is the time on the worker's clock until which its work may
    run without a further renewal, or 0 to leave the lease as it is.
    """

    pool: str
    epoch: int
    worker: str
    lease_ms: int = 0


class WatchOrder(Order, frozen=True, kw_only=True):
    """Renews the lease and asks for a report newer than number ``seen``.

    ``busy`` says that the controller has work at the worker, so that the agent
    polls it. The ends of runs up to number ``noted`` are stored, so the worker
    may forget them. The agent answers within ``wait_s`` seconds.
    """

    seen: int = 0
    noted: int = 0
    busy: bool = False
    wait_s: float = 0.0


class StartOrder(Order, frozen=True, kw_only=True):
    """Starts a run.

    ``saved`` names the state that the run resumes from. A ``ticket`` that is
    not empty is passed on to the worker. The order is refused after
    ``expires_ms`` on the worker's clock, and if the worker has less than the
    ``capacity`` that the run was checked against, or lacks the ``label`` that
    it requires.
    """

    task: str
    run: int
    payload: str
    saved: str = ""
    ticket: str = ""
    expires_ms: int = 0
    capacity: Resources | None = None
    label: str = ""


class StopOrder(Order, frozen=True, kw_only=True):
    """Stops a run, or prevents its start if it has not started yet."""

    task: str
    run: int


class OrderAnswer(msgspec.Struct, frozen=True):
    """Answers a start or stop order.

    ``clock_ms`` is the worker's clock. ``reason`` says why the outcome is
    unknown. ``born_ms`` is the start of the incarnation that has answered in
    Unix milliseconds, 0 if the answer doesn't tell.
    """

    outcome: OrderOutcome
    clock_ms: int = 0
    reason: str = ""
    born_ms: int = 0


class RunningRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that a worker lists as running, and its progress in percent."""

    task: str
    run: Count
    saved: str = ""
    percent: Count = 0


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """An end of a run that a worker lists.

    ``number`` rises with each end within an incarnation. ``how`` is the value
    of an ``Ending``, and ``saved`` names the checkpoint that the run left.
    """

    number: Count
    task: str
    run: Count
    how: str
    saved: str = ""


class WorkerReport(msgspec.Struct, frozen=True):
    """An agent's report of its worker.

    ``number`` rises with each change. ``worker`` is the present incarnation,
    empty if there is none, and ``left`` the last one that is known to have
    ended. ``epoch`` is the highest epoch that the agent has seen. ``clock_ms``
    is the agent's estimate of the worker's clock now, and ``looked_ms`` the
    worker's clock at the last poll, to which ``running`` and ``ended`` belong;
    that poll was sent ``asked_ago_ms`` ago, -1 in reports of earlier builds.
    ``silent`` says that the worker did not answer the last poll; meanwhile the
    agent forwards neither leases nor starts. ``granted_ms`` is the end of the
    longest lease that this process of the agent has forwarded. ``crashed`` are
    the last incarnations that ended without notice while this process watched
    them; reports of earlier builds lack it.
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
    asked_ago_ms: int = -1
    silent: bool = False
    granted_ms: int = 0
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    crashed: tuple[str, ...] = ()
