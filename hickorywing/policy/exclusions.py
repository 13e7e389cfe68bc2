"""Choose the workers on which a plan must not place a unit.

Workers are excluded because the unit's job failed there, because of crashes,
because they are kept as headroom for urgent work, or by their speed. Some
exclusions are only preferences: they don't apply if the unit has no room
otherwise.
"""

from hickorywing.policy.headroom import fits_outside_headroom
from hickorywing.policy.isolation import Isolation
from hickorywing.policy.overtaking import is_overtaken
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolorder import is_due_lasting
from hickorywing.policy.poolplans import PlanInput
from hickorywing.policy.poolsearch import RACK_WAIT_S
from hickorywing.policy.poolsearch import URGENT_PRIORITY
from hickorywing.policy.poolsearch import WaitingUnit
from hickorywing.policy.speedchoice import SpeedChoice

__all__ = ["Exclusions"]


class Exclusions:
    """The workers that are excluded for each unit of one plan.

    ``is_busy`` says whether most of the pool is in use.
    """

    def __init__(
        self, state: PlanInput, isolation: Isolation, is_busy: bool
    ) -> None:
        self._state = state
        self._isolation = isolation
        self._is_busy = is_busy
        self._headroom_for: dict[Step, frozenset[str]] = {}
        self._speeds = SpeedChoice(
            state.workers,
            state.slow,
            state.slowdowns,
            state.unmeasured,
            is_busy,
        )

    def list_sets(self, waiting: WaitingUnit) -> list[frozenset[str]]:
        """Return the sets of workers to exclude, the preferred set first.

        Later sets exclude fewer workers and are used if the unit does not fit
        otherwise. A gang that was overtaken may use the headroom. A task that
        lasts and is due may fail as often as it likes, so only crashes keep it
        from a worker in the end.
        """
        choices: list[frozenset[str]] = []
        isolations = self.list_isolation(waiting)
        for isolation in isolations:
            choices += self._list_beside(waiting, isolation)
        state = self._state
        if is_due_lasting(waiting, state.now_s):
            choices += isolations
        elif waiting.step.gang and is_overtaken(
            waiting, state.now_s, state.overtaking_limit_s
        ):
            choices += [
                isolation
                | state.unsound
                | state.suspects
                | waiting.avoided_workers
                for isolation in isolations
            ]
        elif self._has_idle_room(waiting):
            choices += [isolation | state.unsound for isolation in isolations]
        return list(dict.fromkeys(choices))

    def list_isolation(self, waiting: WaitingUnit) -> list[frozenset[str]]:
        """Return the workers to exclude because of crashes, as sets.

        The room of a task that lasts counts however full the pool is.
        """
        is_busy = self._is_busy and not waiting.step.lasting
        return self._isolation.list_excluded(waiting.unit, is_busy)

    def find_excluded(
        self, waiting: WaitingUnit, isolation: frozenset[str] | None = None
    ) -> frozenset[str]:
        """Return the workers on which a unit must not be placed.

        These are the headroom for urgent work, the unsound workers, those
        excluded because of crashes (``isolation``, by default the strictest
        set), and those on which the unit's job failed. The latter are allowed
        if no others are left.
        """
        if isolation is None:
            isolation = self.list_isolation(waiting)[0]
        excluded = (
            self._find_headroom(waiting) | isolation | self._state.unsound
        )
        if waiting.avoided_workers >= self._state.workers.keys() - excluded:
            return excluded
        return waiting.avoided_workers | excluded

    def _list_beside(
        self, waiting: WaitingUnit, isolation: frozenset[str]
    ) -> list[frozenset[str]]:
        """Return the sets of workers to exclude, each with ``isolation``."""
        state = self._state
        avoided = self.find_excluded(waiting, isolation)
        choices = [avoided | state.suspects, avoided]
        if waiting.unit.failures and state.workers.keys() - choices[0]:
            # A failed unit has fewer attempts left, so it prefers workers
            # that completed a task recently.
            others = state.workers.keys() - state.recently_successful
            choices = [choices[0] | others, choices[0]]
            if self._has_idle_room(waiting):
                choices.append(avoided)
        by_speed = self._speeds.list_excluded(waiting, state.now_s)
        choices = [choices[0] | speed for speed in by_speed] + choices[1:]
        if state.exposed and not waiting.step.checkpoints:
            choices = [choices[0] | state.exposed, *choices]
        return choices

    def _has_idle_room(self, waiting: WaitingUnit) -> bool:
        """Return whether a unit waits although most of the pool is idle."""
        waited_s = self._state.now_s - waiting.unit.waiting_since_s
        return not self._is_busy and waited_s >= RACK_WAIT_S

    def _find_headroom(self, waiting: WaitingUnit) -> frozenset[str]:
        """Return the workers kept as headroom for more urgent work."""
        step, state = waiting.step, self._state
        if waiting.priority <= URGENT_PRIORITY or not self._is_busy:
            return frozenset()
        if step not in self._headroom_for:
            fits_elsewhere = fits_outside_headroom(
                step, state.workers, state.headroom_workers
            )
            self._headroom_for[step] = (
                state.headroom_workers if fits_elsewhere else frozenset()
            )
        return self._headroom_for[step]
