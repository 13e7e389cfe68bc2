"""Limit the share of time that planning takes.

On a full pool, each end of a task and each new job requests a plan, and a plan
over all workers and waiting units takes long on an entry with half a core.
Plans without pauses would delay lease renewals and answers to callers. All
events during a pause are handled by the next plan.
"""

__all__ = ["PlanThrottle"]

# Maximum share of time for plans; the greater part is left to the rest of the
# controller and to the callers of its entry.
MAX_PLAN_SHARE = 0.3
# Maximum pause after a single slow plan, for example one during which the
# process was frozen.
MAX_PAUSE_S = 0.5


class PlanThrottle:
    """Throttles plans by the duration of the last one."""

    def __init__(self) -> None:
        self._next_s = float("-inf")

    def record_plan(self, began_s: float, ended_s: float) -> None:
        """Record the beginning and the end of a plan."""
        took_s = max(0.0, ended_s - began_s)
        pause_s = took_s * (1 - MAX_PLAN_SHARE) / MAX_PLAN_SHARE
        self._next_s = ended_s + min(pause_s, MAX_PAUSE_S)

    def get_wait_s(self, now_s: float) -> float:
        """Return the seconds until the next plan may begin."""
        return max(0.0, self._next_s - now_s)
