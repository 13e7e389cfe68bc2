"""How a backend server announces itself to the agent beside it."""

import msgspec

__all__ = ["Announcement"]


class Announcement(msgspec.Struct, frozen=True):
    """What a backend server tells its agent, again and again."""

    name: str
    url: str
    service: str
    slots: int
    connections: int
