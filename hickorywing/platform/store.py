"""Access the platform's metadata store over HTTP.

A ``RowTransaction`` becomes a ``rows-tx`` call: its expectations are the
``expect-rev`` entries, its writes the ``put`` entries, and its deletions the
``remove`` entries, and ``across`` is set if they are in several partitions.
Reads of a partition become ``rows-get`` calls, lists of partitions
``rows-parts`` calls, and change feeds ``rows-feed`` calls. ``part`` names a
partition, ``ver`` a version, and values are sent in base64.
"""

import asyncio
import base64
from typing import Any
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from hickorywing.clock import now_s
from hickorywing.decoding import decode_json
from hickorywing.decoding import DecodingError
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpAnswer
from hickorywing.httpclient import HttpClient
from hickorywing.metrics import Metrics
from hickorywing.rows import Commit
from hickorywing.rows import Committed
from hickorywing.rows import FeedPage
from hickorywing.rows import HistoryLost
from hickorywing.rows import Mismatch
from hickorywing.rows import Refused
from hickorywing.rows import Rejected
from hickorywing.rows import RowExpectation
from hickorywing.rows import RowKey
from hickorywing.rows import RowStore
from hickorywing.rows import RowTransaction
from hickorywing.rows import RowWrite
from hickorywing.rows import StoredRow
from hickorywing.rows import StoreUnavailable
from hickorywing.rows import TableRead
from hickorywing.rows import Unknown
from hickorywing.waiting import wait_for_event

__all__ = ["PlatformStore"]

# A slow store takes about 60 times its usual 4 ms for each call, and
# transactions of one partition are applied one after another.
CALL_TIMEOUT_S = 1.5
FEED_SLACK_S = 0.5
# A transaction may queue behind others of its partition. If it is unanswered
# after this time, it is waited for only if the store answers a read, which
# doesn't queue. The read may take longer than the 0.4 s for which other
# entries wait for theirs when a role is offered: a holder that gave up sooner
# than they do would offer its role although the store is only slow.
PROBE_AFTER_S = 0.15
PROBE_TIMEOUT_S = 0.5
PAGE_ROWS = 500
PAGE_PARTS = 1000
# The call is invalid, forbidden or too large.
REJECTIONS = (400, 403, 404, 413, 422)
MAX_REASON_BYTES = 200
EXPECTED_STATUSES = {
    "rows-get": (200,),
    "rows-feed": (200, 410),
    "rows-parts": (200, 404),
}

AnswerT = TypeVar("AnswerT")


class WireRow(msgspec.Struct):
    """A row in an answer of the store.

    ``ver`` is the store version at which the row was written, 0 if the row
    doesn't exist. ``value`` is in base64, ``part`` is the partition.
    """

    table: str
    key: str
    part: str = ""
    value: str = ""
    ver: int = 0
    tombstone: bool = False

    def decode(self) -> StoredRow:
        """Convert to a ``StoredRow``; a deleted row has no value."""
        deleted = self.tombstone or self.ver == 0
        value = None if deleted else decode_value(self.value)
        return StoredRow(
            RowKey(self.table, self.part, self.key), value, self.ver
        )


class WirePage(msgspec.Struct, rename="kebab"):
    """The body of an answer of the store.

    ``ver`` is the newest version of the store, ``now_ms`` its monotonic clock
    in milliseconds, and ``has_more`` tells that the range has further rows.
    """

    rows: list[WireRow] = []
    ver: int = 0
    now_ms: int = 0
    has_more: bool = False


class WireParts(msgspec.Struct):
    """The body of an answer with the partitions of a table."""

    parts: list[str] = []


