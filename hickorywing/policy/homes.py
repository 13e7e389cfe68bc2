"""Choose the availability zone that is responsible for a job."""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace

from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import round_up_cell

__all__ = ["Move", "WaitingJob", "ZoneDigest", "choose_home", "plan_moves"]

MOVE_AFTER_S = 6.0
MOVES_PER_STEP = 4
MOVES_PER_STEP_OUT = 40


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


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job that waits in a zone, for ``waited_s`` seconds."""

    spec: JobSpec
    waited_s: float


@dataclass(frozen=True, slots=True)
class Move:
    """Hand a waiting job to another zone."""

    job_id: str
    zone: str


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
    has_guarantee = spec.customer in zone.guaranteed and size > 0
    pressure = (zone.free - zone.queued - needed) / max(1, zone.capacity)
    return (
        _has_room(spec, zone),
        has_guarantee,
        pressure,
        zone.zone == near,
    )


def _has_room(spec: JobSpec, zone: ZoneDigest) -> bool:
    """Tell whether the zone's idle cells seem to hold the job."""
    size = round_up_cell(spec.accelerators)
    if size == 0:
        return zone.queued == 0
    return zone.free >= size * spec.tasks and zone.largest_idle >= size


def plan_moves(
    zone: str,
    waiting: Iterable[WaitingJob],
    digests: Sequence[ZoneDigest],
) -> list[Move]:
    """Return the waiting jobs to hand to other zones in this step.

    A zone in service hands over only what another zone can start at once; a
    zone that is out hands over everything, a bounded number at a time, so
    that no other zone is flooded and a returning zone fills step by step.
    """
    known = {digest.zone: digest for digest in digests}
    own = known.get(zone)
    is_in = own is None or own.is_in
    limit = MOVES_PER_STEP if is_in else MOVES_PER_STEP_OUT
    moves: list[Move] = []
    for job in waiting:
        if len(moves) >= limit:
            break
        if is_in and job.waited_s < MOVE_AFTER_S:
            continue
        target = _find_target(zone, job.spec, is_in, known)
        if target is None:
            continue
        moves.append(Move(job.spec.job_id, target))
        known[target] = _take_room(known[target], job.spec)
    return moves


def _find_target(
    zone: str, spec: JobSpec, is_in: bool, known: dict[str, ZoneDigest]
) -> str | None:
    others = [
        digest
        for digest in known.values()
        if digest.zone != zone and (not is_in or _has_room(spec, digest))
    ]
    return choose_home(spec, others, zone)


def _take_room(digest: ZoneDigest, spec: JobSpec) -> ZoneDigest:
    needed = round_up_cell(spec.accelerators) * spec.tasks
    return replace(
        digest,
        free=max(0, digest.free - needed),
        queued=digest.queued + 1,
    )
