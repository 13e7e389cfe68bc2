"""Adopt configuration versions in order and never go back.

One number orders all configurations. A process keeps the highest it has heard
from any source, and knows since when it last confirmed it against the table
or another process that did; without a recent confirmation it must start
nothing.
"""

from dataclasses import dataclass

from hickorywing.errors import InvariantViolation

__all__ = [
    "ACCEPT_WITHIN_S",
    "CONFIRMED_FOR_S",
    "ConfigurationHead",
    "ConfigurationRegister",
    "silence_to_wait_s",
]

CONFIRMED_FOR_S = 9.0
ACCEPT_WITHIN_S = 2.0


@dataclass(frozen=True, slots=True)
class ConfigurationHead:
    """The small part of a configuration that every process needs."""

    version: int
    zones_out: frozenset[str] = frozenset()
    draining: frozenset[str] = frozenset()
    inventory_version: int = 0
    rules_version: int = 0


class ConfigurationRegister:
    """The highest configuration one process knows."""

    def __init__(self, confirmed_for_s: float = CONFIRMED_FOR_S) -> None:
        self.head = ConfigurationHead(0)
        self.confirmed_for_s = confirmed_for_s
        self._confirmed_at: float | None = None

    def adopt(self, head: ConfigurationHead, confirmed_at: float) -> bool:
        """Adopt a head unless a higher one is known; tell if it is new.

        ``confirmed_at`` is the local time, in seconds, by which the table
        surely still had this head: for a read that is when it was sent.
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
        """Tell whether the head was confirmed recently enough to start."""
        if self._confirmed_at is None:
            return False
        return now - self._confirmed_at <= self.confirmed_for_s

    def confirmed_ago(self, now: float) -> float:
        """Return the seconds since the last confirmation."""
        if self._confirmed_at is None:
            return float("inf")
        return now - self._confirmed_at

    def allows_start(self, zone: str, now: float) -> bool:
        """Tell whether a task may start in the zone at ``now`` seconds."""
        return self.is_confirmed(now) and zone not in self.head.zones_out


def silence_to_wait_s(confirmed_for_s: float = CONFIRMED_FOR_S) -> float:
    """Return how long to wait for processes that do not confirm a change.

    A process that has not heard of a zone's change may start tasks there
    until its last confirmation is ``confirmed_for_s`` old, counted from a
    read sent before the change. A change reported as accepted this long after
    its commit is in force ``ACCEPT_WITHIN_S`` later at the latest.
    """
    return max(0.0, confirmed_for_s - ACCEPT_WITHIN_S)
