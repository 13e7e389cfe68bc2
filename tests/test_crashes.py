"""Test which task is given up after workers have crashed."""

from hickorywing.policy.crashes import append_crash
from hickorywing.policy.crashes import count_crashes
from hickorywing.policy.crashes import Crash
from hickorywing.policy.crashes import explain_crashes
from hickorywing.policy.crashes import find_deadly_task
from hickorywing.policy.crashes import MAX_CRASHES
from hickorywing.policy.crashes import MAX_KEPT_CRASHES


def make_crashes(*alone: bool, task: int = 0) -> list[Crash]:
    """Return crashes under one task, and whether it was alone at each."""
    return [
        Crash(run, f"w{run}", (task,), is_alone)
        for run, is_alone in enumerate(alone, 1)
    ]


class TestDeadlyTask:
    """A task is given up after three crashes if it was alone at the last."""

    def test_two_crashes_are_not_enough(self):
        assert find_deadly_task(make_crashes(True, True)) is None

    def test_alone_at_the_third(self):
        assert find_deadly_task(make_crashes(False, False, True)) == 0

    def test_others_were_there(self):
        crashes = make_crashes(True, True, False, False)
        assert find_deadly_task(crashes) is None

    def test_five_crashes_are_enough(self):
        crashes = make_crashes(*[False] * MAX_CRASHES)
        assert find_deadly_task(crashes) == 0

    def test_long_after_the_start(self):
        crashes = [
            Crash(run, f"w{run}", (0,), True, early=False)
            for run in range(1, MAX_CRASHES + 1)
        ]
        assert find_deadly_task(crashes[:-1]) is None
        assert find_deadly_task(crashes) == 0

    def test_tasks_of_a_gang_are_counted_apart(self):
        crashes = [
            Crash(1, "w1", (0, 1), True),
            Crash(2, "w2", (1, 2), True),
            Crash(3, "w3", (2, 3), True),
        ]
        assert count_crashes(crashes) == 2
        assert find_deadly_task(crashes) is None
        crashes.append(Crash(4, "w4", (2, 4), True))
        assert find_deadly_task(crashes) == 2


class TestExplainedCrashes:
    """Crashes by another task count only towards the limit for any task."""

    def test_they_prove_nothing(self):
        crashes = explain_crashes(make_crashes(False, False), {"w1", "w2"})
        crashes.append(Crash(3, "w3", (0,), True))
        assert count_crashes(crashes) == 1
        assert find_deadly_task(crashes) is None

    def test_innocent_task_at_the_limit(self):
        workers = {f"w{run}" for run in range(1, MAX_CRASHES + 1)}
        crashes = make_crashes(*[False] * MAX_CRASHES)
        crashes = explain_crashes(crashes, workers)
        assert find_deadly_task(crashes) is None

    def test_two_that_both_crash_workers(self):
        crashes = make_crashes(*[False] * (MAX_CRASHES - 1))
        crashes = explain_crashes(crashes, {"w1", "w2", "w3"})
        crashes.append(Crash(MAX_CRASHES, "w9", (0,), False))
        assert find_deadly_task(crashes) == 0


class TestAppend:
    """A crash counts once, whoever reports it and how often."""

    def test_same_worker(self):
        crashes = make_crashes(True)
        assert not append_crash(crashes, Crash(2, "w1", (0,), True))
        assert len(crashes) == 1

    def test_same_run_of_a_task(self):
        crashes = make_crashes(True)
        assert not append_crash(crashes, Crash(1, "w9", (0,), True))

    def test_members_of_a_gang_in_one_run(self):
        crashes = make_crashes(True)
        assert append_crash(crashes, Crash(1, "w9", (1,), True))
        assert count_crashes(crashes) == 1

    def test_no_task(self):
        assert not append_crash([], Crash(1, "w1", (), True))

    def test_number_is_bounded(self):
        crashes: list[Crash] = []
        for task in range(MAX_KEPT_CRASHES + 5):
            append_crash(crashes, Crash(task, f"w{task}", (task,), True))
        assert len(crashes) == MAX_KEPT_CRASHES
        assert crashes[-1].worker == f"w{task}"
