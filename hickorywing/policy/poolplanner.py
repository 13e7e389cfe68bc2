"""Decide which waiting units start where, and which running work to preempt.

On full workers, an urgent unit first takes free room, then room that is
already being freed, and as a last resort preempts the running work that loses
least by it. Room that an urgent unit waits for is claimed for it: neither
this plan nor a later one gives it to another unit. Placement is best fit,
which keeps whole workers free for tasks that need many accelerators.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from functools import partial

from hickorywing.policy.exclusions import Exclusions
from hickorywing.policy.isolation import get_caution
from hickorywing.policy.jobfaults import compute_without_faulty
from hickorywing.policy.jobfaults import JobFault
from hickorywing.policy.overtaking import is_overtaken
from hickorywing.policy.overtaking import is_worth_displacing
from hickorywing.policy.overtaking import may_displace
from hickorywing.policy.planrooms import PlanRooms
from hickorywing.policy.poolclaims import Claim
from hickorywing.policy.poolclaims import ClaimLossReason
from hickorywing.policy.poolclaims import find_loss_reason
from hickorywing.policy.poolclaims import UnitKey
from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolorder import is_due_lasting
from hickorywing.policy.poolorder import order_units
from hickorywing.policy.poolplans import Assignment
from hickorywing.policy.poolplans import Plan
from hickorywing.policy.poolplans import PlanInput
from hickorywing.policy.poolpreemption import add_released_room
from hickorywing.policy.poolpreemption import choose_victims
from hickorywing.policy.poolpreemption import index_victims
from hickorywing.policy.poolpreemption import measure_held_room
from hickorywing.policy.poolpreemption import Preemption
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolreservation import has_ended
from hickorywing.policy.poolreservation import index_releases
from hickorywing.policy.poolreservation import Reservation
from hickorywing.policy.poolreservation import ReservationBudget
from hickorywing.policy.poolreservation import reserve_workers
from hickorywing.policy.poolroom import get_task_room
from hickorywing.policy.poolruns import Unit
from hickorywing.policy.poolsearch import find_allowed
from hickorywing.policy.poolsearch import find_sufficient_racks
from hickorywing.policy.poolsearch import group_workers
from hickorywing.policy.poolsearch import place_unit
from hickorywing.policy.poolsearch import RACK_WAIT_S
from hickorywing.policy.poolsearch import URGENT_PRIORITY
from hickorywing.policy.poolsearch import WaitingUnit
from hickorywing.policy.undolog import UndoLog

__all__ = ["Planner", "get_unit_job_id"]

# Longest time for which an urgent unit waits for running work that is about
# to end before it preempts any. A stop itself takes up to 0.4 s.
MAX_END_WAIT_S = 0.5
# Expected time until the work preempted for a unit has stopped. The longest
# waits for stops take 0.9 s.
TYPICAL_STOP_S = 0.7
# Time between the end of a job's work and the caller learning of it.
COMPLETION_LATENCY_S = 0.3


def get_unit_job_id(item: WaitingUnit | RunningUnit) -> str:
    """Return the id of the job that a unit belongs to."""
    return item.unit.job_id


def begin_at(
    units: list[WaitingUnit], first: UnitKey | None
) -> list[WaitingUnit]:
    """Return units in order, those from ``first`` on before the others.

    Urgent units keep their places.
    """
    if first is None:
        return units
    urgent = [item for item in units if item.priority <= URGENT_PRIORITY]
    others = units[len(urgent) :]
    keys = [item.unit.key for item in others]
    begin = keys.index(first) if first in keys else 0
    return [*urgent, *others[begin:], *others[:begin]]


class Planner:
    """Makes one plan from the state of a pool; used once.

    An error in planning one job leaves that job out of the plan, which names
    it in ``faults``.
    """

    def __init__(self, state: PlanInput) -> None:
        self._state = state
        self._plan = Plan()
        self.may_stop = True
        self._undo_log = UndoLog()
        # Jobs whose planning has raised an error in this plan.
        self._faulty_jobs: set[str] = set()
        # Whether stops or claims are pending, so that the room after stops
        # may exceed the free room.
        self._expects_releases = bool(state.releasing)
        self._stopped: set[UnitKey] = set()
        self._claimants: dict[UnitKey, WaitingUnit] = {}
        # Units whose end a claim waits for. Each end serves one claim only.
        self._awaited: set[UnitKey] = {
            key for claim in state.claims.values() for key, _ in claim.awaited
        }
        self._sound_workers = {
            name: facts
            for name, facts in state.workers.items()
            if name not in state.unsound
        }
        self._budget = ReservationBudget(
            self._sound_workers,
            {name: state.free[name] for name in self._sound_workers},
        )
        self._sufficient_racks: dict[Step, frozenset[str]] = {}
        # Keys of units known not to fit. Tasks of one step need the same
        # resources and room only shrinks during a plan, so one search for all
        # of them is enough.
        self._unplaceable: set[tuple] = set()
        compute_without_faulty(
            self._index_running,
            state.running,
            get_unit_job_id,
            self._plan.faults,
        )
        self._faulty_jobs.update(fault.job_id for fault in self._plan.faults)

    def _index_running(self, running: Sequence[RunningUnit]) -> None:
        """Set what the plan knows about running units."""
        self._running = running
        self._releases = index_releases(running)
        self._victims = index_victims(running)
        self._rooms = PlanRooms(self._state, running, self._undo_log)
        self._exclusions = Exclusions(
            self._state, self._rooms.isolation, self._budget.is_busy
        )

    @property
    def plan(self) -> Plan:
        """Return the plan as far as it has been made."""
        return self._plan

    def make_plan(self) -> Plan:
        """Return the units to start and to stop, and the claims to keep."""
        for _ in self.decide_in_order():
            pass
        return self._plan

    def decide_in_order(
        self, first: UnitKey | None = None
    ) -> Iterator[WaitingUnit]:
        """Decide about one unit after the other; return each before it.

        ``order_units`` says which units precede which kept room. The units
        from ``first`` on precede the others that aren't urgent, if it still
        waits. A plan that stops while ``may_stop`` is false would lose claims.
        """
        order = order_units(self._state.waiting, self._state.now_s)
        self.may_stop = False
        for waiting in (*order.covered, *order.due_lasting):
            self._confine(self._carry_over_claim, waiting)
        for waiting in order.due_lasting:
            yield waiting
            self._confine(self._plan_unit, waiting)
        for waiting in order.others:
            self._confine(self._carry_over_claim, waiting)
        self.may_stop = True
        for waiting in (*order.covered, *begin_at(order.others, first)):
            yield waiting
            self._confine(self._plan_unit, waiting)

    def _confine(
        self, decide: Callable[[WaitingUnit], None], waiting: WaitingUnit
    ) -> None:
        """Decide about a unit; an error affects only the unit's job.

        What was decided before the error is undone, and the job's other units
        are left out of this plan.
        """
        job_id = waiting.unit.job_id
        if job_id in self._faulty_jobs:
            return
        try:
            decide(waiting)
        except Exception as error:
            self._undo_log.roll_back()
            self._faulty_jobs.add(job_id)
            self._plan.faults.append(JobFault(job_id, error))
        else:
            self._undo_log.clear()

    def _carry_over_claim(self, waiting: WaitingUnit) -> None:
        """Keep a unit's claim from the last plan if it is still valid."""
        unit = waiting.unit
        claim = self._state.claims.get(unit.key)
        if claim is None:
            return
        reason = find_loss_reason(
            claim,
            waiting,
            self._rooms.after_stops,
            self._running,
            self._state.now_s,
        )
        if reason is not None:
            self._record_dropped_claim(unit, reason)
            return
        self._add_claim(waiting, claim)

    def _record_dropped_claim(
        self, unit: Unit, reason: ClaimLossReason
    ) -> None:
        self._undo_log.append(self._plan.dropped_claims, (unit, reason))

    def _add_claim(self, waiting: WaitingUnit, claim: Claim) -> None:
        """Keep a claim's room from other units until the next plan."""
        key = waiting.unit.key
        self._undo_log.set_item(self._plan.claims, key, claim)
        self._undo_log.set_item(self._claimants, key, waiting)
        self._rooms.occupy(waiting, claim.workers)
        self._expects_releases = True

    def _release_claim(self, waiting: WaitingUnit) -> Claim:
        """Remove a unit's claim, free its room again and return the claim."""
        self._undo_log.pop_item(self._claimants, waiting.unit.key)
        claim = self._undo_log.pop_item(self._plan.claims, waiting.unit.key)
        self._rooms.vacate(waiting, claim.workers)
        return claim

    def _plan_claimant(self, waiting: WaitingUnit) -> None:
        """Start a unit that has a claim, or keep the claim.

        The unit may start outside its claim, but not if that would spread it
        over several racks although one could hold it: this costs more time
        than waiting for the claimed room.
        """
        claim = self._release_claim(waiting)
        if self._has_room(waiting.step, claim.workers):
            self._start(waiting, claim.workers)
            return
        workers = self._place(waiting, self._rooms.free, may_spread=False)
        if workers is None or self._is_late_on(waiting, workers):
            self._add_claim(waiting, claim)
            return
        self._record_dropped_claim(
            waiting.unit, ClaimLossReason.ROOM_ELSEWHERE
        )
        self._start(waiting, workers)

    def _has_room(self, step: Step, workers: Iterable[str]) -> bool:
        """Return whether tasks of a step fit on these workers now.

        A worker that is listed several times gets several tasks.
        """
        need = get_task_room(step)
        return all(
            Resources(
                need.cores_milli * count,
                need.memory_mb * count,
                need.accelerators * count,
            ).fits_in(self._rooms.free[worker])
            for worker, count in Counter(workers).items()
        )

    def _start(self, waiting: WaitingUnit, workers: tuple[str, ...]) -> None:
        self._rooms.occupy(waiting, workers)
        self._undo_log.append(
            self._plan.starts, Assignment(waiting.unit, workers)
        )

    def _revoke_claims(self, priority: int) -> bool:
        """Revoke all claims of units less urgent than ``priority``.

        Return whether there were any.
        """
        revoked = [
            waiting
            for waiting in self._claimants.values()
            if waiting.priority > priority
        ]
        for waiting in revoked:
            self._release_claim(waiting)
            self._record_dropped_claim(waiting.unit, ClaimLossReason.REVOKED)
        return bool(revoked)

    def _plan_unit(self, waiting: WaitingUnit) -> None:
        unit = waiting.unit
        if unit.key in self._claimants:
            self._plan_claimant(waiting)
            return
        waits_for_rack = self._state.now_s - unit.waiting_since_s < RACK_WAIT_S
        placement_key = (
            unit.step_key,
            unit.failures > 0,
            waits_for_rack,
            is_due_lasting(waiting, self._state.now_s),
            get_caution(unit),
            len(self._exclusions.list_isolation(waiting)),
        )
        if placement_key in self._unplaceable:
            return
        if not self._start_or_claim(waiting):
            self._unplaceable.add(placement_key)

    def _start_or_claim(self, waiting: WaitingUnit) -> bool:
        """Start a unit or keep room for it; return whether either succeeded.

        Urgent units claim room and may preempt for it. Others do so once they
        have been overtaken for too long, if it pays; they reserve room.
        """
        workers = self._place(waiting, self._rooms.free)
        if workers is not None:
            claim = self._find_faster_claim(waiting, workers)
            if claim is None:
                self._start(waiting, workers)
            else:
                self._add_claim(waiting, claim)
            return True
        if waiting.priority > URGENT_PRIORITY:
            return self._keep_room(waiting)
        claim = self._find_claim(waiting)
        if claim is None and self._revoke_claims(waiting.priority):
            claim = self._find_claim(waiting)
        if claim is not None:
            self._add_claim(waiting, claim)
        return claim is not None

    def _is_late_on(
        self, waiting: WaitingUnit, workers: Iterable[str]
    ) -> bool:
        """Return whether a unit started there now would miss its objective."""
        slowdown = max(
            self._state.slowdowns.get(worker, 1.0) for worker in workers
        )
        return (
            waiting.run_time_s * slowdown + COMPLETION_LATENCY_S
            > waiting.time_left_s
        )

    def _find_faster_claim(
        self, waiting: WaitingUnit, workers: Iterable[str]
    ) -> Claim | None:
        """Return a claim to wait for instead of starting on slow workers.

        The wait may preempt work, which is justified only if the unit would
        miss its objective on the slow workers and meet it on others.
        """
        if waiting.priority > URGENT_PRIORITY or not self._is_late_on(
            waiting, workers
        ):
            return None
        ready_s = TYPICAL_STOP_S + waiting.run_time_s + COMPLETION_LATENCY_S
        if ready_s > waiting.time_left_s:
            return None
        excluded = self._exclusions.list_sets(waiting)[0]
        return self._find_claim_excluding(waiting, excluded, URGENT_PRIORITY)

    def _find_claim(self, waiting: WaitingUnit) -> Claim | None:
        """Return a claim for an urgent unit that can't start now, if any.

        A run on a worker that fails its tasks costs an attempt and another
        claim, so suspect workers are used only if the others don't suffice.
        Other urgent work is preempted only if no choice of workers gives room
        without that.
        """
        exclusions = [
            *self._exclusions.list_sets(waiting),
            self._exclusions.find_excluded(waiting),
        ]
        priority_limits = {
            waiting.priority,
            max(waiting.priority, URGENT_PRIORITY),
        }
        for priority_limit in sorted(priority_limits, reverse=True):
            for excluded in dict.fromkeys(exclusions):
                claim = self._find_claim_excluding(
                    waiting, excluded, priority_limit
                )
                if claim is not None:
                    return claim
        return None

    def _find_claim_excluding(
        self,
        waiting: WaitingUnit,
        excluded: frozenset[str],
        priority_limit: int,
    ) -> Claim | None:
        """Return a claim on workers that are not excluded, if one is possible.

        In order: room that is being freed, room of work about to end, and
        room freed by preempting work less urgent than ``priority_limit``.
        """
        if self._expects_releases:
            workers = self._place_excluding(
                waiting, self._rooms.after_stops, excluded
            )
            if workers is not None:
                return Claim(workers)
        claim = self._find_ending_claim(waiting, excluded)
        if claim is not None:
            return claim
        workers = self._preempt(waiting, excluded, priority_limit)
        return None if workers is None else Claim(workers)

    def _place(
        self,
        waiting: WaitingUnit,
        rooms: dict[str, Resources],
        may_spread: bool = True,
    ) -> tuple[str, ...] | None:
        for excluded in self._exclusions.list_sets(waiting):
            workers = self._place_excluding(
                waiting, rooms, excluded, may_spread
            )
            if workers is not None:
                return workers
        return None

    def _place_excluding(
        self,
        waiting: WaitingUnit,
        rooms: dict[str, Resources],
        excluded: frozenset[str],
        may_spread: bool = True,
    ) -> tuple[str, ...] | None:
        """Return workers for a unit among those not excluded, or ``None``.

        A unit that prefers one rack may be spread over several after it has
        waited for ``RACK_WAIT_S``.
        """
        state = self._state
        waited_s = state.now_s - waiting.unit.waiting_since_s
        need = get_task_room(waiting.step)
        candidates = {
            worker: room
            for worker, room in rooms.items()
            if need.fits_in(room) and worker not in excluded
        }
        if not candidates:
            return None
        return place_unit(
            waiting,
            candidates,
            state.workers,
            self._rooms.count_present(waiting),
            self._find_sufficient_racks(waiting.step),
            may_spread and waited_s >= RACK_WAIT_S,
        )

    def _keep_room(self, waiting: WaitingUnit) -> bool:
        """Keep room for a large unit; return whether that succeeded.

        The unit must have waited, and what is kept counts against the plan's
        limit. It is room that its work displaces, or else a reservation.
        """
        state, key = self._state, waiting.unit.key
        waited_s = state.now_s - waiting.unit.waiting_since_s
        overtaken = is_overtaken(
            waiting, state.now_s, state.overtaking_limit_s
        )
        size = self._budget.measure_size(
            waiting.step, waiting.unit.count, overtaken
        )
        if not self._budget.can_reserve(size, waited_s, overtaken):
            return False
        reservation = self._find_reservation(waiting)
        workers = self._displace(waiting, reservation) if overtaken else None
        if workers is not None:
            self._add_claim(waiting, Claim(workers))
        else:
            since_s = state.reserved_since.get(key, state.now_s)
            self._undo_log.set_item(self._plan.reserved_since, key, since_s)
            if reservation is None or has_ended(since_s, state.now_s):
                return False
            self._rooms.occupy(waiting, reservation.workers)
        self._budget.record(size)
        self._undo_log.push(partial(self._budget.withdraw, size))
        return True

    def _displace(
        self, waiting: WaitingUnit, reservation: Reservation | None
    ) -> tuple[str, ...] | None:
        """Stop less urgent work for a unit that is overtaken, if it pays."""
        excluded = (
            self._exclusions.find_excluded(waiting) | self._state.suspects
        )
        best = self._find_preemption(
            waiting, excluded, partial(may_displace, waiting)
        )
        expected_s = (
            float("inf") if reservation is None else reservation.after_s
        )
        if best is None or not is_worth_displacing(waiting, best, expected_s):
            return None
        return self._stop_all(best, waiting)

    def _find_reservation(self, waiting: WaitingUnit) -> Reservation | None:
        """Return the workers on which a unit is expected to fit soonest."""
        step, count = waiting.step, waiting.unit.count
        best: Reservation | None = None
        for group in self._list_groups(
            waiting, self._exclusions.find_excluded(waiting)
        ):
            found = reserve_workers(
                step,
                count,
                group,
                self._rooms.after_stops,
                self._rooms.count_present(waiting),
                self._releases,
            )
            if found is not None and (
                best is None or found.after_s < best.after_s
            ):
                best = found
        return best

    def _find_sufficient_racks(self, step: Step) -> frozenset[str]:
        """Return the racks with enough total capacity for a unit of a step."""
        if step not in self._sufficient_racks:
            self._sufficient_racks[step] = find_sufficient_racks(
                step, self._sound_workers
            )
        return self._sufficient_racks[step]

    def _find_ending_claim(
        self, waiting: WaitingUnit, excluded: frozenset[str]
    ) -> Claim | None:
        """Return a claim on room of work that is about to end, if it fits.

        Only runs expected to end before the unit has waited for
        ``MAX_END_WAIT_S`` count.
        """
        waited_s = self._state.now_s - waiting.unit.waiting_since_s
        left_s = MAX_END_WAIT_S - waited_s
        ending = [
            item
            for item in self._running
            if item.remaining_s <= left_s
            and not item.unit.stopping
            and item.unit.key not in self._awaited
        ]
        if not ending:
            return None
        rooms = dict(self._rooms.after_stops)
        for item in ending:
            add_released_room(rooms, item)
        workers = self._place_excluding(waiting, rooms, excluded)
        if workers is None:
            return None
        awaited = {
            item.unit.key: item.unit.run
            for item in ending
            if any(
                measure_held_room(item, worker) != Resources()
                for worker in workers
            )
        }
        self._undo_log.add_all(self._awaited, set(awaited))
        until_s = waiting.unit.waiting_since_s + MAX_END_WAIT_S
        return Claim(workers, frozenset(awaited.items()), until_s)

    def _preempt(
        self,
        waiting: WaitingUnit,
        excluded: frozenset[str],
        priority_limit: int,
    ) -> tuple[str, ...] | None:
        """Stop the work that loses least, to make room for a unit.

        Return the workers for the unit's tasks, or ``None`` if stops would not
        free enough room; then nothing is stopped.
        """
        best = self._find_preemption(
            waiting,
            excluded,
            lambda item: item.priority > priority_limit,
        )
        return None if best is None else self._stop_all(best, waiting)

    def _stop_all(
        self, preemption: Preemption, waiting: WaitingUnit
    ) -> tuple[str, ...]:
        """Stop the work of a preemption; return the workers for the unit."""
        for item in preemption.victims:
            self._stop(item, waiting.unit)
        return tuple(preemption.workers)

    def _find_preemption(
        self,
        waiting: WaitingUnit,
        excluded: frozenset[str],
        may_stop: Callable[[RunningUnit], bool],
    ) -> Preemption | None:
        """Return the cheapest preemption of less urgent work, or ``None``.

        Victims are units for which ``may_stop`` holds. If no single group of
        workers can be freed, the unit may be spread over all racks after it
        has waited for ``RACK_WAIT_S``.
        """
        victims = {
            worker: [
                item
                for item in items
                if may_stop(item) and item.unit.key not in self._stopped
            ]
            for worker, items in self._victims.items()
        }
        best: Preemption | None = None
        for group in self._list_groups(waiting, excluded):
            found = self._choose_victims(waiting, group, victims)
            if found is not None and (best is None or found.cost < best.cost):
                best = found
        waited_s = self._state.now_s - waiting.unit.waiting_since_s
        if best is None and waited_s >= RACK_WAIT_S:
            allowed = self._list_allowed(waiting, excluded)
            best = self._choose_victims(waiting, allowed, victims)
        return best

    def _choose_victims(
        self,
        waiting: WaitingUnit,
        group: list[str],
        victims: dict[str, list[RunningUnit]],
    ) -> Preemption | None:
        return choose_victims(
            waiting.step,
            waiting.unit.count,
            group,
            self._rooms.after_stops,
            self._rooms.count_present(waiting),
            victims,
        )

    def _list_groups(
        self, waiting: WaitingUnit, excluded: frozenset[str]
    ) -> list[list[str]]:
        """Return the groups of workers within which room may be freed.

        Work away from its data or over several racks takes several times as
        long, so there is one group for each rack that could hold the unit,
        and a single group of all workers only if there is no such rack.
        """
        allowed = self._list_allowed(waiting, excluded)
        racks = self._find_sufficient_racks(waiting.step)
        groups = group_workers(
            waiting.step, allowed, self._state.workers, racks
        )
        return groups or [allowed]

    def _list_allowed(
        self, waiting: WaitingUnit, excluded: frozenset[str]
    ) -> list[str]:
        """Return the workers on which the unit may be placed."""
        return [
            worker
            for worker in find_allowed(
                waiting.step, self._rooms.after_stops, self._state.workers
            )
            if worker not in excluded
        ]

    def _stop(self, victim: RunningUnit, unit: Unit) -> None:
        self._undo_log.add_all(self._stopped, {victim.unit.key})
        self._expects_releases = True
        self._rooms.add_stopped(victim)
        self._undo_log.append(self._plan.stops, (victim.unit, unit))
