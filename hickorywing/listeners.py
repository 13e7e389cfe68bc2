"""Open listening sockets, also before the program's libraries are loaded.

Loading them takes a restarted daemon a third of a second. A connection that
comes meanwhile waits in the socket's queue instead of being refused.
"""

from pathlib import Path
import socket

import json5

__all__ = ["open_early", "open_listener", "split_address"]

BACKLOG = 512
ADDRESS_NAMES = ("listen", "ready", "link")

_opened: dict[str, socket.socket] = {}


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of ``1.2.3.4:80``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def open_listener(address: str) -> socket.socket:
    """Return a listening socket, which may have been opened early."""
    early = _opened.pop(address, None)
    if early is not None:
        return early
    # The protocol must be named, or asyncio leaves Nagle's algorithm on.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(split_address(address))
    listener.listen(BACKLOG)
    return listener


def open_early(settings: Path) -> None:
    """Open the listeners that a settings file names, if it can be read.

    What is wrong with the file or an address is reported later, when the
    settings are checked and the listeners opened.
    """
    try:
        fields = json5.loads(settings.read_text(encoding="utf-8"))
        addresses = [fields[name] for name in ADDRESS_NAMES if name in fields]
        for address in addresses:
            _opened[address] = open_listener(address)
    except (OSError, ValueError, TypeError, AttributeError):
        return
