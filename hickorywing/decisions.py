"""Log decisions and changes of belief: one JSON line each, on standard output.

Writing never waits: what a reader does not take in time is dropped and
counted, and each kind of line has a bound on its rate.
"""

from collections import deque
from dataclasses import dataclass
import os
import sys
import time
from typing import Any

import structlog

from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics

__all__ = ["BoundedOutput", "DecisionLog"]

# Twice what a busy entry logs of one kind, about 0.2 % of a core.
LINES_PER_S = 50
BURST_LINES = 200
BUFFERED_LINES = 500


class BoundedOutput:
    """A file descriptor that is written without ever waiting for it."""

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, or keep it until the reader has room."""
        if len(self._waiting) >= BUFFERED_LINES:
            self.dropped += 1
            return
        self._waiting.append(line)
        self.flush()

    def flush(self) -> None:
        """Write what is waiting, as far as the reader has room."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has gone; nobody could read a report of it.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()


@dataclass(slots=True)
class Allowance:
    """What one kind of line may still write."""

    lines: float
    filled_s: float
    dropped: int = 0


class DecisionLog:
    """The log of one process."""

    def __init__(
        self,
        process: str,
        role: str,
        metrics: Metrics,
        output: BoundedOutput | None = None,
    ) -> None:
        self._metrics = metrics
        self._allowances: dict[str, Allowance] = {}
        self._output = output or BoundedOutput(sys.stdout.fileno())
        self._logger = structlog.wrap_logger(
            LineSink(self._output),
            processors=[
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.JSONRenderer(separators=(",", ":")),
            ],
            wrapper_class=structlog.BoundLogger,
            process=process,
            role=role,
        )

    def write(self, event: LogEvent, **facts: Any) -> None:
        """Log one event, unless its kind has used up its rate."""
        allowance = self._refill(event)
        if allowance.lines < 1:
            allowance.dropped += 1
            self._metrics.count("log_lines_dropped", event=event)
            return
        allowance.lines -= 1
        if allowance.dropped:
            facts["dropped_before"] = allowance.dropped
            allowance.dropped = 0
        self._logger.info(event, **facts)

    def _refill(self, event: str) -> Allowance:
        now = time.monotonic()
        allowance = self._allowances.get(event)
        if allowance is None:
            allowance = Allowance(BURST_LINES, now)
            self._allowances[event] = allowance
        elapsed = now - allowance.filled_s
        allowance.filled_s = now
        allowance.lines = min(
            BURST_LINES, allowance.lines + elapsed * LINES_PER_S
        )
        return allowance


class LineSink:
    """What structlog hands its rendered lines to."""

    def __init__(self, output: BoundedOutput) -> None:
        self._output = output

    def msg(self, line: str) -> None:
        """Write one line."""
        self._output.write(line.encode("utf-8") + b"\n")

    info = msg
