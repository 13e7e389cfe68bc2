"""Failures of real processes: kills, freezes, a dead or slow table, races."""

import asyncio
import signal

from helpers import count_runs
from helpers import list_starts
from helpers import NORTH
from helpers import OPERATOR
from helpers import show
from helpers import submit
from helpers import wait_for_status
from helpers import wait_for_workers
from helpers import WAIT_TIMEOUT_S
from launcher import wait_until


async def set_table_faults(system, **faults) -> None:
    answer = await system.call("table", "POST", "/faults", faults)
    assert answer.status == 200


async def call_keyed(system, entry, key, work):
    return await system.call(
        entry,
        "POST",
        "/v1/services/jobs/refund",
        {"work": work},
        NORTH,
        {"Idempotency-Key": key, "X-Work": work},
    )


class TestTableFailures:
    async def test_outage_lost_answers_and_slowness(self, system):
        await self.check_lost_answers(system)
        job = await submit(system, NORTH, tasks=2, accelerators=8, run_s=12)
        await wait_for_status(system, NORTH, job, "started")
        await self.check_outage(system)
        await set_table_faults(system)
        await wait_for_status(system, NORTH, job, "done")
        attempts = [
            start["attempt"]
            for start in await list_starts(system)
            if start["job_id"] == job
        ]
        assert attempts == [1, 1]
        await self.check_slow(system)

    async def check_lost_answers(self, system):
        await set_table_faults(system, lose_answers=3)
        first = await call_keyed(system, "entry-1", "lost", "lost-1")
        assert first.status == 200
        again = await call_keyed(system, "entry-2", "lost", "lost-1")
        assert again.body == first.body
        await set_table_faults(system, lose_answers=2)
        job = await submit(system, NORTH, accelerators=1, run_s=0.5)
        await wait_for_status(system, NORTH, job, "done")
        assert (await count_runs(system))["lost-1"] == 1

    async def check_outage(self, system):
        await set_table_faults(system, down=True)
        keyed = await call_keyed(system, "entry-1", "down", "down-1")
        assert keyed.status == 503
        assert keyed.run == "not run"
        assert int(keyed.headers["retry-after"]) >= 1
        plain = await system.call(
            "entry-1", "POST", "/v1/services/jobs/x", 1, NORTH
        )
        assert plain.status == 200
        refused = await system.call("entry-2", "POST", "/v1/jobs", {}, NORTH)
        assert (refused.status, refused.run) == (503, "not run")
        zone = await system.call(
            "entry-1", "POST", "/v1/zones/b/out", None, OPERATOR
        )
        assert (zone.status, zone.run) == (503, "not run")
        await asyncio.sleep(15.0)
        assert "down-1" not in await count_runs(system)

    async def check_slow(self, system):
        await set_table_faults(system, delay_s=2.0)
        job = await submit(system, NORTH, tasks=2, accelerators=8, run_s=1)
        await wait_for_status(system, NORTH, job, "done")
        await set_table_faults(system)


class TestKills:
    async def test_agent_controller_and_entry(self, system):
        job = await submit(system, NORTH, accelerators=8, run_s=200)
        started = await wait_for_status(system, NORTH, job, "started")
        worker = started["workers"][0]
        status = await system.call(
            "entry-2", "GET", "/v1/status", token=OPERATOR
        )
        zone = next(
            item
            for item in status.data()["zones"]
            if item["zone"] == started["zone"]
        )
        controller = zone["controller"].partition("#")[0]
        system.kill("entry-1")
        system.kill(controller)
        if controller != f"agent-{worker}":
            system.kill(f"agent-{worker}")

        async def is_restarted() -> bool:
            view = await show(system, NORTH, job)
            return view["status"] == "started" and view["attempt"] > 1

        await wait_until(is_restarted, 2 * WAIT_TIMEOUT_S, "a second attempt")
        starts = await list_starts(system)
        tasks = [item["task_id"] for item in starts]
        assert len(tasks) == len(set(tasks))

    async def test_resumed_agent_leaves_moved_job_alone(self, system):
        job = await submit(system, NORTH, accelerators=8, run_s=200)
        started = await wait_for_status(system, NORTH, job, "started")
        agent = f"agent-{started['workers'][0]}"
        system.signal(agent, signal.SIGSTOP)

        async def is_moved() -> bool:
            view = await show(system, NORTH, job)
            return view["status"] == "started" and view["attempt"] > 1

        await wait_until(is_moved, 2 * WAIT_TIMEOUT_S, "another attempt")
        system.signal(agent, signal.SIGCONT)
        await asyncio.sleep(5.0)
        view = await show(system, NORTH, job)
        assert view["status"] == "started"
        assert view["workers"] != started["workers"]


