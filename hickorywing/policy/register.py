"""Track the newest configuration that a process knows.

Configurations are ordered by one version number, and a process never returns
to an older one. It keeps the highest that it received from any source, with
the time of the last confirmation against the table, its own or that of another
process. Without a recent confirmation it must start nothing.
"""

from dataclasses import dataclass

from hickorywing.errors import InvariantViolation

__all__ = [
    "ACCEPT_WITHIN_S",
    "CONFIRMED_FOR_S",
    "ConfigurationHead",
    "ConfigurationRegister",
    "confirmation_wait_s",
]

# Starts are allowed this long after a confirmation.
CONFIRMED_FOR_S = 9.0
# An accepted change is in force everywhere this long after its acceptance.
ACCEPT_WITHIN_S = 2.0


@dataclass(frozen=True, slots=True)
class ConfigurationHead:
    """The part of a configuration that every process needs.

    ``zones_out`` are the zones out of service. The inventory and the rules are
    documents that are read by their own version numbers.
    """

    version: int
    zones_out: frozenset[str] = frozenset()
    draining: frozenset[str] = frozenset()
    inventory_version: int = 0
    rules_version: int = 0


class ConfigurationRegister:
    """The newest configuration that a process knows, and its age."""

    def __init__(self, confirmed_for_s: float = CONFIRMED_FOR_S) -> None:
        self.head = ConfigurationHead(0)
        self.confirmed_for_s = confirmed_for_s
        self._confirmed_at: float | None = None

    def adopt(self, head: ConfigurationHead, confirmed_at: float) -> bool:
        """Adopt a head unless a newer one is known.

        ``confirmed_at`` is a local time, in seconds, at which the table is
        known to have had this head: for a read, the time it was sent. Return
        whether the head is newer than the one known before.
        """
        if head.version < self.head.version:
            return False
        if head.version == self.head.version and head != self.head:
            raise InvariantViolation(
                f"two configurations have version {head.version}"
            )
        known = self._confirmed_at
        if known is None or confirmed_at > known:
            self._confirmed_at = confirmed_at
        if head.version == self.head.version:
            return False
        self.head = head
        return True

    def is_confirmed(self, now: float) -> bool:
        """Return whether the last confirmation is recent enough to start."""
        if self._confirmed_at is None:
            return False
        return now - self._confirmed_at <= self.confirmed_for_s

    def confirmed_ago(self, now: float) -> float:
        """Return the seconds since the last confirmation, or infinity."""
        if self._confirmed_at is None:
            return float("inf")
        return now - self._confirmed_at

    def allows_start(self, zone: str, now: float) -> bool:
        """Return whether a task may start in the zone at ``now`` seconds."""
        return self.is_confirmed(now) and zone not in self.head.zones_out


def confirmation_wait_s(confirmed_for_s: float = CONFIRMED_FOR_S) -> float:
    """Return the seconds to wait for processes that do not confirm a change.

    A process that does not know that a zone was taken out may start tasks
    there until its last confirmation is ``confirmed_for_s`` old. That counts
    from a read sent before the change was committed, so no task starts there
    later than ``confirmed_for_s`` after the commit. If the change is reported
    as accepted after the wait returned here, it is in force
    ``ACCEPT_WITHIN_S`` later at the latest.
    """
    return max(0.0, confirmed_for_s - ACCEPT_WITHIN_S)
