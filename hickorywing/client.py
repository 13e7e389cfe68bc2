"""Send requests to an entry from an operator's or a caller's program."""

from dataclasses import dataclass
from typing import Any

from hickorywing.decoding import decode_json
from hickorywing.decoding import DecodingError
from hickorywing.errors import UserError
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient

__all__ = ["Answer", "Client", "EntryNotReachable"]

# Limits a whole request, including the body of the answer.
TIMEOUT_S = 60.0


class EntryNotReachable(UserError):  # noqa: N818
    """Raised if no entry answered, so that the outcome is unknown."""


@dataclass(frozen=True, slots=True)
class Answer:
    """An entry's complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def ok(self) -> bool:
        """Return whether the request was done."""
        return self.status < 300

    def data(self) -> Any:
        """Return the decoded JSON body, ``None`` if it is empty."""
        return decode_json(self.body) if self.body else None

    @property
    def run(self) -> str:
        """Return ``done``, or the run state that a problem document gives."""
        if self.ok:
            return "done"
        try:
            return self.data().get("run", "done")
        except (DecodingError, AttributeError):
            return "done"


class Client:
    """A client of one entry, or of a load balancer before several."""

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
        """Send a request once, without retries.

        Raises ``EntryNotReachable`` if it is not answered.
        """
        request_headers = dict(headers or {})
        if self.token:
            request_headers["Authorization"] = f"Bearer {self.token}"
        try:
            answer = await self._http.call(
                method,
                f"{self.entry}{path}",
                TIMEOUT_S,
                body or None,
                request_headers,
            )
        except CallError as error:
            raise EntryNotReachable(
                f"no answer from {self.entry}: {error}"
            ) from error
        answer_headers = {
            name.lower(): value for name, value in answer.headers.items()
        }
        return Answer(answer.status, answer_headers, answer.body)

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()
