"""Learn run times from the ends of runs, and forecast those of tasks.

Connects the estimates (``policy.runtimes``) to the runs, the store, the log
and the metrics. Only the holder of a pool's role learns; it stores what it
has learned for its successor.
"""

from collections import Counter
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from itertools import islice
import math
import statistics

from hickorywing.committer import Committer
from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.openmembers import OpenMember
from hickorywing.policy.poolmodel import Step
from hickorywing.policy.poolprogress import extrapolate_total_s
from hickorywing.policy.poolprogress import is_resumed
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolruns import Unit
from hickorywing.policy.runtimes import ExpectedRunTime
from hickorywing.policy.runtimes import RunningWork
from hickorywing.policy.runtimes import RunTimes
from hickorywing.policy.runtimes import StepKey
from hickorywing.policy.runtimes import StepKind
from hickorywing.poolrows import log_unreadable
from hickorywing.poolrows import RowUnreadable
from hickorywing.poolrows import run_times_key
from hickorywing.rows import StoredRow
from hickorywing.runtimerows import decode_run_times
from hickorywing.runtimerows import encode_run_times

__all__ = ["RunLearning"]

# With the largest row, 0.8 KB a second.
STORE_INTERVAL_S = 10.0
LOG_INTERVAL_S = 30.0
# Limits the work of collecting the runs that have not ended, of which there
# may be tens of thousands: the jobs are spread evenly over all, and the units
# are the first ones of each step.
RUNNING_INTERVAL_S = 2.0
MAX_RUNNING_JOBS = 300
MAX_RUNNING_UNITS = 8
MAX_LOGGED_QUEUES = 20
MIN_DECLARED_S = 0.001

GetSlowdown = Callable[[str], float]


def get_declared_s(step: Step) -> float:
    """Return the declared run time, 0 if it is too short to be one."""
    return step.estimate_s if step.estimate_s >= MIN_DECLARED_S else 0.0


