"""Remove failed entries from a pool's candidates."""

import asyncio
from collections.abc import Callable

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.holderchecks import ask_holder
from hickorywing.holderchecks import Contact
from hickorywing.holderchecks import HolderCheck
from hickorywing.httpclient import HttpClient
from hickorywing.logevents import LogEvent
from hickorywing.peerregistry import PeerRegistry
from hickorywing.policy.failuredetector import EntryFailureDetector

__all__ = ["PeerProber"]

# About ten probes a second with dozens of entries.
PROBE_INTERVAL_S = 2.0


class PeerProber:
    """Probes all other entries regularly while this one holds the role.

    An entry that has been silent for long enough is removed from the store.
    """

    def __init__(
        self,
        pool: str,
        peers: PeerRegistry,
        http: HttpClient,
        holds: Callable[[], bool],
        log: DecisionLog,
    ) -> None:
        self._pool = pool
        self._peers = peers
        self._http = http
        self._holds = holds
        self._log = log
        self._failure_detector = EntryFailureDetector()

    async def run(self) -> None:
        """Probe the entries until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            # Entries can be removed only while the store can be reached.
            if self._holds():
                await self._probe_entries()

    async def _probe_entries(self) -> None:
        """Probe all entries once and remove those that are gone.

        No term has the epoch 0, so the probe only tells whether an entry
        answers.
        """
        addresses = self._peers.addresses
        contacts = await asyncio.gather(
            *(
                ask_holder(HolderCheck(self._pool, 0, address), self._http)
                for address in addresses.values()
            )
        )
        answered = {
            name
            for name, contact in zip(addresses, contacts, strict=True)
            if contact is not Contact.SILENT
        }
        gone = self._failure_detector.record_round(
            addresses, answered, now_s()
        )
        for name in gone:
            if await self._peers.remove(name):
                self._log.write(
                    LogEvent.ENTRY_STRUCK_OUT, pool=self._pool, entry=name
                )
