"""Messages between the system's own processes, and their codec.

Each message is a tagged structure in MessagePack. Bytes that are no message
are an error value, so a malformed frame can be counted and dropped.
"""

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from hickorywing.policy.register import ConfigurationHead

__all__ = [
    "AgentInfo",
    "ControllerHello",
    "Envelope",
    "Head",
    "HeadPush",
    "HeadSeen",
    "Heartbeat",
    "HeartbeatAck",
    "JobChanged",
    "KnownControllers",
    "MemberAnswer",
    "MemberCommand",
    "MemberEnded",
    "MemberReport",
    "PresentAgents",
    "TaskOrder",
    "decode_message",
    "encode_message",
]

MAX_FRAME_BYTES = 1 << 20


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base of all messages."""


class Head(msgspec.Struct, frozen=True, array_like=True):
    """A configuration head on the wire."""

    version: int
    zones_out: list[str] = []
    draining: list[str] = []
    inventory_version: int = 0
    rules_version: int = 0

    def to_policy(self) -> ConfigurationHead:
        """Return the form that the decisions use."""
        return ConfigurationHead(
            self.version,
            frozenset(self.zones_out),
            frozenset(self.draining),
            self.inventory_version,
            self.rules_version,
        )

    @classmethod
    def from_policy(cls, head: ConfigurationHead) -> "Head":
        """Return the wire form of a head."""
        return cls(
            head.version,
            sorted(head.zones_out),
            sorted(head.draining),
            head.inventory_version,
            head.rules_version,
        )


class MemberReport(msgspec.Struct, frozen=True, array_like=True):
    """One gang member as its agent reports it."""

    job_id: str
    attempt: int
    state: str
    kept_s: float | None = None


class AgentInfo(msgspec.Struct, frozen=True, array_like=True):
    """What others need to know to use an agent."""

    name: str
    zone: str
    incarnation: int
    control: str
    http: str
    service: str = ""
    slots: int = 0
    connections: int = 0
    worker_id: str = ""
    role: str = "agent"


class Heartbeat(Message, frozen=True):
    """An agent is present; ``sent_at`` is on its own clock, in seconds."""

    info: AgentInfo
    sent_at: float
    leaving: bool
    config_version: int
    epoch: int
    members: list[MemberReport] = []


class ControllerHello(Message, frozen=True):
    """Names the controller of a zone; ``free`` counts idle accelerators."""

    zone: str
    epoch: int
    name: str
    control: str
    free: int = 0
    queued: int = 0
    largest_idle: int = 0
    wants_agents: bool = False


class HeartbeatAck(Message, frozen=True):
    """Answers one heartbeat.

    ``age_s`` is how long before this answer the head was surely in force and
    ``renewed`` lists the members whose leases go on. An entry's answer names
    the controller of the agent's zone, if it has heard one of late; a
    controller's answer says whether it surely holds its lease.
    """

    sent_at: float
    head: Head
    age_s: float | None
    epoch: int = 0
    renewed: list[MemberReport] = []
    noted: list[MemberReport] = []
    controller: ControllerHello | None = None
    holds: bool = True


class KnownControllers(Message, frozen=True):
    """What an entry knows of all zones, in answer to a controller's hello."""

    hellos: list[ControllerHello]


class PresentAgents(Message, frozen=True):
    """The agents of a zone, for a controller that does not know them."""

    agents: list[AgentInfo]


class HeadPush(Message, frozen=True):
    """A new configuration head, to be confirmed by ``HeadSeen``."""

    head: Head


class HeadSeen(Message, frozen=True):
    """A process has a configuration version in force."""

    name: str
    version: int


class JobChanged(Message, frozen=True):
    """A job row of the zone changed; the controller reads it."""

    job_id: str


class TaskOrder(msgspec.Struct, frozen=True, array_like=True):
    """One task of a member."""

    index: int
    offset: int
    size: int


class MemberCommand(Message, frozen=True):
    """A controller's command: ``prepare``, ``start`` or ``stop``."""

    kind: str
    job_id: str
    attempt: int
    epoch: int
    incarnation: int
    tasks: list[TaskOrder] = []
    run_s: float = 0.0
    kept_s: float = 0.0
    checkpoint: bool = False


class MemberAnswer(Message, frozen=True):
    """An agent's answer to a command."""

    kind: str
    job_id: str
    attempt: int
    worker_id: str
    accepted: bool
    reason: str = ""


class MemberEnded(Message, frozen=True):
    """A member ended: done, failed or stopped."""

    worker_id: str
    report: MemberReport


AnyMessage = (
    Heartbeat
    | HeartbeatAck
    | ControllerHello
    | KnownControllers
    | PresentAgents
    | HeadPush
    | HeadSeen
    | JobChanged
    | MemberCommand
    | MemberAnswer
    | MemberEnded
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender's name and control address."""

    sender: str
    reply_to: str
    body: AnyMessage


_DECODER = msgspec.msgpack.Decoder(Envelope)
_ENCODER = msgspec.msgpack.Encoder()


def encode_message(envelope: Envelope) -> bytes:
    """Return the bytes of an envelope."""
    return _ENCODER.encode(envelope)


def decode_message(frame: bytes) -> Result[Envelope, str]:
    """Return the envelope in a frame, or why there is none."""
    if len(frame) > MAX_FRAME_BYTES:
        return Failure(f"frame of {len(frame)} bytes")
    try:
        return Success(_DECODER.decode(frame))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
