"""Sites and workloads for the measurements."""

from dataclasses import dataclass
from pathlib import Path
import random

from zonefake import FakeJob
from zonefake import FakeSystem
from zonefake import Site

from hickorywing.documents import load_document
from hickorywing.inventory import InventoryModel
from hickorywing.policy.model import Adjacency
from hickorywing.policy.model import Customer
from hickorywing.policy.model import Guarantee
from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import WorkerSpec
from hickorywing.rules import allot_guarantees
from hickorywing.rules import RulesModel

__all__ = [
    "Scenario",
    "make_jobs",
    "make_scenarios",
    "make_site",
    "schedule_scenario",
]

EXAMPLES = Path(__file__).parent.parent / "examples"
HOUR_S = 3600.0
MAX_RUN_S = 6 * HOUR_S


@dataclass(frozen=True)
class Scenario:
    """A site, its load and a period in which a zone is out of service.

    Jobs arrive for ``arrivals_s`` seconds; ``load`` is the share of all
    accelerators that their work takes. ``zone_out`` is out of service from
    ``out_at`` to ``back_at``.
    """

    name: str
    site: Site
    arrivals_s: float
    load: float
    zone_out: str
    out_at: float
    back_at: float


def make_site(
    name: str,
    worker_counts: list[tuple[str, int]],
    cores: float,
    customers: list[str],
    shares: list[tuple[str, int, float]],
    mixed: bool = False,
) -> Site:
    """Return a site whose guarantees cover given shares of each zone.

    Each share is a customer, a cell size and a fraction of the accelerators
    of those workers in the zone that have 8. In a ``mixed`` site a fifth of
    the workers has other counts.
    """
    workers = []
    guarantees = []
    for zone, count in worker_counts:
        for number in range(count):
            accelerators = 8
            if mixed and number % 20 > 15:
                accelerators = (0, 4, 3, 6)[number % 4]
            workers.append(
                WorkerSpec(
                    f"{zone}-{number:03d}",
                    zone,
                    f"{zone}-r{number // 3}",
                    accelerators,
                    cores,
                    256.0,
                )
            )
        full = sum(
            1
            for worker in workers
            if worker.zone == zone and worker.accelerators == 8
        )
        for customer, size, share in shares:
            cell_count = int(full * 8 * share / size)
            if cell_count:
                guarantees.append(Guarantee(customer, size, cell_count, zone))
    return Site(
        name,
        tuple(workers),
        tuple(Customer(item) for item in customers),
        tuple(guarantees),
    )


def load_site(name: str) -> Site:
    """Return the site of a folder in ``examples``."""
    folder = EXAMPLES / name
    inventory = load_document(
        folder / "inventory.jsonc", InventoryModel
    ).unwrap()
    rules = load_document(folder / "rules.jsonc", RulesModel).unwrap()
    workers = [
        spec
        for zone in inventory.zones
        for spec in inventory.worker_specs(zone)
    ]
    return Site(
        name,
        tuple(workers),
        tuple(rules.policy_customers()),
        tuple(allot_guarantees(rules, inventory).unwrap()),
    )


def make_scenarios() -> list[Scenario]:
    """Return the scenarios of the measurement."""
    cooperative = load_site("cooperative")
    waarborgwerk = load_site("waarborgwerk")
    zone430 = make_site(
        "zone430",
        [("big", 430), ("near", 140)],
        96.0,
        [f"team-{number:02d}" for number in range(16)],
        [(f"team-{number:02d}", 8, 0.05) for number in range(16)],
        mixed=True,
    )
    return [
        Scenario(
            "cooperative", cooperative, 24 * HOUR_S, 0.85, "cordoba",
            8 * HOUR_S, 12 * HOUR_S,
        ),
        Scenario(
            "waarborgwerk", waarborgwerk, 24 * HOUR_S, 0.85, "leuven",
            8 * HOUR_S, 12 * HOUR_S,
        ),
        Scenario(
            "zone430", zone430, 5 * HOUR_S, 0.9, "near",
            2 * HOUR_S, 3 * HOUR_S,
        ),
    ]  # fmt: skip


