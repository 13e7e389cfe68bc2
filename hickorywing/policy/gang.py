"""Start all members of a gang's attempt, or none.

The protocol has three steps: prepare every member, commit the start in the
table, then start every member. If a member refuses, fails or does not answer
in time, the whole attempt is stopped. Commands are repeated until answered;
members handle them idempotently. ``GangStart`` is a state machine that takes
events and returns actions; it does no I/O.
"""

from dataclasses import dataclass
import enum

__all__ = ["GangAction", "GangActionKind", "GangPhase", "GangStart"]

# Unanswered commands are sent again after this time.
RETRY_EVERY_S = 0.5
PREPARE_TIMEOUT_S = 5.0
START_TIMEOUT_S = 5.0
# An adopted attempt gets longer, as its agents must find the new controller.
ADOPT_TIMEOUT_S = 20.0
# Longer than the lease of a member and that of its worker's tasks together, so
# that a member whose stop was not reported has stopped by itself.
STOP_TIMEOUT_S = 32.0
CHECKPOINT_GRACE_S = 2.0


class GangPhase(enum.StrEnum):
    """Phase of one attempt."""

    PREPARING = "preparing"
    COMMITTING = "committing"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


class GangActionKind(enum.StrEnum):
    """Kinds of action that the zone controller takes for a gang."""

    PREPARE = "prepare"
    COMMIT_STARTED = "commit started"
    START = "start"
    STOP = "stop"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class GangAction:
    """One action; ``worker`` is set if it is a command to a member."""

    kind: GangActionKind
    worker: str | None = None


