"""Start the project's programs beside the stand-ins, and end them again."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
from pathlib import Path
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

from rig.http import abort_all
from rig.http import call
from rig.http import find_port
from rig.runner import Fleet
from rig.runner import Runner
from rig.store import Store

__all__ = ["BROKEN", "HELD", "NOT_RUN", "CaseError", "System", "run_case"]

REPOSITORY = Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
NOT_RUN = 2
POOL = "pool-1"
HOST = "queue.example"
KEYS = ("tenant-key-1", "tenant-key-2")
START_LIMIT_S = 25.0
CASE_LIMIT_S = 112.0
# The figures of the small sites.
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


class CaseError(Exception):
    """Raised if a case can't run, which says nothing about the rule."""


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of a settings template."""

    def find(match: re.Match[str]) -> str:
        value: Any = fields
        for name in match.group(1).split("."):
            value = value[int(name)] if name.isdecimal() else value[name]
        return str(value)

    return re.sub(r"\{\{([^}]+)\}\}", find, template)


class System:
    """A store, runners with agents, and entries.

    ``events`` holds the record: seconds since the start, what, and fields.
    """

    def __init__(self, folder: Path) -> None:
        self.store = Store()
        self.events: list[tuple[float, str, dict[str, Any]]] = []
        self.fleet = Fleet(self.record)
        self.fronts: dict[str, int] = {}
        self.runners: dict[str, Runner] = {}
        self.started_s = time.monotonic()
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, list[str]] = {}
        deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8")
        )
        self._roles = deploy["roles"]

    def record(self, what: str, **fields: Any) -> None:
        """Add a line to the record."""
        now_s = time.monotonic() - self.started_s
        self.events.append((now_s, what, fields))

    def find_events(self, what: str) -> list[tuple[float, dict[str, Any]]]:
        """Return the moments and the fields of one kind of event."""
        return [
            (at_s, fields)
            for at_s, kind, fields in self.events
            if kind == what
        ]

    def write_record(self, path: Path) -> None:
        """Write the record, one line for each event."""
        lines = [
            f"{at_s:9.3f}  {what}  {json.dumps(fields)}"
            for at_s, what, fields in self.events
        ]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")

    def configure(
        self,
        version: int,
        attempts: int = 2,
        services: tuple[str, str] = (POOL, POOL),
    ) -> None:
        """Write a configuration as the operator.

        ``services`` are those of the queues ``jobs`` and ``bulk``; the queue
        ``urgent`` has that of ``jobs``.
        """
        routes = [
            {
                "name": f"r-{name}",
                "host": HOST,
                "path-prefix": f"/{name}/",
                "kind": "non_idempotent",
                "timeout-ms": 3000,
                "target-latency-ms": 1000,
                "priority": priority,
                "service": service,
                "attempts": attempts,
                "stretch": 3.0,
                "public": False,
            }
            for name, priority, service in (
                ("jobs", 1, services[0]),
                ("bulk", 2, services[1]),
                ("urgent", 0, services[0]),
            )
        ]
        tenants = [
            {
                "name": f"t{number}",
                "api-keys": [key],
                "priority": 1,
                "guaranteed": {"gpu": 8},
            }
            for number, key in enumerate(KEYS)
        ]
        config = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": name, "rejects-overload": True}
                for name in sorted(set(services))
            ],
            "limits": {"header-bytes": 16384, "body-bytes": 262144},
            "tenants": tenants,
        }
        self.store.put("op", "config", json.dumps(config).encode())
        self.record("config is confirmed", version=version, services=services)

    async def add_runner(
        self,
        node: str,
        zone: str,
        rack: str,
        capacity: dict[str, int],
        pool: str = POOL,
    ) -> Runner:
        """Add a machine with a runner and start its agent."""
        control, link, app = find_port(), find_port(), find_port()
        number = len(self.runners)
        runner = Runner(
            self.fleet,
            pool,
            zone,
            rack,
            app,
            control,
            capacity,
            f"i-{number:02d}3a91c2b7",
        )
        self.runners[node] = runner
        await self._add_program("agent", node, zone, link, control, app, pool)
        await runner.boot()
        return runner

    async def add_entry(self, node: str, zone: str) -> None:
        """Start an entry."""
        self.fronts[node] = find_port()
        await self._add_program(
            "entry", node, zone, find_port(), self.fronts[node], 0
        )

    async def _add_program(
        self,
        role: str,
        node: str,
        zone: str,
        link: int,
        own: int,
        app: int,
        pool: str = POOL,
    ) -> None:
        store = find_port()
        await self.store.listen(node, store)
        fields = {
            "node": node,
            "zone": zone,
            "service": pool,
            "ip": "127.0.0.1",
            "app": f"127.0.0.1:{app}",
            "listen": {
                "control": f"127.0.0.1:{own}",
                "front": f"127.0.0.1:{own}",
                "ready": f"127.0.0.1:{find_port()}",
            },
            "port-range": [link, link],
            "platform": {"address": f"127.0.0.1:{store}"},
            "bounds": BOUNDS,
            "limits": {"cpu-share": 0.537, "cores": 2, "link-mbps": 1000.0},
        }
        template = REPOSITORY / self._roles[role]["template"]
        settings = self._folder / f"{node}.jsonc"
        settings.write_text(
            render(template.read_text(encoding="utf-8"), fields),
            encoding="utf-8",
        )
        _, *words = self._roles[role]["run"].split()
        self._commands[node] = [sys.executable, *words[:-1], str(settings)]
        self.start(node)

    def start(self, node: str) -> None:
        """Start a machine's program, also after it was killed."""
        path = [str(REPOSITORY), str(REPOSITORY / "target/deps")]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._folder),
            "PYTHONPATH": os.pathsep.join(path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self._folder / f"{node}.log", "ab") as log:
            self._processes[node] = subprocess.Popen(
                self._commands[node],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record("process starts", node=node)

    def signal(self, node: str, number: signal.Signals) -> None:
        """Send a signal to a machine's program."""
        self._processes[node].send_signal(number)
        self.record("signal", node=node, signal=number.name)

    def kill(self, node: str) -> None:
        """Kill a machine's program."""
        self.signal(node, signal.SIGKILL)
        self._processes[node].wait()

    def find_ended(self) -> dict[str, int]:
        """Return the exit codes of the programs that have ended."""
        return {
            node: process.returncode
            for node, process in self._processes.items()
            if process.poll() is not None
        }

    def close(self) -> None:
        """End all programs."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def read_log(self, node: str, event: str) -> list[dict[str, Any]]:
        """Return the lines of one kind that a program has logged.

        The logs only time a disruption or show a cause. No rule is judged by
        them.
        """
        found = []
        path = self._folder / f"{node}.log"
        for line in path.read_text(encoding="utf-8").splitlines():
            if line.startswith("{") and f'"{event}"' in line:
                found.append(json.loads(line))
        return found

    def find_holder(self) -> str:
        """Return the entry that logged the last takeover of the role."""
        taken = [
            (line["epoch"], node)
            for node in self.fronts
            for line in self.read_log(node, "role taken")
        ]
        return max(taken)[1] if taken else ""

    async def ask(
        self,
        node: str,
        method: str,
        path: str,
        data: Any = None,
        key: str = KEYS[0],
        timeout_s: float = 3.0,
    ) -> tuple[int, Any] | None:
        """Send a client's request to an entry and record its answer."""
        answer = await call(
            method,
            self.fronts[node],
            path,
            timeout_s,
            data,
            {
                "Host": HOST,
                "X-Credential": key,
                "X-Deadline-Ms": str(int(timeout_s * 1000)),
            },
        )
        self.record("request", to=node, call=f"{method} {path}", answer=answer)
        return answer

    async def submit(
        self, path: str, spec: dict[str, Any], steps: list, **fields: Any
    ) -> None:
        """Submit a job at any entry; raise ``CaseError`` if it can't be."""
        data = {"spec": json.dumps(spec), "steps": steps, **fields}
        for node in [*self.fronts, *self.fronts]:
            answer = await self.ask(node, "POST", path, data)
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(0.5)
        raise CaseError(f"{path} was not accepted")

    async def read_state(self, path: str) -> str:
        """Return the state of a job that an entry shows, or ''."""
        for node in self.fronts:
            answer = await self.ask(node, "GET", path)
            if answer is not None and answer[0] == 200:
                return answer[1]["state"]
        return ""

    async def wait(
        self, check: Callable[[], bool], limit_s: float, what: str
    ) -> None:
        """Wait until a condition holds; raise ``CaseError`` if it doesn't."""
        until_s = time.monotonic() + limit_s
        while not check():
            if time.monotonic() > until_s:
                raise CaseError(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.02)

    async def wait_serving(self) -> None:
        """Wait until a holder knows all runners."""

        def is_serving() -> bool:
            found = set()
            for node in self.fronts:
                for line in self.read_log(node, "worker found"):
                    found.add(line["worker"])
            return len(found) >= len(self.runners)

        await self.wait(is_serving, START_LIMIT_S, "all runners known")


def run_case(
    folder: Path, play: Callable[[System, bool], Awaitable[list[str]]]
) -> int:
    """Play a case and return its exit code.

    ``play`` returns how the rule was broken, nothing if it held. Its second
    argument is false if ``TROUBLE`` is 0.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run(system: System) -> list[str]:
        try:
            async with asyncio.timeout(CASE_LIMIT_S):
                return await play(system, trouble)
        finally:
            system.close()
            await abort_all()

    with tempfile.TemporaryDirectory() as place:
        system = System(Path(place))
        try:
            broken = asyncio.run(run(system))
            code = BROKEN if broken else HELD
        except (CaseError, TimeoutError, OSError) as error:
            broken = [f"the case did not run: {error!r}"]
            code = NOT_RUN
        finally:
            system.close()
            keep = os.environ.get("KEEP_LOGS", "")
            if keep:
                for log in Path(place).glob("*.log"):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())
        for line in broken:
            system.record(line)
        system.record("exit", code=code, trouble=trouble)
        system.write_record(folder / "record.txt")
    for line in broken:
        print(line)
    print(f"exit {code}")
    return code
