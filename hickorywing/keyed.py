"""Requests with an idempotency key: run at most once over all entries."""

import asyncio
from collections.abc import Callable
import hashlib
import time

import msgspec

from hickorywing.dispatch import RunState
from hickorywing.metrics import Metrics
from hickorywing.policy.claims import ArrivalAnswer
from hickorywing.policy.claims import ClaimBook
from hickorywing.policy.claims import ClaimRecord
from hickorywing.policy.claims import ClaimState
from hickorywing.policy.claims import DispatchResult
from hickorywing.policy.limits import RateLimit
from hickorywing.routing import RequestRouter
from hickorywing.routing import RoutedRequest
from hickorywing.routing import RouteResult
from hickorywing.table import Check
from hickorywing.table import Commit
from hickorywing.table import commit_surely
from hickorywing.table import Committed
from hickorywing.table import Conflict
from hickorywing.table import new_nonce
from hickorywing.table import Row
from hickorywing.table import Table
from hickorywing.table import TableUnavailable
from hickorywing.table import Transaction
from hickorywing.table import Write

__all__ = ["ClaimRow", "KeyedRequests"]

CLAIM_PATIENCE_S = 4.0
SETTLE_PAUSE_S = 2.0
SETTLE_GIVE_UP_S = 3600.0
CLAIM_STALE_S = 900.0
CLAIM_WRITES_PER_S = 100.0
MAX_CLAIM_RACES = 4
UNSERVED_RETRY_S = 5.0


class StoredAnswer(msgspec.Struct, frozen=True):
    """The whole answer of a request that was run."""

    status: int
    content_type: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ClaimRow(msgspec.Struct, frozen=True):
    """One claim as a row of the table; ``at`` is wall-clock seconds."""

    state: ClaimState
    fingerprint: str
    attempt: int
    entry: str
    at: float
    answer: StoredAnswer | None = None

    def to_record(self) -> ClaimRecord:
        """Return the part that decisions use."""
        return ClaimRecord(
            self.state, self.fingerprint, self.attempt, self.entry
        )


