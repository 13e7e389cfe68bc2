"""Count the memory that clients take in a process, and keep it bounded.

All listeners of a process share one ``ClientMemory``. Whatever a client makes
the process keep is counted before the process goes on: parts of requests,
requests that wait or run, what they were decoded to, and answers that are not
read. A request counts until its handler has ended, also if its client is gone.
"""

from abc import ABC
from abc import abstractmethod

from hickorywing.policy.clientroom import choose_holders
from hickorywing.policy.clientroom import HeldMemory

__all__ = [
    "CONNECTION_BYTES",
    "HEADER_BYTES",
    "REQUEST_BYTES",
    "ClientMemory",
    "MemoryHolder",
    "measure_body",
    "measure_head",
]

# An open connection without a request: transport, parser and protocol.
CONNECTION_BYTES = 9 << 10
# A request that waits or runs, beside its bytes.
REQUEST_BYTES = 6 << 10
# A header: its tuple, the objects of name and value, and places in lists.
HEADER_BYTES = 200
# The path is kept as bytes, as text of up to four bytes a character, and as
# parts of both.
URL_COPIES = 8
# A body that arrives in parts is kept in an array that grows by an eighth, and
# leaves holes when it moves.
BODY_GROWTH_DIVISOR = 4


def measure_head(size: int, headers: int, url_size: int) -> int:
    """Return the bytes that a head of ``size`` bytes takes in memory."""
    return size + HEADER_BYTES * headers + URL_COPIES * url_size


def measure_body(size: int) -> int:
    """Return the bytes that a body of ``size`` bytes takes in memory."""
    return size + size // BODY_GROWTH_DIVISOR


class MemoryHolder(ABC):
    """A connection that holds memory for its client."""

    @abstractmethod
    def count_held_bytes(self) -> int:
        """Return what the connection holds, with the request that runs."""

    @abstractmethod
    def describe_held(self) -> HeldMemory:
        """Return what the connection would release."""

    @abstractmethod
    def make_room(self) -> None:
        """Release it: refuse the requests that don't run, or close."""


class ClientMemory:
    """The memory that the clients of a process hold together.

    ``held_bytes`` counts it beside ``CONNECTION_BYTES`` for each connection.
    More than ``limit_bytes`` is held only by a single connection, whose
    request is within the limits of its listener, or by requests that run.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        # Those that may have something to release, of all listeners.
        self._holders: dict[MemoryHolder, None] = {}
        self._making_room = False

    def hold(self, change: int, holder: MemoryHolder | None = None) -> None:
        """Count bytes that are held from now on, or released.

        If they are too many, connections give way, ``holder`` among them.
        """
        self.held_bytes += change
        if holder is not None:
            if holder.describe_held().releasable_bytes:
                self._holders[holder] = None
            else:
                self._holders.pop(holder, None)
        if change > 0 and self.held_bytes > self.limit_bytes:
            self._make_room(holder)

    def forget(self, holder: MemoryHolder) -> None:
        """Drop a holder that has released all it held."""
        self._holders.pop(holder, None)

    def reserve(self, size: int, own_bytes: int) -> bool:
        """Count bytes that a handler needs, unless there is no room.

        ``own_bytes`` is what its request holds already.
        """
        self.hold(size)
        is_alone = self.held_bytes == own_bytes + size
        if self.held_bytes <= self.limit_bytes or is_alone:
            return True
        self.hold(-size)
        return False

    def _make_room(self, newest: MemoryHolder | None) -> None:
        if self._making_room:
            return
        if newest is not None and newest.count_held_bytes() == self.held_bytes:
            return
        self._making_room = True
        try:
            holders = list(self._holders)
            held = [holder.describe_held() for holder in holders]
            chosen = choose_holders(held, self.held_bytes, self.limit_bytes)
            for position in chosen:
                if held[position].releasable_bytes:
                    holders[position].make_room()
        finally:
            self._making_room = False
