"""Hold a role by a lease row whose clock is the observer's own.

The row carries the holder and an epoch. A candidate takes over only after it
has seen the row's version stand still for a whole TTL on its own monotonic
clock; no wall clock is compared between machines. A holder counts its lease
from the moment it *sent* the renewal that took effect, and acts only while
that moment is less than a TTL ago.
"""

from dataclasses import dataclass

__all__ = ["LeaseHolder", "LeaseRow", "LeaseWrite"]

LEASE_TTL_S = 6.0
RENEW_EVERY_S = 2.0


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """The lease as the table has it; version 0 when the row is absent."""

    holder: str | None
    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class LeaseWrite:
    """A conditional write of the lease row that the caller must try."""

    holder: str
    epoch: int
    expected_version: int
    sent_at: float


class LeaseHolder:
    """One candidate for one role."""

    def __init__(self, name: str, ttl_s: float = LEASE_TTL_S) -> None:
        self.name = name
        self.ttl_s = ttl_s
        self.epoch = 0
        self.version = 0
        self._seen: LeaseRow | None = None
        self._still_since = 0.0
        self._valid_from: float | None = None

    def holds(self, now: float) -> bool:
        """Tell whether the lease is surely held at ``now`` seconds."""
        if self._valid_from is None:
            return False
        return now - self._valid_from < self.ttl_s

    def observe(self, row: LeaseRow, now: float) -> None:
        """Take in the row as just read."""
        if self._seen is None or row.version != self._seen.version:
            self._seen = row
            self._still_since = now
        if self._valid_from is not None and row.epoch > self.epoch:
            self._valid_from = None

    def next_write(self, now: float) -> LeaseWrite | None:
        """Return the write that is due, or ``None``."""
        if self._valid_from is not None:
            if now - self._valid_from < RENEW_EVERY_S:
                return None
            return LeaseWrite(self.name, self.epoch, self.version, now)
        seen = self._seen
        if seen is None:
            return None
        vacant = seen.holder is None
        if not vacant and now - self._still_since < self.ttl_s:
            return None
        return LeaseWrite(self.name, seen.epoch + 1, seen.version, now)

    def written(self, write: LeaseWrite, version: int) -> None:
        """Note that a write took effect as the given row version."""
        self.epoch = write.epoch
        self.version = version
        self._valid_from = write.sent_at
        self._seen = LeaseRow(write.holder, write.epoch, version)

    def refused(self, now: float) -> None:
        """Note that another holder's write came first."""
        self._valid_from = None
        self._seen = None
        self._still_since = now

    def release(self) -> None:
        """Stop holding the role."""
        self._valid_from = None
        self._seen = None
