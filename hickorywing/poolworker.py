"""The interface between a pool's agent and the worker beside it."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass

from hickorywing.orders import EndedRun
from hickorywing.orders import OrderAnswer
from hickorywing.orders import RunningRun
from hickorywing.orders import StartOrder
from hickorywing.orders import StopOrder
from hickorywing.policy.poolmodel import Resources

__all__ = [
    "PollResult",
    "Worker",
    "WorkerPlace",
    "WorkerAnnouncement",
    "WorkerGone",
    "WorkerReplaced",
    "WorkerSilent",
]


class WorkerSilent(Exception):  # noqa: N818
    """Raised if a poll of the worker got no usable answer."""


class WorkerGone(WorkerSilent):
    """Raised if no process listens at the worker's address."""


class WorkerReplaced(WorkerSilent):
    """Raised if a worker of another name answers at the address."""


@dataclass(frozen=True, slots=True)
class WorkerAnnouncement:
    """A worker's announcement of itself and its capacity.

    ``worker`` names the incarnation. ``born_ms`` is its start in Unix
    milliseconds, and ``sequence`` rises with each announcement of one.
    ``address`` is that at which it takes orders. ``remaining_ms`` is the time
    that a draining worker has left, and ``clock_ms`` the worker's clock when
    it sent the announcement.
    """

    worker: str
    name: str
    born_ms: int
    sequence: int
    pool: str
    zone: str
    address: str
    capacity: Resources
    labels: tuple[str, ...]
    draining: bool
    remaining_ms: int
    clock_ms: int


@dataclass(frozen=True, slots=True)
class WorkerPlace:
    """What an agent's settings say of the worker on its VM."""

    pool: str
    zone: str
    address: str

    def find_mismatch(self, announcement: WorkerAnnouncement) -> str:
        """Return the field in which an announcement differs, '' if none."""
        for name in ("pool", "zone", "address"):
            if getattr(announcement, name) != getattr(self, name):
                return name
        return ""


@dataclass(frozen=True, slots=True)
class PollResult:
    """The result of a poll: the runs that a worker lists.

    ``clock_ms`` is the worker's clock in milliseconds, and ``born_ms`` the
    start of its incarnation in Unix milliseconds.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


class Worker(ABC):
    """The worker on the agent's own VM."""

    @abstractmethod
    async def start(self, order: StartOrder, name: str) -> OrderAnswer:
        """Order a start at the worker ``name``; return its answer."""

    @abstractmethod
    async def stop(self, order: StopOrder, name: str) -> OrderAnswer:
        """Order a stop at the worker ``name``; return its answer."""

    @abstractmethod
    async def poll(
        self,
        name: str,
        epoch: int,
        lease_ms: int,
        acknowledged: int,
        wait_s: float,
    ) -> PollResult:
        """Poll the worker: renew its lease and list its runs.

        The lease ends at ``lease_ms`` on the worker's clock; 0 leaves it as it
        is. The call waits up to ``wait_s`` seconds for an end with a number
        above ``acknowledged``; the worker forgets the ends up to that number.
        Raises ``WorkerSilent`` without a usable answer, ``WorkerGone`` if no
        process listens there, and ``WorkerReplaced`` if a worker of another
        name does.
        """
