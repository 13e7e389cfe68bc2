"""What the connections of one listener share: their limits and their order."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from hickorywing.clientlimits import ClientLimits
from hickorywing.clientlimits import RequestLimits
from hickorywing.clientmemory import ClientMemory
from hickorywing.policy.clientroom import ConnectionOrder

if TYPE_CHECKING:
    from hickorywing.webconnection import Connection

__all__ = ["Listener"]

# Connections beyond the limit that are open for a moment, so that their
# clients see why they were refused.
MAX_REFUSED_CONNECTIONS = 32


class Listener:
    """The limits of one listener, and its connections.

    ``report`` is called with the reason whenever a client is refused or its
    connection closed. ``find_configured`` returns the limits of the
    configuration, which raise those of the settings. ``memory`` is shared by
    all listeners of the process.
    """

    def __init__(
        self,
        limits: ClientLimits,
        memory: ClientMemory,
        report: Callable[[str], None],
        find_configured: Callable[[], RequestLimits | None],
    ) -> None:
        self.limits = limits
        self.memory = memory
        self.report = report
        self._find_configured = find_configured
        self._connections: ConnectionOrder[Connection] = ConnectionOrder()
        self._refused_connections = 0

    @property
    def held_bytes(self) -> int:
        """Return what all clients of the process hold."""
        return self.memory.held_bytes

    def is_head_too_large(self, size: int) -> bool:
        """Return whether that many bytes exceed the limit of a head."""
        if size <= self.limits.head_bytes:
            return False
        configured = self._find_configured()
        return configured is None or size > configured.header_bytes

    def is_body_too_large(self, size: int) -> bool:
        """Return whether that many bytes exceed the limit of a body."""
        if size <= self.limits.body_bytes:
            return False
        configured = self._find_configured()
        return configured is None or size > configured.body_bytes

    def add(self, connection: "Connection") -> bool:
        """Add a connection, or return that there is no room for it.

        The first connection that may give way makes room.
        """
        if len(self._connections) >= self.limits.connections:
            idle = self._connections.find(lambda found: found.is_idle())
            if idle is None:
                return False
            self.report("too many connections")
            idle.drop()
        self._connections.add(connection)
        return True

    def add_refused(self) -> bool:
        """Count a connection beyond the limit; return whether it may stay."""
        if self._refused_connections >= MAX_REFUSED_CONNECTIONS:
            return False
        self._refused_connections += 1
        return True

    def remove_refused(self) -> None:
        """Forget a connection that was counted by ``add_refused``."""
        self._refused_connections -= 1

    def note_served(self, connection: "Connection") -> None:
        """Record that a client got an answer."""
        self._connections.note_served(connection)

    def note_refused(self, connection: "Connection") -> None:
        """Record that a client was refused."""
        self._connections.note_refused(connection)

    def remove(self, connection: "Connection") -> None:
        """Forget a connection."""
        if connection in self._connections:
            self._connections.remove(connection)

    def sweep(self, now_s: float) -> None:
        """Close the connections that have used up their time."""
        for connection in self._connections.list():
            connection.check_time(now_s)
