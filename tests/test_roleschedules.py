"""Random schedules of lost VMs, network cuts and false suspicions."""

import asyncio
import random

from faultystore import FaultyStore
from poolhelpers import RecordedLog

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.metrics import Metrics
from hickorywing.poollease import LEASE_S
from hickorywing.poollease import PoolLease
from hickorywing.poolrows import LeaseRow
from hickorywing.standins.rowstore import MemoryRowStore
from hickorywing.succession import NoSuccession

SCHEDULES = 12
STEPS = 20
STEP_S = 0.25
CHECK_EVERY_S = 0.01


class Schedule:
    """Four candidates whose VMs and links to the store come and go.

    A holder may be suspected although it works, as when a network cut
    separates both the candidate and its witnesses from it.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.rows = MemoryRowStore()
        self.links = {name: FaultyStore(self.rows) for name in "abcd"}
        self.leases: dict[str, PoolLease] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.began_s: dict[int, float] = {}
        self.serving: set[str] = set()

    def suspects(self, lease: LeaseRow) -> bool:
        """Return whether a candidate should treat the holder as gone.

        A lost holder is always suspected, any other at random.
        """
        lost = lease.holder not in self.tasks
        return lost or self.random.random() < 0.3

    def begin(self, name: str) -> None:
        """Start a process without any state of an earlier one."""
        metrics = Metrics(name)
        log = DecisionLog(name, "entry", metrics, RecordedLog())

        lease = PoolLease(
            "p",
            name,
            self.links[name],
            log,
            metrics,
            RandomSuspicion(self),
        )

        async def serve() -> None:
            assert lease.epoch not in self.began_s
            self.began_s[lease.epoch] = now_s()
            self.serving.add(name)
            try:
                await asyncio.Event().wait()
            finally:
                self.serving.discard(name)

        self.leases[name] = lease
        self.tasks[name] = asyncio.ensure_future(lease.run(serve))

    async def lose(self, name: str) -> None:
        """Lose a VM: its process ends without a release."""
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def check(self) -> None:
        """Check that no lease extends beyond a successor's start."""
        for name in self.tasks:
            lease = self.leases[name]
            if lease.renewed_s is None:
                continue
            later = [
                began_s
                for epoch, began_s in self.began_s.items()
                if epoch > lease.epoch
            ]
            if later:
                assert lease.no_successor_before_s() <= min(later)

    async def step(self) -> None:
        name = self.random.choice("abcd")
        action = self.random.choice(
            ("lose", "begin", "cut", "silence", "mend", "wait")
        )
        if action == "lose" and name in self.tasks:
            await self.lose(name)
        elif action == "begin" and name not in self.tasks:
            self.begin(name)
        elif action == "silence":
            self.links[name].begin_silence()
        elif action in ("cut", "mend"):
            self.links[name].cut = action == "cut"
            self.links[name].silent = False
        until_s = now_s() + STEP_S
        while now_s() < until_s:
            self.check()
            await asyncio.sleep(CHECK_EVERY_S)

    async def run(self) -> None:
        """Run the schedule, then let the candidates settle."""
        for name in self.links:
            self.begin(name)
        try:
            for _ in range(STEPS):
                await self.step()
            for name, link in self.links.items():
                link.cut = link.silent = False
                if name not in self.tasks:
                    self.begin(name)
            await asyncio.sleep(2 * LEASE_S)
            self.check()
            assert len(self.serving) == 1
        finally:
            for name in list(self.tasks):
                await self.lose(name)


class RandomSuspicion(NoSuccession):
    """Reports holders as gone after a short time, some of them wrongly."""

    def __init__(self, schedule: Schedule) -> None:
        self._schedule = schedule

    async def is_gone(self, lease: LeaseRow) -> bool:
        await asyncio.sleep(self._schedule.random.uniform(0.0, 0.3))
        return self._schedule.suspects(lease)


class TestSchedules:
    """Each term begins once, after all leases of the previous one."""

    async def test_no_lease_of_one_term_overlaps_another(self):
        await asyncio.gather(
            *(Schedule(seed).run() for seed in range(SCHEDULES))
        )
