"""A stand-in for a worker with the platform's runner interface, with faults.

The payload of a task is JSON: ``run_s`` is its run time in seconds, ``how`` is
how it ends, ``crash`` if it crashes the worker, and ``saves`` tells whether it
writes checkpoints.
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
from hickorywing.web import find_header
from hickorywing.web import make_app

__all__ = ["PlatformWorkerStandin", "StartRecord"]

Handler = Callable[[Request], Awaitable[Response]]

HEARTBEAT_INTERVAL_S = 0.3
HEARTBEAT_TIMEOUT_S = 1.0
TICK_S = 0.01
STOP_DELAY_S = 0.05
MAX_LEASE_MS = 10_000
INSTANCE_HEADER = b"X-Expect-Instance"


@dataclass(frozen=True, slots=True)
class StartRecord:
    """A start that the worker carried out, at ``at_s`` in Unix seconds."""

    at_s: float
    worker: str
    task: str
    run: int
    epoch: int
    saved: str = ""


@dataclass(frozen=True, slots=True)
class EndRecord:
    """An end of a run that was listed, at ``at_s`` in Unix seconds."""

    at_s: float
    task: str
    run: int
    how: str


@dataclass(slots=True)
class Run:
    """A run in progress; times are monotonic seconds."""

    task: str
    run: int
    started_s: float
    ends_s: float
    how: str
    saves: bool = False
    stopping: bool = False


class Payload(msgspec.Struct):
    """The payload of a task."""

    run_s: float = 0.1
    how: str = "done"
    saves: bool = False


class PlatformWorkerStandin:
    """A worker whose runs only wait until their time is over.

    ``starts`` and ``ends`` record all starts and listed ends, also those of
    earlier incarnations. ``address`` is that of the worker, ``agent`` that to
    which its heartbeats go. Tests set ``state`` and ``remaining_ms``, which
    are sent in heartbeats, and ``lose_answers``, the number of next starts
    whose answer comes too late. A start is carried out ``hold_starts_s``
    seconds after it was received, by the incarnation of that time.
    ``crashes`` counts the crashes that tasks have caused.
    """

    def __init__(
        self,
        name: str,
        pool: str,
        zone: str,
        address: str,
        agent: str,
        gpu: int = 8,
    ) -> None:
        self.name = name
        self.address = address
        self.starts: list[StartRecord] = []
        self.ends: list[EndRecord] = []
        self.state = "ready"
        self.remaining_ms = 0
        self.lose_answers = 0
        self.hold_starts_s = 0.0
        self.crashes = 0
        self.gone = False
        self._pool = pool
        self._zone = zone
        self.agent = agent
        self._capacity = {"cpu": 64_000, "mem-mb": 65_536, "gpu": gpu}
        self._restart()

    def _restart(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self._started_s = time.monotonic()
        self._sequence = 0
        self._epoch = 0
        self._lease_ms = 0
        self._runs: dict[str, Run] = {}
        self._closed_runs: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._last_end_number = 0
        self._run_ended = asyncio.Event()

    def crash(self) -> None:
        """Lose all runs and start again as a new incarnation."""
        self._restart()

    def vanish(self) -> None:
        """Lose all runs, and stop sending heartbeats and serving calls."""
        self.gone = True
        self._runs.clear()

    def clock_ms(self) -> int:
        """Return the milliseconds since this incarnation started."""
        return int((time.monotonic() - self._started_s) * 1000)

    def running(self) -> set[tuple[str, int]]:
        """Return the tasks in progress with their run numbers."""
        return {(run.task, run.run) for run in self._runs.values()}

    def listed_ends(self) -> list[int]:
        """Return the numbers of the ends that aren't acknowledged yet."""
        return [end[0] for end in self._ended]

    def make_app(self) -> Application:
        """Return the worker as a web application."""
        app = make_app()
        for path, handle in (
            ("/run-start", self.handle_start),
            ("/run-stop", self.handle_stop),
            ("/hold", self.handle_hold),
        ):
            add_route(app, "POST", path, self._guard(handle))
        return app

    def _guard(self, handle: Handler) -> Handler:
        """Wrap a handler to refuse calls that the worker can't take.

        A call for a worker of another name is answered with 421, any call with
        500 once the worker has vanished.
        """

        async def guarded(request: Request) -> Response:
            if self.gone:
                return Response(500)
            name = find_header(request.headers, INSTANCE_HEADER)
            if name not in (None, self.name):
                return answer_json(421, {"clock-ms": self.clock_ms()})
            return await handle(request)

        return guarded

    async def run(self) -> None:
        """Send heartbeats and end runs that are over, until cancelled."""
        http = HttpClient()
        try:
            await asyncio.gather(self._send_heartbeats(http), self._end_runs())
        finally:
            await http.close()

    def make_heartbeat(self) -> dict[str, Any]:
        """Return the body of the worker's next heartbeat."""
        self._sequence += 1
        body = {
            "service": self._pool,
            "address": self.address,
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
        return body

    async def _send_heartbeats(self, http: HttpClient) -> None:
        url = f"http://{self.agent}/instances/{self.name}"
        while not self.gone:
            body = msgspec.json.encode(self.make_heartbeat())
            try:
                await http.call("PUT", url, HEARTBEAT_TIMEOUT_S, body)
            except CallError:
                pass  # The next heartbeat may reach the agent again.
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _end_runs(self) -> None:
        while True:
            now_s = time.monotonic()
            expired = self._runs and self.clock_ms() > self._lease_ms
            for run in list(self._runs.values()):
                if run.task not in self._runs:
                    break  # The worker has crashed.
                if expired:
                    self._end_run(run, "lapsed")
                elif now_s >= run.ends_s:
                    self._end_run(run, "stopped" if run.stopping else run.how)
            await asyncio.sleep(TICK_S)

    def _end_run(self, run: Run, how: str) -> None:
        if how == "crash":
            self.crashes += 1
            self.crash()
            return
        del self._runs[run.task]
        self.ends.append(EndRecord(time.time(), run.task, run.run, how))
        self._closed_runs[run.task] = run.run
        self._last_end_number += 1
        self._ended.append([self._last_end_number, run.task, run.run, how, ""])
        self._run_ended.set()

    def _refuse(self, reason: str) -> Response:
        return answer_json(
            409, {"clock-ms": self.clock_ms(), "reason": reason}
        )

    def _accept_epoch(self, body: dict[str, Any]) -> bool:
        epoch = body.get("fence", 0)
        if epoch < self._epoch:
            return False
        self._epoch = epoch
        return True

    def _extend_lease(self, body: dict[str, Any]) -> None:
        limit_ms = self.clock_ms() + MAX_LEASE_MS
        wanted_ms = min(body.get("until-ms", 0), limit_ms)
        self._lease_ms = max(self._lease_ms, wanted_ms)

    async def handle_start(self, request: Request) -> Response:
        """Start a run unless the platform's rules refuse it.

        Refused are older epochs, runs that were closed already or differ from
        the one in progress, and orders that arrive after the lease's end. A
        repeated order for the run in progress is answered as if it were new.
        """
        body = msgspec.json.decode(await request.read())
        await asyncio.sleep(self.hold_starts_s)
        if not self._accept_epoch(body):
            return self._refuse("fence")
        task, run = body["task"], body["run"]
        self._extend_lease(body)
        if run <= self._closed_runs.get(task, 0):
            return self._refuse("old")
        current = self._runs.get(task)
        if current is not None:
            if current.run != run:
                return self._refuse("old")
        elif body["until-ms"] < self.clock_ms():
            return self._refuse("late")
        else:
            self._start_run(body)
        if self.lose_answers:
            # The caller gives up before this answer comes.
            self.lose_answers -= 1
            await asyncio.sleep(HEARTBEAT_TIMEOUT_S)
        return answer_json(200, {"clock-ms": self.clock_ms()})

    def _start_run(self, body: dict[str, Any]) -> None:
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
        """Stop a run, or prevent it from starting if it isn't there yet."""
        body = msgspec.json.decode(await request.read())
        if not self._accept_epoch(body):
            return self._refuse("fence")
        task, number = body["task"], body["run"]
        run = self._runs.get(task)
        if run is not None and run.run <= number:
            run.stopping = True
            run.ends_s = min(run.ends_s, time.monotonic() + STOP_DELAY_S)
        self._closed_runs[task] = max(self._closed_runs.get(task, 0), number)
        return answer_json(200, {"clock-ms": self.clock_ms()})

    async def handle_hold(self, request: Request) -> Response:
        """Renew the lease and list the running and ended runs.

        Ends up to the acknowledged number are forgotten. If none are left, the
        call waits for the next one.
        """
        body = msgspec.json.decode(await request.read())
        if not self._accept_epoch(body):
            return self._refuse("fence")
        self._extend_lease(body)
        cursor = body.get("ack-cursor", 0)
        self._ended = [end for end in self._ended if end[0] > cursor]
        wait_s = body.get("wait-ms", 0) / 1000
        if not self._ended and wait_s:
            self._run_ended.clear()
            # Both results are answered alike: the lists show what has ended.
            await wait_for_event(self._run_ended, wait_s)
        return answer_json(200, self._list_runs())

    def _list_runs(self) -> dict[str, Any]:
        now_s = time.monotonic()
        running = []
        for run in self._runs.values():
            progress = (now_s - run.started_s) / max(
                run.ends_s - run.started_s, 0.001
            )
            running.append(
                [
                    run.task,
                    run.run,
                    run.saves * f"{int(10 * progress):03}",
                    min(99, int(100 * progress)),
                    0,
                ]
            )
        return {
            "clock-ms": self.clock_ms(),
            "running": running,
            "ended": self._ended,
            "born": self.born_ms,
        }
