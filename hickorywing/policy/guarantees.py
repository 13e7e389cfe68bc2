"""Track guarantees so that each can be reclaimed at any time.

A guaranteed cell is virtual until its customer uses it. Then it is bound to a
cell of the zone, of the same size, that no other guarantee is bound to. After
each decision an invariant is checked: the guaranteed cells that are still
unbound fit into the unclaimed cells, whether borrowers hold those or not. No
decision may reduce what fits, neither on the workers offered at present nor
on all workers. Binding late, and to any cell of the size, follows HiveD (OSDI
2020).
"""

from dataclasses import dataclass
from dataclasses import field

from hickorywing.errors import InvariantViolation
from hickorywing.policy.cells import Cell
from hickorywing.policy.cells import CellIndex
from hickorywing.policy.cells import compute_shortfall
from hickorywing.policy.cells import size_index
from hickorywing.policy.cells import SIZES
from hickorywing.policy.model import Guarantee

__all__ = ["GuaranteedCell", "GuaranteeLedger", "Risk"]


@dataclass(eq=False, slots=True)
class GuaranteedCell:
    """A cell that a customer is guaranteed.

    ``bound`` is the cell of the zone that serves it while jobs use it;
    ``users`` gives the number of tasks there for each job.
    """

    customer: str
    size: int
    bound: Cell | None = None
    users: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Risk:
    """A guarantee that the offered workers cannot serve.

    ``count`` cells of ``accelerators`` each are missing.
    """

    customer: str
    accelerators: int
    count: int


class GuaranteeLedger:
    """All guaranteed cells of one availability zone.

    ``unbound`` counts the unbound cells per size. ``changes`` is increased by
    each event that may let a failed claim succeed: guarantees were replaced,
    a job released its cells or a cell was unbound.
    """

    def __init__(self, index: CellIndex) -> None:
        self.index = index
        self.cells: dict[str, list[GuaranteedCell]] = {}
        self.unbound = [0] * len(SIZES)
        self.changes = 0

    def set_guarantees(self, guarantees: list[Guarantee]) -> set[str]:
        """Replace the guarantees and return the jobs that lost theirs.

        A bound cell stays bound if the new guarantees contain a cell of its
        customer and size. The jobs in other bound cells are returned.
        """
        affected_jobs: set[str] = set()
        self.changes += 1
        remaining: dict[tuple[str, int], int] = {}
        for guarantee in guarantees:
            key = (guarantee.customer, guarantee.accelerators)
            remaining[key] = remaining.get(key, 0) + guarantee.count
        cells_by_customer: dict[str, list[GuaranteedCell]] = {}
        for cell in self._cells_in_use_first():
            key = (cell.customer, cell.size)
            if remaining.get(key, 0) > 0:
                remaining[key] -= 1
                cells_by_customer.setdefault(cell.customer, []).append(cell)
            elif cell.bound is not None:
                self.index.set_claim(cell.bound, None)
                affected_jobs.update(cell.users)
        for (customer, size), count in remaining.items():
            new_cells = [GuaranteedCell(customer, size) for _ in range(count)]
            cells_by_customer.setdefault(customer, []).extend(new_cells)
        self.cells = cells_by_customer
        self.unbound = [0] * len(SIZES)
        for cells in cells_by_customer.values():
            for cell in cells:
                if cell.bound is None:
                    self.unbound[size_index(cell.size)] += 1
        return affected_jobs

    def _cells_in_use_first(self) -> list[GuaranteedCell]:
        all_cells = [cell for cells in self.cells.values() for cell in cells]
        return sorted(all_cells, key=lambda cell: cell.bound is None)

    def shortfall(self) -> int:
        """Return the unbound accelerators that do not fit at present.

        Only offered workers count.
        """
        return compute_shortfall(
            self.index.counts.maximal_unclaimed, self.unbound
        )

    def potential_shortfall(self) -> int:
        """Return the shortfall that is left with every worker offered."""
        return compute_shortfall(self.index.potential, self.unbound)

    def risks(self) -> list[Risk]:
        """Return the guarantees that the offered workers cannot serve.

        The shortfall is attributed to the largest unbound cells first.
        """
        short = self.shortfall()
        found: list[Risk] = []
        unbound: dict[tuple[str, int], int] = {}
        for customer, cells in sorted(self.cells.items()):
            for cell in cells:
                if cell.bound is None:
                    key = (customer, cell.size)
                    unbound[key] = unbound.get(key, 0) + 1
        for (customer, size), count in sorted(
            unbound.items(), key=lambda item: -item[0][1]
        ):
            if short <= 0:
                break
            lost = min(count, -(-short // size))
            found.append(Risk(customer, size, lost))
            short -= lost * size
        return found

    def bind(self, guaranteed: GuaranteedCell, cell: Cell) -> None:
        """Bind an unbound guaranteed cell to a cell of the zone."""
        if guaranteed.bound is not None or guaranteed.size != cell.size:
            raise InvariantViolation(f"{guaranteed} cannot be bound to {cell}")
        self.index.set_claim(cell, guaranteed)
        guaranteed.bound = cell
        self.unbound[size_index(cell.size)] -= 1

    def unbind(self, guaranteed: GuaranteedCell) -> None:
        """Give back the cell that a guaranteed cell is bound to, if any."""
        if guaranteed.bound is None:
            return
        self.changes += 1
        self.index.set_claim(guaranteed.bound, None)
        guaranteed.bound = None
        guaranteed.users.clear()
        self.unbound[size_index(guaranteed.size)] += 1

    def use(self, guaranteed: GuaranteedCell, job_id: str) -> None:
        """Record that one more task of a job uses a bound cell."""
        guaranteed.users[job_id] = guaranteed.users.get(job_id, 0) + 1

    def release_job(self, customer: str, job_id: str) -> None:
        """Remove a job from its customer's cells; unbind those now unused."""
        self.changes += 1
        for cell in self.cells.get(customer, ()):
            if cell.users.pop(job_id, None) and not cell.users:
                self.unbind(cell)

    def lose_worker(self, worker_id: str) -> None:
        """Unbind every guaranteed cell that is bound to a lost worker."""
        for cells in self.cells.values():
            for cell in cells:
                bound = cell.bound
                if bound is not None and bound.worker_id == worker_id:
                    self.unbind(cell)
