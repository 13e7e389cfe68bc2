"""Decide which incarnation of a worker lives.

An announcement may arrive late, from an incarnation that has ended, or come
from another sender. The worker's own answers decide: an incarnation lives once
it has answered, and has ended only once the worker answers as another one or
its process is gone.
"""

from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from hickorywing.announcements import is_newer
from hickorywing.announcements import UnconfirmedAnnouncements
from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.poolworker import PollResult
from hickorywing.poolworker import WorkerAnnouncement
from hickorywing.workerclock import is_ahead
from hickorywing.workerclock import WorkerClock

__all__ = ["Incarnation", "Incarnations"]

# A worker that announces its departure ends at once. If it still answers after
# this time, somebody else has announced it.
MAX_DEPARTURE_S = 2.0
# A controller may miss some crashes while the role passes to it.
MAX_CRASHED = 4


@dataclass(slots=True)
class Incarnation:
    """One life of a worker, as its agent knows it.

    ``key`` is its name in the pool. ``poll`` is the last answer, ``None``
    before the first one, and ``clock`` the worker's clock, ``None`` if it is
    unknown. The times of leases are on that clock: ``lease_ms`` is the end of
    the lease that the controller grants, ``granted_ms`` of the longest one
    that was passed on. The worker may forget the ends of runs up to the number
    ``acknowledged``. ``refusals`` counts the connections refused in a row.
    ``asked_s`` is when the call that was answered last was sent, and
    ``answered_s`` when the answer came.
    """

    announcement: WorkerAnnouncement
    key: str
    poll: PollResult | None = None
    clock: WorkerClock | None = None
    lease_ms: int = 0
    granted_ms: int = 0
    acknowledged: int = 0
    refusals: int = 0
    asked_s: float = float("-inf")
    answered_s: float = float("-inf")

    @property
    def is_confirmed(self) -> bool:
        """Return whether it has answered."""
        return self.poll is not None

    def record_poll(self, poll: PollResult, asked_s: float) -> None:
        """Record an answer of the worker to a call sent at ``asked_s``."""
        self.poll = poll
        self.asked_s = asked_s
        self.clock = WorkerClock(poll.clock_ms)
        self.answered_s = now_s()


