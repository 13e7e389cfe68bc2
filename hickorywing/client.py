"""Talk to the entries from an operator's or a caller's program."""

from dataclasses import dataclass
from typing import Any

from blacksheep import Content
from blacksheep import Request
from blacksheep.client import ClientSession
import msgspec

from hickorywing.errors import UserError
from hickorywing.web import CLIENT_IDLE_S

__all__ = ["Answer", "Client", "NotReachable"]

TIMEOUT_S = 60.0


class NotReachable(UserError):  # noqa: N818
    """Reports that no entry answered; nothing is known of the request."""


@dataclass(frozen=True, slots=True)
class Answer:
    """An entry's answer: a status, its headers and its whole body."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def ok(self) -> bool:
        """Tell whether the request was done."""
        return self.status < 300

    def data(self) -> Any:
        """Return the JSON body as data."""
        return msgspec.json.decode(self.body) if self.body else None

    @property
    def run(self) -> str:
        """Return what a refusal says of the request."""
        if self.ok:
            return "done"
        try:
            return self.data().get("run", "done")
        except (msgspec.DecodeError, AttributeError):
            return "done"


class Client:
    """A client of one entry, or of the balancer before several."""

    def __init__(self, entry: str, token: str) -> None:
        self.entry = entry.rstrip("/")
        self.token = token
        self._session = ClientSession(
            http2=False,
            max_connection_retries=0,
            idle_timeout=CLIENT_IDLE_S,
            follow_redirects=False,
            connection_timeout=3.0,
            request_timeout=TIMEOUT_S,
        )

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request, once; raise ``NotReachable``."""
        request = Request(method, f"{self.entry}{path}".encode(), None)
        if self.token:
            request.add_header(b"authorization", self._bearer())
        for name, value in (headers or {}).items():
            request.add_header(name.encode(), value.encode())
        if body:
            request = request.with_content(Content(b"application/json", body))
        try:
            response = await self._session.send(request)
            whole = await response.read() or b""
        except Exception as error:
            raise NotReachable(
                f"no answer from {self.entry}: {type(error).__name__} {error}"
            ) from error
        found = {
            name.decode().lower(): value.decode()
            for name, value in response.headers
        }
        return Answer(response.status, found, whole)

    def _bearer(self) -> bytes:
        return f"Bearer {self.token}".encode()

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()
