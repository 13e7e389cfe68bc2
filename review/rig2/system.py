"""Start the project's programs beside the stand-ins, and call them.

The programs are started with the commands of the deploy file; their settings
are made from its templates with the values of a small deployment.
"""

import asyncio
from collections.abc import Callable
import contextlib
import json
import os
from pathlib import Path
import re
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

import aiohttp

from rig2.runner import Event
from rig2.runner import Platform
from rig2.runner import Runner
from rig2.serving import find_free_address
from rig2.store import Store

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = ROOT / "deploy" / "system.toml"
SETTINGS_PATH = "/etc/hickorywing/settings.yaml"
ZONES = ("cba-a", "cba-b", "ros-a")
SERVICE = "registro-jobs"
HOST = "nony24.example"
KEY = "k-5f0c2ab1"
PUBLIC_PREFIX = "/public/"
START_TIMEOUT_S = 20.0
CLIENT_TIMEOUT_S = 3.0
CLIENT_RETRIES = 4
RESTART_S = 1.0
POLL_S = 0.05
PLACEHOLDER = re.compile(r"\{\{([A-Za-z0-9_.-]+)\}\}")
# The bounds of the pages' small deployments.
BOUNDS = {
    "contact-ms": 3000,
    "ack-ms": 4000,
    "drain-ms": 2000,
    "grace-s": 6,
    "config-ms": 2000,
    "revoke-ms": 5000,
    "evacuate-ms": 5000,
    "hold-max-ms": 10000,
    "stop-ms": 400,
    "gang-ms": 3000,
    "status_s": 120,
    "save-s": 0.5,
    "restore-ms": 250,
    "lease-ms": 3000,
}
LIMITS = {"cpu-share": 0.537, "cores": 2, "link-mbps": 1000.0}


class CannotRun(Exception):  # noqa: N818
    """Raised if a case can't be run, which says nothing of the rule."""


class Reply:
    """What a client got: a status, 0 for none, and a body."""

    def __init__(self, status: int, body: dict) -> None:
        self.status = status
        self.body = body


