"""Access the platform's runner, the worker beside an agent, over HTTP.

A ``StartOrder`` becomes a ``run-start`` call, a ``StopOrder`` a ``run-stop``
call, and a poll a ``hold`` call, which also renews the lease. ``fence`` is the
controller's epoch, ``until-ms`` the end of the lease on the worker's clock,
``spec`` the payload of a task, ``ack-cursor`` the number of the last ended run
that the worker may forget, and ``born`` the start of an incarnation in Unix
milliseconds. The status and the ``reason`` of an answer become an
``OrderOutcome``.
"""

from typing import Annotated
from typing import Any

import msgspec

from hickorywing.decoding import convert
from hickorywing.decoding import Count
from hickorywing.decoding import decode_json
from hickorywing.decoding import DecodingError
from hickorywing.httpclient import CallError
from hickorywing.httpclient import ConnectRefused
from hickorywing.httpclient import HttpAnswer
from hickorywing.httpclient import HttpClient
from hickorywing.orders import EndedRun
from hickorywing.orders import OrderAnswer
from hickorywing.orders import OrderOutcome
from hickorywing.orders import RunningRun
from hickorywing.orders import StartOrder
from hickorywing.orders import StopOrder
from hickorywing.policy.poolmodel import Resources
from hickorywing.poolworker import PollResult
from hickorywing.poolworker import Worker
from hickorywing.poolworker import WorkerAnnouncement
from hickorywing.poolworker import WorkerGone
from hickorywing.poolworker import WorkerReplaced
from hickorywing.poolworker import WorkerSilent

__all__ = ["PlatformWorker", "decode_announcement"]

# The runner is on the same VM. An order that is unanswered for longer is
# carried out late, if at all.
ORDER_TIMEOUT_S = 0.6
POLL_SLACK_S = 0.8
INSTANCE_HEADER = "X-Expect-Instance"

OUTCOMES_BY_REASON = {
    "fence": OrderOutcome.OLD_EPOCH,
    "old": OrderOutcome.OLD_RUN,
    "late": OrderOutcome.LATE,
    "room": OrderOutcome.NO_ROOM,
    "ticket": OrderOutcome.NO_TICKET,
}
OUTCOMES_BY_STATUS = {
    200: OrderOutcome.OK,
    400: OrderOutcome.INVALID,
    421: OrderOutcome.OTHER_WORKER,
    429: OrderOutcome.OVERLOADED,
    503: OrderOutcome.OVERLOADED,
}


# Texts and lists of a heartbeat; it is kept, and others may send one.
MAX_CHARS = 200
MAX_LABELS = 100

Text = Annotated[str, msgspec.Meta(max_length=MAX_CHARS)]


class WireCapacity(msgspec.Struct, rename="kebab"):
    """The resources of a runner; ``cpu`` is in thousandths of a core."""

    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0


class WireHeartbeat(msgspec.Struct, rename="kebab"):
    """A heartbeat of a runner.

    ``service`` is its pool, ``address`` that at which it takes orders, and
    ``seq`` rises with each heartbeat.
    """

    service: Text
    state: Text
    seq: Count
    capacity: WireCapacity
    address: Text
    zone: Text
    born: Count
    labels: Annotated[list[Text], msgspec.Meta(max_length=MAX_LABELS)] = []
    clock_ms: Count = 0
    remaining_ms: Count = 0


class WireOrderAnswer(msgspec.Struct, rename="kebab"):
    """An answer to a start or stop order."""

    clock_ms: Count = 0
    reason: str = ""
    born: Count = 0


class WirePollAnswer(msgspec.Struct, rename="kebab"):
    """An answer to a poll; each run is an array of values.

    Later releases of the platform may append values, which are ignored.
    """

    clock_ms: Count
    born: Count
    running: list[list[Any]] = []
    ended: list[list[Any]] = []


def decode_announcement(name: str, body: bytes) -> WorkerAnnouncement | None:
    """Decode a heartbeat; return ``None`` if it is unreadable.

    An unknown state or a long name makes it unreadable, too.
    """
    if len(name) > MAX_CHARS:
        return None
    try:
        heartbeat = decode_json(body, WireHeartbeat)
    except DecodingError:
        return None
    if heartbeat.state not in ("ready", "draining"):
        return None
    capacity = heartbeat.capacity
    return WorkerAnnouncement(
        worker=f"{name}@{heartbeat.born}",
        name=name,
        born_ms=heartbeat.born,
        sequence=heartbeat.seq,
        pool=heartbeat.service,
        zone=heartbeat.zone,
        address=heartbeat.address,
        capacity=Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        labels=tuple(heartbeat.labels),
        draining=heartbeat.state == "draining",
        remaining_ms=heartbeat.remaining_ms,
        clock_ms=heartbeat.clock_ms,
    )


