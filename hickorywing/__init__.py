"""Schedule multi-accelerator jobs under customer guarantees."""

from hickorywing.errors import HickorywingError
from hickorywing.errors import InvariantViolation
from hickorywing.errors import UserError

__all__ = ["HickorywingError", "InvariantViolation", "UserError"]
__version__ = "0.1.0"
