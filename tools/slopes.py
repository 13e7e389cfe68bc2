"""Measure how costs grow with size, for docs/CAPACITY.md.

A line is fitted through at least four sizes for each cost, and printed with
its largest residual. Parts that would need more processes than one machine can
hold are called directly in this process.
"""

import argparse
import asyncio
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
import gc
import json
import logging
import os
from pathlib import Path
import random
import re
import resource
import shutil
import subprocess
import sys
import time

from launcher import find_free_ports
from launcher import Launcher
from launcher import Plan
from launcher import wait_until
import numpy
import structlog
from zonefake import FakeJob
from zonefake import FakeSystem
from zonefake import Site

from hickorywing.mailbox import Handler
from hickorywing.mailbox import Mailbox
from hickorywing.mailbox import PynngMailbox
from hickorywing.messages import AgentInfo
from hickorywing.messages import AnyMessage
from hickorywing.messages import ControllerHello
from hickorywing.messages import decode_message
from hickorywing.messages import encode_message
from hickorywing.messages import Envelope
from hickorywing.messages import Head
from hickorywing.messages import HeadPush
from hickorywing.messages import Heartbeat
from hickorywing.messages import HeartbeatAck
from hickorywing.messages import MemberReport
from hickorywing.metrics import Metrics
from hickorywing.policy.model import Customer
from hickorywing.policy.model import Guarantee
from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import WorkerSpec
from hickorywing.policy.register import ConfigurationRegister
from hickorywing.policy.scheduler import SchedulerOptions
from hickorywing.rules import hash_token
from hickorywing.standins.tables import MemoryTable
from hickorywing.timeline import Timeline
from hickorywing.zonecontroller import ZoneController

__all__ = ["Slope", "main"]

# The number of tasks for each worker in the customer's requirements.
TASKS_PER_WORKER = 9.3
EXAMPLE = Path(__file__).parent.parent / "examples" / "cooperative"
SETTLE_S = 6.0
MEASURE_S = 8.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass
class Slope:
    """Measured values over sizes, through which a line is fitted."""

    name: str
    unit: str
    sizes: list[float]
    values: list[float]

    def fit(self) -> tuple[float, float, float]:
        """Return the slope, the intercept and the largest residual."""
        slope, start = numpy.polyfit(self.sizes, self.values, 1)
        fitted = slope * numpy.array(self.sizes) + start
        residual = numpy.max(numpy.abs(fitted - numpy.array(self.values)))
        return float(slope), float(start), float(residual)

    def show(self) -> None:
        """Print points and fit."""
        points = ", ".join(
            f"{size:g}: {value:.4g}"
            for size, value in zip(self.sizes, self.values, strict=True)
        )
        slope, start, residual = self.fit()
        print(
            f"{self.name}: {slope:.4g} {self.unit} each + {start:.4g},"
            f" residual {residual:.3g} ({points})"
        )


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB, printed as MB."""
    status = Path(f"/proc/{pid}/status").read_text("utf-8")
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024


def read_cpu_s(pid: int) -> float:
    """Return the processor time in seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text("utf-8").rpartition(")")[2]
    parts = fields.split()
    return (int(parts[11]) + int(parts[12])) / TICKS_PER_S


# Scheduler


