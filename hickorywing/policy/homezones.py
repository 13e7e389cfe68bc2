"""Choose the availability zone whose controller schedules a job.

That zone is the job's home. A waiting job can be moved to another home.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace

from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import round_up_cell

__all__ = ["Move", "WaitingJob", "ZoneSummary", "choose_home", "plan_moves"]

# A job waits this long in a zone in service before it may be moved.
MOVE_AFTER_S = 6.0
# Jobs moved in one step, from a zone in service and from one that is out.
MAX_MOVES_PER_STEP = 4
MAX_MOVES_PER_STEP_OUT = 40


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """The state of a zone by its controller's last report.

    ``is_in`` is whether the zone is in service. ``free`` counts idle
    accelerators and ``queued`` waiting jobs; ``largest_idle`` is the size of
    the largest idle cell, ``capacity`` the number of all accelerators.
    ``guaranteed`` names the customers with a guarantee there.
    """

    zone: str
    is_in: bool
    free: int = 0
    queued: int = 0
    largest_idle: int = 0
    capacity: int = 1
    guaranteed: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job that has waited in a zone for ``waited_s`` seconds."""

    spec: JobSpec
    waited_s: float


@dataclass(frozen=True, slots=True)
class Move:
    """The move of a waiting job to another zone."""

    job_id: str
    zone: str


def choose_home(
    spec: JobSpec, summaries: Iterable[ZoneSummary], own_zone: str
) -> str | None:
    """Return the zone to place a job in, or ``None`` if all are out.

    Zones are compared by these criteria, in order: the zone can probably start
    the job at once; it holds a guarantee of the job's customer, if the job
    needs accelerators; the share of its accelerators that would stay idle, if
    each waiting job took one; it is ``own_zone``, that of the caller.
    """
    open_zones = [summary for summary in summaries if summary.is_in]
    if not open_zones:
        return None
    return max(
        open_zones, key=lambda zone: _score_zone(spec, zone, own_zone)
    ).zone


def _score_zone(
    spec: JobSpec, zone: ZoneSummary, own_zone: str
) -> tuple[bool, bool, float, bool]:
    size = round_up_cell(spec.accelerators)
    needed = size * spec.tasks
    has_guarantee = spec.customer in zone.guaranteed and size > 0
    spare_share = (zone.free - zone.queued - needed) / max(1, zone.capacity)
    return (
        _has_idle_capacity(spec, zone),
        has_guarantee,
        spare_share,
        zone.zone == own_zone,
    )


def _has_idle_capacity(spec: JobSpec, zone: ZoneSummary) -> bool:
    """Return whether the zone can probably start the job at once.

    This is an estimate from the totals of the last report.
    """
    size = round_up_cell(spec.accelerators)
    if size == 0:
        return zone.queued == 0
    return zone.free >= size * spec.tasks and zone.largest_idle >= size


def plan_moves(
    zone: str,
    waiting: Iterable[WaitingJob],
    summaries: Sequence[ZoneSummary],
) -> list[Move]:
    """Return the waiting jobs of a zone to move to other zones now.

    A zone in service moves only jobs that another zone can probably start at
    once. A zone that is out moves all jobs. The moves of one step are limited,
    so that no zone is overloaded and one that returns to service fills
    gradually.
    """
    by_zone = {summary.zone: summary for summary in summaries}
    own_summary = by_zone.get(zone)
    is_in = own_summary is None or own_summary.is_in
    limit = MAX_MOVES_PER_STEP if is_in else MAX_MOVES_PER_STEP_OUT
    moves: list[Move] = []
    for job in waiting:
        if len(moves) >= limit:
            break
        if is_in and job.waited_s < MOVE_AFTER_S:
            continue
        target = _find_target(zone, job.spec, is_in, by_zone)
        if target is None:
            continue
        moves.append(Move(job.spec.job_id, target))
        by_zone[target] = _reserve(by_zone[target], job.spec)
    return moves


def _find_target(
    zone: str, spec: JobSpec, is_in: bool, by_zone: dict[str, ZoneSummary]
) -> str | None:
    others = [
        summary
        for summary in by_zone.values()
        if summary.zone != zone
        and (not is_in or _has_idle_capacity(spec, summary))
    ]
    return choose_home(spec, others, zone)


def _reserve(summary: ZoneSummary, spec: JobSpec) -> ZoneSummary:
    """Return the summary as it will be once the job has moved there."""
    needed = round_up_cell(spec.accelerators) * spec.tasks
    return replace(
        summary,
        free=max(0, summary.free - needed),
        queued=summary.queued + 1,
    )
