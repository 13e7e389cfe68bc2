"""Speak to the platform's metadata store."""

import asyncio
import base64
from typing import Any
from urllib.parse import urlencode

import msgspec

from hickorywing.clock import now_s
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

# A slow store answers in about 60 times its usual 4 ms, and a partition
# applies its transactions one after another.
CALL_TIMEOUT_S = 1.5
FEED_SLACK_S = 0.5
# A transaction that waits this long in its partition's queue is given more
# time only if a read, which waits in no queue, is answered meanwhile. Other
# entries have 0.4 s for such a read before they take a role over.
DOUBT_AFTER_S = 0.15
PROBE_TIMEOUT_S = 0.5
PAGE_ROWS = 500


class WireRow(msgspec.Struct):
    """A row in an answer; ``ver`` is the version that wrote it."""

    table: str
    key: str
    part: str = ""
    value: str = ""
    ver: int = 0
    tombstone: bool = False

    def decode(self) -> StoredRow:
        """Return the row in the product's form."""
        deleted = self.tombstone or self.ver == 0
        value = None if deleted else decode_value(self.value)
        return StoredRow(
            RowKey(self.table, self.part, self.key), value, self.ver
        )


class WirePage(msgspec.Struct, rename="kebab"):
    """Rows in an answer.

    ``ver`` is the newest version of the store and ``now_ms`` its steady clock.
    """

    rows: list[WireRow] = []
    ver: int = 0
    now_ms: int = 0
    has_more: bool = False


def decode_value(text: str) -> bytes:
    """Return a value's bytes; unreadable base64 from others gives none."""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""


def encode_place(key: RowKey) -> dict[str, Any]:
    """Return the fields that name a row."""
    return {"table": key.table, "part": key.part, "key": key.key}


def encode_expectation(expectation: RowExpectation) -> dict[str, Any]:
    """Return an entry of ``expect-rev``."""
    return {**encode_place(expectation.key), "ver": expectation.version}


def encode_put(write: RowWrite) -> dict[str, Any]:
    """Return an entry of ``put``."""
    value = base64.b64encode(write.value or b"").decode("ascii")
    return {**encode_place(write.key), "value": value}


def encode_transaction(transaction: RowTransaction) -> bytes:
    """Return the body of a transaction."""
    return msgspec.json.encode(
        {
            "expect-rev": [
                encode_expectation(item) for item in transaction.expects
            ],
            "put": [
                encode_put(write)
                for write in transaction.writes
                if write.value is not None
            ],
            "remove": [
                encode_place(write.key)
                for write in transaction.writes
                if write.value is None
            ],
        }
    )


class PlatformStore(RowStore):
    """The platform's store over HTTP."""

    def __init__(
        self, address: str, http: HttpClient, metrics: Metrics
    ) -> None:
        self._url = f"http://{address}"
        self._http = http
        self._metrics = metrics
        self._reachable = asyncio.Event()
        self._reachable.set()
        # How far the store's clock is ahead of this process's.
        self._clock_ahead_s = 0.0

    def is_reachable(self) -> bool:
        """Tell whether the last call that ended got an answer."""
        return self._reachable.is_set()

    async def wait_reachable(self, most_s: float) -> None:
        """Wait for a time, less if a silent store answers a call meanwhile."""
        if self.is_reachable():
            await asyncio.sleep(most_s)
        else:
            await wait_for_event(self._reachable, most_s)

    def clock_s(self) -> float:
        """Return the store's steady clock by its latest answer."""
        return now_s() + self._clock_ahead_s

    def _read_clock(self, page: WirePage) -> None:
        if page.now_ms:
            self._clock_ahead_s = page.now_ms / 1000 - now_s()

    async def _call(
        self, method: str, url: str, timeout_s: float, body: bytes | None
    ) -> HttpAnswer:
        """Return a complete answer; raise ``CallError``."""
        try:
            answer = await self._http.call(method, url, timeout_s, body)
        except CallError:
            self._reachable.clear()
            raise
        self._reachable.set()
        return answer

    async def _call_watched(self, url: str, body: bytes) -> HttpAnswer:
        """Post a body; give up early when the store answers no reads."""
        call = asyncio.ensure_future(
            self._call("POST", url, CALL_TIMEOUT_S, body)
        )
        try:
            done, _ = await asyncio.wait({call}, timeout=DOUBT_AFTER_S)
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
        """Try a transaction once; a lost answer is ``Unknown``."""
        body = encode_transaction(transaction)
        try:
            with self._metrics.time("store_call_seconds", call="commit"):
                answer = await self._call_watched(f"{self._url}/rows-tx", body)
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
        """Return the rows of a range of keys; raise ``StoreUnavailable``."""
        rows: list[StoredRow] = []
        version = 0
        while True:
            page = await self._read_page(table, part, first, end)
            rows.extend(row.decode() for row in page.rows)
            # Changes after the first page are found by following from there.
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
        page = decode_page(answer)
        self._read_clock(page)
        return page

    async def follow(
        self, table: str, after_version: int, wait_s: float
    ) -> FeedPage:
        """Return the changes after a version, waiting for the first one."""
        query = {
            "table": table,
            "after": str(after_version),
            "wait-ms": str(int(wait_s * 1000)),
        }
        answer = await self._get("rows-feed", query, wait_s + FEED_SLACK_S)
        if answer.status == 410:
            raise HistoryLost(f"{table} after {after_version}")
        page = decode_page(answer)
        self._read_clock(page)
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
        if answer.status not in (200, 410):
            raise StoreUnavailable(f"{call} answered {answer.status}")
        return answer


def decode_page(answer: HttpAnswer) -> WirePage:
    """Return the rows in an answer; raise ``StoreUnavailable``."""
    try:
        return msgspec.json.decode(answer.body, type=WirePage)
    except msgspec.DecodeError as error:
        raise StoreUnavailable(f"unreadable answer: {error}") from error


def decode_commit(answer: HttpAnswer) -> Commit:
    """Return what an answer to a transaction says."""
    if answer.status in (429, 503):
        return Refused()
    if answer.status not in (200, 412):
        return Unknown()
    try:
        page = msgspec.json.decode(answer.body, type=WirePage)
    except msgspec.DecodeError:
        return Unknown()
    if answer.status == 200:
        return Committed(page.ver)
    return Mismatch(tuple(row.decode() for row in page.rows))
