"""The message by which a backend server announces itself to its agent."""

from typing import Annotated

import msgspec

__all__ = ["BackendAnnouncement"]

MAX_CHARS = 200

Text = Annotated[str, msgspec.Meta(max_length=MAX_CHARS)]


class BackendAnnouncement(msgspec.Struct, frozen=True):
    """The regular announcement of a backend server to its agent.

    ``slots`` is the number of requests that it runs at once, and
    ``connections`` the number that it accepts.
    """

    name: Text
    url: Text
    service: Text
    slots: int
    connections: int
