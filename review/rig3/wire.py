"""A small HTTP/1.1 server and client on the standard library."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

MAX_BODY = 8 << 20
PHRASES = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Mismatch"}

Handler = Callable[["Call"], Awaitable["tuple[int, dict] | None"]]


class Call:
    """A request that a stand-in has received whole."""

    def __init__(
        self, method: str, target: str, headers: dict, body: bytes
    ) -> None:
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def decode(self) -> dict:
        """Return the body as JSON, an empty object if there is none."""
        return json.loads(self.body or b"{}")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict]:
    """Return the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict) -> bytes:
    """Return the body that the headers declare."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    size = min(int(headers.get("content-length", "0")), MAX_BODY)
    return await reader.readexactly(size)


class Server:
    """An HTTP server; a handler that returns None leaves no answer."""

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Listen at an address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20, backlog=512
        )

    async def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ", 2)
                answer = await self._handle(
                    Call(method, target, headers, body)
                )
                if answer is None:
                    # The connection delivers nothing further.
                    await asyncio.sleep(3600)
                    return
                status, data = answer
                text = json.dumps(data).encode()
                phrase = PHRASES.get(status, "Status")
                writer.write(
                    f"HTTP/1.1 {status} {phrase}\r\n"
                    "content-type: application/json\r\n"
                    f"content-length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            # The stand-in ends.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, bytes] | None:
    """Send one request on a new connection; None without an answer."""
    host, _, port = address.rpartition(":")

    async def exchange() -> tuple[int, bytes]:
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": "none.example", **(headers or {})}
            fields["Content-Length"] = str(len(body or b""))
            if body is not None:
                fields["Content-Type"] = "application/json"
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(
                "\r\n".join([*lines, "", ""]).encode() + (body or b"")
            )
            await writer.drain()
            first, answer = await read_head(reader)
            return int(first.split(" ")[1]), await read_body(reader, answer)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return None
