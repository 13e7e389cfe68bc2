"""Define the inventory that operators load, and validate it."""

from collections.abc import Iterator

from pydantic import Field
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from hickorywing.documents import check_model
from hickorywing.documents import Model
from hickorywing.findings import Finding
from hickorywing.policy.model import WorkerSpec

__all__ = ["InventoryModel", "RegionModel", "WorkerModel", "check_inventory"]

MAX_ACCELERATORS = 16


class WorkerModel(Model):
    """One worker of the inventory."""

    id: str = Field(min_length=1, max_length=120)
    zone: str
    rack: str = Field(min_length=1)
    accelerators: int = 0
    cores: float
    memory_gb: float


class RegionModel(Model):
    """A region and its availability zones."""

    name: str = Field(min_length=1)
    zones: tuple[str, ...]


class InventoryModel(Model):
    """Regions, availability zones and workers."""

    regions: tuple[RegionModel, ...]
    workers: tuple[WorkerModel, ...] = ()

    @property
    def zones(self) -> tuple[str, ...]:
        """Return all availability zones in the order of the document."""
        return tuple(zone for region in self.regions for zone in region.zones)

    def worker_specs(self, zone: str) -> list[WorkerSpec]:
        """Return the workers of one availability zone."""
        return [
            WorkerSpec(
                worker.id,
                worker.zone,
                worker.rack,
                worker.accelerators,
                worker.cores,
                worker.memory_gb,
            )
            for worker in self.workers
            if worker.zone == zone
        ]


def check_inventory(
    data: object, source: str = "inventory"
) -> Result[InventoryModel, tuple[Finding, ...]]:
    """Check an inventory's schema and then its consistency."""
    checked = check_model(data, InventoryModel, source)
    if isinstance(checked, Failure):
        return checked
    inventory = checked.unwrap()
    findings = tuple(_find_problems(inventory, source))
    return Failure(findings) if findings else Success(inventory)


def _find_problems(
    inventory: InventoryModel, source: str
) -> Iterator[Finding]:
    yield from _find_zone_problems(inventory, source)
    known = set(inventory.zones)
    first_at: dict[str, int] = {}
    rack_zone: dict[str, str] = {}
    for index, worker in enumerate(inventory.workers):
        place = f"{source}: workers[{index}]"
        if worker.id in first_at:
            yield Finding(
                f"{place}.id",
                f"{worker.id!r} is also workers[{first_at[worker.id]}]",
                "an id that no other worker has",
            )
        first_at.setdefault(worker.id, index)
        if worker.zone not in known:
            yield Finding(
                f"{place}.zone",
                f"unknown availability zone {worker.zone!r}",
                f"one of {', '.join(sorted(known)) or 'none'}",
            )
        zone = rack_zone.setdefault(worker.rack, worker.zone)
        if zone != worker.zone:
            yield Finding(
                f"{place}.rack",
                f"rack {worker.rack!r} is in {zone!r} and {worker.zone!r}",
                "a rack inside one availability zone",
            )
        yield from _find_size_problems(worker, place)


def _find_zone_problems(
    inventory: InventoryModel, source: str
) -> Iterator[Finding]:
    seen: set[str] = set()
    for index, region in enumerate(inventory.regions):
        for zone in region.zones:
            if zone in seen:
                yield Finding(
                    f"{source}: regions[{index}].zones",
                    f"availability zone {zone!r} is named twice",
                    "each zone in one region",
                )
            if not zone or "/" in zone:
                yield Finding(
                    f"{source}: regions[{index}].zones",
                    f"{zone!r} is not a valid zone name",
                    "a name without a slash",
                )
            seen.add(zone)


def _find_size_problems(worker: WorkerModel, place: str) -> Iterator[Finding]:
    if not 0 <= worker.accelerators <= MAX_ACCELERATORS:
        yield Finding(
            f"{place}.accelerators",
            f"{worker.accelerators} accelerators",
            f"0 to {MAX_ACCELERATORS}",
        )
    if not 0 < worker.cores <= 4096:
        yield Finding(f"{place}.cores", f"{worker.cores:g}", "0 to 4096")
    if not 0 < worker.memory_gb <= 65536:
        yield Finding(
            f"{place}.memory_gb", f"{worker.memory_gb:g}", "0 to 65536"
        )
