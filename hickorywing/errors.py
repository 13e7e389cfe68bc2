"""The one family of exceptions that the package raises."""

__all__ = ["HickorywingError", "InvariantViolation", "UserError"]


class HickorywingError(Exception):
    """Base of every exception that the package raises on purpose."""


class UserError(HickorywingError):
    """Reports something that the user can mend; shown without a traceback."""


class InvariantViolation(HickorywingError):  # noqa: N818
    """Reports that a property which must always hold did not hold.

    The state that broke it must not be used any further: daemons count the
    event, put it on the time line and give up the role that found it.
    """
