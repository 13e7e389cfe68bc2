"""Test submitting a job while answers of the table are lost."""

import asyncio

from virtual import run_virtual

from hickorywing.jobapi import JobApi
from hickorywing.jobapi import JobRequest
from hickorywing.metrics import Metrics
from hickorywing.standins.tables import MemoryTable
from hickorywing.table import Check
from hickorywing.table import new_nonce
from hickorywing.table import Transaction
from hickorywing.zonejobs import job_key
from hickorywing.zonejobs import JobRow
from hickorywing.zonejobs import JobStatus


class TestSubmit:
    def test_controller_may_write_before_the_retry(self):
        async def work() -> None:
            table = MemoryTable()
            table.faults.lose_answers = 1
            notified = []
            api = JobApi(
                table,
                Metrics("e"),
                lambda spec: None,
                lambda spec: "a",
                lambda zone, job_id: notified.append(job_id),
            )
            job_request = JobRequest(accelerators=1)
            spec = job_request.to_spec("north.j", "north")
            submit = asyncio.create_task(api._commit(job_request, spec, "a"))
            await asyncio.sleep(0.1)
            row = table.rows[job_key("north.j")]
            placed = JobRow.from_value(row.value).change(
                status=JobStatus.PLACED, attempt=1
            )
            table.apply(
                Transaction(
                    [Check(row.key, row.version)],
                    [placed.to_write()],
                    new_nonce(),
                )
            )
            answer = await submit
            assert answer.status == 201
            assert notified == ["north.j"]

        run_virtual(work())
