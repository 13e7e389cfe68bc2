"""Hand a controller's role to an entry that can reach the store.

A holder that the store turns away can't renew its lease, while others could
take its role and would have to wait until the lease has run out. It asks them
instead, and the first one that reads the lease from the store takes over.
While the store answers nobody, nobody accepts and the holder goes on renewing
the leases of running work.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.decisions import DecisionLog
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient
from hickorywing.jobrows import ENTRIES
from hickorywing.jobrows import entry_key
from hickorywing.rows import Committed
from hickorywing.rows import RowStore
from hickorywing.rows import RowTransaction
from hickorywing.rows import RowWrite
from hickorywing.rows import StoreUnavailable
from hickorywing.web import add_route
from hickorywing.web import answer_json

__all__ = ["HandOverApi", "PeerBook", "RoleOffer", "offer_role"]

# An entry that reaches the store reads a row in a few milliseconds, or in a
# quarter of a second while the store is slow.
OFFER_TIMEOUT_S = 0.5
RETRY_S = 0.5


class RoleOffer(msgspec.Struct, frozen=True):
    """Offers the role of a pool's controller in a given term."""

    pool: str
    epoch: int


class PeerBook:
    """Where the other entries are, as their rows say."""

    def __init__(
        self, name: str, address: str, store: RowStore, log: DecisionLog
    ) -> None:
        self.addresses: dict[str, str] = {}
        self._name = name
        self._address = address
        self._store = store
        self._log = log

    async def register(self) -> None:
        """Store this entry's own address, unless the store has it."""
        key = entry_key(self._name)
        value = self._address.encode()
        while True:
            try:
                present = await self._store.read_row(key)
            except StoreUnavailable:
                await asyncio.sleep(RETRY_S)
                continue
            if present is not None and present.value == value:
                return
            answer = await self._store.commit(
                RowTransaction((), (RowWrite(key, value),))
            )
            if isinstance(answer, Committed):
                return
            await asyncio.sleep(RETRY_S)

    async def refresh(self) -> None:
        """Read where the others are; keep what is known if that fails."""
        try:
            read = await self._store.read_part(ENTRIES, "")
        except StoreUnavailable as error:
            self._log.write("peers not read", error=str(error))
            return
        self.addresses = {
            row.key.key: row.value.decode()
            for row in read.rows
            if row.value and row.key.key != self._name
        }


async def offer_role(
    offer: RoleOffer, peers: PeerBook, http: HttpClient
) -> str:
    """Return the entry that accepted the role, empty if none did."""
    body = msgspec.json.encode(offer)

    async def ask(name: str, address: str) -> str:
        try:
            answer = await http.call(
                "POST", f"http://{address}/take-role", OFFER_TIMEOUT_S, body
            )
        except CallError:
            return ""
        return name if answer.status == 200 else ""

    # One after another, so that only one takes the role.
    for name, address in sorted(peers.addresses.items()):
        accepted = await ask(name, address)
        if accepted:
            return accepted
    return ""


class HandOverApi:
    """Takes the offers of other entries."""

    def __init__(
        self,
        find: Callable[[str], Callable[[int], None] | None],
        read_epoch: Callable[[str], Awaitable[int | None]],
        log: DecisionLog,
    ) -> None:
        self._find = find
        self._read_epoch = read_epoch
        self._log = log

    def install(self, app: Application) -> None:
        """Add the route."""
        add_route(app, "POST", "/take-role", self.handle_offer)

    async def handle_offer(self, request: Request) -> Response:
        """Accept a role if the store, as read now, still has its term."""
        offer = msgspec.json.decode(
            await request.read() or b"{}", type=RoleOffer
        )
        consent = self._find(offer.pool)
        epoch = None
        if consent is not None:
            epoch = await self._read_epoch(offer.pool)
        accepted = epoch == offer.epoch
        self._log.write(
            "role offered",
            pool=offer.pool,
            epoch=offer.epoch,
            read=epoch,
            accepted=accepted,
        )
        if not accepted:
            return answer_json(409, {})
        consent(offer.epoch)
        return answer_json(200, {})
