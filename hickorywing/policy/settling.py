"""Decide when a new controller knows enough workers to plan.

Answers the beginning of a term: workers answer one after another, and a plan
over the first few would stop work although others have room. Ten workers have
answered within a few round trips; hundreds take longer, as each has to be
connected to, and some are away and never answer.
"""

from collections.abc import Set

__all__ = ["Settling"]

# Once no new worker has answered for this long, the rest counts as away. It
# covers an agent's look at its worker.
QUIET_S = 0.3
# Work that waits is placed after this time in any case.
MOST_S = 2.0


class Settling:
    """Follows how workers become known since a term began."""

    def __init__(self, now_s: float) -> None:
        self._began_s = now_s
        self._met_s = now_s
        self._met: set[str] = set()
        self._settled = False

    def is_settled(
        self, now_s: float, known: Set[str], all_known: bool
    ) -> bool:
        """Tell whether to plan; once settled, a term stays so.

        ``known`` are the workers that have answered, ``all_known`` tells that
        no agent is left that has not.
        """
        if self._settled:
            return True
        if known - self._met or not known:
            self._met |= known
            self._met_s = now_s
        self._settled = (
            all_known
            or now_s - self._began_s >= MOST_S
            or now_s - self._met_s >= QUIET_S
        )
        return self._settled