def claim_key(customer: str, key: str) -> str:
    """Return the row of a customer's idempotency key."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"claim/{customer}/{digest}"


def fingerprint_of(request: RoutedRequest) -> str:
    """Return what tells two different requests with one key apart."""
    parts = (
        request.service.encode(),
        request.method.encode(),
        request.path.encode(),
        request.body,
    )
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class KeyedRequests:
    """Claims keys in the table around the dispatch of a request."""

    def __init__(
        self,
        entry: str,
        table: Table,
        router: RequestRouter,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self.table = table
        self.router = router
        self.metrics = metrics
        self.clock = clock
        self.book = ClaimBook(entry)
        self.rate = RateLimit(CLAIM_WRITES_PER_S)
        self._settling: set[asyncio.Task[None]] = set()

    async def handle(
        self, customer: str, key: str, request: RoutedRequest
    ) -> RouteResult:
        """Answer a keyed request."""
        wait_s = self.rate.try_take(self.clock())
        if wait_s is not None:
            self.metrics.count("claims_shed")
            return not_run("too many keyed requests", wait_s)
        name = claim_key(customer, key)
        fingerprint = fingerprint_of(request)
        for _ in range(MAX_CLAIM_RACES):
            try:
                row = await self.table.read(name)
            except TableUnavailable:
                self.metrics.count("claims_unserved")
                return not_run("the table is not serving", UNSERVED_RETRY_S)
            known = _decode(row)
            record = None if known is None else known.to_record()
            arrival = self.book.arrive(record, fingerprint)
            if arrival.answer is not ArrivalAnswer.CLAIM:
                return self._answer_known(arrival.answer, known)
            claim = arrival.record
            answer = await self._write(row, _claim_row(claim))
            if isinstance(answer, Committed):
                return await self._run(name, claim, answer.version, request)
            if not isinstance(answer, Conflict):
                return self._give_up_claim(name, row, claim)
        return not_run("the key is contended", 1.0)

    def _answer_known(
        self, answer: ArrivalAnswer, known: ClaimRow
    ) -> RouteResult:
        self.metrics.count(f"claims_{answer.replace(' ', '_')}")
        if answer is ArrivalAnswer.REPLAY:
            stored = known.answer
            return RouteResult(
                RunState.DONE,
                stored.status,
                stored.content_type,
                (*stored.headers, (b"hickorywing-replayed", b"true")),
                stored.body,
            )
        if answer is ArrivalAnswer.KEY_REUSED:
            return RouteResult(
                RunState.DONE,
                422,
                b"application/problem+json",
                (),
                b'{"title":"key reused for another request","status":422,'
                b'"run":"not run"}',
            )
        stale = time.time() - known.at > CLAIM_STALE_S
        if answer is ArrivalAnswer.IN_PROGRESS and not stale:
            return RouteResult(
                RunState.DONE,
                409,
                b"application/problem+json",
                ((b"Retry-After", b"1"),),
                b'{"title":"in progress","status":409,"run":"unknown"}',
            )
        return RouteResult(RunState.UNKNOWN, reason="outcome unknown")

    async def _run(
        self,
        name: str,
        claim: ClaimRecord,
        version: int,
        request: RoutedRequest,
    ) -> RouteResult:
        dispatch = f"{name}/{claim.attempt}"
        try:
            result = await self.router.route(request, dispatch)
        except BaseException:
            # Also when the request is cancelled: it may have run.
            self._settle_later(
                name,
                version,
                self._settled(claim, RouteResult(RunState.UNKNOWN)),
            )
            raise
        settled = self._settled(claim, result)
        answer = await self._write(Row(name, version=version), settled)
        if not isinstance(answer, Committed):
            self._settle_later(name, version, settled)
        return result

    def _settled(self, claim: ClaimRecord, result: RouteResult) -> ClaimRow:
        outcome = DispatchResult(result.run.value)
        record = self.book.settle(claim, outcome)
        stored = None
        if result.run is RunState.DONE:
            stored = StoredAnswer(
                result.status,
                result.content_type,
                list(result.headers),
                result.body,
            )
        return _claim_row(record, stored)

    def _give_up_claim(
        self, name: str, row: Row, claim: ClaimRecord
    ) -> RouteResult:
        """Refuse a request whose claim may or may not have been written."""
        self.metrics.count("claims_unserved")
        freed = _claim_row(self.book.settle(claim, DispatchResult.NOT_RUN))
        self._settle_later(name, None, freed)
        return not_run("the table is not serving", UNSERVED_RETRY_S)

    async def _write(self, row: Row, value: ClaimRow) -> Commit:
        transaction = Transaction(
            [Check(row.key, row.version)],
            [Write(row.key, msgspec.to_builtins(value))],
            new_nonce(),
        )
        return await commit_surely(self.table, transaction, CLAIM_PATIENCE_S)

    def _settle_later(
        self, name: str, version: int | None, value: ClaimRow
    ) -> None:
        work = self._settle_until_done(name, version, value)
        task = asyncio.get_running_loop().create_task(work)
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _settle_until_done(
        self, name: str, version: int | None, value: ClaimRow
    ) -> None:
        """Write the outcome once the table serves again."""
        give_up_at = self.clock() + SETTLE_GIVE_UP_S
        while self.clock() < give_up_at:
            await asyncio.sleep(SETTLE_PAUSE_S)
            try:
                row = await self.table.read(name)
            except TableUnavailable:
                continue
            known = _decode(row)
            if not _is_own_claim(known, value):
                return
            if version is not None and row.version != version:
                return
            answer = await self._write(row, value)
            if isinstance(answer, Committed):
                return
        self.metrics.count("claims_never_settled")

    async def finish(self, patience_s: float) -> None:
        """Wait for outcomes that are still to be written."""
        if self._settling:
            await asyncio.wait(self._settling, timeout=patience_s)


def not_run(reason: str, retry_after_s: float) -> RouteResult:
    """Return a true refusal."""
    return RouteResult(
        RunState.NOT_RUN, reason=reason, retry_after_s=retry_after_s
    )


def _is_own_claim(known: ClaimRow | None, value: ClaimRow) -> bool:
    return (
        known is not None
        and known.state is ClaimState.CLAIMED
        and known.entry == value.entry
        and known.attempt == value.attempt
        and known.fingerprint == value.fingerprint
    )


def _claim_row(
    record: ClaimRecord, answer: StoredAnswer | None = None
) -> ClaimRow:
    return ClaimRow(
        record.state,
        record.fingerprint,
        record.attempt,
        record.entry,
        time.time(),
        answer,
    )


def _decode(row: Row) -> ClaimRow | None:
    if row.value is None:
        return None
    return msgspec.convert(row.value, ClaimRow)
