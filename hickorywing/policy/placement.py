"""Choose the cells in which the tasks of a gang are placed.

There are three searches: for idle cells, for cells whose holders may be
evicted, and for cells of the customer's own guarantee. Each returns a plan
and changes nothing. ``size`` is the cell size of one task in accelerators, a
power of two.
"""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field

from hickorywing.policy.cells import Cell
from hickorywing.policy.cells import CellIndex
from hickorywing.policy.cells import compute_shortfall
from hickorywing.policy.cells import Counts
from hickorywing.policy.cells import size_index
from hickorywing.policy.cells import WorkerCells
from hickorywing.policy.guarantees import GuaranteedCell
from hickorywing.policy.guarantees import GuaranteeLedger
from hickorywing.policy.model import Adjacency
from hickorywing.policy.model import JobSpec

__all__ = [
    "ClaimPlan",
    "EvictionPlan",
    "EvictionCost",
    "find_claim",
    "find_evictable",
    "find_idle",
    "find_idle_first_fit",
]

# Gives the cost of evicting a job, or ``None`` if it must not be evicted.
EvictionCost = Callable[[str], float | None]


@dataclass(slots=True)
class EvictionPlan:
    """Cells for a gang, and the jobs to evict from them first."""

    cells: list[Cell] = field(default_factory=list)
    victims: set[str] = field(default_factory=set)


@dataclass(slots=True)
class ClaimPlan(EvictionPlan):
    """Cells of a guarantee for a gang, with the bindings they need.

    ``owners`` holds the guaranteed cell of each entry of ``cells``;
    ``bindings`` holds the guaranteed cells to bind first, each with the cell
    that it is bound to.
    """

    owners: list[GuaranteedCell] = field(default_factory=list)
    bindings: list[tuple[GuaranteedCell, Cell]] = field(default_factory=list)


# Limits of one search: pricing stops after this many cells or four for each
# task, whichever is more, and after this many scopes.
MIN_PRICED_CELLS = 32
MAX_SCOPES_PRICED = 16


@dataclass(slots=True)
class Scope:
    """A part of the zone that may hold all tasks of a gang.

    It is the zone, a rack or a worker, by the gang's adjacency.
    """

    workers: list[WorkerCells]
    counts: Counts


def find_scopes(index: CellIndex, adjacency: Adjacency) -> Iterator[Scope]:
    """Yield the zone, each rack or each worker, as the adjacency requires."""
    if adjacency is Adjacency.ZONE:
        yield Scope(list(index.workers.values()), index.counts)
    elif adjacency is Adjacency.RACK:
        for rack in index.racks.values():
            yield Scope(list(rack.workers.values()), rack.counts)
    else:
        for worker in index.workers.values():
            yield Scope([worker], worker.counts)


def find_idle(index: CellIndex, spec: JobSpec, size: int) -> list[Cell] | None:
    """Choose idle cells by best fit, or return ``None``.

    To limit fragmentation, workers and cells with the least idle space around
    them come first. If the gang has to share a rack or a worker, the one with
    the fewest idle accelerators that can hold it is used.
    """
    position = size_index(size)
    if index.counts.idle[position] < spec.tasks:
        return None
    if spec.adjacency is Adjacency.ZONE:
        return _take_idle(index.iterate_best_fit(size), spec.tasks, size)
    scopes = [
        scope
        for scope in find_scopes(index, spec.adjacency)
        if scope.counts.idle[position] >= spec.tasks
    ]
    if not scopes:
        return None
    least_idle = min(scopes, key=lambda scope: scope.counts.idle[0])
    ordered = sorted(
        least_idle.workers, key=lambda worker: worker.maximal_idle_sizes
    )
    return _take_idle(iter(ordered), spec.tasks, size)


def find_idle_first_fit(
    index: CellIndex, spec: JobSpec, size: int
) -> list[Cell] | None:
    """Choose the first idle cells in inventory order, or return ``None``.

    This is a baseline for comparisons.
    """
    position = size_index(size)
    for scope in find_scopes(index, spec.adjacency):
        if scope.counts.idle[position] >= spec.tasks:
            return _take_idle(iter(scope.workers), spec.tasks, size, False)
    return None


