"""Detect whether the holder of a pool's role has failed.

After the loss of the controller's VM nothing is placed until a successor has
taken over, and urgent work can wait little more than a second. A candidate
that sees no renewal for a while asks the holder itself, and has a few other
entries (witnesses) ask it too, because the candidate's own link may be the
broken one. The holder counts as gone only if none of them reaches it, or if it
answers that it does not hold the term. A slow store or a slow candidate alone
doesn't cost a holder its role.
"""

import asyncio
import enum
import random

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.decisions import DecisionLog
from hickorywing.decoding import Count
from hickorywing.decoding import decode_json
from hickorywing.decoding import DecodingError
from hickorywing.handover import FindLease
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient
from hickorywing.logevents import LogEvent
from hickorywing.peerregistry import PeerRegistry
from hickorywing.poolrows import LeaseRow
from hickorywing.web import add_route
from hickorywing.web import answer_json

__all__ = [
    "Contact",
    "HolderCheck",
    "HolderCheckAnswer",
    "HolderCheckApi",
    "is_holder_gone",
]

# An entry that is not overloaded answers from memory within a few
# milliseconds.
HOLDER_TIMEOUT_S = 0.2
# Covers the witness's own call to the holder and both ways to the witness.
WITNESS_TIMEOUT_S = 0.3
# One answer is enough; more are asked because some may be lost as well.
MAX_WITNESSES = 3


class Contact(enum.StrEnum):
    """Result of asking the holder whether it holds a term."""

    HOLDS = "holds"
    HOLDS_NOT = "holds not"
    SILENT = "silent"


class HolderCheck(msgspec.Struct, frozen=True):
    """Asks whether a process holds the term ``epoch``, or is reachable.

    ``address`` is that of the holder; only a witness needs it.
    """

    pool: str
    epoch: Count
    address: str = ""


class HolderCheckAnswer(msgspec.Struct, frozen=True):
    """Reports what the holder answered, or what a witness got from it."""

    contact: Contact


async def is_holder_gone(
    pool: str,
    lease: LeaseRow,
    peers: PeerRegistry,
    http: HttpClient,
    log: DecisionLog,
) -> bool:
    """Return whether the holder of a term is certainly gone.

    Without an answer from any other entry, silence proves nothing.
    """
    await peers.refresh()
    address = peers.addresses.get(lease.holder)
    if address is None:
        return False
    check = HolderCheck(pool, lease.epoch, address)
    others = sorted(peers.addresses.keys() - {lease.holder})
    witnesses = random.sample(others, min(MAX_WITNESSES, len(others)))
    own, *witness_answers = await asyncio.gather(
        ask_holder(check, http),
        *(
            ask_witness(peers.addresses[name], check, http)
            for name in witnesses
        ),
    )
    witness_contacts = [
        contact for contact in witness_answers if contact is not None
    ]
    gone = evaluate_contacts(own, witness_contacts)
    log.write(
        LogEvent.HOLDER_SUSPECTED,
        pool=pool,
        epoch=lease.epoch,
        holder=lease.holder,
        contact=own,
        witnesses=dict(zip(witnesses, witness_answers, strict=True)),
        gone=gone,
    )
    return gone


def evaluate_contacts(own: Contact, witness_contacts: list[Contact]) -> bool:
    """Return whether a holder is gone, judged by all contacts with it.

    ``own`` is the result of this entry, ``witness_contacts`` those of the
    witnesses that answered.
    """
    contacts = {own, *witness_contacts}
    if Contact.HOLDS in contacts:
        return False
    if Contact.HOLDS_NOT in contacts:
        return True
    return bool(witness_contacts)


async def ask_holder(check: HolderCheck, http: HttpClient) -> Contact:
    """Ask a holder whether it holds a term."""
    answer = await send_check(
        check.address, "holds-role", check, HOLDER_TIMEOUT_S, http
    )
    return Contact.SILENT if answer is None else answer.contact


async def ask_witness(
    address: str, check: HolderCheck, http: HttpClient
) -> Contact | None:
    """Have another entry ask the holder; ``None`` if it doesn't answer."""
    answer = await send_check(
        address, "reach-holder", check, WITNESS_TIMEOUT_S, http
    )
    return None if answer is None else answer.contact


async def send_check(
    address: str,
    path: str,
    check: HolderCheck,
    timeout_s: float,
    http: HttpClient,
) -> HolderCheckAnswer | None:
    """Send a check to an entry; return ``None`` if it doesn't answer."""
    try:
        answer = await http.call(
            "POST",
            f"http://{address}/{path}",
            timeout_s,
            msgspec.json.encode(check),
        )
        return decode_json(answer.body, HolderCheckAnswer)
    except (CallError, DecodingError):
        # The candidate logs the results of all its checks.
        return None


class HolderCheckApi:
    """Answers checks of this entry's terms and checks other holders."""

    def __init__(self, find: FindLease, http: HttpClient) -> None:
        self._find = find
        self._http = http

    def install(self, app: Application) -> None:
        """Add the routes to ``app``."""
        add_route(app, "POST", "/holds-role", self.handle_holds)
        add_route(app, "POST", "/reach-holder", self.handle_reach)

    async def handle_holds(self, request: Request) -> Response:
        """Answer whether this entry is serving a term."""
        check = await read_check(request)
        lease = self._find(check.pool)
        holds = lease is not None and lease.is_serving(check.epoch)
        contact = Contact.HOLDS if holds else Contact.HOLDS_NOT
        return answer_json(200, HolderCheckAnswer(contact))

    async def handle_reach(self, request: Request) -> Response:
        """Check a holder as a witness and answer with the result."""
        check = await read_check(request)
        contact = await ask_holder(check, self._http)
        return answer_json(200, HolderCheckAnswer(contact))


async def read_check(request: Request) -> HolderCheck:
    """Decode the check in a request's body."""
    return decode_json(await request.read() or b"{}", HolderCheck)