def decode_value(text: str) -> bytes:
    """Decode base64; return no bytes for invalid text from other writers."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""


def encode_key(key: RowKey) -> dict[str, Any]:
    """Return the fields that identify a row."""
    return {"table": key.table, "part": key.part, "key": key.key}


def encode_expectation(expectation: RowExpectation) -> dict[str, Any]:
    """Encode an entry of ``expect-rev``."""
    return {**encode_key(expectation.key), "ver": expectation.version}


def encode_put(write: RowWrite) -> dict[str, Any]:
    """Encode an entry of ``put``."""
    value = base64.b64encode(write.value or b"").decode("ascii")
    return {**encode_key(write.key), "value": value}


def encode_transaction(transaction: RowTransaction) -> bytes:
    """Encode the body of a ``rows-tx`` call."""
    body = {
        "expect-rev": [
            encode_expectation(item) for item in transaction.expects
        ],
        "put": [
            encode_put(write)
            for write in transaction.writes
            if write.value is not None
        ],
        "remove": [
            encode_key(write.key)
            for write in transaction.writes
            if write.value is None
        ],
    }
    if transaction.spans_parts():
        body["across"] = True
    return msgspec.json.encode(body)


class PlatformStore(RowStore):
    """Client of the platform's metadata store."""

    def __init__(
        self, address: str, http: HttpClient, metrics: Metrics
    ) -> None:
        self._url = f"http://{address}"
        self._http = http
        self._metrics = metrics
        self._reachable = asyncio.Event()
        self._reachable.set()
        # The store's clock minus this process's clock.
        self._clock_offset_s = 0.0

    def is_reachable(self) -> bool:
        """Return whether the last call that ended was answered."""
        return self._reachable.is_set()

    async def wait_reachable(self, max_wait_s: float) -> None:
        """Wait until an unreachable store answers a call again.

        Waits at most ``max_wait_s``, and exactly that if the store is
        reachable.
        """
        if self.is_reachable():
            await asyncio.sleep(max_wait_s)
        else:
            await wait_for_event(self._reachable, max_wait_s)

    def clock_s(self) -> float:
        """Estimate the store's clock in seconds from its latest answer."""
        return now_s() + self._clock_offset_s

    def _update_clock(self, page: WirePage) -> None:
        if page.now_ms:
            self._clock_offset_s = page.now_ms / 1000 - now_s()

    async def _call(
        self, method: str, url: str, timeout_s: float, body: bytes | None
    ) -> HttpAnswer:
        """Call the store and record whether it is reachable.

        Raises ``CallError`` if no complete answer comes.
        """
        try:
            answer = await self._http.call(method, url, timeout_s, body)
        except CallError:
            self._reachable.clear()
            raise
        self._reachable.set()
        return answer

    async def _call_with_probe(self, url: str, body: bytes) -> HttpAnswer:
        """Post a transaction, and probe the store if the answer is slow.

        Raises ``CallError`` early if the store doesn't answer the probe, a
        read, either: then it is unreachable and not just slow.
        """
        call = asyncio.ensure_future(
            self._call("POST", url, CALL_TIMEOUT_S, body)
        )
        try:
            done, _ = await asyncio.wait({call}, timeout=PROBE_AFTER_S)
            if not done:
                await self._call(
                    "GET",
                    f"{self._url}/rows-get?table=probe&part=&limit=1",
                    PROBE_TIMEOUT_S,
                    None,
                )
            return await call
        finally:
            call.cancel()

    async def commit(self, transaction: RowTransaction) -> Commit:
        """Try a transaction once; return ``Unknown`` if no answer comes."""
        body = encode_transaction(transaction)
        try:
            with self._metrics.time("store_call_seconds", call="commit"):
                answer = await self._call_with_probe(
                    f"{self._url}/rows-tx", body
                )
        except CallError:
            self._metrics.count("store_commits", outcome="unknown")
            return Unknown()
        outcome = decode_commit(answer)
        name = type(outcome).__name__.lower()
        self._metrics.count("store_commits", outcome=name)
        return outcome

    async def read_part(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> TableRead:
        """Return the rows of a partition with ``first <= key < end``.

        The range is read page by page. The version returned is that of the
        first page. Raises ``StoreUnavailable``.
        """
        rows: list[StoredRow] = []
        version = 0
        while True:
            page = await self._read_page(table, part, first, end)
            rows.extend(row.decode() for row in page.rows)
            # Changes made after the first page was read are found by following
            # the feed from that page's version.
            version = version or page.ver
            if not page.has_more or not page.rows:
                return TableRead(tuple(rows), version)
            first = page.rows[-1].key + "\0"

    async def _read_page(
        self, table: str, part: str, first: str, end: str
    ) -> WirePage:
        query = {"table": table, "part": part, "limit": str(PAGE_ROWS)}
        if first:
            query["from"] = first
        if end:
            query["target"] = end
        answer = await self._get("rows-get", query, CALL_TIMEOUT_S)
        page = decode_answer(answer, WirePage)
        self._update_clock(page)
        return page

    async def list_parts(self, table: str) -> frozenset[str]:
        """Return the partitions of a table that have rows.

        A store that answers 404 has no such list; then there are none. Raises
        ``StoreUnavailable``.
        """
        found: set[str] = set()
        query = {"table": table}
        while True:
            answer = await self._get("rows-parts", query, CALL_TIMEOUT_S)
            if answer.status == 404:
                return frozenset(found)
            parts = decode_answer(answer, WireParts).parts
            found.update(parts)
            if len(parts) < PAGE_PARTS:
                return frozenset(found)
            query["after"] = parts[-1]

    async def follow(
        self, table: str, after_version: int, wait_s: float
    ) -> FeedPage:
        """Return the changes after a version, waiting for the first one.

        Raises ``HistoryLost`` if the store answers 410, as it no longer keeps
        the changes since that version, and ``StoreUnavailable`` otherwise.
        """
        query = {
            "table": table,
            "after": str(after_version),
            "wait-ms": str(int(wait_s * 1000)),
        }
        answer = await self._get("rows-feed", query, wait_s + FEED_SLACK_S)
        if answer.status == 410:
            raise HistoryLost(
                f"no history of table {table} after version {after_version}"
            )
        page = decode_answer(answer, WirePage)
        self._update_clock(page)
        return FeedPage(tuple(row.decode() for row in page.rows), page.ver)

    async def _get(
        self, call: str, query: dict[str, str], timeout_s: float
    ) -> HttpAnswer:
        url = f"{self._url}/{call}?{urlencode(query)}"
        try:
            answer = await self._call("GET", url, timeout_s, None)
        except CallError as error:
            self._metrics.count("store_reads", call=call, outcome="lost")
            raise StoreUnavailable(str(error)) from error
        self._metrics.count(
            "store_reads", call=call, outcome=str(answer.status)
        )
        if answer.status not in EXPECTED_STATUSES[call]:
            raise StoreUnavailable(
                f"{call} answered with status {answer.status}"
            )
        return answer


def decode_answer(answer: HttpAnswer, body_type: type[AnswerT]) -> AnswerT:
    """Decode the body of an answer; raise ``StoreUnavailable``."""
    try:
        return decode_json(answer.body, body_type)
    except DecodingError as error:
        raise StoreUnavailable(
            f"unreadable answer of the store: {error}"
        ) from error


def decode_commit(answer: HttpAnswer) -> Commit:
    """Convert an answer to a transaction to its outcome.

    429 and 503 mean that nothing was written, 412 that an expectation failed,
    and some others that the call is wrong. Any other status but 200, or an
    unreadable body, leaves the outcome unknown.
    """
    if answer.status in (429, 503):
        return Refused()
    if answer.status in REJECTIONS:
        text = answer.body[:MAX_REASON_BYTES].decode("utf-8", "replace")
        return Rejected(f"status {answer.status} {text}")
    if answer.status not in (200, 412):
        return Unknown()
    try:
        page = decode_json(answer.body, WirePage)
    except DecodingError:
        return Unknown()
    if answer.status == 200:
        return Committed(page.ver)
    return Mismatch(tuple(row.decode() for row in page.rows))
