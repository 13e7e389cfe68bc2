"""Measure what a connection costs in each state, against what is counted.

A listener runs in a process of its own. For each state a fresh one gets some
hundred connections. Prints, by state, by how much the process grew for each
connection and what its listener counts for it, in kB:

    python tools/connectioncosts.py --connections 400
"""

import argparse
import asyncio
from pathlib import Path
import socket
import sys

from blacksheep import Request
from blacksheep import Response

from hickorywing.addresses import split_address
from hickorywing.clientlimits import ClientLimits
from hickorywing.clientmemory import CONNECTION_BYTES
from hickorywing.web import add_any_path
from hickorywing.web import answer_json
from hickorywing.web import make_app
from hickorywing.web import WebServer

# So many that no connection has to give way.
LIMITS = ClientLimits(pending_bytes=1 << 30)
READY_TIMEOUT_S = 10.0
SETTLE_S = 1.0
LARGE_ANSWER = "x" * (1 << 20)

HEAD = b"POST %s HTTP/1.1\r\nHost: queue.example\r\n"
TINY_HEADERS = b"A:b\r\n" * 3000
BODY = b"Content-Length: 250000\r\n\r\n" + b"x" * 250_000
STATES = {
    "open": b"",
    "half a head, small": HEAD % b"/",
    "half a head, 15 kB of tiny headers": HEAD % b"/" + TINY_HEADERS,
    "half a body of 250 kB": HEAD % b"/" + BODY[:-1],
    "running, small": HEAD % b"/wait" + b"Content-Length: 0\r\n\r\n",
    "running, 15 kB of tiny headers": HEAD % b"/wait"
    + TINY_HEADERS
    + b"Content-Length: 0\r\n\r\n",
    "running, body of 250 kB": HEAD % b"/wait" + BODY,
    "running, with four queued": (
        HEAD % b"/wait" + b"Content-Length: 0\r\n\r\n"
    )
    * 5,
    "answer unread": HEAD % b"/large" + b"Content-Length: 0\r\n\r\n",
    "answered, body of 250 kB": HEAD % b"/" + BODY,
    "answered, 15 kB of tiny headers": HEAD % b"/"
    + TINY_HEADERS
    + b"Content-Length: 0\r\n\r\n",
    "refused, head too large": HEAD % b"/" + TINY_HEADERS * 5,
    "refused, body too large": HEAD % b"/"
    + b"Content-Length: 5000000\r\n\r\n"
    + b"x" * 250_000,
}


async def serve(address: str) -> None:
    """Serve until the process is ended."""
    app = make_app()
    gate = asyncio.Event()

    async def answer(request: Request) -> Response:
        path = request.url.path
        if path == b"/held":
            return answer_json(200, server.listener.held_bytes)
        await request.read()
        if path == b"/wait":
            await gate.wait()
        return answer_json(200, LARGE_ANSWER if path == b"/large" else "")

    for method in ("GET", "POST"):
        add_any_path(app, method, answer)
    server = WebServer(app, address, LIMITS)
    await server.start()
    await gate.wait()


async def open_connection(address: str) -> socket.socket:
    """Return a connection to a listener that may still be starting."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + READY_TIMEOUT_S
    while True:
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, split_address(address))
            return sock
        except ConnectionRefusedError:
            sock.close()
            if loop.time() > deadline_s:
                raise
            await asyncio.sleep(0.05)


async def ask_held_bytes(address: str) -> int:
    """Return what the listener counts."""
    loop = asyncio.get_running_loop()
    with await open_connection(address) as sock:
        await loop.sock_sendall(sock, b"GET /held HTTP/1.0\r\n\r\n")
        answer = b""
        while part := await loop.sock_recv(sock, 4096):
            answer += part
    return int(answer.rpartition(b"\r\n")[2])


def read_memory_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) << 10
    raise ValueError(f"process {pid} has no resident memory")


async def measure(
    address: str, data: bytes, count: int, answered: bool
) -> tuple[int, int]:
    """Return the bytes that a connection takes and those counted for it.

    With ``answered``, each connection reads its answer before the next one.
    """
    loop = asyncio.get_running_loop()
    process = await asyncio.create_subprocess_exec(
        sys.executable, __file__, "--serve", address
    )
    sockets = []
    try:
        await ask_held_bytes(address)
        before = read_memory_bytes(process.pid)
        for _ in range(count):
            sock = await open_connection(address)
            sockets.append(sock)
            await loop.sock_sendall(sock, data)
            if answered:
                await loop.sock_recv(sock, 4096)
        await asyncio.sleep(SETTLE_S)
        held = await ask_held_bytes(address)
        grown = read_memory_bytes(process.pid) - before
        return grown // count, held // count + CONNECTION_BYTES
    finally:
        process.kill()
        await process.wait()
        for sock in sockets:
            sock.close()


async def print_costs(address: str, count: int) -> None:
    """Measure each state and print a row for it."""
    print("| state | kB a connection | counted, kB |")
    print("|---|---|---|")
    for state, data in STATES.items():
        answered = state.startswith(("answered", "refused"))
        taken, counted = await measure(address, data, count, answered)
        print(f"| {state} | {taken / 1024:.1f} | {counted / 1024:.1f} |")


def main() -> None:
    """Print the table, or serve for it."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--connections", type=int, default=400)
    parser.add_argument("--address", default="127.0.0.1:14999")
    parser.add_argument("--serve", metavar="ADDRESS")
    arguments = parser.parse_args()
    if arguments.serve:
        asyncio.run(serve(arguments.serve))
    else:
        asyncio.run(print_costs(arguments.address, arguments.connections))


if __name__ == "__main__":
    main()
