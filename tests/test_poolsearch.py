"""Compare the planner's searches with plain reference implementations.

The reference implementations examine every worker again for every task, which
takes too long for gangs of 76 and steps of 230 tasks on hundreds of workers.
"""

from collections import Counter
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from poolhelpers import make_job

from hickorywing.policy.poolmodel import Resources
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolplanner import index_victims
from hickorywing.policy.poolpreemption import add_released_room
from hickorywing.policy.poolpreemption import choose_victims
from hickorywing.policy.poolpreemption import find_units_to_stop
from hickorywing.policy.poolpreemption import RunningUnit
from hickorywing.policy.poolreservation import estimate_room_wait_s
from hickorywing.policy.poolreservation import index_releases
from hickorywing.policy.poolreservation import reserve_workers
from hickorywing.policy.poolroom import get_task_room
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolsearch import fill_workers

CASES = st.integers(min_value=0, max_value=2**32)


class Case:
    """A random pool: rooms, running units and a step to place."""

    def __init__(self, seed: int) -> None:
        draw = random.Random(seed)
        self.step = Step(
            resources=Resources(
                draw.choice((0, 1000, 4000)), 0, draw.choice((0, 1, 2, 4, 8))
            ),
            spread_limit=draw.choice((0, 0, 1, 2)),
        )
        self.count = draw.randint(1, 12)
        self.workers = [f"w{number}" for number in range(draw.randint(1, 8))]
        self.rooms = {
            worker: Resources(draw.randint(0, 9000), 0, draw.randint(0, 8))
            for worker in self.workers
        }
        self.present = Counter(
            {worker: draw.randint(0, 1) for worker in self.workers}
        )
        self.running = [self.draw_unit(draw, n) for n in range(10)]

    def draw_unit(self, draw: random.Random, number: int) -> RunningUnit:
        count = draw.randint(1, 3)
        step = Step(
            count=count,
            resources=Resources(1000, 0, draw.randint(0, 4)),
            gang=True,
        )
        job = make_job(f"j{number}", (step,))
        unit = JobState(job, number, 0.0).units[(0, 0, 0)]
        unit.place([draw.choice(self.workers) for _ in range(count)], 0.0)
        lost_s, left_s = draw.uniform(0, 20), draw.uniform(0, 20)
        return RunningUnit(unit, step, 2, lost_s, left_s)


def is_within_spread_limit(case: Case, used: Counter, worker: str) -> bool:
    limit = case.step.spread_limit
    return not limit or used[worker] < limit


def fill_reference(case: Case) -> tuple[str, ...] | None:
    need, left = get_task_room(case.step), dict(case.rooms)
    used, placed = Counter(case.present), []
    for _ in range(case.count):
        ranks = [
            (room.accelerators, room.cores_milli, worker)
            for worker, room in left.items()
            if need.fits_in(room)
            and is_within_spread_limit(case, used, worker)
        ]
        if not ranks:
            return None
        worker = min(ranks)[-1]
        left[worker] -= need
        used[worker] += 1
        placed.append(worker)
    return tuple(placed)


def reserve_reference(case: Case) -> tuple[float, list[str]] | None:
    releases = index_releases(case.running)
    need, left = get_task_room(case.step), dict(case.rooms)
    used, placed, latest_s = Counter(case.present), [], 0.0
    for _ in range(case.count):
        ranks = []
        for worker, room in left.items():
            after_s = estimate_room_wait_s(
                need, room, releases.get(worker, ())
            )
            if after_s is not None and is_within_spread_limit(
                case, used, worker
            ):
                ranks.append((after_s, room.accelerators, worker))
        if not ranks:
            return None
        after_s, _, worker = min(ranks)
        latest_s = max(latest_s, after_s)
        left[worker] -= need
        used[worker] += 1
        placed.append(worker)
    return latest_s, placed


def choose_reference(case: Case) -> tuple[float, list[str]] | None:
    victims = index_victims(case.running)
    need, left = get_task_room(case.step), dict(case.rooms)
    used, placed, total = Counter(case.present), [], 0.0
    stopped: set[tuple] = set()
    for _ in range(case.count):
        ranks = []
        for worker, room in left.items():
            units = find_units_to_stop(
                need, room, worker, victims.get(worker, ()), stopped
            )
            if units is not None and is_within_spread_limit(
                case, used, worker
            ):
                cost = sum(item.cost for item in units)
                ranks.append((cost, room.accelerators, worker, units))
        if not ranks:
            return None
        cost, _, worker, units = min(ranks, key=lambda rank: rank[:3])
        for item in units:
            stopped.add(item.unit.key)
            add_released_room(left, item)
        left[worker] -= need
        used[worker] += 1
        total += cost
        placed.append(worker)
    return total, placed


class TestSearches:
    """The searches return the same results as the reference ones."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(seed=CASES)
    def test_free_room(self, seed):
        case = Case(seed)
        found = fill_workers(
            case.step, case.count, case.workers, case.rooms, case.present
        )
        assert found == fill_reference(case)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(seed=CASES)
    def test_reservations(self, seed):
        case = Case(seed)
        found = reserve_workers(
            case.step,
            case.count,
            case.workers,
            case.rooms,
            case.present,
            index_releases(case.running),
        )
        expected = reserve_reference(case)
        if expected is None:
            assert found is None
        else:
            assert (found.after_s, list(found.workers)) == expected

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(seed=CASES)
    def test_victims(self, seed):
        case = Case(seed)
        found = choose_victims(
            case.step,
            case.count,
            case.workers,
            case.rooms,
            case.present,
            index_victims(case.running),
        )
        expected = choose_reference(case)
        if expected is None:
            assert found is None
        else:
            assert (found.cost, found.workers) == expected
