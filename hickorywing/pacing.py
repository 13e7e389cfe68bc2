"""Divide long work into slices, between which the event loop goes on."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import TypeVar

from hickorywing.clock import now_s

__all__ = ["Pacer", "split_evenly"]

# The leases of the role last for 1.5 s and more. Answers to callers wait for
# a slice as well.
SLICE_S = 0.02

Item = TypeVar("Item")


class Pacer:
    """Pauses some work whenever it has taken a slice of time.

    ``busy_s`` is the time that the work has taken itself. ``clock`` returns
    seconds.
    """

    def __init__(
        self, slice_s: float = SLICE_S, clock: Callable[[], float] = now_s
    ) -> None:
        self._slice_s = slice_s
        self._clock = clock
        self._began_s = clock()
        self._busy_before_s = 0.0

    @property
    def busy_s(self) -> float:
        """Return the seconds that the work has taken, without pauses."""
        return self._busy_before_s + self._clock() - self._began_s

    async def pause_if_due(self) -> bool:
        """Let others run if the slice is over; return whether it was."""
        took_s = self._clock() - self._began_s
        if took_s < self._slice_s:
            return False
        self._busy_before_s += took_s
        await asyncio.sleep(0)
        self._began_s = self._clock()
        return True


def split_evenly(items: Sequence[Item], size: int) -> Iterator[Sequence[Item]]:
    """Return the items in lists of ``size`` at most, in order."""
    for begin in range(0, len(items), size):
        yield items[begin : begin + size]
