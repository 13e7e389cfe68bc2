"""Tests of the zone scheduler, called directly.

They cover guarantees, placement, queue order, quarantine and moves, and drive
the scheduler with random events.
"""

import pytest
from requestfake import measure_requests
from soak import Soak

from hickorywing.errors import InvariantViolation
from hickorywing.policy.actions import EvictJob
from hickorywing.policy.actions import EvictReason
from hickorywing.policy.actions import FailJob
from hickorywing.policy.actions import Outcome
from hickorywing.policy.actions import StartJob
from hickorywing.policy.cells import compute_shortfall
from hickorywing.policy.homezones import MAX_MOVES_PER_STEP
from hickorywing.policy.homezones import plan_moves
from hickorywing.policy.homezones import WaitingJob
from hickorywing.policy.homezones import ZoneSummary
from hickorywing.policy.model import Adjacency
from hickorywing.policy.model import Customer
from hickorywing.policy.model import Guarantee
from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import WorkerSpec
from hickorywing.policy.queue import MAX_DEFER_S
from hickorywing.policy.queue import ShortWorkFirst
from hickorywing.policy.scheduler import STARVING_AFTER_S
from hickorywing.policy.scheduler import ZoneScheduler

SOAK_STEPS = 1500


def make_zone(counts: list[int], guarantees=()) -> ZoneScheduler:
    scheduler = ZoneScheduler()
    for number, count in enumerate(counts):
        scheduler.add_worker(
            WorkerSpec(f"w{number}", "z", f"r{number // 2}", count, 64, 256)
        )
    scheduler.set_rules([], list(guarantees))
    return scheduler


def run_job(scheduler, spec, now=0.0):
    """Submit a job, mark all starts as running and return the actions."""
    scheduler.submit(spec, now)
    actions = scheduler.decide(now)
    starts = [item for item in actions if isinstance(item, StartJob)]
    for start in starts:
        scheduler.job_running(start.job_id, start.attempt, now)
    return actions


class TestGuarantees:
    def test_claim_evicts_borrowers(self):
        scheduler = make_zone([8, 8], [Guarantee("north", 8, 1)])
        run_job(scheduler, JobSpec("b", "south", 2, 8))
        actions = run_job(scheduler, JobSpec("g", "north", 1, 8), 1.0)
        assert actions == [EvictJob("b", 1, EvictReason.RECLAIM, True)]
        [start] = scheduler.job_ended("b", 1, Outcome.STOPPED, 2.5, 1.0)
        assert start.job_id == "g"
        assert start.placement.guaranteed
        scheduler.assert_whole_state()

    def test_guaranteed_work_is_not_evicted_for_others(self):
        scheduler = make_zone([8], [Guarantee("north", 8, 1)])
        run_job(scheduler, JobSpec("b", "south", 1, 8))
        run_job(scheduler, JobSpec("g", "north", 1, 8), 1.0)
        scheduler.job_ended("b", 1, Outcome.STOPPED, 2.0, 1.0)
        urgent = JobSpec("u", "south", 1, 1, urgent=True)
        assert run_job(scheduler, urgent, 3.0) == []

    def test_small_guarantees_leave_cells_for_large_ones(self):
        rules = [Guarantee("north", 1, 8), Guarantee("south", 8, 1)]
        scheduler = make_zone([8, 8], rules)
        run_job(scheduler, JobSpec("b", "east", 2, 8))
        for number in range(8):
            run_job(scheduler, JobSpec(f"n{number}", "north", 1, 1), 1.0)
        assert scheduler.ledger.shortfall() == 0
        actions = run_job(scheduler, JobSpec("s", "south", 1, 8), 2.0)
        assert not [a for a in actions if isinstance(a, FailJob)]
        assert scheduler.jobs["s"].guaranteed

    def test_lost_capacity_is_reported_as_risk(self):
        scheduler = make_zone([8, 8], [Guarantee("north", 8, 2)])
        scheduler.lose_worker("w1")
        [risk] = scheduler.risks()
        assert (risk.customer, risk.accelerators, risk.count) == (
            "north",
            8,
            1,
        )
        scheduler.decide(1.0)
        scheduler.restore_worker("w1")
        assert scheduler.risks() == []

    def test_shortfall_is_exact(self):
        assert compute_shortfall([0, 0, 0, 1, 0], [2, 1, 1, 0, 0]) == 0
        assert compute_shortfall([1, 0, 0, 1, 0], [2, 0, 0, 1, 0]) == 1

    def test_unservable_guarantee_violates_invariant(self):
        scheduler = make_zone([8], [Guarantee("north", 8, 1)])
        worker = scheduler.cells.workers["w0"]
        worker.claim[0] = "nobody"
        scheduler.cells._update_counts(worker)
        with pytest.raises(InvariantViolation):
            scheduler.assert_invariants(0)


