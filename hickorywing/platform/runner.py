"""Speak to the platform's runner, the worker beside an agent."""

from typing import Any

import msgspec

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
from hickorywing.worker import Announcement
from hickorywing.worker import Look
from hickorywing.worker import Worker
from hickorywing.worker import WorkerGone
from hickorywing.worker import WorkerSilent

__all__ = ["PlatformWorker", "decode_announcement"]

# The runner is on the same machine; an order held up for longer is carried
# out late, if at all.
ORDER_TIMEOUT_S = 0.6
LOOK_SLACK_S = 0.8
INSTANCE_HEADER = "X-Expect-Instance"

REASONS = {
    "fence": OrderOutcome.OLD_EPOCH,
    "old": OrderOutcome.OLD_RUN,
    "late": OrderOutcome.LATE,
    "room": OrderOutcome.NO_ROOM,
    "ticket": OrderOutcome.NO_TICKET,
}
STATUSES = {
    200: OrderOutcome.OK,
    400: OrderOutcome.INVALID,
    421: OrderOutcome.OTHER_WORKER,
    429: OrderOutcome.OVERLOADED,
    503: OrderOutcome.OVERLOADED,
}


class WireCapacity(msgspec.Struct, rename="kebab"):
    """The room of a runner; ``cpu`` is in thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class WireBeat(msgspec.Struct, rename="kebab"):
    """A status report of a runner; ``service`` is its pool."""

    service: str
    state: str
    seq: int
    zone: str = ""
    capacity: WireCapacity | None = None
    labels: list[str] = []
    clock_ms: int = 0
    remaining_ms: int = 0
    born: int = 0


class WireAnswer(msgspec.Struct, rename="kebab"):
    """An answer to an order."""

    clock_ms: int = 0
    reason: str = ""
    born: int = 0


class WireLists(msgspec.Struct, rename="kebab"):
    """An answer to a look; the rows are positional.

    Later releases may append entries to a row, which are ignored.
    """

    clock_ms: int
    running: list[list[Any]] = []
    ended: list[list[Any]] = []
    born: int = 0


def decode_announcement(name: str, body: bytes) -> Announcement | None:
    """Return what a status report says, or ``None`` if it can't be used."""
    try:
        beat = msgspec.json.decode(body, type=WireBeat)
    except msgspec.DecodeError:
        return None
    if beat.state not in ("ready", "draining"):
        return None
    room = beat.capacity or WireCapacity()
    return Announcement(
        worker=f"{name}@{beat.born}",
        name=name,
        born_ms=beat.born,
        sequence=beat.seq,
        pool=beat.service,
        zone=beat.zone,
        capacity=Resources(room.cpu, room.mem_mb, room.gpu),
        labels=tuple(beat.labels),
        draining=beat.state == "draining",
        remaining_ms=beat.remaining_ms,
        clock_ms=beat.clock_ms,
    )


def decode_answer(answer: HttpAnswer) -> OrderAnswer:
    """Return what an answer to an order says."""
    outcome = STATUSES.get(answer.status)
    try:
        wire = msgspec.json.decode(answer.body or b"{}", type=WireAnswer)
    except msgspec.DecodeError:
        wire = WireAnswer()
    if answer.status == 409:
        outcome = REASONS.get(wire.reason)
    if outcome is None:
        said = f"answered {answer.status} {wire.reason}".rstrip()
        return OrderAnswer(OrderOutcome.UNKNOWN, wire.clock_ms, said)
    return OrderAnswer(outcome, wire.clock_ms)


def decode_look(answer: HttpAnswer) -> Look:
    """Return the lists in an answer; raise ``WorkerSilent``."""
    if answer.status != 200:
        raise WorkerSilent(f"the look was answered {answer.status}")
    try:
        lists = msgspec.json.decode(answer.body, type=WireLists)
        running = tuple(
            msgspec.convert(row[:4], RunningRun) for row in lists.running
        )
        ended = tuple(
            msgspec.convert(row[:5], EndedRun) for row in lists.ended
        )
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise WorkerSilent(f"unreadable lists: {error}") from error
    return Look(lists.clock_ms, lists.born, running, ended)


class PlatformWorker(Worker):
    """The runner on this machine."""

    def __init__(self, address: str, http: HttpClient) -> None:
        self._url = f"http://{address}"
        self._http = http

    async def start(self, order: StartOrder, name: str) -> OrderAnswer:
        """Order a start; no answer is ``UNKNOWN``."""
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
        """Order a stop; no answer is ``UNKNOWN``."""
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

    async def look(
        self, name: str, epoch: int, lease_ms: int, noted: int, wait_s: float
    ) -> Look:
        """Renew the lease and list the runs; raise ``WorkerSilent``."""
        body: dict[str, Any] = {"fence": epoch, "ack-cursor": noted}
        if lease_ms:
            body["until-ms"] = lease_ms
        if wait_s:
            body["wait-ms"] = int(wait_s * 1000)
        try:
            answer = await self._http.call(
                "POST",
                f"{self._url}/hold",
                wait_s + LOOK_SLACK_S,
                msgspec.json.encode(body),
                {INSTANCE_HEADER: name},
            )
        except ConnectRefused as error:
            raise WorkerGone(str(error)) from error
        except CallError as error:
            raise WorkerSilent(str(error)) from error
        return decode_look(answer)
