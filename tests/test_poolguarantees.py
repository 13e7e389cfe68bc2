"""Tests of guarantees: urgent work of several customers on a full pool."""

from poolhelpers import make_job
from poolhelpers import make_step
from poolhelpers import Pool

from hickorywing.policy.poolguarantees import count_accelerators
from hickorywing.policy.poolguarantees import find_covered


def urgent(name: str, accelerators: int, customer: str):
    return make_job(
        name, (make_step(accelerators),), priority=0, customer=customer
    )


class TestCovered:
    """A guarantee covers a customer's urgent jobs in order of acceptance."""

    def test_up_to_the_guarantee(self):
        pool = Pool(workers=1)
        for name in ("a", "b", "c"):
            pool.add(urgent(name, 4, "c1"))
        assert find_covered(pool.jobs.values(), {"c1": 8}) == {"a", "b"}

    def test_a_smaller_job_fits_behind_a_larger_one(self):
        pool = Pool(workers=1)
        for name, size in (("a", 4), ("b", 8), ("c", 2)):
            pool.add(urgent(name, size, "c1"))
        assert find_covered(pool.jobs.values(), {"c1": 8}) == {"a", "c"}

    def test_other_priorities_are_not_covered(self):
        pool = Pool(workers=1)
        pool.add(make_job("a", (make_step(1),), priority=1))
        assert find_covered(pool.jobs.values(), {"c1": 8}) == set()

    def test_steps_that_wait_count_alone(self):
        steps = (make_step(2), make_step(2), make_step(1, count=3, after=(0,)))
        assert count_accelerators(make_job(steps=steps)) == 4


class TestReclaim:
    """Guaranteed accelerators are reclaimed from other urgent work."""

    def test_takes_back_what_another_customer_borrowed(self):
        pool = Pool(workers=2)
        pool.guarantees = {"c1": 8, "c2": 8}
        for name in ("a", "b"):
            pool.add(urgent(name, 8, "c1"))
        assert len(pool.run().starts) == 2
        pool.now_s += 5
        pool.add(urgent("c", 8, "c2"))
        plan = pool.run()
        assert [victim.job_id for victim, _ in plan.stops] == ["b"]

    def test_leaves_covered_work_alone(self):
        pool = Pool(workers=1)
        pool.guarantees = {"c1": 8, "c2": 4}
        pool.add(urgent("a", 8, "c1"))
        pool.run()
        pool.add(urgent("b", 8, "c2"))
        assert pool.run().stops == []