class GangStart:
    """One attempt of a gang, as the zone controller tracks it.

    A member is the part of the gang on one worker. ``failure`` is the reason
    for a stop, ``failed_worker`` the worker on which a task failed, ``lost``
    the members whose worker was lost, and ``kept_s`` the run time in seconds
    that the checkpoints of all members have saved.
    """

    def __init__(
        self, job_id: str, attempt: int, workers: tuple[str, ...], now: float
    ) -> None:
        self.job_id = job_id
        self.attempt = attempt
        self.workers = workers
        self.phase = GangPhase.PREPARING
        self.failure: str | None = None
        self.failed_worker: str | None = None
        self.checkpoint = False
        self.committed = False
        self.ever_started = False
        self.lost: set[str] = set()
        self.kept_s: float | None = None
        self.start_timeout_s = START_TIMEOUT_S
        self._acknowledged: set[str] = set()
        self._ended_workers: set[str] = set()
        self._phase_entered_at = now
        self._retry_at = now

    @classmethod
    def adopt(
        cls, job_id: str, attempt: int, workers: tuple[str, ...], now: float
    ) -> "GangStart":
        """Return the gang of an attempt that a former controller started.

        Its start is committed, so start commands are sent to all members.
        """
        gang = cls(job_id, attempt, workers, now)
        gang.phase = GangPhase.STARTING
        gang.committed = True
        gang.start_timeout_s = ADOPT_TIMEOUT_S
        return gang

    def poll(self, now: float) -> list[GangAction]:
        """Apply timeouts and return the commands that are due."""
        if self._is_timed_out(now):
            silent = sorted(set(self.workers) - self._acknowledged)
            self.fail(f"no answer from {', '.join(silent)}", None, now)
        if self.phase is GangPhase.STOPPING:
            return self._poll_stopping(now)
        if now < self._retry_at:
            return []
        kinds = {
            GangPhase.PREPARING: GangActionKind.PREPARE,
            GangPhase.STARTING: GangActionKind.START,
        }
        kind = kinds.get(self.phase)
        if kind is None:
            return []
        self._retry_at = now + RETRY_EVERY_S
        return self._make_commands(kind, self._acknowledged)

    def _make_commands(
        self, kind: GangActionKind, done: set[str]
    ) -> list[GangAction]:
        return [
            GangAction(kind, worker)
            for worker in self.workers
            if worker not in done
        ]

    def _is_timed_out(self, now: float) -> bool:
        limits = {
            GangPhase.PREPARING: PREPARE_TIMEOUT_S,
            GangPhase.STARTING: self.start_timeout_s,
        }
        limit = limits.get(self.phase)
        return limit is not None and now - self._phase_entered_at > limit

    def _poll_stopping(self, now: float) -> list[GangAction]:
        finished = self._ended_workers | self.lost
        if finished >= set(self.workers):
            self._enter(GangPhase.ENDED, now)
            return [GangAction(GangActionKind.ENDED)]
        if now - self._phase_entered_at > STOP_TIMEOUT_S:
            # All members have stopped: their leases have expired by now.
            self._enter(GangPhase.ENDED, now)
            return [GangAction(GangActionKind.ENDED)]
        if now < self._retry_at:
            return []
        self._retry_at = now + RETRY_EVERY_S
        return self._make_commands(GangActionKind.STOP, finished)

    def _enter(self, phase: GangPhase, now: float) -> None:
        self.phase = phase
        self._phase_entered_at = now
        self._retry_at = now
        if phase is not GangPhase.STOPPING:
            self._acknowledged = set()

    def prepared(self, worker: str, now: float) -> list[GangAction]:
        """Record that a member is prepared; commit once all are."""
        if self.phase is not GangPhase.PREPARING:
            return []
        self._acknowledged.add(worker)
        if self._acknowledged < set(self.workers):
            return []
        self._enter(GangPhase.COMMITTING, now)
        return [GangAction(GangActionKind.COMMIT_STARTED)]

    def commit_answered(self, committed: bool, now: float) -> None:
        """Record whether the commit of the start succeeded.

        If the gang is being stopped meanwhile, a commit that succeeded only
        sets ``committed``.
        """
        if self.phase is GangPhase.COMMITTING and committed:
            self.committed = True
            self._enter(GangPhase.STARTING, now)
        elif self.phase is GangPhase.COMMITTING:
            self.fail("start not committed", None, now)
        elif committed:
            self.committed = True

    def started(self, worker: str, now: float) -> list[GangAction]:
        """Record that a member has started."""
        self.ever_started = True
        if self.phase is not GangPhase.STARTING:
            return []
        self._acknowledged.add(worker)
        if self._acknowledged < set(self.workers):
            return []
        self._enter(GangPhase.RUNNING, now)
        return [GangAction(GangActionKind.RUNNING)]

    def refused(self, worker: str, reason: str, now: float) -> None:
        """Stop the attempt because a member refused a command."""
        if self.phase in (GangPhase.PREPARING, GangPhase.STARTING):
            self.fail(f"{worker}: {reason}", None, now)

    def member_done(self, worker: str, now: float) -> list[GangAction]:
        """Record that all tasks of a member are done."""
        self.ever_started = True
        self._ended_workers.add(worker)
        if self.phase is GangPhase.STARTING:
            running = self.started(worker, now)
            return running + self._end_if_all_done(now)
        return self._end_if_all_done(now)

    def _end_if_all_done(self, now: float) -> list[GangAction]:
        if self.phase is not GangPhase.RUNNING:
            return []
        if self._ended_workers < set(self.workers):
            return []
        self._enter(GangPhase.ENDED, now)
        return [GangAction(GangActionKind.ENDED)]

    def member_failed(self, worker: str, now: float) -> None:
        """Record that a task of a member failed, and stop the attempt."""
        self._ended_workers.add(worker)
        self.fail(f"task failed on {worker}", worker, now)

    def member_stopped(
        self, worker: str, kept_s: float | None, now: float
    ) -> None:
        """Record that a member has stopped, and stop the attempt.

        ``kept_s`` is the run time in seconds that its checkpoint saved; the
        gang keeps the minimum of its members.
        """
        self._ended_workers.add(worker)
        if kept_s is not None:
            known = self.kept_s
            self.kept_s = kept_s if known is None else min(known, kept_s)
        self.fail(f"{worker} stopped", None, now)

    def worker_lost(self, worker: str, now: float) -> None:
        """Record that a worker was lost, and stop the attempt.

        The lease of its member has expired.
        """
        if worker not in self.workers:
            return
        if worker not in self._ended_workers:
            self.lost.add(worker)
            self.fail(f"{worker} lost", None, now)

    def stop(self, reason: str, checkpoint: bool, now: float) -> None:
        """Stop the attempt for a reason outside it, such as an eviction."""
        self.checkpoint = checkpoint
        self.fail(reason, None, now)

    def fail(self, reason: str, worker: str | None, now: float) -> None:
        """Record the reason of a failure and start to stop all members.

        ``worker`` is the worker on which a task failed, if that is the reason.
        """
        if self.phase in (GangPhase.STOPPING, GangPhase.ENDED):
            return
        self.failure = reason
        self.failed_worker = worker
        self._enter(GangPhase.STOPPING, now)
