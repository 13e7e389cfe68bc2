"""Decide when the next plan is made.

Answers a full pool at its worst: each end of a task and each new job asks for
a plan, and one over all workers and all waiting units takes long on an entry
with half a core. Plans made one after another would keep leases from being
renewed and callers from being answered. What happens while a plan is due
shares it.
"""

__all__ = ["PlanPace"]

# The share of time that plans may take, so that the rest of the controller and
# the callers of its entry get the greater part.
PLAN_SHARE = 0.3
# Bounds how long a single slow plan, as after a freeze, holds up the next.
LONGEST_PAUSE_S = 0.5


class PlanPace:
    """Remembers how long the last plan took."""

    def __init__(self) -> None:
        self._next_s = float("-inf")

    def note_plan(self, began_s: float, ended_s: float) -> None:
        """Take in when a plan was made."""
        took_s = max(0.0, ended_s - began_s)
        pause_s = took_s * (1 - PLAN_SHARE) / PLAN_SHARE
        self._next_s = ended_s + min(pause_s, LONGEST_PAUSE_S)

    def wait_s(self, now_s: float) -> float:
        """Return how long the next plan has to wait."""
        return max(0.0, self._next_s - now_s)
