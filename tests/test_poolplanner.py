"""Tests of the pool's planner: placement, preemption and reservations."""

from collections import Counter
import dataclasses

from poolhelpers import make_job
from poolhelpers import make_step
from poolhelpers import Pool

from hickorywing.policy import poolplanner
from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolruns import Ending

# Searches in free room and in room being freed, with and without suspects.
TRIES_PER_STEP = 4


class TestSpread:
    """``spread_limit`` bounds the tasks of a step on one worker."""

    def test_counts_tasks_of_one_plan(self):
        pool = Pool(workers=3)
        pool.add(make_job(steps=(make_step(1, count=6, spread_limit=2),)))
        plan = pool.run()
        placed = Counter(start.workers[0] for start in plan.starts)
        assert placed == {"w0": 2, "w1": 2, "w2": 2}

    def test_counts_tasks_that_run_already(self):
        pool = Pool(workers=1)
        state = pool.add(
            make_job(steps=(make_step(1, count=3, spread_limit=2),))
        )
        assert len(pool.run().starts) == 2
        assert len(pool.run().starts) == 0
        assert sum(1 for _ in state.list_ready_units()) == 1

    def test_other_jobs_do_not_count(self):
        pool = Pool(workers=1)
        for name in ("j1", "j2"):
            pool.add(
                make_job(name, steps=(make_step(1, count=2, spread_limit=2),))
            )
        assert len(pool.run().starts) == 4


class TestGangs:
    """Gangs start as a whole, and in one rack if they prefer that."""

    def test_waits_while_a_member_has_no_room(self):
        pool = Pool(workers=2)
        pool.add(make_job(steps=(make_step(8, count=3, gang=True),)))
        assert pool.run().starts == []

    def test_stays_in_one_rack(self):
        pool = Pool(workers=5, rack_size=2)
        pool.add(
            make_job(steps=(make_step(8, count=2, gang=True, one_rack=True),))
        )
        (start,) = pool.run().starts
        racks = {pool.facts[worker].rack for worker in start.workers}
        assert len(racks) == 1


class TestUrgent:
    """On full workers, urgent work preempts the work that loses least."""

    def fill(self, pool: Pool) -> None:
        for number in range(len(pool.facts)):
            pool.now_s = 100.0 + number
            pool.add(
                make_job(f"old{number}", steps=(make_step(8),), priority=2)
            )
            pool.run()

    def test_stops_what_has_run_least(self):
        pool = Pool(workers=3)
        self.fill(pool)
        pool.now_s = 110.0
        pool.add(make_job("new", steps=(make_step(4),), priority=0))
        plan = pool.run()
        assert [victim.job_id for victim, _ in plan.stops] == ["old2"]
        assert plan.starts == []

    def test_stops_nothing_twice_for_one_unit(self):
        pool = Pool(workers=3)
        self.fill(pool)
        pool.add(make_job("new", steps=(make_step(4),), priority=0))
        pool.run()
        assert pool.run().stops == []

    def test_keeps_freed_room_from_others(self):
        pool = Pool(workers=1)
        self.fill(pool)
        urgent = pool.add(make_job("new", steps=(make_step(8),), priority=0))
        pool.run()
        pool.add(make_job("late", steps=(make_step(1),), priority=1))
        old = pool.jobs["old0"]
        for unit in list(old.list_running_units()):
            unit.members[0].ending = "stopped"
        plan = pool.run()
        assert [start.unit.job_id for start in plan.starts] == ["new"]
        assert urgent.units[(0, 0, 0)].running

    def test_covered_work_spares_an_urgent_gang_that_just_began(self):
        pool = Pool(workers=4)
        pool.guarantees = {"sure": 16}
        for name in ("old0", "old1"):
            pool.add(make_job(name, steps=(make_step(8),), priority=2))
        pool.run()
        pool.now_s += 5
        pair = (make_step(8, count=2, gang=True),)
        pool.add(make_job("urgent", steps=pair, priority=0))
        pool.run()
        pool.now_s += 0.1
        pool.add(make_job("covered", steps=pair, priority=0, customer="sure"))
        stopped = {victim.job_id for victim, _ in pool.run().stops}
        assert stopped == {"old0", "old1"}

    def test_covered_work_takes_a_slow_worker_before_urgent_work(self):
        pool = Pool(workers=2)
        pool.guarantees = {"sure": 8}
        whole = (make_step(8),)
        pool.add(make_job("old", steps=whole, priority=2))
        pool.run()
        pool.add(make_job("urgent", steps=whole, priority=0))
        pool.run()
        (unit,) = pool.jobs["old"].units.values()
        pool.slow = {unit.members[0].worker}
        pool.now_s += 5
        pool.add(make_job("covered", steps=whole, priority=0, customer="sure"))
        assert [victim.job_id for victim, _ in pool.run().stops] == ["old"]

    def test_room_is_freed_on_workers_that_have_not_failed(self):
        pool = Pool(workers=2)
        self.fill(pool)
        # The last worker has run its work for the shortest time.
        pool.suspects = {"w1"}
        pool.now_s = 110.0
        pool.add(make_job("new", steps=(make_step(8),), priority=0))
        plan = pool.run()
        assert [victim.job_id for victim, _ in plan.stops] == ["old0"]

    def test_does_not_stop_equally_urgent_work(self):
        pool = Pool(workers=1)
        pool.add(make_job("first", steps=(make_step(8),), priority=0))
        pool.run()
        pool.add(make_job("second", steps=(make_step(8),), priority=0))
        assert pool.run().stops == []


