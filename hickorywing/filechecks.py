"""Check configuration files of any kind without a running entry."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from returns.result import Failure

from hickorywing.documents import load_document
from hickorywing.documents import Model
from hickorywing.findings import Finding
from hickorywing.inventory import check_inventory
from hickorywing.inventory import InventoryModel
from hickorywing.rules import check_rules
from hickorywing.rules import RulesModel
from hickorywing.settings import AgentSettings
from hickorywing.settings import EntrySettings
from hickorywing.settings import PoolAgentSettings
from hickorywing.settings import PoolEntrySettings
from hickorywing.settings import StandinSettings

__all__ = ["AnyDocument", "check_files"]


def check_files(files: list[Path]) -> list[Finding]:
    """Return the findings of all files.

    Rules are also checked against the inventory, if there is a valid one among
    the files.
    """
    findings: list[Finding] = []
    inventory: InventoryModel | None = None
    for path in sorted(
        files, key=lambda item: guess_kind(item) != "inventory"
    ):
        kind = guess_kind(path)
        if kind == "inventory":
            checked = _load(path, check_inventory)
            if not isinstance(checked, Failure):
                inventory = checked.unwrap()
        elif kind == "rules" and inventory is not None:
            checked = _load(path, _make_rules_check(inventory))
        elif kind == "rules":
            checked = load_document(path, RulesModel)
        else:
            checked = load_document(path, _settings_model(path))
        if isinstance(checked, Failure):
            findings.extend(checked.failure())
    return findings


class AnyDocument(Model):
    """Any JSON object; its contents are checked elsewhere."""

    model_config = {"extra": "allow"}


def _load(path: Path, check: Callable[..., Any]) -> Any:
    loaded = load_document(path, AnyDocument)
    if isinstance(loaded, Failure):
        return loaded
    return check(loaded.unwrap().model_dump(), str(path))


def _make_rules_check(inventory: InventoryModel) -> Callable[..., Any]:
    def check(data: object, source: str) -> Any:
        return check_rules(data, inventory, source)

    return check


def guess_kind(path: Path) -> str:
    """Return the kind of a file, derived from its name."""
    for kind in (
        "inventory",
        "rules",
        "pool-entry",
        "pool-agent",
        "entry",
        "agent",
    ):
        if kind in path.name:
            return kind
    return "standin"


def _settings_model(path: Path) -> type[Model]:
    models = {
        "entry": EntrySettings,
        "agent": AgentSettings,
        "pool-entry": PoolEntrySettings,
        "pool-agent": PoolAgentSettings,
    }
    return models.get(guess_kind(path), StandinSettings)
