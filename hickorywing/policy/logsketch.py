"""Estimate quantiles of positive values from a small sketch of them.

A sketch counts values in bins of equal width on a logarithmic scale. Earlier
values fade, so that the sketch follows a change. Several values in a row that
are far from the others show a sudden change, after which the earlier ones
nearly vanish at once. A single such value stays in the tail of the sketch and
moves its median hardly at all.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import math

__all__ = ["LogSketch", "PendingValues", "find_bin", "get_bin_value"]

# Relative width of a bin, as a logarithm.
BIN_WIDTH = 0.1
# The bins of the smallest and the largest value, 0.01 s and 115 days.
MIN_BIN = -46
MAX_BIN = 161
# A bin that has faded to less than this is dropped.
MIN_WEIGHT = 0.02
# This many values in a row show a change if each is farther from the median
# than the factor, on the same side, and fewer than the share of the earlier
# values are as far out.
CHANGE_VALUES = 3
MIN_CHANGE = math.log(2.5)
MAX_SHARE_BEYOND = 0.15
# What remains of the weight of earlier values after a change.
KEPT_AFTER_CHANGE = 0.05


def find_bin(value: float) -> int:
    """Return the bin of a positive value, the nearest one beyond the range."""
    return max(MIN_BIN, min(MAX_BIN, round(math.log(value) / BIN_WIDTH)))


def get_bin_value(number: float) -> float:
    """Return the value in the middle of a bin."""
    return math.exp(number * BIN_WIDTH)


@dataclass(slots=True)
class PendingValues:
    """The weights of the bins of values that aren't final yet.

    Those in ``expected`` have been extrapolated; of those in ``at_least``,
    only a lower limit is known.
    """

    expected: Counter[int] = field(default_factory=Counter)
    at_least: Counter[int] = field(default_factory=Counter)


NOTHING_PENDING = PendingValues()


class LogSketch:
    """The weights of the bins of a sketch.

    ``fading`` is the factor by which each new value of weight 1 reduces the
    weight of the earlier ones.
    """

    def __init__(
        self, fading: float, weights: Iterable[tuple[int, float]] = ()
    ) -> None:
        self._fading = fading
        self._weights = dict(weights)
        # The last values, while all of them are far from the median.
        self._far_values: list[int] = []
        self._far_side = 0
        self._quantiles: dict[float, float] = {}

    @property
    def weight(self) -> float:
        """Return the total weight of the values."""
        return sum(self._weights.values())

    def list_weights(self) -> Iterator[tuple[int, float]]:
        """Return the bins in use with their weights, in order."""
        return iter(sorted(self._weights.items()))

    def add(self, value: float, weight: float = 1.0) -> None:
        """Add a positive value."""
        number = find_bin(value)
        self._fade(self._fading**weight)
        if weight >= 1:
            self._detect_change(number)
        self._weights[number] = self._weights.get(number, 0.0) + weight
        self._quantiles.clear()

    def compute_quantile(
        self, share: float, pending: "PendingValues | None" = None
    ) -> float:
        """Return the value that a share of all values doesn't exceed.

        The sketch must not be empty.
        """
        if pending is not None:
            return get_bin_value(self._find_quantile(share, pending))
        if share not in self._quantiles:
            self._quantiles[share] = get_bin_value(self._find_quantile(share))
        return self._quantiles[share]

    def compute_median_beyond(self, value: float) -> float | None:
        """Return the median of the values above one, if there are any."""
        number = math.log(value) / BIN_WIDTH
        beyond = {
            item: weight
            for item, weight in self._weights.items()
            if item > number
        }
        left = sum(beyond.values()) / 2
        for item in sorted(beyond):
            left -= beyond[item]
            if left <= 0:
                return get_bin_value(item)
        return None

    def _fade(self, factor: float) -> None:
        self._weights = {
            number: weight * factor
            for number, weight in self._weights.items()
            if weight * factor >= MIN_WEIGHT
        }

    def _detect_change(self, number: int) -> None:
        """Reduce the weight of the earlier values if they seem outdated."""
        total = self.weight
        if total <= 0:
            return
        distance = number - self._find_quantile(0.5)
        side = 1 if distance > 0 else -1
        if self._far_values and self._far_side != side:
            self._far_values.clear()
        beyond = sum(
            weight
            for other, weight in self._weights.items()
            if (other - number) * side >= 0
        )
        earlier = beyond - len(self._far_values)
        if (
            abs(distance) * BIN_WIDTH < MIN_CHANGE
            or earlier > MAX_SHARE_BEYOND * total
        ):
            self._far_values.clear()
            return
        self._far_side = side
        self._far_values.append(number)
        if len(self._far_values) >= CHANGE_VALUES:
            self._fade(KEPT_AFTER_CHANGE)
            for item in self._far_values[:-1]:
                self._weights[item] = self._weights.get(item, 0.0) + 1.0
            self._far_values.clear()

    def _find_quantile(
        self, share: float, pending: PendingValues = NOTHING_PENDING
    ) -> float:
        """Return a quantile as a bin's number, interpolated within the bin.

        This is the estimator of Kaplan and Meier: a value that is only known
        to be above a bin counts among those that remain until that bin.
        """
        known = Counter(self._weights)
        known.update(pending.expected)
        remaining = known.total() + pending.at_least.total()
        share_left = 1.0
        numbers = sorted({*known, *pending.at_least})
        for number in numbers:
            weight = known[number]
            after = share_left * max(0.0, 1 - weight / remaining)
            if weight and 1 - after >= share:
                inside = (share - (1 - share_left)) / (share_left - after)
                return number - 0.5 + min(1.0, max(0.0, inside))
            share_left = after
            remaining -= weight + pending.at_least[number]
        return float(numbers[-1])
