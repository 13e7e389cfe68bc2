"""Schedule jobs in a zone by the library alone, without any process."""

from hickorywing.policy import Guarantee
from hickorywing.policy import JobSpec
from hickorywing.policy import WorkerSpec
from hickorywing.policy import ZoneScheduler
from hickorywing.policy.actions import Outcome


def main() -> None:
    """Evict a job that uses accelerators guaranteed to another customer."""
    scheduler = ZoneScheduler()
    for number in (1, 2):
        scheduler.add_worker(
            WorkerSpec(f"w{number}", "cordoba", "r1", 8, 128.0, 256.0)
        )
    scheduler.set_rules([], [Guarantee("audit", 8, 1)])
    scheduler.submit(JobSpec("borrower", "members", 2, 8), now=0.0)
    print(scheduler.decide(now=0.0))
    scheduler.submit(JobSpec("replay", "audit", 1, 8), now=10.0)
    print(scheduler.decide(now=10.0))
    print(
        scheduler.job_ended("borrower", 1, Outcome.STOPPED, 11.5, kept_s=11.0)
    )


if __name__ == "__main__":
    main()
