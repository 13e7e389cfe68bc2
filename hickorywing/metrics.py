"""Counters and gauges of one process, served by aioprometheus."""

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Registry
from aioprometheus.formats import text

__all__ = ["Metrics"]

PREFIX = "hickorywing_"


class Metrics:
    """The metrics of one process, made on first use."""

    def __init__(self, process: str) -> None:
        self.registry = Registry()
        self._labels = {"process": process}
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self.add(name, 1)

    def add(self, name: str, amount: float) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(
                f"{PREFIX}{name}_total",
                name.replace("_", " "),
                registry=self.registry,
            )
            self._counters[name] = counter
        counter.add(self._labels, amount)

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
        """Return a counter's value, 0 when it never counted."""
        counter = self._counters.get(name)
        return 0.0 if counter is None else counter.get(self._labels)

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return text.TextFormatter().marshall(self.registry)