def decode_answer(answer: HttpAnswer) -> OrderAnswer:
    """Convert an answer to an order; unexpected ones are ``UNKNOWN``."""
    outcome = OUTCOMES_BY_STATUS.get(answer.status)
    try:
        wire = decode_json(answer.body or b"{}", WireOrderAnswer)
    except DecodingError:
        wire = WireOrderAnswer()
    if answer.status == 409:
        outcome = OUTCOMES_BY_REASON.get(wire.reason)
    if outcome is None:
        reason = f"answered with status {answer.status} {wire.reason}".rstrip()
        return OrderAnswer(OrderOutcome.UNKNOWN, wire.clock_ms, reason)
    return OrderAnswer(outcome, wire.clock_ms, born_ms=wire.born)


def decode_poll(answer: HttpAnswer) -> PollResult:
    """Decode the running and ended runs; raise ``WorkerSilent``.

    Status 421 comes from a runner with another id than the call expects.
    """
    if answer.status == 421:
        raise WorkerReplaced("a worker of another name answers")
    if answer.status != 200:
        raise WorkerSilent(f"poll answered with status {answer.status}")
    try:
        poll = decode_json(answer.body, WirePollAnswer)
        running = tuple(convert(row[:4], RunningRun) for row in poll.running)
        ended = tuple(convert(row[:5], EndedRun) for row in poll.ended)
    except DecodingError as error:
        raise WorkerSilent(f"unreadable answer to a poll: {error}") from error
    return PollResult(poll.clock_ms, poll.born, running, ended)


class PlatformWorker(Worker):
    """Client of the runner on the agent's own VM."""

    def __init__(self, address: str, http: HttpClient) -> None:
        self._url = f"http://{address}"
        self._http = http

    async def start(self, order: StartOrder, name: str) -> OrderAnswer:
        """Order a start; return ``UNKNOWN`` if no answer comes."""
        body: dict[str, Any] = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "until-ms": order.lease_ms,
            "fence": order.epoch,
        }
        if order.saved:
            body["saved"] = order.saved
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order("run-start", body, name)

    async def stop(self, order: StopOrder, name: str) -> OrderAnswer:
        """Order a stop; return ``UNKNOWN`` if no answer comes."""
        body = {"task": order.task, "run": order.run, "fence": order.epoch}
        return await self._order("run-stop", body, name)

    async def _order(
        self, call: str, body: dict[str, Any], name: str
    ) -> OrderAnswer:
        try:
            answer = await self._http.call(
                "POST",
                f"{self._url}/{call}",
                ORDER_TIMEOUT_S,
                msgspec.json.encode(body),
                {INSTANCE_HEADER: name},
            )
        except CallError as error:
            return OrderAnswer(OrderOutcome.UNKNOWN, reason=str(error))
        return decode_answer(answer)

    async def poll(
        self,
        name: str,
        epoch: int,
        lease_ms: int,
        acknowledged: int,
        wait_s: float,
    ) -> PollResult:
        """Renew the lease and list the runs.

        Waits up to ``wait_s`` for a run that ends after number
        ``acknowledged``. Raises ``WorkerGone`` if the connection is refused,
        ``WorkerReplaced`` if a runner with another id answers, and
        ``WorkerSilent`` if no usable answer comes.
        """
        body: dict[str, Any] = {"fence": epoch, "ack-cursor": acknowledged}
        if lease_ms:
            body["until-ms"] = lease_ms
        if wait_s:
            body["wait-ms"] = int(wait_s * 1000)
        try:
            answer = await self._http.call(
                "POST",
                f"{self._url}/hold",
                wait_s + POLL_SLACK_S,
                msgspec.json.encode(body),
                {INSTANCE_HEADER: name},
            )
        except ConnectRefused as error:
            raise WorkerGone(str(error)) from error
        except CallError as error:
            raise WorkerSilent(str(error)) from error
        return decode_poll(answer)
