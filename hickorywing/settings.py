"""The settings of each program, read from files of JSON with comments."""

from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator
from pydantic import Field
from returns.result import Failure

from hickorywing.addresses import check_address
from hickorywing.clientlimits import ClientLimits
from hickorywing.clientlimits import count_descriptors_for
from hickorywing.clientmemory import ClientMemory
from hickorywing.documents import load_document
from hickorywing.documents import Model
from hickorywing.documents import ModelT
from hickorywing.findings import FindingsError
from hickorywing.httpclient import MAX_ANSWER_BYTES
from hickorywing.messages import MAX_FRAME_BYTES
from hickorywing.messages import MAX_MESSAGE_BYTES

__all__ = [
    "AgentSettings",
    "BackendModel",
    "ClientsModel",
    "EntrySettings",
    "PoolAgentSettings",
    "PoolEntrySettings",
    "StandinSettings",
    "TlsModel",
    "WorkerLinkModel",
    "read_settings",
]

Address = Annotated[str, AfterValidator(check_address)]
# Shares of the process's descriptors that clients of a listener may take. The
# rest is for connections that the process opens.
CALLER_SHARE = 0.5
INTERNAL_SHARE = 0.125
INTERNAL_DIVISOR = 4
DEFAULT_LIMITS = ClientLimits()
URL = r"^https?://(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"


class TlsModel(Model):
    """PEM files for TLS between the processes of the system."""

    ca_file: str
    cert_file: str
    key_file: str
    server_name: str = "hickorywing"


