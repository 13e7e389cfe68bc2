"""Test an agent that starts after the controller took over.

It must learn which agent is the controller, and then take part in a gang that
needs both workers.
"""

import asyncio

from protocolfake import ProtocolSystem
from virtual import run_virtual


class TestLateAgent:
    def test_finds_the_controller(self):
        async def work() -> None:
            workers = {"a1": "a", "a2": "a"}
            system = ProtocolSystem(1, workers)
            try:
                await system.start()
                await system.kill("agent-a2")
                await asyncio.sleep(60.0)
                await system.start_agent("a2")
                await asyncio.sleep(10.0)
                await system.submit("north.j", 2, 8)
                await asyncio.sleep(60.0)
                statuses = await system.read_job_statuses()
                assert statuses["north.j"] == "done"
            finally:
                await system.stop()

        run_virtual(work())
