"""Counters, gauges and latency histograms in aioprometheus."""

from collections.abc import Iterator
import contextlib
import time

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Histogram
from aioprometheus import Registry
from aioprometheus.formats import text

__all__ = ["Metrics"]

PREFIX = "hickorywing_"

# From the time of one call to the store up to the longest time bound of a
# deployment.
LATENCY_BUCKETS_S = (
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0
)  # fmt: skip


class Metrics:
    """The metrics of one process; each is created on first use."""

    def __init__(self, process: str) -> None:
        self.registry = Registry()
        self._labels = {"process": process}
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, **labels: str) -> None:
        """Add one to a counter."""
        self.add(name, 1, **labels)

    def add(self, name: str, amount: float, **labels: str) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(
                f"{PREFIX}{name}_total",
                name.replace("_", " "),
                registry=self.registry,
            )
            self._counters[name] = counter
        counter.add({**self._labels, **labels}, amount)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                f"{PREFIX}{name}",
                name.replace("_", " "),
                buckets=list(LATENCY_BUCKETS_S),
                registry=self.registry,
            )
            self._histograms[name] = histogram
        histogram.observe({**self._labels, **labels}, seconds)

    @contextlib.contextmanager
    def time(self, name: str, **labels: str) -> Iterator[None]:
        """Add the duration of a block to a histogram."""
        started = time.monotonic()
        try:
            yield
        finally:
            self.observe(name, time.monotonic() - started, **labels)

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                f"{PREFIX}{name}",
                name.replace("_", " "),
                registry=self.registry,
            )
            self._gauges[name] = gauge
        gauge.set(self._labels, value)

    def value(self, name: str) -> float:
        """Return the value of a counter, 0 if it was never counted."""
        counter = self._counters.get(name)
        return 0.0 if counter is None else counter.get(self._labels)

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return text.TextFormatter().marshall(self.registry)
