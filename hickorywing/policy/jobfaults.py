"""Set jobs aside whose planning raises an error.

A plan decides about all jobs of a pool. An error that one of them causes must
not keep the others from being planned, as each later plan, and each later
controller, would meet the same job again. Such a job is left out of plans for
a while, then tried again.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
import traceback
from typing import TypeVar

__all__ = [
    "JobFault",
    "SetAsideJobs",
    "compute_without_faulty",
    "describe_error",
]

# How long a job is set aside after its first error, and the maximum after
# repeated ones; the time doubles with each. The first stays below the 3 s
# after which an idle task counts as forgotten.
FIRST_SET_ASIDE_S = 1.0
MAX_SET_ASIDE_S = 60.0
MAX_REASON_LENGTH = 200

Item = TypeVar("Item")
Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class JobFault:
    """An error that was raised while a job was planned."""

    job_id: str
    error: Exception

    def describe(self) -> str:
        """Return the error and where it was raised, for a log line."""
        return describe_error(self.error)


def describe_error(error: Exception) -> str:
    """Return an error's type and message, and the function that raised it."""
    frames = traceback.extract_tb(error.__traceback__)
    where = (
        f" in {frames[-1].name}, line {frames[-1].lineno}" if frames else ""
    )
    text = f"{type(error).__name__}: {error}"
    return text[:MAX_REASON_LENGTH] + where


def compute_without_faulty(
    compute: Callable[[Collection[Item]], Result],
    items: Collection[Item],
    get_job_id: Callable[[Item], str],
    faults: list[JobFault],
    probe: Callable[[Collection[Item]], object] | None = None,
) -> Result:
    """Return ``compute(items)``, without the items that raise an error in it.

    The items are only looked at singly after an error, by ``probe`` or else
    by ``compute``, which must then have no other effect. The error of each
    one is added to ``faults``.
    """
    try:
        return compute(items)
    except Exception:
        sound = list(select_sound(probe or compute, items, get_job_id, faults))
        if len(sound) == len(items):
            # No single item is the cause.
            raise
        return compute(sound)


def select_sound(
    probe: Callable[[Collection[Item]], object],
    items: Iterable[Item],
    get_job_id: Callable[[Item], str],
    faults: list[JobFault],
) -> Iterable[Item]:
    """Return the items for which ``probe`` raises no error."""
    for item in items:
        try:
            probe([item])
        except Exception as error:
            faults.append(JobFault(get_job_id(item), error))
        else:
            yield item


@dataclass(slots=True)
class SetAside:
    """How long a job is set aside: ``for_s`` seconds, until ``until_s``."""

    for_s: float
    until_s: float


class SetAsideJobs:
    """The jobs that plans leave out at present, during one term."""

    def __init__(self) -> None:
        self._jobs: dict[str, SetAside] = {}

    def record(self, job_id: str, now_s: float) -> float:
        """Set a job aside after an error; return for how many seconds."""
        previous = self._jobs.get(job_id)
        for_s = FIRST_SET_ASIDE_S
        if previous is not None:
            for_s = min(2 * previous.for_s, MAX_SET_ASIDE_S)
        self._jobs[job_id] = SetAside(for_s, now_s + for_s)
        return for_s

    def contains(self, job_id: str, now_s: float) -> bool:
        """Return whether a job is set aside now."""
        entry = self._jobs.get(job_id)
        return entry is not None and now_s < entry.until_s

    def forget_old(self, now_s: float) -> None:
        """Drop the jobs that have caused no error for a long time."""
        self._jobs = {
            job_id: entry
            for job_id, entry in self._jobs.items()
            if now_s < entry.until_s + MAX_SET_ASIDE_S
        }
