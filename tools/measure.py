"""Compare the shipped policy with two baselines in simulations.

Workers and backend servers are fakes in virtual time, and one seed determines
every run. Prints a table, draws a plot and can write JSON.
"""

import argparse
from dataclasses import asdict
from dataclasses import dataclass
import json
from pathlib import Path
import sys
import time

from requestfake import measure_requests
from workloads import make_scenarios
from workloads import Scenario
from workloads import schedule_scenario
from zonefake import FakeSystem
from zonefake import Measurements

from hickorywing.errors import InvariantViolation
from hickorywing.policy.queue import ArrivalOrder
from hickorywing.policy.scheduler import SchedulerOptions

__all__ = ["Figures", "main", "measure_scenario"]

POLICIES = {
    "shipped": SchedulerOptions(),
    "first_fit": SchedulerOptions(
        order=ArrivalOrder(), first_fit=True, backfill=False, migrate=False
    ),
    "backfill": SchedulerOptions(order=ArrivalOrder(), migrate=False),
}
# Runs end after this many times the period in which jobs arrive.
DRAIN_FACTOR = 6.0


@dataclass
class Figures:
    """One row of the results; ``None`` where a figure does not apply.

    ``mean_slowdown`` is the mean ratio of a job's completion time to its run
    time, where shorter run times count as 10 s.
    """

    workload: str
    policy: str
    mean_completion_s: float | None = None
    p95_completion_s: float | None = None
    mean_slowdown: float | None = None
    fragmentation: float | None = None
    stranded_share: float | None = None
    zone_change_accelerator_hours: float | None = None
    reclaim_p99_s: float | None = None
    urgent_start_p99_s: float | None = None
    invariant_failures: int = 0
    requests_served_share: float | None = None
    request_wait_p99_ms: float | None = None
    decision_p99_ms: float | None = None
    jobs_done: int | None = None
    jobs_left: int | None = None
    evictions: int | None = None


def compute_quantile(values: list[float], quantile: float) -> float | None:
    """Return a quantile, or ``None`` without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def compute_mean(values: list[float]) -> float | None:
    """Return the mean, or ``None`` without values."""
    return sum(values) / len(values) if values else None


def measure_scenario(scenario: Scenario, policy: str, seed: int) -> Figures:
    """Simulate one scenario under one policy."""
    system = FakeSystem(
        scenario.site, POLICIES[policy], seed, time.perf_counter
    )
    schedule_scenario(system, scenario, seed)
    figures = Figures(scenario.name, policy)
    horizon = scenario.arrivals_s * DRAIN_FACTOR
    try:
        measurements = system.run(horizon)
    except InvariantViolation as error:
        print(f"{scenario.name} {policy}: {error}", file=sys.stderr)
        figures.invariant_failures = 1
        return figures
    fill_figures(figures, measurements, scenario, horizon)
    return figures


def fill_figures(
    figures: Figures,
    measurements: Measurements,
    scenario: Scenario,
    horizon: float,
) -> None:
    """Compute the figures of a run."""
    counted = [
        job
        for job in measurements.jobs
        if job.end not in ("cancelled", "refused")
    ]
    counted = [job for job in counted if not job.fails]
    times = [(job.ended_at or horizon) - job.arrives for job in counted]
    figures.mean_completion_s = compute_mean(times)
    figures.p95_completion_s = compute_quantile(times, 0.95)
    figures.mean_slowdown = compute_mean(
        [
            spent / max(10.0, job.work_s)
            for spent, job in zip(times, counted, strict=True)
        ]
    )
    figures.fragmentation = compute_mean(measurements.fragmentation)
    if measurements.samples:
        figures.stranded_share = (
            measurements.stranded_samples / measurements.samples
        )
    figures.zone_change_accelerator_hours = measurements.useful_hours(
        scenario.out_at, scenario.back_at + 3600.0
    )
    figures.reclaim_p99_s = compute_quantile(measurements.reclaim_s, 0.99)
    urgent = [job for job in counted if job.spec.urgent]
    figures.urgent_start_p99_s = compute_quantile(
        [(job.started_at or horizon) - job.arrives for job in urgent], 0.99
    )
    figures.invariant_failures = measurements.invariant_failures
    figures.decision_p99_ms = compute_quantile(measurements.decisions_s, 0.99)
    if figures.decision_p99_ms is not None:
        figures.decision_p99_ms *= 1000
    figures.jobs_done = sum(1 for job in counted if job.end == "done")
    figures.jobs_left = sum(1 for job in counted if job.ended_at is None)
    figures.evictions = measurements.evictions


COLUMNS = {
    "mean_completion_s": "mean s",
    "p95_completion_s": "p95 s",
    "mean_slowdown": "slowdown",
    "fragmentation": "frag",
    "stranded_share": "stranded",
    "zone_change_accelerator_hours": "zone h",
    "reclaim_p99_s": "reclaim",
    "urgent_start_p99_s": "urgent",
    "requests_served_share": "served",
    "request_wait_p99_ms": "wait ms",
    "decision_p99_ms": "dec ms",
    "jobs_left": "left",
    "evictions": "evict",
    "invariant_failures": "inv",
}


def print_rows(rows: list[Figures]) -> None:
    """Print a table and the shipped policy's ratios to the baselines."""
    print(f"{'workload':<22}{'policy':<10}", end="")
    print("".join(f"{title:>10}" for title in COLUMNS.values()))
    for row in rows:
        print(f"{row.workload:<22}{row.policy:<10}", end="")
        for name in COLUMNS:
            value = getattr(row, name)
            text = "-" if value is None else f"{value:.3f}"
            if isinstance(value, int):
                text = str(value)
            print(f"{text:>10}", end="")
        print()
    for row in rows:
        if row.policy == "shipped" and row.mean_completion_s:
            print_ratios(row, rows)


