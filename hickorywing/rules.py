"""Define the operators' rules for an inventory, and validate them."""

from collections.abc import Iterator
import hashlib
import hmac

from pydantic import Field
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from hickorywing.documents import check_model
from hickorywing.documents import Model
from hickorywing.findings import Finding
from hickorywing.inventory import InventoryModel
from hickorywing.policy.cells import compute_shortfall
from hickorywing.policy.cells import divide_worker
from hickorywing.policy.cells import size_index
from hickorywing.policy.cells import SIZES
from hickorywing.policy.model import Customer
from hickorywing.policy.model import Guarantee
from hickorywing.policy.model import round_up_cell

__all__ = [
    "CustomerModel",
    "GuaranteeModel",
    "RulesModel",
    "allot_guarantees",
    "check_rules",
    "hash_token",
]

TokenHash = str


class CustomerModel(Model):
    """A customer, its quota and the hashes of its bearer tokens."""

    name: str = Field(min_length=1, max_length=80, pattern=r"^[\w.-]+$")
    token_sha256: tuple[TokenHash, ...] = ()
    quota_accelerators: int | None = Field(default=None, ge=0)
    quota_cores: float | None = Field(default=None, ge=0)


class OperatorModel(Model):
    """An operator and the hashes of its bearer tokens."""

    name: str = Field(min_length=1)
    token_sha256: tuple[TokenHash, ...] = ()


class GuaranteeModel(Model):
    """``count`` cells of ``accelerators`` each that a customer may claim.

    Without a zone, the cells are allotted to the zones in the order of the
    inventory.
    """

    customer: str
    accelerators: int = Field(ge=1)
    count: int = Field(ge=1)
    zone: str | None = None


class RulesModel(Model):
    """Customers, operators and guarantees."""

    customers: tuple[CustomerModel, ...] = ()
    operators: tuple[OperatorModel, ...] = ()
    guarantees: tuple[GuaranteeModel, ...] = ()

    def find_customer(self, token: str) -> str | None:
        """Return the name of the customer that a token belongs to."""
        return _find_owner(token, self.customers)

    def find_operator(self, token: str) -> str | None:
        """Return the name of the operator that a token belongs to."""
        return _find_owner(token, self.operators)

    def policy_customers(self) -> list[Customer]:
        """Return the customers' quotas for the scheduling policy."""
        return [
            Customer(item.name, item.quota_accelerators, item.quota_cores)
            for item in self.customers
        ]


def hash_token(token: str) -> TokenHash:
    """Return the hash under which a bearer token is stored."""
    return hashlib.sha256(token.encode()).hexdigest()


def _find_owner(
    token: str, owners: tuple[CustomerModel | OperatorModel, ...]
) -> str | None:
    hashed = hash_token(token)
    found = None
    for owner in owners:
        for known in owner.token_sha256:
            if hmac.compare_digest(known, hashed):
                found = owner.name
    return found


def check_rules(
    data: object, inventory: InventoryModel, source: str = "rules"
) -> Result[RulesModel, tuple[Finding, ...]]:
    """Check the rules alone and against the inventory."""
    checked = check_model(data, RulesModel, source)
    if isinstance(checked, Failure):
        return checked
    rules = checked.unwrap()
    findings = [*_find_name_problems(rules, source)]
    findings += _find_guarantee_problems(rules, inventory, source)
    if findings:
        return Failure(tuple(findings))
    allotted = allot_guarantees(rules, inventory, source)
    if isinstance(allotted, Failure):
        return allotted
    return Success(rules)


