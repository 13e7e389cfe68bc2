"""Keep the room that urgent units wait for, from one plan to the next.

Answers urgent gangs on a full pool: what they stop ends one after another,
and a plan is made at each end. If each plan chose the room anew, it would stop
work a second time and give away what the first stops had freed, while another
urgent gang takes the rest. A claim is therefore made once. It holds until its
unit is placed, and is given up only for a cause that can be named.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import enum

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolpreemption import held_on
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolroom import count_room
from hickorywing.policy.poolsearch import WaitingUnit

__all__ = ["Claim", "ClaimFault", "UnitKey", "find_fault"]

UnitKey = tuple[str, int, int, int]


class ClaimFault(enum.StrEnum):
    """Why a claim is given up before its unit is placed."""

    WORKER_LOST = "a worker can't be used"
    WORKER_AVOIDED = "the job failed on a worker"
    ROOM_TAKEN = "the room is not there"
    END_LATE = "awaited work has not ended"
    YIELDED = "covered work needs the room"
    ROOM_ELSEWHERE = "room came free elsewhere"


@dataclass(frozen=True, slots=True)
class Claim:
    """The room that is kept for one unit, with a worker for each task.

    ``awaited`` names the runs whose end it counts on although nothing stops
    them, until ``awaited_until_s``.
    """

    workers: tuple[str, ...]
    awaited: frozenset[tuple[UnitKey, int]] = frozenset()
    awaited_until_s: float = float("inf")


def find_fault(
    claim: Claim,
    waiting: WaitingUnit,
    rooms: Mapping[str, Resources],
    running: Iterable[RunningUnit],
    now_s: float,
) -> ClaimFault | None:
    """Return why a claim can't be kept, if it can't.

    ``rooms`` is what usable workers have or will have once all stops that
    were asked for have ended.
    """
    workers = set(claim.workers)
    if not workers <= rooms.keys():
        return ClaimFault.WORKER_LOST
    if workers & waiting.avoid:
        return ClaimFault.WORKER_AVOIDED
    left = {worker: rooms[worker] for worker in workers}
    awaits = False
    for item in running:
        if (item.unit.key, item.unit.run) not in claim.awaited:
            continue
        if item.unit.stopping:
            # What is being stopped is in the rooms already.
            continue
        awaits = True
        for worker in workers:
            left[worker] = left[worker] + held_on(item, worker)
    need = count_room(waiting.step)
    for worker in claim.workers:
        if not need.fits_in(left[worker]):
            return ClaimFault.ROOM_TAKEN
        left[worker] = left[worker] - need
    if awaits and now_s > claim.awaited_until_s:
        return ClaimFault.END_LATE
    return None
