"""Test the decision log: its lines, rate limits and non-blocking output."""

import os
import time

from poolhelpers import RecordedLog

from hickorywing.decisions import BoundedOutput
from hickorywing.decisions import BUFFERED_BYTES
from hickorywing.decisions import BUFFERED_LINES
from hickorywing.decisions import BURST_LINES
from hickorywing.decisions import DecisionLog
from hickorywing.metrics import Metrics

LONG_FACT = "x" * 2000


def make_log(output) -> DecisionLog:
    return DecisionLog("e1", "entry", Metrics("e1"), output)


class TestLines:
    """Lines have common fields and their own, and a limited rate."""

    def test_facts(self):
        output = RecordedLog()
        make_log(output).write("run placed", job="j1", workers=("w1",))
        (line,) = output.lines
        assert line["event"] == "run placed"
        assert line["process"] == "e1"
        assert line["workers"] == ["w1"]
        assert "timestamp" in line

    def test_rate_of_one_kind_is_bounded(self):
        output = RecordedLog()
        log = make_log(output)
        for _ in range(BURST_LINES * 3):
            log.write("refused", reason="unknown key")
        log.write("role taken", epoch=2)
        kinds = [line["event"] for line in output.lines]
        assert BURST_LINES <= kinds.count("refused") < BURST_LINES * 1.5
        assert kinds.count("role taken") == 1

    def test_next_line_counts_what_was_dropped(self):
        output = RecordedLog()
        log = make_log(output)
        for _ in range(BURST_LINES + 40):
            log.write("refused")
        time.sleep(0.1)
        log.write("refused")
        assert output.lines[-1]["dropped_before"] > 0


class TestFullPipe:
    """A reader that stops reading never blocks the process."""

    def test_write_never_blocks(self):
        reader, writer = os.pipe()
        output = BoundedOutput(writer)
        began = time.monotonic()
        line = LONG_FACT.encode() + b"\n"
        for _ in range(10 * BUFFERED_LINES):
            output.write(line)
        assert time.monotonic() - began < 2.0
        assert output.dropped > 0
        os.close(reader)
        os.close(writer)

    def test_long_lines_are_bounded_by_their_bytes(self):
        reader, writer = os.pipe()
        output = BoundedOutput(writer)
        for _ in range(BUFFERED_LINES):
            output.write(b"x" * 65_536)
        assert sum(map(len, output._buffer)) <= BUFFERED_BYTES
        assert output.dropped > 0
        os.close(reader)
        os.close(writer)

    def test_long_texts_of_clients_are_cut(self):
        output = RecordedLog()
        make_log(output).write("refused", path="/" * (4 << 20))
        assert len(output.lines[0]["path"]) <= 20_000

    def test_lines_stay_whole_when_the_reader_goes_on(self):
        reader, writer = os.pipe()
        output = BoundedOutput(writer)
        for number in range(60):
            output.write(b"%d " % number + LONG_FACT.encode() + b"\n")
        received = b""
        while received.count(b"\n") < 60:
            received += os.read(reader, 4096)
            output.flush()
        numbers = [
            int(text.split()[0]) for text in received.splitlines() if text
        ]
        assert numbers == list(range(60))
        os.close(reader)
        os.close(writer)

    def test_reader_that_has_gone(self):
        reader, writer = os.pipe()
        os.close(reader)
        output = BoundedOutput(writer)
        output.write(b"lost\n")
        assert output.dropped == 1
        os.close(writer)
