"""Open listening sockets, also before the program's libraries are loaded.

Loading the libraries takes a third of a second when a daemon restarts. A
connection that is made meanwhile waits in the socket's backlog instead of
being refused.
"""

from pathlib import Path
import socket

import json5

from hickorywing.addresses import split_address

__all__ = ["open_early", "open_listener"]

BACKLOG = 512
# What the kernel keeps of a connection, in each direction, is memory of the VM
# too. It takes up to twice as much, and by default it grows to megabytes.
BUFFER_BYTES = 32 << 10
ADDRESS_SETTINGS = ("listen", "ready", "link")

_early_listeners: dict[str, socket.socket] = {}


def open_listener(address: str) -> socket.socket:
    """Return a listening socket, the one opened early if there is one."""
    early = _early_listeners.pop(address, None)
    if early is not None:
        return early
    # asyncio turns off Nagle's algorithm only if the protocol is given.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Connections inherit them.
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listener.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
    listener.bind(split_address(address))
    listener.listen(BACKLOG)
    return listener


def open_early(settings: Path | str) -> None:
    """Open the listeners that a settings file names, if it can be read.

    Errors in the file or an address are not reported here, but later, when
    the settings are checked and the listeners are opened.
    """
    try:
        fields = json5.loads(Path(settings).read_text(encoding="utf-8"))
        addresses = [
            fields[name] for name in ADDRESS_SETTINGS if name in fields
        ]
        for address in addresses:
            _early_listeners[address] = open_listener(address)
    except (OSError, ValueError, TypeError, AttributeError, RecursionError):
        return
