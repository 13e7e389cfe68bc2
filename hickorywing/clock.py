"""Read the clock that leases and ages are measured on."""

import time

__all__ = ["now_s"]


def now_s() -> float:
    """Return seconds on a clock that also runs while the VM is suspended.

    The monotonic clock stands still during a suspension, so a process that
    wakes up would believe that its lease is still valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
