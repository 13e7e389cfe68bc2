"""A small deployment of the project's programs on loopback."""

import asyncio
import base64
from collections.abc import Iterable
import itertools
import json
import os
from pathlib import Path
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib

from review.rig3.runner import Runner
from review.rig3.wire import call

ROOT = Path(__file__).resolve().parents[2]
POOL = "registro-jobs"
HOST = "queue.example"
KEY = "customer-key"
START_S = 20.0
# What the settings of a small deployment say, as on the sheet of crdp.
BOUNDS = {
    "hold-max-ms": 10000,
    "revoke-ms": 5000,
    "evacuate-ms": 5000,
    "contact-ms": 3000,
    "status_s": 120,
    "save-s": 0.5,
    "restore-ms": 250,
    "drain-ms": 2000,
}
LIMITS = {"cpu-share": 0.537, "cores": 2, "link-mbps": 1000.0}
FIRST_PORT = 20_000
PORTS = 8_000

_ports = itertools.count(os.getpid() * 7)


def find_address() -> str:
    """Return a free loopback address below the kernel's own ports."""
    for _ in range(PORTS):
        port = FIRST_PORT + next(_ports) % PORTS
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise RuntimeError("no free port")


def fill_template(path: Path, fields: dict) -> str:
    """Return a template of the deploy file with its values filled in."""

    def find(match: re.Match) -> str:
        value: object = fields
        for part in match.group(1).split("."):
            value = (
                value[int(part)] if isinstance(value, list) else value[part]
            )
        return str(value)

    return re.sub(r"\{\{([^}]+)\}\}", find, path.read_text())


def make_config(version: int, **changes: object) -> bytes:
    """Return a config with a plain and an urgent queue of one tenant."""
    plain = {
        "name": "plain",
        "host": HOST,
        "path-prefix": "/plain/",
        "service": POOL,
        "priority": 1,
        "attempts": 2,
        "stretch": 3.0,
        "target-latency-ms": 1000,
        "timeout-ms": 3000,
    }
    urgent = {
        **plain,
        "name": "urgent",
        "path-prefix": "/urgent/",
        "priority": 0,
        "attempts": 3,
    }
    config = {
        "version": version,
        "routes": [plain, urgent],
        "services": [{"name": POOL, "rejects-overload": True}],
        "limits": {"header-bytes": 16384, "body-bytes": 262144},
        "tenants": [
            {"name": "t1", "api-keys": [KEY], "guaranteed": {"gpu": 8}}
        ],
        **changes,
    }
    return json.dumps(config).encode()