class System:
    """The platform, the runners and the programs of one small deployment.

    ``lines`` is the record of what was sent, answered and run. ``rack_size``
    is the number of runners in a rack.
    """

    def __init__(
        self, entries: int = 3, runners: int = 4, rack_size: int = 3
    ) -> None:
        self.platform = Platform()
        self.store = Store()
        self.lines: list[str] = []
        self.entries: dict[str, str] = {}
        self.began_s = time.monotonic()
        self._counts = (entries, runners)
        self._rack_size = rack_size
        self._folder = tempfile.TemporaryDirectory(prefix="case-")
        self._commands: dict[str, list[str]] = {}
        self._processes: dict[str, subprocess.Popen] = {}
        self._tasks: list[asyncio.Task] = []
        self._deploy = tomllib.loads(DEPLOY.read_text())

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.began_s:9.3f} {text}")

    async def __aenter__(self) -> "System":
        self._session = aiohttp.ClientSession()
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        await self.store.start()
        self.store.put("op", "config", make_config())
        entries, runners = self._counts
        for number in range(runners):
            zone = ZONES[number % len(ZONES)]
            rack = number // self._rack_size
            runner = Runner(number, self.platform, SERVICE, zone, rack)
            await runner.start()
            runner.agent = find_free_address()
            self._tasks.append(asyncio.ensure_future(runner.live()))
            name = f"side-{zone}-{number // len(ZONES) + 1}"
            fields = self._make_fields(name, zone, "app", runner.address)
            fields["listen"]["control"] = runner.agent
            self._start_program("agent", name, fields)
        for number in range(entries):
            zone = ZONES[number % len(ZONES)]
            name = f"edge-{zone}-{number // len(ZONES) + 1}"
            fields = self._make_fields(name, zone, "front", "")
            self.entries[name] = fields["listen"]["front"]
            self._start_program("entry", name, fields)
        await self.wait(self._is_serving, START_TIMEOUT_S)

    def _make_fields(self, name: str, zone: str, kind: str, app: str) -> dict:
        """Return the platform's fields for the settings of a process."""
        link_host, _, link_port = find_free_address().rpartition(":")
        return {
            "node": name,
            "zone": zone,
            "class": kind,
            "service": SERVICE,
            "app": app,
            "ip": link_host,
            "listen": {
                "front": find_free_address(),
                "ready": find_free_address(),
                "control": "",
            },
            "port-range": [int(link_port), int(link_port)],
            "limits": LIMITS,
            "bounds": BOUNDS,
            "platform": {"address": self.store.address},
        }

    def _start_program(self, role: str, name: str, fields: dict) -> None:
        declared = self._deploy["roles"][role]
        template = (ROOT / declared["template"]).read_text()
        path = Path(self._folder.name) / f"{name}.jsonc"
        path.write_text(fill_in(template, fields))
        words = shlex.split(declared["run"])
        self._commands[name] = [
            str(path) if word == SETTINGS_PATH else word for word in words
        ]
        self.start(name)

    def start(self, name: str) -> None:
        """Start a process that doesn't run."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log_path = Path(self._folder.name) / f"{name}.log"
        with open(log_path, "ab") as log:
            self._processes[name] = subprocess.Popen(
                self._commands[name],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def kill(self, name: str) -> None:
        """Kill a process, as a crash does."""
        self.note(f"kill {name}")
        self._processes[name].kill()
        self._processes[name].wait()

    async def restart(self, name: str) -> None:
        """Start a killed process again, as the platform does."""
        await asyncio.sleep(RESTART_S)
        self.note(f"start {name} again")
        self.start(name)

    def read_log(self, name: str) -> list[dict]:
        """Return the log lines of a process."""
        path = Path(self._folder.name) / f"{name}.log"
        return [
            json.loads(line)
            for line in path.read_text().splitlines()
            if line.startswith("{")
        ]

    def list_events(self, event: str) -> list[tuple[str, dict]]:
        """Return the log lines of the entries about an event, by time."""
        found = [
            (name, line)
            for name in self.entries
            for line in self.read_log(name)
            if line["event"] == event
        ]
        return sorted(found, key=lambda item: item[1]["timestamp"])

    def find_holder(self) -> str:
        """Return the entry that took the pool's role last, by the logs."""
        taken = self.list_events("role taken")
        return taken[-1][0] if taken else ""

    async def wait(
        self, check: Callable[[], object], timeout_s: float
    ) -> None:
        """Wait until a check holds; raise ``CannotRun`` if it never does."""
        until_s = time.monotonic() + timeout_s
        while True:
            held = check()
            if asyncio.iscoroutine(held):
                held = await held
            if held:
                return
            if time.monotonic() > until_s:
                raise CannotRun(f"not so after {timeout_s} s: {check}")
            await asyncio.sleep(POLL_S)

    async def _is_serving(self) -> bool:
        """Return whether each entry answers and all workers are known."""
        for name, process in self._processes.items():
            if process.poll() is not None:
                raise CannotRun(f"{name} ended with {process.returncode}")
        known = {
            line["worker"] for _, line in self.list_events("worker found")
        }
        if len(known) < len(self.platform.runners):
            return False
        for name in self.entries:
            reply = await self.call_once(name, "GET", "/lohu930/", quiet=True)
            if reply.status != 200:
                return False
        return True

    async def call_once(
        self,
        entry: str,
        method: str,
        path: str,
        body: dict | None = None,
        quiet: bool = False,
    ) -> Reply:
        """Send a request of a client to one entry."""
        headers = {
            "Host": HOST,
            "X-Deadline-Ms": str(int(CLIENT_TIMEOUT_S * 1000)),
        }
        if not path.startswith(PUBLIC_PREFIX):
            headers["X-Credential"] = KEY
        timeout = aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S)
        url = f"http://{self.entries[entry]}{path}"
        reply = Reply(0, {})
        try:
            async with self._session.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as answer:
                text = await answer.text()
                reply = Reply(answer.status, json.loads(text or "{}"))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            pass  # No answer.
        if not quiet:
            self.note(
                f"{method} {path} at {entry}: {reply.status or 'no answer'}"
                f" {reply.body.get('state', '')}"
            )
        return reply

    async def call(
        self, method: str, path: str, body: dict | None = None, first: int = 0
    ) -> Reply:
        """Send a request, and again at the next entries if it isn't served."""
        names = list(self.entries)
        reply = Reply(0, {})
        for attempt in range(1 + CLIENT_RETRIES):
            entry = names[(first + attempt) % len(names)]
            reply = await self.call_once(entry, method, path, body)
            if reply.status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.2)
        return reply

    async def submit(
        self, queue: str, job: str, work_s: float, body: dict, first: int = 0
    ) -> Reply:
        """Submit a job whose tasks take ``work_s`` seconds each."""
        self.platform.steps[job] = body["steps"]
        self.platform.work_s[job] = work_s
        return await self.call("POST", f"/{queue}/{job}", body, first)

    def list_task_events(self, job: str) -> list[Event]:
        """Return what the runners did with the tasks of a job."""
        prefix = f"{job}."
        return [
            event
            for event in self.platform.events
            if event.task.startswith(prefix)
        ]

    async def __aexit__(self, *_: object) -> None:
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()
        self._folder.cleanup()


