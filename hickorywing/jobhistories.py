"""Collect the history of each job from log lines in order of time."""

from dataclasses import dataclass
from dataclasses import field

from hickorywing.logevents import LogEvent
from hickorywing.loglines import LogLine
from hickorywing.logpaces import LogPaces
from hickorywing.waste import name_cause

__all__ = ["HistoryReader", "JobHistory", "Run"]


@dataclass(slots=True)
class Run:
    """One run of a unit, a single task or a gang; times in Unix seconds.

    ``first`` is the index of the unit's first task and ``number`` the number
    of the run. ``waited_s`` is how long the unit had waited when it was
    placed. ``broken_at_s`` is when the first member ended without being done,
    and ``cause`` says why. ``ended_s`` is when the run was done or, if it
    broke, when its last member ended. ``estimate_s`` is the declared run time.
    """

    step: int
    first: int
    number: int
    placed_s: float
    waited_s: float = 0.0
    workers: tuple[str, ...] = ()
    started_s: float | None = None
    broken_at_s: float | None = None
    ended_s: float | None = None
    done: bool = False
    cause: str = ""
    estimate_s: float = 0.0


@dataclass(slots=True)
class JobHistory:
    """The history of one job; times in Unix seconds.

    ``first_seen_s`` is the time of the caller's first request, and
    ``refusals`` counts refused submissions by reason. ``zone`` is that of the
    first entry that was asked. ``completed_s`` and ``failed_s`` are when the
    controller logged the job as completed or failed, ``stored_s`` when that it
    is completed was stored, and ``shown_s`` when a caller first got it. A
    ``standing`` job has occurrences or is long-running, so there is no time
    within which it has to be completed. ``preempted_for_at_s`` are the times
    at which other runs were preempted for it. ``runs`` are by step, index of
    the first task and number of the run.
    """

    job_id: str
    first_seen_s: float = float("inf")
    refusals: dict[str, int] = field(default_factory=dict)
    accepted_s: float | None = None
    accept_took_s: float = 0.0
    priority: int = 0
    stretch: float = 0.0
    latency_target_s: float = 0.0
    cancelled: bool = False
    completed_s: float | None = None
    failed_s: float | None = None
    stored_s: float | None = None
    shown_s: float | None = None
    standing: bool = False
    zone: str = ""
    preempted_for_at_s: list[float] = field(default_factory=list)
    runs: dict[tuple[int, int, int], Run] = field(default_factory=dict)


