"""Tests of offers of the controller's role to the other entries."""

import asyncio

import msgspec
from platformsystem import find_free_address
from poolhelpers import RecordedLog
import pytest

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.handover import hand_over_role
from hickorywing.handover import HandoverApi
from hickorywing.handover import offer_role
from hickorywing.handover import OFFER_TIMEOUT_S
from hickorywing.handover import OfferAnswer
from hickorywing.handover import RoleOffer
from hickorywing.handover import send_offer
from hickorywing.httpclient import CallTimeout
from hickorywing.httpclient import HttpAnswer
from hickorywing.httpclient import HttpClient
from hickorywing.metrics import Metrics
from hickorywing.succession import OfferOutcome
from hickorywing.web import make_app
from hickorywing.web import WebServer

# As in an installation with hundreds of workers.
ENTRIES = 35
SLOW_READ_S = 0.4
# A short lease of running work. It is not renewed until all entries have
# confirmed that none has taken the role.
LEASE_LIMIT_S = 6.0
CONFIRMS = OfferAnswer(vouches=True)


class Peers:
    """Entries that answer offers after a while, or not at all."""

    def __init__(self, entries: int = ENTRIES) -> None:
        self.addresses = {f"e{n:02}": f"h{n:02}" for n in range(entries)}
        self.answers: dict[str, OfferAnswer | None] = {}
        self.asked: list[str] = []

    async def call(
        self, method: str, url: str, timeout_s: float, body: bytes
    ) -> HttpAnswer:
        host = url.removeprefix("http://").removesuffix("/take-role")
        self.asked.append(host)
        await asyncio.sleep(SLOW_READ_S)
        answer = self.answers.get(host, CONFIRMS)
        if answer is None:
            await asyncio.sleep(timeout_s - SLOW_READ_S)
            raise CallTimeout(url)
        return HttpAnswer(200, msgspec.json.encode(answer))

    async def offer(self) -> object:
        return await offer_role(RoleOffer("p", 3), self, self)


class TestOffers:
    """The store is unreachable for some of dozens of entries, or for all."""

    async def test_all_confirm_well_within_a_lease(self):
        peers = Peers()
        began_s = now_s()
        outcome = await peers.offer()
        assert outcome.vouched
        assert len(peers.asked) == ENTRIES
        assert now_s() - began_s < LEASE_LIMIT_S / 3

    async def test_silent_entries_do_not_add_up(self):
        peers = Peers()
        for number in range(ENTRIES // 2):
            peers.answers[f"h{number:02}"] = None
        began_s = now_s()
        outcome = await peers.offer()
        assert not outcome.vouched
        rounds = (now_s() - began_s) / OFFER_TIMEOUT_S
        assert rounds < ENTRIES / 8

    async def test_first_that_accepts_ends_the_offers(self):
        peers = Peers()
        peers.answers["h02"] = OfferAnswer(accepted=True, term=3)
        outcome = await peers.offer()
        assert outcome.successor == "e02"
        assert len(peers.asked) < ENTRIES

    async def test_newer_term(self):
        peers = Peers()
        peers.answers["h30"] = OfferAnswer(term=4)
        outcome = await peers.offer()
        assert outcome.newer_term == 4

    async def test_one_that_reaches_the_store_prevents_confirmation(self):
        peers = Peers()
        peers.answers["h30"] = OfferAnswer(term=3)
        outcome = await peers.offer()
        assert not outcome.vouched
        assert not outcome.newer_term


class TestWrongAddress:
    """The row of one entry has the address of another.

    The other's answer confirms nothing about the entry that isn't asked, which
    may have taken the role.
    """

    @pytest.mark.parametrize(
        "answer",
        [
            OfferAnswer(vouches=True, entry="e01"),
            OfferAnswer(accepted=True, entry="e01"),
            OfferAnswer(term=4, entry="e01"),
        ],
    )
    async def test_answer_of_another_entry_counts_as_none(self, answer):
        peers = Peers(3)
        peers.answers["h00"] = answer
        assert await peers.offer() == OfferOutcome()

    @pytest.mark.parametrize("entry", ["e00", ""])
    async def test_answer_of_the_entry_counts(self, entry):
        peers = Peers(3)
        peers.answers["h00"] = OfferAnswer(vouches=True, entry=entry)
        assert (await peers.offer()).vouched

    async def test_entry_names_itself(self):
        log = DecisionLog("e0", "entry", Metrics("e0"), RecordedLog())
        app = make_app(log)
        HandoverApi("e0", lambda pool: None, None, log).install(app)
        server = WebServer(app, find_free_address())
        await server.start()
        http = HttpClient()
        body = msgspec.json.encode(RoleOffer("p", 3))
        answers = [
            await send_offer(name, server.address, body, http)
            for name in ("e0", "e1")
        ]
        await http.close()
        await server.stop()
        assert [answer.vouches for answer in answers] == [True, False]


class AcceptingEntries(Peers):
    """Entries that accept planned offers, some of them on weak VMs."""

    def __init__(self, head_starts_s: dict[str, float]) -> None:
        super().__init__(0)
        self.addresses = {name: name for name in head_starts_s}
        self.head_starts_s = head_starts_s
        self.lost: set[str] = set()
        self.binding_offers: list[str] = []

    async def call(
        self, method: str, url: str, timeout_s: float, body: bytes
    ) -> HttpAnswer:
        host = url.removeprefix("http://").removesuffix("/take-role")
        offer = msgspec.json.decode(body, type=RoleOffer)
        assert offer.planned
        if offer.binding and host in self.lost:
            raise CallTimeout(url)
        if offer.binding:
            self.binding_offers.append(host)
        answer = OfferAnswer(True, head_start_s=self.head_starts_s[host])
        return HttpAnswer(200, msgspec.json.encode(answer))


class TestPlannedOffers:
    """A holder that stops hands its role to one entry."""

    async def test_strongest_is_the_only_one_to_take_it(self):
        peers = AcceptingEntries({"e1": 0.3, "e2": 0.0, "e3": 0.2})
        assert await hand_over_role("p", 3, peers, peers) == "e2"
        assert peers.binding_offers == ["e2"]

    async def test_next_one_if_it_is_lost_meanwhile(self):
        peers = AcceptingEntries({"e1": 0.3, "e2": 0.0, "e3": 0.2})
        peers.lost = {"e2"}
        assert await hand_over_role("p", 3, peers, peers) == "e3"

    async def test_nobody_there(self):
        peers = AcceptingEntries({})
        assert await hand_over_role("p", 3, peers, peers) == ""