def _take_idle(
    workers: Iterator[WorkerCells], tasks: int, size: int, tight: bool = True
) -> list[Cell] | None:
    """Take idle cells worker by worker, or return ``None`` if too few.

    With ``tight``, those cells of a worker come first whose largest enclosing
    idle cell is smallest.
    """
    position = size_index(size)
    taken: list[Cell] = []
    for worker in workers:
        if worker.counts.idle[position] == 0:
            continue
        idle = [cell for cell in worker.cells(size) if worker.is_idle(cell)]
        if tight and len(idle) > 1:
            idle.sort(key=lambda cell: _enclosing_idle(worker, cell))
        taken.extend(idle[: tasks - len(taken)])
        if len(taken) == tasks:
            return taken
    return None


def _enclosing_cells(worker: WorkerCells, cell: Cell) -> Iterator[Cell]:
    """Yield the larger cells that contain a cell, smallest first."""
    for offset, root in worker.roots:
        if not offset <= cell.offset < offset + root:
            continue
        size = cell.size * 2
        while size <= root:
            start = offset + (cell.offset - offset) // size * size
            yield Cell(cell.worker_id, start, size)
            size *= 2


def _enclosing_idle(worker: WorkerCells, cell: Cell) -> int:
    """Return the size of the largest idle cell that contains an idle cell."""
    best = cell.size
    for enclosing in _enclosing_cells(worker, cell):
        if not worker.is_idle(enclosing):
            break
        best = enclosing.size
    return best


def find_evictable(
    index: CellIndex, spec: JobSpec, size: int, cost_of: EvictionCost
) -> EvictionPlan | None:
    """Choose the cells whose holders cost least to evict, or ``None``.

    ``cost_of`` gives the cost of evicting a whole job, or ``None`` if it must
    not be evicted. Cells of guaranteed tasks are never chosen. At most
    ``MAX_SCOPES_PRICED`` scopes are compared, those with the most idle
    accelerators.
    """
    position = size_index(size)
    if index.counts.evictable[position] < spec.tasks:
        return None
    best: EvictionPlan | None = None
    best_cost = float("inf")
    for scope in _most_idle_scopes(index, spec, position):
        priced = _price_cells(
            scope.workers, size, cost_of, max(MIN_PRICED_CELLS, 4 * spec.tasks)
        )
        if len(priced) < spec.tasks:
            continue
        plan, cost = _pick_cheapest(priced, spec.tasks, cost_of)
        if cost < best_cost:
            best, best_cost = plan, cost
    return best


def _most_idle_scopes(
    index: CellIndex, spec: JobSpec, position: int
) -> list[Scope]:
    """Return the scopes to price, the most idle accelerators first."""
    if spec.adjacency is Adjacency.ZONE:
        return [Scope(index.most_idle_workers(), index.counts)]
    scopes = [
        scope
        for scope in find_scopes(index, spec.adjacency)
        if scope.counts.evictable[position] >= spec.tasks
    ]
    scopes.sort(key=lambda scope: -scope.counts.idle[0])
    return scopes[:MAX_SCOPES_PRICED]


@dataclass(slots=True)
class PricedCell:
    """A cell with the jobs that hold it and the cost of evicting them.

    ``owner`` is the guaranteed cell that contains it, in a claim.
    """

    cost: float
    cell: Cell
    holders: set[str]
    owner: GuaranteedCell | None = None
    binding: Cell | None = None


def _price_cells(
    workers: list[WorkerCells], size: int, cost_of: EvictionCost, limit: int
) -> list[PricedCell]:
    """Price cells worker by worker, until at least ``limit`` are priced.

    Cells from which a job must not be evicted are left out.
    """
    position = size_index(size)
    priced: list[PricedCell] = []
    for worker in workers:
        if worker.counts.evictable[position] == 0:
            continue
        for cell in worker.cells(size):
            found = _price_cell(worker, cell, cost_of)
            if found is not None:
                priced.append(found)
        if len(priced) >= limit:
            break
    return priced


