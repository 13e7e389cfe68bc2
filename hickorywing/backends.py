"""The message by which a backend server announces itself to its agent."""

import msgspec

__all__ = ["BackendAnnouncement"]


class BackendAnnouncement(msgspec.Struct, frozen=True):
    """The regular announcement of a backend server to its agent.

    ``slots`` is the number of requests that it runs at once, and
    ``connections`` the number that it accepts.
    """

    name: str
    url: str
    service: str
    slots: int
    connections: int
