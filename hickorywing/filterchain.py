"""Run a chain of filters before the handlers of an HTTP application."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Awaitable
from collections.abc import Callable

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response

__all__ = ["Filter", "Proceed", "install_filters"]

Proceed = Callable[[Request], Awaitable[Response]]


class Filter(ABC):
    """One step of the chain: answers a request or passes it on."""

    @abstractmethod
    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Answer the request, or return the answer of ``proceed``."""


def install_filters(app: Application, filters: list[Filter]) -> None:
    """Install the filters before all handlers, the first one outermost."""
    for request_filter in filters:
        app.middlewares.append(_make_middleware(request_filter))


def _make_middleware(
    request_filter: Filter,
) -> Callable[..., Awaitable[Response]]:
    """Return a filter as a function, as blacksheep inspects signatures."""

    async def middleware(request: Request, handler: Proceed) -> Response:
        return await request_filter.handle(request, handler)

    return middleware