def _price_cell(
    worker: WorkerCells, cell: Cell, cost_of: EvictionCost
) -> PricedCell | None:
    if not worker.is_evictable(cell):
        return None
    holders = worker.holders(cell)
    total = 0.0
    for job in holders:
        cost = cost_of(job)
        if cost is None:
            return None
        total += cost
    return PricedCell(total, cell, holders)


def _pick_cheapest(
    priced: list[PricedCell], tasks: int, cost_of: EvictionCost
) -> tuple[EvictionPlan, float]:
    """Return the plan of the cheapest cells, and its cost.

    A job that holds several of the cells counts once in the total.
    """
    priced.sort(key=lambda item: item.cost)
    plan = EvictionPlan()
    for item in priced[:tasks]:
        plan.cells.append(item.cell)
        plan.victims |= item.holders
    cost = sum(cost_of(job) or 0.0 for job in plan.victims)
    return plan, cost


def find_claim(
    index: CellIndex,
    ledger: GuaranteeLedger,
    spec: JobSpec,
    size: int,
    cost_of: EvictionCost,
) -> ClaimPlan | None:
    """Choose cells in the customer's own guarantee, or return ``None``.

    Cells that the guarantee is bound to already are used first, then unbound
    guaranteed cells are bound to further ones. Idle cells are preferred;
    borrowers in the chosen cells become victims. Of the scopes that can hold
    the whole gang, the one with the fewest victims is chosen.
    """
    owned = ledger.cells.get(spec.customer)
    if not owned or not _guarantee_holds_gang(owned, spec, size):
        return None
    best: ClaimPlan | None = None
    position = size_index(size)
    for scope in _claim_scopes(index, owned, spec, size):
        if scope.counts.evictable[position] < spec.tasks:
            continue
        plan = _claim_in_scope(scope, ledger, spec, size, cost_of)
        if plan is None:
            continue
        if best is None or len(plan.victims) < len(best.victims):
            best = plan
        if not best.victims:
            break
    return best


def _claim_scopes(
    index: CellIndex, owned: list[GuaranteedCell], spec: JobSpec, size: int
) -> Iterator[Scope]:
    """Yield the scopes in which the customer has or may bind cells.

    Of those without a bound cell, at most ``MAX_SCOPES_PRICED`` are yielded.
    """
    if spec.adjacency is Adjacency.ZONE:
        yield Scope(index.most_idle_workers(), index.counts)
        return
    bound_on = {cell.bound.worker_id for cell in owned if cell.bound}
    unbound_sizes = [cell.size for cell in owned if not cell.bound]
    unbound_sizes = [
        cell_size for cell_size in unbound_sizes if cell_size >= size
    ]
    smallest_unbound = (
        size_index(min(unbound_sizes)) if unbound_sizes else None
    )
    bindable_scopes = 0
    for scope in find_scopes(index, spec.adjacency):
        may_bind = (
            smallest_unbound is not None
            and scope.counts.unclaimed[smallest_unbound] > 0
        )
        names = (worker.spec.worker_id for worker in scope.workers)
        if not bound_on.isdisjoint(names):
            yield scope
        elif may_bind and bindable_scopes < MAX_SCOPES_PRICED:
            bindable_scopes += 1
            yield scope


def _guarantee_holds_gang(
    owned: list[GuaranteedCell], spec: JobSpec, size: int
) -> bool:
    fitting_tasks = 0
    for cell in owned:
        if cell.size >= size:
            fitting_tasks += cell.size // size
    return fitting_tasks >= spec.tasks


