"""Keep the room that urgent units wait for, from one plan to the next.

On a full pool, the work that an urgent gang preempts ends run by run, and each
end triggers a new plan. If each plan chose the room again, it would preempt
more work and leave the room already freed to another urgent gang. A claim is
therefore made once. It is valid until its unit is placed, and is dropped
earlier only for one of the reasons in ``ClaimLossReason``.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import enum

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolpreemption import measure_held_room
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolroom import get_task_room
from hickorywing.policy.poolsearch import WaitingUnit

__all__ = ["Claim", "ClaimLossReason", "UnitKey", "find_loss_reason"]

UnitKey = tuple[str, int, int, int]


class ClaimLossReason(enum.StrEnum):
    """Why a claim is dropped before its unit starts on it."""

    WORKER_LOST = "a worker can't be used"
    WORKER_AVOIDED = "the job failed on a worker"
    ROOM_TAKEN = "the room is not there"
    END_LATE = "awaited work has not ended"
    REVOKED = "more urgent work needs the room"
    ROOM_ELSEWHERE = "room came free elsewhere"


@dataclass(frozen=True, slots=True)
class Claim:
    """Room kept for one unit: a worker for each of its tasks.

    ``awaited`` holds the unit key and run number of runs that are expected to
    end by themselves and free part of the room. If one is still running after
    ``awaited_until_s``, the claim is dropped.
    """

    workers: tuple[str, ...]
    awaited: frozenset[tuple[UnitKey, int]] = frozenset()
    awaited_until_s: float = float("inf")


def find_loss_reason(
    claim: Claim,
    waiting: WaitingUnit,
    rooms: Mapping[str, Resources],
    running: Iterable[RunningUnit],
    now_s: float,
) -> ClaimLossReason | None:
    """Return why a claim is no longer valid, or ``None`` if it is.

    ``rooms`` is the free room of each usable worker once all stops that were
    ordered have completed.
    """
    workers = set(claim.workers)
    if not workers <= rooms.keys():
        return ClaimLossReason.WORKER_LOST
    if workers & waiting.avoided_workers:
        return ClaimLossReason.WORKER_AVOIDED
    left = {worker: rooms[worker] for worker in workers}
    is_waiting = False
    for item in running:
        if (item.unit.key, item.unit.run) not in claim.awaited:
            continue
        if item.unit.stopping:
            # ``rooms`` includes the room of runs being stopped.
            continue
        is_waiting = True
        for worker in workers:
            left[worker] = left[worker] + measure_held_room(item, worker)
    need = get_task_room(waiting.step)
    for worker in claim.workers:
        if not need.fits_in(left[worker]):
            return ClaimLossReason.ROOM_TAKEN
        left[worker] = left[worker] - need
    if is_waiting and now_s > claim.awaited_until_s:
        return ClaimLossReason.END_LATE
    return None
