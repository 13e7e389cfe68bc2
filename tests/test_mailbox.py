"""The mailbox between the first form's processes."""

import asyncio

from platformsystem import free_address

from hickorywing.mailbox import PynngMailbox
from hickorywing.metrics import Metrics
from hickorywing.program import cancel_tasks


class CompletedSocket:
    """Completes an operation that is cancelled at the same moment.

    The library reports it as done then, and the cancellation is lost.
    """

    def __init__(self) -> None:
        self.begun = asyncio.Event()
        self.under_way = 0
        self.closed_with: int | None = None

    async def arecv(self) -> bytes:
        await self._complete()
        return b"malformed"

    async def asend(self, frame: bytes) -> None:
        await self._complete()

    def close(self) -> None:
        self.closed_with = self.under_way

    async def _complete(self) -> None:
        self.begun.set()
        self.under_way += 1
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            return
        finally:
            self.under_way -= 1


class TestStop:
    """A stop ends the mailbox also while messages come and go.

    The load: heartbeats of many processes, one of which arrives in the instant
    in which the process stops.
    """

    async def test_while_a_message_arrives(self):
        mailbox = PynngMailbox("e1", free_address(), Metrics("e1"))
        mailbox._inbox.close()
        mailbox._inbox = CompletedSocket()
        task = asyncio.create_task(mailbox.run(lambda envelope: None))
        await mailbox._inbox.begun.wait()
        async with asyncio.timeout(2):
            await cancel_tasks([task])

    async def test_while_a_message_is_sent(self):
        mailbox = PynngMailbox("e1", free_address(), Metrics("e1"))
        link = mailbox._open_link(free_address())
        link._socket.close()
        link._socket = CompletedSocket()
        link.put(b"frame")
        await link._socket.begun.wait()
        async with asyncio.timeout(2):
            await cancel_tasks([link._task])
        mailbox.close()

    async def test_sockets_close_once_nothing_is_under_way(self):
        mailbox = PynngMailbox("e1", free_address(), Metrics("e1"))
        link = mailbox._open_link(free_address())
        link._socket.close()
        link._socket = socket = CompletedSocket()
        link.put(b"frame")
        await socket.begun.wait()
        async with asyncio.timeout(2):
            await mailbox.finish()
        assert socket.closed_with == 0
