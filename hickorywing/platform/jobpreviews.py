"""Answer operators where a job would go now, without submitting it.

The answer comes from the entry that holds the role of the job's pool, on the
address for other entries, which callers don't reach.
"""

from collections.abc import Callable

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.clock import now_s
from hickorywing.decoding import decode_json
from hickorywing.platform.callers import decode_job
from hickorywing.policy.poolmodel import Customer
from hickorywing.poolconfig import ConfigurationView
from hickorywing.poolcontroller import PoolController
from hickorywing.web import add_route
from hickorywing.web import answer_json
from hickorywing.web import answer_problem
from hickorywing.web import Problem

__all__ = ["JobPreviewApi"]

# A preview costs as much as a plan.
MIN_INTERVAL_S = 0.5
PREVIEW_ID = "preview"

FindController = Callable[[str], PoolController | None]


class PreviewOrder(msgspec.Struct):
    """A job as callers submit it, with the host and path of its queue."""

    job: msgspec.Raw
    host: str = ""
    path: str = "/"
    customer: str = ""


class JobPreviewApi:
    """Answers previews of jobs in the pools that an entry controls."""

    def __init__(self, view: ConfigurationView, find: FindController) -> None:
        self._view = view
        self._find = find
        self._answered_s = float("-inf")

    def install(self, app: Application) -> None:
        """Add the route to ``app``."""
        add_route(app, "POST", "/preview-job", self.handle_preview)

    async def handle_preview(self, request: Request) -> Response:
        """Answer where a job would go now; 409 if another entry decides."""
        order = decode_json(await request.read() or b"{}", PreviewOrder)
        if self._view.configuration is None:
            return answer_problem(Problem("no configuration yet", 503))
        queue = self._view.find_queue(order.host.lower(), order.path)
        if queue is None:
            return answer_problem(Problem("no such queue", 404))
        job = decode_job(
            PREVIEW_ID, queue, Customer(order.customer), bytes(order.job)
        )
        controller = self._find(queue.terms.pool)
        if controller is None or controller.term is None:
            holder = "" if controller is None else controller.lease.holder
            return answer_problem(
                Problem(
                    "another entry controls the pool",
                    409,
                    f"pool {queue.terms.pool}: {holder or 'not known'}",
                )
            )
        now = now_s()
        if now - self._answered_s < MIN_INTERVAL_S:
            return answer_problem(
                Problem("too many previews", 429, retry_after_s=MIN_INTERVAL_S)
            )
        self._answered_s = now
        held, units = controller.term.preview(job)
        return answer_json(
            200,
            {
                "pool": queue.terms.pool,
                "queue": queue.terms.queue,
                "planning_held": held,
                "units": units,
            },
        )
