"""Send messages between the processes of the system.

A mailbox listens on one address and can send to any other. Delivery is best
effort: a message may be lost or late, and if the peer was replaced it may
reach its successor. The transport never sends a message twice. The protocols
on top repeat their messages where needed, and fence off outdated ones.
"""

from abc import ABC
from abc import abstractmethod
import asyncio
from collections.abc import Callable
from pathlib import Path

import pynng
from returns.result import Failure

from hickorywing.messages import AnyMessage
from hickorywing.messages import decode_message
from hickorywing.messages import encode_message
from hickorywing.messages import Envelope
from hickorywing.messages import MAX_MESSAGE_BYTES
from hickorywing.metrics import Metrics
from hickorywing.settings import TlsModel

__all__ = ["Handler", "Mailbox", "PynngMailbox"]

Handler = Callable[[Envelope], None]

SEND_TIMEOUT_MS = 200
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
# Messages queued for one peer, and peers with an open link.
MAX_QUEUED_MESSAGES = 128
MAX_LINKS = 1024


class Mailbox(ABC):
    """The sender and receiver of the messages of one process."""

    name: str
    address: str

    @abstractmethod
    def send(self, address: str, body: AnyMessage) -> None:
        """Send a message without waiting."""

    @abstractmethod
    async def run(self, handler: Handler) -> None:
        """Pass every received message to the handler until cancelled."""

    async def finish(self) -> None:
        """Wait for operations in progress, then close."""
        self.close()

    @abstractmethod
    def close(self) -> None:
        """Close all links; messages still queued are lost."""


class PynngMailbox(Mailbox):
    """A mailbox on pynng: a pull socket, and a push socket for each peer.

    A connection that sends a message of more than ``max_message_bytes`` is
    closed. pynng keeps the part of a message that has arrived.

    A push socket sends each message once. A request socket would not do: it
    sends again when its peer is replaced.
    """

    def __init__(
        self,
        name: str,
        listen: str,
        metrics: Metrics,
        tls: TlsModel | None = None,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        self.name = name
        self.address = listen
        self.metrics = metrics
        self._tls = tls
        self._links: dict[str, Link] = {}
        self._inbox = pynng.Pull0(recv_max_size=max_message_bytes)
        if tls is not None:
            self._inbox.tls_config = make_tls(tls, server=True)
        self._inbox.listen(self._url(listen))

    def _url(self, address: str) -> str:
        scheme = "tls+tcp" if self._tls is not None else "tcp"
        return f"{scheme}://{address}"

    def send(self, address: str, body: AnyMessage) -> None:
        """Queue a message; the oldest one is dropped if the queue is full."""
        link = self._links.get(address)
        if link is None:
            link = self._open_link(address)
        frame = encode_message(Envelope(self.name, self.address, body))
        self.metrics.count("messages_sent")
        self.metrics.add("message_bytes_sent", len(frame))
        link.put(frame)

    def _open_link(self, address: str) -> "Link":
        """Return a new link; the oldest ones are closed at the limit."""
        while len(self._links) >= MAX_LINKS:
            oldest = next(iter(self._links))
            self._links.pop(oldest).close()
        tls = None if self._tls is None else make_tls(self._tls, server=False)
        link = Link(self._url(address), tls, self.metrics)
        self._links[address] = link
        return link

    async def run(self, handler: Handler) -> None:
        """Receive until cancelled; count and drop malformed frames."""
        while True:
            frame = await self._inbox.arecv()
            raise_if_cancelled()
            self.metrics.count("messages_received")
            self.metrics.add("message_bytes_received", len(frame))
            decoded = decode_message(frame)
            if isinstance(decoded, Failure):
                self.metrics.count("messages_malformed")
                continue
            handler(decoded.unwrap())

    async def finish(self) -> None:
        """Wait for operations in progress, then close.

        pynng completes operations on threads of its own, so none may be left
        when a socket is closed, nor when the interpreter exits.
        """
        links = list(self._links.values())
        await asyncio.gather(*(link.finish() for link in links))
        self.close()

    def close(self) -> None:
        """Close the inbox and all links."""
        self._inbox.close()
        for link in self._links.values():
            link.close()
        self._links.clear()


def raise_if_cancelled() -> None:
    """Raise ``CancelledError`` if the current task was cancelled.

    If a pynng operation completes while it is being cancelled, pynng returns
    normally and the cancellation is lost. The task would then continue, and a
    stop of the process would wait for it forever.
    """
    if asyncio.current_task().cancelling():
        raise asyncio.CancelledError


class Link:
    """The sending side of the connection to one peer."""

    def __init__(
        self, url: str, tls: pynng.TLSConfig | None, metrics: Metrics
    ) -> None:
        self._metrics = metrics
        self._waiting: asyncio.Queue[bytes] = asyncio.Queue(
            MAX_QUEUED_MESSAGES
        )
        self._socket = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        if tls is not None:
            self._socket.tls_config = tls
        self._socket.dial(url, block=False)
        self._task = asyncio.get_running_loop().create_task(
            self._send_queued()
        )

    def put(self, frame: bytes) -> None:
        """Queue a frame; the oldest one is dropped if the queue is full."""
        if self._waiting.full():
            self._waiting.get_nowait()
            self._metrics.count("messages_dropped")
        self._waiting.put_nowait(frame)

    async def _send_queued(self) -> None:
        while True:
            frame = await self._waiting.get()
            try:
                await self._socket.asend(frame)
            except pynng.exceptions.Timeout:
                self._metrics.count("messages_dropped")
            except pynng.exceptions.NNGException:
                self._metrics.count("messages_dropped")
                await asyncio.sleep(RECONNECT_MIN_MS / 1000)
            raise_if_cancelled()

    async def finish(self) -> None:
        """Stop sending, and return once no operation is in progress."""
        self._task.cancel()
        await asyncio.wait([self._task])

    def close(self) -> None:
        """Close the link; frames still queued are lost."""
        self._task.cancel()
        self._socket.close()


def make_tls(tls: TlsModel, server: bool) -> pynng.TLSConfig:
    """Return the TLS configuration of one side of a link."""
    mode = (
        pynng.TLSConfig.MODE_SERVER
        if server
        else (pynng.TLSConfig.MODE_CLIENT)
    )
    return pynng.TLSConfig(
        mode,
        server_name=None if server else tls.server_name,
        ca_string=Path(tls.ca_file).read_text(encoding="ascii"),
        own_key_string=Path(tls.key_file).read_text(encoding="ascii"),
        own_cert_string=Path(tls.cert_file).read_text(encoding="ascii"),
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )
