"""A stand-in of the platform's runners, by the users' page on them.

A ``Fleet`` knows all runners, as the members of a gang end together. What a
runner does is added to the fleet's record.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import json
import time
from typing import Any

from rig.http import Call
from rig.http import call
from rig.http import Listener
from rig.http import serve

__all__ = ["Fleet", "Run", "Runner"]

HEARTBEAT_S = 1.5
TICK_S = 0.02
STOP_S = 0.05
HOLD_MAX_MS = 10_000
GANG_S = 3.0
SAVE_S = 0.5
PAGE_ENDS = 500


@dataclass(slots=True)
class Run:
    """A run in progress on a runner; times are monotonic seconds."""

    task: str
    number: int
    spec: dict[str, Any]
    began_s: float
    works_s: float | None = None
    stop_s: float | None = None

    @property
    def gang(self) -> tuple[str, int]:
        """Return what the members of one run of a gang share."""
        return self.task.rpartition(".")[0], self.number


class Fleet:
    """All runners, and the record of what they were told and ran."""

    def __init__(self, record: Callable[..., None]) -> None:
        self.runners: list[Runner] = []
        self.record = record

    def find_members(self, run: Run) -> list[tuple["Runner", Run]]:
        """Return the members of a gang's run that are there now."""
        return [
            (runner, item)
            for runner in self.runners
            for item in runner.runs.values()
            if item.gang == run.gang
        ]