class TestPacking:
    """Small tasks are placed on workers that are already in use."""

    def test_keeps_a_whole_worker_free(self):
        pool = Pool(workers=2)
        for number in range(4):
            pool.add(make_job(f"small{number}", steps=(make_step(2),)))
            pool.run()
        pool.add(make_job("large", steps=(make_step(8),)))
        assert len(pool.run().starts) == 1


class TestPreemptionCost:
    """Preemption for urgent gangs loses as little work as possible."""

    def test_saved_work_goes_first(self):
        pool = Pool(workers=2)
        pool.add(make_job("unsaved", steps=(make_step(8),), priority=2))
        pool.run()
        pool.now_s += 1
        pool.add(
            make_job(
                "saved", steps=(make_step(8, checkpoints=True),), priority=2
            )
        )
        pool.run()
        pool.now_s += 30
        pool.add(make_job("new", steps=(make_step(8),), priority=0))
        plan = pool.run()
        assert [victim.job_id for victim, _ in plan.stops] == ["saved"]

    def test_a_gang_over_many_workers_is_spared(self):
        pool = Pool(workers=4)
        wide = (make_step(8, count=3, gang=True),)
        pool.add(make_job("wide", steps=wide, priority=2))
        pool.run()
        pool.now_s -= 10
        pool.add(make_job("single", steps=(make_step(8),), priority=2))
        pool.run()
        pool.now_s += 20
        pool.add(make_job("new", steps=(make_step(4),), priority=0))
        plan = pool.run()
        assert [victim.job_id for victim, _ in plan.stops] == ["single"]

    def test_a_gang_uses_the_workers_that_one_stop_frees(self):
        pool = Pool(workers=4)
        wide = (make_step(8, count=2, gang=True),)
        pool.add(make_job("wide", steps=wide, priority=2))
        pool.run()
        for name in ("a", "b"):
            pool.add(make_job(name, steps=(make_step(8),), priority=2))
        pool.run()
        pool.now_s += 10
        pool.add(make_job("new", steps=wide, priority=0))
        plan = pool.run()
        stopped = {victim.job_id for victim, _ in plan.stops}
        assert stopped in ({"wide"}, {"a", "b"})
        assert len(plan.stops) == len(stopped)

    def test_waits_for_work_that_ends_at_once(self):
        pool = Pool(workers=2)
        for name in ("old", "ending"):
            pool.add(make_job(name, steps=(make_step(8),), priority=2))
            pool.run()
        pool.now_s += 10
        ending = pool.jobs["ending"].units[(0, 0, 0)]
        ending.members[0].record_progress(97, pool.now_s)
        pool.add(make_job("new", steps=(make_step(8),), priority=0))
        assert pool.run().stops == []
        pool.now_s += 2
        assert len(pool.run().stops) == 1


class TestReservation:
    """A large gang starts in spite of a steady stream of small tasks."""

    def test_gang_starts_under_a_stream_of_small_tasks(self):
        pool = Pool(workers=3)
        running: list = []
        started_s = None
        gang = None
        for second in range(40):
            pool.now_s += 1
            for number in range(4):
                pool.add(
                    make_job(f"s{second}-{number}", steps=(make_step(2),))
                )
            if second == 8:
                gang = pool.add(
                    make_job("gang", steps=(make_step(8, count=2, gang=True),))
                )
                gang_s = pool.now_s
            for unit in [item for item in running if item[1] <= pool.now_s]:
                running.remove(unit)
                unit[0].end(unit[0].members[0], Ending.DONE)
            for start in pool.run().starts:
                running.append((start.unit, pool.now_s + 4))
                if start.unit.job_id == "gang":
                    started_s = pool.now_s
            if started_s is not None:
                break
        assert gang is not None
        assert started_s is not None
        assert started_s - gang_s <= 8

    def test_small_units_reserve_nothing(self):
        pool = Pool(workers=1)
        pool.add(make_job("old", steps=(make_step(8),)))
        pool.run()
        pool.add(make_job("small", steps=(make_step(2),)))
        pool.now_s += 10
        assert pool.run().starts == []


