"""Keep a request to reload that comes before a daemon can serve it.

Python ends a process at a SIGHUP that has no handler. Loading the libraries
takes a third of a second, and the platform may send one at any time.
"""

import signal

__all__ = ["keep_reload_requests", "take_reload_request"]

_requests: list[int] = []


def keep_reload_requests() -> None:
    """Keep each SIGHUP from now on, until another handler is installed."""
    signal.signal(signal.SIGHUP, lambda number, frame: _keep(number))


def take_reload_request() -> bool:
    """Return whether a SIGHUP was kept, and forget it."""
    requested = bool(_requests)
    _requests.clear()
    return requested


def _keep(number: int) -> None:
    if not _requests:
        _requests.append(number)
