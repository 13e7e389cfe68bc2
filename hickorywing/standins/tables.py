"""A stand-in for the table service, in memory and with injected faults."""

import asyncio
from dataclasses import dataclass
import time

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
import msgspec
from sortedcontainers import SortedDict

from hickorywing.table import Commit
from hickorywing.table import CommitAnswer
from hickorywing.table import Committed
from hickorywing.table import Conflict
from hickorywing.table import KeysRequest
from hickorywing.table import Refused
from hickorywing.table import Row
from hickorywing.table import RowsAnswer
from hickorywing.table import ScanRequest
from hickorywing.table import Table
from hickorywing.table import TableUnavailable
from hickorywing.table import Transaction
from hickorywing.table import Unknown
from hickorywing.web import answer_json

__all__ = ["Faults", "MemoryTable", "make_table_app"]

WRITES_PER_S = 300.0
READS_PER_S = 2000.0


class Faults(msgspec.Struct):
    """The present faults of the service.

    ``down`` fails reads and commits, and ``delay_s`` delays them.
    ``lose_answers`` is the number of next commits that take effect but whose
    answer is lost.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


@dataclass(slots=True)
class TokenBucket:
    """A rate limit in operations per second, with bursts of one second.

    ``refilled_at`` is in monotonic seconds.
    """

    rate: float
    tokens: float = 0.0
    refilled_at: float = 0.0

    def reserve(self, amount: int, now: float) -> float:
        """Take tokens; return the seconds until they are available."""
        self.tokens = min(
            self.rate, self.tokens + (now - self.refilled_at) * self.rate
        )
        self.refilled_at = now
        self.tokens -= amount
        return max(0.0, -self.tokens / self.rate)


class MemoryTable(Table):
    """Keeps versioned rows, and counts row reads and tried commits."""

    def __init__(self) -> None:
        self.rows: SortedDict = SortedDict()
        self.version = 0
        self.faults = Faults()
        self.reads = 0
        self.commits = 0

    def apply(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction atomically if all its checks hold."""
        failed = []
        for check in transaction.checks:
            row = self.rows.get(check.key, Row(check.key))
            if row.version != check.version:
                failed.append(row)
        if failed:
            return Conflict(tuple(failed))
        self.version += 1
        for write in transaction.writes:
            if write.value is None:
                self.rows.pop(write.key, None)
                continue
            self.rows[write.key] = Row(
                write.key, write.value, self.version, transaction.nonce
            )
        return Committed(self.version)

    async def _apply_faults(self) -> None:
        if self.faults.down:
            raise TableUnavailable("the table is down")
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)

    async def read_many(self, keys: list[str]) -> list[Row]:
        """Return rows by key; absent ones have version 0."""
        self.reads += len(keys)
        await self._apply_faults()
        return [self.rows.get(key, Row(key)) for key in keys]

    async def scan(self, prefix: str) -> list[Row]:
        """Return all rows whose key has a prefix."""
        await self._apply_faults()
        return self.scan_page(ScanRequest(prefix, limit=1 << 30))

    def scan_page(self, request: ScanRequest) -> list[Row]:
        """Return one page of a scan, in order of keys."""
        found = []
        start = request.after or request.prefix
        for key in self.rows.irange(start):
            if not key.startswith(request.prefix):
                break
            if key != request.after:
                found.append(self.rows[key])
            if len(found) >= request.limit:
                break
        self.reads += max(1, len(found))
        return found

    async def commit(self, transaction: Transaction) -> Commit:
        """Try a transaction once, with the present faults."""
        self.commits += 1
        try:
            await self._apply_faults()
        except TableUnavailable:
            return Refused()
        answer = self.apply(transaction)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Unknown()
        return answer


def make_table_app(table: MemoryTable) -> Application:
    """Return the table service as a web application with rate limits."""
    app = Application()
    writes = TokenBucket(WRITES_PER_S, WRITES_PER_S, time.monotonic())
    reads = TokenBucket(READS_PER_S, READS_PER_S, time.monotonic())

    async def read_body(request: Request) -> bytes:
        return await request.read() or b""

    @app.router.post("/rows")
    async def read_rows(request: Request) -> Response:
        keys = msgspec.json.decode(await read_body(request), type=KeysRequest)
        await asyncio.sleep(reads.reserve(len(keys.keys), time.monotonic()))
        try:
            rows = await table.read_many(keys.keys)
        except TableUnavailable:
            return Response(503)
        return answer_json(200, RowsAnswer(rows))

    @app.router.post("/scan")
    async def scan_rows(request: Request) -> Response:
        scan_request = msgspec.json.decode(
            await read_body(request), type=ScanRequest
        )
        if table.faults.down:
            return Response(503)
        await asyncio.sleep(table.faults.delay_s)
        rows = table.scan_page(scan_request)
        await asyncio.sleep(reads.reserve(len(rows) or 1, time.monotonic()))
        return answer_json(200, RowsAnswer(rows))

    @app.router.post("/commit")
    async def commit_rows(request: Request) -> Response:
        transaction = msgspec.json.decode(
            await read_body(request), type=Transaction
        )
        size = max(1, len(transaction.writes))
        await asyncio.sleep(writes.reserve(size, time.monotonic()))
        answer = await table.commit(transaction)
        if isinstance(answer, Refused):
            return Response(503)
        if isinstance(answer, Unknown):
            return Response(500)
        if isinstance(answer, Committed):
            return answer_json(200, CommitAnswer(True, answer.version))
        return answer_json(200, CommitAnswer(False, rows=list(answer.rows)))

    @app.router.post("/faults")
    async def set_faults(request: Request) -> Response:
        table.faults = msgspec.json.decode(
            await read_body(request), type=Faults
        )
        return answer_json(200, table.faults)

    @app.router.get("/dump")
    async def dump_rows(request: Request) -> Response:
        return answer_json(200, RowsAnswer(list(table.rows.values())))

    return app