class TestScale:
    """If one task of a step does not fit, the others are not tried.

    Otherwise a plan with thousands of waiting tasks would take too long.
    """

    def test_thousands_of_waiting_tasks_on_full_workers(self, monkeypatch):
        pool = Pool(workers=54)
        pool.add(make_job("old", steps=(make_step(8, count=54),)))
        pool.run()
        for number in range(20):
            pool.add(make_job(f"j{number}", steps=(make_step(1, count=100),)))
        pool.now_s += 1
        tried = []
        place = poolplanner.place_unit
        monkeypatch.setattr(
            poolplanner,
            "place_unit",
            lambda *given: tried.append(1) or place(*given),
        )
        assert pool.run().starts == []
        assert len(tried) <= 20 * TRIES_PER_STEP


class TestWideGangs:
    """Gangs that prefer one rack but are wider than any rack must start too.

    This failed on hundreds of full workers in racks of eight, with urgent
    gangs of up to 32 tasks that need whole workers.
    """

    def fill(self, pool: Pool) -> None:
        whole = (make_step(8, count=len(pool.facts)),)
        pool.add(make_job("old", steps=whole, priority=2))
        pool.run()
        pool.now_s += 10

    def test_urgent_one_stops_work_in_several_racks(self):
        pool = Pool(workers=8, rack_size=2)
        self.fill(pool)
        wide = make_step(8, count=3, gang=True, one_rack=True)
        pool.add(make_job("new", steps=(wide,), priority=0))
        pool.now_s += 0.6
        assert len(pool.run().stops) == 3

    def test_starts_at_once_on_free_workers(self):
        pool = Pool(workers=8, rack_size=2)
        wide = make_step(8, count=3, gang=True, one_rack=True)
        pool.add(make_job("new", steps=(wide,)))
        assert len(pool.run().starts) == 1

    def test_one_that_fits_a_rack_stops_work_in_one(self):
        pool = Pool(workers=8, rack_size=2)
        self.fill(pool)
        fits = make_step(8, count=2, gang=True, one_rack=True)
        pool.add(make_job("new", steps=(fits,), priority=0))
        pool.now_s += 0.6
        stops = pool.run().stops
        racks = {
            pool.facts[victim.members[0].worker].rack for victim, _ in stops
        }
        assert len(stops) == 2
        assert len(racks) == 1

    def test_urgent_one_whose_racks_hold_urgent_work_takes_others(self):
        pool = Pool(workers=4, rack_size=2)
        for number in range(2):
            pool.add(make_job(f"u{number}", steps=(make_step(8),), priority=0))
            # Place each of them in a different rack.
            worker = ("w0", "w2")[number]
            pool.jobs[f"u{number}"].units[(0, 0, 0)].place([worker], 100.0)
        self.fill(pool)
        fits = make_step(8, count=2, gang=True, one_rack=True)
        pool.add(make_job("new", steps=(fits,), priority=0))
        pool.now_s += 0.6
        assert pool.run().stops == []
        pool.now_s += 1.0
        assert len(pool.run().stops) == 2

    def test_room_is_kept_over_several_racks(self):
        pool = Pool(workers=8, rack_size=2)
        self.fill(pool)
        wide = make_step(8, count=3, gang=True, one_rack=True)
        pool.add(make_job("wide", steps=(wide,)))
        pool.now_s += 2.0
        pool.run()
        old = pool.jobs["old"]
        for unit in list(old.list_running_units())[:2]:
            unit.end(unit.members[0], Ending.DONE)
        pool.add(make_job("small", steps=(make_step(1),)))
        assert pool.run().starts == []

    def test_no_room_is_kept_while_most_workers_are_idle(self):
        pool = Pool(workers=8, rack_size=2)
        pool.add(make_job("old", steps=(make_step(8, count=3),)))
        pool.run()
        wide = make_step(8, count=6, gang=True, one_rack=True)
        pool.add(make_job("wide", steps=(wide,)))
        pool.now_s += 2.0
        pool.add(make_job("small", steps=(make_step(1),)))
        starts = [start.unit.job_id for start in pool.run().starts]
        assert starts == ["small"]

    def test_data_on_a_rack_that_is_gone_is_not_waited_for(self):
        pool = Pool(workers=2, rack_size=2)
        pool.add(make_job("new", steps=(make_step(8, data_rack="r9"),)))
        assert len(pool.run().starts) == 1


