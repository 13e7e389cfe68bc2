"""Track which entries are candidates for a pool's role.

While the store is silent, a holder may extend the leases of running work only
if each entry that could have taken over confirms that it has not, so all
candidates must be known. An entry registers with a row in the pool's
partition. It competes only after every holder has had time to learn of it, and
its takeover fails if its row is gone. A holder deletes the rows of entries
that are gone, because otherwise it could never again be confirmed by all.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.poolrows import decode_row
from hickorywing.poolrows import ENTRIES
from hickorywing.poolrows import entry_key
from hickorywing.poolrows import EntryRow
from hickorywing.poolrows import LeaseRow
from hickorywing.poolrows import log_unreadable
from hickorywing.poolrows import RowUnreadable
from hickorywing.rows import Committed
from hickorywing.rows import HistoryLost
from hickorywing.rows import RowExpectation
from hickorywing.rows import RowStore
from hickorywing.rows import RowTransaction
from hickorywing.rows import RowWrite
from hickorywing.rows import StoredRow
from hickorywing.rows import StoreUnavailable
from hickorywing.tablefeed import TableFeed

__all__ = ["JOIN_WAIT_S", "Peer", "PeerRegistry"]

# If the holder doesn't learn of a new entry, for example because the holder is
# lost, the entry waits this long before it competes. This bounds the length of
# a store outage through which a holder can be confirmed by the others.
JOIN_WAIT_S = 10.0
# The clocks of processes drift apart by less than this within JOIN_WAIT_S.
CLOCK_DRIFT_MARGIN_S = 1.0
FEED_WAIT_S = 2.0
CHECK_INTERVAL_S = 5.0
RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class Peer:
    """Address of another entry, and the version of its row."""

    address: str
    version: int


class PeerRegistry:
    """The candidates of one pool according to their rows.

    ``peers`` holds the other entries by name. It has all that registered
    before ``known_s``, on this process's clock, and up to ``known_version`` of
    the store.
    """

    def __init__(
        self,
        pool: str,
        name: str,
        address: str,
        store: RowStore,
        log: DecisionLog,
    ) -> None:
        self.peers: dict[str, Peer] = {}
        self.known_s = float("-inf")
        self.known_version = 0
        self._pool = pool
        self._key = entry_key(pool, name)
        self._address = address
        self._store = store
        self._log = log
        self._own_row: EntryRow | None = None
        self._own_version = 0

    @property
    def addresses(self) -> dict[str, str]:
        """Return the addresses of the other entries by name."""
        return {name: peer.address for name, peer in self.peers.items()}

    def is_complete(self) -> bool:
        """Return whether no unknown entry can have taken the role."""
        age_s = now_s() - self.known_s
        return age_s < JOIN_WAIT_S - CLOCK_DRIFT_MARGIN_S

    def admit(
        self, lease: LeaseRow, vacant: bool
    ) -> tuple[RowExpectation, ...] | None:
        """Return what a takeover must expect, ``None`` if it has to wait.

        ``vacant`` says that there is no holder that has to know of this entry.
        """
        if self._own_row is None:
            return None
        age_s = self._store.clock_s() - self._own_row.since_s
        is_known = self._own_version <= lease.known
        if not vacant and not is_known and age_s < JOIN_WAIT_S:
            return None
        return (RowExpectation(self._key, self._own_version),)

    async def keep_registered(self) -> None:
        """Keep this entry's row in the store until cancelled."""
        while True:
            try:
                present = await self._store.read_row(self._key)
            except StoreUnavailable:
                await asyncio.sleep(RETRY_S)
                continue
            if self._adopt_own_row(present) or await self._register(present):
                await asyncio.sleep(CHECK_INTERVAL_S)
            else:
                await asyncio.sleep(RETRY_S)

    def _adopt_own_row(self, present: StoredRow | None) -> bool:
        """Adopt a stored row as this entry's own if it has its address."""
        self._own_row = None
        row = self._decode_entry(present)
        if row is None or row.address != self._address:
            return False
        self._own_row, self._own_version = row, present.version
        return True

    async def _register(self, present: StoredRow | None) -> bool:
        """Write this entry's row over ``present``; return if that worked."""
        row = EntryRow(self._address, self._store.clock_s())
        version = 0 if present is None else present.version
        answer = await self._store.commit(
            RowTransaction(
                (RowExpectation(self._key, version),),
                (RowWrite(self._key, msgspec.msgpack.encode(row)),),
            )
        )
        if not isinstance(answer, Committed):
            return False
        self._own_row, self._own_version = row, answer.version
        self._log.write(LogEvent.ENTRY_REGISTERED, pool=self._pool)
        return True

    def _decode_entry(self, row: StoredRow | None) -> EntryRow | None:
        """Decode an entry's row, ``None`` if missing or unreadable."""
        if row is None or not row.value:
            return None
        try:
            return decode_row(row.value, EntryRow)
        except RowUnreadable as error:
            log_unreadable(self._log, row, error)
            return None

    async def refresh(self) -> int | None:
        """Read the other entries; a failed read leaves them as they were.

        Returns the store version from which to follow changes, or ``None``
        after a failure.
        """
        asked_s = now_s()
        try:
            read = await self._store.read_part(ENTRIES, self._pool)
        except StoreUnavailable as error:
            self._log.write(LogEvent.PEERS_NOT_READ, error=str(error))
            return None
        self.peers = {}
        for row in read.rows:
            self._apply_row(row)
        self.known_s = asked_s
        self.known_version = read.version
        return read.version

    def _apply_row(self, row: StoredRow) -> None:
        """Apply a row of another entry of the pool, or its deletion."""
        if row.key == self._key or row.key.part != self._pool:
            return
        entry = self._decode_entry(row)
        if entry is None:
            self.peers.pop(row.key.key, None)
        else:
            self.peers[row.key.key] = Peer(entry.address, row.version)

    async def follow(self, on_change: Callable[[], None]) -> None:
        """Follow changes to the other entries until cancelled.

        ``on_change`` is called after each read of all rows and after each
        change.
        """
        feed = TableFeed(self._store, ENTRIES, FEED_WAIT_S, self._log)
        version = None
        while True:
            asked_s = now_s()
            try:
                if version is None:
                    version = await self.refresh()
                    on_change()
                if version is not None:
                    page = await feed.fetch(version)
                    version = page.version
                    for row in page.rows:
                        self._apply_row(row)
                    self.known_s = max(self.known_s, asked_s)
                    self.known_version = version
                    if page.rows:
                        on_change()
                    continue
            except HistoryLost:
                version = None
            except StoreUnavailable:
                # The feed logs each period of silence once.
                pass
            await asyncio.sleep(RETRY_S)

    async def remove(self, name: str) -> bool:
        """Delete the row of an entry that is gone; return whether it worked.

        The row stays if the entry has registered again meanwhile.
        """
        peer = self.peers.get(name)
        if peer is None:
            return False
        key = entry_key(self._pool, name)
        answer = await self._store.commit(
            RowTransaction(
                (RowExpectation(key, peer.version),), (RowWrite(key, None),)
            )
        )
        if not isinstance(answer, Committed):
            return False
        self.peers.pop(name, None)
        return True
