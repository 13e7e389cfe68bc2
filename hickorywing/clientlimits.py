"""The limits of what a client may send to a listener and leave unread."""

from dataclasses import dataclass
import resource

__all__ = ["ClientLimits", "RequestLimits", "count_descriptors_for"]

# Descriptors for files, pipes and the process's own listeners.
RESERVED_DESCRIPTORS = 128
MIN_CONNECTIONS = 8


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on a caller's request, in bytes."""

    header_bytes: int = 16384
    body_bytes: int = 262144


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of one listener.

    ``head_bytes`` bounds what comes before a body, with empty lines before the
    request, and what comes between and after the chunks of a body.
    ``body_bytes`` bounds the body of one request. ``pending_bytes`` bounds
    what all connections of a process together hold for requests that aren't
    answered and answers that aren't read. ``requests_ahead`` is the number of
    requests of one connection that are read while an earlier one is
    unanswered, and ``connections`` the number of connections. A connection is
    closed ``idle_s`` after its last request, if a request takes longer than
    ``request_s`` to arrive, or if an answer stays unread for ``answer_s``.
    """

    head_bytes: int = 65536
    body_bytes: int = 4 << 20
    pending_bytes: int = 16 << 20
    requests_ahead: int = 4
    connections: int = 2048
    idle_s: float = 75.0
    request_s: float = 60.0
    answer_s: float = 60.0


def count_descriptors_for(share: float) -> int:
    """Return the connections for which a share of the descriptors suffices."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return 1 << 30
    return max(MIN_CONNECTIONS, int((limit - RESERVED_DESCRIPTORS) * share))
