"""Call HTTP services, with connections that don't stay silent unnoticed.

aiohttp takes blacksheep's place on the client side: it closes a connection
whose request timed out or was cancelled, and lets the caller set options of
the socket.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import socket

import aiohttp

__all__ = ["CallError", "HttpAnswer", "HttpClient"]

# Unacknowledged data closes a connection after this time. Round trips stay
# below 0.1 s, so a longer silence means that the path or the peer is gone.
USER_TIMEOUT_MS = 1000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 30.0


class CallError(Exception):
    """Reports that a call got no complete answer; it may have been done."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer; the names of headers ignore case."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


def open_socket(address: tuple) -> socket.socket:
    """Return a socket that notices a silent peer within a few seconds."""
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


class HttpClient:
    """A pool of connections; made inside a running loop."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
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
        headers: dict[str, str] | None = None,
        content_type: str = "application/json",
    ) -> HttpAnswer:
        """Return the answer to one request; raise ``CallError``.

        The request is sent once. A timed out connection is closed.
        """
        sent = dict(headers or {})
        if body is not None:
            sent["Content-Type"] = content_type
        limits = aiohttp.ClientTimeout(
            total=timeout_s,
            sock_connect=min(timeout_s, CONNECT_TIMEOUT_S),
        )
        try:
            async with self._session.request(
                method,
                url,
                data=body,
                headers=sent,
                timeout=limits,
                allow_redirects=False,
            ) as response:
                body_read = await response.read()
                return HttpAnswer(response.status, body_read, response.headers)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise CallError(
                f"{method} {url}: {type(error).__name__}"
            ) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