def make_config() -> dict:
    """Return the operator's configuration: three queues and one tenant.

    Callers of the queue ``/public/`` need no key.
    """
    route = {
        "host": HOST,
        "service": SERVICE,
        "stretch": 3.0,
        "target-latency-ms": 1000,
        "timeout-ms": 3000,
    }
    return {
        "version": 3,
        "routes": [
            {
                **route,
                "name": "lohu930",
                "path-prefix": "/lohu930/",
                "priority": 1,
                "attempts": 2,
            },
            {
                **route,
                "name": "urgent",
                "path-prefix": "/urgent/",
                "priority": 0,
                "attempts": 4,
            },
            {
                **route,
                "name": "public",
                "path-prefix": PUBLIC_PREFIX,
                "priority": 0,
                "attempts": 4,
                "public": True,
            },
        ],
        "services": [{"name": SERVICE, "rejects-overload": True}],
        "tenants": [
            {"name": "members", "api-keys": [KEY], "guaranteed": {"gpu": 16}}
        ],
        "limits": {"body-bytes": 262144},
    }


def fill_in(template: str, fields: dict) -> str:
    """Return a template with its placeholders replaced by the fields."""

    def replace(match: re.Match) -> str:
        value: object = fields
        for name in match.group(1).split("."):
            value = value[int(name) if isinstance(value, list) else name]
        return str(value)

    return PLACEHOLDER.sub(replace, template)


def has_trouble() -> bool:
    """Return whether the case is run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable, judge_s: float = 110.0) -> None:
    """Play a case, write its record and exit as its result says.

    ``play`` gets the list of the record's lines and returns what broke the
    rule, nothing if it held.
    """
    lines: list[str] = []

    async def run() -> list[str]:
        # The processes are ended also if the case is.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        async with asyncio.timeout(judge_s):
            return await play(lines)

    try:
        broken = asyncio.run(run())
        code = 1 if broken else 0
    except (
        CannotRun,
        TimeoutError,
        OSError,
        asyncio.CancelledError,
    ) as error:
        broken, code = [f"the case couldn't run: {error!r}"], 2
    result = {0: "held", 1: "broken", 2: "not run"}[code]
    trouble = "with" if has_trouble() else "without"
    text = [
        f"{trouble} the disruption: {result}",
        *broken,
        "",
        *lines,
    ]
    (folder / "record.txt").write_text("\n".join(text) + "\n")
    print("\n".join(text[: 1 + len(broken)]))
    sys.exit(code)
