"""Data classes for the input and the result of a plan."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from hickorywing.policy.jobfaults import JobFault
from hickorywing.policy.poolclaims import Claim
from hickorywing.policy.poolclaims import ClaimLossReason
from hickorywing.policy.poolclaims import UnitKey
from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import WorkerFacts
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolruns import Unit
from hickorywing.policy.poolsearch import WaitingUnit

__all__ = ["Assignment", "Plan", "PlanInput", "SpeedMove"]


@dataclass(frozen=True, slots=True)
class Assignment:
    """A unit and the worker for each of its tasks."""

    unit: Unit
    workers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SpeedMove:
    """A running unit to stop, and the faster workers with room for it.

    ``gain_s`` is by how many seconds earlier it is expected to end.
    """

    unit: Unit
    workers: tuple[str, ...]
    gain_s: float


@dataclass(slots=True)
class Plan:
    """The units to start and to stop, and the claims of waiting units.

    ``stops`` pairs each unit to stop with the unit that it is stopped for.
    ``claims`` is valid until the next plan; ``dropped_claims`` holds the units
    whose claim was dropped, with the reason. ``moves`` are units to stop for
    faster workers. ``faults`` names the jobs that were left out because
    planning them raised an error. ``reserved_since`` is when the units
    that reserve room did so first.
    """

    starts: list[Assignment] = field(default_factory=list)
    stops: list[tuple[Unit, Unit]] = field(default_factory=list)
    claims: dict[UnitKey, Claim] = field(default_factory=dict)
    dropped_claims: list[tuple[Unit, ClaimLossReason]] = field(
        default_factory=list
    )
    moves: list[SpeedMove] = field(default_factory=list)
    faults: list[JobFault] = field(default_factory=list)
    reserved_since: dict[UnitKey, float] = field(default_factory=dict)


@dataclass(slots=True)
class PlanInput:
    """The state that a plan is made from.

    ``free`` is the room of each usable worker now, ``releasing`` the room that
    members being stopped will free there, and ``claims`` the claims of the
    last plan. ``suspects`` are workers with recent failures, used only after
    all others. Those in ``unsound`` get no work but tasks that last and have
    no room elsewhere; ``recently_successful`` are workers that completed a
    task recently. ``slow`` workers need more time than others for the same
    work; ``slowdowns`` is the factor of each worker that isn't of usual speed,
    and that of ``unmeasured`` workers isn't known. ``headroom_workers`` are
    kept free for urgent work. ``exposed`` workers are likely to be taken away
    at short notice. ``reserved_since`` is when units reserved room first.
    Units that wait for longer than ``overtaking_limit_s`` may displace less
    urgent work. Times are in seconds.
    """

    workers: dict[str, WorkerFacts]
    free: dict[str, Resources]
    releasing: dict[str, Resources]
    waiting: list[WaitingUnit]
    running: list[RunningUnit]
    now_s: float
    suspects: frozenset[str] = frozenset()
    recently_successful: frozenset[str] = frozenset()
    claims: Mapping[UnitKey, Claim] = field(default_factory=dict)
    slow: frozenset[str] = frozenset()
    headroom_workers: frozenset[str] = frozenset()
    slowdowns: Mapping[str, float] = field(default_factory=dict)
    unsound: frozenset[str] = frozenset()
    exposed: frozenset[str] = frozenset()
    reserved_since: Mapping[UnitKey, float] = field(default_factory=dict)
    overtaking_limit_s: float = float("inf")
    unmeasured: frozenset[str] = frozenset()
