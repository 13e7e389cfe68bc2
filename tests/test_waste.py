"""Test the report of wasted work from the logs."""

import cappa
import pytest

from hickorywing.errors import UserError
from hickorywing.ui import ExitCode
from hickorywing.ui import Hickorywing
from hickorywing.ui import run_command
from hickorywing.waste import format_waste
from hickorywing.waste import sum_waste

LINE_START = '{"process":"e1","timestamp":"2026-01-01T00:00:01+00:00",'


def make_end_line(
    how: str, stopping: str, took_s: float, saves: bool = False
) -> str:
    return (
        LINE_START + f'"event":"run ended","task":"a.0.0.0","how":"{how}",'
        f'"stopping":"{stopping}","took_s":{took_s},"cores":10.0,'
        f'"saves":{str(saves).lower()}}}'
    )


LINES = [
    make_end_line("done", "", 9.0),
    make_end_line("failed", "", 9.0),
    make_end_line("stopped", "gives way to b", 2.0),
    make_end_line("stopped", "gives way to b", 3.0, saves=True),
    make_end_line("broken", "gives way to b", 1.0),
    make_end_line("lapsed", "", 4.0, saves=True),
    make_end_line("stopped", "job cancelled", 0.5),
    "no line",
]


class TestWaste:
    """Runs that end before they are done are counted by cause."""

    def test_by_cause(self):
        by_cause = sum_waste(LINES)
        assert list(by_cause) == [
            "lease ran out",
            "gave way to urgent work",
            "job cancelled",
        ]
        gave_way = by_cause["gave way to urgent work"]
        assert gave_way.runs == 3
        assert gave_way.lost == 30.0
        assert gave_way.saved == 30.0

    def test_work_of_an_expired_lease_is_lost_despite_checkpoints(self):
        assert sum_waste(LINES)["lease ran out"].lost == 40.0

    def test_text_ends_with_the_sum(self):
        last = format_waste(sum_waste(LINES))[-1]
        assert last.split() == ["all", "5", "75", "30"]

    def test_command_line(self, tmp_path, capsys):
        log = tmp_path / "e1.log"
        log.write_text("\n".join(LINES))
        picture = tmp_path / "waste.png"
        arguments = ["explain", "--waste", "--png", str(picture), str(log)]
        options = cappa.parse(Hickorywing, argv=arguments)
        assert run_command(options) is ExitCode.DONE
        assert "gave way to urgent work" in capsys.readouterr().out
        assert picture.read_bytes().startswith(b"\x89PNG")

    def test_command_line_without_a_job(self):
        options = cappa.parse(Hickorywing, argv=["explain"])
        with pytest.raises(UserError):
            run_command(options)
