"""Estimate from logs how slow each worker was.

The pace of a worker is the time that it takes for a piece of work, relative to
a worker of usual speed. A job's objective is based on the work at usual speed,
so the time that a run took has to be divided by the pace of its slowest
worker. The controller logs which workers it found slow. For other workers, and
for logs without such lines, tasks of one step and members of one gang are
compared with each other.
"""

from collections.abc import Iterable

from hickorywing.logevents import LogEvent
from hickorywing.loglines import LogLine
from hickorywing.policy.workerpace import WorkerPace

__all__ = ["LogPaces"]

# Members of a gang that ended with less progress aren't compared, as it tells
# too little about their pace.
MIN_GANG_PERCENT = 25


class LogPaces:
    """Collects the run times of tasks from log lines in order of time."""

    def __init__(self) -> None:
        self._paces = WorkerPace()
        self._reported_paces: dict[str, float] = {}
        self._gang_runs: set[tuple[str, int]] = set()
        self._started_s: dict[tuple[str, int], float] = {}

    def get_slowdown(self, workers: Iterable[str]) -> float:
        """Return the factor by which work takes longer on the slowest worker.

        It is 1.0 if ``workers`` is empty.
        """
        paces = (
            self._reported_paces.get(worker, self._paces.get_slowdown(worker))
            for worker in workers
        )
        return max(paces, default=1.0)

    def add_line(self, line: LogLine, at_s: float) -> None:
        """Add the next line; ``at_s`` is its time in Unix seconds."""
        facts = line.facts
        if line.event == LogEvent.WORKER_SLOW:
            self._reported_paces[facts["worker"]] = facts["pace"]
        elif line.event == LogEvent.WORKER_USUAL:
            self._reported_paces[facts["worker"]] = 1.0
        elif line.event == LogEvent.RUN_PLACED and len(facts["workers"]) > 1:
            step = (
                f"{facts['job']}.{facts.get('occurrence', 0)}.{facts['step']}"
            )
            self._gang_runs.add((step, facts["run"]))
        elif line.event == LogEvent.START_ANSWERED:
            if facts.get("outcome") == "ok":
                self._started_s[facts["task"], facts["run"]] = at_s
        elif line.event == LogEvent.RUN_ENDED:
            self._record_end(line, at_s)

    def _record_end(self, line: LogLine, at_s: float) -> None:
        """Record the pace at which a task ran, to compare it with others.

        Of single tasks, only completed runs are compared, and of gangs only
        first runs that were cut short and have no checkpoints. The progress of
        a gang's members is known as of the last poll only, so they aren't
        recorded as tasks of equal work.
        """
        facts = line.facts
        task, run = facts["task"], facts["run"]
        started_s = self._started_s.pop((task, run), None)
        if started_s is None:
            return
        step = task.rpartition(".")[0]
        percent = 100
        if (step, run) in self._gang_runs:
            percent = facts.get("percent", 0)
            if facts["how"] == "done" or facts.get("saves") or run > 1:
                return
        elif facts["how"] != "done":
            return
        if percent >= MIN_GANG_PERCENT:
            self._paces.record_pace(
                (step, run), facts["worker"], (at_s - started_s) / percent
            )