def print_ratios(row: Figures, rows: list[Figures]) -> None:
    """Print the shipped policy's ratios to each baseline."""
    for other in rows:
        if other.workload != row.workload or other.policy == "shipped":
            continue
        if not other.mean_completion_s:
            continue
        ratio = row.mean_completion_s / other.mean_completion_s
        hours = (
            row.zone_change_accelerator_hours
            / other.zone_change_accelerator_hours
        )
        print(
            f"{row.workload}: completion {ratio:.3f} and zone change work"
            f" {hours:.3f} of {other.policy}"
        )


def draw_plot(rows: list[Figures], path: Path) -> None:
    """Draw the policies' completion times, fragmentation and useful work."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    jobs = [row for row in rows if row.mean_completion_s is not None]
    workloads = list(dict.fromkeys(row.workload for row in jobs))
    figure, axes = pyplot.subplots(1, 3, figsize=(13, 4))
    parts = (
        ("mean_completion_s", "mean completion, s"),
        ("fragmentation", "fragmentation, share"),
        ("zone_change_accelerator_hours", "work in the zone change, h"),
    )
    for axis, (name, title) in zip(axes, parts, strict=True):
        for offset, policy in enumerate(POLICIES):
            heights = [
                getattr(row, name) or 0.0
                for row in jobs
                if row.policy == policy
            ]
            positions = [
                index + 0.27 * offset for index in range(len(heights))
            ]
            axis.bar(positions, heights, 0.25, label=policy)
        axis.set_xticks(
            [index + 0.27 for index in range(len(workloads))], workloads
        )
        axis.set_title(title)
        axis.set_yscale("log" if name != "fragmentation" else "linear")
    axes[0].legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=110)


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--plot", type=Path, default=Path("out/measure.png"))
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    rows: list[Figures] = []
    for scenario in make_scenarios():
        if options.only and scenario.name != options.only:
            continue
        for policy in POLICIES:
            began = time.perf_counter()
            rows.append(measure_scenario(scenario, policy, options.seed))
            took = time.perf_counter() - began
            print(f"{scenario.name} {policy}: {took:.1f} s", file=sys.stderr)
    if not options.only or options.only == "requests":
        for load in (0.5, 0.9, 1.3):
            for policy in ("shipped", "first_fit"):
                found = measure_requests(policy, load, options.seed)
                rows.append(
                    Figures(
                        f"requests-{load}",
                        policy,
                        requests_served_share=found.served_share,
                        request_wait_p99_ms=found.wait_p99_ms,
                        invariant_failures=found.invariant_failures,
                    )
                )
    print_rows(rows)
    if options.json:
        data = [asdict(row) for row in rows]
        options.json.write_text(json.dumps(data, indent=1), "utf-8")
    draw_plot(rows, options.plot)
    if any(row.invariant_failures for row in rows):
        sys.exit(1)


if __name__ == "__main__":
    main()
