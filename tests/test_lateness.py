"""The account of late jobs from the logs."""

import json

import cappa
import pytest

from hickorywing.lateness import account_late
from hickorywing.lateness import format_late
from hickorywing.lateness import sum_phases
from hickorywing.ui import ExitCode
from hickorywing.ui import Hickorywing
from hickorywing.ui import run_command


def line(second: float, event: str, process: str = "e1", **facts) -> str:
    minute, rest = divmod(second, 60)
    stamp = f"2026-01-01T00:{int(minute):02}:{rest:06.3f}+00:00"
    return json.dumps(
        {
            "process": process,
            "role": "entry",
            "event": event,
            "timestamp": stamp,
        }
        | facts
    )


def submitted(second: float, outcome: str = "done", job: str = "a") -> str:
    return line(
        second,
        "job submitted",
        job=job,
        outcome=outcome,
        took_s=0.01,
        priority=0,
        stretch=1.5,
        latency_target_s=0.25,
    )


def placed(second: float, run: int, waited_s: float, job: str = "a") -> str:
    return line(
        second,
        "run placed",
        job=job,
        step=0,
        first=0,
        run=run,
        waited_s=waited_s,
        workers=["w1"],
    )


def ended(second: float, run: int, how: str, stopping: str = "") -> str:
    return line(
        second,
        "run ended",
        task="a.0.0.0",
        run=run,
        how=how,
        stopping=stopping,
        estimate_s=2.0,
    )


def shown(second: float, job: str = "a") -> list[str]:
    return [
        line(second, "job status", job=job, status="completed"),
        line(second + 0.2, "status stored", job=job, status="completed"),
        line(second + 0.5, "status shown", job=job, status="completed"),
    ]


LATE = [
    placed(0.5, 1, 0.0, job="b"),
    line(1.0, "refused", job="a", reason="store not reachable"),
    submitted(2.0),
    line(2.5, "run preempted", job="b", step=0, first=0, run=1)
    .replace("}", ', "gives_way_to": "a"}'),
    line(3.4, "run ended", task="b.0.0.0", run=1, how="stopped",
         stopping="gives way to a"),
    placed(3.5, 1, 1.5),
    line(3.6, "start answered", task="a.0.0.0", run=1, outcome="ok"),
    ended(5.0, 1, "broken", "member lost"),
    ended(5.5, 1, "lost", "member lost"),
    placed(6.0, 2, 0.5),
    line(6.1, "start answered", task="a.0.0.0", run=2, outcome="ok"),
    ended(10.1, 2, "done"),
    *shown(10.1),
]  # fmt: skip


class TestPhases:
    """The phases of a late job add up to its time."""

    def account(self, lines: list[str] = LATE):
        (job,) = account_late(lines)
        sums = sum_phases([job])
        return job, {name: round(sums[name][1], 2) for name in sums}

    def test_of_a_job_that_lost_a_run(self):
        job, phases = self.account()
        assert phases == {
            "refused: store not reachable": 1.0,
            "waiting for room": 1.0,
            "waiting for stops": 1.0,
            "lost run: worker lost": 1.5,
            "closing a lost run": 0.5,
            "starting": 0.1,
            "running": 3.0,
            "running longer than declared": 1.0,
            "ended, not stored": 0.2,
            "stored, not shown": 0.3,
        }
        assert sum(phases.values()) == pytest.approx(job.total_s)
        assert job.objective_s == pytest.approx(1.5 * 3.0 + 0.25)

    def test_least_of_a_wait_for_stops_is_a_usual_stop(self):
        job, _ = self.account()
        _, _, least_s = sum_phases([job])["waiting for stops"]
        assert least_s == pytest.approx(0.9)

    def test_wait_for_a_controller(self):
        lines = [
            line(0.0, "role taken", "e0", epoch=1),
            line(0.5, "job seen", "e0", job="x"),
            submitted(1.0),
            line(3.0, "role taken", "e1", epoch=2),
            line(3.0, "planning held", "e1"),
            line(3.3, "planning resumed", "e1"),
            placed(3.4, 1, 0.4),
            ended(5.4, 1, "done"),
            *shown(5.4),
        ]
        _, phases = self.account(lines)
        assert phases["no controller decides"] == pytest.approx(2.3)
        assert phases["waiting for room"] == pytest.approx(0.1)

    def test_never_completed(self):
        job, phases = self.account([*LATE[:-4], line(70.0, "started")])
        assert not job.completed
        assert phases["not completed"] == pytest.approx(64.5)

    def test_job_in_time(self):
        lines = [submitted(1.0), placed(1.0, 1, 0), ended(3.0, 1, "done")]
        assert account_late([*lines, *shown(3.0)]) == []

    def test_cancelled_job(self):
        assert account_late([*LATE, line(4.0, "job cancelled", job="a")]) == []


class TestText:
    """Phases with the most to gain come first."""

    def test_order_and_sum(self):
        late = account_late(LATE)
        gains = [least_s - s for _, s, least_s in sum_phases(late).values()]
        assert gains == sorted(gains)
        lines = format_late(late)
        assert lines[len(sum_phases(late)) + 1].startswith("all")
        assert lines[-1].startswith("a priority 0 took 9.60 s")

    def test_command_line(self, tmp_path, capsys):
        log = tmp_path / "e1.log"
        log.write_text("\n".join(LATE))
        picture = tmp_path / "late.png"
        arguments = ["explain", "--late", "--png", str(picture), str(log)]
        options = cappa.parse(Hickorywing, argv=arguments)
        assert run_command(options) is ExitCode.DONE
        assert "waiting for stops" in capsys.readouterr().out
        assert picture.read_bytes().startswith(b"\x89PNG")