class RunLearning:
    """The learned run times of a pool during one term of its controller.

    ``get_slowdown`` returns the factor by which work takes longer on a
    worker. If not ``enabled``, the declared run time is expected, and nothing
    is stored.
    """

    def __init__(
        self,
        pool: str,
        enabled: bool,
        get_slowdown: GetSlowdown,
        committer: Committer,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._pool = pool
        self._enabled = enabled
        self._get_slowdown = get_slowdown
        self._committer = committer
        self._log = log
        self._metrics = metrics
        self._run_times = RunTimes()
        self._changed = False
        self._stored_s = float("-inf")
        self._logged_s = float("-inf")
        self._collected_s = float("-inf")
        # Logarithms of the factors by which the forecasts and the declared
        # run times were wrong since the last log line.
        self._errors: list[float] = []
        self._declared_errors: list[float] = []

    def restore(self, row: StoredRow) -> None:
        """Adopt what an earlier controller learned.

        A row that can't be decoded is ignored, and learning starts anew.
        """
        if not self._enabled:
            return
        try:
            self._run_times = decode_run_times(row.value)
        except RowUnreadable as error:
            log_unreadable(self._log, row, error)

    def expect(self, state: JobState, number: int) -> ExpectedRunTime:
        """Return the expected run time of the tasks of a job's step."""
        step = state.job.steps[number]
        if not self._enabled:
            return ExpectedRunTime(step.estimate_s, step.estimate_s)
        return self._run_times.expect(
            get_kind(state, number),
            get_step_key(state, number),
            get_declared_s(step),
        )

    def estimate_left_s(
        self,
        state: JobState,
        unit: Unit,
        ran_s: float,
        saved: float,
    ) -> float:
        """Return the run time that a run without known progress has left.

        It has taken ``ran_s`` seconds on its workers so far, and had the
        share ``saved`` of its work done as it began.
        """
        if not self._enabled or state.job.steps[unit.step].lasting:
            return float("inf")
        expected = self.expect(state, unit.step)
        slowdown = self._get_unit_slowdown(unit)
        done_s = ran_s / slowdown + saved * expected.typical_s
        left_s = self._run_times.estimate_left_s(
            state.job.terms.queue, expected, done_s
        )
        return left_s * slowdown

    def record_done(self, item: OpenMember, now_s: float) -> None:
        """Learn from a unit that has just been completed.

        The work of a run that resumed from a checkpoint is extrapolated from
        its progress.
        """
        if not self._enabled or item.step.lasting or item.step.filler:
            return
        unit, state, member = item.unit, item.state, item.member
        if is_resumed(unit):
            took_s = extrapolate_total_s(unit, member)
            if took_s is None:
                return
        else:
            took_s = now_s - unit.placed_at_s
        declared_s = get_declared_s(item.step)
        work_s = took_s / self._get_unit_slowdown(unit)
        expected = self._run_times.observe(
            get_kind(state, unit.step),
            get_step_key(state, unit.step),
            declared_s,
            work_s,
        )
        if expected is None:
            return
        self._changed = True
        if expected.known:
            ratio = work_s / expected.typical_s
            self._errors.append(abs(math.log(ratio)))
            self._metrics.observe("run_time_ratio", ratio)
        if declared_s > 0:
            self._declared_errors.append(abs(math.log(work_s / declared_s)))

    def collect_running(
        self, states: Collection[JobState], now_s: float
    ) -> None:
        """Take into account the runs that have not ended."""
        if not self._enabled or (
            now_s - self._collected_s < RUNNING_INTERVAL_S
        ):
            return
        self._collected_s = now_s
        every = math.ceil(len(states) / MAX_RUNNING_JOBS) or 1
        self._run_times.set_running(
            self._measure_running(state, unit, now_s)
            for state in islice(states, None, None, every)
            for unit in take_running(state)
        )

    def _measure_running(
        self, state: JobState, unit: Unit, now_s: float
    ) -> RunningWork:
        slowdown = self._get_unit_slowdown(unit)
        totals = [
            extrapolate_total_s(unit, member) for member in unit.open_members()
        ]
        known = [total_s for total_s in totals if total_s is not None]
        return RunningWork(
            get_kind(state, unit.step),
            get_step_key(state, unit.step),
            max(0.0, now_s - unit.placed_at_s) / slowdown,
            max(known) / slowdown if known else None,
        )

    def _get_unit_slowdown(self, unit: Unit) -> float:
        """Return the slowdown of a unit's slowest worker."""
        return max(
            (self._get_slowdown(member.worker) for member in unit.members),
            default=1.0,
        )

    def store_and_log(self, now_s: float) -> None:
        """Store and log what was learned, if it has changed for a while."""
        if not self._changed:
            return
        if now_s - self._stored_s >= STORE_INTERVAL_S:
            self._stored_s = now_s
            self._changed = False
            self._committer.put(
                run_times_key(self._pool),
                lambda: encode_run_times(self._run_times),
            )
        if now_s - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = now_s
            self._write_log()

    def _write_log(self) -> None:
        self._log.write(
            LogEvent.RUN_TIMES_LEARNED,
            pool=self._pool,
            kinds=len(self._run_times.kinds),
            queues=self._run_times.describe_queues(MAX_LOGGED_QUEUES),
            runs=len(self._errors),
            factor=compute_typical_factor(self._errors),
            declared_factor=compute_typical_factor(self._declared_errors),
        )
        self._errors.clear()
        self._declared_errors.clear()


def compute_typical_factor(errors: list[float]) -> float | None:
    """Return the median factor of errors that are given as logarithms."""
    if not errors:
        return None
    return round(math.exp(statistics.median(errors)), 2)


def take_running(state: JobState) -> Iterator[Unit]:
    """Return the first running units of each step that show run times."""
    counts: Counter[int] = Counter()
    for unit in state.list_running_units():
        step = state.job.steps[unit.step]
        if step.lasting or step.filler or is_resumed(unit):
            continue
        counts[unit.step] += 1
        if counts[unit.step] <= MAX_RUNNING_UNITS:
            yield unit


def get_kind(state: JobState, number: int) -> StepKind:
    """Return the kind of a job's step."""
    job = state.job
    return StepKind.of(job.terms.queue, job.customer, job.steps[number])


def get_step_key(state: JobState, number: int) -> StepKey:
    """Return the key under which the runs of a job's step are compared."""
    return (state.job.job_id, number)
