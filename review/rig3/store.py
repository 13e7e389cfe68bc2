"""The platform's metadata store, in memory, as PROTOCOL.md describes it."""

import asyncio
import base64
from collections import deque
import sys
import time

from review.rig3.wire import Call
from review.rig3.wire import Server

PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
PAGE_PARTS = 1000
ROW_BYTES = 65_536
MAX_ENTRIES = 100
HISTORY = 200_000
ANSWER_S = 0.004

Key = tuple[str, str, str]


def get_key(entry: dict) -> Key:
    """Return the key of an entry of a transaction."""
    return entry["table"], entry.get("part", ""), entry["key"]


def show(key: Key, row: "tuple[int, bytes | None]") -> dict:
    """Return a row as the store's answers have it."""
    table, part, name = key
    fields = {"table": table, "part": part, "key": name, "ver": row[0]}
    if row[1] is None:
        return {**fields, "tombstone": True}
    return {**fields, "value": base64.b64encode(row[1]).decode()}


class Store:
    """Rows of versioned values, transactions and change feeds.

    While ``down`` is set the store does nothing: it answers nothing, or 503
    to all calls if ``down`` is "busy".
    """

    def __init__(self) -> None:
        self.rows: dict[Key, tuple[int, bytes]] = {}
        self.ver = 0
        self.down: bool | str = False
        self.answer_s = ANSWER_S
        self._changes: deque[tuple[int, Key, bytes | None]] = deque(
            maxlen=HISTORY
        )
        self._news = asyncio.Event()
        self.server = Server(self.handle)

    def put(self, table: str, part: str, key: str, value: bytes) -> None:
        """Write a row as the operator."""
        self._apply([((table, part, key), value)])

    def _apply(self, writes: "list[tuple[Key, bytes | None]]") -> None:
        self.ver += 1
        for key, value in writes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (self.ver, value)
            self._changes.append((self.ver, key, value))
        self._news.set()
        self._news = asyncio.Event()

    async def handle(self, call: Call) -> "tuple[int, dict] | None":
        """Answer one call."""
        name = call.path.strip("/")
        if name == "stand-in":
            return self._control(call.decode())
        await asyncio.sleep(self.answer_s)
        if self.down:
            return (503, {}) if self.down == "busy" else None
        if name == "rows-tx":
            status, data = self._handle_tx(call.decode())
        elif name == "rows-get":
            status, data = self._handle_get(call.query)
        elif name == "rows-parts":
            status, data = self._handle_parts(call.query)
        elif name == "rows-feed":
            status, data = await self._handle_feed(call.query)
        else:
            status, data = 404, {}
        if self.down:
            return (503, {}) if self.down == "busy" else None
        return status, {"ver": self.ver, **data, "now-ms": clock_ms()}

    def _control(self, body: dict) -> tuple[int, dict]:
        """Carry out what a case wants of the stand-in."""
        self.down = body.get("down", self.down)
        self.answer_s = body.get("answer-s", self.answer_s)
        if "value" in body:
            value = base64.b64decode(body["value"])
            self.put(*get_key(body), value)
        return 200, {"ver": self.ver}

    def _handle_tx(self, body: dict) -> tuple[int, dict]:
        expects = body.get("expect-rev", [])
        puts = body.get("put", [])
        removes = body.get("remove", [])
        entries = [*expects, *puts, *removes]
        parts = {entry.get("part", "") for entry in entries}
        values = [base64.b64decode(entry["value"]) for entry in puts]
        if (
            len(entries) > MAX_ENTRIES
            or any(len(value) > ROW_BYTES for value in values)
            or (len(parts) > 1 and not body.get("across"))
        ):
            return 400, {}
        written = {get_key(entry) for entry in (*puts, *removes)}
        if any(key[0] in ("op", "servers") for key in written):
            return 403, {}
        present = [
            (get_key(entry), self.rows.get(get_key(entry)))
            for entry in expects
        ]
        if any(
            entry["ver"] != (row[0] if row else 0)
            for entry, (_, row) in zip(expects, present, strict=True)
        ):
            rows = [show(key, row) for key, row in present if row]
            return 412, {"rows": rows}
        self._apply(
            [
                *(
                    (get_key(entry), value)
                    for entry, value in zip(puts, values, strict=True)
                ),
                *((get_key(entry), None) for entry in removes),
            ]
        )
        return 200, {}

    def _handle_get(self, query: dict) -> tuple[int, dict]:
        first, end = query.get("from", ""), query.get("target", "")
        keys = sorted(
            (
                key
                for key in self.rows
                if key[0] == query["table"]
                and key[1] == query.get("part", "")
                and key[2] >= first
                and (not end or key[2] < end)
            ),
            key=lambda key: key[2].encode(),
        )
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        page, size = [], 0
        for key in keys[:limit]:
            size += len(self.rows[key][1]) * 4 // 3 + 60
            if page and size > PAGE_BYTES:
                break
            page.append(show(key, self.rows[key]))
        return 200, {"rows": page, "has-more": len(page) < len(keys)}

    def _handle_parts(self, query: dict) -> tuple[int, dict]:
        parts = {key[1] for key in self.rows if key[0] == query["table"]}
        after = query.get("after")
        rest = sorted(item for item in parts if after is None or item > after)
        return 200, {"parts": rest[:PAGE_PARTS]}

    async def _handle_feed(self, query: dict) -> tuple[int, dict]:
        after = int(query["after"])
        ends = (
            time.monotonic() + min(int(query.get("wait-ms", 0)), 30000) / 1e3
        )
        while True:
            if self._changes and after < self._changes[0][0] - 1:
                return 410, {}
            rows = []
            for ver, key, value in reversed(self._changes):
                if ver <= after:
                    break
                if key[0] == query["table"]:
                    rows.append(show(key, (ver, value)))
            left_s = ends - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"rows": rows[::-1], "ver": self.ver}
            try:
                await asyncio.wait_for(self._news.wait(), left_s)
            except TimeoutError:
                continue


def clock_ms() -> int:
    """Return the store's steady clock in milliseconds."""
    return int(time.monotonic() * 1000)


async def serve(address: str) -> None:
    """Serve a store until the process is ended."""
    store = Store()
    await store.server.start(address)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1]))
