"""Hold a role by a lease row in a table.

The row contains the holder and an epoch. A candidate takes over only after
the row's version has not changed for a whole TTL on the candidate's own
monotonic clock; clocks of different machines are never compared. A holder
counts its lease from the time at which it *sent* the last successful renewal,
and acts only while that is less than a TTL ago.
"""

from dataclasses import dataclass

__all__ = ["LeaseHolder", "LeaseRow", "LeaseWrite"]

LEASE_TTL_S = 6.0
RENEW_EVERY_S = 2.0


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """The lease row as stored; its version is 0 if it does not exist."""

    holder: str | None
    epoch: int
    version: int


@dataclass(frozen=True, slots=True)
class LeaseWrite:
    """A compare-and-set of the lease row, to be executed by the caller."""

    holder: str
    epoch: int
    expected_version: int
    sent_at: float


class LeaseHolder:
    """The lease state of one candidate for one role."""

    def __init__(self, name: str, ttl_s: float = LEASE_TTL_S) -> None:
        self.name = name
        self.ttl_s = ttl_s
        self.epoch = 0
        self.version = 0
        self._seen: LeaseRow | None = None
        self._unchanged_since = 0.0
        self._renewed_at: float | None = None

    def holds(self, now: float) -> bool:
        """Return whether the lease is certainly held at ``now`` seconds."""
        if self._renewed_at is None:
            return False
        return now - self._renewed_at < self.ttl_s

    def observe(self, row: LeaseRow, now: float) -> None:
        """Record the row as just read; a newer epoch ends the lease."""
        if self._seen is None or row.version != self._seen.version:
            self._seen = row
            self._unchanged_since = now
        if self._renewed_at is not None and row.epoch > self.epoch:
            self._renewed_at = None

    def next_write(self, now: float) -> LeaseWrite | None:
        """Return the renewal or takeover that is due, or ``None``."""
        if self._renewed_at is not None:
            if now - self._renewed_at < RENEW_EVERY_S:
                return None
            return LeaseWrite(self.name, self.epoch, self.version, now)
        seen = self._seen
        if seen is None:
            return None
        vacant = seen.holder is None
        if not vacant and now - self._unchanged_since < self.ttl_s:
            return None
        return LeaseWrite(self.name, seen.epoch + 1, seen.version, now)

    def written(self, write: LeaseWrite, version: int) -> None:
        """Record that a write succeeded with the given row version."""
        self.epoch = write.epoch
        self.version = version
        self._renewed_at = write.sent_at
        self._seen = LeaseRow(write.holder, write.epoch, version)

    def refused(self, now: float) -> None:
        """Record that a write was rejected, as another one came first."""
        self._renewed_at = None
        self._seen = None
        self._unchanged_since = now

    def release(self) -> None:
        """Stop holding the lease at once.

        Only if the caller also clears the row can a candidate take over
        without waiting for the TTL.
        """
        self._renewed_at = None
        self._seen = None
