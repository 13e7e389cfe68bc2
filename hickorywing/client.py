"""Talk to the entries from an operator's or a caller's program."""

from dataclasses import dataclass
from typing import Any

import msgspec

from hickorywing.errors import UserError
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient

__all__ = ["Answer", "Client", "NotReachable"]

# Bounds a whole request, its answer's body included.
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
        self._http = HttpClient()

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request, once; raise ``NotReachable``."""
        sent = dict(headers or {})
        if self.token:
            sent["Authorization"] = f"Bearer {self.token}"
        try:
            answer = await self._http.call(
                method, f"{self.entry}{path}", TIMEOUT_S, body or None, sent
            )
        except CallError as error:
            raise NotReachable(
                f"no answer from {self.entry}: {error}"
            ) from error
        found = {name.lower(): value for name, value in answer.headers.items()}
        return Answer(answer.status, found, answer.body)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()
