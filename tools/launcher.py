"""Start a small system of real processes on loopback, for demo and tests.

The launcher is not part of the system. It stands in for the platform, which
starts one process for each slot.
"""

import asyncio
import contextlib
from dataclasses import dataclass
from dataclasses import field
import json
import os
from pathlib import Path
import signal
import socket
import subprocess
import sys
import time
from typing import Any

from hickorywing.client import Answer
from hickorywing.client import Client
from hickorywing.client import EntryNotReachable

__all__ = ["Launcher", "Plan", "find_free_ports", "wait_until"]

READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 90.0
# The process id determines where in this range a launcher begins its search
# for free ports, so that concurrent launchers seldom try the same ones.
FIRST_PORT = 20_000
PORT_RANGE = 12_000
PORT_STRIDE = 97


def find_free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on.

    They lie below the kernel's range of ephemeral ports, so that no outgoing
    connection takes one before its process listens on it.
    """
    found: list[int] = []
    port = FIRST_PORT + os.getpid() * PORT_STRIDE % PORT_RANGE
    while len(found) < count:
        port = FIRST_PORT + (port + 1 - FIRST_PORT) % PORT_RANGE
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


async def wait_until(check: Any, timeout_s: float, description: str) -> Any:
    """Wait until an async check returns a true value, and return that."""
    deadline = time.monotonic() + timeout_s
    while True:
        found = await check()
        if found:
            return found
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {timeout_s:g} s for {description}")
        await asyncio.sleep(0.05)


@dataclass
class Plan:
    """The processes of a system.

    ``backends`` holds the zone of each backend server, and ``workers`` the id
    and zone of each worker. Each backend server and each worker gets an agent.
    ``service_s`` is the time that a backend server takes for a request.
    """

    zones: list[str]
    entries: int = 2
    backends: list[str] = field(default_factory=list)
    workers: list[tuple[str, str]] = field(default_factory=list)
    service: str = "jobs"
    service_s: float = 0.01
    operator_sha256: str = ""


@dataclass
class Process:
    """A process with the module of its program and its settings file."""

    name: str
    program: str
    settings: Path
    popen: subprocess.Popen[bytes] | None = None


class Launcher:
    """Starts, calls and stops the processes of a plan."""

    def __init__(self, folder: Path, plan: Plan) -> None:
        self.folder = folder
        self.plan = plan
        self.processes: dict[str, Process] = {}
        self.http: dict[str, str] = {}
        self.control: dict[str, str] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def prepare(self) -> None:
        """Allocate the addresses and write the settings of every process."""
        plan = self.plan
        count = 2 + 2 * plan.entries + 3 * len(plan.backends)
        ports = iter(find_free_ports(count + 3 * len(plan.workers)))

        def allocate_address() -> str:
            return f"127.0.0.1:{next(ports)}"

        for kind in ("table", "objects"):
            self.http[kind] = allocate_address()
            self._add_standin(kind, {"kind": kind, "listen": self.http[kind]})
        controls = []
        for number in range(plan.entries):
            name = f"entry-{number + 1}"
            self.http[name] = allocate_address()
            self.control[name] = allocate_address()
            controls.append(self.control[name])
        for number in range(plan.entries):
            self._add_entry(f"entry-{number + 1}", number, controls)
        for number, zone in enumerate(plan.backends):
            self._add_backend(
                f"runner-{number + 1}", zone, allocate_address, controls
            )
        for worker_id, zone in plan.workers:
            self._add_worker(worker_id, zone, allocate_address, controls)

    def _table_url(self) -> str:
        return f"http://{self.http['table']}"

    def _add_standin(self, name: str, settings: dict[str, Any]) -> None:
        path = self._write_settings(f"standin-{name}", settings)
        self.processes[name] = Process(name, "standins.program", path)

    def _write_settings(self, name: str, settings: dict[str, Any]) -> Path:
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        return path

    def _add_entry(self, name: str, number: int, controls: list[str]) -> None:
        zones = self.plan.zones
        path = self._write_settings(
            name,
            {
                "name": name,
                "zone": zones[number % len(zones)],
                "listen": self.http[name],
                "control": self.control[name],
                "table": self._table_url(),
                "entries": controls,
                "bootstrap_operator_sha256": self.plan.operator_sha256,
                "drain_notice_s": 0.5,
            },
        )
        self.processes[name] = Process(name, "zoneentry", path)

    def _add_backend(
        self, name: str, zone: str, allocate_address: Any, controls: list[str]
    ) -> None:
        agent = f"agent-{name}"
        self.http[agent] = allocate_address()
        self.control[agent] = allocate_address()
        self.http[name] = allocate_address()
        self._add_standin(
            name,
            {
                "kind": "backend",
                "name": name,
                "listen": self.http[name],
                "agent": f"http://{self.http[agent]}",
                "service": self.plan.service,
                "service_s": self.plan.service_s,
            },
        )
        self._add_agent(agent, zone, controls, {"backend": {}})

    def _add_worker(
        self,
        worker_id: str,
        zone: str,
        allocate_address: Any,
        controls: list[str],
    ) -> None:
        agent = f"agent-{worker_id}"
        self.http[agent] = allocate_address()
        self.control[agent] = allocate_address()
        self.http[worker_id] = allocate_address()
        self._add_standin(
            worker_id,
            {
                "kind": "worker",
                "name": worker_id,
                "listen": self.http[worker_id],
            },
        )
        url = f"http://{self.http[worker_id]}"
        self._add_agent(
            agent, zone, controls, {"worker": {"id": worker_id, "url": url}}
        )

    def _add_agent(
        self,
        agent: str,
        zone: str,
        controls: list[str],
        role_settings: dict[str, Any],
    ) -> None:
        path = self._write_settings(
            agent,
            {
                "name": agent,
                "zone": zone,
                "listen": self.http[agent],
                "control": self.control[agent],
                "table": self._table_url(),
                "entries": controls,
                "drain_notice_s": 0.5,
                **role_settings,
            },
        )
        self.processes[agent] = Process(agent, "zoneagent", path)

    # Processes

    def start(self, name: str) -> None:
        """Start one process."""
        process = self.processes[name]
        log = (self.folder / f"{name}.log").open("ab")
        code = f"from hickorywing.{process.program} import main; main()"
        process.popen = subprocess.Popen(
            [sys.executable, "-c", code, str(process.settings)],
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
        log.close()

    def start_all(self) -> None:
        """Start every process."""
        for name in self.processes:
            self.start(name)

    async def wait_serving(self, names: list[str] | None = None) -> None:
        """Wait until entries and agents answer their health checks."""
        for name in names or self.processes:
            if name.startswith(("entry", "agent")):
                await wait_until(
                    lambda name=name: self._is_healthy(name),
                    READY_TIMEOUT_S,
                    f"{name} to serve",
                )

    async def _is_healthy(self, name: str) -> bool:
        process = self.processes[name].popen
        if process is not None and process.poll() is not None:
            log = (self.folder / f"{name}.log").read_text("utf-8")
            raise RuntimeError(f"{name} ended: {log[-2000:]}")
        try:
            answer = await self.call(name, "GET", "/healthz")
        except EntryNotReachable:
            return False
        return answer.status == 200

    async def call(
        self,
        name: str,
        method: str,
        path: str,
        body: Any = None,
        token: str = "",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request to a process by name."""
        client = Client(f"http://{self.http[name]}", token)
        data = b"" if body is None else json.dumps(body).encode()
        try:
            return await client.call(method, path, data, headers)
        finally:
            await client.close()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this launcher started."""
        popen = self.processes[name].popen
        if popen is not None and popen.poll() is None:
            os.kill(popen.pid, number)

    def kill(self, name: str) -> None:
        """Kill a process at once and reap it."""
        self.signal(name, signal.SIGKILL)
        popen = self.processes[name].popen
        if popen is not None:
            popen.wait()

    async def stop(self, name: str) -> int:
        """Ask a process to stop and return its exit code."""
        self.signal(name, signal.SIGTERM)
        popen = self.processes[name].popen
        if popen is None:
            return 0
        return await asyncio.to_thread(popen.wait, STOP_TIMEOUT_S)

    async def stop_all(self) -> dict[str, int]:
        """Stop all processes gracefully, and return their exit codes.

        Entries stop first, then agents, then the rest, so that each process
        stops before those that it calls.
        """
        codes: dict[str, int] = {}
        groups = (
            [name for name in self.processes if name.startswith("entry")],
            [name for name in self.processes if name.startswith("agent")],
            [
                name
                for name in self.processes
                if not name.startswith(("entry", "agent"))
            ],
        )
        for group in groups:
            results = await asyncio.gather(
                *(self.stop(name) for name in group)
            )
            codes.update(zip(group, results, strict=True))
        return codes

    def kill_all(self) -> None:
        """Kill the processes that still run, also those that are frozen."""
        for name, process in self.processes.items():
            if process.popen is not None and process.popen.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    self.signal(name, signal.SIGCONT)
                    self.kill(name)