def _find_name_problems(rules: RulesModel, source: str) -> Iterator[Finding]:
    seen: dict[str, int] = {}
    for index, customer in enumerate(rules.customers):
        if customer.name in seen:
            yield Finding(
                f"{source}: customers[{index}].name",
                f"{customer.name!r} is also customers[{seen[customer.name]}]",
                "a name that no other customer has",
            )
        seen.setdefault(customer.name, index)
    owners = [("customers", item) for item in enumerate(rules.customers)]
    owners += [("operators", item) for item in enumerate(rules.operators)]
    holder: dict[str, str] = {}
    for kind, (index, owner) in owners:
        for number, token in enumerate(owner.token_sha256):
            place = f"{source}: {kind}[{index}].token_sha256[{number}]"
            if len(token) != 64 or set(token) - set("0123456789abcdef"):
                yield Finding(
                    place, "not a SHA-256 hash", "64 hexadecimal digits"
                )
            if holder.setdefault(token, owner.name) != owner.name:
                yield Finding(
                    place,
                    f"{holder[token]!r} has the same token",
                    "a token that no other owner has",
                )


def _find_guarantee_problems(
    rules: RulesModel, inventory: InventoryModel, source: str
) -> Iterator[Finding]:
    names = {customer.name for customer in rules.customers}
    for index, guarantee in enumerate(rules.guarantees):
        place = f"{source}: guarantees[{index}]"
        if guarantee.customer not in names:
            yield Finding(
                f"{place}.customer",
                f"unknown customer {guarantee.customer!r}",
                f"one of {', '.join(sorted(names)) or 'none'}",
            )
        if guarantee.zone is not None and guarantee.zone not in (
            inventory.zones
        ):
            yield Finding(
                f"{place}.zone",
                f"unknown availability zone {guarantee.zone!r}",
                f"one of {', '.join(inventory.zones) or 'none'}",
            )
        if guarantee.accelerators not in SIZES:
            yield Finding(
                f"{place}.accelerators",
                f"{guarantee.accelerators} accelerators are not a cell size",
                f"one of {', '.join(map(str, SIZES))}",
            )


def allot_guarantees(
    rules: RulesModel, inventory: InventoryModel, source: str = "rules"
) -> Result[list[Guarantee], tuple[Finding, ...]]:
    """Assign every guaranteed cell to a zone, the same one in every process.

    Guarantees with a zone come first, then larger cells before smaller ones.
    For each guarantee that does not fit beside those before it, a finding
    names its customer and cells.
    """
    available = {zone: [0] * len(SIZES) for zone in inventory.zones}
    for worker in inventory.workers:
        for _, size in divide_worker(worker.accelerators):
            available[worker.zone][size_index(size)] += 1
    allotted_cells = {zone: [0] * len(SIZES) for zone in inventory.zones}
    allotted: list[Guarantee] = []
    findings: list[Finding] = []
    numbered = sorted(
        enumerate(rules.guarantees),
        key=lambda item: (item[1].zone is None, -item[1].accelerators),
    )
    for index, guarantee in numbered:
        missing = _allot_one(
            guarantee, inventory, available, allotted_cells, allotted
        )
        if missing:
            zone = guarantee.zone or "any availability zone"
            findings.append(
                Finding(
                    f"{source}: guarantees[{index}]",
                    f"{missing} of {guarantee.count} cells of"
                    f" {guarantee.accelerators} accelerators for"
                    f" {guarantee.customer!r} do not fit {zone}",
                    "guarantees that fit into the inventory together",
                )
            )
    return Failure(tuple(findings)) if findings else Success(allotted)


def _allot_one(
    guarantee: GuaranteeModel,
    inventory: InventoryModel,
    available: dict[str, list[int]],
    allotted_cells: dict[str, list[int]],
    allotted: list[Guarantee],
) -> int:
    """Allot the cells of one guarantee; return how many did not fit."""
    size = round_up_cell(guarantee.accelerators)
    zones = [guarantee.zone] if guarantee.zone else list(inventory.zones)
    left = guarantee.count
    for zone in zones:
        given = 0
        while left and _fits_one_more(
            available[zone], allotted_cells[zone], size
        ):
            allotted_cells[zone][size_index(size)] += 1
            given += 1
            left -= 1
        if given:
            allotted.append(Guarantee(guarantee.customer, size, given, zone))
    return left


def _fits_one_more(
    available: list[int], allotted_cells: list[int], size: int
) -> bool:
    more = list(allotted_cells)
    more[size_index(size)] += 1
    return compute_shortfall(available, more) == 0
