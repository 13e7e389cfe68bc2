"""Read the rows that the platform's operator writes."""

import msgspec

from hickorywing.policy.poolmodel import Customer
from hickorywing.policy.poolmodel import QueueTerms
from hickorywing.poolconfig import Configuration
from hickorywing.poolconfig import Queue
from hickorywing.poolconfig import RequestLimits
from hickorywing.rows import StoredRow

__all__ = [
    "CONFIG_KEY",
    "OPERATOR_TABLE",
    "decode_configuration",
    "decode_zone_out",
]

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
ZONE_OUT_PREFIX = "evacuate/"


class WireRoute(msgspec.Struct, rename="kebab"):
    """A queue; its ``service`` names the pool whose workers run its tasks."""

    name: str
    host: str
    path_prefix: str
    service: str
    public: bool = False
    priority: int = 1
    attempts: int = 1
    stretch: float = 2.0
    target_latency_ms: float = 1000.0
    timeout_ms: float = 3000.0


class WireGuarantee(msgspec.Struct):
    """What belongs to a tenant at all times."""

    gpu: int | None = None


class WireTenant(msgspec.Struct, rename="kebab"):
    """A customer of the product."""

    name: str
    api_keys: list[str] = []
    guaranteed: WireGuarantee | None = None


class WireLimits(msgspec.Struct, rename="kebab", frozen=True):
    """Bounds on what callers may send."""

    header_bytes: int = 16384
    body_bytes: int = 262144


class WireConfig(msgspec.Struct):
    """The operator's newest configuration in full."""

    version: int
    routes: list[WireRoute] = []
    tenants: list[WireTenant] = []
    limits: WireLimits = WireLimits()


def decode_configuration(value: bytes) -> Configuration | None:
    """Return a configuration, or ``None`` if the row can't be read."""
    try:
        wire = msgspec.json.decode(value, type=WireConfig)
    except msgspec.DecodeError:
        return None
    return Configuration(
        version=wire.version,
        queues=tuple(decode_queue(route) for route in wire.routes),
        customers=tuple(decode_customer(tenant) for tenant in wire.tenants),
        limits=RequestLimits(wire.limits.header_bytes, wire.limits.body_bytes),
    )


def decode_queue(route: WireRoute) -> Queue:
    """Return a queue in the product's form."""
    return Queue(
        host=route.host.lower(),
        prefix=route.path_prefix,
        public=route.public,
        timeout_s=route.timeout_ms / 1000,
        terms=QueueTerms(
            queue=route.name,
            pool=route.service,
            priority=route.priority,
            attempts=max(1, route.attempts),
            stretch=route.stretch,
            latency_target_s=route.target_latency_ms / 1000,
        ),
    )


def decode_customer(tenant: WireTenant) -> Customer:
    """Return a customer in the product's form."""
    guaranteed = tenant.guaranteed.gpu if tenant.guaranteed else None
    return Customer(tenant.name, frozenset(tenant.api_keys), guaranteed)


def decode_zone_out(row: StoredRow) -> str | None:
    """Return the availability zone that a row is about, if it is."""
    if row.key.key.startswith(ZONE_OUT_PREFIX):
        return row.key.key.removeprefix(ZONE_OUT_PREFIX)
    return None
