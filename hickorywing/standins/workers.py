"""A stand-in for a worker that runs tasks under leases, with faults."""

import asyncio
from dataclasses import dataclass
import time

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.web import answer_json
from hickorywing.zoneworker import TaskIds
from hickorywing.zoneworker import TaskLaunch
from hickorywing.zoneworker import TaskState
from hickorywing.zoneworker import TaskStatus
from hickorywing.zoneworker import TaskStatuses

__all__ = ["WorkerFaults", "WorkerTasks", "make_worker_app"]

SWEEP_INTERVAL_S = 0.05


class WorkerFaults(msgspec.Struct):
    """The present faults of the worker.

    ``fail_all`` makes new tasks fail at their start, and ``slow`` is the
    factor by which tasks take longer.
    """

    fail_all: bool = False
    slow: float = 1.0


@dataclass(slots=True)
class RunningTask:
    """A task on the worker.

    Times are monotonic seconds, but ``started_wall`` is in Unix seconds.
    ``kept_s`` are the seconds of work that earlier attempts or checkpoints
    have saved.
    """

    launch: TaskLaunch
    started_at: float
    lease_until: float
    state: TaskState = TaskState.RUNNING
    kept_s: float = 0.0
    started_wall: float = 0.0


class WorkerTasks:
    """Keeps the tasks of a worker.

    The present time is a parameter, in monotonic seconds, so that simulations
    can use a clock of their own. ``starts`` records all starts.
    """

    def __init__(self) -> None:
        self.tasks: dict[str, RunningTask] = {}
        self.starts: list[TaskLaunch] = []
        self.faults = WorkerFaults()

    def start(self, launch: TaskLaunch, now: float) -> None:
        """Start a task; repeated starts of the same task have no effect."""
        if launch.task_id in self.tasks:
            return
        self.starts.append(launch)
        task = RunningTask(launch, now, now + launch.lease_s)
        task.kept_s = launch.kept_s
        task.started_wall = time.time()
        if self.faults.fail_all:
            task.state = TaskState.FAILED
        self.tasks[launch.task_id] = task

    def renew(self, ids: TaskIds, now: float) -> None:
        """Extend the leases of tasks."""
        for task_id in ids.task_ids:
            task = self.tasks.get(task_id)
            if task is not None:
                task.lease_until = now + ids.lease_s

    def stop(self, ids: TaskIds, now: float) -> None:
        """Stop tasks, and save their progress if a checkpoint is requested."""
        for task_id in ids.task_ids:
            task = self.tasks.get(task_id)
            if task is None or task.state is not TaskState.RUNNING:
                continue
            if ids.checkpoint:
                task.kept_s += (now - task.started_at) / self.faults.slow
            task.state = TaskState.STOPPED

    def sweep(self, now: float) -> None:
        """Stop tasks whose lease has expired, and end those that are done."""
        for task in self.tasks.values():
            if task.state is not TaskState.RUNNING:
                continue
            ran_s = (now - task.started_at) / self.faults.slow
            if task.lease_until <= now:
                task.state = TaskState.STOPPED
            elif task.launch.kept_s + ran_s >= task.launch.run_s:
                task.state = TaskState.DONE

    def forget(self, ids: TaskIds) -> None:
        """Drop ended tasks that the agent has acknowledged."""
        for task_id in ids.task_ids:
            task = self.tasks.get(task_id)
            if task is not None and task.state is not TaskState.RUNNING:
                del self.tasks[task_id]

    def statuses(self) -> TaskStatuses:
        """Return the states of all tasks."""
        return TaskStatuses(
            [
                TaskStatus(task_id, task.state, task.kept_s)
                for task_id, task in self.tasks.items()
            ]
        )


def make_worker_app(worker: WorkerTasks) -> Application:
    """Return the worker as a web application that sweeps regularly."""
    app = Application()

    async def sweep_forever() -> None:
        while True:
            worker.sweep(time.monotonic())
            await asyncio.sleep(SWEEP_INTERVAL_S)

    @app.on_start
    async def start_sweeping(_: Application) -> None:
        app.sweeper = asyncio.create_task(sweep_forever())

    async def decode(request: Request, message_type: type) -> msgspec.Struct:
        return msgspec.json.decode(
            await request.read() or b"", type=message_type
        )

    @app.router.post("/tasks/start")
    async def start_task(request: Request) -> Response:
        worker.start(await decode(request, TaskLaunch), time.monotonic())
        return Response(204)

    @app.router.post("/tasks/renew")
    async def renew_tasks(request: Request) -> Response:
        worker.renew(await decode(request, TaskIds), time.monotonic())
        worker.sweep(time.monotonic())
        return answer_json(200, worker.statuses())

    @app.router.post("/tasks/stop")
    async def stop_tasks(request: Request) -> Response:
        worker.stop(await decode(request, TaskIds), time.monotonic())
        return answer_json(200, worker.statuses())

    @app.router.post("/tasks/forget")
    async def forget_tasks(request: Request) -> Response:
        worker.forget(await decode(request, TaskIds))
        return Response(204)

    @app.router.get("/starts")
    async def list_starts(request: Request) -> Response:
        return answer_json(200, worker.starts)

    @app.router.post("/faults")
    async def set_faults(request: Request) -> Response:
        worker.faults = await decode(request, WorkerFaults)
        return Response(204)

    return app
