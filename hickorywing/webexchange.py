"""Run one request and send its answer, and count both until they are gone."""

from abc import abstractmethod
from typing import Any

from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from hickorywing.clientmemory import ClientMemory
from hickorywing.clientmemory import MemoryHolder

__all__ = ["Exchange", "ExchangeOwner", "reserve_memory"]

MEMORY_SCOPE = "hickorywing.reserve"


class ExchangeOwner(MemoryHolder):
    """The connection on which a request came."""

    @abstractmethod
    def end_exchange(self) -> None:
        """Go on, as the handler of the request that ran has ended."""


class Exchange(RequestResponseCycle):
    """A request that has arrived, and its answer.

    ``held_bytes`` is what the request takes in memory. It is released when
    the handler has ended, which may be after the connection is closed.
    ``sending_bytes`` is the size of the part of the answer that is being sent.
    """

    def __init__(
        self,
        memory: ClientMemory,
        held_bytes: int,
        owner: ExchangeOwner,
        **fields: Any,
    ) -> None:
        super().__init__(on_response=ignore_response, **fields)
        self.held_bytes = held_bytes
        self.sending_bytes = 0
        self._memory = memory
        self._owner = owner
        self._head: Any = None

    async def run_asgi(self, app: Any) -> None:
        """Run the application, then release the request."""
        self.scope[MEMORY_SCOPE] = self.reserve
        try:
            await super().run_asgi(app)
        finally:
            self.release()
            self._owner.end_exchange()

    def release(self) -> None:
        """Drop the request, so that nothing of it is held any more."""
        self._memory.hold(-self.held_bytes)
        self.held_bytes = 0
        self.scope = {}
        self.body = b""
        self._head = None

    def reserve(self, size: int) -> bool:
        """Count memory that the handler needs, unless there is no room."""
        if not self._memory.reserve(size, self.held_bytes):
            return False
        self.held_bytes += size
        return True

    async def send(self, message: Any) -> None:
        """Send a part of the answer, the head together with the first body.

        The answer counts until the handler has ended. What the client hasn't
        taken by then is counted by the connection.
        """
        if message["type"] == "http.response.start":
            self._head = message
            self._hold(find_length(message.get("headers", ())))
            return
        self.sending_bytes = len(message.get("body", b""))
        if self._head is not None:
            head, self._head = self._head, None
            await super().send(head)
        await super().send(message)
        self.sending_bytes = 0

    def _hold(self, size: int) -> None:
        self.held_bytes += size
        self._memory.hold(size, self._owner)


def find_length(headers: Any) -> int:
    """Return the length of an answer, 0 if its head doesn't tell it."""
    for name, value in headers:
        if name.lower() == b"content-length":
            return int(value)
    return 0


def ignore_response() -> None:
    """Do nothing, as the end of the handler is what counts."""


def reserve_memory(scope: Any, size: int) -> bool:
    """Count memory that the handler of a request needs until its end.

    Return false, and count nothing, if the clients of the process hold too
    much already. The request should then be refused.
    """
    reserve = scope.get(MEMORY_SCOPE)
    return reserve is None or reserve(size)
