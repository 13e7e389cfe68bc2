"""What the holder of a pool's role needs of the other entries."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass

from hickorywing.jobrows import LeaseRow

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
