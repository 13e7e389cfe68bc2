"""The base classes of the exceptions that the package raises."""

__all__ = ["HickorywingError", "InvariantViolation", "UserError"]


class HickorywingError(Exception):
    """Base of all exceptions that the package raises itself."""


class UserError(HickorywingError):
    """Raised for an error that the user can correct.

    It is shown without a traceback.
    """


class InvariantViolation(HickorywingError):  # noqa: N818
    """Raised if a property that must always hold is violated.

    The state that violates it must not be used any further. Daemons count the
    violation, record it in the timeline and step down from the role in which
    it was found.
    """
