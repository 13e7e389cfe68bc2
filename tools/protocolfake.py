"""Run real agents and entries over a fake network, table and workers.

Everything shares one event loop, whose time can be virtual. The network loses,
delays, duplicates and cuts messages; the table is slow, down or loses answers;
agents are killed and restarted. A history of the tasks that the workers ran is
checked against the system's guarantees.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random
import time

from hickorywing.configstore import ConfigurationStore
from hickorywing.configstore import HeadRead
from hickorywing.errors import InvariantViolation
from hickorywing.inventory import InventoryModel
from hickorywing.mailbox import Handler
from hickorywing.mailbox import Mailbox
from hickorywing.messages import AnyMessage
from hickorywing.messages import decode_message
from hickorywing.messages import encode_message
from hickorywing.messages import Envelope
from hickorywing.metrics import Metrics
from hickorywing.policy.model import Adjacency
from hickorywing.settings import AgentSettings
from hickorywing.settings import EntrySettings
from hickorywing.standins.tables import MemoryTable
from hickorywing.standins.workers import WorkerTasks
from hickorywing.table import Check
from hickorywing.table import Commit
from hickorywing.table import commit_until_known
from hickorywing.table import Committed
from hickorywing.table import new_nonce
from hickorywing.table import Row
from hickorywing.table import Table
from hickorywing.table import TableUnavailable
from hickorywing.table import Transaction
from hickorywing.table import Unknown
from hickorywing.table import Write
from hickorywing.zoneagent import ZoneAgent
from hickorywing.zoneentry import ZoneEntry
from hickorywing.zonejobs import inbox_key
from hickorywing.zonejobs import job_key
from hickorywing.zonejobs import JobRow
from hickorywing.zonejobs import JobStatus
from hickorywing.zoneworker import TaskIds
from hickorywing.zoneworker import TaskLaunch
from hickorywing.zoneworker import TaskState
from hickorywing.zoneworker import TaskStatuses
from hickorywing.zoneworker import Worker

__all__ = ["FakeNetwork", "FakeWorker", "History", "ProtocolSystem"]

SWEEP_INTERVAL_S = 0.05
# A zone that is out of service for longer than this starts no task.
MAX_START_DELAY_S = 3.0
# The tasks of a broken or incomplete gang must end within this time.
MAX_BROKEN_GANG_S = 45.0
URL = "http://127.0.0.1:1"


@dataclass
class FakeNetwork:
    """A network that loses, duplicates, delays and cuts off frames.

    ``loss_rate``, ``duplicate_rate`` and ``delay_rate`` are the probabilities
    that a frame is lost, sent twice, or delayed by 0.5 to 12 s. ``cut`` holds
    the pairs of sender and receiver between which nothing is delivered.
    """

    source: random.Random
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    delay_rate: float = 0.0
    cut: set[tuple[str, str]] = field(default_factory=set)
    mailboxes: dict[str, "FakeMailbox"] = field(default_factory=dict)

    def send_frame(self, sender: str, address: str, frame: bytes) -> None:
        """Schedule the delivery of one frame, or lose it."""
        source = self.source
        copies = 2 if source.random() < self.duplicate_rate else 1
        for _ in range(copies):
            if source.random() < self.loss_rate:
                continue
            delay = source.uniform(0.0005, 0.01)
            if source.random() < self.delay_rate:
                delay = source.uniform(0.5, 12.0)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._deliver, sender, address, frame)

    def _deliver(self, sender: str, address: str, frame: bytes) -> None:
        receiver = self.mailboxes.get(address)
        if receiver is not None and (sender, address) not in self.cut:
            receiver.frames.put_nowait(frame)


class FakeMailbox(Mailbox):
    """A mailbox on a fake network."""

    def __init__(self, name: str, address: str, network: FakeNetwork) -> None:
        self.name = name
        self.address = address
        self.network = network
        self.frames: asyncio.Queue[bytes] = asyncio.Queue()
        network.mailboxes[address] = self

    def send(self, address: str, body: AnyMessage) -> None:
        """Send a message over the fake network."""
        frame = encode_message(Envelope(self.name, self.address, body))
        self.network.send_frame(self.address, address, frame)

    async def run(self, handler: Handler) -> None:
        """Hand every frame to the handler until cancelled."""
        while True:
            frame = await self.frames.get()
            handler(decode_message(frame).unwrap())

    def close(self) -> None:
        """Leave the network."""
        if self.network.mailboxes.get(self.address) is self:
            del self.network.mailboxes[self.address]


@dataclass
class Run:
    """A task that a worker ran."""

    worker_id: str
    zone: str
    launch: TaskLaunch
    began: float
    ended: float | None = None
    state: TaskState = TaskState.RUNNING


@dataclass
class ZoneOutage:
    """A period for which a zone is out of service.

    It lasts from the time at which the change is in force until the change
    that brings the zone back begins.
    """

    zone: str
    accepted: float
    ended: float | None = None


class FakeWorker(Worker):
    """A worker in this process that uses the event loop's clock."""

    def __init__(self, worker_id: str, zone: str, history: "History") -> None:
        self.worker_id = worker_id
        self.zone = zone
        self.history = history
        self.tasks = WorkerTasks()
        self.call_delay_s = 0.0

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _delay_call(self) -> None:
        await asyncio.sleep(self.call_delay_s)

    async def start(self, launch: TaskLaunch) -> None:
        """Start a task, and record the start if the task is new."""
        await self._delay_call()
        if launch.task_id not in self.tasks.tasks:
            self.history.record_start(self, launch, self._now())
        self.tasks.start(launch, self._now())

    async def renew(self, ids: TaskIds) -> TaskStatuses:
        """Renew leases and return all states."""
        await self._delay_call()
        self.sweep()
        self.tasks.renew(ids, self._now())
        return self.tasks.statuses()

    async def stop(self, ids: TaskIds) -> TaskStatuses:
        """Stop tasks and return all states."""
        await self._delay_call()
        self.tasks.stop(ids, self._now())
        self.sweep()
        return self.tasks.statuses()

    async def forget(self, ids: TaskIds) -> None:
        """Drop ended tasks."""
        self.sweep()
        self.tasks.forget(ids)

    def sweep(self) -> None:
        """End tasks that are done or lost their lease, and record the ends."""
        self.tasks.sweep(self._now())
        for task in self.tasks.tasks.values():
            if task.state is not TaskState.RUNNING:
                self.history.record_end(
                    task.launch.task_id, task.state, self._now()
                )


