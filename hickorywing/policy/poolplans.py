"""Data classes of a plan: the state that it is made from, and what it says."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from hickorywing.policy.poolclaims import Claim
from hickorywing.policy.poolclaims import ClaimFault
from hickorywing.policy.poolclaims import UnitKey
from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import WorkerFacts
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolruns import Unit
from hickorywing.policy.poolsearch import WaitingUnit

__all__ = ["Assignment", "Plan", "PlanInput"]


@dataclass(frozen=True, slots=True)
class Assignment:
    """A unit and the worker for each of its tasks."""

    unit: Unit
    workers: tuple[str, ...]


@dataclass(slots=True)
class Plan:
    """What to start now and what to stop for whom.

    ``claims`` is the room that waiting units keep up to the next plan,
    ``revised`` the units that have lost a claim, and why.
    """

    starts: list[Assignment] = field(default_factory=list)
    stops: list[tuple[Unit, Unit]] = field(default_factory=list)
    claims: dict[UnitKey, Claim] = field(default_factory=dict)
    revised: list[tuple[Unit, ClaimFault]] = field(default_factory=list)


@dataclass(slots=True)
class PlanInput:
    """The state that a plan is made from.

    ``free`` is the room of each usable worker now, ``coming`` what members
    that are being stopped will free there, ``claims`` what the last plan has
    kept. ``suspects`` have failed of late and come after all others;
    ``proven`` have completed something of late. ``slow`` workers take longer
    than others for the same work, ``paces`` tells how many times as long.
    ``kept`` workers are kept for urgent work.
    """

    workers: dict[str, WorkerFacts]
    free: dict[str, Resources]
    coming: dict[str, Resources]
    waiting: list[WaitingUnit]
    running: list[RunningUnit]
    now_s: float
    suspects: frozenset[str] = frozenset()
    proven: frozenset[str] = frozenset()
    claims: Mapping[UnitKey, Claim] = field(default_factory=dict)
    slow: frozenset[str] = frozenset()
    kept: frozenset[str] = frozenset()
    paces: Mapping[str, float] = field(default_factory=dict)