class HistoryReader:
    """Builds the histories of jobs from log lines in order of time."""

    def __init__(self) -> None:
        self.histories: dict[str, JobHistory] = {}
        self.paces = LogPaces()
        self.last_s = 0.0
        # Periods without a controller that could decide, as begin and end in
        # Unix seconds.
        self.controller_gaps: list[tuple[float, float]] = []
        self._held_since_s: dict[str, float] = {}
        self._controller = ""
        self._last_action_s: dict[str, float] = {}
        self._zones: dict[str, str] = {}
        self._handlers = {
            LogEvent.STARTING: self._handle_starting,
            LogEvent.REFUSED: self._handle_refused,
            LogEvent.JOB_SUBMITTED: self._handle_submitted,
            LogEvent.JOB_CANCELLED: self._handle_cancelled,
            LogEvent.RUN_PLACED: self._handle_placed,
            LogEvent.RUN_PREEMPTED: self._handle_preempted,
            LogEvent.START_ANSWERED: self._handle_started,
            LogEvent.RUN_ENDED: self._handle_ended,
            LogEvent.JOB_STATUS: self._handle_status,
            LogEvent.STATUS_STORED: self._handle_stored,
            LogEvent.STATUS_SHOWN: self._handle_shown,
            LogEvent.ROLE_TAKEN: self._handle_role,
            LogEvent.PLANNING_HELD: self._handle_held,
            LogEvent.PLANNING_RESUMED: self._handle_resumed,
        }

    def add_line(self, line: LogLine) -> None:
        """Add the next line."""
        at_s = line.at.timestamp()
        self.last_s = max(self.last_s, at_s)
        if line.facts.get("role") == "entry" and line.event in (
            LogEvent.RUN_PLACED,
            LogEvent.RUN_ENDED,
            LogEvent.START_ANSWERED,
            LogEvent.JOB_SEEN,
        ):
            self._last_action_s[line.process] = at_s
        self.paces.add_line(line, at_s)
        handle = self._handlers.get(line.event)
        if handle is not None:
            handle(line, at_s)

    def _get_history(self, job_id: str) -> JobHistory:
        return self.histories.setdefault(job_id, JobHistory(job_id))

    def _handle_starting(self, line: LogLine, at_s: float) -> None:
        self._zones[line.process] = line.facts.get("zone", "")

    def _handle_refused(self, line: LogLine, at_s: float) -> None:
        job_id = line.facts.get("job", "")
        if not job_id:
            return
        history = self._get_history(job_id)
        history.zone = history.zone or self._zones.get(line.process, "")
        if history.accepted_s is None:
            history.first_seen_s = min(history.first_seen_s, at_s)
            reason = line.facts.get("reason", "")
            history.refusals[reason] = history.refusals.get(reason, 0) + 1

    def _handle_submitted(self, line: LogLine, at_s: float) -> None:
        facts = line.facts
        history = self._get_history(facts.get("job", ""))
        took_s = facts.get("took_s", 0.0)
        history.first_seen_s = min(history.first_seen_s, at_s - took_s)
        history.zone = history.zone or self._zones.get(line.process, "")
        history.priority = facts.get("priority", 0)
        history.standing = facts.get("standing", False)
        history.stretch = facts.get("stretch", 0.0)
        history.latency_target_s = facts.get("latency_target_s", 0.0)
        if history.accepted_s is not None:
            return
        if facts.get("outcome") == "done":
            history.accepted_s = at_s
            history.accept_took_s = took_s
        else:
            reason = f"store {facts.get('store', '')}"
            history.refusals[reason] = history.refusals.get(reason, 0) + 1

    def _handle_cancelled(self, line: LogLine, at_s: float) -> None:
        self._get_history(line.facts.get("job", "")).cancelled = True

    def _handle_placed(self, line: LogLine, at_s: float) -> None:
        facts = line.facts
        if facts.get("occurrence", 0):
            self._get_history(facts["job"]).standing = True
        key = (facts["step"], facts["first"], facts["run"])
        run = Run(
            *key,
            at_s,
            facts.get("waited_s", 0.0),
            tuple(facts.get("workers", ())),
        )
        self._get_history(facts["job"]).runs[key] = run

    def _handle_preempted(self, line: LogLine, at_s: float) -> None:
        facts = line.facts
        self._get_history(
            facts.get("gives_way_to", "")
        ).preempted_for_at_s.append(at_s)

    def _find_run(self, line: LogLine) -> Run | None:
        """Return the run that a line about a task belongs to.

        The runs of a gang are stored under the index of its first task.
        """
        parts = str(line.facts.get("task", "")).split(".")
        history = self.histories.get(parts[0])
        if history is None or len(parts) != 4:
            return None
        step, index = int(parts[2]), int(parts[3])
        number = line.facts.get("run", 0)
        single = history.runs.get((step, index, number))
        return single or history.runs.get((step, 0, number))

    def _handle_started(self, line: LogLine, at_s: float) -> None:
        run = self._find_run(line)
        if run is not None and line.facts.get("outcome") == "ok":
            run.started_s = at_s

    def _handle_ended(self, line: LogLine, at_s: float) -> None:
        run = self._find_run(line)
        if run is None:
            return
        facts = line.facts
        run.estimate_s = facts.get("estimate_s", 0.0)
        if facts.get("how") == "done":
            run.done = True
            run.ended_s = run.ended_s or at_s
            return
        if run.broken_at_s is None:
            run.broken_at_s = at_s
            how, stopping = facts.get("how", ""), facts.get("stopping", "")
            failed_itself = how == "failed" and not stopping
            run.cause = (
                "failed" if failed_itself else name_cause(how, stopping)
            )
        elif facts.get("how") in ("lost", "lapsed") and "member" in run.cause:
            # The member that broke the gang is rarely the first to end, so the
            # loss of a worker or lease replaces the less specific cause.
            run.cause = name_cause(facts["how"], "")
        run.ended_s = at_s

    def _handle_status(self, line: LogLine, at_s: float) -> None:
        status = line.facts.get("status")
        if status == "completed":
            history = self._get_history(line.facts["job"])
            history.completed_s = history.completed_s or at_s
        elif status == "failed":
            history = self._get_history(line.facts["job"])
            history.failed_s = history.failed_s or at_s

    def _handle_stored(self, line: LogLine, at_s: float) -> None:
        if line.facts.get("status") == "completed":
            history = self._get_history(line.facts["job"])
            history.stored_s = history.stored_s or at_s

    def _handle_shown(self, line: LogLine, at_s: float) -> None:
        if line.facts.get("status") == "completed":
            history = self._get_history(line.facts["job"])
            history.shown_s = history.shown_s or at_s

    def _handle_role(self, line: LogLine, at_s: float) -> None:
        last_action_s = self._last_action_s.get(self._controller)
        if last_action_s is not None:
            self.controller_gaps.append((last_action_s, at_s))
        self._controller = line.process

    def _handle_held(self, line: LogLine, at_s: float) -> None:
        self._held_since_s[line.process] = at_s

    def _handle_resumed(self, line: LogLine, at_s: float) -> None:
        began_s = self._held_since_s.pop(line.process, None)
        if began_s is not None:
            self.controller_gaps.append((began_s, at_s))
