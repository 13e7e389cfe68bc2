"""Follow the changes of one table of the store, one call after another.

Answers outages of the store. A call that is under way when the store comes
back is never answered, and one that waits for news proves nothing until there
is some. After a silence a feed therefore asks without waiting: such calls are
given up soon, and the store answers the first that reaches it at once. One
that was sent before another call of the process was answered is sent again.
"""

import asyncio

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.rows import FeedPage
from hickorywing.rows import HistoryLost
from hickorywing.rows import RowStore
from hickorywing.rows import StoreUnavailable

__all__ = ["TableFeed"]

# Longer than a call without a wait takes to be given up.
MAX_REACHABLE_WAIT_S = 2.0
# A few times what a store that answers takes for a call.
ANSWER_GRACE_S = 0.03


class TableFeed:
    """The feed of one table at one process.

    Each silence of the store is logged once, when it is noticed and when it
    is over. A caller keeps the version that it has got to:

        page = await feed.fetch(version)
        version = page.version
    """

    def __init__(
        self, store: RowStore, table: str, wait_s: float, log: DecisionLog
    ) -> None:
        self._store = store
        self._table = table
        self._wait_s = wait_s
        self._log = log
        self._silent_since_s: float | None = None

    async def fetch(self, version: int) -> FeedPage:
        """Return what changed after a version, waiting for the first change.

        Raises ``StoreUnavailable`` if the store gave no answer, and
        ``HistoryLost`` if the table has to be read again.
        """
        asked_s = now_s()
        wait_s = self._wait_s
        try:
            if self._silent_since_s is None:
                page = await self._store.follow(self._table, version, wait_s)
            else:
                page = await self._poll_silent_store(version)
        except StoreUnavailable as error:
            self._record_silence(asked_s, str(error))
            raise
        except HistoryLost:
            self._record_answer()
            raise
        self._record_answer()
        return page

    async def _poll_silent_store(self, version: int) -> FeedPage:
        """Ask a silent store, once more when it answers another call."""
        asking = asyncio.ensure_future(
            self._store.follow(self._table, version, 0.0)
        )
        waiting = asyncio.ensure_future(
            self._store.wait_reachable(MAX_REACHABLE_WAIT_S)
        )
        try:
            await asyncio.wait(
                (asking, waiting), return_when=asyncio.FIRST_COMPLETED
            )
            if not asking.done() and self._store.is_reachable():
                # It may have been sent just after the store's return.
                await asyncio.wait((asking,), timeout=ANSWER_GRACE_S)
            if asking.done() or not self._store.is_reachable():
                return await asking
        finally:
            waiting.cancel()
            if not asking.done():
                asking.cancel()
        return await self._store.follow(self._table, version, 0.0)

    def _record_silence(self, since_s: float, reason: str) -> None:
        if self._silent_since_s is None:
            self._silent_since_s = since_s
            self._log.write(
                LogEvent.FEED_SILENT, table=self._table, reason=reason
            )

    def _record_answer(self) -> None:
        if self._silent_since_s is not None:
            self._log.write(
                LogEvent.FEED_ANSWERS,
                table=self._table,
                silent_s=round(now_s() - self._silent_since_s, 3),
            )
            self._silent_since_s = None
