"""Encode and decode the row with what a pool's finished runs have shown.

The next holder of the role continues with these estimates. The row has a size
limit, so the kinds of step that were used least recently are left out.
"""

from collections.abc import Iterable
from typing import Annotated

import msgspec

from hickorywing.policy.logsketch import LogSketch
from hickorywing.policy.logsketch import MAX_BIN
from hickorywing.policy.logsketch import MIN_BIN
from hickorywing.policy.runtimes import FADING
from hickorywing.policy.runtimes import MAX_QUEUES
from hickorywing.policy.runtimes import QueueRunTimes
from hickorywing.policy.runtimes import RunTimes
from hickorywing.policy.runtimes import Source
from hickorywing.policy.runtimes import SourceError
from hickorywing.policy.runtimes import TAIL_FADING
from hickorywing.poolrows import decode_row

__all__ = ["MAX_ROW_BYTES", "decode_run_times", "encode_run_times"]

MAX_ROW_BYTES = 8_000
# Weights are stored in this unit.
WEIGHT_UNIT = 0.01
# No sketch reaches this weight.
MAX_WEIGHT = 1_000_000

Bin = Annotated[int, msgspec.Meta(ge=MIN_BIN, le=MAX_BIN)]
Weight = Annotated[int, msgspec.Meta(ge=1, le=MAX_WEIGHT)]
Sketch = Annotated[
    list[tuple[Bin, Weight]], msgspec.Meta(max_length=MAX_BIN - MIN_BIN + 1)
]
Name = Annotated[str, msgspec.Meta(max_length=500)]
Error = Annotated[float, msgspec.Meta(ge=0, le=100)]
Steps = Annotated[float, msgspec.Meta(gt=0, le=1000)]


class QueueRow(msgspec.Struct, array_like=True):
    """The run times of one queue; ``errors`` has pairs of error and steps."""

    queue: Name
    works: Sketch
    ratios: Sketch
    deviations: Sketch
    errors: dict[str, tuple[Error, Steps]]


class RunTimesRow(msgspec.Struct):
    """The run times of queues and of kinds, the last used ones last."""

    queues: Annotated[list[QueueRow], msgspec.Meta(max_length=MAX_QUEUES)]
    kinds: dict[Name, Sketch] = {}


def encode_run_times(run_times: RunTimes) -> bytes:
    """Return the row's value."""
    queues: list[QueueRow] = []
    kinds: dict[str, Sketch] = {}
    left = MAX_ROW_BYTES - len(encode(RunTimesRow([])))
    for name, found in reversed(run_times.queues.items()):
        row = QueueRow(
            name,
            encode_sketch(found.works),
            encode_sketch(found.ratios),
            encode_sketch(found.deviations),
            {
                source.value: (round(error.value, 3), round(error.steps, 1))
                for source, error in found.errors.items()
            },
        )
        left -= len(encode(row))
        if left < 0:
            break
        queues.insert(0, row)
    for name, works in reversed(run_times.kinds.items()):
        sketch = encode_sketch(works)
        left -= len(encode({name: sketch}))
        if left < 0:
            break
        kinds[name] = sketch
    row = RunTimesRow(queues, dict(reversed(kinds.items())))
    return encode(row)


def decode_run_times(value: bytes) -> RunTimes:
    """Return the run times in a row; raise ``RowUnreadable``."""
    row = decode_row(value, RunTimesRow)
    run_times = RunTimes()
    for item in row.queues:
        queue = QueueRunTimes(
            decode_sketch(FADING, item.works),
            decode_sketch(FADING, item.ratios),
            decode_sketch(TAIL_FADING, item.deviations),
        )
        for source in Source:
            # An earlier build may know fewer sources than a later one.
            if source in item.errors:
                error, steps = item.errors[source]
                queue.errors[source] = SourceError(error, steps)
        run_times.queues[item.queue] = queue
    for digest, sketch in row.kinds.items():
        run_times.kinds[digest] = decode_sketch(FADING, sketch)
    return run_times


def encode(value: object) -> bytes:
    """Return a value as MessagePack."""
    return msgspec.msgpack.encode(value)


def encode_sketch(sketch: LogSketch) -> Sketch:
    """Return the bins of a sketch with their weights."""
    return [
        (number, round(weight / WEIGHT_UNIT))
        for number, weight in sketch.list_weights()
        if weight >= WEIGHT_UNIT
    ]


def decode_sketch(fading: float, bins: Iterable[tuple[int, int]]) -> LogSketch:
    """Return the sketch with these bins."""
    return LogSketch(
        fading, ((number, weight * WEIGHT_UNIT) for number, weight in bins)
    )
