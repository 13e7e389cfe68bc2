"""Account for what urgent work stopped, claim by claim, from the logs.

A claim is all that one job had stopped for it until it was placed. A victim
was of use if it ran on a worker that the job was then placed on. A sound claim
has one round of stops, and is placed as soon as these have ended.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from hickorywing.logevents import LogEvent
from hickorywing.loglines import LogLine
from hickorywing.loglines import read_line

__all__ = ["Claim", "account_claims", "format_claims"]

# Stops that one plan asks for are logged within a few milliseconds.
ROUND_S = 0.05

RunKey = tuple[str, int, int, int]


@dataclass(slots=True)
class Claim:
    """What one job had stopped before it was placed; moments in seconds.

    ``rounds`` are the moments at which stops were asked for, ``repeated``
    counts victims that had been stopped for the same claim before.
    """

    job_id: str
    rounds: list[float] = field(default_factory=list)
    victims: int = 0
    useful: int = 0
    repeated: int = 0
    placed_s: float | None = None

    @property
    def took_s(self) -> float | None:
        """Return the time from the first stop to the placing."""
        if self.placed_s is None:
            return None
        return self.placed_s - self.rounds[0]


def account_claims(texts: Iterable[str]) -> list[Claim]:
    """Return all claims in the order in which they began."""
    lines = [line for line in map(read_line, texts) if line is not None]
    lines.sort(key=lambda line: line.at)
    reader = ClaimReader()
    for line in lines:
        reader.take(line)
    return reader.claims


class ClaimReader:
    """Gathers claims from lines in order of time."""

    def __init__(self) -> None:
        self.claims: list[Claim] = []
        self._open: dict[str, Claim] = {}
        self._victims: dict[str, list[RunKey]] = {}
        self._workers: dict[RunKey, set[str]] = {}

    def take(self, line: LogLine) -> None:
        """Take in the next line."""
        if line.event == LogEvent.RUN_PLACED:
            self._take_placed(line)
        elif line.event == LogEvent.RUN_PREEMPTED:
            self._take_preempted(line)

    def _take_preempted(self, line: LogLine) -> None:
        facts = line.facts
        job_id = facts["gives_way_to"]
        claim = self._open.get(job_id)
        if claim is None:
            claim = self._open[job_id] = Claim(job_id)
            self.claims.append(claim)
            self._victims[job_id] = []
        at_s = line.at.timestamp()
        if not claim.rounds or at_s - claim.rounds[-1] > ROUND_S:
            claim.rounds.append(at_s)
        victims = self._victims[job_id]
        unit = (facts["job"], facts["step"], facts["first"])
        claim.repeated += any(victim[:3] == unit for victim in victims)
        victims.append((*unit, facts["run"]))
        claim.victims += 1

    def _take_placed(self, line: LogLine) -> None:
        facts = line.facts
        key = (facts["job"], facts["step"], facts["first"], facts["run"])
        workers = self._workers[key] = set(facts["workers"])
        claim = self._open.pop(facts["job"], None)
        if claim is None:
            return
        claim.placed_s = line.at.timestamp()
        claim.useful = sum(
            bool(workers & self._workers.get(victim, set()))
            for victim in self._victims[claim.job_id]
        )


def format_claims(claims: list[Claim]) -> list[str]:
    """Return the account as lines of text."""
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
