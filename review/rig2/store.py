"""A stand-in of the platform's metadata store.

It serves the calls of the store that the programs make, with the limits and
times that the pages give for a small deployment. Answers can be made slow.
"""

import asyncio
import base64
from collections import deque
import json
import time

from aiohttp import web

from rig2.serving import serve

TX_MS = 3.0
ANSWER_MS = 4.0
ROW_BYTES = 65_536
CALL_BYTES = 1_000_000
MAX_ENTRIES = 100
MAX_PAGE_ROWS = 500
MAX_PAGE_PARTS = 1_000
HISTORY_S = 20.0
WRITES_PER_S = 800
READS_PER_S = 2_000
MAX_QUEUED_S = 1.0
OPERATOR_TABLES = ("op", "servers")
MAX_WAIT_MS = 30_000


class Row:
    """A row, or the mark of a deleted one, as of one version."""

    def __init__(self, key: tuple, value: str | None, version: int) -> None:
        self.key = key
        self.value = value
        self.version = version

    def encode(self) -> dict:
        """Return the row as the store sends it."""
        table, part, key = self.key
        fields = {
            "table": table,
            "part": part,
            "key": key,
            "ver": self.version,
        }
        if self.value is None:
            return {**fields, "tombstone": True}
        return {**fields, "value": self.value}