def make_busy_zone(workers: int, seed: int) -> FakeSystem:
    """Return a zone of mixed workers with jobs that arrive in two phases.

    In the first 600 s, ``TASKS_PER_WORKER`` long jobs of one task arrive for
    each worker; in the next 1000 s, 200 shorter jobs of various shapes.
    """
    rng = random.Random(seed)
    specs = tuple(
        WorkerSpec(
            f"w{number}",
            "z",
            f"r{number // 3}",
            8 if number % 5 == 0 else 0,
            96.0,
            256.0,
        )
        for number in range(workers)
    )
    cells = max(1, workers // 10)
    site = Site(
        "slope",
        specs,
        (Customer("north"), Customer("south")),
        (Guarantee("north", 8, cells, "z"),),
    )
    system = FakeSystem(site, SchedulerOptions(), seed, time.perf_counter)
    wanted = int(TASKS_PER_WORKER * workers)
    for number in range(wanted):
        accelerators = 1 if number % 6 == 0 else 0
        spec = JobSpec(
            f"j{number}",
            rng.choice(["north", "south"]),
            1,
            accelerators,
            4.0,
            8.0,
            declared_run_s=4000.0,
        )
        work = rng.uniform(2000.0, 6000.0)
        system.add_job(FakeJob(spec, rng.uniform(0, 600.0), work))
    for number in range(200):
        shape = rng.choice([(1, 0), (1, 2), (2, 8), (1, 8)])
        spec = JobSpec(
            f"k{number}",
            rng.choice(["north", "south"]),
            shape[0],
            shape[1],
            4.0,
            8.0,
            declared_run_s=600.0,
        )
        arrives = 600.0 + rng.uniform(0, 1000.0)
        system.add_job(FakeJob(spec, arrives, 600.0))
    return system


def measure_decisions(seed: int) -> list[Slope]:
    """Measure the time of decisions and the memory over a zone's workers."""
    sizes = [10, 100, 430, 2000]
    median, p99, memory = [], [], []
    pid = os.getpid()
    for size in sizes:
        gc.collect()
        before = read_memory_mb(pid)
        system = make_busy_zone(size, seed)
        system.run(600.0)
        memory.append(max(0.0, read_memory_mb(pid) - before))
        system.measurements.decisions_s.clear()
        system.run(1700.0)
        took = sorted(system.measurements.decisions_s)
        median.append(1000 * took[len(took) // 2])
        p99.append(1000 * took[int(0.99 * len(took))])
    return [
        Slope("decision p50 over workers", "ms", sizes, median),
        Slope("decision p99 over workers", "ms", sizes, p99),
        Slope("zone state over workers", "MB", sizes, memory),
    ]


# Messages


def make_info(number: int) -> AgentInfo:
    """Return the description of a typical agent."""
    return AgentInfo(
        f"agent-cordoba-{number:05d}",
        "cordoba",
        1_796_345_111_795,
        "10.20.30.40:9002",
        "10.20.30.40:9001",
        worker_id=f"crdp-{number:05d}",
    )


def make_heartbeat(number: int, members: int) -> Heartbeat:
    """Return a typical heartbeat that reports some gang members."""
    reports = [
        MemberReport(f"members.{index:012x}", 3, "running")
        for index in range(members)
    ]
    return Heartbeat(make_info(number), 12345.678, False, 4711, 7, reports)


def make_ack(members: int) -> HeartbeatAck:
    """Return a typical answer to a heartbeat with some members."""
    reports = [
        MemberReport(f"members.{index:012x}", 3, "running")
        for index in range(members)
    ]
    head = Head(4711, ["cordoba"], [], 4700, 4705)
    return HeartbeatAck(12345.678, head, 0.4, 7, reports, [])


def encode_frame(body: AnyMessage) -> bytes:
    """Encode a message as a frame."""
    return encode_message(Envelope("agent-1", "10.20.30.40:9002", body))


def measure_lengths(frames: list[bytes]) -> list[float]:
    """Return the length of each frame."""
    return [float(len(frame)) for frame in frames]


def measure_call_us(action: Callable[[], object], repeats: int) -> float:
    """Return the mean time of a call in microseconds."""
    began = time.perf_counter()
    for _ in range(repeats):
        action()
    return 1e6 * (time.perf_counter() - began) / repeats


def measure_codec() -> list[Slope]:
    """Measure bytes and time of heartbeats over the members reported."""
    sizes = [0, 5, 10, 20, 40]
    heartbeats = [encode_frame(make_heartbeat(1, size)) for size in sizes]
    acks = [encode_frame(make_ack(size)) for size in sizes]
    decode = [
        measure_call_us(lambda frame=frame: decode_message(frame), 3000)
        for frame in heartbeats
    ]
    encode = [
        measure_call_us(lambda size=size: encode_frame(make_ack(size)), 1000)
        for size in sizes
    ]
    hello = ControllerHello("cordoba", 7, "agent-x#1", "10.0.0.1:9002", 1, 1)
    push = HeadPush(Head(4711, ["cordoba"], [], 4700, 4705))
    print(
        f"hello {len(encode_frame(hello))} B, push {len(encode_frame(push))} B"
    )
    return [
        Slope(
            "heartbeat bytes over members",
            "B",
            sizes,
            measure_lengths(heartbeats),
        ),
        Slope("answer bytes over members", "B", sizes, measure_lengths(acks)),
        Slope("heartbeat decoding over members", "us", sizes, decode),
        Slope("answer making and encoding over members", "us", sizes, encode),
    ]


class CountingMailbox(Mailbox):
    """A mailbox that encodes and counts messages and sends nothing."""

    name = "controller"
    address = "127.0.0.1:1"

    def __init__(self) -> None:
        self.sent_bytes = 0

    def send(self, address: str, body: AnyMessage) -> None:
        """Encode and count a message."""
        self.sent_bytes += len(
            encode_message(Envelope(self.name, self.address, body))
        )

    async def run(self, handler: Handler) -> None:
        """Receive nothing."""

    def close(self) -> None:
        """Close nothing."""


async def measure_controller(seed: int) -> list[Slope]:
    """Measure a controller's time for one round of heartbeats."""
    sizes = [10, 50, 100, 200, 430]
    spent = []
    for size in sizes:
        mailbox = CountingMailbox()
        controller = ZoneController(
            "cordoba",
            "c",
            MemoryTable(),
            mailbox,
            (),
            ConfigurationRegister(),
            Timeline("c"),
            Metrics("c"),
            random.Random(seed),
        )
        controller.zone_lease.in_role = True
        controller.ready = True
        for number in range(size):
            controller.scheduler.add_worker(
                WorkerSpec(f"crdp-{number:05d}", "cordoba", "r", 0, 8.0, 8.0)
            )
        frames = [
            encode_frame(make_heartbeat(number, 9)) for number in range(size)
        ]

        def handle_round(
            frames: list[bytes] = frames,
            controller: ZoneController = controller,
        ) -> None:
            for frame in frames:
                controller.handle(decode_message(frame).unwrap())

        handle_round()
        spent.append(measure_call_us(handle_round, 10) / 1000)
    return [Slope("one round of heartbeats over agents", "ms", sizes, spent)]


async def measure_links() -> list[Slope]:
    """Measure the memory of a link, with both ends, over the peers."""
    sizes = [0, 25, 50, 100, 200]
    values = []
    inboxes = []
    mailbox = PynngMailbox("m", "127.0.0.1:0", Metrics("m"))
    base_port = find_free_ports(1)[0] + 1000
    pid = os.getpid()
    for number in range(sizes[-1] + 1):
        if number in sizes:
            await asyncio.sleep(0.5)
            values.append(read_memory_mb(pid))
        address = f"127.0.0.1:{base_port + number}"
        inbox = PynngMailbox(f"p{number}", address, Metrics("p"))
        inboxes.append(inbox)
        mailbox.send(address, HeadPush(Head(1)))
    for inbox in inboxes:
        inbox.close()
    mailbox.close()
    return [Slope("link with both ends over peers", "MB", sizes, values)]


# Processes


async def measure_processes(sizes: list[int]) -> list[Slope]:
    """Measure an entry and a controller over the agents of one zone."""
    entry_cpu, leader_cpu, agent_cpu = [], [], []
    entry_bytes, agent_bytes, entry_mb, agent_mb = [], [], [], []
    for size in sizes:
        found = await measure_system(size)
        entry_cpu.append(found["entry_cpu"])
        leader_cpu.append(found["leader_cpu"])
        agent_cpu.append(found["agent_cpu"])
        entry_bytes.append(found["entry_bytes"])
        agent_bytes.append(found["agent_bytes"])
        entry_mb.append(found["entry_mb"])
        agent_mb.append(found["agent_mb"])
        print({name: round(value, 4) for name, value in found.items()})
    return [
        Slope("entry processor over agents", "% core", sizes, entry_cpu),
        Slope("controller's agent over agents", "% core", sizes, leader_cpu),
        Slope("plain agent over agents", "% core", sizes, agent_cpu),
        Slope("entry bytes out over agents", "B/s", sizes, entry_bytes),
        Slope("agent bytes out over agents", "B/s", sizes, agent_bytes),
        Slope("entry memory over agents", "MB", sizes, entry_mb),
        Slope("agent memory over agents", "MB", sizes, agent_mb),
    ]


async def measure_entries(sizes: list[int]) -> list[Slope]:
    """Measure a plain agent over the entries that it sends heartbeats to.

    A plain agent is one that is not its zone's controller.
    """
    cpu, sent, memory = [], [], []
    for size in sizes:
        found = await measure_system(2, size)
        cpu.append(found["agent_cpu"])
        sent.append(found["agent_bytes"])
        memory.append(found["agent_mb"])
    return [
        Slope("plain agent processor over entries", "% core", sizes, cpu),
        Slope("agent bytes out over entries", "B/s", sizes, sent),
        Slope("agent memory over entries", "MB", sizes, memory),
    ]


def measure_command() -> None:
    """Print the time and memory that one run of the command line takes."""
    command = [sys.executable, "-c", "from hickorywing.ui import main; main()"]
    files = sorted(str(path) for path in EXAMPLE.iterdir())
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([*command, "check", *files], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    spent = after.ru_utime + after.ru_stime
    spent -= before.ru_utime + before.ru_stime
    print(
        f"operator's command: {spent:.2f} s, {after.ru_maxrss / 1024:.0f} MB"
    )


async def measure_system(size: int, entries: int = 2) -> dict[str, float]:
    """Start a zone of idle agents and measure its processes."""
    folder = Path("out/slopes")
    shutil.rmtree(folder, ignore_errors=True)
    ids = [f"w{number:02d}" for number in range(size)]
    plan = Plan(
        zones=["z"],
        entries=entries,
        workers=[(worker_id, "z") for worker_id in ids],
        operator_sha256=hash_token("op"),
    )
    launcher = Launcher(folder, plan)
    launcher.prepare()
    try:
        launcher.start_all()
        await launcher.wait_serving()
        inventory = {
            "regions": [{"name": "r", "zones": ["z"]}],
            "workers": [
                {
                    "id": worker_id,
                    "zone": "z",
                    "rack": "r1",
                    "accelerators": 8,
                    "cores": 64,
                    "memory_gb": 64,
                }
                for worker_id in ids
            ],
        }
        await launcher.call("entry-1", "PUT", "/v1/inventory", inventory, "op")

        async def ready() -> str:
            answer = await launcher.call(
                "entry-1", "GET", "/v1/status", token="op"
            )
            zones = answer.data()["zones"]
            is_complete = zones and zones[0]["free_accelerators"] == 8 * size
            return (
                zones[0]["controller"].partition("#")[0] if is_complete else ""
            )

        controller_agent = await wait_until(ready, 60.0, "the zone")
        await asyncio.sleep(SETTLE_S)
        return await measure_usage(launcher, controller_agent)
    finally:
        launcher.kill_all()


async def measure_usage(
    launcher: Launcher, controller_agent: str
) -> dict[str, float]:
    """Return processor share, bytes a second and memory of each role."""
    agents = [name for name in launcher.processes if name.startswith("agent")]
    plain = next(name for name in agents if name != controller_agent)
    roles = {"entry": "entry-1", "leader": controller_agent, "agent": plain}
    pids = {
        role: launcher.processes[name].popen.pid
        for role, name in roles.items()
    }
    cpu = {role: read_cpu_s(pid) for role, pid in pids.items()}
    sent = {
        role: await read_sent_bytes(launcher, name)
        for role, name in roles.items()
    }
    await asyncio.sleep(MEASURE_S)
    found: dict[str, float] = {}
    for role, name in roles.items():
        used = read_cpu_s(pids[role]) - cpu[role]
        found[f"{role}_cpu"] = 100 * used / MEASURE_S
        bytes_out = await read_sent_bytes(launcher, name) - sent[role]
        found[f"{role}_bytes"] = bytes_out / MEASURE_S
        found[f"{role}_mb"] = read_memory_mb(pids[role])
    return found


async def read_sent_bytes(launcher: Launcher, name: str) -> float:
    """Return the bytes of messages that a process has sent so far."""
    answer = await launcher.call(name, "GET", "/metrics")
    match = re.search(
        rb"message_bytes_sent_total\{[^}]*\} ([\d.e+]+)", answer.body
    )
    return float(match.group(1)) if match else 0.0


async def measure_all(seed: int, parts: list[str]) -> list[Slope]:
    """Measure the given parts."""
    slopes: list[Slope] = []
    if "direct" in parts:
        slopes += measure_codec()
        slopes += await measure_controller(seed)
        slopes += await measure_links()
    if "decisions" in parts:
        slopes += measure_decisions(seed)
    if "entries" in parts:
        measure_command()
        slopes += await measure_entries([1, 2, 4, 8])
    if "processes" in parts:
        slopes += await measure_processes([2, 4, 8, 16, 24])
    return slopes


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    parser.add_argument(
        "--parts",
        nargs="+",
        default=["direct", "decisions", "entries", "processes"],
        choices=["direct", "decisions", "entries", "processes"],
    )
    options = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    slopes = asyncio.run(measure_all(options.seed, options.parts))
    print()
    for slope in slopes:
        slope.show()
    if options.json:
        data = [asdict(slope) for slope in slopes]
        options.json.write_text(json.dumps(data, indent=1), "utf-8")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
