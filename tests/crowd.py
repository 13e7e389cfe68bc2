"""Clients outside the limits, and what they make of a process.

A crowd is a few connections that send more than any process may keep, or more
connections that each stay within the limits and stay open. A faulty process
can't take the memory of the machine: the crowd stops early once the process
has grown over its bound, and its address space is limited.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import os
from pathlib import Path
import resource
import socket

from hickorywing.addresses import split_address

# HICKORYWING_CROWD makes crowds so many times as large.
SCALE = int(os.environ.get("HICKORYWING_CROWD", "1"))
CONNECTIONS = 8 * SCALE
# What each connection sends, far more than the buffers of a socket take.
VOLUME_BYTES = 16 << 20
MAX_GROWTH_BYTES = 60 << 20
MAX_ADDRESS_BYTES = 2 << 30
# Beside those of the crowd, for connections that the process itself opens.
MAX_NEW_DESCRIPTORS = 64
# A connection that takes nothing for this long is no longer read.
STALL_S = 3.0
# In which a process reads a request that has been sent.
LEAVE_AFTER_S = 0.05
CHECK_BYTES = 1 << 20
# The smallest VM of an entry and that of an agent, less what the state of a
# pool may take (docs/CAPACITY.md).
ENTRY_VM_BYTES = 160 << 20
AGENT_VM_BYTES = 168 << 20
POOL_STATE_BYTES = 24 << 20
IDLE_CONNECTIONS = 300 * SCALE
IDLE_DESCRIPTORS = 256
MAX_IDLE_DESCRIPTORS = 200

POST = b"POST /jobs/00000000000000ff HTTP/1.1\r\nHost: queue.example\r\n"
HEADERS = b"X-A: b\r\n" * 8192


@dataclass(frozen=True, slots=True)
class Abuse:
    """What a connection sends: a start, then a block again and again."""

    start: bytes
    block: bytes


ABUSES = {
    "endless header": Abuse(b"GET / HTTP/1.1\r\nX-A: ", b"a" * 65536),
    "endless path": Abuse(b"GET /", b"a" * 65536),
    "endless headers": Abuse(b"GET / HTTP/1.1\r\n", HEADERS),
    "endless trailers": Abuse(
        POST + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", HEADERS
    ),
    "endless chunks": Abuse(
        POST + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b" " * 65536 + b"\r\n",
    ),
    "endless body": Abuse(
        POST + b"Content-Length: 1000000000\r\n\r\n", b" " * 65536
    ),
    "requests ahead": Abuse(b"", b"GET /jobs/ HTTP/1.1\r\n\r\n" * 3000),
    "jobs ahead": Abuse(b"", (POST + b"Content-Length: 2\r\n\r\n{}") * 800),
    "empty lines": Abuse(b"", b"\r\n" * 32768),
}


@dataclass(frozen=True, slots=True)
class Visit:
    """What each connection of a crowd sends before it stays open.

    ``connections`` is the number of them. With ``answered``, each waits for
    the answer, which it reads, before the next one is opened. With ``leaves``
    it is closed after a moment instead of staying open.
    """

    data: bytes
    connections: int
    answered: bool = True
    leaves: bool = False


NOWHERE = b"POST /nowhere/00000000000000ff HTTP/1.1\r\nHost: queue.example\r\n"
# The largest body and head that a listener reads by default, almost.
LARGE_BODY = b"Content-Length: 3900000\r\n\r\n" + b" " * 3_900_000
TINY_HEADERS = b"A:b\r\n" * 12_000

VISITS = {
    "bodies that are answered": Visit(NOWHERE + LARGE_BODY, 40),
    "heads that are answered": Visit(
        b"GET /nowhere HTTP/1.1\r\n" + TINY_HEADERS + b"\r\n", 130
    ),
    "heads that are too large": Visit(
        b"GET /nowhere HTTP/1.1\r\n" + TINY_HEADERS * 2, 130
    ),
    "heads that have no end": Visit(
        b"GET /nowhere HTTP/1.1\r\n" + TINY_HEADERS, 130, answered=False
    ),
}

# The greeting of a peer of the zone programs, and a message without an end.
MESSAGE = Visit(
    b"\0SP\0\0\x50\0\0" + (1_000_000).to_bytes(8, "big") + b"m" * 990_000,
    130,
    answered=False,
)
# Messages of the largest size that is received, almost.
SHORT_MESSAGE = Visit(
    b"\0SP\0\0\x50\0\0" + (260_000).to_bytes(8, "big") + b"m" * 259_000,
    400,
    answered=False,
)


def read_status_kb(pid: int, name: str) -> int:
    """Return a size in kB from a process's status."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    raise AssertionError(f"process {pid} has no {name}")


