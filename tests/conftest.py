"""Fixture of a small system of real processes on loopback."""

import asyncio
from pathlib import Path

from helpers import INVENTORY
from helpers import OPERATOR
from helpers import RULES
from helpers import wait_for_workers
from launcher import Launcher
from launcher import Plan
import pytest

from hickorywing.rules import hash_token


def make_plan() -> Plan:
    return Plan(
        zones=["a", "b"],
        backends=["a", "b"],
        workers=[("a1", "a"), ("a2", "a"), ("b1", "b")],
        operator_sha256=hash_token("bootstrap"),
        service_s=0.02,
    )


async def start_system(launcher: Launcher) -> None:
    """Start all processes, load the documents and wait for the workers."""
    launcher.prepare()
    launcher.start_all()
    await launcher.wait_serving()
    answer = await launcher.call(
        "entry-1", "PUT", "/v1/inventory", INVENTORY, "bootstrap"
    )
    assert answer.status == 200, answer.body
    answer = await launcher.call(
        "entry-1", "PUT", "/v1/rules", RULES, "bootstrap"
    )
    assert answer.status == 200, answer.body
    await wait_for_workers(launcher, {"a": 16, "b": 8}, OPERATOR)


@pytest.fixture
def system(tmp_path: Path):
    """Yield a running system with two zones, and kill its processes."""
    launcher = Launcher(tmp_path / "system", make_plan())
    try:
        asyncio.run(start_system(launcher))
        yield launcher
    finally:
        launcher.kill_all()
