"""Serve the stand-ins on loopback and find free addresses."""

import random
import socket

from aiohttp import web

HOST = "127.0.0.1"
# Connections take their own ports from those above.
PORTS = range(12_000, 32_000)
MAX_TRIES = 1_000

_used_ports: set[int] = set()


def find_free_address() -> str:
    """Return an address on loopback that nothing uses, once each."""
    for _ in range(MAX_TRIES):
        port = random.choice(PORTS)
        if port in _used_ports:
            continue
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        _used_ports.add(port)
        return f"{HOST}:{port}"
    raise OSError("no port is free")


async def serve(app: web.Application, address: str = "") -> str:
    """Serve an application; return its address, a free one by default."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = (address or find_free_address()).rpartition(":")
    site = web.TCPSite(runner, host, int(port), backlog=512)
    await site.start()
    bound = runner.addresses[0]
    return f"{bound[0]}:{bound[1]}"
