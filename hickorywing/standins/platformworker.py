"""A worker that speaks the platform's runner interface, with faults.

A task's payload is JSON: ``run_s`` how long it works, ``how`` how it ends and
``saves`` whether it saves its progress.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import time
from typing import Any

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient
from hickorywing.waiting import wait_for_event
from hickorywing.web import add_route
from hickorywing.web import answer_json
from hickorywing.web import make_app

__all__ = ["PlatformWorkerStandin", "StartRecord"]

Handler = Callable[[Request], Awaitable[Response]]

BEAT_S = 0.3
BEAT_TIMEOUT_S = 1.0
TICK_S = 0.01
STOP_S = 0.05
LONGEST_LEASE_MS = 10_000


@dataclass(frozen=True, slots=True)
class StartRecord:
    """A start that the worker carried out; times are Unix seconds."""

    at_s: float
    worker: str
    task: str
    run: int
    epoch: int
    saved: str = ""


@dataclass(slots=True)
class Run:
    """A run at work."""

    task: str
    run: int
    started_s: float
    ends_s: float
    how: str
    saves: bool = False
    stopping: bool = False


class Payload(msgspec.Struct):
    """How long a task works and how it ends."""

    run_s: float = 0.1
    how: str = "done"
    saves: bool = False


class PlatformWorkerStandin:
    """One worker; ``starts`` records all that it ever started."""

    def __init__(
        self, name: str, pool: str, zone: str, agent: str, gpu: int = 8
    ) -> None:
        self.name = name
        self.starts: list[StartRecord] = []
        self.state = "ready"
        self.remaining_ms = 0
        self.lose_answers = 0
        self.gone = False
        self._pool = pool
        self._zone = zone
        self._agent = agent
        self._capacity = {"cpu": 64_000, "mem-mb": 65_536, "gpu": gpu}
        self._restart()

    def _restart(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self._began_s = time.monotonic()
        self._sequence = 0
        self._epoch = 0
        self._lease_ms = 0
        self._runs: dict[str, Run] = {}
        self._closed: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._number = 0
        self._news = asyncio.Event()

    def crash(self) -> None:
        """Lose everything and start again under the same name."""
        self._restart()

    def vanish(self) -> None:
        """Lose everything and never announce itself or answer again."""
        self.gone = True
        self._runs.clear()

    def clock_ms(self) -> int:
        """Return the worker's clock."""
        return int((time.monotonic() - self._began_s) * 1000)

    def running(self) -> set[tuple[str, int]]:
        """Return the tasks and run numbers at work."""
        return {(run.task, run.run) for run in self._runs.values()}

    def listed_ends(self) -> list[int]:
        """Return the numbers of the ends that it may not forget yet."""
        return [end[0] for end in self._ended]

    def make_app(self) -> Application:
        """Return the application."""
        app = make_app()
        for path, handle in (
            ("/run-start", self.handle_start),
            ("/run-stop", self.handle_stop),
            ("/hold", self.handle_hold),
        ):
            add_route(app, "POST", path, self._guard(handle))
        return app

    def _guard(self, handle: Handler) -> Handler:
        """Answer nothing of use once the worker has vanished."""

        async def guarded(request: Request) -> Response:
            return Response(500) if self.gone else await handle(request)

        return guarded

    async def run(self) -> None:
        """Announce itself and let its runs end, until cancelled."""
        http = HttpClient()
        try:
            await asyncio.gather(self._beat(http), self._work())
        finally:
            await http.close()

    async def _beat(self, http: HttpClient) -> None:
        url = f"http://{self._agent}/instances/{self.name}"
        while not self.gone:
            self._sequence += 1
            body = {
                "service": self._pool,
                "state": self.state,
                "seq": self._sequence,
                "zone": self._zone,
                "capacity": self._capacity,
                "labels": ["a", "r1"],
                "clock-ms": self.clock_ms(),
                "born": self.born_ms,
            }
            if self.state == "draining":
                body["remaining-ms"] = self.remaining_ms
            try:
                await http.call(
                    "PUT", url, BEAT_TIMEOUT_S, msgspec.json.encode(body)
                )
            except CallError:
                pass  # An agent that is away is called again.
            await asyncio.sleep(BEAT_S)

    async def _work(self) -> None:
        while True:
            now_s = time.monotonic()
            lapsed = self._runs and self.clock_ms() > self._lease_ms
            for run in list(self._runs.values()):
                if lapsed:
                    self._end(run, "lapsed")
                elif now_s >= run.ends_s:
                    self._end(run, "stopped" if run.stopping else run.how)
            await asyncio.sleep(TICK_S)

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task]
        self._closed[run.task] = run.run
        self._number += 1
        self._ended.append([self._number, run.task, run.run, how, ""])
        self._news.set()

    def _refuse(self, reason: str) -> Response:
        return answer_json(
            409, {"clock-ms": self.clock_ms(), "reason": reason}
        )

    def _take_epoch(self, body: dict[str, Any]) -> bool:
        epoch = body.get("fence", 0)
        if epoch < self._epoch:
            return False
        self._epoch = epoch
        return True

    def _extend(self, body: dict[str, Any]) -> None:
        limit_ms = self.clock_ms() + LONGEST_LEASE_MS
        wanted_ms = min(body.get("until-ms", 0), limit_ms)
        self._lease_ms = max(self._lease_ms, wanted_ms)

    async def handle_start(self, request: Request) -> Response:
        """Start a run by the platform's rules."""
        body = msgspec.json.decode(await request.read())
        if not self._take_epoch(body):
            return self._refuse("fence")
        task, run = body["task"], body["run"]
        self._extend(body)
        if run <= self._closed.get(task, 0):
            return self._refuse("old")
        present = self._runs.get(task)
        if present is not None:
            if present.run != run:
                return self._refuse("old")
        elif body["until-ms"] < self.clock_ms():
            return self._refuse("late")
        else:
            self._begin(body)
        if self.lose_answers:
            self.lose_answers -= 1
            await asyncio.sleep(BEAT_TIMEOUT_S)
        return answer_json(200, {"clock-ms": self.clock_ms()})

    def _begin(self, body: dict[str, Any]) -> None:
        payload = msgspec.json.decode(body["spec"] or "{}", type=Payload)
        now_s = time.monotonic()
        task, run = body["task"], body["run"]
        self._runs[task] = Run(
            task,
            run,
            now_s,
            now_s + payload.run_s,
            payload.how,
            payload.saves,
        )
        self.starts.append(
            StartRecord(
                time.time(),
                self.name,
                task,
                run,
                body["fence"],
                body.get("saved", ""),
            )
        )

    async def handle_stop(self, request: Request) -> Response:
        """Stop a run, or keep it from starting."""
        body = msgspec.json.decode(await request.read())
        if not self._take_epoch(body):
            return self._refuse("fence")
        task, number = body["task"], body["run"]
        run = self._runs.get(task)
        if run is not None and run.run <= number:
            run.stopping = True
            run.ends_s = min(run.ends_s, time.monotonic() + STOP_S)
        self._closed[task] = max(self._closed.get(task, 0), number)
        return answer_json(200, {"clock-ms": self.clock_ms()})

    async def handle_hold(self, request: Request) -> Response:
        """Renew the lease and list the runs."""
        body = msgspec.json.decode(await request.read())
        if not self._take_epoch(body):
            return self._refuse("fence")
        self._extend(body)
        cursor = body.get("ack-cursor", 0)
        self._ended = [end for end in self._ended if end[0] > cursor]
        wait_s = body.get("wait-ms", 0) / 1000
        if not self._ended and wait_s:
            self._news.clear()
            # If nothing ended, the lists say so.
            await wait_for_event(self._news, wait_s)
        return answer_json(200, self._list())

    def _list(self) -> dict[str, Any]:
        now_s = time.monotonic()
        running = []
        for run in self._runs.values():
            worked = (now_s - run.started_s) / max(
                run.ends_s - run.started_s, 0.001
            )
            running.append(
                [
                    run.task,
                    run.run,
                    run.saves * f"{int(10 * worked):03}",
                    min(99, int(100 * worked)),
                    0,
                ]
            )
        return {
            "clock-ms": self.clock_ms(),
            "running": running,
            "ended": self._ended,
            "born": self.born_ms,
        }
