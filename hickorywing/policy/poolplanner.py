"""Decide which waiting units start where, and what has to give way.

Answers the load at which workers are full: urgent units first take free
room, then room that is being freed, and at last stop the running work that
loses least. Room that an urgent unit waits for is claimed for it, and is not
given to others in this plan or a later one.
Best fit keeps whole workers free for tasks that ask for many accelerators.
"""

from collections import Counter
from collections.abc import Iterable

from hickorywing.policy.keptroom import fits_beside
from hickorywing.policy.poolclaims import Claim
from hickorywing.policy.poolclaims import ClaimFault
from hickorywing.policy.poolclaims import find_fault
from hickorywing.policy.poolclaims import UnitKey
from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolplans import Assignment
from hickorywing.policy.poolplans import Plan
from hickorywing.policy.poolplans import PlanInput
from hickorywing.policy.poolpreemption import choose_victims
from hickorywing.policy.poolpreemption import count_spread
from hickorywing.policy.poolpreemption import held_on
from hickorywing.policy.poolpreemption import index_victims
from hickorywing.policy.poolpreemption import release
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolpreemption import Sacrifice
from hickorywing.policy.poolreservation import index_releases
from hickorywing.policy.poolreservation import Reservation
from hickorywing.policy.poolreservation import ReservationBudget
from hickorywing.policy.poolreservation import reserve_workers
from hickorywing.policy.poolroom import count_room
from hickorywing.policy.poolruns import Unit
from hickorywing.policy.poolsearch import DATA_WAIT_S
from hickorywing.policy.poolsearch import find_allowed
from hickorywing.policy.poolsearch import find_holding_racks
from hickorywing.policy.poolsearch import group_workers
from hickorywing.policy.poolsearch import place_unit
from hickorywing.policy.poolsearch import URGENT
from hickorywing.policy.poolsearch import WaitingUnit

__all__ = ["Planner"]

# An urgent unit waits this long for running work that is about to end, before
# it stops any. A stop takes up to 0.4 s itself.
END_WAIT_S = 0.5
# A wait for stops; the longest ones take 0.9 s.
STOP_WAIT_S = 0.7
# From the end of a job's work until its caller has been told.
ANSWER_S = 0.3


