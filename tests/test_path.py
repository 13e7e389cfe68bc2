"""Requests, jobs and zone changes through a system of real processes."""

import asyncio

from helpers import count_runs
from helpers import list_starts
from helpers import NORTH
from helpers import OPERATOR
from helpers import SOUTH
from helpers import submit
from helpers import wait_for_status


class TestWholePath:
    async def test_requests_jobs_and_zones(self, system):
        await self.check_requests(system)
        await self.check_tokens(system)
        await self.check_jobs(system)
        await self.check_zone(system)
        codes = await system.stop_all()
        assert set(codes.values()) == {0}

    async def check_requests(self, system):
        async def call(number: int):
            return await system.call(
                f"entry-{number % 2 + 1}",
                "POST",
                "/v1/services/jobs/echo",
                {"n": number},
                NORTH,
                {"X-Work": f"w{number}"},
            )

        answers = await asyncio.gather(*(call(n) for n in range(40)))
        for number, answer in enumerate(answers):
            assert answer.status == 200
            assert answer.body == f'w{number}:{{"n": {number}}}'.encode()
        key = {"Idempotency-Key": "k", "X-Work": "keyed"}
        first = await system.call(
            "entry-1", "POST", "/v1/services/jobs/x", 1, NORTH, key
        )
        repeated = await system.call(
            "entry-2", "POST", "/v1/services/jobs/x", 1, NORTH, key
        )
        other = await system.call(
            "entry-2", "POST", "/v1/services/jobs/x", 2, NORTH, key
        )
        assert (first.status, repeated.status, other.status) == (200, 200, 422)
        assert repeated.body == first.body
        runs = await count_runs(system)
        assert set(runs.values()) == {1}

    async def check_tokens(self, system):
        path = "/v1/jobs/none"
        for token, status in (("", 401), ("wrong", 401), (NORTH, 404)):
            answer = await system.call("entry-1", "GET", path, None, token)
            assert answer.status == status
        answer = await system.call(
            "entry-1", "POST", "/v1/zones/a/out", None, NORTH
        )
        assert answer.status == 403

    async def check_jobs(self, system):
        gang = await submit(system, NORTH, tasks=2, accelerators=8, run_s=1)
        small = await submit(
            system, SOUTH, entry="entry-2", tasks=4, cores=1, run_s=1
        )
        long = await submit(system, SOUTH, accelerators=1, run_s=500)
        await wait_for_status(system, NORTH, gang, "done")
        await wait_for_status(system, SOUTH, small, "done")
        await wait_for_status(system, SOUTH, long, "started")
        others_view = await system.call(
            "entry-1", "GET", f"/v1/jobs/{long}", None, NORTH
        )
        assert others_view.status == 404
        await system.call(
            "entry-1", "POST", "/v1/cancellations", {"ids": []}, SOUTH
        )
        await wait_for_status(system, SOUTH, long, "cancelled")
        oversized = await system.call(
            "entry-1", "POST", "/v1/jobs", {"accelerators": 16}, NORTH
        )
        assert oversized.status == 422
        starts = await list_starts(system)
        names = [start["task_id"] for start in starts]
        assert len(names) == len(set(names))

    async def check_zone(self, system):
        job = await submit(system, NORTH, accelerators=8, run_s=300)
        started = await wait_for_status(system, NORTH, job, "started")
        zone = started["zone"]
        answer = await system.call(
            "entry-1", "POST", f"/v1/zones/{zone}/out", None, OPERATOR
        )
        assert answer.status == 200
        assert answer.data()["not_confirmed"] == []

        async def moved() -> bool:
            view = await wait_for_status(system, NORTH, job, "started")
            return view["zone"] != zone

        for _ in range(200):
            if await moved():
                break
            await asyncio.sleep(0.1)
        assert await moved()
        back = await system.call(
            "entry-2", "POST", f"/v1/zones/{zone}/in", None, OPERATOR
        )
        assert back.status == 200
        await system.call(
            "entry-1", "POST", f"/v1/jobs/{job}/cancel", None, NORTH
        )
        await wait_for_status(system, NORTH, job, "cancelled")
