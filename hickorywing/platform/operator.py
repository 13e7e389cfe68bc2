"""Decode the rows that the platform's operator writes.

In the ``config`` row, a route becomes a ``Queue``, a tenant a ``Customer`` and
limits ``RequestLimits``; times in milliseconds become seconds. A row
``evacuate/ZONE`` exists while that availability zone is out of service.
"""

import msgspec

from hickorywing.decoding import Count
from hickorywing.decoding import decode_json
from hickorywing.decoding import DecodingError
from hickorywing.decoding import Number
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
    "decode_zone",
]

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
ZONE_OUT_PREFIX = "evacuate/"


class WireRoute(msgspec.Struct, rename="kebab"):
    """A queue; ``service`` is the pool whose workers run its tasks."""

    name: str
    host: str
    path_prefix: str
    service: str
    public: bool = False
    priority: Count = 1
    attempts: Count = 1
    stretch: Number = 2.0
    target_latency_ms: Number = 1000.0
    timeout_ms: Number = 3000.0


class WireGuarantee(msgspec.Struct):
    """The guarantee of a tenant; ``gpu`` counts accelerators."""

    gpu: Count | None = None


class WireTenant(msgspec.Struct, rename="kebab"):
    """A customer, with its API keys and its guarantee."""

    name: str
    api_keys: list[str] = []
    guaranteed: WireGuarantee | None = None


class WireLimits(msgspec.Struct, rename="kebab", frozen=True):
    """Maximum sizes of a request's headers and body, in bytes."""

    header_bytes: Count = 16384
    body_bytes: Count = 262144


class WireConfig(msgspec.Struct):
    """A complete version of the configuration."""

    version: Count
    routes: list[WireRoute] = []
    tenants: list[WireTenant] = []
    limits: WireLimits = WireLimits()


def decode_configuration(value: bytes) -> Configuration | None:
    """Decode a ``config`` row; return ``None`` if it is unreadable."""
    try:
        wire = decode_json(value, WireConfig)
    except DecodingError:
        return None
    return Configuration(
        version=wire.version,
        queues=tuple(decode_queue(route) for route in wire.routes),
        customers=tuple(decode_customer(tenant) for tenant in wire.tenants),
        limits=RequestLimits(wire.limits.header_bytes, wire.limits.body_bytes),
    )


def decode_queue(route: WireRoute) -> Queue:
    """Convert a route to a ``Queue``."""
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
    """Convert a tenant to a ``Customer``."""
    guaranteed = tenant.guaranteed.gpu if tenant.guaranteed else None
    return Customer(tenant.name, frozenset(tenant.api_keys), guaranteed)


def decode_zone(row: StoredRow) -> str | None:
    """Return the zone of an ``evacuate/`` row, ``None`` for other rows.

    Whether the zone is out of service depends on the row's value: a deleted
    row means that it is back in service.
    """
    if row.key.key.startswith(ZONE_OUT_PREFIX):
        return row.key.key.removeprefix(ZONE_OUT_PREFIX)
    return None