class Planner:
    """Makes one plan."""

    def __init__(self, state: PlanInput) -> None:
        self._state = state
        self._free = dict(state.free)
        self._soon = {
            worker: room + state.coming.get(worker, Resources())
            for worker, room in state.free.items()
        }
        # Whether more may be free soon than now.
        self._is_freeing = bool(state.coming)
        self._stopped: set[tuple] = set()
        self._claimants: dict[UnitKey, WaitingUnit] = {}
        # Runs that claims count on; each is counted on by one of them.
        self._awaited: set[UnitKey] = {
            key for claim in state.claims.values() for key, _ in claim.awaited
        }
        self._plan = Plan()
        self._budget = ReservationBudget(state.workers, state.free)
        self._holding_racks: dict[Step, frozenset[str]] = {}
        self._kept_from: dict[Step, frozenset[str]] = {}
        # Tasks of a step ask for the same, and room only shrinks in a plan.
        self._unplaceable: set[tuple] = set()
        self._releases = index_releases(state.running)
        self._victims = index_victims(state.running)
        self._spread = count_spread(state.running)

    def make_plan(self) -> Plan:
        """Return what to start and to stop."""
        ordered = sorted(
            self._state.waiting, key=lambda item: (item.priority, item.order)
        )
        for waiting in ordered:
            self._keep_claim(waiting)
        for waiting in ordered:
            self._serve(waiting)
        return self._plan

    def _keep_claim(self, waiting: WaitingUnit) -> None:
        """Keep the room that a unit has claimed in an earlier plan."""
        unit = waiting.unit
        claim = self._state.claims.get(unit.key)
        if claim is None:
            return
        fault = find_fault(
            claim,
            waiting,
            self._soon,
            self._state.running,
            self._state.now_s,
        )
        if fault is not None:
            self._plan.revised.append((unit, fault))
            return
        self._claim(waiting, claim)

    def _claim(self, waiting: WaitingUnit, claim: Claim) -> None:
        """Keep room for a unit up to the next plan."""
        self._plan.claims[waiting.unit.key] = claim
        self._claimants[waiting.unit.key] = waiting
        self._take(self._free, waiting.step, claim.workers)
        self._take(self._soon, waiting.step, claim.workers)
        self._is_freeing = True

    def _give_back(self, waiting: WaitingUnit) -> Claim:
        """Return the room of a unit's claim to all, and the claim."""
        del self._claimants[waiting.unit.key]
        claim = self._plan.claims.pop(waiting.unit.key)
        need = count_room(waiting.step)
        for worker in claim.workers:
            self._free[worker] = self._free[worker] + need
            self._soon[worker] = self._soon[worker] + need
        return claim

    def _serve_claimant(self, waiting: WaitingUnit) -> None:
        """Start a unit with a claim if that is possible now.

        Room elsewhere ends the wait only if the unit needn't be spread over
        several racks there, as that costs more than the rest of the wait.
        """
        claim = self._give_back(waiting)
        if self._has_room(waiting.step, claim.workers):
            self._start(waiting, claim.workers)
            return
        workers = self._place(waiting, self._free, may_spread=False)
        if workers is None or self._is_late_on(waiting, workers):
            self._claim(waiting, claim)
            return
        self._plan.revised.append((waiting.unit, ClaimFault.ROOM_ELSEWHERE))
        self._start(waiting, workers)

    def _has_room(self, step: Step, workers: Iterable[str]) -> bool:
        """Tell whether tasks of a step fit on these workers now."""
        need = count_room(step)
        return all(
            Resources(
                need.cores_milli * count,
                need.memory_mb * count,
                need.accelerators * count,
            ).fits_in(self._free[worker])
            for worker, count in Counter(workers).items()
        )

    def _start(self, waiting: WaitingUnit, workers: tuple[str, ...]) -> None:
        self._take(self._free, waiting.step, workers)
        self._take(self._soon, waiting.step, workers)
        self._plan.starts.append(Assignment(waiting.unit, workers))
        self._spread.setdefault(waiting.unit.step_key, Counter()).update(
            workers
        )

    def _yield_claims(self, priority: int) -> bool:
        """Give back what less urgent units have claimed; tell if any had."""
        yielding = [
            waiting
            for waiting in self._claimants.values()
            if waiting.priority > priority
        ]
        for waiting in yielding:
            self._give_back(waiting)
            self._plan.revised.append((waiting.unit, ClaimFault.YIELDED))
        return bool(yielding)

    def _serve(self, waiting: WaitingUnit) -> None:
        unit = waiting.unit
        if unit.key in self._claimants:
            self._serve_claimant(waiting)
            return
        patient = self._state.now_s - unit.waiting_since_s < DATA_WAIT_S
        kind = (unit.step_key, unit.failures > 0, patient)
        if kind in self._unplaceable:
            return
        if not self._find_room(waiting):
            self._unplaceable.add(kind)

    def _find_room(self, waiting: WaitingUnit) -> bool:
        """Start a unit or keep room for it; tell whether there was any."""
        workers = self._place(waiting, self._free)
        if workers is not None:
            claim = self._find_sooner(waiting, workers)
            if claim is None:
                self._start(waiting, workers)
            else:
                self._claim(waiting, claim)
            return True
        if waiting.priority > URGENT:
            workers = self._reserve(waiting)
            if workers is not None:
                self._take(self._free, waiting.step, workers)
                self._take(self._soon, waiting.step, workers)
            return workers is not None
        claim = self._find_claim(waiting)
        if claim is None and self._yield_claims(waiting.priority):
            claim = self._find_claim(waiting)
        if claim is not None:
            self._claim(waiting, claim)
        return claim is not None

    def _is_late_on(
        self, waiting: WaitingUnit, workers: Iterable[str]
    ) -> bool:
        """Tell whether a unit would end too late if it started there now."""
        pace = max(self._state.paces.get(worker, 1.0) for worker in workers)
        return waiting.step.estimate_s * pace + ANSWER_S > waiting.left_s

    def _find_sooner(
        self, waiting: WaitingUnit, workers: Iterable[str]
    ) -> Claim | None:
        """Return what to wait for rather than start on slow workers now.

        That is only worth what it stops if the unit is late on the slow
        workers and in time on others.
        """
        if waiting.priority > URGENT or not self._is_late_on(waiting, workers):
            return None
        ready_s = STOP_WAIT_S + waiting.step.estimate_s + ANSWER_S
        if ready_s > waiting.left_s:
            return None
        skipped = self._list_skipped(waiting)[0]
        return self._find_claim_without(waiting, skipped, URGENT)

    def _find_claim(self, waiting: WaitingUnit) -> Claim | None:
        """Return what to keep for an urgent unit that can't start now.

        A run on a worker that fails it costs an attempt and a further claim,
        so doubtful workers come in only where the others don't suffice. Other
        urgent work gives way only where no workers do.
        """
        skips = [*self._list_skipped(waiting), self._shunned(waiting)]
        bounds = {waiting.priority, max(waiting.priority, URGENT)}
        for bound in sorted(bounds, reverse=True):
            for skipped in dict.fromkeys(skips):
                claim = self._find_claim_without(waiting, skipped, bound)
                if claim is not None:
                    return claim
        return None

    def _find_claim_without(
        self, waiting: WaitingUnit, skipped: frozenset[str], bound: int
    ) -> Claim | None:
        """Return what to keep if some workers are left out.

        Only work that is less urgent than the bound gives way.
        """
        if self._is_freeing:
            workers = self._place_without(waiting, self._soon, skipped)
            if workers is not None:
                return Claim(workers)
        claim = self._await_ends(waiting, skipped)
        if claim is not None:
            return claim
        workers = self._preempt(waiting, skipped, bound)
        return None if workers is None else Claim(workers)

    def _take(
        self,
        rooms: dict[str, Resources],
        step: Step,
        workers: Iterable[str],
    ) -> None:
        for worker in workers:
            rooms[worker] = rooms[worker] - count_room(step)

    def _place(
        self,
        waiting: WaitingUnit,
        rooms: dict[str, Resources],
        may_spread: bool = True,
    ) -> tuple[str, ...] | None:
        for skipped in self._list_skipped(waiting):
            workers = self._place_without(waiting, rooms, skipped, may_spread)
            if workers is not None:
                return workers
        return None

    def _place_without(
        self,
        waiting: WaitingUnit,
        rooms: dict[str, Resources],
        skipped: frozenset[str],
        may_spread: bool = True,
    ) -> tuple[str, ...] | None:
        """Return where a unit fits if some workers are left out.

        One that has waited for a rack may be spread over several.
        """
        state = self._state
        waited_s = state.now_s - waiting.unit.waiting_since_s
        need = count_room(waiting.step)
        roomy = {
            worker: room
            for worker, room in rooms.items()
            if need.fits_in(room) and worker not in skipped
        }
        if not roomy:
            return None
        return place_unit(
            waiting,
            roomy,
            state.workers,
            self._present(waiting),
            self._find_holding_racks(waiting.step),
            may_spread and waited_s >= DATA_WAIT_S,
        )

    def _list_skipped(self, waiting: WaitingUnit) -> list[frozenset[str]]:
        """Return which workers to leave out, in the order of the tries."""
        state = self._state
        shunned = self._shunned(waiting)
        tries = [shunned | state.suspects, shunned]
        if waiting.unit.failures and state.workers.keys() - tries[0]:
            # A unit with few attempts left waits for a good worker.
            unproven = state.workers.keys() - state.proven
            tries = [tries[0] | unproven, tries[0]]
        if waiting.priority <= URGENT:
            # A gang runs at the pace of its slowest member.
            tries = [tries[0] | state.slow, *tries]
        return list(dict.fromkeys(tries))

    def _reserve(self, waiting: WaitingUnit) -> tuple[str, ...] | None:
        """Return the workers to keep for a large unit that has waited."""
        step, count = waiting.step, waiting.unit.count
        waited_s = self._state.now_s - waiting.unit.waiting_since_s
        size = count * step.resources.accelerators
        if not self._budget.allows(size, waited_s):
            return None
        best: Reservation | None = None
        for group in self._groups_for(waiting, self._shunned(waiting)):
            found = reserve_workers(
                step,
                count,
                group,
                self._soon,
                self._present(waiting),
                self._releases,
            )
            if found is not None and (
                best is None or found.after_s < best.after_s
            ):
                best = found
        if best is None:
            return None
        self._budget.take(size)
        return best.workers

    def _find_holding_racks(self, step: Step) -> frozenset[str]:
        """Return the racks that could hold a unit of the step alone."""
        if step not in self._holding_racks:
            self._holding_racks[step] = find_holding_racks(
                step, self._state.workers
            )
        return self._holding_racks[step]

    def _present(self, waiting: WaitingUnit) -> Counter:
        """Count the tasks of the unit's step on each worker."""
        return self._spread.get(waiting.unit.step_key, Counter())

    def _shunned(self, waiting: WaitingUnit) -> frozenset[str]:
        """Return the workers that a unit must not be given to.

        If its job has failed on all of them, none is left out for that.
        """
        kept = self._find_kept_from(waiting)
        if waiting.avoid >= self._state.workers.keys() - kept:
            return kept
        return waiting.avoid | kept

    def _find_kept_from(self, waiting: WaitingUnit) -> frozenset[str]:
        """Return the workers that are kept for more urgent work."""
        step, state = waiting.step, self._state
        if waiting.priority <= URGENT or not self._budget.is_busy:
            return frozenset()
        if step not in self._kept_from:
            beside = fits_beside(step, state.workers, state.kept)
            self._kept_from[step] = state.kept if beside else frozenset()
        return self._kept_from[step]

    def _await_ends(
        self, waiting: WaitingUnit, skipped: frozenset[str]
    ) -> Claim | None:
        """Return where the unit fits once work that is about to end has."""
        waited_s = self._state.now_s - waiting.unit.waiting_since_s
        left_s = END_WAIT_S - waited_s
        ending = [
            item
            for item in self._state.running
            if item.left_s <= left_s
            and not item.unit.stopping
            and item.unit.key not in self._awaited
        ]
        if not ending:
            return None
        rooms = dict(self._soon)
        for item in ending:
            release(rooms, item)
        workers = self._place_without(waiting, rooms, skipped)
        if workers is None:
            return None
        awaited = {
            item.unit.key: item.unit.run
            for item in ending
            if any(held_on(item, worker) != Resources() for worker in workers)
        }
        self._awaited |= awaited.keys()
        until_s = waiting.unit.waiting_since_s + END_WAIT_S
        return Claim(workers, frozenset(awaited.items()), until_s)

    def _preempt(
        self, waiting: WaitingUnit, skipped: frozenset[str], bound: int
    ) -> tuple[str, ...] | None:
        """Stop the work that loses least; return where the unit then fits."""
        best = self._find_sacrifice(waiting, skipped, bound)
        if best is None:
            return None
        for item in best.victims:
            self._stop(item, waiting.unit)
        return tuple(best.workers)

    def _find_sacrifice(
        self, waiting: WaitingUnit, skipped: frozenset[str], bound: int
    ) -> Sacrifice | None:
        """Return the least loss among work that is less urgent than a bound.

        Other racks come in where none can be freed, after a while.
        """
        victims = {
            worker: [
                item
                for item in items
                if item.priority > bound and item.unit.key not in self._stopped
            ]
            for worker, items in self._victims.items()
        }
        best: Sacrifice | None = None
        for group in self._groups_for(waiting, skipped):
            found = self._choose_victims(waiting, group, victims)
            if found is not None and (best is None or found.cost < best.cost):
                best = found
        waited_s = self._state.now_s - waiting.unit.waiting_since_s
        if best is None and waited_s >= DATA_WAIT_S:
            allowed = self._list_allowed(waiting, skipped)
            best = self._choose_victims(waiting, allowed, victims)
        return best

    def _choose_victims(
        self,
        waiting: WaitingUnit,
        group: list[str],
        victims: dict[str, list[RunningUnit]],
    ) -> Sacrifice | None:
        return choose_victims(
            waiting.step,
            waiting.unit.count,
            group,
            self._soon,
            self._present(waiting),
            victims,
        )

    def _groups_for(
        self, waiting: WaitingUnit, skipped: frozenset[str]
    ) -> list[list[str]]:
        """Return the groups of workers among which room may be freed.

        Work away from its data or over several racks takes several times as
        long, so other workers come in only where no rack could hold the unit.
        """
        allowed = self._list_allowed(waiting, skipped)
        racks = self._find_holding_racks(waiting.step)
        groups = group_workers(
            waiting.step, allowed, self._state.workers, racks
        )
        return groups or [allowed]

    def _list_allowed(
        self, waiting: WaitingUnit, skipped: frozenset[str]
    ) -> list[str]:
        """Return the workers that the unit may be given to."""
        return [
            worker
            for worker in find_allowed(
                waiting.step, self._soon, self._state.workers
            )
            if worker not in skipped
        ]

    def _stop(self, victim: RunningUnit, unit: Unit) -> None:
        self._stopped.add(victim.unit.key)
        self._is_freeing = True
        release(self._soon, victim)
        self._plan.stops.append((victim.unit, unit))