class RateLimit:
    """Counts the calls of the present second."""

    def __init__(self, per_s: int) -> None:
        self._per_s = per_s
        self._second = 0
        self._count = 0

    def admits(self) -> bool:
        """Count a call; return whether it is within the limit."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        return self._count <= self._per_s


class Store:
    """Serves rows from memory.

    ``slowness`` multiplies the time that an answer takes.
    """

    def __init__(self) -> None:
        self.address = ""
        self.slowness = 1.0
        self.rows: dict[tuple, Row] = {}
        self.version = 0
        self._changes: deque[tuple[float, Row]] = deque()
        self._history_start = 0
        self._changed = asyncio.Event()
        self._began_s = time.monotonic()
        self._free_at_s: dict[str, float] = {}
        self._writes = RateLimit(WRITES_PER_S)
        self._reads = RateLimit(READS_PER_S)

    async def start(self) -> None:
        """Serve on a free port."""
        app = web.Application(client_max_size=2 * CALL_BYTES)
        app.router.add_post("/rows-tx", self.handle_transaction)
        app.router.add_get("/rows-get", self.handle_get)
        app.router.add_get("/rows-parts", self.handle_parts)
        app.router.add_get("/rows-feed", self.handle_feed)
        self.address = await serve(app)

    def put(self, table: str, key: str, value: dict) -> None:
        """Write a row as the operator."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._write([((table, "", key), text)])

    def _write(self, changes: list[tuple[tuple, str | None]]) -> None:
        self.version += 1
        now_s = time.monotonic()
        for key, value in changes:
            row = Row(key, value, self.version)
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = row
            self._changes.append((now_s, row))
        while self._changes and now_s - self._changes[0][0] > HISTORY_S:
            self._history_start = self._changes.popleft()[1].version
        self._changed.set()
        self._changed = asyncio.Event()

    def _now_ms(self) -> int:
        return int((time.monotonic() - self._began_s) * 1000) + 1

    async def _answer(self, status: int, body: dict) -> web.Response:
        await asyncio.sleep(self.slowness * ANSWER_MS / 2000)
        return web.json_response(
            {**body, "now-ms": self._now_ms()}, status=status
        )

    async def _arrive(self) -> None:
        """Wait for the first half of the time that an answer takes."""
        await asyncio.sleep(self.slowness * ANSWER_MS / 2000)

    async def handle_transaction(self, request: web.Request) -> web.Response:
        """Apply a transaction wholly or not at all."""
        data = await request.read()
        await self._arrive()
        if not self._writes.admits():
            return await self._answer(429, {})
        body = json.loads(data)
        expected = [
            (read_key(item), item["ver"])
            for item in body.get("expect-rev", [])
        ]
        changes = [
            (read_key(item), item["value"]) for item in body.get("put", [])
        ]
        changes += [(read_key(item), None) for item in body.get("remove", [])]
        keys = [key for key, _ in [*expected, *changes]]
        parts = sorted({part for _, part, _ in keys})
        refusal = find_refusal(data, keys, changes, parts, body)
        if refusal:
            return await self._answer(refusal, {})
        if not await self._take_turn(parts):
            return await self._answer(429, {})
        for key, version in expected:
            row = self.rows.get(key)
            if (0 if row is None else row.version) != version:
                rows = [
                    self.rows[item].encode()
                    for item, _ in expected
                    if item in self.rows
                ]
                return await self._answer(
                    412, {"rows": rows, "ver": self.version}
                )
        self._write(changes)
        return await self._answer(200, {"ver": self.version})

    async def _take_turn(self, parts: list[str]) -> bool:
        """Wait for the turn of a transaction in its parts.

        Returns whether less than a second of others is waiting there.
        """
        now_s = time.monotonic()
        took_s = TX_MS / 1000 * (2 if len(parts) > 1 else 1)
        begin_s = max([now_s, *(self._free_at_s.get(p, 0.0) for p in parts)])
        if begin_s - now_s > MAX_QUEUED_S:
            return False
        for part in parts:
            self._free_at_s[part] = begin_s + took_s
        await asyncio.sleep(begin_s + took_s - now_s)
        return True

    async def handle_get(self, request: web.Request) -> web.Response:
        """Return a page of a range of rows, as of one moment."""
        await self._arrive()
        if not self._reads.admits():
            return await self._answer(429, {})
        query = request.query
        table, part = query["table"], query.get("part", "")
        first, target = query.get("from", ""), query.get("target", "")
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        found = sorted(
            (
                row
                for row in self.rows.values()
                if row.key[:2] == (table, part)
                and row.key[2] >= first
                and (not target or row.key[2] < target)
            ),
            key=lambda row: row.key[2].encode(),
        )
        page, size = [], 0
        for row in found[:limit]:
            size += len(row.value) + 200
            if page and size > CALL_BYTES:
                break
            page.append(row.encode())
        return await self._answer(
            200,
            {
                "rows": page,
                "has-more": len(page) < len(found),
                "ver": self.version,
            },
        )

    async def handle_parts(self, request: web.Request) -> web.Response:
        """Return a page of the parts of a table."""
        await self._arrive()
        if not self._reads.admits():
            return await self._answer(429, {})
        table, after = request.query["table"], request.query.get("after")
        parts = sorted({key[1] for key in self.rows if key[0] == table})
        if after is not None:
            parts = [part for part in parts if part > after]
        return await self._answer(
            200, {"parts": parts[:MAX_PAGE_PARTS], "ver": self.version}
        )

    async def handle_feed(self, request: web.Request) -> web.Response:
        """Return the changes of a table, once there is one."""
        await self._arrive()
        if not self._reads.admits():
            return await self._answer(429, {})
        query = request.query
        table, after = query["table"], int(query["after"])
        wait_ms = min(int(query.get("wait-ms", "0")), MAX_WAIT_MS)
        until_s = time.monotonic() + wait_ms / 1000
        while True:
            if after < self._history_start:
                return await self._answer(410, {})
            rows = [
                row.encode()
                for _, row in self._changes
                if row.key[0] == table and row.version > after
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return await self._answer(
                    200, {"rows": rows, "ver": self.version}
                )
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue


def read_key(item: dict) -> tuple:
    """Return the table, part and key of an entry of a transaction."""
    return (item["table"], item.get("part", ""), item["key"])


def find_refusal(
    data: bytes, keys: list, changes: list, parts: list, body: dict
) -> int:
    """Return the status that refuses an invalid transaction, 0 for none."""
    if len(keys) > MAX_ENTRIES or len(data) > CALL_BYTES:
        return 400
    if len(parts) > 1 and not body.get("across"):
        return 400
    for (table, _, _), value in changes:
        if table in OPERATOR_TABLES:
            return 403
        if value is not None and len(value) * 3 // 4 > ROW_BYTES:
            return 400
    return 0
