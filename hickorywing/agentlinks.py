"""Keep a controller's links to the agents of its pool.

The row of an agent may be written by another writer, or late by an earlier
process of the agent, so its address may be wrong. A link is therefore replaced
only after the agent has answered at its new address.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
import traceback

from hickorywing.agentlink import AgentLink
from hickorywing.agentlink import LinkTerms
from hickorywing.httpclient import HttpClient
from hickorywing.logevents import LogEvent
from hickorywing.orders import WorkerReport

__all__ = ["AgentLinks"]

RETRY_S = 0.2


@dataclass(slots=True)
class WatchedLink:
    """A link and the task that watches its worker."""

    link: AgentLink
    task: asyncio.Task[None]


class AgentLinks:
    """The links of one term, one for each agent.

    ``on_report`` is called with each report. An agent whose row names a new
    address is also called there, and its link is replaced once it answers for
    its worker.
    """

    def __init__(
        self,
        terms: LinkTerms,
        http: HttpClient,
        on_report: Callable[[AgentLink, WorkerReport], None],
    ) -> None:
        self._terms = terms
        self._http = http
        self._on_report = on_report
        self._watched: dict[str, WatchedLink] = {}
        self._unconfirmed: dict[str, WatchedLink] = {}

    def __iter__(self) -> Iterator[AgentLink]:
        """Iterate over the links, without those to unconfirmed addresses."""
        return (watched.link for watched in self._watched.values())

    def set_address(self, agent: str, address: str) -> None:
        """Call an agent at the address in its row."""
        unconfirmed = self._unconfirmed.get(agent)
        if unconfirmed is not None:
            if unconfirmed.link.address == address:
                return
            unconfirmed.task.cancel()
            del self._unconfirmed[agent]
        present = self._watched.get(agent)
        if present is None:
            self._watched[agent] = self._open(agent, address, self._on_report)
        elif present.link.address != address:
            self._unconfirmed[agent] = self._open(
                agent, address, self._confirm
            )

    def close(self) -> list[asyncio.Task[None]]:
        """Stop watching and return the tasks to wait for."""
        tasks = [
            watched.task
            for links in (self._watched, self._unconfirmed)
            for watched in links.values()
        ]
        for task in tasks:
            task.cancel()
        return tasks

    def _open(
        self,
        agent: str,
        address: str,
        on_report: Callable[[AgentLink, WorkerReport], None],
    ) -> WatchedLink:
        link = AgentLink(agent, address, self._terms, self._http, on_report)
        self._terms.log.write(
            LogEvent.AGENT_FOUND, agent=agent, address=address
        )
        return WatchedLink(link, asyncio.ensure_future(self._watch(link)))

    def _confirm(self, link: AgentLink, report: WorkerReport) -> None:
        """Replace an agent's link if it answers for its worker."""
        if self._watched[link.agent].link is not link:
            if not report.worker:
                return
            previous = self._watched[link.agent]
            previous.task.cancel()
            link.adopt_leases(previous.link)
            self._watched[link.agent] = self._unconfirmed.pop(link.agent)
        self._on_report(link, report)

    async def _watch(self, link: AgentLink) -> None:
        """Watch an agent's worker; restart after an unexpected error."""
        while True:
            try:
                await link.run()
            except Exception:
                self._terms.log.write(
                    LogEvent.TASK_FAILED, trace=traceback.format_exc()
                )
                await asyncio.sleep(RETRY_S)
