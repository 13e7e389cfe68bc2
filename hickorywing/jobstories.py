"""Gather what the logs tell of each job, in order of time."""

from dataclasses import dataclass
from dataclasses import field

from hickorywing.logevents import LogEvent
from hickorywing.loglines import LogLine
from hickorywing.logpaces import LogPaces
from hickorywing.waste import name_cause

__all__ = ["JobStory", "Run", "StoryReader"]


@dataclass(slots=True)
class Run:
    """One run of a unit, as far as the logs tell; moments in seconds."""

    step: int
    first: int
    number: int
    placed_s: float
    waited_s: float = 0.0
    workers: tuple[str, ...] = ()
    started_s: float | None = None
    broke_s: float | None = None
    ended_s: float | None = None
    done: bool = False
    cause: str = ""
    estimate_s: float = 0.0


@dataclass(slots=True)
class JobStory:
    """What the logs tell of one job; moments in seconds.

    ``zone`` is that of the entry that was asked first. A ``standing`` job has
    occurrences or lasts, so it has no time to be completed within.
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
    stored_s: float | None = None
    shown_s: float | None = None
    standing: bool = False
    zone: str = ""
    claims: list[float] = field(default_factory=list)
    runs: dict[tuple[int, int, int], Run] = field(default_factory=dict)


class StoryReader:
    """Gathers what each job's lines tell, in order of time."""

    def __init__(self) -> None:
        self.stories: dict[str, JobStory] = {}
        self.paces = LogPaces()
        self.last_s = 0.0
        # Spans in which no controller decided.
        self.undecided: list[tuple[float, float]] = []
        self._held: dict[str, float] = {}
        self._holder = ""
        self._acted_s: dict[str, float] = {}
        self._zones: dict[str, str] = {}
        self._takes = {
            LogEvent.STARTING: self._take_starting,
            LogEvent.REFUSED: self._take_refused,
            LogEvent.JOB_SUBMITTED: self._take_submitted,
            LogEvent.JOB_CANCELLED: self._take_cancelled,
            LogEvent.RUN_PLACED: self._take_placed,
            LogEvent.RUN_PREEMPTED: self._take_preempted,
            LogEvent.START_ANSWERED: self._take_started,
            LogEvent.RUN_ENDED: self._take_ended,
            LogEvent.JOB_STATUS: self._take_status,
            LogEvent.STATUS_STORED: self._take_stored,
            LogEvent.STATUS_SHOWN: self._take_shown,
            LogEvent.ROLE_TAKEN: self._take_role,
            LogEvent.PLANNING_HELD: self._take_held,
            LogEvent.PLANNING_RESUMED: self._take_resumed,
        }

    def take(self, line: LogLine) -> None:
        """Take in the next line."""
        at_s = line.at.timestamp()
        self.last_s = max(self.last_s, at_s)
        if line.facts.get("role") == "entry" and line.event in (
            LogEvent.RUN_PLACED,
            LogEvent.RUN_ENDED,
            LogEvent.START_ANSWERED,
            LogEvent.JOB_SEEN,
        ):
            self._acted_s[line.process] = at_s
        self.paces.take(line, at_s)
        take = self._takes.get(line.event)
        if take is not None:
            take(line, at_s)

    def _story(self, job_id: str) -> JobStory:
        return self.stories.setdefault(job_id, JobStory(job_id))

    def _take_starting(self, line: LogLine, at_s: float) -> None:
        self._zones[line.process] = line.facts.get("zone", "")

    def _take_refused(self, line: LogLine, at_s: float) -> None:
        job_id = line.facts.get("job", "")
        if not job_id:
            return
        story = self._story(job_id)
        story.zone = story.zone or self._zones.get(line.process, "")
        if story.accepted_s is None:
            story.first_seen_s = min(story.first_seen_s, at_s)
            reason = line.facts.get("reason", "")
            story.refusals[reason] = story.refusals.get(reason, 0) + 1

    def _take_submitted(self, line: LogLine, at_s: float) -> None:
        facts = line.facts
        story = self._story(facts.get("job", ""))
        took_s = facts.get("took_s", 0.0)
        story.first_seen_s = min(story.first_seen_s, at_s - took_s)
        story.zone = story.zone or self._zones.get(line.process, "")
        story.priority = facts.get("priority", 0)
        story.standing = facts.get("standing", False)
        story.stretch = facts.get("stretch", 0.0)
        story.latency_target_s = facts.get("latency_target_s", 0.0)
        if story.accepted_s is not None:
            return
        if facts.get("outcome") == "done":
            story.accepted_s = at_s
            story.accept_took_s = took_s
        else:
            reason = f"store {facts.get('store', '')}"
            story.refusals[reason] = story.refusals.get(reason, 0) + 1

    def _take_cancelled(self, line: LogLine, at_s: float) -> None:
        self._story(line.facts.get("job", "")).cancelled = True

    def _take_placed(self, line: LogLine, at_s: float) -> None:
        facts = line.facts
        if facts.get("occurrence", 0):
            self._story(facts["job"]).standing = True
        key = (facts["step"], facts["first"], facts["run"])
        run = Run(
            *key,
            at_s,
            facts.get("waited_s", 0.0),
            tuple(facts.get("workers", ())),
        )
        self._story(facts["job"]).runs[key] = run

    def _take_preempted(self, line: LogLine, at_s: float) -> None:
        facts = line.facts
        self._story(facts.get("gives_way_to", "")).claims.append(at_s)

    def _find_run(self, line: LogLine) -> Run | None:
        """Return the run of the unit that a task's line is about."""
        parts = str(line.facts.get("task", "")).split(".")
        story = self.stories.get(parts[0])
        if story is None or len(parts) != 4:
            return None
        step, index = int(parts[2]), int(parts[3])
        number = line.facts.get("run", 0)
        single = story.runs.get((step, index, number))
        return single or story.runs.get((step, 0, number))

    def _take_started(self, line: LogLine, at_s: float) -> None:
        run = self._find_run(line)
        if run is not None and line.facts.get("outcome") == "ok":
            run.started_s = at_s

    def _take_ended(self, line: LogLine, at_s: float) -> None:
        run = self._find_run(line)
        if run is None:
            return
        facts = line.facts
        run.estimate_s = facts.get("estimate_s", 0.0)
        if facts.get("how") == "done":
            run.done = True
            run.ended_s = run.ended_s or at_s
            return
        if run.broke_s is None:
            run.broke_s = at_s
            how, stopping = facts.get("how", ""), facts.get("stopping", "")
            own = how == "failed" and not stopping
            run.cause = "failed" if own else name_cause(how, stopping)
        elif facts.get("how") in ("lost", "lapsed") and "member" in run.cause:
            # The first member to end is rarely the one that broke the gang.
            run.cause = name_cause(facts["how"], "")
        run.ended_s = at_s

    def _take_status(self, line: LogLine, at_s: float) -> None:
        if line.facts.get("status") == "completed":
            story = self._story(line.facts["job"])
            story.completed_s = story.completed_s or at_s

    def _take_stored(self, line: LogLine, at_s: float) -> None:
        if line.facts.get("status") == "completed":
            story = self._story(line.facts["job"])
            story.stored_s = story.stored_s or at_s

    def _take_shown(self, line: LogLine, at_s: float) -> None:
        if line.facts.get("status") == "completed":
            story = self._story(line.facts["job"])
            story.shown_s = story.shown_s or at_s

    def _take_role(self, line: LogLine, at_s: float) -> None:
        acted_s = self._acted_s.get(self._holder)
        if acted_s is not None:
            self.undecided.append((acted_s, at_s))
        self._holder = line.process

    def _take_held(self, line: LogLine, at_s: float) -> None:
        self._held[line.process] = at_s

    def _take_resumed(self, line: LogLine, at_s: float) -> None:
        began_s = self._held.pop(line.process, None)
        if began_s is not None:
            self.undecided.append((began_s, at_s))