class Runner:
    """One machine with a runner; ``crash`` and ``boot`` end and begin a life.

    The spec of a task is JSON: ``work_s``, ``gang`` (the number of members, 0
    for none), ``saves``, and ``fails`` with the seconds after which a member
    fails, by run number and index, as in ``{"1.0": 1.5}``.

    ``hangs`` leaves all calls without an answer while the runs and the
    heartbeats go on. ``delay_starts`` is the number of next start orders that
    get no answer and are carried out only by ``deliver``. ``polls`` counts the
    calls that list the runs, ``unanswered_starts`` the start orders that came
    while the runner hung.
    """

    def __init__(
        self,
        fleet: Fleet,
        pool: str,
        zone: str,
        rack: str,
        port: int,
        control_port: int,
        capacity: dict[str, int],
        name: str,
    ) -> None:
        self.runs: dict[str, Run] = {}
        self.name = name
        self.up = False
        self.hangs = False
        self.delay_starts = 0
        self.delayed: list[Call] = []
        self.polls = 0
        self.unanswered_starts = 0
        self.zone = zone
        self.acknowledged: list[tuple[float, str, int, str]] = []
        self._ended: list[list[Any]] = []
        self._fleet = fleet
        self._pool = pool
        self._rack = rack
        self._port = port
        self._control_port = control_port
        self._capacity = capacity
        self._listener: Listener | None = None
        self._tasks: list[asyncio.Task[None]] = []
        fleet.runners.append(self)

    async def boot(self, name: str = "") -> None:
        """Begin a life, under the same id unless a new one is given."""
        self.name = name or self.name
        self.born_ms = int(time.time() * 1000)
        self._started_s = time.monotonic()
        self._sequence = 0
        self._fence = 0
        self._until_ms = 0
        self._ended = []
        self._last_end = 0
        self._closed: dict[str, int] = {}
        self._end_listed = asyncio.Event()
        self.runs = {}
        self.up = True
        self._listener = await serve(self._port, self._handle)
        self._tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._work()),
        ]
        self._note("boots", born=self.born_ms)

    async def crash(self) -> None:
        """End this life at once: the port refuses, all runs are gone."""
        self.up = False
        lost = list(self.runs.values())
        self.runs = {}
        self._note("crashes", runs=[(run.task, run.number) for run in lost])
        for task in self._tasks:
            task.cancel()
        if self._listener is not None:
            self._listener.abort()
        for run in lost:
            self._break_gang(run)

    async def deliver(self) -> None:
        """Carry out the delayed start orders; their answers are lost."""
        delayed, self.delayed = self.delayed, []
        for order in delayed:
            meant = order.headers.get("x-expect-instance", self.name)
            if self.up and meant == self.name:
                self._note("late order arrives", task=order.json()["task"])
                self._start(order)

    def clock_ms(self) -> int:
        """Return the runner's steady clock."""
        return int((time.monotonic() - self._started_s) * 1000) + 1

    def _note(self, what: str, **fields: Any) -> None:
        self._fleet.record(what, runner=self.name, zone=self.zone, **fields)

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            report = {
                "service": self._pool,
                "address": f"127.0.0.1:{self._port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold-left-ms": 0,
                "capacity": self._capacity,
                "labels": ["a", self._rack],
                "clock-ms": self.clock_ms(),
                "seq": self._sequence,
                "born": self.born_ms,
            }
            path = f"/instances/{self.name}"
            await call("PUT", self._control_port, path, 1.0, report)
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, received: Call) -> tuple[int, Any] | None:
        if self.hangs:
            if received.path == "/run-start":
                self.unanswered_starts += 1
                self._note("leaves an order", task=received.json()["task"])
            return None
        if received.headers.get("x-expect-instance", self.name) != self.name:
            return 421, self._envelope()
        if received.path == "/run-start":
            if self.delay_starts:
                self.delay_starts -= 1
                self.delayed.append(received)
                self._note("order held", task=received.json()["task"])
                return None
            return self._start(received)
        if received.path == "/run-stop":
            return self._stop(received)
        if received.path == "/hold":
            self.polls += 1
            answer = await self._hold(received)
            return None if self.hangs else answer
        return 404, None

    def _envelope(self, **fields: Any) -> dict[str, Any]:
        return {"clock-ms": self.clock_ms(), "born": self.born_ms, **fields}

    def _refuse(self, reason: str) -> tuple[int, Any]:
        return 409, self._envelope(reason=reason)

    def _is_fenced(self, body: dict[str, Any]) -> bool:
        if body.get("fence", 0) < self._fence:
            return True
        self._fence = body.get("fence", 0)
        return False

    def _extend(self, until_ms: int) -> None:
        limit_ms = self.clock_ms() + HOLD_MAX_MS
        self._until_ms = max(self._until_ms, min(until_ms, limit_ms))

    def _has_room(self, spec: dict[str, Any]) -> bool:
        needs = spec.get("needs", {})
        return all(
            sum(run.spec.get("needs", {}).get(what, 0) for run in self._all())
            + amount
            <= self._capacity.get(what, 0)
            for what, amount in needs.items()
        )

    def _all(self) -> list[Run]:
        return list(self.runs.values())

    def _start(self, received: Call) -> tuple[int, Any]:
        body = received.json()
        task, number = body["task"], body["run"]
        if self._is_fenced(body):
            return self._refuse("fence")
        if number <= self._closed.get(task, 0):
            self._extend(body["until-ms"])
            return self._refuse("old")
        present = self.runs.get(task)
        if present is not None:
            self._extend(body["until-ms"])
            if present.number == number:
                return 200, self._envelope()
            return self._refuse("old")
        if body["until-ms"] <= self.clock_ms():
            return self._refuse("late")
        spec = json.loads(body["spec"])
        self._extend(body["until-ms"])
        if not self._has_room(spec):
            return self._refuse("room")
        run = Run(task, number, spec, time.monotonic())
        self.runs[task] = run
        self._note("starts", task=task, run=number, fence=body["fence"])
        if not spec.get("gang"):
            run.works_s = run.began_s
        elif len(self._fleet.find_members(run)) >= spec["gang"]:
            for _, member in self._fleet.find_members(run):
                member.works_s = time.monotonic()
        return 200, self._envelope()

    def _stop(self, received: Call) -> tuple[int, Any]:
        body = received.json()
        if self._is_fenced(body):
            return self._refuse("fence")
        task, number = body["task"], body["run"]
        self._note("is told to stop", task=task, run=number)
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            run.stop_s = run.stop_s or time.monotonic() + STOP_S
        else:
            self._closed[task] = max(self._closed.get(task, 0), number)
        return 200, self._envelope()

    async def _hold(self, received: Call) -> tuple[int, Any]:
        body = received.json()
        if self._is_fenced(body):
            return self._refuse("fence")
        self._extend(body.get("until-ms", 0))
        cursor = body.get("ack-cursor", 0)
        for end in self._ended:
            if end[0] <= cursor:
                self._note("end is noted", task=end[1], run=end[2], how=end[3])
                self.acknowledged.append(
                    (time.monotonic(), end[1], end[2], end[3])
                )
        self._ended = [end for end in self._ended if end[0] > cursor]
        wait_s = body.get("wait-ms", 0) / 1000
        if not self._ended and wait_s:
            self._end_listed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._end_listed.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, self._find_save(run), self._percent(run), 0]
            for run in self._all()
        ]
        return 200, self._envelope(
            running=running, ended=self._ended[:PAGE_ENDS]
        )

    def _percent(self, run: Run) -> int:
        if run.works_s is None:
            return 0
        share = (time.monotonic() - run.works_s) / run.spec["work_s"]
        return min(99, int(100 * share))

    def _find_save(self, run: Run) -> str:
        if not run.spec.get("saves") or run.works_s is None:
            return ""
        saves = int((time.monotonic() - run.works_s) / SAVE_S)
        return f"{saves:016x}" if saves else ""

    async def _work(self) -> None:
        while True:
            for run in self._all():
                if run.task in self.runs:
                    self._advance(run)
            await asyncio.sleep(TICK_S)

    def _advance(self, run: Run) -> None:
        now = time.monotonic()
        index = run.task.rpartition(".")[2]
        fails = run.spec.get("fails", {}).get(f"{run.number}.{index}")
        if self.clock_ms() > self._until_ms:
            self._end(run, "lapsed")
        elif run.stop_s is not None and now >= run.stop_s:
            self._end(run, "stopped")
        elif run.works_s is None:
            if now - run.began_s > GANG_S:
                self._end(run, "alone")
        elif fails is not None and now - run.works_s >= fails:
            self._end(run, "failed")
        elif now - run.works_s >= run.spec["work_s"]:
            members = [(self, run)]
            if run.spec.get("gang"):
                members = self._fleet.find_members(run)
            for runner, member in members:
                runner._end(member, "done")

    def _end(self, run: Run, how: str) -> None:
        saved = self._find_save(run)
        del self.runs[run.task]
        self._closed[run.task] = run.number
        self._last_end += 1
        self._ended.append([self._last_end, run.task, run.number, how, saved])
        self._note("ends", task=run.task, run=run.number, how=how)
        self._end_listed.set()
        if how not in ("done", "broken"):
            self._break_gang(run)

    def _break_gang(self, run: Run) -> None:
        if run.spec.get("gang"):
            for runner, member in self._fleet.find_members(run):
                runner._end(member, "broken")
