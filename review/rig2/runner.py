"""A stand-in of a runner, and of what the runners of a platform share.

A runner takes orders and tells its agent of itself as PROTOCOL.md says. Its
tasks do nothing until their time is over. All that happens is recorded.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import time

import aiohttp
from aiohttp import web

from rig2.serving import serve

BEAT_S = 1.5
BEAT_TIMEOUT_S = 1.0
TICK_S = 0.02
STOP_S = 0.05
GANG_S = 3.0
HOLD_MAX_MS = 10_000
MAX_LISTED_ENDS = 500
CAPACITY = {"cpu": 64_000, "mem-mb": 262_144, "gpu": 8}
RESOURCES = tuple(CAPACITY)


@dataclass
class Event:
    """Something that a runner did, at ``at_s`` of the monotonic clock.

    ``what`` is ``start``, the way in which a run ended, or ``noted`` for an
    end that ``ack-cursor`` has reached.
    """

    at_s: float
    what: str
    runner: str
    task: str
    run: int


@dataclass
class Run:
    """A run on a runner; ``began_s`` is ``None`` until its gang is whole."""

    task: str
    run: int
    step: dict
    work_s: float
    present_s: float
    began_s: float | None = None
    stop_at_s: float | None = None


@dataclass
class Platform:
    """What the runners share: the jobs' steps, the record and the gangs.

    ``steps`` maps a job to its steps, ``work_s`` to the seconds of each task.
    """

    steps: dict[str, list[dict]] = field(default_factory=dict)
    work_s: dict[str, float] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    runners: list["Runner"] = field(default_factory=list)

    def find_step(self, task: str) -> dict:
        """Return the step of a task as its client has sent it."""
        job, _, step, _ = task.split(".")
        return self.steps[job][int(step)]

    def list_gang(self, run: Run) -> list[tuple["Runner", Run]]:
        """Return the present members of the gang of a run."""
        prefix = run.task.rpartition(".")[0] + "."
        return [
            (runner, item)
            for runner in self.runners
            for item in runner.runs.values()
            if item.run == run.run and item.task.startswith(prefix)
        ]


class Runner:
    """One runner; ``runs`` holds what is on it by task."""

    def __init__(
        self,
        number: int,
        platform: Platform,
        service: str,
        zone: str,
        rack: int,
    ) -> None:
        self.name = f"i-{0x9046FF59E0 + number:010x}"
        self.address = ""
        self.agent = ""
        self.runs: dict[str, Run] = {}
        self._platform = platform
        self._service = service
        self._zone = zone
        self._labels = ["a", f"r1-{rack}"]
        self._born_ms = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._beats = 0
        self._fence = 0
        self._until_ms = 0
        self._closed: dict[str, int] = {}
        self._ended: list[list] = []
        self._last_number = 0
        self._news = asyncio.Event()
        platform.runners.append(self)

    async def start(self) -> None:
        """Serve on a free port."""
        app = web.Application(client_max_size=2**20)
        app.router.add_post("/run-start", self.handle_start)
        app.router.add_post("/run-stop", self.handle_stop)
        app.router.add_post("/hold", self.handle_hold)
        self.address = await serve(app)

    def clock_ms(self) -> int:
        """Return the milliseconds since the start."""
        return int((time.monotonic() - self._born_s) * 1000)

    async def live(self) -> None:
        """Send beats and end runs until cancelled."""
        await asyncio.gather(self._send_beats(), self._work())

    async def _send_beats(self) -> None:
        timeout = aiohttp.ClientTimeout(total=BEAT_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                self._beats += 1
                beat = {
                    "service": self._service,
                    "address": self.address,
                    "zone": self._zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold-left-ms": 0,
                    "capacity": CAPACITY,
                    "labels": self._labels,
                    "clock-ms": self.clock_ms(),
                    "seq": self._beats,
                    "born": self._born_ms,
                }
                url = f"http://{self.agent}/instances/{self.name}"
                try:
                    async with session.put(url, json=beat) as answer:
                        await answer.read()
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass  # The next beat may reach the agent.
                await asyncio.sleep(BEAT_S)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            lapsed = self.clock_ms() > self._until_ms
            for run in list(self.runs.values()):
                if self.runs.get(run.task) is run:
                    self._advance(run, lapsed)

    def _advance(self, run: Run, lapsed: bool) -> None:
        now_s = time.monotonic()
        if lapsed:
            self.end(run, "lapsed")
        elif run.stop_at_s is not None:
            if now_s >= run.stop_at_s:
                self.end(run, "stopped")
        elif run.began_s is None:
            gang = self._platform.list_gang(run)
            if len(gang) == run.step.get("count", 1):
                for _, member in gang:
                    member.began_s = now_s
            elif now_s - run.present_s > GANG_S:
                self.end(run, "alone")
        elif now_s - run.began_s >= run.work_s:
            self.end(run, "done")

    def end(self, run: Run, how: str) -> None:
        """End a run, and with it its gang."""
        gang = self._platform.list_gang(run) if run.step.get("gang") else []
        self._list_end(run, how)
        for runner, member in gang:
            if member is not run and member.began_s is not None:
                runner._list_end(member, "done" if how == "done" else "broken")

    def _list_end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._closed[run.task] = max(self._closed.get(run.task, 0), run.run)
        self._last_number += 1
        self._ended.append([self._last_number, run.task, run.run, how, ""])
        self._record(how, run.task, run.run)
        self._news.set()

    def _record(self, what: str, task: str, run: int) -> None:
        event = Event(time.monotonic(), what, self.name, task, run)
        self._platform.events.append(event)

    def _reply(self, status: int, **fields: object) -> web.Response:
        body = {"clock-ms": self.clock_ms(), "born": self._born_ms, **fields}
        return web.json_response(body, status=status)

    async def _read(self, request: web.Request) -> dict | web.Response:
        """Return the body of a call, or the answer that refuses it."""
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return self._reply(421)
        body = await request.json()
        fence = body.get("fence", 0)
        if fence < self._fence:
            return self._reply(409, reason="fence")
        self._fence = fence
        return body

    def _extend(self, body: dict) -> None:
        limit_ms = self.clock_ms() + HOLD_MAX_MS
        until_ms = min(body.get("until-ms", 0), limit_ms)
        self._until_ms = max(self._until_ms, until_ms)

    def _has_room(self, step: dict) -> bool:
        return all(
            sum(run.step.get(name, 0) for run in self.runs.values())
            + step.get(name, 0)
            <= CAPACITY[name]
            for name in RESOURCES
        )

    async def handle_start(self, request: web.Request) -> web.Response:
        """Start a run."""
        body = await self._read(request)
        if isinstance(body, web.Response):
            return body
        task, number = body["task"], body["run"]
        present = self.runs.get(task)
        if present is not None and present.run == number:
            self._extend(body)
            return self._reply(200)
        if present is not None or number <= self._closed.get(task, 0):
            self._extend(body)
            return self._reply(409, reason="old")
        if body["until-ms"] < self.clock_ms():
            return self._reply(409, reason="late")
        self._extend(body)
        step = self._platform.find_step(task)
        if not self._has_room(step):
            return self._reply(409, reason="room")
        now_s = time.monotonic()
        work_s = self._platform.work_s[task.partition(".")[0]]
        run = Run(task, number, step, work_s, now_s)
        if not step.get("gang"):
            run.began_s = now_s
        self.runs[task] = run
        self._record("start", task, number)
        return self._reply(200)

    async def handle_stop(self, request: web.Request) -> web.Response:
        """Stop a run, or keep it from starting."""
        body = await self._read(request)
        if isinstance(body, web.Response):
            return body
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        if run is not None and run.run <= number and run.stop_at_s is None:
            run.stop_at_s = time.monotonic() + STOP_S
        self._closed[task] = max(self._closed.get(task, 0), number)
        return self._reply(200)

    async def handle_hold(self, request: web.Request) -> web.Response:
        """Renew the lease, forget ends and list what runs and has ended."""
        body = await self._read(request)
        if isinstance(body, web.Response):
            return body
        self._extend(body)
        cursor = body.get("ack-cursor", 0)
        for number, task, run, _, _ in self._ended:
            if number <= cursor:
                self._record("noted", task, run)
        self._ended = [end for end in self._ended if end[0] > cursor]
        if not self._ended and body.get("wait-ms"):
            self._news.clear()
            try:
                async with asyncio.timeout(body["wait-ms"] / 1000):
                    await self._news.wait()
            except TimeoutError:
                pass
        now_s = time.monotonic()
        running = [
            [run.task, run.run, "", measure_percent(run, now_s), 0]
            for run in self.runs.values()
        ]
        return self._reply(
            200, running=running, ended=self._ended[:MAX_LISTED_ENDS]
        )


def measure_percent(run: Run, now_s: float) -> int:
    """Return how much of a run's work is done."""
    if run.began_s is None:
        return 0
    return min(99, int(100 * (now_s - run.began_s) / run.work_s))
