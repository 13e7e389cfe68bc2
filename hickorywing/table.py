"""Define the platform's transactional table and its HTTP client.

A transaction is a set of checks (a key must have a version) and writes. Its
result is committed, refused, conflict, or unknown if the answer was lost and
the writes may or may not have taken effect. Unknown is a value that callers
must handle, not an exception that a retry could swallow.
"""

from abc import ABC
from abc import abstractmethod
import asyncio
from dataclasses import dataclass
from typing import Any
import uuid

import msgspec

from hickorywing.commits import Committed
from hickorywing.commits import Refused
from hickorywing.commits import Unknown
from hickorywing.decoding import decode_json
from hickorywing.decoding import DecodingError
from hickorywing.errors import HickorywingError
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient
from hickorywing.logs import get_logger

__all__ = [
    "Check",
    "Commit",
    "Committed",
    "Conflict",
    "HttpTable",
    "Refused",
    "Row",
    "Table",
    "TableUnavailable",
    "Transaction",
    "Unknown",
    "Write",
    "commit_until_known",
    "new_nonce",
]

TABLE_TIMEOUT_S = 8.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 3.2


class TableUnavailable(HickorywingError):  # noqa: N818
    """Raised if a read got no valid answer."""


class Row(msgspec.Struct, frozen=True):
    """A row; version 0 without a value stands for an absent row."""

    key: str
    value: Any = None
    version: int = 0
    nonce: str = ""


class Check(msgspec.Struct, frozen=True):
    """Demands that a key has a version."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Puts a value, or deletes the row if the value is ``None``."""

    key: str
    value: Any = None


class Transaction(msgspec.Struct, frozen=True):
    """Checks and writes that take effect together or not at all.

    ``nonce`` is stored with the rows and identifies the transaction.
    """

    checks: list[Check]
    writes: list[Write]
    nonce: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was written; ``rows`` had other versions than checked."""

    rows: tuple[Row, ...]


Commit = Committed | Conflict | Refused | Unknown


class CommitAnswer(msgspec.Struct):
    """The answer to a commit in the HTTP interface."""

    committed: bool
    version: int = 0
    rows: list[Row] = []


class RowsAnswer(msgspec.Struct):
    """The answer to a read in the HTTP interface."""

    rows: list[Row]


class KeysRequest(msgspec.Struct):
    """The request to read several keys in the HTTP interface."""

    keys: list[str]


def new_nonce() -> str:
    """Return a random nonce that is unique among all writes."""
    return uuid.uuid4().hex


class Table(ABC):
    """A transactional table service.

    Reads raise ``TableUnavailable`` if they get no valid answer.
    """

    @abstractmethod
    async def read_many(self, keys: list[str]) -> list[Row]:
        """Return the rows of the keys; raise ``TableUnavailable``."""

    @abstractmethod
    async def scan(self, prefix: str) -> list[Row]:
        """Return all rows with a key prefix; raise ``TableUnavailable``."""

    @abstractmethod
    async def commit(self, transaction: Transaction) -> Commit:
        """Try a transaction once."""

    async def read(self, key: str) -> Row:
        """Return one row; raise ``TableUnavailable``."""
        rows = await self.read_many([key])
        return rows[0]

    async def close(self) -> None:  # noqa: B027
        """Release the client's resources; nothing by default."""


class HttpTable(Table):
    """A client of the table service over HTTP."""

    def __init__(self, url: str, timeout_s: float = TABLE_TIMEOUT_S) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self._http = HttpClient()

    async def _post(self, path: str, message: msgspec.Struct) -> bytes | int:
        """Return the body of an answer with status 200, else the status."""
        answer = await self._http.call(
            "POST",
            self.url + path,
            self.timeout_s,
            msgspec.json.encode(message),
        )
        return answer.body if answer.status == 200 else answer.status

    async def read_many(self, keys: list[str]) -> list[Row]:
        """Return the rows of the keys; raise ``TableUnavailable``."""
        return await self._read("/rows", KeysRequest(keys))

    async def scan(self, prefix: str) -> list[Row]:
        """Return all rows with a key prefix; raise ``TableUnavailable``."""
        rows: list[Row] = []
        after = ""
        while True:
            page = await self._read("/scan", ScanRequest(prefix, after))
            rows.extend(page)
            if len(page) < SCAN_PAGE:
                return rows
            after = page[-1].key

    async def _read(self, path: str, request: msgspec.Struct) -> list[Row]:
        try:
            body = await self._post(path, request)
            if isinstance(body, int):
                raise TableUnavailable(f"table answered with status {body}")
            return decode_json(body, RowsAnswer).rows
        except (CallError, DecodingError) as error:
            raise TableUnavailable(f"no answer: {error!r}") from error

    async def commit(self, transaction: Transaction) -> Commit:
        """Try a transaction once; a lost answer is ``Unknown``."""
        try:
            body = await self._post("/commit", transaction)
        except CallError as error:
            get_logger().warning("commit unanswered", error=repr(error))
            return Unknown()
        if isinstance(body, int):
            return Refused() if body == 503 else Unknown()
        try:
            answer = decode_json(body, CommitAnswer)
        except DecodingError:
            return Unknown()
        if answer.committed:
            return Committed(answer.version)
        return Conflict(tuple(answer.rows))

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()


SCAN_PAGE = 500


class ScanRequest(msgspec.Struct):
    """The request for one page of a scan in the HTTP interface."""

    prefix: str
    after: str = ""
    limit: int = SCAN_PAGE


async def commit_until_known(
    table: Table, transaction: Transaction, timeout_s: float
) -> Commit:
    """Retry a transaction until its outcome is known or time runs out.

    The same transaction is sent again after pauses that double. It takes
    effect at most once, because its checks fail afterwards. A conflict on rows
    with this transaction's nonce means that an earlier attempt took effect.
    ``timeout_s`` is the limit in seconds.
    """
    clock = asyncio.get_running_loop().time
    deadline = clock() + timeout_s
    had_unknown = False
    pause_s = MIN_BACKOFF_S
    while True:
        answer = await table.commit(transaction)
        if isinstance(answer, Committed):
            return answer
        if isinstance(answer, Conflict):
            return _resolve_conflict(transaction, answer, had_unknown)
        had_unknown = had_unknown or isinstance(answer, Unknown)
        left_s = deadline - clock()
        if left_s <= MIN_BACKOFF_S:
            return Unknown() if had_unknown else Refused()
        await asyncio.sleep(min(pause_s, left_s / 2))
        pause_s = min(2 * pause_s, MAX_BACKOFF_S)


def _resolve_conflict(
    transaction: Transaction, conflict: Conflict, had_unknown: bool
) -> Commit:
    """Return the result of a commit that met a conflict.

    ``had_unknown`` says that the answer to an earlier attempt was lost; then
    the conflict may come from that attempt.
    """
    if not had_unknown:
        return conflict
    written = {write.key for write in transaction.writes}
    for row in conflict.rows:
        if row.nonce == transaction.nonce:
            return Committed(row.version)
    if any(row.key in written for row in conflict.rows):
        # Another write may have followed after this one took effect.
        return Unknown()
    return conflict
