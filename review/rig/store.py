"""A stand-in of the platform's store, by the users' page on it.

Each machine gets a port of its own, so that the store can be silent or slow
for one machine and sound for the others.
"""

import asyncio
import base64
import time
from typing import Any

from rig.http import Call
from rig.http import Listener
from rig.http import serve

__all__ = ["Store"]

MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_KEY_BYTES = 200
PAGE_ROWS = 500

Key = tuple[str, str, str]


class Store:
    """Rows in memory, served as ``rows-tx``, ``rows-get`` and ``rows-feed``.

    ``silent`` names the machines that get no answer. ``rejected`` counts the
    transactions that exceed a limit of the page; they get a 400 and change
    nothing. ``largest_row`` is the size of the largest value written.
    """

    def __init__(self, row_bytes: int = 65_536, tx_s: float = 0.003) -> None:
        self.rows: dict[Key, tuple[bytes, int]] = {}
        self.version = 0
        self.silent: set[str] = set()
        self.rejected: list[str] = []
        self.largest_row = 0
        self.commits = 0
        self._row_bytes = row_bytes
        self._tx_s = tx_s
        self._started_s = time.monotonic()
        self._changes: list[tuple[int, Key, bytes | None]] = []
        self._changed = asyncio.Event()

    async def listen(self, machine: str, port: int) -> Listener:
        """Serve one machine on a port."""

        async def handle(received: Call) -> tuple[int, Any] | None:
            if machine in self.silent:
                return None
            answer = await self._handle(received)
            return None if machine in self.silent else answer

        return await serve(port, handle)

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write or remove a row as the operator; return its version."""
        self._apply([((table, "", key), value)])
        return self.version

    def read(self, table: str, part: str, key: str) -> bytes | None:
        """Return a row's value, ``None`` if it is absent."""
        row = self.rows.get((table, part, key))
        return None if row is None else row[0]

    def _apply(self, writes: list[tuple[Key, bytes | None]]) -> None:
        self.version += 1
        for key, value in writes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self.version)
            self._changes.append((self.version, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _envelope(self, **fields: Any) -> dict[str, Any]:
        now_ms = int((time.monotonic() - self._started_s) * 1000) + 1
        return {"ver": self.version, "now-ms": now_ms, **fields}

    async def _handle(self, received: Call) -> tuple[int, Any]:
        if received.path == "/rows-tx":
            await asyncio.sleep(self._tx_s)
            return self._transact(received)
        if received.path == "/rows-get":
            return self._get(received.query)
        if received.path == "/rows-feed":
            return await self._feed(received.query)
        return 404, None

    def _find_excess(self, received: Call, body: dict[str, Any]) -> str:
        """Return the limit of the page that a transaction exceeds, if any."""
        entries = [
            entry
            for name in ("expect-rev", "put", "remove")
            for entry in body.get(name, [])
        ]
        if len(entries) > MAX_ENTRIES:
            return f"{len(entries)} entries"
        if len(received.body) > MAX_CALL_BYTES:
            return f"{len(received.body)} bytes in a call"
        for entry in entries:
            for name in ("table", "part", "key"):
                if len(entry.get(name, "").encode()) > MAX_KEY_BYTES:
                    return f"a {name} of more than {MAX_KEY_BYTES} bytes"
        for entry in body.get("put", []):
            size = len(base64.b64decode(entry["value"]))
            self.largest_row = max(self.largest_row, size)
            if size > self._row_bytes:
                return f"a row of {size} bytes"
        return ""

    def _transact(self, received: Call) -> tuple[int, Any]:
        body = received.json()
        excess = self._find_excess(received, body)
        if excess:
            self.rejected.append(excess)
            return 400, {"error": excess}
        expected = [
            (find_key(entry), entry["ver"])
            for entry in body.get("expect-rev", [])
        ]
        for key, version in expected:
            present = self.rows.get(key)
            if (0 if present is None else present[1]) != version:
                rows = [
                    encode_row(item, *self.rows[item])
                    for item, _ in expected
                    if item in self.rows
                ]
                return 412, self._envelope(rows=rows)
        writes: list[tuple[Key, bytes | None]] = [
            (find_key(entry), base64.b64decode(entry["value"]))
            for entry in body.get("put", [])
        ]
        writes += [(find_key(entry), None) for entry in body.get("remove", [])]
        self._apply(writes)
        self.commits += 1
        return 200, self._envelope()

    def _get(self, query: dict[str, str]) -> tuple[int, Any]:
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target", "")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (table, part)
            and key[2] >= first
            and (not end or key[2] < end)
        )
        rows = [encode_row(key, *self.rows[key]) for key in keys[:limit]]
        more = len(keys) > limit
        return 200, self._envelope(rows=rows, **{"has-more": more})

    async def _feed(self, query: dict[str, str]) -> tuple[int, Any]:
        table, after = query["table"], int(query["after"])
        until_s = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            rows = [
                encode_row(key, value, version)
                for version, key, value in self._changes
                if version > after and key[0] == table
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return 200, self._envelope(rows=rows)
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue


def find_key(entry: dict[str, Any]) -> Key:
    """Return the key of a row in a call."""
    return entry["table"], entry.get("part", ""), entry["key"]


def encode_row(key: Key, value: bytes | None, version: int) -> dict[str, Any]:
    """Return a row as the store's answers show it."""
    row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
    if value is None:
        return {**row, "tombstone": True}
    return {**row, "value": base64.b64encode(value).decode()}
