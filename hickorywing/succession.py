"""What the holder of a pool's role needs of the other entries."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass

from hickorywing.jobrows import LeaseRow
from hickorywing.rows import RowExpectation

__all__ = ["NoSuccession", "OfferOutcome", "Succession"]


@dataclass(frozen=True, slots=True)
class OfferOutcome:
    """What came of offering the role to the other entries.

    ``successor`` accepted it, perhaps beside others, of which one takes it;
    ``newer_term`` is one that somebody knows of.
    ``vouched`` tells that no entry reaches the store or held a newer term, by
    the answers of all of them.
    """

    successor: str = ""
    newer_term: int = 0
    vouched: bool = False


class Succession(ABC):
    """How a pool's role passes from one entry to another."""

    @abstractmethod
    async def offer(self, epoch: int) -> OfferOutcome:
        """Offer a term to any entry, as the store turns its holder away."""

    @abstractmethod
    async def pass_on(self, epoch: int) -> bool:
        """Hand a term to one entry at a planned stop; tell if it accepts."""

    @abstractmethod
    async def is_gone(self, lease: LeaseRow) -> bool:
        """Tell whether the holder of a lease is surely away."""

    @abstractmethod
    def admit(
        self, lease: LeaseRow, vacant: bool
    ) -> tuple[RowExpectation, ...] | None:
        """Return what a takeover expects, ``None`` while it has to wait.

        Where the role is ``vacant`` there is no holder to compete with.
        """

    @abstractmethod
    def known_version(self) -> int:
        """Return the store's version up to which all entries are known."""


class NoSuccession(Succession):
    """Leaves the role to whoever finds that its lease has run out."""

    async def offer(self, epoch: int) -> OfferOutcome:
        """Offer a term to nobody."""
        return OfferOutcome()

    async def pass_on(self, epoch: int) -> bool:
        """Hand a term to nobody."""
        return False

    async def is_gone(self, lease: LeaseRow) -> bool:
        """Take nobody for gone."""
        return False

    def admit(
        self, lease: LeaseRow, vacant: bool
    ) -> tuple[RowExpectation, ...] | None:
        """Let anybody take over."""
        return ()

    def known_version(self) -> int:
        """Know of no other entry."""
        return 0
