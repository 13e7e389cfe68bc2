"""Tests of the pynng mailbox."""

import asyncio

from platformsystem import find_free_address

from hickorywing.mailbox import PynngMailbox
from hickorywing.metrics import Metrics
from hickorywing.program import cancel_tasks


class CompletingSocket:
    """A socket whose operations complete while they are cancelled.

    As with pynng, the operation then returns normally and the cancellation is
    lost.
    """

    def __init__(self) -> None:
        self.started = asyncio.Event()
        self.in_progress = 0
        self.in_progress_at_close: int | None = None

    async def arecv(self) -> bytes:
        await self._complete()
        return b"malformed"

    async def asend(self, frame: bytes) -> None:
        await self._complete()

    def close(self) -> None:
        self.in_progress_at_close = self.in_progress

    async def _complete(self) -> None:
        self.started.set()
        self.in_progress += 1
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            return
        finally:
            self.in_progress -= 1


class TestStop:
    """The mailbox stops while messages are received or sent.

    If a message arrives at the moment of the stop, its operation swallows the
    cancellation, and the stop would wait forever.
    """

    async def test_stops_while_receiving(self):
        mailbox = PynngMailbox("e1", find_free_address(), Metrics("e1"))
        mailbox._inbox.close()
        mailbox._inbox = CompletingSocket()
        task = asyncio.create_task(mailbox.run(lambda envelope: None))
        await mailbox._inbox.started.wait()
        async with asyncio.timeout(2):
            await cancel_tasks([task])

    async def test_stops_while_sending(self):
        mailbox = PynngMailbox("e1", find_free_address(), Metrics("e1"))
        link = mailbox._open_link(find_free_address())
        link._socket.close()
        link._socket = CompletingSocket()
        link.put(b"frame")
        await link._socket.started.wait()
        async with asyncio.timeout(2):
            await cancel_tasks([link._task])
        mailbox.close()

    async def test_sockets_close_after_operations_ended(self):
        mailbox = PynngMailbox("e1", find_free_address(), Metrics("e1"))
        link = mailbox._open_link(find_free_address())
        link._socket.close()
        link._socket = socket = CompletingSocket()
        link.put(b"frame")
        await socket.started.wait()
        async with asyncio.timeout(2):
            await mailbox.finish()
        assert socket.in_progress_at_close == 0
