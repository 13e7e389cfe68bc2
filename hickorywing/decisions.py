"""Log decisions as JSON lines on standard output, without ever blocking.

If the reader of the output is too slow, lines are dropped and counted, and the
rate of each event is limited.
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

# The rate limit of each event: twice the rate of a busy entry. Lines at this
# rate take about 0.2 % of a core.
LINES_PER_S = 50
BURST_LINES = 200
BUFFERED_LINES = 500
BUFFERED_BYTES = 1 << 20
MAX_FACT_CHARS = 16_384


class BoundedOutput:
    """Writes lines to a file descriptor without blocking.

    Up to ``BUFFERED_LINES`` lines and ``BUFFERED_BYTES`` are buffered while
    the reader is slow; further lines are dropped and counted in ``dropped``.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write a line, or buffer it until the descriptor accepts it."""
        if (
            len(self._buffer) >= BUFFERED_LINES
            or self._buffered_bytes + len(line) > BUFFERED_BYTES
        ):
            self.dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write buffered lines until the descriptor accepts no more."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the error can't be
                # reported there either.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


@dataclass(slots=True)
class TokenBucket:
    """The rate limit of one event.

    ``tokens`` is how many lines may be written now, ``refilled_s`` the
    monotonic time at which they were last refilled, and ``dropped`` counts the
    lines dropped since the last one that was written.
    """

    tokens: float
    refilled_s: float
    dropped: int = 0


class DecisionLog:
    """Logs the decisions of one process."""

    def __init__(
        self,
        process: str,
        role: str,
        metrics: Metrics,
        output: BoundedOutput | None = None,
    ) -> None:
        self._metrics = metrics
        self._buckets: dict[str, TokenBucket] = {}
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
        """Log an event with its fields, unless it exceeds its rate limit.

        The first line after dropped ones has their number in
        ``dropped_before``. Long texts, which may be a client's, are cut.
        """
        bucket = self._refill(event)
        if bucket.tokens < 1:
            bucket.dropped += 1
            self._metrics.count("log_lines_dropped", event=event)
            return
        bucket.tokens -= 1
        if bucket.dropped:
            facts["dropped_before"] = bucket.dropped
            bucket.dropped = 0
        self._logger.info(
            event, **{name: shorten(fact) for name, fact in facts.items()}
        )

    def _refill(self, event: str) -> TokenBucket:
        now = time.monotonic()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = TokenBucket(BURST_LINES, now)
            self._buckets[event] = bucket
        elapsed = now - bucket.refilled_s
        bucket.refilled_s = now
        bucket.tokens = min(BURST_LINES, bucket.tokens + elapsed * LINES_PER_S)
        return bucket


def shorten(fact: Any) -> Any:
    """Return a field of a line, cut if it is a long text."""
    return fact[:MAX_FACT_CHARS] if isinstance(fact, str) else fact


class LineSink:
    """The logger that structlog passes rendered lines to."""

    def __init__(self, output: BoundedOutput) -> None:
        self._output = output

    def msg(self, line: str) -> None:
        """Write a rendered line to the output."""
        self._output.write(line.encode("utf-8") + b"\n")

    info = msg
