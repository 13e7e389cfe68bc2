"""A stand-in for the platform's metadata store, with rows in memory."""

import base64
from typing import Any

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.clock import now_s
from hickorywing.rows import Committed
from hickorywing.rows import HistoryLost
from hickorywing.rows import Mismatch
from hickorywing.rows import Refused
from hickorywing.rows import Rejected
from hickorywing.rows import RowExpectation
from hickorywing.rows import RowKey
from hickorywing.rows import RowTransaction
from hickorywing.rows import RowWrite
from hickorywing.rows import StoredRow
from hickorywing.rows import StoreUnavailable
from hickorywing.standins.rowstore import MemoryRowStore
from hickorywing.web import add_route
from hickorywing.web import answer_json
from hickorywing.web import make_app

__all__ = ["PlatformStoreStandin"]

STARTED_S = now_s()
PAGE_PARTS = 1000


class PlatformStoreStandin:
    """Serves the platform's store interface from a ``MemoryRowStore``."""

    def __init__(self, store: MemoryRowStore) -> None:
        self.store = store

    def make_app(self) -> Application:
        """Return the store as a web application."""
        app = make_app()
        add_route(app, "POST", "/rows-tx", self.handle_transaction)
        add_route(app, "GET", "/rows-get", self.handle_get)
        add_route(app, "GET", "/rows-parts", self.handle_parts)
        add_route(app, "GET", "/rows-feed", self.handle_feed)
        return app

    async def handle_transaction(self, request: Request) -> Response:
        """Apply a transaction.

        Answers 200 if it is committed, 400 if it exceeds a limit or spans
        partitions without saying so, 412 if an expectation fails, 503 if it is
        refused and 500 if the outcome is unknown.
        """
        body = msgspec.json.decode(await request.read() or b"{}")
        transaction = decode_transaction(body)
        if transaction.spans_parts() and not body.get("across"):
            return answer_json(400, {"error": "several parts"})
        outcome = await self.store.commit(transaction)
        if isinstance(outcome, Committed):
            return answer_json(
                200, {"ver": outcome.version, "now-ms": clock_ms()}
            )
        if isinstance(outcome, Mismatch):
            rows = [encode_row(row) for row in outcome.rows]
            return answer_json(412, {"rows": rows, "ver": self.store.version})
        if isinstance(outcome, Rejected):
            return answer_json(400, {"error": outcome.reason})
        return answer_json(503 if isinstance(outcome, Refused) else 500, {})

    async def handle_get(self, request: Request) -> Response:
        """Return a range of rows, always in a single page."""
        query = read_query(request)
        try:
            read = await self.store.read_part(
                query["table"],
                query.get("part", ""),
                query.get("from", ""),
                query.get("target", ""),
            )
        except StoreUnavailable:
            return answer_json(503, {})
        rows = [encode_row(row) for row in read.rows]
        return answer_json(
            200,
            {
                "rows": rows,
                "has-more": False,
                "ver": read.version,
                "now-ms": clock_ms(),
            },
        )

    async def handle_parts(self, request: Request) -> Response:
        """Return the partitions of a table, 1,000 in a page."""
        query = read_query(request)
        try:
            parts = await self.store.list_parts(query["table"])
        except StoreUnavailable:
            return answer_json(503, {})
        after = query.get("after")
        rest = (part for part in parts if after is None or part > after)
        page = sorted(rest)[:PAGE_PARTS]
        return answer_json(
            200,
            {
                "parts": page,
                "ver": self.store.version,
                "now-ms": clock_ms(),
            },
        )

    async def handle_feed(self, request: Request) -> Response:
        """Return the changes after a version, waiting for the first one."""
        query = read_query(request)
        try:
            page = await self.store.follow(
                query["table"],
                int(query["after"]),
                int(query.get("wait-ms", "0")) / 1000,
            )
        except HistoryLost:
            return answer_json(410, {})
        except StoreUnavailable:
            return answer_json(503, {})
        rows = [encode_row(row) for row in page.rows]
        return answer_json(
            200, {"rows": rows, "ver": page.version, "now-ms": clock_ms()}
        )


def clock_ms() -> int:
    """Return the store's monotonic clock in milliseconds, never 0.

    Clients ignore a clock of 0.
    """
    return int((now_s() - STARTED_S) * 1000) + 1


def read_query(request: Request) -> dict[str, str]:
    """Return the first value of each query parameter."""
    return {name: values[0] for name, values in request.query.items()}


def decode_key(entry: dict[str, Any]) -> RowKey:
    """Decode the key of a row."""
    return RowKey(entry["table"], entry.get("part", ""), entry["key"])


def decode_transaction(body: dict[str, Any]) -> RowTransaction:
    """Decode the body of a ``rows-tx`` call."""
    writes = [
        RowWrite(decode_key(entry), base64.b64decode(entry["value"]))
        for entry in body.get("put", [])
    ]
    writes.extend(
        RowWrite(decode_key(entry), None) for entry in body.get("remove", [])
    )
    return RowTransaction(
        tuple(
            RowExpectation(decode_key(entry), entry["ver"])
            for entry in body.get("expect-rev", [])
        ),
        tuple(writes),
    )


def encode_row(row: StoredRow) -> dict[str, Any]:
    """Encode a row; a deleted one has ``tombstone`` instead of a value."""
    fields = {
        "table": row.key.table,
        "part": row.key.part,
        "key": row.key.key,
        "ver": row.version,
    }
    if row.value is None:
        return {**fields, "tombstone": True}
    return {**fields, "value": base64.b64encode(row.value).decode("ascii")}
