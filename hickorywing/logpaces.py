"""Work out from logs how fast workers were.

A job's objective counts its work on a usual worker, so what a run took has to
be divided by the pace of its slowest member. The controller says which workers
it has found slow; for the others, and for logs without these lines, tasks of
one step and members of one gang are compared with each other.
"""

from collections.abc import Iterable

from hickorywing.logevents import LogEvent
from hickorywing.loglines import LogLine
from hickorywing.policy.workerpace import WorkerPace

__all__ = ["LogPaces"]

# A gang that was cut short before this share of its work says too little.
LEAST_PERCENT = 25


class LogPaces:
    """Gathers how long tasks took on each worker, in order of time."""

    def __init__(self) -> None:
        self._paces = WorkerPace()
        self._stated: dict[str, float] = {}
        self._gangs: set[tuple[str, int]] = set()
        self._started_s: dict[tuple[str, int], float] = {}

    def measure(self, workers: Iterable[str]) -> float:
        """Return how many times as long as usual work takes on the slowest."""
        paces = (
            self._stated.get(worker, self._paces.measure(worker))
            for worker in workers
        )
        return max(paces, default=1.0)

    def take(self, line: LogLine, at_s: float) -> None:
        """Take in the next line."""
        facts = line.facts
        if line.event == LogEvent.WORKER_SLOW:
            self._stated[facts["worker"]] = facts["pace"]
        elif line.event == LogEvent.WORKER_USUAL:
            self._stated[facts["worker"]] = 1.0
        elif line.event == LogEvent.RUN_PLACED and len(facts["workers"]) > 1:
            step = (
                f"{facts['job']}.{facts.get('occurrence', 0)}.{facts['step']}"
            )
            self._gangs.add((step, facts["run"]))
        elif line.event == LogEvent.START_ANSWERED:
            if facts.get("outcome") == "ok":
                self._started_s[facts["task"], facts["run"]] = at_s
        elif line.event == LogEvent.RUN_ENDED:
            self._take_end(line, at_s)

    def _take_end(self, line: LogLine, at_s: float) -> None:
        """Compare how long a task took with others of its step.

        The share of work of a gang's members is known up to their last look
        only, so they don't count as tasks of equal work.
        """
        facts = line.facts
        task, run = facts["task"], facts["run"]
        started_s = self._started_s.pop((task, run), None)
        if started_s is None:
            return
        step = task.rpartition(".")[0]
        percent = 100
        if (step, run) in self._gangs:
            percent = facts.get("percent", 0)
            if facts["how"] == "done" or facts.get("saves") or run > 1:
                return
        elif facts["how"] != "done":
            return
        if percent >= LEAST_PERCENT:
            self._paces.note(
                (step, run), facts["worker"], (at_s - started_s) / percent
            )
