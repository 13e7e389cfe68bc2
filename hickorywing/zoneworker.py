"""The interface between a zone's agent and the worker beside it."""

from abc import ABC
from abc import abstractmethod
import enum

import msgspec

from hickorywing.decoding import decode_json
from hickorywing.httpclient import HttpClient

__all__ = [
    "HttpWorker",
    "TaskLaunch",
    "TaskIds",
    "TaskState",
    "TaskStatus",
    "TaskStatuses",
    "Worker",
]

WORKER_LEASE_S = 10.0
WORKER_TIMEOUT_S = 3.0


class TaskState(enum.StrEnum):
    """The state of a task on its worker."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


class TaskLaunch(msgspec.Struct, frozen=True):
    """A task to start.

    ``run_s`` is its run time, ``kept_s`` the part of it that is already saved
    and ``lease_s`` the time within which its lease must be renewed, all in
    seconds.
    """

    task_id: str
    job_id: str
    attempt: int
    index: int
    run_s: float
    kept_s: float
    lease_s: float = WORKER_LEASE_S


class TaskIds(msgspec.Struct, frozen=True):
    """The tasks to renew, stop or forget.

    A renewal extends their leases to ``lease_s`` seconds from now. With
    ``checkpoint``, a stop saves their work first.
    """

    task_ids: list[str]
    lease_s: float = WORKER_LEASE_S
    checkpoint: bool = False


class TaskStatus(msgspec.Struct, frozen=True):
    """The state of a task and the seconds of its work that are saved."""

    task_id: str
    state: TaskState
    kept_s: float = 0.0


class TaskStatuses(msgspec.Struct, frozen=True):
    """The states of all tasks that a worker knows."""

    tasks: list[TaskStatus]


class Worker(ABC):
    """Runs tasks under leases."""

    @abstractmethod
    async def start(self, launch: TaskLaunch) -> None:
        """Start a task; has no effect if it was started already."""

    @abstractmethod
    async def renew(self, ids: TaskIds) -> TaskStatuses:
        """Renew the leases of tasks and return the states of all."""

    @abstractmethod
    async def stop(self, ids: TaskIds) -> TaskStatuses:
        """Stop tasks and return the states of all."""

    @abstractmethod
    async def forget(self, ids: TaskIds) -> None:
        """Remove ended tasks from the worker's list."""

    async def close(self) -> None:  # noqa: B027
        """Close the client's connections; has no effect by default."""


class HttpWorker(Worker):
    """A worker that is called over HTTP with JSON bodies."""

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")
        self._http = HttpClient()

    async def _post(self, path: str, message: msgspec.Struct) -> bytes:
        answer = await self._http.call(
            "POST",
            self.url + path,
            WORKER_TIMEOUT_S,
            msgspec.json.encode(message),
        )
        if answer.status >= 300:
            raise ConnectionError(f"the worker answered {answer.status}")
        return answer.body

    async def start(self, launch: TaskLaunch) -> None:
        """Start a task."""
        await self._post("/tasks/start", launch)

    async def renew(self, ids: TaskIds) -> TaskStatuses:
        """Renew leases and return all states."""
        body = await self._post("/tasks/renew", ids)
        return decode_json(body, TaskStatuses)

    async def stop(self, ids: TaskIds) -> TaskStatuses:
        """Stop tasks and return all states."""
        body = await self._post("/tasks/stop", ids)
        return decode_json(body, TaskStatuses)

    async def forget(self, ids: TaskIds) -> None:
        """Drop ended tasks."""
        await self._post("/tasks/forget", ids)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()
