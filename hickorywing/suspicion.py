"""Find out whether the holder of a pool's role is still there.

Answers the loss of the controller's VM: nothing is placed until a successor
takes the role, and urgent work has little more than a second to spare. A
candidate that sees no renewal for a while asks the holder itself, and has a
few other entries ask it as well, as its own link may be what is broken. Only
a holder that none of them reaches, or that says it holds no such term, is
gone. A slow store or a slow candidate alone takes no role away.
"""

import asyncio
import enum
import random

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
import msgspec

from hickorywing.decisions import DecisionLog
from hickorywing.handover import FindLease
from hickorywing.httpclient import CallError
from hickorywing.httpclient import HttpClient
from hickorywing.jobrows import LeaseRow
from hickorywing.logevents import LogEvent
from hickorywing.peerbook import PeerBook
from hickorywing.web import add_route
from hickorywing.web import answer_json

__all__ = [
    "Contact",
    "HolderCheck",
    "SuspicionApi",
    "SuspicionAnswer",
    "is_holder_gone",
]

# An entry that isn't held up answers from memory within a few milliseconds.
ASK_TIMEOUT_S = 0.2
# Covers a witness's own call to the holder and the way there and back.
WITNESS_TIMEOUT_S = 0.3
# One that answers is enough; the others are asked as some may be lost too.
WITNESSES = 3


class Contact(enum.StrEnum):
    """What came of asking the holder."""

    HOLDS = "holds"
    HOLDS_NOT = "holds not"
    SILENT = "silent"


class HolderCheck(msgspec.Struct, frozen=True):
    """Asks whether a process holds a term, or whether it can be reached.

    ``address`` is that of the holder; only a witness needs it.
    """

    pool: str
    epoch: int
    address: str = ""


class SuspicionAnswer(msgspec.Struct, frozen=True):
    """What the holder says of itself, or a witness of the holder."""

    contact: Contact


async def is_holder_gone(
    pool: str,
    lease: LeaseRow,
    peers: PeerBook,
    http: HttpClient,
    log: DecisionLog,
) -> bool:
    """Tell whether the holder of a term is surely away.

    Without another entry that answers, it isn't sure.
    """
    await peers.refresh()
    address = peers.addresses.get(lease.holder)
    if address is None:
        return False
    check = HolderCheck(pool, lease.epoch, address)
    others = sorted(peers.addresses.keys() - {lease.holder})
    witnesses = random.sample(others, min(WITNESSES, len(others)))
    own, *seen = await asyncio.gather(
        ask_holder(check, http),
        *(
            ask_witness(peers.addresses[name], check, http)
            for name in witnesses
        ),
    )
    told = [contact for contact in seen if contact is not None]
    gone = decide(own, told)
    log.write(
        LogEvent.HOLDER_SUSPECTED,
        pool=pool,
        epoch=lease.epoch,
        holder=lease.holder,
        contact=own,
        witnesses=dict(zip(witnesses, seen, strict=True)),
        gone=gone,
    )
    return gone


def decide(own: Contact, told: list[Contact]) -> bool:
    """Tell from all contacts with a holder whether it is gone."""
    contacts = {own, *told}
    if Contact.HOLDS in contacts:
        return False
    if Contact.HOLDS_NOT in contacts:
        return True
    return bool(told)


async def ask_holder(check: HolderCheck, http: HttpClient) -> Contact:
    """Ask a holder whether it holds a term."""
    answer = await ask(check.address, "holds-role", check, ASK_TIMEOUT_S, http)
    return Contact.SILENT if answer is None else answer.contact


async def ask_witness(
    address: str, check: HolderCheck, http: HttpClient
) -> Contact | None:
    """Have another entry ask the holder; ``None`` if it doesn't answer."""
    answer = await ask(address, "reach-holder", check, WITNESS_TIMEOUT_S, http)
    return None if answer is None else answer.contact


async def ask(
    address: str,
    path: str,
    check: HolderCheck,
    timeout_s: float,
    http: HttpClient,
) -> SuspicionAnswer | None:
    """Return the answer to one question, ``None`` if there is none."""
    try:
        answer = await http.call(
            "POST",
            f"http://{address}/{path}",
            timeout_s,
            msgspec.json.encode(check),
        )
        return msgspec.json.decode(answer.body, type=SuspicionAnswer)
    except (CallError, msgspec.MsgspecError):
        # The candidate logs what came of all its questions.
        return None


class SuspicionApi:
    """Answers for this entry's own terms, and asks other holders."""

    def __init__(self, find: FindLease, http: HttpClient) -> None:
        self._find = find
        self._http = http

    def install(self, app: Application) -> None:
        """Add the routes."""
        add_route(app, "POST", "/holds-role", self.handle_holds)
        add_route(app, "POST", "/reach-holder", self.handle_reach)

    async def handle_holds(self, request: Request) -> Response:
        """Tell whether this entry serves a term."""
        check = await read_check(request)
        lease = self._find(check.pool)
        holds = lease is not None and lease.serves(check.epoch)
        contact = Contact.HOLDS if holds else Contact.HOLDS_NOT
        return answer_json(200, SuspicionAnswer(contact))

    async def handle_reach(self, request: Request) -> Response:
        """Tell whether this entry reaches the holder of a term."""
        check = await read_check(request)
        contact = await ask_holder(check, self._http)
        return answer_json(200, SuspicionAnswer(contact))


async def read_check(request: Request) -> HolderCheck:
    """Return what a request asks."""
    return msgspec.json.decode(await request.read() or b"{}", type=HolderCheck)
