"""Run the system of ``examples/cooperative`` on loopback and check it.

Exits with 1 if a request or job breaks a guarantee or a stop is not graceful.
"""

import argparse
import asyncio
from collections import Counter
import datetime
from pathlib import Path
import shutil
import sys
import time

import json5
from launcher import Launcher
from launcher import Plan
from launcher import wait_until

from hickorywing.program import wait_for_stop
from hickorywing.rules import hash_token

__all__ = ["Demo", "main"]

EXAMPLE = Path(__file__).parent.parent / "examples" / "cooperative"
OPERATOR = "operations-token"
MEMBERS = "members-token"


def read_example(name: str) -> dict:
    """Return one document of the example."""
    return json5.loads((EXAMPLE / name).read_text("utf-8"))


class Demo:
    """One run of the demo; ``violations`` lists the guarantees it broke."""

    def __init__(self) -> None:
        self.inventory = read_example("inventory.jsonc")
        zones = self.inventory["regions"][0]["zones"]
        plan = Plan(
            zones=zones,
            backends=zones,
            workers=[
                (worker["id"], worker["zone"])
                for worker in self.inventory["workers"]
            ],
            operator_sha256=hash_token("bootstrap"),
        )
        folder = Path("out/demo")
        shutil.rmtree(folder, ignore_errors=True)
        self.system = Launcher(folder, plan)
        self.answers: Counter[str] = Counter()
        self.outcomes: dict[str, tuple[int, str]] = {}
        self.violations: list[str] = []

    async def run(self) -> None:
        """Run the system under load while a zone is taken out and back in."""
        began = time.monotonic()
        self.system.prepare()
        self.system.start_all()
        await self.system.wait_serving()
        print(f"{len(self.system.processes)} processes serve", end="")
        print(f" after {time.monotonic() - began:.1f} s")
        await self.load_documents()
        jobs = await self.submit_jobs()
        stop = asyncio.Event()
        senders = [
            asyncio.create_task(self.send_requests(number, stop))
            for number in range(4)
        ]
        await asyncio.sleep(5.0)
        await self.change_zone("rosario", "out")
        await asyncio.sleep(8.0)
        await self.change_zone("rosario", "in")
        await self.wait_for_jobs(jobs)
        stop.set()
        await asyncio.gather(*senders)
        await self.check_runs()
        await self.show_timeline()
        codes = await self.system.stop_all()
        failures = {name: code for name, code in codes.items() if code}
        if failures:
            self.violations.append(f"stops that were not graceful: {failures}")
        print(f"all {len(codes)} processes stopped gracefully: {not failures}")

    async def hold(self) -> None:
        """Start the system and keep it running until interrupted."""
        self.system.prepare()
        self.system.start_all()
        await self.system.wait_serving()
        await self.load_documents()
        print(f"export HICKORYWING_ENTRY=http://{self.system.http['entry-1']}")
        print(f"export HICKORYWING_TOKEN={OPERATOR}")
        print("stop with Ctrl-C", flush=True)
        await wait_for_stop()
        await self.system.stop_all()

    async def load_documents(self) -> None:
        """Load the example's inventory and rules."""
        for path, data in (
            ("/v1/inventory", self.inventory),
            ("/v1/rules", read_example("rules.jsonc")),
        ):
            answer = await self.system.call(
                "entry-1", "PUT", path, data, "bootstrap"
            )
            change = answer.data()
            print(f"{path}: version {change['version']} in force", end="")
            print(f" at {len(change['in_force'])} processes")
        await wait_until(self._is_ready, 60.0, "all workers")

    async def _is_ready(self) -> bool:
        """Return whether all 80 accelerators of the inventory are free."""
        answer = await self.system.call(
            "entry-2", "GET", "/v1/status", token=OPERATOR
        )
        if answer.status != 200:
            return False
        zones = answer.data()["zones"]
        return sum(zone["free_accelerators"] for zone in zones) == 80

    async def submit_jobs(self) -> list[str]:
        """Submit gangs of several customers."""
        submissions = [
            ("audit", {"tasks": 3, "accelerators": 8, "run_s": 12}),
            ("members", {"tasks": 2, "accelerators": 8, "run_s": 20}),
            ("carriers", {"tasks": 2, "accelerators": 4, "run_s": 6}),
            ("abuse-desk", {"accelerators": 1, "run_s": 4, "urgent": True}),
            ("members", {"tasks": 6, "cores": 4, "run_s": 5}),
        ]
        ids = []
        for customer, job in submissions:
            answer = await self.system.call(
                "entry-1", "POST", "/v1/jobs", job, f"{customer}-token"
            )
            ids.append(answer.data()["id"])
        return ids

    async def send_requests(self, number: int, stop: asyncio.Event) -> None:
        """Send safe and keyed requests in turn until ``stop`` is set."""
        count = 0
        while not stop.is_set():
            count += 1
            work = f"w{number}-{count}"
            headers = {"X-Work": work}
            method = "GET" if count % 2 else "POST"
            if method == "POST":
                headers["Idempotency-Key"] = work
            answer = await self.system.call(
                f"entry-{number % 2 + 1}",
                method,
                "/v1/services/jobs/rov",
                None if method == "GET" else {"work": work},
                MEMBERS,
                headers,
            )
            self.outcomes[work] = (answer.status, answer.run)
            self.answers[f"{method} {answer.status} {answer.run}"] += 1
            await asyncio.sleep(0.02)

    async def change_zone(self, zone: str, state: str) -> None:
        """Take a zone out of service or bring it back in."""
        answer = await self.system.call(
            "entry-2", "POST", f"/v1/zones/{zone}/{state}", None, OPERATOR
        )
        change = answer.data()
        print(f"zone {zone} {state}: version {change['version']}", end="")
        print(f" in force after {change['waited_s']} s", end="")
        print(f", not confirmed: {change['not_confirmed']}")

    async def wait_for_jobs(self, ids: list[str]) -> None:
        """Wait until every job is done."""
        for job_id in ids:
            customer = job_id.partition(".")[0]

            async def is_done(
                job_id: str = job_id, customer: str = customer
            ) -> dict | None:
                answer = await self.system.call(
                    "entry-1",
                    "GET",
                    f"/v1/jobs/{job_id}",
                    None,
                    f"{customer}-token",
                )
                job = answer.data()
                return job if job["status"] in ("done", "failed") else None

            job = await wait_until(is_done, 120.0, job_id)
            print(f"{job_id}: {job['status']} in {job['zone']}", end="")
            print(f", attempt {job['attempt']}")
            if job["status"] != "done":
                self.violations.append(f"{job_id} {job['status']}")

    async def check_runs(self) -> None:
        """Compare every answer with the runs that the backend servers count.

        A request that was answered with 200 must have run, one that was
        answered with "not run" must not, and a keyed one (even number) must
        not run twice.
        """
        runs: Counter[str] = Counter()
        for name in self.system.processes:
            if name.startswith("runner"):
                answer = await self.system.call(name, "GET", "/executions")
                runs.update(answer.data()["runs"])
        for work, (status, run) in self.outcomes.items():
            if status == 200 and runs[work] < 1:
                self.violations.append(f"{work} answered but never ran")
            if run == "not run" and runs[work]:
                self.violations.append(f"{work} ran after 'not run'")
            if runs[work] > 1 and int(work.rpartition("-")[2]) % 2 == 0:
                self.violations.append(f"{work} ran {runs[work]} times")
        print(f"requests: {dict(self.answers)}")

    async def show_timeline(self) -> None:
        """Print the merged events of all processes."""
        answer = await self.system.call(
            "entry-1", "GET", "/v1/timeline", token=OPERATOR
        )
        events = answer.data()
        shown = [
            event
            for event in events
            if event["kind"].startswith(("job", "zone", "attempt", "conf"))
            and event["kind"] != "configuration adopted"
        ]
        print(f"timeline, {len(shown)} of {len(events)} events:")
        for event in shown:
            at = datetime.datetime.fromtimestamp(event["at"])
            line = f"  {at:%H:%M:%S.%f}"[:-3] + f" {event['process']:<15}"
            line += f" {event['kind']:<24} {event['subject']}"
            print(f"{line} {event['detail']}".rstrip())


def main() -> None:
    """Run the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--hold",
        action="store_true",
        help="start the system only, and keep it running",
    )
    options = parser.parse_args()
    demo = Demo()
    try:
        asyncio.run(demo.hold() if options.hold else demo.run())
    finally:
        demo.system.kill_all()
    for line in demo.violations:
        print(f"BROKEN: {line}", file=sys.stderr)
    print("every promise held" if not demo.violations else "see above")
    sys.exit(1 if demo.violations else 0)


if __name__ == "__main__":
    main()
