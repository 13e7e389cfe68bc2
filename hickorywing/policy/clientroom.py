"""Decide which connections give way when clients take too much.

The load is a crowd of clients: each holds a part of a request, requests sent
ahead or answers that it doesn't read, and some come back whenever they are
closed. Ordinary requests are small and complete within milliseconds, so those
that hold most and for longest give way first. A request that runs never does.
"""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Generic
from typing import TypeVar

__all__ = ["ConnectionOrder", "HeldMemory", "choose_holders"]

# Part of the limit that is freed beyond the excess, so that a crowd doesn't
# cause a new choice with each part of a request.
SLACK_DIVISOR = 16

ConnectionT = TypeVar("ConnectionT")


@dataclass(frozen=True, slots=True)
class HeldMemory:
    """What a connection would release, and since when it holds the oldest.

    ``since_s`` is a time on the clock of the process.
    """

    releasable_bytes: int
    since_s: float


def choose_holders(
    holders: Sequence[HeldMemory], held_bytes: int, limit_bytes: int
) -> list[int]:
    """Return the positions of the holders that give way.

    ``held_bytes`` is what is held in all. The largest holders are chosen,
    among equal ones those that have held for longest:

        >>> holders = [HeldMemory(10, 1.0), HeldMemory(90, 2.0)]
        >>> choose_holders(holders, 130, 100)
        [1]
    """
    excess = held_bytes - limit_bytes
    if excess <= 0:
        return []
    wanted = excess + limit_bytes // SLACK_DIVISOR
    order = sorted(
        range(len(holders)),
        key=lambda at: (-holders[at].releasable_bytes, holders[at].since_s),
    )
    chosen = []
    for position in order:
        if wanted <= 0:
            break
        released = holders[position].releasable_bytes
        # An ordinary request doesn't give way for the slack alone.
        if excess <= 0 and released < limit_bytes // SLACK_DIVISOR:
            break
        chosen.append(position)
        excess -= released
        wanted -= released
    return chosen


class ConnectionOrder(Generic[ConnectionT]):
    """The order in which connections give way for new ones.

    A client that was refused has its answer and is the first. Then come those
    that have been without an answer for longest since they were opened. Bytes
    of a request that isn't complete don't count: a slow sender gives way
    before a caller who has just been served.
    """

    def __init__(self) -> None:
        self._order: OrderedDict[ConnectionT, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._order)

    def __contains__(self, connection: ConnectionT) -> bool:
        return connection in self._order

    def list(self) -> list[ConnectionT]:
        """Return the connections, the first to give way first."""
        return list(self._order)

    def add(self, connection: ConnectionT) -> None:
        """Add a connection, as one that has just been served."""
        self._order[connection] = None

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection."""
        del self._order[connection]

    def note_served(self, connection: ConnectionT) -> None:
        """Move a connection that got an answer to the end."""
        if connection in self._order:
            self._order.move_to_end(connection)

    def note_refused(self, connection: ConnectionT) -> None:
        """Move a connection whose client was refused to the front."""
        if connection in self._order:
            self._order.move_to_end(connection, last=False)

    def find(
        self, may_close: Callable[[ConnectionT], bool]
    ) -> ConnectionT | None:
        """Return the first connection that may be closed, if any."""
        return next(filter(may_close, self._order), None)
