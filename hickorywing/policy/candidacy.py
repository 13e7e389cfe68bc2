"""Compute how long an entry waits before it competes for a role.

The entries of a pool may run on unequal VMs. With half a core or a slow link,
plans for hundreds of workers take several times as long, and reports queue up
at the start of a term, when the controller connects to all workers. A weak
entry therefore gives stronger ones a head start, and takes the role only if
none of them does.
"""

from dataclasses import dataclass

__all__ = ["EntryCapacity", "compute_head_start_s"]

# An entry with at least this much controls some hundreds of workers easily and
# waits for no other.
SUFFICIENT_CORES = 1.0
SUFFICIENT_MBPS = 100.0
# Longer than the difference between the times at which candidates detect a
# vacancy, and short compared to a lease, as no controller decides meanwhile.
MAX_HEAD_START_S = 0.4


@dataclass(frozen=True, slots=True)
class EntryCapacity:
    """The capacity of an entry's VM: full cores, and link in Mbit/s."""

    cores: float = SUFFICIENT_CORES
    link_mbps: float = SUFFICIENT_MBPS


def compute_head_start_s(capacity: EntryCapacity) -> float:
    """Return the head start that an entry gives others, in seconds.

    It is 0 for an entry with sufficient cores and bandwidth, and grows
    linearly with the greater of the two shortages.
    """
    capacity_ratio = min(
        capacity.cores / SUFFICIENT_CORES, capacity.link_mbps / SUFFICIENT_MBPS
    )
    return MAX_HEAD_START_S * max(0.0, 1 - capacity_ratio)