class CutTable(Table):
    """One process's connection to the shared table, which can be cut."""

    def __init__(self, table: MemoryTable) -> None:
        self.table = table
        self.cut = False

    async def read_many(self, keys: list[str]) -> list[Row]:
        """Return rows, unless cut off."""
        if self.cut:
            raise TableUnavailable("cut off")
        return await self.table.read_many(keys)

    async def scan(self, prefix: str) -> list[Row]:
        """Return all rows below a prefix, unless cut off."""
        if self.cut:
            raise TableUnavailable("cut off")
        return await self.table.scan(prefix)

    async def commit(self, transaction: Transaction) -> Commit:
        """Try a transaction, unless cut off."""
        if self.cut:
            return Unknown()
        return await self.table.commit(transaction)


class History:
    """The tasks that ran and the states that were seen, with their checks.

    ``gangs`` holds the number of tasks of each job, ``versions`` the latest
    configuration version of each process, and ``terminal`` the terminal state
    of each job.
    """

    def __init__(self) -> None:
        self.runs: dict[str, Run] = {}
        self.zones_out: list[ZoneOutage] = []
        self.gangs: dict[str, int] = {}
        self.versions: dict[str, int] = {}
        self.terminal: dict[str, str] = {}
        self.error: InvariantViolation | None = None

    def record_start(
        self, worker: FakeWorker, launch: TaskLaunch, now: float
    ) -> None:
        """Record a start and check it against all runs.

        A violation is stored as well as raised, since callers of a worker
        treat any exception as a failed call.
        """
        try:
            self._check_start(worker, launch, now)
        except InvariantViolation as error:
            self.error = self.error or error
            raise
        self.runs[launch.task_id] = Run(
            worker.worker_id, worker.zone, launch, now
        )

    def _check_start(
        self, worker: "FakeWorker", launch: TaskLaunch, now: float
    ) -> None:
        if launch.task_id in self.runs:
            raise InvariantViolation(f"{launch.task_id} started twice")
        for out in self.zones_out:
            is_over = out.ended is not None and out.ended <= now
            late = now > out.accepted + MAX_START_DELAY_S
            if out.zone == worker.zone and late and not is_over:
                raise InvariantViolation(
                    f"{launch.task_id} started {now - out.accepted:.2f} s"
                    f" after zone {worker.zone} was out of service"
                )
        for run in self.runs.values():
            if run.launch.job_id != launch.job_id or run.ended is not None:
                continue
            if run.launch.attempt != launch.attempt:
                raise InvariantViolation(
                    f"{launch.task_id} started while {run.launch.task_id} runs"
                )

    def record_end(self, task_id: str, state: TaskState, now: float) -> None:
        """Record the end of a task."""
        run = self.runs.get(task_id)
        if run is not None and run.ended is None:
            run.ended = now
            run.state = state

    def check_gangs(self, now: float) -> None:
        """Raise if part of a gang runs alone for too long."""
        attempts: dict[tuple[str, int], list[Run]] = {}
        for run in self.runs.values():
            key = (run.launch.job_id, run.launch.attempt)
            attempts.setdefault(key, []).append(run)
        for (job_id, attempt), runs in attempts.items():
            self._check_attempt(job_id, attempt, runs, now)

    def _check_attempt(
        self, job_id: str, attempt: int, runs: list[Run], now: float
    ) -> None:
        size = self.gangs[job_id]
        live = [run for run in runs if run.ended is None]
        if not live:
            return
        broken_at = min(
            (
                run.ended
                for run in runs
                if run.ended is not None and run.state is not TaskState.DONE
            ),
            default=None,
        )
        if len(runs) < size:
            first = min(run.began for run in runs)
            broken_at = first if broken_at is None else min(broken_at, first)
        if broken_at is not None and now - broken_at > MAX_BROKEN_GANG_S:
            raise InvariantViolation(
                f"{len(live)} of {size} tasks of {job_id}/{attempt} ran on"
                f" {now - broken_at:.1f} s after the gang was broken"
            )

    def record_version(self, process: str, version: int) -> None:
        """Check that a process's configuration never goes back."""
        if version < self.versions.get(process, 0):
            raise InvariantViolation(
                f"configuration of {process} went back to version {version}"
            )
        self.versions[process] = version

    def record_terminal(self, job_id: str, status: str) -> None:
        """Check that a job has one terminal state."""
        first = self.terminal.setdefault(job_id, status)
        if first != status:
            raise InvariantViolation(
                f"{job_id} ended as {first} and then as {status}"
            )