def _claim_in_scope(
    scope: Scope,
    ledger: GuaranteeLedger,
    spec: JobSpec,
    size: int,
    cost_of: EvictionCost,
) -> ClaimPlan | None:
    plan = ClaimPlan()
    inside = {worker.spec.worker_id: worker for worker in scope.workers}
    _use_bound_cells(plan, inside, ledger, spec, size, cost_of)
    if len(plan.cells) < spec.tasks:
        _bind_more_cells(plan, scope, ledger, spec, size, cost_of)
    if len(plan.cells) < spec.tasks:
        return None
    return plan


def _use_bound_cells(
    plan: ClaimPlan,
    inside: dict[str, WorkerCells],
    ledger: GuaranteeLedger,
    spec: JobSpec,
    size: int,
    cost_of: EvictionCost,
) -> None:
    """Add cells that the customer's guarantee is bound to already.

    Of the idle ones, those in the smallest idle cell come first.
    """
    priced: list[PricedCell] = []
    for owner in ledger.cells[spec.customer]:
        bound = owner.bound
        if bound is None or owner.size < size:
            continue
        worker = inside.get(bound.worker_id)
        if worker is None or not worker.offered:
            continue
        for cell in bound.divide(size):
            found = _price_cell(worker, cell, cost_of)
            if found is not None:
                found.owner = owner
                if not found.holders:
                    found.cost = _enclosing_idle(worker, cell) / 1000
                priced.append(found)
    priced.sort(key=lambda item: item.cost)
    for item in priced[: spec.tasks]:
        _add_to_plan(plan, item)


def _add_to_plan(plan: ClaimPlan, item: PricedCell) -> None:
    plan.cells.append(item.cell)
    plan.victims |= item.holders
    plan.owners.append(item.owner)


def _bind_more_cells(
    plan: ClaimPlan,
    scope: Scope,
    ledger: GuaranteeLedger,
    spec: JobSpec,
    size: int,
    cost_of: EvictionCost,
) -> None:
    """Bind unbound guaranteed cells, smallest first, until the gang fits."""
    unbound_cells = [
        cell for cell in ledger.cells[spec.customer] if not cell.bound
    ]
    unbound_cells = [cell for cell in unbound_cells if cell.size >= size]
    unbound_cells.sort(key=lambda cell: cell.size)
    headroom = Headroom(
        list(ledger.index.counts.maximal_unclaimed),
        list(ledger.index.potential),
        list(ledger.unbound),
    )
    taken: set[Cell] = set()
    candidates: dict[int, list[PricedCell]] = {}
    for owner in unbound_cells:
        if len(plan.cells) >= spec.tasks:
            return
        if owner.size not in candidates:
            candidates[owner.size] = _unclaimed_cells(
                scope,
                owner.size,
                size,
                spec.tasks - len(plan.cells),
                cost_of,
            )
        chosen = _choose_binding(
            candidates[owner.size], taken, ledger, headroom
        )
        if chosen is None:
            continue
        choice, headroom = chosen
        taken.add(choice.cell)
        plan.bindings.append((owner, choice.cell))
        _use_new_binding(plan, scope, owner, choice.cell, spec, size, cost_of)


