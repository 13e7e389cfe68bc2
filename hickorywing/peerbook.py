"""Know which entries are candidates for a pool's role.

While the store is silent a holder may go on only if each entry that could have
taken its role says that it has not. So it must be known who could: an entry
registers with a row in the pool's partition, competes only once every holder
has had time to learn of it, and takes the role only if its row is still there.
A holder strikes out entries that are gone, or else nobody could vouch for it
any more.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.jobrows import decode_row
from hickorywing.jobrows import ENTRIES
from hickorywing.jobrows import entry_key
from hickorywing.jobrows import EntryRow
from hickorywing.jobrows import LeaseRow
from hickorywing.jobrows import log_unreadable
from hickorywing.jobrows import RowUnreadable
from hickorywing.logevents import LogEvent
from hickorywing.rows import Committed
from hickorywing.rows import HistoryLost
from hickorywing.rows import RowExpectation
from hickorywing.rows import RowStore
from hickorywing.rows import RowTransaction
from hickorywing.rows import RowWrite
from hickorywing.rows import StoredRow
from hickorywing.rows import StoreUnavailable
from hickorywing.tablefeed import TableFeed

__all__ = ["JOIN_WAIT_S", "Peer", "PeerBook"]

# An entry that a holder doesn't know, as that one is lost itself, lets this
# long pass before it competes. It bounds the outage of the store over which a
# holder can be vouched for.
JOIN_WAIT_S = 10.0
# Clocks of processes drift apart by less than this meanwhile.
CLOCK_SLACK_S = 1.0
FEED_WAIT_S = 2.0
CHECK_EVERY_S = 5.0
RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class Peer:
    """Another entry, and the version of its row."""

    address: str
    version: int


class PeerBook:
    """The candidates of one pool, as their rows say.

    ``peers`` are the others; all are known that had registered by the moment
    ``known_s``, and by the store's ``known_version``.
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
        self._own: EntryRow | None = None
        self._own_version = 0

    @property
    def addresses(self) -> dict[str, str]:
        """Return where the other entries are."""
        return {name: peer.address for name, peer in self.peers.items()}

    def is_complete(self) -> bool:
        """Tell whether no entry that isn't known can have taken the role."""
        age_s = now_s() - self.known_s
        return age_s < JOIN_WAIT_S - CLOCK_SLACK_S

    def admit(
        self, lease: LeaseRow, vacant: bool
    ) -> tuple[RowExpectation, ...] | None:
        """Return what a takeover expects, ``None`` while it has to wait.

        Where the role is ``vacant`` there is no holder that has to know of
        this entry.
        """
        if self._own is None:
            return None
        age_s = self._store.clock_s() - self._own.since_s
        is_known = self._own_version <= lease.known
        if not vacant and not is_known and age_s < JOIN_WAIT_S:
            return None
        return (RowExpectation(self._key, self._own_version),)

    async def keep_registered(self) -> None:
        """Have a row of this entry in the store, until cancelled."""
        while True:
            try:
                present = await self._store.read_row(self._key)
            except StoreUnavailable:
                await asyncio.sleep(RETRY_S)
                continue
            if self._adopt(present) or await self._register(present):
                await asyncio.sleep(CHECK_EVERY_S)
            else:
                await asyncio.sleep(RETRY_S)

    def _adopt(self, present: StoredRow | None) -> bool:
        """Take a row as this entry's own if it says the same."""
        self._own = None
        row = self._read(present)
        if row is None or row.address != self._address:
            return False
        self._own, self._own_version = row, present.version
        return True

    async def _register(self, present: StoredRow | None) -> bool:
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
        self._own, self._own_version = row, answer.version
        self._log.write(LogEvent.ENTRY_REGISTERED, pool=self._pool)
        return True

    def _read(self, row: StoredRow | None) -> EntryRow | None:
        """Return what a row says, if it says anything."""
        if row is None or not row.value:
            return None
        try:
            return decode_row(row.value, EntryRow)
        except RowUnreadable as error:
            log_unreadable(self._log, row, error)
            return None

    async def refresh(self) -> int | None:
        """Read who the others are; keep what is known if that fails.

        Returns the version from which on to follow them.
        """
        asked_s = now_s()
        try:
            read = await self._store.read_part(ENTRIES, self._pool)
        except StoreUnavailable as error:
            self._log.write(LogEvent.PEERS_NOT_READ, error=str(error))
            return None
        self.peers = {}
        for row in read.rows:
            self._take(row)
        self.known_s = asked_s
        self.known_version = read.version
        return read.version

    def _take(self, row: StoredRow) -> None:
        if row.key == self._key or row.key.part != self._pool:
            return
        entry = self._read(row)
        if entry is None:
            self.peers.pop(row.key.key, None)
        else:
            self.peers[row.key.key] = Peer(entry.address, row.version)

    async def follow(self, learned: Callable[[], None]) -> None:
        """Follow who the others are until cancelled.

        ``learned`` is called when there is another one.
        """
        feed = TableFeed(self._store, ENTRIES, FEED_WAIT_S, self._log)
        version = None
        while True:
            asked_s = now_s()
            try:
                if version is None:
                    version = await self.refresh()
                    learned()
                if version is not None:
                    page = await feed.fetch(version)
                    version = page.version
                    for row in page.rows:
                        self._take(row)
                    self.known_s = max(self.known_s, asked_s)
                    self.known_version = version
                    if page.rows:
                        learned()
                    continue
            except HistoryLost:
                version = None
            except StoreUnavailable:
                # The feed logs each silence once.
                pass
            await asyncio.sleep(RETRY_S)

    async def strike_out(self, name: str) -> bool:
        """Delete the row of an entry that is gone; tell if that was done.

        One that has registered anew meanwhile is left alone.
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