def _draw_shape(rng: random.Random) -> tuple[int, int, float, Adjacency]:
    """Draw the shape of a job.

    Returns its tasks, the accelerators of each, the median run time in seconds
    and the adjacency.
    """
    kind = rng.random()
    if kind < 0.15:
        return rng.choice([1, 2, 4]), 0, 300.0, Adjacency.ZONE
    if kind < 0.65:
        return 1, rng.choice([1, 1, 1, 2]), 500.0, Adjacency.ZONE
    if kind < 0.85:
        return 1, rng.choice([4, 8]), 1500.0, Adjacency.ZONE
    if kind < 0.95:
        return rng.choice([2, 3]), 8, 3000.0, Adjacency.ZONE
    return rng.choice([4, 8]), 2, 2400.0, Adjacency.RACK


def make_jobs(scenario: Scenario, seed: int) -> list[FakeJob]:
    """Return jobs whose work takes the share ``load`` of all accelerators.

    Customers declare run times that are wrong by a factor of their own and by
    a random one.
    """
    rng = random.Random(seed)
    names = [customer.name for customer in scenario.site.customers]
    declared_factors = {name: rng.lognormvariate(0.0, 0.8) for name in names}
    wanted = scenario.load * scenario.site.accelerators * scenario.arrivals_s
    jobs: list[FakeJob] = []
    work = 0.0
    while work < wanted:
        at = rng.uniform(0, scenario.arrivals_s)
        burst = 1
        customer = rng.choice(names)
        shape = _draw_shape(rng)
        if rng.random() < 0.03:
            burst = rng.randint(5, 30 if shape[1] * shape[0] < 8 else 6)
        for _ in range(burst):
            job = _make_job(
                rng, len(jobs), customer, shape, at, declared_factors
            )
            jobs.append(job)
            # A job without accelerators counts as a quarter of one.
            held = max(0.25, job.spec.total_accelerators)
            work += job.work_s * held
    jobs.sort(key=lambda job: job.arrives)
    return jobs


def _make_job(
    rng: random.Random,
    number: int,
    customer: str,
    shape: tuple[int, int, float, Adjacency],
    at: float,
    declared_factors: dict[str, float],
) -> FakeJob:
    tasks, accelerators, median_s, adjacency = shape
    run_s = min(MAX_RUN_S, rng.lognormvariate(0.0, 0.9) * median_s)
    declared_s = (
        run_s * declared_factors[customer] * rng.lognormvariate(0.0, 0.7)
    )
    spec = JobSpec(
        f"j{number}",
        customer,
        tasks,
        accelerators,
        cores=2.0 if accelerators == 0 else 4.0 * accelerators,
        memory_gb=4.0 if accelerators == 0 else 8.0 * accelerators,
        adjacency=adjacency,
        declared_run_s=max(1.0, declared_s),
        urgent=accelerators <= 2 and rng.random() < 0.04,
    )
    job = FakeJob(spec, at, run_s)
    if rng.random() < 0.03:
        job.cancel_at = at + rng.uniform(0, 2 * run_s)
    if rng.random() < 0.004:
        job.fails = True
    return job


def schedule_scenario(
    system: FakeSystem, scenario: Scenario, seed: int
) -> None:
    """Schedule the jobs and faults of a scenario.

    A zone is taken out and brought back, one worker fails every task for
    1800 s, another is lost for 900 s, and one customer cancels the jobs that
    it submitted in the last 1200 s.
    """
    jobs = make_jobs(scenario, seed)
    for job in jobs:
        system.add_job(job)
    zone = scenario.zone_out
    system.schedule(scenario.out_at, lambda: system.take_zone_out(zone))
    system.schedule(scenario.back_at, lambda: system.bring_zone_back(zone))
    failing_worker = scenario.site.workers[1].worker_id
    start = scenario.arrivals_s * 0.6
    system.schedule(start, lambda: system.failing.add(failing_worker))
    system.schedule(
        start + 1800.0, lambda: system.failing.discard(failing_worker)
    )
    lost_worker = scenario.site.workers[2].worker_id
    middle = scenario.arrivals_s * 0.5
    system.schedule(middle, lambda: system.lose_worker(lost_worker))
    system.schedule(middle + 900.0, lambda: system.restore_worker(lost_worker))
    cancel_at = scenario.arrivals_s * 0.7
    customer = scenario.site.customers[0].name
    for job in jobs:
        is_from_customer = job.spec.customer == customer
        if is_from_customer and cancel_at - 1200 < job.arrives < cancel_at:
            job.cancel_at = cancel_at
            system.schedule(cancel_at, lambda job=job: system.cancel(job))
