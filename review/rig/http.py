"""Serve and send the few HTTP/1.1 messages that the stand-ins need."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import json
import random
import socket
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

__all__ = [
    "Call",
    "Handler",
    "Listener",
    "abort_all",
    "call",
    "find_port",
    "serve",
]

MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 8 << 20
PORTS = (18_000, 32_000)
MAX_PORT_TRIES = 200


@dataclass(frozen=True, slots=True)
class Call:
    """One request that a stand-in has read in full."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as decoded JSON."""
        return json.loads(self.body or b"{}")


_listeners: list["Listener"] = []
_ports: set[int] = set()

# Returns the status and the body, or nothing if no answer shall come.
Handler = Callable[[Call], Awaitable[tuple[int, Any] | None]]


def find_port() -> int:
    """Return a loopback port that is free now and was not returned before.

    It lies below the usual range of ports of outgoing connections, so that no
    connection takes it while its program is down.
    """
    for _ in range(MAX_PORT_TRIES):
        port = random.randrange(*PORTS)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _ports:
            _ports.add(port)
            return port
    raise OSError("no port is free")


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read the first line, the headers and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = min(int(headers.get("content-length", "0")), MAX_BODY_BYTES)
    body = await reader.readexactly(size) if size else b""
    return first, headers, body


def encode_answer(status: int, data: Any) -> bytes:
    """Return an HTTP answer with a JSON body."""
    body = b"" if data is None else json.dumps(data).encode()
    head = (
        f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("latin-1") + body


class Listener:
    """A listening socket and its connections."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    def abort(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def serve(port: int, handle: Handler) -> Listener:
    """Serve on a loopback port until the listener is aborted."""
    listener = Listener()
    _listeners.append(listener)

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        listener.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = {
                    name: values[0]
                    for name, values in parse_qs(parts.query).items()
                }
                call_read = Call(method, parts.path, query, headers, body)
                outcome = await handle(call_read)
                if outcome is None:
                    # The caller gives up; nothing further comes.
                    await reader.read()
                    return
                writer.write(encode_answer(*outcome))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            return
        finally:
            listener.writers.discard(writer)
            writer.close()

    listener.server = await asyncio.start_server(
        answer, "127.0.0.1", port, limit=MAX_HEAD_BYTES, backlog=512
    )
    return listener


async def abort_all() -> None:
    """Abort all listeners, so that the event loop can be closed."""
    while _listeners:
        _listeners.pop().abort()
    await asyncio.sleep(0.1)


async def call(
    method: str,
    port: int,
    path: str,
    timeout_s: float,
    data: Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any] | None:
    """Send one request; return status and body, ``None`` without answer."""
    body = b"" if data is None else json.dumps(data).encode()
    fields = {
        "Host": f"127.0.0.1:{port}",
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
        **(headers or {}),
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    message = f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode("latin-1")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(message + body)
            await writer.drain()
            first, _, content = await read_message(reader)
            status = int(first.split(" ")[1])
            return status, json.loads(content) if content else None
    except (TimeoutError, OSError, EOFError, ValueError, IndexError):
        return None
    finally:
        if writer is not None:
            writer.close()
