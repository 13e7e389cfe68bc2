"""Report from the logs which runs were preempted for which jobs.

A claim comprises all runs that were stopped for one job until that job was
placed. A victim was useful if it ran on a worker on which the job was placed
then. Ideally, a claim has one round of stops, and the job is placed as soon as
these have ended.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from hickorywing.logevents import LogEvent
from hickorywing.loglines import LogLine
from hickorywing.loglines import read_line

__all__ = ["Claim", "collect_claims", "format_claims"]

# Stops of one plan are logged within a few milliseconds. Stops that come later
# than this after the first one belong to another round.
MAX_ROUND_S = 0.05

RunKey = tuple[str, int, int, int]


@dataclass(slots=True)
class Claim:
    """The runs preempted for one job; times in Unix seconds.

    ``rounds`` are the times at which stops were ordered. ``victims`` counts
    the stopped runs, ``useful`` those on workers on which the job was placed,
    and ``repeated`` those of units that had been stopped for this claim
    before.
    """

    job_id: str
    rounds: list[float] = field(default_factory=list)
    victims: int = 0
    useful: int = 0
    repeated: int = 0
    placed_s: float | None = None

    @property
    def took_s(self) -> float | None:
        """The seconds from the first stop to the placement, if placed."""
        if self.placed_s is None:
            return None
        return self.placed_s - self.rounds[0]


def collect_claims(texts: Iterable[str]) -> list[Claim]:
    """Return all claims in log lines, in the order of their first stop."""
    lines = [line for line in map(read_line, texts) if line is not None]
    lines.sort(key=lambda line: line.at)
    reader = ClaimReader()
    for line in lines:
        reader.add_line(line)
    return reader.claims


class ClaimReader:
    """Collects claims from log lines in order of time."""

    def __init__(self) -> None:
        self.claims: list[Claim] = []
        self._open_claims: dict[str, Claim] = {}
        self._victims: dict[str, list[RunKey]] = {}
        self._workers: dict[RunKey, set[str]] = {}

    def add_line(self, line: LogLine) -> None:
        """Add the next line."""
        if line.event == LogEvent.RUN_PLACED:
            self._add_placement(line)
        elif line.event == LogEvent.RUN_PREEMPTED:
            self._add_preemption(line)

    def _add_preemption(self, line: LogLine) -> None:
        facts = line.facts
        job_id = facts["gives_way_to"]
        claim = self._open_claims.get(job_id)
        if claim is None:
            claim = self._open_claims[job_id] = Claim(job_id)
            self.claims.append(claim)
            self._victims[job_id] = []
        at_s = line.at.timestamp()
        if not claim.rounds or at_s - claim.rounds[-1] > MAX_ROUND_S:
            claim.rounds.append(at_s)
        victims = self._victims[job_id]
        unit = (facts["job"], facts["step"], facts["first"])
        claim.repeated += any(victim[:3] == unit for victim in victims)
        victims.append((*unit, facts["run"]))
        claim.victims += 1

    def _add_placement(self, line: LogLine) -> None:
        facts = line.facts
        key = (facts["job"], facts["step"], facts["first"], facts["run"])
        workers = self._workers[key] = set(facts["workers"])
        claim = self._open_claims.pop(facts["job"], None)
        if claim is None:
            return
        claim.placed_s = line.at.timestamp()
        claim.useful = sum(
            bool(workers & self._workers.get(victim, set()))
            for victim in self._victims[claim.job_id]
        )


def format_claims(claims: list[Claim]) -> list[str]:
    """Return a table of the claims, with their totals."""
    lines = [
        f"{'gives way to':18} {'rounds':>6} {'victims':>7} {'of use':>6}"
        f" {'again':>6} {'placed after':>13}"
    ]
    for claim in claims:
        took = "never" if claim.took_s is None else f"{claim.took_s:.2f} s"
        lines.append(
            f"{claim.job_id:18} {len(claim.rounds):6} {claim.victims:7}"
            f" {claim.useful:6} {claim.repeated:6} {took:>13}"
        )
    placed = [claim.took_s for claim in claims if claim.took_s is not None]
    mean_s = sum(placed) / len(placed) if placed else 0.0
    lines.append(
        f"{f'all {len(claims)}':18}"
        f" {sum(len(claim.rounds) for claim in claims):6}"
        f" {sum(claim.victims for claim in claims):7}"
        f" {sum(claim.useful for claim in claims):6}"
        f" {sum(claim.repeated for claim in claims):6}"
        f" {f'mean {mean_s:.2f} s':>13}"
    )
    return lines
