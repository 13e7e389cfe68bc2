"""Track the presence of agents by their heartbeats.

An agent has a new incarnation after each restart; heartbeats of older
incarnations are then ignored. An agent that announces that it is leaving gets
no new work from then on. One without heartbeats is first suspect, then lost.
"""

from dataclasses import dataclass
import enum

__all__ = ["Member", "Membership", "Presence"]

SUSPECT_AFTER_S = 2.5
LOST_AFTER_S = 32.0


class Presence(enum.StrEnum):
    """The presence of an agent as far as its heartbeats tell."""

    ACTIVE = "active"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LOST = "lost"


@dataclass(slots=True)
class Member:
    """The last known state of one agent."""

    name: str
    zone: str
    incarnation: int
    heard_at: float
    presence: Presence = Presence.ACTIVE


class Membership:
    """The agents from which one process gets heartbeats."""

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
        """Record a heartbeat; return the agent's presence if it changed.

        A new incarnation always counts as a change.
        """
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
        """Mark silent members as suspect or lost; return those changed."""
        changed = []
        for member in self.members.values():
            silence_s = now - member.heard_at
            if member.presence is Presence.LOST:
                continue
            if silence_s > self.lost_after_s:
                member.presence = Presence.LOST
                changed.append(member)
            elif (
                silence_s > self.suspect_after_s
                and member.presence is Presence.ACTIVE
            ):
                member.presence = Presence.SUSPECT
                changed.append(member)
        return changed

    def takes_work(self, name: str) -> bool:
        """Return whether new work may be sent to the agent."""
        known = self.members.get(name)
        return known is not None and known.presence is Presence.ACTIVE

    def forget(self, name: str) -> None:
        """Remove a member that will not return."""
        self.members.pop(name, None)