class TestShrunkCapacity:
    """Plans go by the present capacity, even if more than that runs there."""

    def shrink(self, pool: Pool, worker: str, accelerators: int) -> None:
        pool.facts[worker] = dataclasses.replace(
            pool.facts[worker],
            capacity=Resources(128_000, 262_144, accelerators),
        )

    def fill(self, pool: Pool, *workers: str) -> None:
        """Run two tasks of four accelerators on each of some workers."""
        for worker in workers:
            for number in range(2):
                name = f"{worker}.{number}"
                pool.add(make_job(name, steps=(make_step(4),), priority=2))
                unit = pool.jobs[name].units[(0, 0, 0)]
                unit.place([worker], pool.now_s)

    def test_nothing_starts_on_a_worker_that_holds_too_much(self):
        pool = Pool(workers=1)
        self.fill(pool, "w0")
        self.shrink(pool, "w0", 4)
        pool.add(make_job("new", steps=(make_step(1),)))
        pool.add(make_job("idle", steps=(make_step(0),)))
        plan = pool.run()
        assert plan.starts == []
        assert plan.stops == []

    def test_room_is_used_once_it_has_grown(self):
        pool = Pool(workers=1)
        self.shrink(pool, "w0", 4)
        pool.add(make_job("new", steps=(make_step(4, count=2),)))
        assert len(pool.run().starts) == 1
        assert len(pool.run().starts) == 0
        self.shrink(pool, "w0", 8)
        assert len(pool.run().starts) == 1

    def test_urgent_unit_stops_no_more_than_it_needs(self):
        pool = Pool(workers=2)
        self.fill(pool, "w0", "w1")
        pool.now_s += 10
        self.shrink(pool, "w0", 4)
        pool.add(make_job("new", steps=(make_step(4),), priority=0))
        assert len(pool.run().stops) == 1
        assert pool.run().stops == []

    def test_claim_on_room_that_shrinks_is_made_anew(self):
        pool = Pool(workers=2)
        self.fill(pool, "w0")
        self.fill(pool, "w1")
        pool.now_s += 10
        urgent = pool.add(make_job("u", steps=(make_step(8),), priority=0))
        stops = pool.run().stops
        (claim,) = pool.claims.values()
        (worker,) = claim.workers
        self.shrink(pool, worker, 4)
        for victim, _ in stops:
            victim.end(victim.members[0], Ending.STOPPED)
            del pool.jobs[victim.job_id]
        plan = pool.run()
        assert plan.starts == []
        assert len(plan.stops) == 2
        assert worker not in pool.claims[("u", 0, 0, 0)].workers
        assert not urgent.units[(0, 0, 0)].running

    def test_no_room_is_kept_while_the_others_are_idle(self):
        pool = Pool(workers=2)
        self.fill(pool, "w0")
        self.shrink(pool, "w0", 4)
        wide = make_step(4, count=3, gang=True)
        pool.add(make_job("wide", steps=(wide,)))
        pool.now_s += 2.0
        pool.add(make_job("small", steps=(make_step(1),)))
        starts = [start.unit.job_id for start in pool.run().starts]
        assert starts == ["small"]


class TestReservationsAtScale:
    """Gangs of many customers wait for room at once in a large pool."""

    def test_their_number_grows_with_the_pool(self):
        pool = Pool(workers=64, rack_size=8)
        pool.add(make_job("old", steps=(make_step(8, count=64),), priority=2))
        pool.run()
        pool.now_s += 10
        for rack in range(4):
            gang = make_step(8, count=2, gang=True, required_label=f"r{rack}")
            pool.add(make_job(f"gang{rack}", steps=(gang,)))
            self.free_one(pool, f"w{8 * rack}")
        pool.now_s += 2.0
        for rack in range(4):
            small = make_step(1, required_label=f"r{rack}")
            pool.add(make_job(f"small{rack}", steps=(small,), priority=2))
        assert pool.run().starts == []

    def free_one(self, pool: Pool, worker: str) -> None:
        for unit in pool.jobs["old"].list_running_units():
            if unit.members[0].worker == worker:
                unit.end(unit.members[0], Ending.DONE)
