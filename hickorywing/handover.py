"""Hand over a controller's role to an entry that can reach the store.

A holder that the store rejects can't renew its lease, while other entries
could take over but would have to wait until the lease expires. The holder
therefore offers them the role, and one that can read its lease from the store
takes over. While the store answers nobody, nobody accepts. The holder then
goes on renewing the leases of running work for as long as every other entry
confirms this, because then nobody can have taken over.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.decisions import DecisionLog
from hickorywing.decoding import Count
from hickorywing.decoding import decode_json
from hickorywing.decoding import DecodingError
from hickorywing.decoding import Number
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient
from hickorywing.logevents import LogEvent
from hickorywing.peerregistry import PeerRegistry
from hickorywing.poollease import PoolLease
from hickorywing.succession import OfferOutcome
from hickorywing.web import add_route
from hickorywing.web import answer_json

__all__ = [
    "FindLease",
    "HandoverApi",
    "OfferAnswer",
    "RoleOffer",
    "offer_role",
]

# An entry reads a row from the store within a few milliseconds, or within a
# quarter of a second while the store is slow.
OFFER_TIMEOUT_S = 0.5
# Planned offers are answered from memory.
PLANNED_OFFER_TIMEOUT_S = 0.2
# Three batches reach all entries of a pool with hundreds of workers, well
# within a lease. With larger batches, more entries would become candidates for
# the same term at once.
MAX_CONCURRENT_OFFERS = 12

FindLease = Callable[[str], PoolLease | None]


class RoleOffer(msgspec.Struct, frozen=True):
    """Offers the controller role of a pool in the term ``epoch``.

    ``planned`` says that the holder stops and gives up the role, so an entry
    need not read the store before it accepts. An offer that is not ``binding``
    only asks whether the entry would accept.
    """

    pool: str
    epoch: Count
    planned: bool = False
    binding: bool = True


class OfferAnswer(msgspec.Struct, frozen=True):
    """Answers an offer.

    ``term`` is the newest epoch that the entry has read from the store or has
    held itself. ``vouches`` says that the store gave the entry no answer and
    that this process has held no newer term. An earlier process of the same
    entry may have held one. The holder got no confirmation from it in that
    time, so that process can't have declared a worker lost before the holder's
    leases there had expired. ``head_start_s`` is how long the entry lets
    stronger candidates go first. ``entry`` is the name of the entry that
    answers, empty in answers of earlier builds.
    """

    accepted: bool = False
    term: Count = 0
    vouches: bool = False
    head_start_s: Number = 0.0
    entry: str = ""


async def offer_role(
    offer: RoleOffer, peers: PeerRegistry, http: HttpClient
) -> OfferOutcome:
    """Offer the role to the other entries in batches.

    With dozens of entries, many of which may be unreachable or rejected by the
    store as well, one offer after another would take longer than the leases of
    running work. If several accept, the store lets one of them take over.
    """
    body = msgspec.json.encode(offer)
    all_confirm = True
    entries = sorted(peers.addresses.items())
    for begin in range(0, len(entries), MAX_CONCURRENT_OFFERS):
        batch = entries[begin : begin + MAX_CONCURRENT_OFFERS]
        answers = await asyncio.gather(
            *(send_offer(name, address, body, http) for name, address in batch)
        )
        for (name, _), answer in zip(batch, answers, strict=True):
            if answer.accepted:
                return OfferOutcome(successor=name)
        newest = max(answer.term for answer in answers)
        if newest > offer.epoch:
            return OfferOutcome(newer_term=newest)
        all_confirm = all_confirm and all(answer.vouches for answer in answers)
    return OfferOutcome(vouched=all_confirm)


async def hand_over_role(
    pool: str, epoch: int, peers: PeerRegistry, http: HttpClient
) -> str:
    """Hand the role to one entry; return its name, empty if none accepts.

    All entries are first asked whether they would accept. Then the role is
    offered to one at a time, strongest first: while the store is slow, the
    writes of further candidates would delay the successor's own.
    """
    inquiry = msgspec.json.encode(
        RoleOffer(pool, epoch, planned=True, binding=False)
    )
    names = list(peers.addresses)
    random.shuffle(names)
    answers = await asyncio.gather(
        *(
            send_offer(
                name,
                peers.addresses[name],
                inquiry,
                http,
                PLANNED_OFFER_TIMEOUT_S,
            )
            for name in names
        )
    )
    candidates = [
        (answer.head_start_s, place, name)
        for place, (name, answer) in enumerate(
            zip(names, answers, strict=True)
        )
        if answer.accepted
    ]
    offer = msgspec.json.encode(RoleOffer(pool, epoch, planned=True))
    for _, _, name in sorted(candidates):
        answer = await send_offer(
            name, peers.addresses[name], offer, http, PLANNED_OFFER_TIMEOUT_S
        )
        if answer.accepted:
            return name
    return ""


async def send_offer(
    name: str,
    address: str,
    body: bytes,
    http: HttpClient,
    timeout_s: float = OFFER_TIMEOUT_S,
) -> OfferAnswer:
    """Send an offer to an entry; return a refusal if it does not answer.

    Its row may have the address of another entry, which can't answer for it.
    """
    try:
        response = await http.call(
            "POST", f"http://{address}/take-role", timeout_s, body
        )
        answer = decode_json(response.body, OfferAnswer)
    except (CallError, DecodingError):
        # The caller logs the outcome of its offers.
        return OfferAnswer()
    return answer if answer.entry in ("", name) else OfferAnswer()


class HandoverApi:
    """Serves the route on which other entries offer the role.

    ``name`` is the name of this entry.
    """

    def __init__(
        self,
        name: str,
        find: FindLease,
        read_epoch: Callable[[str], Awaitable[int | None]],
        log: DecisionLog,
    ) -> None:
        self._name = name
        self._find = find
        self._read_epoch = read_epoch
        self._log = log

    def install(self, app: Application) -> None:
        """Add the route to ``app``."""
        add_route(app, "POST", "/take-role", self.handle_offer)

    async def handle_offer(self, request: Request) -> Response:
        """Accept the offer if the store still has the offered term."""
        offer = decode_json(await request.read() or b"{}", RoleOffer)
        lease = self._find(offer.pool)
        if lease is None:
            # Not a candidate yet, for example if the store was silent since
            # start.
            return self._answer(OfferAnswer(vouches=True))
        if offer.planned:
            return self._handle_planned_offer(offer, lease)
        stored_epoch = await self._read_epoch(offer.pool)
        answer = answer_offer(offer, stored_epoch, lease)
        self._log.write(
            LogEvent.ROLE_OFFERED,
            pool=offer.pool,
            epoch=offer.epoch,
            read=stored_epoch,
            accepted=answer.accepted,
            vouches=answer.vouches,
        )
        if answer.accepted:
            lease.accept_handover(offer.epoch)
        return self._answer(answer)

    def _answer(self, answer: OfferAnswer) -> Response:
        """Return a response that names this entry."""
        return answer_json(
            200 if answer.accepted else 409,
            msgspec.structs.replace(answer, entry=self._name),
        )

    def _handle_planned_offer(
        self, offer: RoleOffer, lease: PoolLease
    ) -> Response:
        """Accept the role of a holder that stops, if possible."""
        answer = OfferAnswer(
            lease.can_take_over(), lease.epoch, head_start_s=lease.head_start_s
        )
        if offer.binding:
            self._log.write(
                LogEvent.ROLE_OFFERED,
                pool=offer.pool,
                epoch=offer.epoch,
                read=None,
                accepted=answer.accepted,
                planned=True,
            )
            if answer.accepted:
                lease.accept_handover(offer.epoch, sole_candidate=True)
        return self._answer(answer)


def answer_offer(
    offer: RoleOffer, stored_epoch: int | None, lease: PoolLease
) -> OfferAnswer:
    """Accept a term that the store still has, else report the newest one.

    ``stored_epoch`` is the epoch in the store, or ``None`` if the store did
    not answer. Then the entry confirms that it has held no newer term, if that
    is so.
    """
    if stored_epoch is None:
        return OfferAnswer(
            term=lease.epoch, vouches=lease.epoch <= offer.epoch
        )
    accepted = stored_epoch == offer.epoch and not lease.released
    return OfferAnswer(accepted, max(stored_epoch, lease.epoch))
