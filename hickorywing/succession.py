"""Define how a pool's controller role passes between entries."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass

from hickorywing.poolrows import LeaseRow
from hickorywing.rows import RowExpectation

__all__ = ["NoSuccession", "OfferOutcome", "Succession"]


@dataclass(frozen=True, slots=True)
class OfferOutcome:
    """Result of offering the role to the other entries.

    ``successor`` is the name of an entry that accepted, empty if none did.
    Several may accept; the store lets one of them take over. ``newer_term`` is
    a newer epoch that an entry knows of, else 0. ``vouched`` is true if every
    other entry answered that it can't reach the store and has held no newer
    term.
    """

    successor: str = ""
    newer_term: int = 0
    vouched: bool = False


class Succession(ABC):
    """Passes a pool's role from one entry to another."""

    @abstractmethod
    async def offer(self, epoch: int) -> OfferOutcome:
        """Offer the role to any entry because the store rejects its holder."""

    @abstractmethod
    async def hand_over(self, epoch: int) -> bool:
        """Hand the role to one entry; return whether it accepts.

        The holder does this when it is about to stop.
        """

    @abstractmethod
    async def is_gone(self, lease: LeaseRow) -> bool:
        """Return whether the holder of a lease is certainly gone."""

    @abstractmethod
    def admit(
        self, lease: LeaseRow, vacant: bool
    ) -> tuple[RowExpectation, ...] | None:
        """Return what a takeover must expect, ``None`` if it has to wait.

        ``vacant`` says that the role has no holder to compete with.
        """

    @abstractmethod
    def known_version(self) -> int:
        """Return the store version up to which all other entries are known."""


class NoSuccession(Succession):
    """Asks no other entry; a candidate takes over when the lease expires."""

    async def offer(self, epoch: int) -> OfferOutcome:
        """Return an outcome without a successor."""
        return OfferOutcome()

    async def hand_over(self, epoch: int) -> bool:
        """Return ``False``, as there is nobody to hand the role to."""
        return False

    async def is_gone(self, lease: LeaseRow) -> bool:
        """Return ``False``, as nobody is asked about the holder."""
        return False

    def admit(
        self, lease: LeaseRow, vacant: bool
    ) -> tuple[RowExpectation, ...] | None:
        """Allow every takeover without further expectations."""
        return ()

    def known_version(self) -> int:
        """Return 0, as no other entry is known."""
        return 0
