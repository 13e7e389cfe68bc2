"""Hand a controller's role to an entry that can reach the store.

A holder that the store turns away can't renew its lease, while others could
take its role and would have to wait until the lease has run out. It asks them
instead, and the first one that reads the lease from the store takes over.
While the store answers nobody, nobody accepts, and the holder goes on renewing
the leases of running work as long as every other entry says so: then nobody
can have taken its role.
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
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient
from hickorywing.logevents import LogEvent
from hickorywing.peerbook import PeerBook
from hickorywing.poollease import PoolLease
from hickorywing.succession import OfferOutcome
from hickorywing.web import add_route
from hickorywing.web import answer_json

__all__ = [
    "FindLease",
    "HandOverApi",
    "OfferAnswer",
    "RoleOffer",
    "offer_role",
]

# An entry that reaches the store reads a row in a few milliseconds, or in a
# quarter of a second while the store is slow.
OFFER_TIMEOUT_S = 0.5
# An entry answers a planned offer from memory.
ASK_TIMEOUT_S = 0.2
# Three rounds reach the entries of a pool of hundreds of workers, well within
# a lease; more at a time would make as many candidates of the same term.
OFFERS_AT_ONCE = 12

FindLease = Callable[[str], PoolLease | None]


class RoleOffer(msgspec.Struct, frozen=True):
    """Offers the role of a pool's controller in a given term.

    ``planned`` says that its holder stops and will hold it no longer, so an
    entry need not read the store before it accepts. An offer that is not
    ``binding`` only asks whether an entry would accept.
    """

    pool: str
    epoch: int
    planned: bool = False
    binding: bool = True


class OfferAnswer(msgspec.Struct, frozen=True):
    """Answers an offer.

    ``term`` is the newest term that the entry has read from the store or held
    itself. ``vouches`` says that the store gave it no answer, and that it has
    held no newer term since its process began. An earlier process of the same
    entry may have, but then it was silent for the holder meanwhile: it can't
    have given up a worker before the holder's leases there had run out.
    """

    accepted: bool = False
    term: int = 0
    vouches: bool = False
    head_start_s: float = 0.0


async def offer_role(
    offer: RoleOffer, peers: PeerBook, http: HttpClient
) -> OfferOutcome:
    """Offer the role to the other entries, several at a time.

    With dozens of entries, of which many are turned away or gone as well, one
    after another would take longer than the leases of running work. Where more
    than one accepts, the store lets one of them take over.
    """
    body = msgspec.json.encode(offer)
    vouched = True
    entries = sorted(peers.addresses.items())
    for begin in range(0, len(entries), OFFERS_AT_ONCE):
        wave = entries[begin : begin + OFFERS_AT_ONCE]
        answers = await asyncio.gather(
            *(ask_entry(address, body, http) for _, address in wave)
        )
        for (name, _), answer in zip(wave, answers, strict=True):
            if answer.accepted:
                return OfferOutcome(successor=name)
        newest = max(answer.term for answer in answers)
        if newest > offer.epoch:
            return OfferOutcome(newer_term=newest)
        vouched = vouched and all(answer.vouches for answer in answers)
    return OfferOutcome(vouched=vouched)


async def pass_role(
    pool: str, epoch: int, peers: PeerBook, http: HttpClient
) -> str:
    """Hand the role to one entry; return its name, empty if none accepts.

    Only one is asked to take it, the strongest first: at a slow store every
    further write of a candidate would hold up that of the successor.
    """
    question = msgspec.json.encode(
        RoleOffer(pool, epoch, planned=True, binding=False)
    )
    names = list(peers.addresses)
    random.shuffle(names)
    answers = await asyncio.gather(
        *(
            ask_entry(peers.addresses[name], question, http, ASK_TIMEOUT_S)
            for name in names
        )
    )
    willing = [
        (answer.head_start_s, place, name)
        for place, (name, answer) in enumerate(
            zip(names, answers, strict=True)
        )
        if answer.accepted
    ]
    offer = msgspec.json.encode(RoleOffer(pool, epoch, planned=True))
    for _, _, name in sorted(willing):
        answer = await ask_entry(
            peers.addresses[name], offer, http, ASK_TIMEOUT_S
        )
        if answer.accepted:
            return name
    return ""


async def ask_entry(
    address: str,
    body: bytes,
    http: HttpClient,
    timeout_s: float = OFFER_TIMEOUT_S,
) -> OfferAnswer:
    """Return an entry's answer to an offer; silence counts as a refusal."""
    try:
        answer = await http.call(
            "POST", f"http://{address}/take-role", timeout_s, body
        )
        return msgspec.json.decode(answer.body, type=OfferAnswer)
    except (CallError, msgspec.MsgspecError):
        # The caller logs what came of its offers.
        return OfferAnswer()


class HandOverApi:
    """Takes the offers of other entries."""

    def __init__(
        self,
        find: FindLease,
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
        lease = self._find(offer.pool)
        if lease is None:
            # Not a candidate yet, as after a start while the store is silent.
            return answer_json(409, OfferAnswer(vouches=True))
        if offer.planned:
            return self._take_planned(offer, lease)
        read = await self._read_epoch(offer.pool)
        answer = answer_offer(offer, read, lease)
        self._log.write(
            LogEvent.ROLE_OFFERED,
            pool=offer.pool,
            epoch=offer.epoch,
            read=read,
            accepted=answer.accepted,
            vouches=answer.vouches,
        )
        if answer.accepted:
            lease.consent(offer.epoch)
        return answer_json(200 if answer.accepted else 409, answer)

    def _take_planned(self, offer: RoleOffer, lease: PoolLease) -> Response:
        """Accept the role of a holder that stops, if this entry can."""
        answer = OfferAnswer(
            lease.can_take(), lease.epoch, head_start_s=lease.head_start_s
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
                lease.consent(offer.epoch, alone=True)
        return answer_json(200 if answer.accepted else 409, answer)


def answer_offer(
    offer: RoleOffer, read: int | None, lease: PoolLease
) -> OfferAnswer:
    """Accept a term that the store still has; else say what is known.

    ``read`` is the term in the store, ``None`` if that is silent.
    """
    if read is None:
        return OfferAnswer(
            term=lease.epoch, vouches=lease.epoch <= offer.epoch
        )
    accepted = read == offer.epoch and not lease.released
    return OfferAnswer(accepted, max(read, lease.epoch))