class ClientsModel(Model):
    """Limits of what others may send to a process and leave unread.

    Sizes are in bytes, times in seconds; ``ClientLimits`` explains
    each. ``answer_bytes`` bounds an answer that the process reads,
    ``message_bytes`` a message of another process of the system.
    """

    head_bytes: int = Field(default=DEFAULT_LIMITS.head_bytes, ge=1024)
    body_bytes: int = Field(default=DEFAULT_LIMITS.body_bytes, ge=1024)
    pending_bytes: int = Field(default=DEFAULT_LIMITS.pending_bytes, ge=1024)
    requests_ahead: int = Field(default=DEFAULT_LIMITS.requests_ahead, ge=1)
    connections: int = Field(default=DEFAULT_LIMITS.connections, ge=1)
    idle_s: float = Field(default=DEFAULT_LIMITS.idle_s, gt=0)
    request_s: float = Field(default=DEFAULT_LIMITS.request_s, gt=0)
    answer_s: float = Field(default=DEFAULT_LIMITS.answer_s, gt=0)
    answer_bytes: int = Field(default=MAX_ANSWER_BYTES, ge=65_536)
    message_bytes: int = Field(
        default=MAX_MESSAGE_BYTES, ge=1024, le=MAX_FRAME_BYTES
    )

    def make_memory(self) -> ClientMemory:
        """Return the memory that all listeners of the process share."""
        return ClientMemory(self.pending_bytes)

    def make_limits(self) -> ClientLimits:
        """Return the limits of the listener for callers."""
        return self._make_limits(self.connections, CALLER_SHARE)

    def make_internal_limits(self) -> ClientLimits:
        """Return the limits of a listener for other processes."""
        connections = max(1, self.connections // INTERNAL_DIVISOR)
        return self._make_limits(connections, INTERNAL_SHARE)

    def _make_limits(self, connections: int, share: float) -> ClientLimits:
        fields = self.model_dump(exclude={"answer_bytes", "message_bytes"})
        fields["connections"] = min(connections, count_descriptors_for(share))
        return ClientLimits(**fields)


class EntrySettings(Model):
    """Settings of ``hickorywing-entry``."""

    name: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    listen: Address
    control: Address
    table: str = Field(pattern=URL)
    entries: tuple[Address, ...] = ()
    bootstrap_operator_sha256: str = ""
    config_poll_s: float = Field(default=0.5, gt=0, le=5)
    request_timeout_s: float = Field(default=30.0, gt=0, le=600)
    max_body_bytes: int = Field(default=4 << 20, gt=0)
    drain_notice_s: float = Field(default=1.0, ge=0, le=60)
    clients: ClientsModel = ClientsModel()
    tls: TlsModel | None = None


class BackendModel(Model):
    """Limits of the backend server beside an agent.

    ``slots`` is the number of requests that it runs at once, and
    ``connections`` the number that are admitted.
    """

    slots: int = Field(default=8, ge=1, le=1024)
    connections: int = Field(default=64, ge=1, le=65536)


class WorkerLinkModel(Model):
    """The id and address of the worker beside an agent."""

    id: str = Field(min_length=1)
    url: str = Field(pattern=URL)


class AgentSettings(Model):
    """Settings of ``hickorywing-agent``."""

    name: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    listen: Address
    control: Address
    table: str = Field(pattern=URL)
    entries: tuple[Address, ...] = Field(min_length=1)
    backend: BackendModel | None = None
    worker: WorkerLinkModel | None = None
    candidate: bool = True
    heartbeat_s: float = Field(default=1.0, gt=0, le=10)
    drain_notice_s: float = Field(default=1.0, ge=0, le=60)
    clients: ClientsModel = ClientsModel()
    tls: TlsModel | None = None


class PoolEntrySettings(Model):
    """Settings of ``hickorywing-pool-entry``; times are in seconds.

    ``lease_limit_s`` is the longest lease that a worker accepts.
    ``key_age_limit_s``, ``zone_age_limit_s`` and ``ready_age_limit_s`` are the
    largest age of the configuration with which a key is accepted, a task is
    started in a zone, and the readiness probe succeeds. A worker saves after
    each ``save_s`` of work and resumes in ``restore_s``; a draining worker
    serves for at least ``drain_s`` more. The status of an ended job is
    available for ``status_kept_s``. The VM gives the entry the share
    ``core_share`` of a core, which is ``core_speed`` times as fast as a usual
    one, and a network link of ``link_mbps``. The entries choose controllers by
    these. ``learn_run_times`` is whether run times are learned from finished
    runs; otherwise the declared ones are expected. Once a unit of a low
    priority has waited for ``overtaking_limit_s``, work of still lower
    priority may be stopped for it; without a limit this is never done.
    With ``share_by_customer``, customers whose work of equal priority waits on
    a full pool take turns, the one with the smallest share first. ``clients``
    limits what clients may send.
    """

    name: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    listen: Address
    ready: Address
    link: Address
    store: Address
    lease_limit_s: float = Field(gt=0)
    key_age_limit_s: float = Field(gt=0)
    zone_age_limit_s: float = Field(gt=0)
    ready_age_limit_s: float = Field(gt=0)
    status_kept_s: float = Field(default=120.0, gt=0)
    save_s: float = Field(default=0.5, gt=0)
    restore_s: float = Field(default=0.25, ge=0)
    drain_s: float = Field(default=0.0, ge=0)
    drain_notice_s: float = Field(default=1.0, ge=0, le=60)
    core_share: float = Field(default=1.0, gt=0)
    core_speed: float = Field(default=1.0, gt=0)
    link_mbps: float = Field(default=1000.0, gt=0)
    learn_run_times: bool = True
    overtaking_limit_s: float = Field(default=float("inf"), ge=0)
    share_by_customer: bool = False
    clients: ClientsModel = ClientsModel()


class PoolAgentSettings(Model):
    """Settings of ``hickorywing-pool-agent``.

    The worker announces itself at ``listen``. Controllers and the collector of
    metrics connect to ``link``.
    """

    name: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    pool: str = Field(min_length=1)
    listen: Address
    link: Address
    worker: Address
    store: Address
    clients: ClientsModel = ClientsModel()


class StandinSettings(Model):
    """Settings of ``hickorywing-standin``.

    ``kind`` says which service it stands in for in tests and demonstrations.
    """

    kind: str = Field(pattern=r"^(table|objects|backend|worker)$")
    listen: Address
    name: str = "standin"
    agent: str = ""
    service: str = "jobs"
    slots: int = 8
    connections: int = 64
    service_s: float = 0.01
    objects: str = ""


def read_settings(path: Path, model: type[ModelT]) -> ModelT:
    """Read and check the settings in a file; raise ``FindingsError``."""
    loaded = load_document(path, model)
    if isinstance(loaded, Failure):
        raise FindingsError(loaded.failure())
    return loaded.unwrap()