def count_descriptors(pid: int) -> int:
    """Return the number of a process's open descriptors."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


@dataclass
class Growth:
    """The growth of a process since a moment, in peak memory."""

    pid: int
    memory_bytes: int = field(init=False)
    descriptors: int = field(init=False)

    def __post_init__(self) -> None:
        limits = (MAX_ADDRESS_BYTES, MAX_ADDRESS_BYTES)
        resource.prlimit(self.pid, resource.RLIMIT_AS, limits)
        Path(f"/proc/{self.pid}/clear_refs").write_text("5")
        self.memory_bytes = read_status_kb(self.pid, "VmRSS") << 10
        self.descriptors = count_descriptors(self.pid)

    def count_bytes(self) -> int:
        """Return by how much the process grew at most."""
        peak = read_status_kb(self.pid, "VmHWM") << 10
        return peak - self.memory_bytes

    def is_within(self) -> bool:
        """Return whether the process has stayed within the bound."""
        return self.count_bytes() <= MAX_GROWTH_BYTES

    def count_peak_bytes(self) -> int:
        """Return the most memory that the process has had."""
        return read_status_kb(self.pid, "VmHWM") << 10

    def fits(self, vm_bytes: int) -> bool:
        """Return whether the process leaves room for a pool on its VM."""
        return self.count_peak_bytes() <= vm_bytes - POOL_STATE_BYTES

    def count_new_descriptors(self) -> int:
        """Return how many more descriptors are open than before."""
        return count_descriptors(self.pid) - self.descriptors


class Crowd:
    """The open connections of a crowd; ``served`` sent all that they had."""

    def __init__(self, address: str) -> None:
        self.served = 0
        self._address = split_address(address)
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> "Crowd":
        return self

    def __exit__(self, *_: object) -> None:
        for sock in self._sockets:
            sock.close()

    async def abuse(self, abuse: Abuse, go_on: Callable[[], bool]) -> None:
        """Send on all connections; end early once ``go_on`` is false."""
        await asyncio.gather(
            *(self._send(abuse, go_on) for _ in range(CONNECTIONS))
        )

    async def _send(self, abuse: Abuse, go_on: Callable[[], bool]) -> None:
        loop = asyncio.get_running_loop()
        sock = await self._connect()
        sent, checked = 0, 0
        try:
            await loop.sock_sendall(sock, abuse.start)
            while sent < VOLUME_BYTES:
                if sent - checked >= CHECK_BYTES:
                    checked = sent
                    if not go_on():
                        return
                send = loop.sock_sendall(sock, abuse.block)
                await asyncio.wait_for(send, STALL_S)
                sent += len(abuse.block)
        except (OSError, TimeoutError):
            return
        self.served += 1

    async def visit(self, visit: Visit, go_on: Callable[[], bool]) -> None:
        """Open connections one after the other; each sends its part.

        Ends early once ``go_on`` is false.
        """
        for _ in range(visit.connections * SCALE):
            if not go_on():
                return
            sock = await self._connect()
            try:
                await asyncio.wait_for(self._send_visit(sock, visit), STALL_S)
            except (OSError, TimeoutError):
                continue
            if visit.leaves:
                await asyncio.sleep(LEAVE_AFTER_S)
                self._sockets.remove(sock)
                sock.close()

    async def _send_visit(self, sock: socket.socket, visit: Visit) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, visit.data)
        if visit.answered:
            await loop.sock_recv(sock, CHECK_BYTES)
        self.served += 1

    async def _connect(self) -> socket.socket:
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        await asyncio.get_running_loop().sock_connect(sock, self._address)
        return sock

    async def hold(self, start: bytes) -> None:
        """Open many connections that send ``start`` and nothing more."""
        loop = asyncio.get_running_loop()
        for _ in range(IDLE_CONNECTIONS):
            try:
                connect = self._connect()
                sock = await asyncio.wait_for(connect, STALL_S)
                await loop.sock_sendall(sock, start)
            except (OSError, TimeoutError):
                continue
