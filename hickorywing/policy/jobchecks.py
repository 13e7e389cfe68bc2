"""Check jobs that come from callers or from rows of the store.

Sizes are checked before anything is made of a job: a few bytes can ask for
more tasks than all processes together can keep.
"""

import math

from hickorywing.errors import HickorywingError
from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolmodel import Step

__all__ = ["MAX_TASKS", "JobInvalid", "check_job", "check_size"]


# A controller has the state of each task of an occurrence and encodes it after
# a change. With several times as many in one job, little is started any more
# (docs/CAPACITY.md).
MAX_TASKS = 10_000
# The numbers of completed occurrences are kept until the job ends.
MAX_OCCURRENCES = 100_000
# Builds before this one accepted jobs of any size. More tasks than the largest
# installation has room for come from another writer.
MAX_STORED_TASKS = 48_000
MAX_SHOWN_DIGITS = 40


class JobInvalid(HickorywingError):  # noqa: N818
    """Raised for a job that can't be run, with the field at fault."""


def check_size(job: PoolJob) -> None:
    """Check the size of a submitted job; raise ``JobInvalid``."""
    _check_bound("tasks of all steps", count_tasks(job), MAX_TASKS)
    _check_bound("occurrences", job.occurrences, MAX_OCCURRENCES)


def check_job(job: PoolJob) -> None:
    """Check a job, also a stored one; raise ``JobInvalid`` if it can't run."""
    if not job.steps:
        raise JobInvalid("a job needs at least one step")
    for number, step in enumerate(job.steps):
        _check_step(number, step)
    _check_bound("tasks of all steps", count_tasks(job), MAX_STORED_TASKS)
    _check_finite("first_due_s", job.first_due_s)
    _check_finite("interval_s", job.interval_s)


def count_tasks(job: PoolJob) -> int:
    """Return the number of tasks in one occurrence of a job."""
    return sum(step.count for step in job.steps)


def _check_step(number: int, step: Step) -> None:
    if step.count < 1:
        raise JobInvalid(f"step {number} has a count below 1")
    if any(not 0 <= earlier < number for earlier in step.after):
        raise JobInvalid(f"step {number} may only depend on earlier steps")
    _check_finite(f"estimate_s of step {number}", step.estimate_s)


def _check_bound(name: str, value: int, bound: int) -> None:
    if value > bound:
        shown = str(value)[:MAX_SHOWN_DIGITS]
        raise JobInvalid(f"{name}: {shown} exceeds the bound of {bound}")


def _check_finite(name: str, value: float) -> None:
    if not math.isfinite(value):
        raise JobInvalid(f"{name} is not a finite number")