class TestPlacement:
    def test_gang_is_placed_whole_or_waits(self):
        scheduler = make_zone([8, 4])
        assert run_job(scheduler, JobSpec("g", "north", 4, 4)) == []
        [start] = run_job(scheduler, JobSpec("h", "north", 3, 4), 1.0)
        assert len(start.placement.tasks) == 3

    def test_rack_adjacency_is_kept(self):
        scheduler = make_zone([4, 4, 4, 4])
        spec = JobSpec("r", "north", 2, 4, adjacency=Adjacency.RACK)
        run_job(scheduler, JobSpec("x", "north", 1, 4))
        [start] = run_job(scheduler, spec, 1.0)
        racks = {
            scheduler.cells.workers[task.worker_id].spec.rack
            for task in start.placement.tasks
        }
        assert len(racks) == 1

    def test_small_jobs_share_one_worker(self):
        scheduler = make_zone([8, 8])
        for number in range(4):
            run_job(scheduler, JobSpec(f"s{number}", "north", 1, 1))
        assert scheduler.cells.counts.idle[3] == 1

    def test_tasks_without_accelerators_leave_accelerators_usable(self):
        scheduler = make_zone([8])
        for number in range(40):
            run_job(scheduler, JobSpec(f"c{number}", "north", 1, 0, 1.0))
        [start] = run_job(
            scheduler, JobSpec("a", "north", 1, 8, 48.0, 100.0), 1.0
        )
        assert start.job_id == "a"

    def test_infeasible_jobs_are_refused(self):
        scheduler = make_zone([8, 6])
        rack = Adjacency.RACK
        for spec in (
            JobSpec("a", "n", 1, 16),
            JobSpec("b", "n", 3, 8),
            JobSpec("c", "n", 5, 4, adjacency=rack),
            JobSpec("d", "n", 1, 0, 500.0),
            JobSpec("e", "n", 50, 0, 8.0),
        ):
            assert scheduler.check(spec) is not None, spec
        scheduler.set_rules([Customer("n", quota_accelerators=4)], [])
        assert "quota" in scheduler.check(JobSpec("f", "n", 1, 8)).reason


class TestOrder:
    def test_deferral_is_bounded(self):
        order = ShortWorkFirst()
        huge = order.sort_key(JobSpec("h", "n", 64, 16), 0.0, 1e9)
        tiny = order.sort_key(JobSpec("t", "n"), MAX_DEFER_S + 1, 0.001)
        assert huge < tiny

    def test_starving_job_evicts_borrowers(self):
        scheduler = make_zone([8])
        run_job(scheduler, JobSpec("b", "south", 1, 8))
        run_job(scheduler, JobSpec("s", "north", 1, 8), 1.0)
        late = STARVING_AFTER_S + 2.0
        [evict] = scheduler.decide(late)
        assert evict.reason is EvictReason.STARVING

    def test_urgent_job_evicts_borrowers_at_once(self):
        scheduler = make_zone([8])
        run_job(scheduler, JobSpec("b", "south", 1, 8))
        urgent = JobSpec("u", "north", 1, 2, urgent=True)
        [evict] = run_job(scheduler, urgent, 1.0)
        assert evict.reason is EvictReason.URGENT

    def test_cancel_while_cells_are_cleared(self):
        scheduler = make_zone([8])
        run_job(scheduler, JobSpec("b", "south", 1, 8))
        run_job(scheduler, JobSpec("u", "north", 1, 2, urgent=True), 1.0)
        assert scheduler.cancel("u", 2.0) == []
        assert scheduler.job_ended("b", 1, Outcome.STOPPED, 3.0) == []
        scheduler.assert_whole_state()

    def test_end_of_an_older_attempt_is_ignored(self):
        scheduler = make_zone([8])
        run_job(scheduler, JobSpec("b", "south", 1, 8))
        scheduler.job_ended("b", 1, Outcome.LOST, 1.0)
        scheduler.decide(2.0)
        assert scheduler.job_ended("b", 1, Outcome.DONE, 3.0) == []
        assert scheduler.jobs["b"].attempt == 2


class TestQuarantine:
    def fail(self, scheduler, job_id, now):
        job = scheduler.jobs[job_id]
        worker = job.placement.workers[0]
        return scheduler.job_ended(
            job_id, job.attempt, Outcome.FAILED, now, None, worker
        )

    def test_worker_that_fails_several_jobs_is_quarantined(self):
        scheduler = make_zone([1, 1])
        scheduler.withhold_worker("w1")
        for number in range(3):
            run_job(scheduler, JobSpec(f"j{number}", "n", 1, 1))
            self.fail(scheduler, f"j{number}", 1.0)
            scheduler.cancel(f"j{number}", 1.0)
        assert not scheduler.cells.workers["w0"].offered
        scheduler.decide(100.0)
        assert scheduler.cells.workers["w0"].offered

    def test_job_that_fails_everywhere_quarantines_no_worker(self):
        scheduler = make_zone([1, 1, 1, 1])
        scheduler.submit(JobSpec("bad", "n", 1, 1), 0.0)
        ended = []
        for now in range(8):
            scheduler.decide(float(now))
            if "bad" in scheduler.jobs:
                ended += self.fail(scheduler, "bad", float(now))
        assert [type(item) for item in ended] == [FailJob]
        offered = [w.offered for w in scheduler.cells.workers.values()]
        assert all(offered)


class TestMoves:
    def test_moves_per_step_are_limited(self):
        summaries = [
            ZoneSummary("a", True, 0, 50, 0, 80),
            ZoneSummary("b", True, 80, 0, 8, 80),
        ]
        waiting = [
            WaitingJob(JobSpec(f"j{n}", "n", 1, 1), 60.0) for n in range(50)
        ]
        assert len(plan_moves("a", waiting, summaries)) == MAX_MOVES_PER_STEP

    def test_no_move_to_a_zone_out_of_service(self):
        summaries = [
            ZoneSummary("a", False, 0, 1),
            ZoneSummary("b", False, 80, 0, 8),
        ]
        waiting = [WaitingJob(JobSpec("j", "n", 1, 1), 60.0)]
        assert plan_moves("a", waiting, summaries) == []


class TestSoak:
    @pytest.mark.parametrize("seed", [101, 102, 103])
    def test_random_events_keep_every_invariant(self, seed):
        Soak(seed).run(SOAK_STEPS)


class TestRequestDecisions:
    @pytest.mark.parametrize("load", [0.5, 1.3])
    def test_nothing_runs_twice_or_after_a_refusal(self, load):
        found = measure_requests("shipped", load, 5)
        assert found.invariant_failures == 0
        assert found.served_share > 0.5 / load * 0.9