class TestRequestsUnderFailure:
    async def test_backend_and_agent_kills_never_run_twice(self, system):
        stop = asyncio.Event()
        answers: dict[str, tuple[int, str]] = {}

        async def load(number: int) -> None:
            turn = 0
            while not stop.is_set():
                turn += 1
                work = f"r{number}-{turn}"
                answer = await system.call(
                    f"entry-{number % 2 + 1}",
                    "POST",
                    "/v1/services/jobs/x",
                    {"work": work},
                    NORTH,
                    {"X-Work": work, "Hickorywing-Timeout-S": "5"},
                )
                answers[work] = (answer.status, answer.run)

        tasks = [asyncio.create_task(load(number)) for number in range(6)]
        await asyncio.sleep(2.0)
        system.kill("agent-runner-1")
        await asyncio.sleep(3.0)
        system.start("agent-runner-1")
        await system.wait_serving(["agent-runner-1"])
        await asyncio.sleep(2.0)
        system.signal("agent-runner-2", signal.SIGSTOP)
        await asyncio.sleep(4.0)
        system.signal("agent-runner-2", signal.SIGCONT)
        await asyncio.sleep(3.0)
        stop.set()
        await asyncio.gather(*tasks)
        runs = await count_runs(system)
        assert len(answers) > 100
        for work, (status, run) in answers.items():
            if status == 200:
                assert runs.get(work) == 1, work
            elif run == "not run":
                assert work not in runs, work
        assert max(runs.values()) == 1

    async def test_planned_stops_complete_requests(self, system):
        answers = []

        async def call(entry: str, number: int) -> None:
            answer = await system.call(
                entry,
                "POST",
                "/v1/services/jobs/slow",
                {"n": number},
                NORTH,
                {"X-Work": f"s{number}"},
            )
            answers.append(answer.status)

        for runner in ("runner-1", "runner-2"):
            await system.call(runner, "POST", "/faults", {"delay_s": 2.0})
        tasks = [
            asyncio.create_task(call("entry-1", number))
            for number in range(12)
        ]
        await asyncio.sleep(0.7)
        codes = await asyncio.gather(
            system.stop("agent-runner-1"), system.stop("entry-1")
        )
        await asyncio.gather(*tasks)
        assert codes == [0, 0]
        assert answers == [200] * 12


class TestOperators:
    async def test_racing_changes_have_one_winner(self, system):
        version = (
            await system.call("entry-1", "GET", "/v1/config", token=OPERATOR)
        ).data()["version"]
        headers = {"If-Match": str(version)}
        first, second = await asyncio.gather(
            system.call(
                "entry-1", "POST", "/v1/zones/a/out", None, OPERATOR, headers
            ),
            system.call(
                "entry-2", "POST", "/v1/zones/b/out", None, OPERATOR, headers
            ),
        )
        assert sorted([first.status, second.status]) == [200, 409]
        loser = first if first.status == 409 else second
        assert loser.data()["version"] == version + 1

    async def test_bad_documents_change_nothing(self, system):
        bad = {
            "regions": [{"name": "r", "zones": ["a"]}],
            "workers": [
                {"id": "x", "zone": "q", "rack": "k", "cores": 1,
                 "memory_gb": 1, "accelerators": 99},
                {"id": "x", "zone": "a", "rack": "k", "cores": 0,
                 "memory_gb": 1},
            ],
        }  # fmt: skip
        answer = await system.call(
            "entry-1", "PUT", "/v1/inventory", bad, OPERATOR
        )
        assert answer.status == 422
        findings = " ".join(answer.data()["findings"])
        for part in ("[0].zone", "[0].accelerators", "[1].id", "[1].cores"):
            assert part in findings
        await wait_for_workers(system, {"a": 16, "b": 8}, OPERATOR)
