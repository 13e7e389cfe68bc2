"""Correct declared run times from what was seen of the same customer."""

from dataclasses import dataclass
import math

__all__ = ["RunTimeEstimates"]

LEARNING_RATE = 0.15
MAX_LOG_FACTOR = 4.0


@dataclass(slots=True)
class CustomerEstimate:
    """Mean logarithm of actual over declared run time."""

    log_factor: float = 0.0
    samples: int = 0


class RunTimeEstimates:
    """Run-time corrections of all customers.

    The correction only ever changes the order of work; no guarantee or limit
    depends on it.
    """

    def __init__(self) -> None:
        self._customers: dict[str, CustomerEstimate] = {}

    def observe(self, customer: str, declared_s: float, ran_s: float) -> None:
        """Learn from one finished job."""
        if declared_s <= 0 or ran_s <= 0:
            return
        known = self._customers.setdefault(customer, CustomerEstimate())
        known.samples += 1
        rate = max(LEARNING_RATE, 1.0 / known.samples)
        seen = math.log(ran_s / declared_s)
        seen = max(-MAX_LOG_FACTOR, min(MAX_LOG_FACTOR, seen))
        known.log_factor += rate * (seen - known.log_factor)

    def correct(self, customer: str, declared_s: float) -> float:
        """Return the expected run time in seconds."""
        known = self._customers.get(customer)
        if known is None:
            return declared_s
        return declared_s * math.exp(known.log_factor)