def _unclaimed_cells(
    scope: Scope, owner_size: int, size: int, tasks: int, cost_of: EvictionCost
) -> list[PricedCell]:
    """Price the unclaimed cells that a guaranteed cell could be bound to.

    The cost is the mean eviction cost of the parts that the tasks would use;
    borrowers in the rest of the cell are not evicted. Between equal costs,
    cells with fewer idle parts and less unclaimed space around come first.
    """
    position = size_index(owner_size)
    found: list[PricedCell] = []
    for worker in scope.workers:
        if worker.counts.unclaimed[position] == 0:
            continue
        for cell in worker.cells(owner_size):
            if not worker.is_unclaimed(cell):
                continue
            inner = [
                priced
                for priced in (
                    _price_cell(worker, part, cost_of)
                    for part in cell.divide(size)
                )
                if priced is not None
            ]
            if not inner:
                continue
            inner.sort(key=lambda item: item.cost)
            used = inner[: min(tasks, owner_size // size)]
            cost = sum(item.cost for item in used) / len(used)
            cost += sum(1 for item in inner if not item.holders) / 1000
            cost += _enclosing_unclaimed(worker, cell, set()) / 100
            found.append(PricedCell(cost, cell, set()))
        if len(found) >= max(MIN_PRICED_CELLS, 4 * tasks):
            break
    found.sort(key=lambda item: item.cost)
    return found


def _overlaps(cell: Cell, other: Cell) -> bool:
    return (
        cell.worker_id == other.worker_id
        and cell.offset < other.offset + other.size
        and other.offset < cell.offset + cell.size
    )


@dataclass(slots=True)
class Headroom:
    """Counts of unclaimed cells and of the guaranteed cells they must hold.

    All lists are per cell size, indexed like ``SIZES``. ``available`` and
    ``potential`` count maximal unclaimed cells, of the workers offered at
    present and of all workers; ``unbound`` counts guaranteed cells.
    """

    available: list[int]
    potential: list[int]
    unbound: list[int]

    def shortfall(self) -> tuple[int, int]:
        """Return the guaranteed accelerators that do not fit.

        The first number is for the workers offered at present, the second for
        all workers.
        """
        return (
            compute_shortfall(self.available, self.unbound),
            compute_shortfall(self.potential, self.unbound),
        )

    def after(self, enclosing: int, size: int) -> "Headroom":
        """Return the headroom left after binding one cell.

        The cell of ``size`` is taken out of a maximal unclaimed cell of the
        size ``enclosing``.
        """
        left = Headroom(
            list(self.available), list(self.potential), list(self.unbound)
        )
        _remove_cell(left.available, enclosing, size)
        _remove_cell(left.potential, enclosing, size)
        left.unbound[size_index(size)] -= 1
        return left


def _choose_binding(
    candidates: list[PricedCell],
    taken: set[Cell],
    ledger: GuaranteeLedger,
    headroom: Headroom,
) -> tuple[PricedCell, Headroom] | None:
    """Choose the cheapest binding that takes no cell other guarantees need.

    ``taken`` are the cells of the plan's earlier bindings. Return the binding
    with the headroom that it leaves, or ``None``.
    """
    present, potential = headroom.shortfall()
    for item in candidates:
        cell = item.cell
        if any(_overlaps(cell, other) for other in taken):
            continue
        worker = ledger.index.workers[cell.worker_id]
        left = headroom.after(
            _enclosing_unclaimed(worker, cell, taken), cell.size
        )
        short = left.shortfall()
        if short[0] <= present and short[1] <= potential:
            return item, left
    return None


def _enclosing_unclaimed(
    worker: WorkerCells, cell: Cell, taken: set[Cell]
) -> int:
    """Return the size of the largest unclaimed cell that contains ``cell``.

    Cells that overlap one of ``taken`` count as claimed.
    """
    best = cell.size
    for enclosing in _enclosing_cells(worker, cell):
        if not worker.is_unclaimed(enclosing):
            break
        if any(_overlaps(enclosing, other) for other in taken):
            break
        best = enclosing.size
    return best


def _remove_cell(available: list[int], enclosing: int, size: int) -> None:
    """Take a cell of ``size`` out of a maximal cell of size ``enclosing``."""
    available[size_index(enclosing)] -= 1
    while enclosing > size:
        enclosing //= 2
        available[size_index(enclosing)] += 1


def _use_new_binding(
    plan: ClaimPlan,
    scope: Scope,
    owner: GuaranteedCell,
    bound: Cell,
    spec: JobSpec,
    size: int,
    cost_of: EvictionCost,
) -> None:
    """Add the cheapest parts of a cell that ``owner`` is to be bound to."""
    worker = next(
        worker
        for worker in scope.workers
        if worker.spec.worker_id == bound.worker_id
    )
    priced = []
    for cell in bound.divide(size):
        found = _price_cell(worker, cell, cost_of)
        if found is not None:
            found.owner = owner
            priced.append(found)
    priced.sort(key=lambda item: item.cost)
    for item in priced[: spec.tasks - len(plan.cells)]:
        _add_to_plan(plan, item)