class Process:
    """One of the project's programs on one machine."""

    def __init__(self, name: str, command: list[str], folder: Path) -> None:
        self.name = name
        self._command = command
        self._folder = folder
        self.process: subprocess.Popen | None = None
        self.starts = 0

    def start(self) -> None:
        """Start the program, as the platform does after an end."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.starts += 1
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.is_alive():
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def measure_mb(self) -> float:
        """Return the resident memory in MB, 0 if there is no process."""
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


class System:
    """A store, runners with their agents, and entries.

    ``record`` is the file that says what was sent, answered and run. Runners
    and clients run in this process, the store and the programs in processes
    of their own.
    """

    def __init__(
        self, folder: Path, record: Path, entries: int, runners: int
    ) -> None:
        self.store_address = find_address()
        self._store: subprocess.Popen | None = None
        self.runners: dict[str, Runner] = {}
        self.programs: dict[str, Process] = {}
        self.fronts: dict[str, str] = {}
        self.links: dict[str, str] = {}
        self._folder = folder
        self._record = open(record, "w", encoding="utf-8")  # noqa: SIM115
        self._began_s = time.monotonic()
        self._counts = entries, runners
        self._tasks: list[asyncio.Task] = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]

    def write(self, text: str) -> None:
        """Add a line to the record."""
        at_s = time.monotonic() - self._began_s
        self._record.write(f"{at_s:8.3f} {text}\n")
        self._record.flush()

    async def __aenter__(self) -> "System":
        self._start_store()
        await self.wait(
            lambda: self.put_operator_row("config", make_config(3)),
            START_S,
            "the store serves",
        )
        entries, runners = self._counts
        for number in range(runners):
            await self.add_runner(f"m{number}", f"z{number % 3}")
        for number in range(entries):
            self.add_entry(f"e{number}", f"z{number % 3}")
        try:
            await self.wait(self._serves, START_S, "the system serves")
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for program in self.programs.values():
            program.kill()
        if self._store is not None:
            self._store.kill()
            self._store.wait()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for runner in self.runners.values():
            self._record.write(f"answers of {runner.name}: {runner.answers}\n")
            for at_s, event, task, run in runner.history:
                self._record.write(
                    f"{at_s - self._began_s:8.3f} runner {runner.name}:"
                    f" {event} {task} run {run}\n"
                )
        self._record.close()

    async def control_store(self, **fields: object) -> bool:
        """Set how the store behaves, such as ``down`` or ``answer-s``."""
        body = json.dumps(fields).encode()
        answer = await call(self.store_address, "POST", "/stand-in", body)
        return answer is not None

    async def put_operator_row(self, key: str, value: bytes) -> bool:
        """Write a row of the operator's; return whether that worked."""
        return await self.control_store(
            table="op", key=key, value=base64.b64encode(value).decode()
        )

    def _start_store(self) -> None:
        command = [sys.executable, "-m", "review.rig3.store"]
        self._store = subprocess.Popen(
            [*command, self.store_address], cwd=ROOT, stdin=subprocess.DEVNULL
        )

    def _add_program(self, name: str, role: str, fields: dict) -> None:
        """Write the settings of a program and start it."""
        role_fields = self._roles[role]
        path = self._folder / f"{name}.jsonc"
        path.write_text(fill_template(ROOT / role_fields["template"], fields))
        words = [
            str(path) if word == "/etc/hickorywing/settings.yaml" else word
            for word in role_fields["run"].split(" ")
        ]
        words[0] = sys.executable
        program = Process(name, words, self._folder)
        self.programs[name] = program
        program.start()

    async def add_runner(self, name: str, zone: str) -> None:
        """Add a machine with a runner and its agent."""
        control, address = find_address(), find_address()
        runner = Runner(f"i-{name}", POOL, zone, address, control)
        self.runners[name] = runner
        self._tasks.append(asyncio.ensure_future(runner.run()))
        host, _, port = find_address().rpartition(":")
        self.links[name] = f"{host}:{port}"
        self._add_program(
            name,
            "agent",
            {
                "node": name,
                "zone": zone,
                "service": POOL,
                "listen": {"control": control},
                "ip": host,
                "port-range": [port],
                "app": address,
                "platform": {"address": self.store_address},
            },
        )

    def add_entry(self, name: str, zone: str, store: str = "") -> None:
        """Add a machine with an entry."""
        self.fronts[name] = find_address()
        host, _, port = find_address().rpartition(":")
        self._add_program(
            name,
            "entry",
            {
                "node": name,
                "zone": zone,
                "listen": {
                    "front": self.fronts[name],
                    "ready": find_address(),
                },
                "ip": host,
                "port-range": [port],
                "platform": {"address": store or self.store_address},
                "bounds": BOUNDS,
                "limits": LIMITS,
            },
        )

    async def wait(self, check, limit_s: float, what: str) -> None:
        """Wait until a check holds; raise ``TimeoutError``."""
        ends_s = time.monotonic() + limit_s
        while True:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            if time.monotonic() > ends_s:
                raise TimeoutError(what)
            await asyncio.sleep(0.05)

    async def _serves(self) -> bool:
        for name in self.fronts:
            answer = await self.ask(name, "GET", "/plain/")
            if answer is None or answer[0] != 200:
                return False
        return len(self.list_events("worker found")) >= len(self.runners)

    def list_events(self, event: str) -> list[dict]:
        """Return the lines of an event in the programs' logs."""
        found = []
        for path in sorted(self._folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if event in line and line.startswith("{"):
                    fields = json.loads(line)
                    if fields.get("event") == event:
                        found.append(fields)
        return found

    def find_holder(self) -> str:
        """Return the entry that took the controller's role last."""
        taken = self.list_events("role taken")
        newest = max(taken, key=lambda line: line["epoch"], default=None)
        return "" if newest is None else newest["process"]

    async def ask(
        self,
        entry: str,
        method: str,
        path: str,
        body: dict | None = None,
        key: str = KEY,
        timeout_s: float = 3.0,
    ) -> tuple[int, dict] | None:
        """Send a client's request; None if there was no answer."""
        answer = await call(
            self.fronts[entry],
            method,
            path,
            None if body is None else json.dumps(body).encode(),
            {
                "Host": HOST,
                "X-Credential": key,
                "X-Deadline-Ms": str(int(timeout_s * 1000)),
            },
            timeout_s,
        )
        if answer is None:
            return None
        try:
            return answer[0], json.loads(answer[1] or b"{}")
        except ValueError:
            return answer[0], {}

    async def submit(
        self,
        entry: str,
        job: str,
        steps: list[dict],
        spec: dict,
        queue: str = "plain",
        **fields: object,
    ) -> int:
        """Submit a job once; return the status, 0 without an answer."""
        body = {"spec": json.dumps(spec), "steps": steps, **fields}
        answer = await self.ask(entry, "POST", f"/{queue}/{job}", body)
        status = 0 if answer is None else answer[0]
        self.write(f"client: POST {queue} {job} at {entry}: {status}")
        return status

    async def submit_surely(
        self, entries: Iterable[str], job: str, steps: list[dict], **more
    ) -> bool:
        """Submit a job until it is accepted, as clients do."""
        for entry in itertools.islice(itertools.cycle(entries), 8):
            if await self.submit(entry, job, steps, **more) == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    async def get_state(
        self, entry: str, job: str, queue: str = "plain"
    ) -> str:
        """Return a job's state as an entry answers it."""
        answer = await self.ask(entry, "GET", f"/{queue}/{job}")
        if answer is None:
            return "no answer"
        status, data = answer
        return data.get("state", "") if status == 200 else str(status)

    def find_runner(self, name: str) -> Runner:
        """Return a runner by its id."""
        return self.runners[name.removeprefix("i-")]

    def list_history(self) -> list[tuple[float, str, str, int, str]]:
        """Return the events at all runners in order of time."""
        return sorted(
            (at_s, event, task, run, runner.name)
            for runner in self.runners.values()
            for at_s, event, task, run in runner.history
        )
