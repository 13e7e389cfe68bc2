"""Take the status reports of the runner on this machine."""

from collections.abc import Callable

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response

from hickorywing.metrics import Metrics
from hickorywing.platform.runner import decode_announcement
from hickorywing.web import add_route
from hickorywing.web import answer_json
from hickorywing.worker import Announcement

__all__ = ["HeartbeatApi"]


class HeartbeatApi:
    """The calls that a runner makes."""

    def __init__(
        self,
        announce: Callable[[Announcement], bool],
        leave: Callable[[str], None],
        metrics: Metrics,
    ) -> None:
        self._announce = announce
        self._leave = leave
        self._metrics = metrics

    def install(self, app: Application) -> None:
        """Add the routes."""
        add_route(app, "PUT", "/instances/:name", self.handle_beat)
        add_route(app, "DELETE", "/instances/:name", self.handle_leave)

    async def handle_beat(self, request: Request, name: str) -> Response:
        """Take in a status report; an unreadable one names no worker."""
        body = await request.read() or b""
        announcement = decode_announcement(name, body)
        if announcement is None:
            self._metrics.count("announcements_unreadable")
            return answer_json(400, {})
        self._announce(announcement)
        return answer_json(200, {})

    async def handle_leave(self, request: Request, name: str) -> Response:
        """Take in that a runner has left."""
        self._leave(name)
        return answer_json(200, {})
