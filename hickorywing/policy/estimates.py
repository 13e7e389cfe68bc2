"""Correct declared run times by the customer's earlier jobs."""

from dataclasses import dataclass
import math

__all__ = ["RunTimeEstimates"]

LEARNING_RATE = 0.15
MAX_LOG_FACTOR = 4.0


@dataclass(slots=True)
class CustomerEstimate:
    """Mean logarithm of the ratio of actual to declared run time."""

    log_factor: float = 0.0
    samples: int = 0


class RunTimeEstimates:
    """The run time corrections of all customers.

    A correction affects only the order of work, no guarantee or limit.
    """

    def __init__(self) -> None:
        self._customers: dict[str, CustomerEstimate] = {}

    def observe(self, customer: str, declared_s: float, ran_s: float) -> None:
        """Update a customer's correction from one finished job."""
        if declared_s <= 0 or ran_s <= 0:
            return
        estimate = self._customers.setdefault(customer, CustomerEstimate())
        estimate.samples += 1
        rate = max(LEARNING_RATE, 1.0 / estimate.samples)
        log_ratio = math.log(ran_s / declared_s)
        log_ratio = max(-MAX_LOG_FACTOR, min(MAX_LOG_FACTOR, log_ratio))
        estimate.log_factor += rate * (log_ratio - estimate.log_factor)

    def correct(self, customer: str, declared_s: float) -> float:
        """Return the expected run time of a job, in seconds."""
        estimate = self._customers.get(customer)
        if estimate is None:
            return declared_s
        return declared_s * math.exp(estimate.log_factor)
