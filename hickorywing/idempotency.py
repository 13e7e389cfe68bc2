"""Run requests with an idempotency key at most once over all entries.

An entry claims the key by a row of the table before it dispatches the request
and settles the claim with the outcome afterwards. A later request with the
same key gets the stored answer, or is told that the first is in progress or
that its outcome is unknown.
"""

import asyncio
from collections.abc import Callable
import hashlib
import time

import msgspec

from hickorywing.decoding import convert
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
from hickorywing.table import commit_until_known
from hickorywing.table import Committed
from hickorywing.table import Conflict
from hickorywing.table import new_nonce
from hickorywing.table import Row
from hickorywing.table import Table
from hickorywing.table import TableUnavailable
from hickorywing.table import Transaction
from hickorywing.table import Write

__all__ = ["ClaimRow", "IdempotentRequests"]

# For how long the write of a claim is retried.
CLAIM_TIMEOUT_S = 4.0
SETTLE_PAUSE_S = 2.0
SETTLE_TIMEOUT_S = 3600.0
# A claim that has been open for longer is answered as "outcome unknown"
# instead of "in progress".
CLAIM_STALE_S = 900.0
CLAIM_WRITES_PER_S = 100.0
MAX_CLAIM_RACES = 4
# The Retry-After of requests that are refused while the table doesn't answer.
UNSERVED_RETRY_S = 5.0
# Claims whose outcome is still to be stored, some with the answer.
MAX_SETTLING = 1000


class StoredAnswer(msgspec.Struct, frozen=True):
    """The complete answer of a request that was run."""

    status: int
    content_type: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ClaimRow(msgspec.Struct, frozen=True):
    """One claim as a row of the table.

    ``at`` is the time of the write in Unix seconds. ``answer`` is set once the
    request is done.
    """

    state: ClaimState
    fingerprint: str
    attempt: int
    entry: str
    at: float
    answer: StoredAnswer | None = None

    def to_record(self) -> ClaimRecord:
        """Return the part of the row that ``ClaimBook`` decides on."""
        return ClaimRecord(
            self.state, self.fingerprint, self.attempt, self.entry
        )


def claim_key(customer: str, key: str) -> str:
    """Return the key of the row for a customer's idempotency key."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"claim/{customer}/{digest}"


def compute_fingerprint(request: RoutedRequest) -> str:
    """Return a hash of the request, to detect that a key is reused.

    Each part is preceded by its length, so that different requests never
    hash the same bytes.
    """
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


class IdempotentRequests:
    """Claims idempotency keys in the table and settles the claims.

    Requests above ``CLAIM_WRITES_PER_S`` per second are refused, to bound the
    writes to the table.
    """

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
        """Return the result of a request with an idempotency key.

        If another entry claims the key between the read and the write, the row
        is read again, ``MAX_CLAIM_RACES`` times in all.
        """
        wait_s = self.rate.try_acquire(self.clock())
        if wait_s is not None:
            self.metrics.count("claims_shed")
            return not_run("too many keyed requests", wait_s)
        if len(self._settling) >= MAX_SETTLING:
            self.metrics.count("claims_shed")
            return not_run("too many outcomes to store", UNSERVED_RETRY_S)
        row_key = claim_key(customer, key)
        fingerprint = compute_fingerprint(request)
        for _ in range(MAX_CLAIM_RACES):
            try:
                row = await self.table.read(row_key)
            except TableUnavailable:
                self.metrics.count("claims_unserved")
                return not_run("the table is not serving", UNSERVED_RETRY_S)
            known = _decode(row)
            record = None if known is None else known.to_record()
            arrival = self.book.arrive(record, fingerprint)
            if arrival.answer is not ArrivalAnswer.CLAIM:
                return self._answer_claimed(arrival.answer, known)
            claim = arrival.record
            answer = await self._write(row, _claim_row(claim))
            if isinstance(answer, Committed):
                return await self._run(row_key, claim, answer.version, request)
            if not isinstance(answer, Conflict):
                return self._release_doubtful_claim(row_key, row, claim)
        return not_run("the key is contended", 1.0)

    def _answer_claimed(
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
        row_key: str,
        claim: ClaimRecord,
        version: int,
        request: RoutedRequest,
    ) -> RouteResult:
        dispatch_name = f"{row_key}/{claim.attempt}"
        try:
            result = await self.router.route(request, dispatch_name)
        except BaseException:
            # The request may have run, also if this task was cancelled.
            self._settle_later(
                row_key,
                version,
                self._settle_claim(claim, RouteResult(RunState.UNKNOWN)),
            )
            raise
        settled = self._settle_claim(claim, result)
        answer = await self._write(Row(row_key, version=version), settled)
        if not isinstance(answer, Committed):
            self._settle_later(row_key, version, settled)
        return result

    def _settle_claim(
        self, claim: ClaimRecord, result: RouteResult
    ) -> ClaimRow:
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

    def _release_doubtful_claim(
        self, row_key: str, row: Row, claim: ClaimRecord
    ) -> RouteResult:
        """Refuse a request whose claim may or may not have been written.

        If the claim was written, it is settled as not run in the background,
        so that a repeat of the request can claim the key again.
        """
        self.metrics.count("claims_unserved")
        freed = _claim_row(self.book.settle(claim, DispatchResult.NOT_RUN))
        self._settle_later(row_key, None, freed)
        return not_run("the table is not serving", UNSERVED_RETRY_S)

    async def _write(self, row: Row, value: ClaimRow) -> Commit:
        transaction = Transaction(
            [Check(row.key, row.version)],
            [Write(row.key, msgspec.to_builtins(value))],
            new_nonce(),
        )
        return await commit_until_known(
            self.table, transaction, CLAIM_TIMEOUT_S
        )

    def _settle_later(
        self, row_key: str, version: int | None, value: ClaimRow
    ) -> None:
        work = self._settle_until_done(row_key, version, value)
        task = asyncio.get_running_loop().create_task(work)
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _settle_until_done(
        self, row_key: str, version: int | None, value: ClaimRow
    ) -> None:
        """Settle a claim, with retries for ``SETTLE_TIMEOUT_S`` seconds.

        Ends as well if the row no longer holds the claim that ``value``
        settles, or has a version other than ``version``. ``None`` stands for
        any version: it is unknown whether the claim was written.
        """
        give_up_at = self.clock() + SETTLE_TIMEOUT_S
        while self.clock() < give_up_at:
            await asyncio.sleep(SETTLE_PAUSE_S)
            try:
                row = await self.table.read(row_key)
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

    async def finish(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` seconds until all claims are settled."""
        if self._settling:
            await asyncio.wait(self._settling, timeout=timeout_s)


def not_run(reason: str, retry_after_s: float) -> RouteResult:
    """Return the result of a request that certainly was not run."""
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
    return convert(row.value, ClaimRow)
