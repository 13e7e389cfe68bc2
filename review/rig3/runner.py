"""A runner of the platform, as PROTOCOL.md describes it."""

import asyncio
from dataclasses import dataclass
import json
import time

from review.rig3.wire import Call
from review.rig3.wire import call
from review.rig3.wire import Server

BEAT_S = 1.5
TICK_S = 0.01
HOLD_MAX_MS = 10_000
STOP_S = 0.05
LISTED_ENDS = 500


@dataclass
class Task:
    """A run in progress; times are on the steady clock, in seconds."""

    name: str
    run: int
    began_s: float
    ends_s: float
    how: str
    needs: "tuple[int, int, int]" = (0, 0, 0)
    stopping: bool = False


class Runner:
    """One runner; the ``spec`` of a task says how long it takes.

    ``spec`` is JSON: ``run-s`` is the run time and ``how`` the end.
    ``history`` records what happened: (seconds, event, task, run).
    """

    def __init__(
        self, name: str, service: str, zone: str, address: str, control: str
    ) -> None:
        self.name = name
        self.address = address
        self.control = control
        self.history: list[tuple[float, str, str, int]] = []
        self.capacity = {"cpu": 128_000, "mem-mb": 262_144, "gpu": 8}
        self.labels = ["a", "r1"]
        self.state = "ready"
        self.remaining_ms = 0
        # When the last status report was sent.
        self.beat_s = 0.0
        self.answers: dict[str, int] = {}
        # When a lease has expired, whether anything ran or not.
        self.lapses_s: list[float] = []
        self.acked_s: dict[tuple[str, int], float] = {}
        self._service = service
        self._zone = zone
        self.server = Server(self.handle)
        self.begin()

    def begin(self) -> None:
        """Begin a life that knows nothing of before."""
        self.born = int(time.time() * 1000)
        self._began_s = time.monotonic()
        self._seq = 0
        self._fence = 0
        self._until_ms = 0
        self._is_lapsed = True
        self.tasks: dict[str, Task] = {}
        self._closed: dict[str, int] = {}
        self.ended: list[list] = []
        self._count = 0
        self._news = asyncio.Event()

    def clock_ms(self) -> int:
        """Return the runner's steady clock."""
        return int((time.monotonic() - self._began_s) * 1000)

    def note(self, event: str, task: str, run: int) -> None:
        """Record an event."""
        self.history.append((time.monotonic(), event, task, run))

    async def run(self) -> None:
        """Serve, beat and end tasks until cancelled."""
        await self.server.start(self.address)
        await asyncio.gather(self._beat(), self._tick())

    def make_beat(self) -> dict:
        """Return the next status report."""
        self._seq += 1
        beat = {
            "service": self._service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-left-ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock-ms": self.clock_ms(),
            "born": self.born,
            "seq": self._seq,
        }
        if self.state == "draining":
            beat["remaining-ms"] = self.remaining_ms
        return beat

    async def send_beat(self) -> None:
        """Send one status report."""
        self.beat_s = time.monotonic()
        body = json.dumps(self.make_beat()).encode()
        path = f"/instances/{self.name}"
        await call(self.control, "PUT", path, body, timeout_s=1.0)

    async def _beat(self) -> None:
        # An agent that has just started isn't there yet.
        pause_s = 0.2
        while True:
            await self.send_beat()
            await asyncio.sleep(pause_s)
            pause_s = min(BEAT_S, pause_s * 2)

    async def _tick(self) -> None:
        while True:
            now_s = time.monotonic()
            lapsed = self.clock_ms() > self._until_ms
            if lapsed and self._until_ms and not self._is_lapsed:
                self.lapses_s.append(now_s)
            self._is_lapsed = lapsed
            for task in list(self.tasks.values()):
                if lapsed:
                    self._end(task, "lapsed")
                elif now_s >= task.ends_s:
                    self._end(task, "stopped" if task.stopping else task.how)
            await asyncio.sleep(TICK_S)

    def _end(self, task: Task, how: str) -> None:
        del self.tasks[task.name]
        self._count += 1
        self._closed[task.name] = task.run
        self.ended.append([self._count, task.name, task.run, how, ""])
        self.note(how, task.name, task.run)
        self._news.set()
        self._news = asyncio.Event()

    async def handle(self, request: Call) -> "tuple[int, dict] | None":
        """Answer one call of the machine's agent."""
        status, data = 404, {}
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.name):
            status = 421
        else:
            body = request.decode()
            if body.get("fence", 0) < self._fence:
                status, data = 409, {"reason": "fence"}
            else:
                self._fence = body.get("fence", 0)
                if request.path == "/run-start":
                    status, data = self._start(body)
                elif request.path == "/run-stop":
                    status, data = self._stop(body)
                elif request.path == "/hold":
                    status, data = await self._hold(body)
            self._count_answer(request.path, status, data)
        return status, {"clock-ms": self.clock_ms(), "born": self.born, **data}

    def _count_answer(self, path: str, status: int, data: dict) -> None:
        key = f"{path} {status} {data.get('reason', '')}".rstrip()
        self.answers[key] = self.answers.get(key, 0) + 1

    def _extend(self, body: dict) -> None:
        limit_ms = self.clock_ms() + HOLD_MAX_MS
        wanted_ms = min(body.get("until-ms", 0), limit_ms)
        self._until_ms = max(self._until_ms, wanted_ms)

    def _start(self, body: dict) -> tuple[int, dict]:
        name, run = body["task"], body["run"]
        self._extend(body)
        present = self.tasks.get(name)
        if present is not None and present.run == run:
            return 200, {}
        if present is not None or run <= self._closed.get(name, 0):
            return 409, {"reason": "old"}
        if self._until_ms < self.clock_ms():
            return 409, {"reason": "late"}
        spec = json.loads(body["spec"] or "{}")
        needs = tuple(spec.get("needs", (0, 0, 0)))
        room = self.capacity.values()
        for index, limit in enumerate(room):
            used = sum(task.needs[index] for task in self.tasks.values())
            if used + needs[index] > limit:
                return 409, {"reason": "room"}
        now_s = time.monotonic()
        self.tasks[name] = Task(
            name,
            run,
            now_s,
            now_s + spec.get("run-s", 0.1),
            spec.get("how", "done"),
            needs,
        )
        self.note("start", name, run)
        return 200, {}

    def _stop(self, body: dict) -> tuple[int, dict]:
        name, run = body["task"], body["run"]
        present = self.tasks.get(name)
        if present is not None and present.run <= run:
            present.stopping = True
            present.ends_s = min(present.ends_s, time.monotonic() + STOP_S)
        self._closed[name] = max(self._closed.get(name, 0), run)
        return 200, {}

    async def _hold(self, body: dict) -> tuple[int, dict]:
        self._extend(body)
        cursor = body.get("ack-cursor", 0)
        for end in self.ended:
            if end[0] <= cursor:
                self.acked_s.setdefault((end[1], end[2]), time.monotonic())
        self.ended = [end for end in self.ended if end[0] > cursor]
        wait_s = min(body.get("wait-ms", 0), 2000) / 1000
        if wait_s and not self.ended:
            try:
                await asyncio.wait_for(self._news.wait(), wait_s)
            except TimeoutError:
                pass
        now_s = time.monotonic()
        running = [
            [
                task.name,
                task.run,
                "",
                min(
                    99,
                    int(
                        100
                        * (now_s - task.began_s)
                        / max(task.ends_s - task.began_s, 0.001)
                    ),
                ),
                0,
            ]
            for task in self.tasks.values()
        ]
        return 200, {"running": running, "ended": self.ended[:LISTED_ENDS]}
