"""A chain of filters before the handlers of an application."""

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
    """One step of the chain: answers, or lets the request proceed."""

    @abstractmethod
    async def handle(self, request: Request, proceed: Proceed) -> Response:
        """Answer the request or pass it on."""


def install_filters(app: Application, filters: list[Filter]) -> None:
    """Put the filters before every handler, the first one outermost."""
    for item in filters:
        app.middlewares.append(_make_middleware(item))


def _make_middleware(item: Filter) -> Callable[..., Awaitable[Response]]:
    """Return a filter as a function, which is what the library inspects."""

    async def middleware(request: Request, handler: Proceed) -> Response:
        return await item.handle(request, handler)

    return middleware
