"""Test where tasks are placed under which workers have crashed."""

from poolhelpers import make_job
from poolhelpers import make_step
from poolhelpers import Pool

from hickorywing.policy.crashes import Crash
from hickorywing.policy.isolation import MAX_APART_WAIT_S
from hickorywing.policy.isolation import MAX_BUSY_WAIT_S
from hickorywing.policy.isolation import MAX_OTHERS_WAIT_S
from hickorywing.policy.isolation import SURVIVED_S
from hickorywing.policy.poolruns import JobState


def add(pool: Pool, job_id: str, crashes: int = 0, **step) -> JobState:
    """Add a job of one unit under which workers have crashed."""
    accelerators = step.pop("accelerators", 1)
    job = make_job(job_id, (make_step(accelerators, **step),))
    state = pool.add(job)
    for unit in state.units.values():
        unit.waiting_since_s = pool.now_s
        unit.crashes = [
            Crash(run, f"gone{run}", (unit.first,), False)
            for run in range(1, crashes + 1)
        ]
    return state


def find_workers(state: JobState) -> set[str]:
    return {
        member.worker
        for unit in state.units.values()
        for member in unit.open_members()
    }


class TestOneCrash:
    """Tasks with one crash share a worker only with tasks without any."""

    def test_two_are_kept_apart(self):
        pool = Pool(3)
        first, second = add(pool, "j1", 1), add(pool, "j2", 1)
        pool.run()
        assert not find_workers(first) & find_workers(second)

    def test_beside_a_task_without_a_crash(self):
        pool = Pool(1)
        states = [add(pool, "j1"), add(pool, "j2", 1)]
        pool.run()
        assert all(find_workers(state) for state in states)

    def test_apart_from_one_that_runs(self):
        pool = Pool(2)
        first = add(pool, "j1", 1)
        pool.run()
        second = add(pool, "j2", 1)
        pool.run()
        assert not find_workers(first) & find_workers(second)


class TestTwoCrashes:
    """A task with two crashes has a worker of its own."""

    def test_it_takes_an_empty_worker(self):
        pool = Pool(2)
        other = add(pool, "j1")
        pool.run()
        state = add(pool, "j2", 2)
        pool.run()
        assert find_workers(state)
        assert not find_workers(state) & find_workers(other)

    def test_nothing_is_placed_beside_it(self):
        pool = Pool(1)
        state = add(pool, "j1", 2)
        pool.run()
        other = add(pool, "j2")
        pool.run()
        assert find_workers(state) and not find_workers(other)

    def test_nothing_is_placed_beside_it_by_the_same_plan(self):
        pool = Pool(1)
        states = [add(pool, "j1", 2), add(pool, "j2")]
        pool.run()
        assert find_workers(states[0]) and not find_workers(states[1])

    def test_others_may_follow_once_it_survived_its_start(self):
        pool = Pool(1)
        state = add(pool, "j1", 2)
        pool.run()
        for unit in state.units.values():
            unit.members[0].seen = True
        other = add(pool, "j2")
        pool.now_s += SURVIVED_S
        pool.run()
        assert find_workers(other)

    def test_tasks_of_a_gang_may_share_a_worker(self):
        pool = Pool(1)
        state = add(pool, "j1", 2, count=4, gang=True)
        pool.run()
        assert find_workers(state) == {"w0"}

    def test_urgent_one_preempts_nothing(self):
        pool = Pool(1)
        other = add(pool, "j1", accelerators=8)
        pool.run()
        job = make_job("j2", (make_step(1),), priority=0)
        unit = pool.add(job).units[(0, 0, 0)]
        unit.waiting_since_s = pool.now_s
        unit.crashes = [Crash(n, f"gone{n}", (0,), False) for n in (1, 2)]
        assert not pool.run().stops
        assert find_workers(other)


class TestNoEmptyWorker:
    """A job never waits for long because of crashes while there is room."""

    def wait(self, pool: Pool, state: JobState, waits_s: float) -> float:
        """Return how long a job waits until it is placed."""
        began_s = pool.now_s
        while not find_workers(state):
            pool.run()
            assert pool.now_s - began_s <= waits_s
            pool.now_s += 0.1
        return pool.now_s - began_s

    def test_while_much_is_free(self):
        pool = Pool(1)
        add(pool, "j1")
        pool.run()
        state = add(pool, "j2", 2)
        assert self.wait(pool, state, MAX_APART_WAIT_S + 0.2) > 1.0

    def test_beside_one_that_does_not_answer(self):
        pool = Pool(1)
        add(pool, "j1", 2)
        pool.run()
        state = add(pool, "j2")
        self.wait(pool, state, MAX_OTHERS_WAIT_S + 0.2)

    def test_while_most_is_in_use(self):
        pool = Pool(1)
        add(pool, "j1", accelerators=6)
        pool.run()
        state = add(pool, "j2", 2)
        self.wait(pool, state, MAX_BUSY_WAIT_S + 0.2)

    def test_apart_while_most_is_in_use(self):
        pool = Pool(1)
        add(pool, "j1", 1, accelerators=6)
        pool.run()
        state = add(pool, "j2", 1)
        self.wait(pool, state, MAX_APART_WAIT_S + 0.2)

    def test_task_that_lasts(self):
        pool = Pool(1)
        add(pool, "j1", accelerators=6)
        pool.run()
        state = add(pool, "j2", 2, lasting=True)
        self.wait(pool, state, MAX_APART_WAIT_S + 0.2)

    def test_an_empty_worker_is_preferred_however_long_it_took(self):
        pool = Pool(2)
        other = add(pool, "j1")
        pool.run()
        state = add(pool, "j2", 2)
        pool.now_s += 60.0
        pool.run()
        assert not find_workers(state) & find_workers(other)
