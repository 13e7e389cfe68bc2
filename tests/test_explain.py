"""Test the explanation of a job from the logs of all processes."""

from hickorywing.explain import explain_job
from hickorywing.explain import format_explanation

LINE_FORMAT = (
    '{"process":"%s","event":"%s","timestamp":"2026-01-01T00:00:%s+00:00",'
)


def make_line(process: str, event: str, second: str, facts: str) -> str:
    return LINE_FORMAT % (process, event, second) + facts + "}"


LINES = [
    make_line("e1", "run placed", "02.5", '"job":"a","workers":["v1/i-1@1"]'),
    "12.5 e0 " + make_line("e0", "job submitted", "02.0", '"job":"a"'),
    make_line("e1", "role taken", "02.2", '"epoch":2'),
    make_line("e1", "worker silent", "02.6", '"worker":"v2/i-2@1"'),
    make_line(
        "e1", "run ended", "03.0", '"task":"a.0.0.0","worker":"v1/i-1@1"'
    ),
    make_line("e1", "job status", "03.1", '"job":"a","status":"completed"'),
    make_line("e1", "job status", "03.2", '"job":"b","status":"completed"'),
    "broken {",
]


class TestExplanation:
    """Lines come in any order, from any process, and some are broken."""

    def test_orders_own_lines_and_context(self):
        explanation = explain_job("a", LINES)
        assert [item.event for item in explanation.lines] == [
            "job submitted",
            "role taken",
            "run placed",
            "run ended",
            "job status",
        ]

    def test_says_what_is_missing(self):
        explanation = explain_job("a", LINES)
        assert explanation.unreadable == 1
        assert explanation.missing == ["no lines of the agent on v1"]

    def test_unknown_job(self):
        explanation = explain_job("x", LINES)
        assert explanation.missing == ["no line names the job"]

    def test_text(self):
        text = format_explanation(explain_job("a", LINES))
        assert text[0] == "job a"
        assert text[2].startswith("00:00:02.200  e1")


class TestClocks:
    """Agents' clocks are corrected where the lines show that they differ."""

    def make_lines(self, seen: str, announced: str) -> list[str]:
        return [
            *LINES,
            make_line("e1", "worker found", "02.3", '"worker":"v1/i-1@1"'),
            make_line("v1", "epoch seen", seen, '"epoch":2'),
            make_line(
                "v1", "worker announced", announced, '"worker":"v1/i-1@1"'
            ),
        ]

    def test_behind(self):
        explanation = explain_job("a", self.make_lines("01.0", "00.5"))
        assert explanation.clocks == {"v1": 1.2}
        assert explanation.missing == []
        assert "clock of v1 corrected by +1.2 s" in format_explanation(
            explanation
        )

    def test_ahead(self):
        explanation = explain_job("a", self.make_lines("08.0", "07.3"))
        assert explanation.clocks == {"v1": -5.0}
        events = [item.event for item in explanation.lines]
        assert "epoch seen" in events

    def test_clocks_within_bounds(self):
        explanation = explain_job("a", self.make_lines("02.25", "01.0"))
        assert explanation.clocks == {}

    def test_clock_that_was_set_meanwhile(self):
        explanation = explain_job("a", self.make_lines("01.0", "09.0"))
        assert explanation.clocks == {}
