"""Decide how eagerly an entry competes for a controller's role.

Answers a pool of hundreds of workers whose entries differ: on a VM with half a
core or a slow link, plans take several times as long and reports queue up just
when all workers have to be met again. A weak entry gives the stronger ones a
head start, and still takes the role where none of them does.
"""

from dataclasses import dataclass

__all__ = ["Strength", "count_head_start_s"]

# An entry with this much controls some hundreds of workers with room to spare.
ENOUGH_CORES = 1.0
ENOUGH_MBPS = 100.0
# Longer than the time by which candidates see a vacancy apart from each other,
# and short beside a lease, as nothing is decided meanwhile.
LONGEST_HEAD_START_S = 0.4


@dataclass(frozen=True, slots=True)
class Strength:
    """What an entry's VM has: full cores, and its link in Mbit/s."""

    cores: float = ENOUGH_CORES
    link_mbps: float = ENOUGH_MBPS


def count_head_start_s(strength: Strength) -> float:
    """Return for how long an entry lets stronger ones go first, in seconds."""
    share = min(
        strength.cores / ENOUGH_CORES, strength.link_mbps / ENOUGH_MBPS
    )
    return LONGEST_HEAD_START_S * max(0.0, 1 - share)
