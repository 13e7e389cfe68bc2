"""HTTP interface for operators: inventory, rules, zones and draining."""

from collections.abc import Awaitable
from collections.abc import Callable

from blacksheep import Application
from blacksheep import Request
from blacksheep import Response
import msgspec
from returns.result import Failure

from hickorywing.configstore import HeadChange
from hickorywing.configstore import HeadRead
from hickorywing.configwatch import ConfigurationWatch
from hickorywing.filters import get_caller
from hickorywing.filters import Role
from hickorywing.inventory import check_inventory
from hickorywing.jobapi import answer_findings
from hickorywing.jobapi import answer_forbidden
from hickorywing.jobapi import read_json
from hickorywing.jobapi import table_problem
from hickorywing.metrics import Metrics
from hickorywing.rules import check_rules
from hickorywing.table import Conflict
from hickorywing.table import TableUnavailable
from hickorywing.table import Unknown
from hickorywing.timeline import Timeline
from hickorywing.web import add_route
from hickorywing.web import answer_json
from hickorywing.web import answer_problem
from hickorywing.web import find_header
from hickorywing.web import Problem

__all__ = ["ConfigurationApi"]

CHANGE_RETRY_S = 5.0


class ChangeAnswer(msgspec.Struct):
    """An accepted change, and the processes that have it in force.

    ``not_confirmed`` names those that did not confirm it within ``waited_s``
    seconds.
    """

    version: int
    in_force: list[str]
    not_confirmed: list[str]
    waited_s: float


class HeadAnswer(msgspec.Struct):
    """The configuration in force at this entry."""

    version: int
    zones_out: list[str]
    draining: list[str]
    inventory: object
    rules: object


