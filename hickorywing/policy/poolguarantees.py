"""Decide which urgent jobs are covered by a customer's guarantee.

If a burst of urgent jobs of one customer fills the pool, the accelerators
guaranteed to another customer must still be available at once, even if this
preempts urgent work of the first customer beyond its own guarantee.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolruns import JobState

__all__ = [
    "COVERED_PRIORITY",
    "count_accelerators",
    "find_covered",
    "rank_priority",
]

# Priority of covered work. It precedes 0, that of urgent work beyond a
# guarantee.
COVERED_PRIORITY = -1


def count_accelerators(job: PoolJob) -> int:
    """Return the maximum number of accelerators that a job holds at a time.

    Steps without predecessors may run together. Each other step is assumed to
    run alone.
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
    """Return the ids of the urgent jobs covered by guarantees.

    ``guarantees`` is the number of guaranteed accelerators of each customer.
    A customer's jobs are covered in the order of their acceptance; a job that
    does not fit into what is left of the guarantee is skipped. Jobs of a
    customer without a guarantee, or of no known customer, are never covered.
    """
    left = dict(guarantees)
    covered = set()
    for state in sorted(states, key=lambda item: item.accepted):
        job = state.job
        if job.terms.priority != 0 or state.final:
            continue
        if job.customer not in left:
            continue
        needed = count_accelerators(job)
        if needed <= left[job.customer]:
            left[job.customer] -= needed
            covered.add(job.job_id)
    return frozenset(covered)


def rank_priority(state: JobState, covered: frozenset[str]) -> int:
    """Return a job's priority; covered jobs precede all others."""
    if state.job.job_id in covered:
        return COVERED_PRIORITY
    return state.job.terms.priority
