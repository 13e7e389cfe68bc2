"""What an agent can ask of the worker beside it."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass

from hickorywing.orders import EndedRun
from hickorywing.orders import OrderAnswer
from hickorywing.orders import RunningRun
from hickorywing.orders import StartOrder
from hickorywing.orders import StopOrder
from hickorywing.policy.poolmodel import Resources

__all__ = ["Announcement", "Look", "Worker", "WorkerGone", "WorkerSilent"]


class WorkerSilent(Exception):  # noqa: N818
    """Reports that a look at the worker got no usable answer."""


class WorkerGone(WorkerSilent):
    """Reports that nobody listens where the worker should."""


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a worker says of itself; ``sequence`` rises with each one.

    ``worker`` names the incarnation and ``born_ms`` is its start in Unix
    milliseconds, by which two incarnations are ordered.
    """

    worker: str
    name: str
    born_ms: int
    sequence: int
    pool: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
    remaining_ms: int
    clock_ms: int


@dataclass(frozen=True, slots=True)
class Look:
    """The runs that a worker lists, and its clock in milliseconds."""

    clock_ms: int
    born_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


class Worker(ABC):
    """The worker on the agent's own VM."""

    @abstractmethod
    async def start(self, order: StartOrder, name: str) -> OrderAnswer:
        """Order a start of the incarnation that has this name."""

    @abstractmethod
    async def stop(self, order: StopOrder, name: str) -> OrderAnswer:
        """Order a stop."""

    @abstractmethod
    async def look(
        self, name: str, epoch: int, lease_ms: int, noted: int, wait_s: float
    ) -> Look:
        """Renew the lease and list the runs; raise ``WorkerSilent``.

        ``WorkerGone`` says that its process isn't there.

        Waits up to ``wait_s`` for an end after number ``noted``. Ends up to
        that number are forgotten by the worker.
        """
