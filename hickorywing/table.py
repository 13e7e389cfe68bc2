"""The platform's transactional table, as the system sees it.

One transaction is a set of checks (a key must have a version) and writes. It
has three answers: committed, conflict, and unknown, when the answer was lost
and the write may or may not have taken effect. Unknown is a value to be dealt
with, never an exception that a retry could swallow.
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
    "commit_surely",
    "new_nonce",
]

TABLE_TIMEOUT_S = 8.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 3.2


class TableUnavailable(HickorywingError):  # noqa: N818
    """Reports that a read got no answer."""


class Row(msgspec.Struct, frozen=True):
    """A row; version 0 and no value stand for an absent one."""

    key: str
    value: Any = None
    version: int = 0
    nonce: str = ""


class Check(msgspec.Struct, frozen=True):
    """Demands that a key has a version."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Puts a value, or deletes the row when it is ``None``."""

    key: str
    value: Any = None


class Transaction(msgspec.Struct, frozen=True):
    """Checks and writes that take effect together or not at all."""

    checks: list[Check]
    writes: list[Write]
    nonce: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was written; these rows had other versions."""

    rows: tuple[Row, ...]


Commit = Committed | Conflict | Refused | Unknown


class CommitAnswer(msgspec.Struct):
    """The wire form of a commit's answer."""

    committed: bool
    version: int = 0
    rows: list[Row] = []


class RowsAnswer(msgspec.Struct):
    """The wire form of rows."""

    rows: list[Row]


class KeysRequest(msgspec.Struct):
    """The wire form of a read of several keys."""

    keys: list[str]


def new_nonce() -> str:
    """Return a nonce that no other write has."""
    return uuid.uuid4().hex


class Table(ABC):
    """A transactional table service."""

    @abstractmethod
    async def read_many(self, keys: list[str]) -> list[Row]:
        """Return the rows of the keys; raise ``TableUnavailable``."""

    @abstractmethod
    async def scan(self, prefix: str) -> list[Row]:
        """Return all rows below a prefix; raise ``TableUnavailable``."""

    @abstractmethod
    async def commit(self, transaction: Transaction) -> Commit:
        """Try a transaction once."""

    async def read(self, key: str) -> Row:
        """Return one row; raise ``TableUnavailable``."""
        rows = await self.read_many([key])
        return rows[0]

    async def close(self) -> None:  # noqa: B027
        """Release what the client holds; nothing by default."""


class HttpTable(Table):
    """The table service over HTTP."""

    def __init__(self, url: str, timeout_s: float = TABLE_TIMEOUT_S) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self._http = HttpClient()

    async def _post(self, path: str, message: msgspec.Struct) -> bytes | int:
        """Return the body of a good answer, else the status."""
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
        """Return all rows below a prefix; raise ``TableUnavailable``."""
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
                raise TableUnavailable(f"the table answered {body}")
            return msgspec.json.decode(body, type=RowsAnswer).rows
        except (CallError, msgspec.DecodeError) as error:
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
            answer = msgspec.json.decode(body, type=CommitAnswer)
        except msgspec.DecodeError:
            return Unknown()
        if answer.committed:
            return Committed(answer.version)
        return Conflict(tuple(answer.rows))

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()


SCAN_PAGE = 500


class ScanRequest(msgspec.Struct):
    """The wire form of one page of a scan."""

    prefix: str
    after: str = ""
    limit: int = SCAN_PAGE


async def commit_surely(
    table: Table, transaction: Transaction, patience_s: float
) -> Commit:
    """Try a transaction until its fate is known, or patience runs out.

    The same transaction is sent again, after pauses that double: it takes
    effect at most once, since its checks fail after it did. A conflict on
    rows that carry this transaction's nonce means that an earlier try took
    effect.
    """
    clock = asyncio.get_running_loop().time
    deadline = clock() + patience_s
    doubtful = False
    pause_s = MIN_BACKOFF_S
    while True:
        answer = await table.commit(transaction)
        if isinstance(answer, Committed):
            return answer
        if isinstance(answer, Conflict):
            return _resolve_conflict(transaction, answer, doubtful)
        doubtful = doubtful or isinstance(answer, Unknown)
        left_s = deadline - clock()
        if left_s <= MIN_BACKOFF_S:
            return Unknown() if doubtful else Refused()
        await asyncio.sleep(min(pause_s, left_s / 2))
        pause_s = min(2 * pause_s, MAX_BACKOFF_S)


def _resolve_conflict(
    transaction: Transaction, conflict: Conflict, doubtful: bool
) -> Commit:
    """Tell an own earlier write from another writer's."""
    if not doubtful:
        return conflict
    written = {write.key for write in transaction.writes}
    for row in conflict.rows:
        if row.nonce == transaction.nonce:
            return Committed(row.version)
    if any(row.key in written for row in conflict.rows):
        # Another write may have come after this one took effect.
        return Unknown()
    return conflict
