"""Keep track of which agents are present, by their heartbeats.

An agent that restarts has a new incarnation; what an older incarnation says
is ignored from then on. An agent that says it is leaving gets no new work at
once; one that falls silent is suspected first and lost later.
"""

from dataclasses import dataclass
import enum

__all__ = ["Member", "Membership", "Presence"]

SUSPECT_AFTER_S = 2.5
LOST_AFTER_S = 32.0


class Presence(enum.StrEnum):
    """What is known of an agent's presence."""

    ACTIVE = "active"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LOST = "lost"


@dataclass(slots=True)
class Member:
    """One agent as last heard of."""

    name: str
    zone: str
    incarnation: int
    heard_at: float
    presence: Presence = Presence.ACTIVE


class Membership:
    """The agents that one process hears of."""

    def __init__(
        self,
        suspect_after_s: float = SUSPECT_AFTER_S,
        lost_after_s: float = LOST_AFTER_S,
    ) -> None:
        self.members: dict[str, Member] = {}
        self.suspect_after_s = suspect_after_s
        self.lost_after_s = lost_after_s

    def heard(
        self,
        name: str,
        zone: str,
        incarnation: int,
        leaving: bool,
        now: float,
    ) -> Presence | None:
        """Take in a heartbeat; return a changed presence, else ``None``."""
        known = self.members.get(name)
        if known is not None and incarnation < known.incarnation:
            return None
        presence = Presence.LEAVING if leaving else Presence.ACTIVE
        if known is None or known.incarnation != incarnation:
            self.members[name] = Member(name, zone, incarnation, now, presence)
            return presence
        known.heard_at = now
        if known.presence is Presence.LEAVING or known.presence is presence:
            return None
        known.presence = presence
        return presence

    def expire(self, now: float) -> list[Member]:
        """Return the members whose presence got worse through silence."""
        changed = []
        for member in self.members.values():
            silent = now - member.heard_at
            if member.presence is Presence.LOST:
                continue
            if silent > self.lost_after_s:
                member.presence = Presence.LOST
                changed.append(member)
            elif (
                silent > self.suspect_after_s
                and member.presence is Presence.ACTIVE
            ):
                member.presence = Presence.SUSPECT
                changed.append(member)
        return changed

    def takes_work(self, name: str) -> bool:
        """Tell whether new work may be sent to the agent."""
        known = self.members.get(name)
        return known is not None and known.presence is Presence.ACTIVE

    def forget(self, name: str) -> None:
        """Drop a member that is gone for good."""
        self.members.pop(name, None)
