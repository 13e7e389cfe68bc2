"""Hand over a pool's role by calls to the other entries."""

from dataclasses import asdict

from hickorywing.decisions import DecisionLog
from hickorywing.handover import hand_over_role
from hickorywing.handover import offer_role
from hickorywing.handover import RoleOffer
from hickorywing.holderchecks import is_holder_gone
from hickorywing.httpclient import HttpClient
from hickorywing.logevents import LogEvent
from hickorywing.peerregistry import PeerRegistry
from hickorywing.poolrows import LeaseRow
from hickorywing.rows import RowExpectation
from hickorywing.succession import OfferOutcome
from hickorywing.succession import Succession

__all__ = ["PeerSuccession"]


class PeerSuccession(Succession):
    """Calls the registered entries and logs the outcome."""

    def __init__(
        self,
        pool: str,
        peers: PeerRegistry,
        http: HttpClient,
        log: DecisionLog,
    ) -> None:
        self._pool = pool
        self._peers = peers
        self._http = http
        self._log = log

    async def offer(self, epoch: int) -> OfferOutcome:
        """Offer the role to all entries.

        The confirmation of all known entries counts only while no unknown
        entry can have taken the role.
        """
        offer = RoleOffer(self._pool, epoch)
        outcome = await offer_role(offer, self._peers, self._http)
        if outcome.vouched and not self._peers.is_complete():
            outcome = OfferOutcome()
        self._log_outcome(epoch, outcome, planned=False)
        return outcome

    async def hand_over(self, epoch: int) -> bool:
        """Hand the role to the strongest entry that accepts."""
        successor = await hand_over_role(
            self._pool, epoch, self._peers, self._http
        )
        self._log_outcome(epoch, OfferOutcome(successor), planned=True)
        return bool(successor)

    def _log_outcome(
        self, epoch: int, outcome: OfferOutcome, planned: bool
    ) -> None:
        self._log.write(
            LogEvent.ROLE_HANDED_OVER
            if outcome.successor
            else LogEvent.ROLE_NOT_TAKEN,
            pool=self._pool,
            epoch=epoch,
            planned=planned,
            asked=sorted(self._peers.addresses),
            **asdict(outcome),
        )

    def admit(
        self, lease: LeaseRow, vacant: bool
    ) -> tuple[RowExpectation, ...] | None:
        """Return what a takeover must expect, ``None`` if it has to wait.

        It has to wait until the holder, if any, knows of this entry or has had
        enough time to learn of it.
        """
        return self._peers.admit(lease, vacant)

    def known_version(self) -> int:
        """Return the store version up to which all other entries are known."""
        return self._peers.known_version

    async def is_gone(self, lease: LeaseRow) -> bool:
        """Return whether neither this entry nor others can reach the holder.

        A holder that answers that it doesn't hold the term is gone as well.
        """
        return await is_holder_gone(
            self._pool, lease, self._peers, self._http, self._log
        )
