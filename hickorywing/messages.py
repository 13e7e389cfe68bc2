"""Messages between the processes of the system, and their codec.

Each message is a tagged MessagePack structure. Bytes that are no valid message
decode to an error value, so that malformed frames can be counted and dropped.
Times are in seconds.
"""

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from hickorywing.decoding import decode_msgpack
from hickorywing.decoding import DecodingError
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
# By default the largest message that is received. One about a hundred
# processes takes about 12 kB.
MAX_MESSAGE_BYTES = 256 << 10


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of all messages."""


class Head(msgspec.Struct, frozen=True, array_like=True):
    """A configuration head, as it is sent."""

    version: int
    zones_out: list[str] = []
    draining: list[str] = []
    inventory_version: int = 0
    rules_version: int = 0

    def to_policy(self) -> ConfigurationHead:
        """Return the head as the policy package has it."""
        return ConfigurationHead(
            self.version,
            frozenset(self.zones_out),
            frozenset(self.draining),
            self.inventory_version,
            self.rules_version,
        )

    @classmethod
    def from_policy(cls, head: ConfigurationHead) -> "Head":
        """Return a head of the policy package as it is sent."""
        return cls(
            head.version,
            sorted(head.zones_out),
            sorted(head.draining),
            head.inventory_version,
            head.rules_version,
        )


class MemberReport(msgspec.Struct, frozen=True, array_like=True):
    """State of a gang member, as its agent reports it.

    ``kept_s`` is the run time that its checkpoint saved, if it made one.
    """

    job_id: str
    attempt: int
    state: str
    kept_s: float | None = None


class AgentInfo(msgspec.Struct, frozen=True, array_like=True):
    """What other processes need to know of an agent or entry.

    ``control`` is the address of its mailbox and ``http`` that of its HTTP
    listener. ``service``, ``slots`` and ``connections`` describe the backend
    server beside it, and ``worker_id`` names the worker beside it, if any.
    """

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
    """A report that a process is present, with the members of an agent.

    ``sent_at`` is on the sender's own clock. ``epoch`` is the highest
    controller epoch that the agent has received.
    """

    info: AgentInfo
    sent_at: float
    leaving: bool
    config_version: int
    epoch: int
    members: list[MemberReport] = []


class ControllerHello(Message, frozen=True):
    """An announcement of a zone's controller, with the load of the zone.

    ``free`` counts idle accelerators, ``queued`` waiting jobs, and
    ``largest_idle`` is the size of the largest idle cell. ``wants_agents``
    asks an entry for the agents of the zone.
    """

    zone: str
    epoch: int
    name: str
    control: str
    free: int = 0
    queued: int = 0
    largest_idle: int = 0
    wants_agents: bool = False


class HeartbeatAck(Message, frozen=True):
    """The acknowledgment of a heartbeat, whose ``sent_at`` it repeats.

    ``age_s`` is the time since the head was last confirmed, ``None`` if it
    never was. ``renewed`` lists the members whose leases are extended, and
    ``noted`` the ended ones whose end the controller has recorded. An entry
    sends the ``controller`` of the agent's zone, if it received a hello
    recently, and 0 as ``epoch``. A controller sends its ``epoch`` and whether
    it ``holds`` its own lease for certain.
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
    """The controllers that an entry knows, in answer to a hello."""

    hellos: list[ControllerHello]


class PresentAgents(Message, frozen=True):
    """The agents of a zone, for a controller that asked for them."""

    agents: list[AgentInfo]


class HeadPush(Message, frozen=True):
    """A new configuration head; the receiver answers with ``HeadSeen``."""

    head: Head


class HeadSeen(Message, frozen=True):
    """A confirmation that a process has a configuration in force."""

    name: str
    version: int


class JobChanged(Message, frozen=True):
    """A hint to a zone's controller to read a job row that changed."""

    job_id: str


class TaskOrder(msgspec.Struct, frozen=True, array_like=True):
    """One task of a member: its index in the gang, and its accelerators.

    It gets ``size`` accelerators of the worker, from ``offset`` on.
    """

    index: int
    offset: int
    size: int


class MemberCommand(Message, frozen=True):
    """A controller's command to an agent about a member.

    ``kind`` is ``prepare``, ``start`` or ``stop``. ``run_s`` is the run time
    of the tasks and ``kept_s`` the part of it that a checkpoint has saved.
    ``checkpoint`` asks for a checkpoint before a stop.
    """

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
    """An agent's answer to a command; ``reason`` says why it was refused."""

    kind: str
    job_id: str
    attempt: int
    worker_id: str
    accepted: bool
    reason: str = ""


class MemberEnded(Message, frozen=True):
    """A report that a member has ended: done, failed or stopped."""

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
    """A message with the name and mailbox address of its sender."""

    sender: str
    reply_to: str
    body: AnyMessage


_ENCODER = msgspec.msgpack.Encoder()


def encode_message(envelope: Envelope) -> bytes:
    """Encode an envelope."""
    return _ENCODER.encode(envelope)


def decode_message(frame: bytes) -> Result[Envelope, str]:
    """Decode a frame; return the envelope or the reason of a failure."""
    if len(frame) > MAX_FRAME_BYTES:
        return Failure(
            f"frame of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}"
        )
    try:
        return Success(decode_msgpack(frame, Envelope))
    except DecodingError as error:
        return Failure(str(error))
