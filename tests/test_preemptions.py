"""Test the report of runs that were preempted for urgent jobs."""

import cappa
from test_lateness import make_line

from hickorywing.preemptions import collect_claims
from hickorywing.preemptions import format_claims
from hickorywing.ui import ExitCode
from hickorywing.ui import Hickorywing
from hickorywing.ui import run_command


def make_placed(second: float, job: str, run: int, *workers: str) -> str:
    return make_line(
        second,
        "run placed",
        job=job,
        step=0,
        first=0,
        run=run,
        workers=workers,
    )


def make_preempted(second: float, job: str, run: int, winner: str) -> str:
    return make_line(
        second,
        "run preempted",
        job=job,
        step=0,
        first=0,
        run=run,
        gives_way_to=winner,
    )


LINES = [
    make_placed(1.0, "b", 1, "w1"),
    make_placed(1.0, "c", 1, "w2"),
    make_preempted(2.0, "b", 1, "a"),
    make_preempted(2.001, "c", 1, "a"),
    make_placed(2.5, "b", 2, "w3"),
    make_preempted(3.0, "b", 2, "a"),
    make_placed(4.0, "a", 1, "w2", "w3"),
]


class TestClaims:
    """Rounds, victims and useful victims of each claim."""

    def test_second_round_and_useful_victims(self):
        (claim,) = collect_claims(LINES)
        assert len(claim.rounds) == 2
        assert (claim.victims, claim.useful, claim.repeated) == (3, 2, 1)
        assert claim.took_s == 2.0

    def test_never_placed(self):
        (claim,) = collect_claims(LINES[:-1])
        assert claim.took_s is None
        assert "never" in format_claims([claim])[1]

    def test_command_line(self, tmp_path, capsys):
        log = tmp_path / "e1.log"
        log.write_text("\n".join(LINES))
        options = cappa.parse(
            Hickorywing, argv=["explain", "--claims", str(log)]
        )
        assert run_command(options) is ExitCode.DONE
        assert "2.00 s" in capsys.readouterr().out
