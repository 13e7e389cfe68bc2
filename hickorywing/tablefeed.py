"""Follow the changes of one table of the store.

A call that is pending when the store returns from an outage is never answered,
and a call that waits for changes shows nothing until there is one. While the
store is silent, a feed therefore polls it without waiting: such calls time out
soon, and the store immediately answers the first one that reaches it. When the
store answers another call of the process, a poll that was sent before is sent
again.
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

# Longer than the timeout of a call without a wait.
MAX_REACHABLE_WAIT_S = 2.0
# A few times the duration of a call that the store answers.
ANSWER_GRACE_S = 0.03


class TableFeed:
    """The changefeed of one table in one process.

    Each period of silence of the store is logged once, when it is noticed and
    when it ends. The caller keeps the version that it has reached:

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
        """Return the changes after a version, waiting for the first one.

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
        """Poll a silent store, again after it answers another call."""
        poll = asyncio.ensure_future(
            self._store.follow(self._table, version, 0.0)
        )
        reachable = asyncio.ensure_future(
            self._store.wait_reachable(MAX_REACHABLE_WAIT_S)
        )
        try:
            await asyncio.wait(
                (poll, reachable), return_when=asyncio.FIRST_COMPLETED
            )
            if not poll.done() and self._store.is_reachable():
                # The poll may have been sent just after the store's return.
                await asyncio.wait((poll,), timeout=ANSWER_GRACE_S)
            if poll.done() or not self._store.is_reachable():
                return await poll
        finally:
            reachable.cancel()
            if not poll.done():
                poll.cancel()
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
