"""Receive heartbeats of the platform's runner, the worker beside an agent.

A PUT on ``/instances/NAME`` becomes a ``WorkerAnnouncement`` of the worker
NAME, a DELETE tells that the worker has left.
"""

from collections.abc import Callable

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response

from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.platform.runner import decode_announcement
from hickorywing.poolworker import WorkerAnnouncement
from hickorywing.poolworker import WorkerPlace
from hickorywing.web import add_route
from hickorywing.web import answer_json

__all__ = ["HeartbeatApi"]

MAX_LOGGED_CHARS = 64


class HeartbeatApi:
    """Handles the calls that a runner makes to its agent."""

    def __init__(
        self,
        announce: Callable[[WorkerAnnouncement], bool],
        leave: Callable[[str], None],
        place: WorkerPlace,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._announce = announce
        self._leave = leave
        self._place = place
        self._log = log
        self._metrics = metrics

    def install(self, app: Application) -> None:
        """Add the routes to an application."""
        add_route(app, "PUT", "/instances/:name", self.handle_heartbeat)
        add_route(app, "DELETE", "/instances/:name", self.handle_leave)

    async def handle_heartbeat(self, request: Request, name: str) -> Response:
        """Pass on a worker's announcement.

        One that is unreadable, or names another pool, zone or address than
        the agent's own worker has, is answered with 400.
        """
        body = await request.read() or b""
        announcement = decode_announcement(name, body)
        if announcement is None:
            self._metrics.count("announcements_unreadable")
            return answer_json(400, {})
        mismatch = self._place.find_mismatch(announcement)
        if mismatch:
            self._metrics.count("announcements_refused", field=mismatch)
            self._log.write(
                LogEvent.ANNOUNCEMENT_REFUSED,
                worker=announcement.worker,
                field=mismatch,
                value=getattr(announcement, mismatch)[:MAX_LOGGED_CHARS],
            )
            return answer_json(400, {})
        self._announce(announcement)
        return answer_json(200, {})

    async def handle_leave(self, request: Request, name: str) -> Response:
        """Pass on that a worker has left."""
        self._leave(name)
        return answer_json(200, {})
