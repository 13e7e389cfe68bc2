"""Call HTTP services, over connections that detect a silent peer.

The client side uses aiohttp instead of blacksheep. aiohttp closes a connection
whose request timed out or was cancelled, and lets the caller set socket
options. blacksheep's client reads a body in a task that nothing refers to; if
garbage is collected between the head and the body of an answer, the task ends
and the body never arrives.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import errno
import socket

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from hickorywing.errors import HickorywingError

__all__ = [
    "AnswerTooLarge",
    "CallError",
    "CallTimeout",
    "ConnectError",
    "ConnectRefused",
    "HttpAnswer",
    "HttpClient",
]

# A connection is closed if sent data is not acknowledged for this time. Round
# trips stay below 0.1 s, so by then the network path or the peer has failed.
USER_TIMEOUT_MS = 1000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 30.0
# By default the largest answer that is read; the store sends 1 MB at most.
MAX_ANSWER_BYTES = 8 << 20
# aiohttp raises ValueError and OverflowError for hosts and ports that can't be
# used.
CALL_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    ValueError,
    OverflowError,
)


class CallError(HickorywingError):
    """Raised if a call got no complete answer; it may have taken effect."""


class CallTimeout(CallError):  # noqa: N818
    """Raised if a call timed out; it may have taken effect."""


class AnswerTooLarge(CallError):  # noqa: N818
    """Raised for an answer that can't be kept; the call took effect."""


class ConnectError(CallError):
    """Raised if no connection was made, so that the call was not sent."""


class ConnectRefused(ConnectError):  # noqa: N818
    """Raised if no process listens at the address."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer; header names are case-insensitive."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


def open_socket(address: tuple) -> socket.socket:
    """Return a socket that detects a silent peer within a few seconds."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setblocking(False)
    return sock


def make_error(what: str, error: Exception) -> CallError:
    """Return the ``CallError`` for an error of aiohttp.

    ``what`` names the call in the message.
    """
    message = f"{what}: {type(error).__name__}"
    if (
        isinstance(error, aiohttp.ClientConnectorError)
        and error.os_error.errno == errno.ECONNREFUSED
    ):
        return ConnectRefused(message)
    if isinstance(
        error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
    ):
        return ConnectError(message)
    if isinstance(error, TimeoutError):
        return CallTimeout(message)
    return CallError(message)


async def read_body(
    response: aiohttp.ClientResponse,
    max_bytes: int,
    reserve: Callable[[int], bool] | None,
) -> bytes:
    """Return the body of an answer; raise ``AnswerTooLarge``.

    ``reserve`` is that of ``HttpClient.call``.
    """
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > max_bytes:
            raise AnswerTooLarge(f"answer of over {max_bytes} bytes")
        if reserve is not None and not reserve(len(part)):
            raise AnswerTooLarge("no room for the answer")
        parts.append(part)
    return b"".join(parts)


class HttpClient:
    """A pool of connections, bound to the event loop of the first call.

    Answers of more than ``max_answer_bytes`` are not read.
    """

    def __init__(self, max_answer_bytes: int = MAX_ANSWER_BYTES) -> None:
        self._max_answer_bytes = max_answer_bytes
        self._open_session: aiohttp.ClientSession | None = None

    @property
    def _session(self) -> aiohttp.ClientSession:
        if self._open_session is None:
            self._open_session = self._make_session()
        return self._open_session

    def _make_session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                socket_factory=open_socket,
                keepalive_timeout=IDLE_CONNECTION_S,
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
        )

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | Iterable[tuple[str, str]] = (),
        content_type: str = "application/json",
        reserve: Callable[[int], bool] | None = None,
    ) -> HttpAnswer:
        """Send one request and return its answer; raise ``CallError``.

        ``reserve`` is called with the size of each part of the answer that
        has been read; the answer is given up once it returns false.

        The request is sent once, to the URL as given, without quoting or
        redirects. Its connection is closed after a timeout. Headers that are
        given as pairs may repeat a name.
        """
        request_headers = CIMultiDict(headers)
        if body is not None:
            request_headers["Content-Type"] = content_type
        timeouts = aiohttp.ClientTimeout(
            total=timeout_s,
            sock_connect=min(timeout_s, CONNECT_TIMEOUT_S),
        )
        try:
            target = URL(url, encoded=True)
        except ValueError as error:
            raise ConnectError(f"{method} {url}: {error}") from error
        try:
            async with self._session.request(
                method,
                target,
                data=body,
                headers=request_headers,
                timeout=timeouts,
                allow_redirects=False,
            ) as response:
                body_read = await read_body(
                    response, self._max_answer_bytes, reserve
                )
                return HttpAnswer(response.status, body_read, response.headers)
        except CALL_ERRORS as error:
            raise make_error(f"{method} {url}", error) from error

    async def close(self) -> None:
        """Close all connections."""
        if self._open_session is not None:
            await self._open_session.close()
