"""Define the results of a transaction other than a conflict."""

from dataclasses import dataclass

__all__ = ["Committed", "Refused", "Rejected", "Unknown"]


@dataclass(frozen=True, slots=True)
class Committed:
    """The writes took effect, all with the version ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing was written, because the store is not serving."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """Nothing was written, and a repetition will not be either.

    The store says that the transaction is invalid, such as one that exceeds a
    limit.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The answer was lost; the writes may have taken effect.

    ``store_reads`` is true if the store meanwhile answered a read that did not
    show the writes.
    """

    store_reads: bool = False