@dataclass
class FakeProcess:
    """An agent or entry that runs as tasks of this event loop."""

    name: str
    tasks: list[asyncio.Task[None]]
    mailbox: FakeMailbox
    daemon: ZoneAgent | ZoneEntry
    table: CutTable


class ProtocolSystem:
    """Two entries and an agent for each worker, on one event loop."""

    def __init__(self, seed: int, workers: dict[str, str]) -> None:
        self.source = random.Random(seed)
        self.network = FakeNetwork(random.Random(seed + 1))
        self.table = MemoryTable()
        self.history = History()
        self.workers = {
            worker_id: FakeWorker(worker_id, zone, self.history)
            for worker_id, zone in workers.items()
        }
        self.processes: dict[str, FakeProcess] = {}
        self.entries = ("127.0.0.1:1001", "127.0.0.1:1002")
        self._incarnation = 0
        self._background: list[asyncio.Task[None]] = []
        self._error: InvariantViolation | None = None

    @property
    def error(self) -> InvariantViolation | None:
        """Return a violation, if one was found."""
        return self._error or self.history.error

    @property
    def zones(self) -> list[str]:
        """Return the zones of the workers."""
        return sorted({worker.zone for worker in self.workers.values()})

    async def start(self) -> None:
        """Load an inventory and start every process."""
        store = ConfigurationStore(self.table)
        base = HeadRead((await store.read_head()).head, 0)
        inventory = InventoryModel.model_validate(
            {
                "regions": [{"name": "r", "zones": self.zones}],
                "workers": [
                    {
                        "id": worker_id,
                        "zone": worker.zone,
                        "rack": f"{worker.zone}-1",
                        "accelerators": 8,
                        "cores": 64,
                        "memory_gb": 64,
                    }
                    for worker_id, worker in self.workers.items()
                ],
            }
        )
        await store.put_inventory(base, inventory)
        for number in (0, 1):
            await self.start_entry(number)
        for worker_id in self.workers:
            await self.start_agent(worker_id)
        self._background = [
            asyncio.create_task(self._store_violation(self._sweep_workers)),
            asyncio.create_task(self._store_violation(self._check_history)),
        ]

    async def _store_violation(
        self, work: Callable[[], Awaitable[None]]
    ) -> None:
        try:
            await work()
        except InvariantViolation as error:
            self._error = error

    async def _sweep_workers(self) -> None:
        while True:
            for worker in self.workers.values():
                worker.sweep()
            await asyncio.sleep(SWEEP_INTERVAL_S)

    async def _check_history(self) -> None:
        clock = asyncio.get_running_loop().time
        while True:
            self.history.check_gangs(clock())
            for process in self.processes.values():
                register = (
                    process.daemon.register
                    if isinstance(process.daemon, ZoneAgent)
                    else process.daemon.config_watch.register
                )
                name = f"{process.name}#{process.daemon.incarnation}"
                self.history.record_version(name, register.head.version)
            for key, row in self.table.rows.items():
                if key.startswith("job/"):
                    job = JobRow.from_value(row.value)
                    if job.status.is_terminal:
                        self.history.record_terminal(job.job_id, job.status)
            await asyncio.sleep(0.25)

    async def start_entry(self, number: int) -> None:
        """Start an entry."""
        self._incarnation += 1
        name = f"entry-{number + 1}"
        settings = EntrySettings(
            name=name,
            zone=self.zones[0],
            listen=f"127.0.0.1:{2001 + number}",
            control=self.entries[number],
            table=URL,
            entries=self.entries,
        )
        mailbox = FakeMailbox(name, settings.control, self.network)
        table = CutTable(self.table)
        entry = ZoneEntry(
            settings, self._incarnation, table, mailbox, Metrics(name)
        )
        self.processes[name] = FakeProcess(
            name, entry.start(), mailbox, entry, table
        )

    async def start_agent(self, worker_id: str) -> None:
        """Start the agent beside a worker."""
        self._incarnation += 1
        worker = self.workers[worker_id]
        number = list(self.workers).index(worker_id)
        name = f"agent-{worker_id}"
        settings = AgentSettings.model_validate(
            {
                "name": name,
                "zone": worker.zone,
                "listen": f"127.0.0.1:{4001 + number}",
                "control": f"127.0.0.1:{3001 + number}",
                "table": URL,
                "entries": self.entries,
                "worker": {"id": worker_id, "url": URL},
            }
        )
        mailbox = FakeMailbox(name, settings.control, self.network)
        table = CutTable(self.table)
        agent = ZoneAgent(
            settings,
            self._incarnation,
            table,
            mailbox,
            worker,
            Metrics(name),
        )
        tasks = await agent.start()
        self.processes[name] = FakeProcess(name, tasks, mailbox, agent, table)

    async def kill(self, name: str) -> None:
        """Kill a process at once."""
        process = self.processes.pop(name)
        process.mailbox.close()
        tasks = list(process.tasks)
        if isinstance(process.daemon, ZoneAgent):
            tasks += list(process.daemon.controller._tasks)
            if process.daemon.members is not None:
                tasks += list(process.daemon.members._running_calls)
        else:
            tasks += list(process.daemon.config_watch._reads)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def isolate(self, name: str, both: bool) -> None:
        """Cut what a process sends and, with ``both``, what it receives."""
        address = self.processes[name].mailbox.address
        for other in self.network.mailboxes:
            if other != address:
                self.network.cut.add((address, other))
                if both:
                    self.network.cut.add((other, address))

    # Callers and operators

    async def submit(self, job_id: str, tasks: int, accelerators: int) -> None:
        """Write the rows of a new job as an entry does.

        Its home is a random zone, which a live entry notifies.
        """
        entry = self._find_entry()
        zone = self.source.choice(self.zones)
        row = JobRow(
            job_id,
            "north",
            tasks,
            accelerators,
            1.0,
            1.0,
            Adjacency.ZONE,
            self.source.uniform(2.0, 90.0),
            False,
            zone,
            submitted_at=time.time(),
        )
        self.history.gangs[job_id] = tasks
        transaction = Transaction(
            [Check(job_key(job_id), 0)], row.submit_writes(), new_nonce()
        )
        answer = await commit_until_known(self.table, transaction, 600.0)
        assert isinstance(answer, Committed)
        if entry is not None:
            entry._notify_controller(zone, job_id)

    async def cancel(self, job_id: str) -> None:
        """Request a job's cancellation in its row, in up to 20 attempts."""
        for _ in range(20):
            try:
                row = await self.table.read(job_key(job_id))
            except Exception:
                await asyncio.sleep(1.0)
                continue
            if row.value is None:
                return
            job = JobRow.from_value(row.value)
            if job.status.is_terminal:
                return
            transaction = Transaction(
                [Check(row.key, row.version)],
                [
                    job.change(cancel_requested=True).to_write(),
                    Write(inbox_key(job.home, job_id), {}),
                ],
                new_nonce(),
            )
            answer = await self.table.commit(transaction)
            if isinstance(answer, Committed):
                return
            await asyncio.sleep(0.2)

    def _find_entry(self) -> ZoneEntry | None:
        for process in self.processes.values():
            if isinstance(process.daemon, ZoneEntry):
                return process.daemon
        return None

    async def set_zone(self, zone: str, is_in: bool) -> bool:
        """Take a zone out of service or bring it back, through an entry.

        Waits until an accepted change is in force. Returns whether the change
        was accepted.
        """
        entry = self._find_entry()
        clock = asyncio.get_running_loop().time
        if entry is None:
            return False
        store = entry.config_watch.store
        try:
            base = await store.read_head()
            if is_in:
                self._record_zone_in(zone, clock())
            sent_at = clock()
            change = await store.set_zone(base, zone, is_in)
        except Exception:
            return False
        if not change.accepted:
            return False
        entry.config_watch.adopt(change.head, sent_at)
        await entry.config_watch.wait_in_force(
            change.head.version, None if is_in else zone
        )
        if not is_in:
            self.history.zones_out.append(ZoneOutage(zone, clock()))
        return True

    def _record_zone_in(self, zone: str, now: float) -> None:
        for out in self.history.zones_out:
            if out.zone == zone and out.ended is None:
                out.ended = now

    async def read_job_statuses(self) -> dict[str, JobStatus]:
        """Return the status of every job from the table itself."""
        return {
            row.value["job_id"]: JobStatus(row.value["status"])
            for key, row in self.table.rows.items()
            if key.startswith("job/")
        }

    async def stop(self) -> None:
        """Kill everything."""
        for name in list(self.processes):
            await self.kill(name)
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
