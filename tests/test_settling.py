"""Tests of when a new controller begins to plan."""

from hickorywing.policy.settling import MAX_SETTLING_S
from hickorywing.policy.settling import QUIET_PERIOD_S
from hickorywing.policy.settling import Settling


class TestSettling:
    """Planning waits for hundreds of workers, but not for absent ones."""

    def settle(self, answers_s: dict[str, float], agents: int) -> float:
        """Return after how many seconds of the term planning may begin.

        ``answers_s`` has the times at which workers answer, out of ``agents``.
        """
        settling = Settling(0.0)
        now_s = 0.0
        while now_s < 10.0:
            known = {name for name, at_s in answers_s.items() if at_s <= now_s}
            if settling.is_settled(now_s, known, len(known) == agents):
                return now_s
            now_s += 0.01
        raise AssertionError("never settled")

    def test_hundreds_that_answer_one_after_another(self):
        answers_s = {f"w{n}": 0.2 + n * 0.005 for n in range(200)}
        assert self.settle(answers_s, 200) >= max(answers_s.values())

    def test_some_are_absent(self):
        answers_s = {f"w{n}": n * 0.005 for n in range(100)}
        settled_s = self.settle(answers_s, 110)
        last_s = max(answers_s.values())
        assert last_s < settled_s <= last_s + QUIET_PERIOD_S + 0.02

    def test_few_answer_within_a_round_trip(self):
        assert self.settle({"w0": 0.01, "w1": 0.02}, 2) < 0.03

    def test_none_has_answered_yet(self):
        assert self.settle({"w0": 1.0, "w1": 1.1}, 3) >= 1.1

    def test_stragglers_delay_planning_for_a_limited_time(self):
        answers_s = {f"w{n}": n * 0.2 for n in range(100)}
        assert self.settle(answers_s, 100) <= MAX_SETTLING_S + 0.02

    def test_planning_continues_when_a_later_worker_answers(self):
        settling = Settling(0.0)
        assert settling.is_settled(0.1, {"w0"}, True)
        assert settling.is_settled(5.0, {"w0", "w1"}, False)
