"""Keep the state of a pool's jobs and store each change of it."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

from hickorywing.clock import now_s
from hickorywing.committer import Committer
from hickorywing.decisions import DecisionLog
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.openmembers import OpenMember
from hickorywing.openmembers import OpenMembers
from hickorywing.policy.crashes import find_deadly_task
from hickorywing.policy.crashes import list_crashes_of
from hickorywing.policy.poolclaims import UnitKey
from hickorywing.policy.poolhealth import WorkerHealth
from hickorywing.policy.poolpreemption import count_core_equivalents
from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolruns import format_task
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolruns import JobStatus
from hickorywing.policy.poolruns import Member
from hickorywing.policy.poolruns import parse_task
from hickorywing.policy.poolruns import TaskName
from hickorywing.policy.poolruns import UncertainEnd
from hickorywing.policy.poolruns import Unit
from hickorywing.poolrows import cancel_key
from hickorywing.poolrows import encode_status
from hickorywing.poolrows import job_key
from hickorywing.poolrows import job_pool_key
from hickorywing.poolrows import progress_key
from hickorywing.poolrows import status_key
from hickorywing.progressrows import ProgressRows
from hickorywing.progressrows import StoredProgress

__all__ = ["PoolJobs"]

# Limits the deletions of one sweep to 75 rows, which take two transactions of
# the committer. 15 jobs every 10 s are enough for 130,000 jobs a day.
MAX_DELETED_PER_SWEEP = 15
# Names in a log line; a worker has a few dozen tasks at most.
MAX_LOGGED_TASKS = 20


class PoolJobs:
    """The jobs of one pool during one term of its controller.

    ``accepted`` holds all accepted jobs that have not been deleted, ``live``
    those that may still have tasks running or waiting, and ``members`` the
    gang members that may be running. ``schedule_plan`` is called after each
    change. Ended jobs are kept for ``keep_ended_s`` seconds.
    """

    def __init__(
        self,
        pool: str,
        keep_ended_s: float,
        committer: Committer,
        health: WorkerHealth,
        schedule_plan: Callable[[], None],
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.accepted: dict[str, JobState] = {}
        self.live: dict[str, JobState] = {}
        self.members = OpenMembers()
        self._pool = pool
        self.keep_ended_s = keep_ended_s
        self._committer = committer
        self._health = health
        self._schedule_plan = schedule_plan
        self._log = log
        self._metrics = metrics
        # The units that may have uncertain ends.
        self._uncertain: dict[UnitKey, Unit] = {}
        # The versions of the rows that cancel jobs.
        self._cancels: dict[str, int] = {}
        self._ended_s: dict[str, float] = {}
        self._unstored_checkpoints: set[str] = set()
        self._published: dict[str, JobStatus] = {}
        self._progress: dict[str, StoredProgress] = {}

    def add(
        self,
        state: JobState,
        restored: bool,
        rows: ProgressRows | None = None,
    ) -> None:
        """Add an accepted job.

        ``restored`` says that an earlier controller has logged the job
        already. Its state comes from the progress ``rows``, if there are any.
        """
        job = state.job
        self.accepted[job.job_id] = state
        self._progress[job.job_id] = StoredProgress(self._pool, state, rows)
        if state.status is not self._visible_status(job.job_id):
            self.store(state)
        if state.final and not state.is_running():
            return
        self.live[job.job_id] = state
        for unit in state.list_running_units():
            self.members.add(state, unit)
        for unit in state.units.values():
            if unit.uncertain_ends:
                self._uncertain[unit.key] = unit
        if job.job_id in self._cancels:
            self._cancel(state)
        if state.is_behind():
            self._update_status(state)
        if not restored:
            self._log.write(
                LogEvent.JOB_SEEN,
                job=job.job_id,
                queue=job.terms.queue,
                customer=job.customer,
                version=state.accepted,
            )
        self._schedule_plan()

    def cancel(self, job_id: str, version: int = 0) -> None:
        """Cancel a job; the request may arrive before the job itself.

        ``version`` is that of the row with the request, 0 if it has none.
        """
        self._cancels[job_id] = version
        state = self.live.get(job_id)
        if state is not None:
            self._cancel(state)

    def _cancel(self, state: JobState) -> None:
        if not state.cancelled:
            state.cancelled = True
            self._log.write(LogEvent.JOB_CANCELLED, job=state.job.job_id)
            self._update_status(state)

    def _update_status(self, state: JobState) -> None:
        """Derive a job's status after a change and store its progress.

        The running tasks of a job in a final status are stopped.
        """
        if state.update_status():
            self._log.write(
                LogEvent.JOB_STATUS, job=state.job.job_id, status=state.status
            )
            self._metrics.count("jobs", status=state.status)
        if state.final:
            for unit in state.list_running_units():
                unit.stopping = unit.stopping or f"job {state.status}"
            if not state.is_running():
                self.live.pop(state.job.job_id, None)
        self.store(state)
        self._schedule_plan()

    def delete_ended(self) -> None:
        """Delete the rows of jobs that ended long enough ago.

        These are jobs seen as ended for ``keep_ended_s`` seconds, at most
        ``MAX_DELETED_PER_SWEEP`` of them in one call.
        """
        now = now_s()
        ended = []
        for job_id, state in self.accepted.items():
            if len(ended) >= MAX_DELETED_PER_SWEEP:
                break
            if not state.final or job_id in self.live:
                continue
            since_s = self._ended_s.setdefault(job_id, now)
            is_stored = not self._committer.is_writing(
                progress_key(self._pool, job_id)
            )
            if is_stored and now - since_s >= self.keep_ended_s:
                ended.append(job_id)
        for job_id in ended:
            self._delete(job_id)
        if ended:
            self._log.write(LogEvent.JOBS_FORGOTTEN, jobs=len(ended))

    def _delete(self, job_id: str) -> None:
        """Delete the rows of an ended job.

        Until the last transaction a successor finds the job with its final
        status; it must find neither the job without its progress nor another
        job of this id with the progress of this one.
        """
        state = self.accepted.pop(job_id)
        del self._ended_s[job_id]
        progress = self._progress.pop(job_id)
        self._published.pop(job_id, None)
        versions = self._committer.versions
        main = progress_key(self._pool, job_id)
        known = (
            *(set(progress.list_keys()) - {main}),
            main,
            status_key(self._pool, job_id),
        )
        rows = {key: versions[key] for key in known if versions.get(key)}
        last = {
            job_key(self._pool, job_id): state.accepted,
            job_pool_key(job_id): state.accepted,
        }
        cancelled = self._cancels.pop(job_id, 0)
        if cancelled:
            last[cancel_key(self._pool, job_id)] = cancelled
        for key in known[-2:]:
            if key in rows:
                last[key] = rows.pop(key)
        if rows:
            self._committer.remove(rows)
        self._committer.remove(last)

    def place(self, unit: Unit, workers: Iterable[str]) -> JobState:
        """Start a new run of a unit; return the state of its job."""
        state = self.live[unit.job_id]
        unit.place(list(workers), now_s())
        self.members.add(state, unit)
        return state

    def end_member(
        self, item: OpenMember, ending: Ending, saved: str = ""
    ) -> None:
        """Record that a member has ended and store the job's progress.

        ``saved`` is the checkpoint it left, if any.
        """
        item.unit.end(item.member, ending, saved)
        self._finish_end(item, ending)

    def _finish_end(self, item: OpenMember, ending: Ending) -> None:
        """Process the end of a member that its unit has recorded."""
        state, unit, member = item.state, item.unit, item.member
        if unit.done:
            self.members.drop_ended(unit)
        else:
            self.members.drop(item)
        self._record_health(state, member, ending)
        self._log.write(
            LogEvent.RUN_ENDED,
            task=item.task,
            run=unit.run,
            worker=member.worker,
            how=ending,
            stopping=unit.stopping,
            took_s=round(now_s() - unit.placed_at_s, 2),
            estimate_s=item.step.estimate_s,
            percent=member.percent,
            cores=count_core_equivalents(item.step),
            saves=item.step.checkpoints,
        )
        self._metrics.count("runs_ended", how=ending)
        if not unit.running and unit.preempted_at_s is not None:
            self._metrics.observe(
                "preemption_seconds", now_s() - unit.preempted_at_s
            )
        if not unit.running and not unit.done:
            unit.waiting_since_s = now_s()
        self._update_status(state)

    def infer_end(self, item: OpenMember) -> None:
        """End a member that must have ended although no report says so."""
        item.unit.infer_end(item.member, now_s())
        self._uncertain[item.unit.key] = item.unit
        self._finish_end(item, Ending.LOST)

    def list_uncertain_ends(self) -> Iterator[tuple[str, int, UncertainEnd]]:
        """Return each task and run whose inferred end isn't known yet."""
        for key, unit in list(self._uncertain.items()):
            if not unit.uncertain_ends or unit.job_id not in self.live:
                del self._uncertain[key]
                continue
            for run, end in list(unit.uncertain_ends.items()):
                yield format_task(unit.name_task(end.index)), run, end

    def settle_end(self, name: str, run: int, worker: str) -> None:
        """Record that the inferred end of a run counts as no attempt.

        Either it is known by now, or its worker will never list it.
        """
        task = parse_task(name)
        state = None if task is None else self.live.get(task.job_id)
        unit = None if state is None else state.find_unit(task)
        if unit is not None and unit.settle_end(run, task.index, worker):
            self.store(state)
            self._schedule_plan()

    def find_job(self, name: str) -> JobState | None:
        """Return the state of the job that a task belongs to."""
        task = parse_task(name)
        return None if task is None else self.accepted.get(task.job_id)

    def get_known_run(self, name: str) -> int:
        """Return the last run of a task that is known, 0 if there is none."""
        state = self.find_job(name)
        unit = None if state is None else state.find_unit(parse_task(name))
        return 0 if unit is None else unit.last_run

    def find_listed_unit(self, name: str) -> tuple[JobState, Unit] | None:
        """Return the unit of a task that a worker lists, with its job.

        The result is ``None`` if nothing of the task may start any more.
        """
        task = parse_task(name)
        state = None if task is None else self.live.get(task.job_id)
        if state is None or state.final:
            return None
        unit = state.find_or_open_unit(task, now_s())
        if unit is None or unit.done or not unit.has_task(task.index):
            return None
        return state, unit

    def adopt_end(self, name: str, run: int, how: str) -> bool:
        """Take over the end of a run that isn't the present one of its task.

        That run was given up, or its row is lost. Returns whether the end
        changes anything. If a task is done although a later run has replaced
        the listed one, that later run is stopped.
        """
        found = self.find_listed_unit(name)
        if found is None:
            return False
        state, unit = found
        adopted = unit.learn_run(run, now_s())
        if how == Ending.DONE:
            adopted = self._mark_done(state, unit, run) or adopted
        elif how == Ending.FAILED:
            adopted = self._count_late_failure(unit, run) or adopted
        if adopted:
            self._update_status(state)
        return adopted

    def adopt_run(self, name: str, run: int, worker: str) -> bool:
        """Take over a run that a worker lists as running and no row knows.

        It is newer than all known runs, or a member of the present one whose
        row is lost. Returns ``False`` for any other, which must be stopped.
        """
        found = self.find_listed_unit(name)
        if found is None:
            return False
        state, unit = found
        index = parse_task(name).index
        is_new = unit.learn_run(run, now_s())
        is_missing = unit.running and unit.find(index) is None
        if unit.run != run or not (is_new or is_missing):
            return False
        unit.adopt_member(index, worker)
        self.members.add(state, unit)
        self._log.write(
            LogEvent.RUN_ADOPTED, task=name, run=run, worker=worker
        )
        self._update_status(state)
        return True

    def _mark_done(self, state: JobState, unit: Unit, run: int) -> bool:
        """Mark a unit as done; return ``False`` if its step has no end."""
        if state.job.steps[unit.step].lasting:
            return False
        unit.mark_done()
        if unit.running:
            unit.stopping = unit.stopping or f"run {run} is done"
        return True

    def _count_late_failure(self, unit: Unit, run: int) -> bool:
        """Count the failure of a run as an attempt; return if it is new.

        A worker may report an end again after an earlier controller has
        counted and stored the failure, so only runs that this controller has
        given up are counted.
        """
        return run in unit.given_up_runs and unit.count_failure(run)

    def record_crash(self, worker: str) -> None:
        """Record that a worker crashed, for each task that ran there.

        A job with a task that has crashed too many workers fails.
        """
        lost = [
            (state, unit, unit.find_lost_members(worker)[1])
            for state in self.live.values()
            for unit in state.units.values()
        ]
        lost = [item for item in lost if item[2]]
        changed = {
            state.job.job_id: state
            for state, unit, _ in lost
            if unit.record_crash(worker, len(lost) == 1, now_s())
        }
        if not changed:
            return
        names = [
            format_task(unit.task(member))
            for _, unit, members in lost
            for member in members
        ]
        self._log.write(
            LogEvent.WORKER_CRASHED,
            worker=worker,
            tasks=names[:MAX_LOGGED_TASKS],
            units=len(lost),
        )
        self._metrics.count("workers_crashed")
        for state in changed.values():
            unit = state.find_deadly_unit()
            if unit is not None and not state.final:
                self._give_up(unit)
            self._update_status(state)

    def _give_up(self, unit: Unit) -> None:
        """Log that a task is given up, and absolve others of its crashes."""
        task = find_deadly_task(unit.crashes)
        crashes = list_crashes_of(task, unit.crashes)
        workers = [crash.worker for crash in crashes]
        self._log.write(
            LogEvent.TASK_GIVEN_UP,
            task=format_task(
                TaskName(unit.job_id, unit.occurrence, unit.step, task)
            ),
            run=unit.run,
            crashed=workers,
            alone=[crash.worker for crash in crashes if crash.alone],
        )
        self._metrics.count("tasks_given_up")
        if not crashes[-1].alone:
            # Another task may have been the cause.
            return
        for state in self.live.values():
            others = [
                item for item in state.list_crashed_units() if item is not unit
            ]
            # The list lets all units be marked, not only the first ones.
            if any([item.explain_crashes(workers) for item in others]):
                self.store(state)

    def _record_health(
        self, state: JobState, member: Member, ending: Ending
    ) -> None:
        """Update a worker's health from the way in which a run ended."""
        worker = member.worker
        if ending is Ending.DONE:
            self._health.record_success(worker, now_s())
        elif ending is Ending.FAILED:
            was_bad = self._health.is_bad(worker, now_s())
            state.record_failure(worker, now_s())
            self._health.record_failure(worker, state.job.job_id, now_s())
            if self._health.is_bad(worker, now_s()) and not was_bad:
                self._log.write(LogEvent.WORKER_SET_ASIDE, worker=worker)

    def record_checkpoint(self, item: OpenMember, saved: str) -> None:
        """Record the checkpoint of a running member, to be stored later."""
        if item.unit.record_save(saved):
            self._unstored_checkpoints.add(item.state.job.job_id)

    def store_checkpoints(self) -> None:
        """Store new checkpoints, so that they survive the loss of all VMs."""
        for job_id in self._unstored_checkpoints & self.live.keys():
            self.store(self.live[job_id])
        self._unstored_checkpoints.clear()

    def store(
        self, state: JobState, stored: Callable[[], None] | None = None
    ) -> None:
        """Store a job's progress; ``stored`` is called afterwards.

        If the status differs from the one that callers see, the status row is
        written in the same transaction.
        """
        job_id = state.job.job_id
        status_rows = {}
        if state.status is not self._visible_status(job_id):
            self._published[job_id] = state.status
            key = status_key(self._pool, job_id)
            status_rows[key] = lambda: encode_status(state.status)
            if state.final:
                stored = self._make_stored_callback(state, stored)
        progress = self._progress[job_id]

        def finish() -> None:
            progress.confirm_stored()
            if stored is not None:
                stored()

        self._committer.put_rows(
            progress_key(self._pool, job_id),
            lambda: progress.encode_changes(
                self._committer.clock_s(), self._committer.row_bytes
            ),
            finish,
            status_rows,
        )

    def _make_stored_callback(
        self, state: JobState, stored: Callable[[], None] | None
    ) -> Callable[[], None]:
        """Return a callback that logs that a final status is stored."""

        def notify_stored() -> None:
            self._log.write(
                LogEvent.STATUS_STORED,
                job=state.job.job_id,
                status=state.status,
            )
            if stored is not None:
                stored()

        return notify_stored

    def record_published(self, job_id: str, status: JobStatus) -> None:
        """Record which status a job's row shows to callers."""
        self._published[job_id] = status

    def _visible_status(self, job_id: str) -> JobStatus:
        """Return the status that callers see once pending writes are done."""
        return self._published.get(job_id, JobStatus.PENDING)
