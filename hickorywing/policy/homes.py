"""Choose the availability zone that is responsible for a job."""

from collections.abc import Iterable
from dataclasses import dataclass

from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import round_up_cell

__all__ = ["ZoneDigest", "choose_home"]


@dataclass(frozen=True, slots=True)
class ZoneDigest:
    """What is known of a zone from its controller's last report."""

    zone: str
    is_in: bool
    free: int = 0
    queued: int = 0
    largest_idle: int = 0
    capacity: int = 1
    guaranteed: frozenset[str] = frozenset()


def choose_home(
    spec: JobSpec, digests: Iterable[ZoneDigest], near: str
) -> str | None:
    """Return the zone to place a job in, or ``None`` when all are out.

    A zone that can start the job at once comes first, then one that holds a
    guarantee of its customer, then the one with the most free accelerators
    for each that waits; the caller's own zone wins ties.
    """
    open_zones = [digest for digest in digests if digest.is_in]
    if not open_zones:
        return None
    return max(open_zones, key=lambda zone: _score(spec, zone, near)).zone


def _score(
    spec: JobSpec, zone: ZoneDigest, near: str
) -> tuple[bool, bool, float, bool]:
    size = round_up_cell(spec.accelerators)
    needed = size * spec.tasks
    fits_now = zone.free >= needed and zone.largest_idle >= size
    fits_now = fits_now and zone.queued == 0
    has_guarantee = spec.customer in zone.guaranteed and size > 0
    pressure = (zone.free - zone.queued - needed) / max(1, zone.capacity)
    return (fits_now, has_guarantee, pressure, zone.zone == near)
