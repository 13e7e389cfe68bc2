"""Test that an agent's row stays right."""

import asyncio

import msgspec
from poolhelpers import RecordedLog
import pytest

from hickorywing import poolagent
from hickorywing.decisions import DecisionLog
from hickorywing.metrics import Metrics
from hickorywing.poolagent import keep_registered
from hickorywing.poolrows import AgentRow
from hickorywing.poolrows import AGENTS
from hickorywing.rows import RowKey
from hickorywing.standins.rowstore import MemoryRowStore

KEY = RowKey(AGENTS, "p", "vm")
ROW = AgentRow("127.0.0.1:1", "z", "p")
OTHER_ROW = AgentRow("127.0.0.1:2", "z", "p")
UNCALLED_S = 0.1


class TestRow:
    """A row that somebody has changed hid an agent from later controllers."""

    @pytest.fixture(autouse=True)
    def shorten_wait(self, monkeypatch):
        monkeypatch.setattr(poolagent, "UNCALLED_S", UNCALLED_S)

    async def change_row(
        self, value: bytes | None, uncalled_s: float
    ) -> bytes | None:
        """Return the row a while after somebody has changed it."""
        store = MemoryRowStore()
        log = DecisionLog("vm", "agent", Metrics("vm"), RecordedLog())
        keeping = asyncio.ensure_future(
            keep_registered(store, "vm", ROW, lambda: uncalled_s, log)
        )
        await asyncio.sleep(0.02)
        assert store.rows[KEY].value == msgspec.msgpack.encode(ROW)
        store.put(KEY, value)
        await asyncio.sleep(3 * UNCALLED_S)
        keeping.cancel()
        row = store.rows.get(KEY)
        return None if row is None else row.value

    @pytest.mark.parametrize(
        "value", [msgspec.msgpack.encode(OTHER_ROW), b"\xc1", None]
    )
    async def test_is_written_again_while_nobody_calls(self, value):
        row = await self.change_row(value, uncalled_s=60.0)
        assert row == msgspec.msgpack.encode(ROW)

    async def test_is_not_read_while_a_controller_calls(self):
        assert await self.change_row(b"\xc1", uncalled_s=0.0) == b"\xc1"