class ConfigurationApi:
    """Handles operators' changes, each with one commit to the table."""

    def __init__(
        self,
        config_watch: ConfigurationWatch,
        metrics: Metrics,
        timeline: Timeline,
    ) -> None:
        self.config_watch = config_watch
        self.store = config_watch.store
        self.metrics = metrics
        self.timeline = timeline

    def add_routes(self, app: Application) -> None:
        """Add the routes to ``app``."""
        add_route(app, "GET", "/v1/config", self.show)
        add_route(app, "PUT", "/v1/inventory", self.put_inventory)
        add_route(app, "PUT", "/v1/rules", self.put_rules)
        add_route(app, "POST", "/v1/zones/{zone}/{state}", self.set_zone)
        add_route(
            app, "POST", "/v1/backends/{name}/{state}", self.set_draining
        )

    async def show(self, request: Request) -> Response:
        """Return the configuration that this entry has in force."""
        if get_caller(request).role is not Role.OPERATOR:
            return answer_forbidden("operators only")
        documents = self.config_watch.documents
        head = self.config_watch.register.head
        return answer_json(
            200,
            HeadAnswer(
                head.version,
                sorted(head.zones_out),
                sorted(head.draining),
                documents.inventory.model_dump(),
                documents.rules.model_dump(),
            ),
        )

    async def put_inventory(self, request: Request) -> Response:
        """Check an inventory against the present rules and store it."""
        checked = check_inventory(await read_json(request))
        if isinstance(checked, Failure):
            return answer_findings(checked.failure())
        inventory = checked.unwrap()

        async def change(base: HeadRead) -> HeadChange | Response:
            documents = await self.store.read_documents(base.head)
            rules = check_rules(documents.rules.model_dump(), inventory)
            if isinstance(rules, Failure):
                return answer_findings(rules.failure())
            return await self.store.put_inventory(base, inventory)

        return await self._change(request, "inventory", change, None)

    async def put_rules(self, request: Request) -> Response:
        """Check rules against the inventory and store them."""
        data = await read_json(request)

        async def change(base: HeadRead) -> HeadChange | Response:
            documents = await self.store.read_documents(base.head)
            rules = check_rules(data, documents.inventory)
            if isinstance(rules, Failure):
                return answer_findings(rules.failure())
            return await self.store.put_rules(base, rules.unwrap())

        return await self._change(request, "rules", change, None)

    async def set_zone(
        self, request: Request, zone: str, state: str
    ) -> Response:
        """Take a zone out of service or bring it back in."""
        if state not in ("out", "in"):
            return answer_problem(Problem("no such state", 404, state))

        async def change(base: HeadRead) -> HeadChange | Response:
            documents = await self.store.read_documents(base.head)
            if zone not in documents.inventory.zones:
                known = ", ".join(documents.inventory.zones)
                return answer_problem(
                    Problem("no such zone", 404, f"one of {known}")
                )
            return await self.store.set_zone(base, zone, state == "in")

        zone_to_stop = zone if state == "out" else None
        return await self._change(
            request, f"{zone} {state}", change, zone_to_stop
        )

    async def set_draining(
        self, request: Request, name: str, state: str
    ) -> Response:
        """Drain a backend server or let it take work again."""
        if state not in ("drain", "resume"):
            return answer_problem(Problem("no such state", 404, state))

        async def change(base: HeadRead) -> HeadChange | Response:
            if name not in self.config_watch.agent_names():
                return answer_problem(Problem("no such agent", 404, name))
            return await self.store.set_draining(base, name, state == "drain")

        return await self._change(request, f"{name} {state}", change, None)

    async def _change(
        self,
        request: Request,
        what: str,
        change: Callable[[HeadRead], Awaitable[HeadChange | Response]],
        zone_to_stop: str | None,
    ) -> Response:
        """Try a change once; answer when all processes have it in force.

        ``what`` names the change in the timeline. The time limit for the
        processes is longer with ``zone_to_stop``, the zone that was taken out
        of service.
        """
        if get_caller(request).role is not Role.OPERATOR:
            return answer_forbidden("operators only")
        wanted = find_header(request.headers, b"if-match")
        try:
            base = await self.store.read_head()
            if wanted is not None and wanted != str(base.head.version):
                return conflict_problem(base.head.version)
            sent_at = self.config_watch.clock()
            result = await change(base)
        except TableUnavailable:
            return answer_problem(table_problem())
        if isinstance(result, Response):
            return result
        if not result.accepted:
            return await self._explain_refusal(result)
        self.metrics.count("config_changes")
        self.timeline.record(
            "configuration accepted", f"version {result.head.version}", what
        )
        self.config_watch.adopt(result.head, sent_at)
        return await self._wait_in_force(result.head.version, zone_to_stop)

    async def _explain_refusal(self, result: HeadChange) -> Response:
        if isinstance(result.answer, Conflict):
            self.metrics.count("config_conflicts")
            return conflict_problem(await self._present_version())
        if isinstance(result.answer, Unknown):
            return answer_problem(
                Problem(
                    "outcome unknown",
                    504,
                    "the change may have been accepted",
                    "unknown",
                    CHANGE_RETRY_S,
                )
            )
        return answer_problem(table_problem())

    async def _present_version(self) -> int | None:
        try:
            return (await self.store.read_head()).head.version
        except TableUnavailable:
            return None

    async def _wait_in_force(
        self, version: int, zone_to_stop: str | None
    ) -> Response:
        """Wait until a change is in force, and return the answer."""
        began = self.config_watch.clock()
        unconfirmed = await self.config_watch.wait_in_force(
            version, zone_to_stop
        )
        return answer_json(
            200,
            ChangeAnswer(
                version,
                self.config_watch.find_confirmed(version),
                unconfirmed,
                round(self.config_watch.clock() - began, 3),
            ),
        )


def conflict_problem(version: int | None) -> Response:
    """Return the answer to a change that another one has preceded."""
    return answer_problem(
        Problem(
            "another change came first",
            409,
            f"the present version is {version}",
            version=version,
            retry_after_s=1.0,
        )
    )
