"""Store the configuration as rows of the table.

``config/head`` is small and read often. ``config/inventory/N`` and
``config/rules/N`` are written once and never changed. Every change is one
transaction that checks the head's version, so of two operators who start from
the same version only one can succeed.
"""

from dataclasses import dataclass
import time

import msgspec
from returns.result import Failure

from hickorywing.decoding import convert
from hickorywing.findings import FindingsError
from hickorywing.inventory import check_inventory
from hickorywing.inventory import InventoryModel
from hickorywing.messages import Head
from hickorywing.policy.register import ConfigurationHead
from hickorywing.rules import check_rules
from hickorywing.rules import RulesModel
from hickorywing.table import Check
from hickorywing.table import Commit
from hickorywing.table import commit_until_known
from hickorywing.table import Committed
from hickorywing.table import new_nonce
from hickorywing.table import Row
from hickorywing.table import Table
from hickorywing.table import Transaction
from hickorywing.table import Write
from hickorywing.zonejobs import zone_key

__all__ = ["ConfigurationStore", "Documents", "HeadRead"]

HEAD_KEY = "config/head"
COMMIT_TIMEOUT_S = 8.0


@dataclass(frozen=True, slots=True)
class Documents:
    """The validated inventory and rules of one configuration."""

    inventory: InventoryModel
    rules: RulesModel

    @classmethod
    def empty(cls) -> "Documents":
        """Return the documents of a system without a configuration."""
        return cls(InventoryModel(regions=()), RulesModel())


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The head as read, and the version of its row."""

    head: ConfigurationHead
    row_version: int


@dataclass(frozen=True, slots=True)
class HeadChange:
    """An attempted change of the head, and its result."""

    head: ConfigurationHead
    answer: Commit

    @property
    def accepted(self) -> bool:
        """Return whether the change took effect."""
        return isinstance(self.answer, Committed)


def inventory_key(version: int) -> str:
    """Return the key of one version of the inventory."""
    return f"config/inventory/{version:08d}"


def rules_key(version: int) -> str:
    """Return the key of one version of the rules."""
    return f"config/rules/{version:08d}"


class ConfigurationStore:
    """Reads and changes the configuration in the table."""

    def __init__(self, table: Table) -> None:
        self.table = table

    async def read_head(self) -> HeadRead:
        """Return the present head; raise ``TableUnavailable``."""
        return _decode_head(await self.table.read(HEAD_KEY))

    async def read_documents(self, head: ConfigurationHead) -> Documents:
        """Return the inventory and rules of a head.

        Raises ``TableUnavailable``, or ``FindingsError`` if the stored
        documents do not pass the checks of this release.
        """
        rows = await self.table.read_many(
            [
                inventory_key(head.inventory_version),
                rules_key(head.rules_version),
            ]
        )
        inventory = Documents.empty().inventory
        if rows[0].value is not None:
            checked = check_inventory(rows[0].value)
            if isinstance(checked, Failure):
                raise FindingsError(checked.failure())
            inventory = checked.unwrap()
        rules = RulesModel()
        if rows[1].value is not None:
            checked_rules = check_rules(rows[1].value, inventory)
            if isinstance(checked_rules, Failure):
                raise FindingsError(checked_rules.failure())
            rules = checked_rules.unwrap()
        return Documents(inventory, rules)

    async def put_inventory(
        self, base: HeadRead, inventory: InventoryModel
    ) -> HeadChange:
        """Store a validated inventory as the next version."""
        version = base.head.version + 1
        head = _next_head(base.head, inventory_version=version)
        write = Write(inventory_key(version), inventory.model_dump())
        return await self._commit(base, head, [], [write])

    async def put_rules(self, base: HeadRead, rules: RulesModel) -> HeadChange:
        """Store validated rules as the next version."""
        version = base.head.version + 1
        head = _next_head(base.head, rules_version=version)
        write = Write(rules_key(version), rules.model_dump())
        return await self._commit(base, head, [], [write])

    async def set_zone(
        self, base: HeadRead, zone: str, is_in: bool
    ) -> HeadChange:
        """Take a zone out of service or bring it back in.

        The zone's row is written as well: the commit that starts a gang checks
        its version, so that no gang starts after the zone was taken out.
        """
        out = set(base.head.zones_out)
        out = out - {zone} if is_in else out | {zone}
        head = _next_head(base.head, zones_out=frozenset(out))
        row = await self.table.read(zone_key(zone))
        check = Check(row.key, row.version)
        write = Write(row.key, {"in": is_in, "at": time.time()})
        return await self._commit(base, head, [check], [write])

    async def set_draining(
        self, base: HeadRead, name: str, draining: bool
    ) -> HeadChange:
        """Drain a backend server, or let it take work again."""
        names = set(base.head.draining)
        names = names | {name} if draining else names - {name}
        head = _next_head(base.head, draining=frozenset(names))
        return await self._commit(base, head, [], [])

    async def _commit(
        self,
        base: HeadRead,
        head: ConfigurationHead,
        checks: list[Check],
        writes: list[Write],
    ) -> HeadChange:
        value = msgspec.to_builtins(Head.from_policy(head))
        transaction = Transaction(
            [Check(HEAD_KEY, base.row_version), *checks],
            [Write(HEAD_KEY, value), *writes],
            new_nonce(),
        )
        answer = await commit_until_known(
            self.table, transaction, COMMIT_TIMEOUT_S
        )
        return HeadChange(head, answer)


def _decode_head(row: Row) -> HeadRead:
    if row.value is None:
        return HeadRead(ConfigurationHead(0), row.version)
    head = convert(row.value, Head).to_policy()
    return HeadRead(head, row.version)


def _next_head(
    head: ConfigurationHead,
    zones_out: frozenset[str] | None = None,
    draining: frozenset[str] | None = None,
    inventory_version: int | None = None,
    rules_version: int | None = None,
) -> ConfigurationHead:
    return ConfigurationHead(
        head.version + 1,
        head.zones_out if zones_out is None else zones_out,
        head.draining if draining is None else draining,
        inventory_version or head.inventory_version,
        rules_version or head.rules_version,
    )