class Incarnations:
    """The incarnation that an agent follows, and others that were announced.

    ``followed`` is ``None`` while no worker is known, and ``last_ended`` the
    key of the last one that has ended. ``on_change`` is called when one ends,
    begins or ceases to drain, or announces another capacity or other labels.
    ``crashed`` has the keys of the last ones that ended without notice.
    """

    def __init__(
        self, agent_name: str, log: DecisionLog, on_change: Callable[[], None]
    ) -> None:
        self.followed: Incarnation | None = None
        self.last_ended = ""
        self.crashed: deque[str] = deque(maxlen=MAX_CRASHED)
        self._agent_name = agent_name
        self._log = log
        self._on_change = on_change
        self._unconfirmed = UnconfirmedAnnouncements()
        self._leaves_by_s: float | None = None

    @property
    def key(self) -> str:
        """Return the key of the incarnation that is followed, or ''."""
        return "" if self.followed is None else self.followed.key

    @property
    def is_confirmed(self) -> bool:
        """Return whether an incarnation is followed that has answered."""
        return self.followed is not None and self.followed.is_confirmed

    @property
    def needs_check(self) -> bool:
        """Return whether an announcement waits for an answer."""
        return bool(self._unconfirmed) or self._leaves_by_s is not None

    @property
    def is_leaving(self) -> bool:
        """Return whether a departure was announced and isn't refuted yet."""
        return self._leaves_by_s is not None

    def may_have_restarted(self) -> bool:
        """Return whether another life under the same name was announced.

        Calls to the worker name it without its start, so either would take
        them.
        """
        present = self.followed.announcement
        return any(
            announcement.name == present.name
            and announcement.worker != present.worker
            for announcement in self._unconfirmed
        )

    def list_unconfirmed(self) -> list[WorkerAnnouncement]:
        """Return the announcements that the next answer will decide on."""
        return list(self._unconfirmed)

    def announce(self, announcement: WorkerAnnouncement) -> bool:
        """Handle an announcement; return whether it is applied at once.

        One of another incarnation, of one that hasn't answered yet, or with a
        clock that is ahead of the worker's is kept until the next answer.
        """
        followed = self.followed
        if followed is None:
            self._log_announced(announcement)
            self._follow(announcement)
            return True
        if announcement.worker == followed.announcement.worker:
            if not is_newer(announcement, followed.announcement):
                return False
            if followed.is_confirmed and not is_ahead(
                announcement, followed.clock.estimate_ms()
            ):
                self._update(followed, announcement)
                return True
        if self._unconfirmed.add(announcement):
            self._log_announced(announcement)
        return False

    def announce_departure(self, name: str) -> bool:
        """Handle an announcement that a worker leaves.

        Returns whether it concerns the worker that is followed.
        """
        followed = self.followed
        if followed is None or followed.announcement.name != name:
            return False
        self._log.write(LogEvent.DEPARTURE_ANNOUNCED, worker=followed.key)
        self._leaves_by_s = now_s() + MAX_DEPARTURE_S
        return True

    def follow_next(self) -> None:
        """Follow the next incarnation that was announced, if there is one.

        The present one, which has never answered, is tried again later.
        """
        announcement = self._unconfirmed.take_next()
        if announcement is None:
            return
        if self.followed is not None:
            self._unconfirmed.add(self.followed.announcement)
        self._leaves_by_s = None
        self._follow(announcement)

    def confirm(self, poll: PollResult) -> bool:
        """Return whether an answer is by a known incarnation.

        If the worker has restarted under its name, the new incarnation is
        followed from now on, or once it is announced.
        """
        followed = self.followed
        if poll.born_ms != followed.announcement.born_ms:
            self.end("another life answers under its name")
            successor = self._unconfirmed.take(
                followed.announcement.name, poll.born_ms
            )
            if successor is None:
                return False
            followed = self._follow(successor)
        if not followed.is_confirmed:
            if is_ahead(followed.announcement, poll.clock_ms):
                self.end("its clock is ahead of the worker's")
                return False
            self._log_confirmed(followed)
        return True

    def check(
        self, checked: Iterable[WorkerAnnouncement], poll: PollResult
    ) -> None:
        """Apply or drop announcements after the worker has answered.

        ``checked`` are those that had come before the poll.
        """
        followed = self.followed
        for announcement in checked:
            if not self._unconfirmed.remove(announcement):
                continue
            if announcement.worker != followed.announcement.worker:
                self._log_refuted(announcement, "the present worker answers")
            elif is_ahead(announcement, poll.clock_ms):
                self._log_refuted(announcement, "its clock is ahead")
            elif is_newer(announcement, followed.announcement):
                self._update(followed, announcement)
        if self._leaves_by_s is not None and now_s() >= self._leaves_by_s:
            self._leaves_by_s = None
            self._log_refuted(followed.announcement, "it has not left")

    def end_name(
        self, name: str, checked: Iterable[WorkerAnnouncement], reason: str
    ) -> None:
        """Drop the incarnations with a name under which no worker answers.

        ``checked`` are the announcements that had come before the poll.
        """
        self.end(reason)
        for announcement in checked:
            if announcement.name == name and self._unconfirmed.remove(
                announcement
            ):
                self._log_refuted(announcement, reason)

    def end(self, reason: str) -> None:
        """Stop following an incarnation, which has ended.

        One that has never answered may not have lived at all.
        """
        followed = self.followed
        if followed.is_confirmed:
            self._log.write(
                LogEvent.WORKER_LEFT, worker=followed.key, reason=reason
            )
            self.last_ended = followed.key
            if not (self.is_leaving or followed.announcement.draining):
                self.crashed.append(followed.key)
        else:
            self._log_refuted(followed.announcement, reason)
        self.followed = None
        self._leaves_by_s = None
        self._on_change()

    def _format_key(self, announcement: WorkerAnnouncement) -> str:
        return f"{self._agent_name}/{announcement.worker}"

    def _follow(self, announcement: WorkerAnnouncement) -> Incarnation:
        """Start to follow an incarnation, which hasn't answered yet."""
        self.followed = Incarnation(
            announcement, self._format_key(announcement)
        )
        if announcement.clock_ms:
            self.followed.clock = WorkerClock(announcement.clock_ms)
        return self.followed

    def _update(
        self, followed: Incarnation, announcement: WorkerAnnouncement
    ) -> None:
        """Apply a newer announcement of the incarnation that is followed."""
        last = followed.announcement
        followed.announcement = announcement
        if announcement.draining != last.draining:
            self._log.write(
                LogEvent.WORKER_DRAINING
                if announcement.draining
                else LogEvent.WORKER_BACK,
                worker=followed.key,
                remaining_ms=announcement.remaining_ms,
            )
        if summarize_terms(announcement) != summarize_terms(last):
            self._on_change()
        if followed.clock is not None:
            followed.clock.set_back(announcement.clock_ms)

    def _log_announced(self, announcement: WorkerAnnouncement) -> None:
        self._log.write(
            LogEvent.WORKER_ANNOUNCED,
            worker=self._format_key(announcement),
            replaces=self.key,
            pool=announcement.pool,
        )

    def _log_confirmed(self, followed: Incarnation) -> None:
        """Log the first answer of an incarnation."""
        if self.last_ended == followed.key:
            # It was given up as its process didn't listen for a moment.
            self.last_ended = ""
            if followed.key in self.crashed:
                self.crashed.remove(followed.key)
        self._log.write(
            LogEvent.WORKER_CONFIRMED,
            worker=followed.key,
            replaces=self.last_ended,
        )

    def _log_refuted(
        self, announcement: WorkerAnnouncement, reason: str
    ) -> None:
        self._log.write(
            LogEvent.ANNOUNCEMENT_REFUTED,
            worker=self._format_key(announcement),
            present=self.key,
            reason=reason,
        )


def summarize_terms(announcement: WorkerAnnouncement) -> tuple:
    """Return what a controller has to know at once of an announcement."""
    return (
        announcement.capacity,
        announcement.labels,
        announcement.draining,
    )
