"""Tell which urgent jobs a customer's guarantee covers.

Answers urgent bursts of one customer that fill the pool: the accelerators
guaranteed to another one must be there at once, also if that takes urgent
work of the first customer beyond its own guarantee.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolruns import JobState

__all__ = ["COVERED", "count_accelerators", "find_covered", "rank_priority"]

# Comes before priority 0, which is urgent work beyond a guarantee.
COVERED = -1


def count_accelerators(job: PoolJob) -> int:
    """Return the most accelerators that a job's steps hold at a time.

    Steps that wait for none may run together; each later one counts alone.
    """
    together = 0
    largest = 0
    for step in job.steps:
        needed = step.count * step.resources.accelerators
        if step.after:
            largest = max(largest, needed)
        else:
            together += needed
    return max(together, largest)


def find_covered(
    states: Iterable[JobState], guarantees: Mapping[str, int]
) -> frozenset[str]:
    """Return the urgent jobs that their customers' guarantees cover.

    Jobs are covered in the order of their acceptance, as long as the
    customer's covered jobs together need no more than is guaranteed.
    """
    left = dict(guarantees)
    covered = set()
    for state in sorted(states, key=lambda item: item.accepted):
        job = state.job
        if job.terms.priority != 0 or state.final:
            continue
        needed = count_accelerators(job)
        if needed <= left.get(job.customer, 0):
            left[job.customer] -= needed
            covered.add(job.job_id)
    return frozenset(covered)


def rank_priority(state: JobState, covered: frozenset[str]) -> int:
    """Return a job's priority, where covered work comes before all other."""
    if state.job.job_id in covered:
        return COVERED
    return state.job.terms.priority
