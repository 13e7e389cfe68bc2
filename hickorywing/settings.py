"""The settings of each program, read from JSON with comments."""

from pathlib import Path

from pydantic import Field
from returns.result import Failure

from hickorywing.documents import load_document
from hickorywing.documents import Model
from hickorywing.documents import ModelT
from hickorywing.findings import FindingsError

__all__ = [
    "AgentSettings",
    "BackendModel",
    "EntrySettings",
    "StandinSettings",
    "TlsModel",
    "WorkerLinkModel",
    "read_settings",
]

Address = str
ADDRESS = r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"
URL = r"^https?://(\d{1,3}\.){3}\d{1,3}:\d{1,5}$"


class TlsModel(Model):
    """Keys for the links between the system's processes, as PEM files."""

    ca_file: str
    cert_file: str
    key_file: str
    server_name: str = "hickorywing"


class EntrySettings(Model):
    """Settings of ``hickorywing-entry``."""

    name: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    listen: Address = Field(pattern=ADDRESS)
    control: Address = Field(pattern=ADDRESS)
    table: str = Field(pattern=URL)
    entries: tuple[Address, ...] = ()
    bootstrap_operator_sha256: str = ""
    config_poll_s: float = Field(default=0.5, gt=0, le=5)
    request_timeout_s: float = Field(default=30.0, gt=0, le=600)
    max_body_bytes: int = Field(default=4 << 20, gt=0)
    drain_notice_s: float = Field(default=1.0, ge=0, le=60)
    tls: TlsModel | None = None


class BackendModel(Model):
    """Limits of the backend server beside an agent."""

    slots: int = Field(default=8, ge=1, le=1024)
    connections: int = Field(default=64, ge=1, le=65536)


class WorkerLinkModel(Model):
    """The worker beside an agent."""

    id: str = Field(min_length=1)
    url: str = Field(pattern=URL)


class AgentSettings(Model):
    """Settings of ``hickorywing-agent``."""

    name: str = Field(min_length=1)
    zone: str = Field(min_length=1)
    listen: Address = Field(pattern=ADDRESS)
    control: Address = Field(pattern=ADDRESS)
    table: str = Field(pattern=URL)
    entries: tuple[Address, ...] = Field(min_length=1)
    backend: BackendModel | None = None
    worker: WorkerLinkModel | None = None
    candidate: bool = True
    heartbeat_s: float = Field(default=1.0, gt=0, le=10)
    drain_notice_s: float = Field(default=1.0, ge=0, le=60)
    tls: TlsModel | None = None


class StandinSettings(Model):
    """Settings of ``hickorywing-standin``."""

    kind: str = Field(pattern=r"^(table|objects|backend|worker)$")
    listen: Address = Field(pattern=ADDRESS)
    name: str = "standin"
    agent: str = ""
    service: str = "jobs"
    slots: int = 8
    connections: int = 64
    service_s: float = 0.01
    objects: str = ""


def read_settings(path: Path, model: type[ModelT]) -> ModelT:
    """Return the settings in a file; raise ``FindingsError``."""
    loaded = load_document(path, model)
    if isinstance(loaded, Failure):
        raise FindingsError(loaded.failure())
    return loaded.unwrap()
