"""Read the clock by which leases and ages are measured."""

import time

__all__ = ["now_s"]


def now_s() -> float:
    """Return the time in seconds of a clock that includes suspended time.

    The monotonic clock stops while the VM is suspended. By that clock, a
    process that resumes would take an expired lease for a valid one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
