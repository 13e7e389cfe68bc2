"""Choose by speed on which workers a unit is placed first.

The load that this answers: urgent gangs, whose objectives leave little more
than their run time, arrive beside longer work that has time to spare, in a
pool where some workers take markedly longer than others. A gang runs at the
pace of its slowest member. So urgent units get fast workers, rather than
those whose speed isn't known yet; work that has time left gets the others
while both have room, which leaves the fast ones free and shows the speed of
new ones; and a gang gets workers of like speed rather than some of each.

Each of these is a preference: no unit waits for a worker of another speed
beside a free one. While most of the pool is in use, all room is taken anyway,
and work that runs longer on slow workers is lost more often with them or to
urgent work; only urgent units are placed by speed then.
"""

from collections.abc import Collection
from collections.abc import Mapping

from hickorywing.policy.poolsearch import prefers_rack
from hickorywing.policy.poolsearch import RACK_WAIT_S
from hickorywing.policy.poolsearch import URGENT_PRIORITY
from hickorywing.policy.poolsearch import WaitingUnit

__all__ = ["SpeedChoice"]

# Factor from which a worker is left to work that has time. Below it, the
# difference isn't worth the fragments that a choice by speed leaves.
MARKED_SLOWDOWN = 1.4
# A pool counts as uneven if this share of its workers is markedly slow. Fewer
# may be wrong estimates, and urgent work avoids them anyway.
MIN_SLOW_SHARE = 0.1
# Time between the end of a job's work and the caller learning of it.
COMPLETION_LATENCY_S = 0.3


class SpeedChoice:
    """The workers of one plan, by their speeds.

    ``slowdowns`` has the factors of the workers that aren't of usual speed,
    ``slow`` the workers that urgent work avoids. The speed of ``unmeasured``
    workers isn't known. ``is_busy`` says whether most of the pool is in use.
    """

    def __init__(
        self,
        workers: Collection[str],
        slow: frozenset[str],
        slowdowns: Mapping[str, float],
        unmeasured: frozenset[str] = frozenset(),
        is_busy: bool = False,
    ) -> None:
        self._slow = slow
        self._is_busy = is_busy
        markedly_slow = frozenset(
            worker
            for worker in workers
            if slowdowns.get(worker, 1.0) >= MARKED_SLOWDOWN
        )
        is_uneven = len(markedly_slow) >= MIN_SLOW_SHARE * len(workers)
        self._markedly_slow = markedly_slow if is_uneven else frozenset()
        # In a pool of like workers, what isn't known doesn't matter.
        self._unmeasured = (
            unmeasured if self._markedly_slow else frozenset[str]()
        )
        self._fast = (
            frozenset(workers) - self._markedly_slow - self._unmeasured
        )
        self._slowdown = max(
            (slowdowns[worker] for worker in self._markedly_slow), default=1.0
        )

    def list_excluded(
        self, waiting: WaitingUnit, now_s: float
    ) -> list[frozenset[str]]:
        """Return the workers to exclude, the preferred set first.

        The last set is empty.
        """
        anywhere = frozenset[str]()
        if waiting.priority <= URGENT_PRIORITY:
            choices = [
                self._slow | self._unmeasured,
                self._slow,
                self._slow & self._markedly_slow,
                anywhere,
            ]
        elif self._is_busy or not self._markedly_slow or not self._fast:
            choices = [anywhere]
        elif self._may_spread(waiting, now_s):
            # One rack matters more than the speed.
            choices = [anywhere]
        elif self._has_time(waiting):
            choices = [self._fast, self._markedly_slow, anywhere]
        else:
            choices = [self._markedly_slow, anywhere]
        return list(dict.fromkeys(choices))

    def _may_spread(self, waiting: WaitingUnit, now_s: float) -> bool:
        waited_s = now_s - waiting.unit.waiting_since_s
        return prefers_rack(waiting.step) and waited_s >= RACK_WAIT_S

    def _has_time(self, waiting: WaitingUnit) -> bool:
        """Return whether a unit meets its objective on slow workers.

        One that was stopped for faster workers has shown that it doesn't.
        """
        if waiting.unit.speed_moves:
            return False
        expected = waiting.expected
        run_s = waiting.run_time_s if expected is None else expected.late_s
        ready_s = run_s * self._slowdown + COMPLETION_LATENCY_S
        return ready_s <= waiting.time_left_s
