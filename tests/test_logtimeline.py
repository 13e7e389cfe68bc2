"""Test the timeline of the logs of all processes."""

import datetime

import pytest

from hickorywing.errors import UserError
from hickorywing.logevents import LogEvent
from hickorywing.loglines import format_line
from hickorywing.logtimeline import draw_timeline
from hickorywing.logtimeline import find_spans
from hickorywing.logtimeline import read_timeline
from hickorywing.uilogs import show_log_timeline

LINE_FORMAT = (
    '{"process":"%s","event":"%s","timestamp":"2026-01-01T00:00:%s+00:00"%s}'
)


def make_line(process: str, event: str, second: str, facts: str = "") -> str:
    return LINE_FORMAT % (process, event, second, facts)


LINES = [
    make_line("e1", "role taken", "03", ',"epoch":2'),
    make_line("e0", "role taken", "01", ',"epoch":1'),
    make_line("e0", "store lost", "02", ',"reason":"silent"'),
    make_line("e0", "role lost", "02.5"),
    make_line("e0", "starting", "04"),
    make_line("v1", "worker silent", "05", ',"worker":"v1/i@1"'),
    make_line("e1", "refused", "06", ',"job":"a"'),
    "no event",
]


def get_seconds(moment: datetime.datetime) -> float:
    return moment.second + moment.microsecond / 1e6


class TestText:
    """Events of all processes are printed in order of time."""

    def test_order(self):
        events = [item.event for item in read_timeline(LINES)]
        assert events[:3] == ["role taken", "store lost", "role lost"]
        assert events[-1] == "refused"

    def test_subject(self):
        (only,) = read_timeline(LINES, "v1/i@1")
        assert format_line(only) == (
            "00:00:05.000  v1             worker silent        worker=v1/i@1"
        )


class TestSpans:
    """A span ends with its event, a restart or the last line."""

    def test_ends(self):
        spans = find_spans(read_timeline(LINES))
        found = {
            (item.process, item.kind): (
                get_seconds(item.begin),
                get_seconds(item.end),
            )
            for item in spans
        }
        assert found == {
            ("e0", LogEvent.ROLE_TAKEN): (1, 2.5),
            ("e0", LogEvent.STORE_LOST): (2, 4),
            ("e1", LogEvent.ROLE_TAKEN): (3, 6),
            ("v1", LogEvent.WORKER_SILENT): (5, 6),
        }


class TestPicture:
    """The drawing is a valid image."""

    def test_png(self, tmp_path, capsys):
        log = tmp_path / "all.log"
        log.write_text("\n".join(LINES))
        picture = tmp_path / "line.png"
        show_log_timeline([str(log)], 2, "", str(picture))
        assert picture.read_bytes().startswith(b"\x89PNG")
        assert len(capsys.readouterr().out.splitlines()) == 2

    def test_nothing_to_draw(self, tmp_path):
        with pytest.raises(UserError):
            draw_timeline([], tmp_path / "line.png")
