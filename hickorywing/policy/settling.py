"""Decide when a new controller knows enough workers to plan.

At the beginning of a term, workers answer one after another, and a plan over
the first few would preempt work although other workers have room. Ten workers
answer within a few round trips. Hundreds take longer, as each needs a
connection, and some are absent and never answer.
"""

from collections.abc import Set

__all__ = ["Settling"]

# Once no new worker has answered for this long, the others count as absent. An
# agent needs less time to poll its worker.
QUIET_PERIOD_S = 0.3
# Planning begins after this time in any case.
MAX_SETTLING_S = 2.0


class Settling:
    """Tracks which workers have answered since a term began."""

    def __init__(self, now_s: float) -> None:
        self._began_s = now_s
        self._last_new_s = now_s
        self._known: set[str] = set()
        self._settled = False

    def is_settled(
        self, now_s: float, known: Set[str], all_known: bool
    ) -> bool:
        """Return whether planning may begin; once it may, it always may.

        ``known`` holds the workers that have answered; ``all_known`` is
        whether every agent has reported its worker.
        """
        if self._settled:
            return True
        if known - self._known or not known:
            self._known |= known
            self._last_new_s = now_s
        self._settled = (
            all_known
            or now_s - self._began_s >= MAX_SETTLING_S
            or now_s - self._last_new_s >= QUIET_PERIOD_S
        )
        return self._settled
