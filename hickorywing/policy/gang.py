"""Start one attempt of a gang whole, or not at all.

Prepare every member, commit the start, then start every member. A member that
refuses, fails or falls silent stops the whole attempt. Commands are repeated
until answered, and members treat repeats as harmless. The machine takes events
and returns actions; it does no I/O.
"""

from dataclasses import dataclass
import enum

__all__ = ["GangAction", "GangActionKind", "GangPhase", "GangStart"]

REPEAT_EVERY_S = 0.5
PREPARE_TIMEOUT_S = 5.0
START_TIMEOUT_S = 5.0
ADOPT_TIMEOUT_S = 20.0
STOP_GIVE_UP_S = 32.0
CHECKPOINT_GRACE_S = 2.0


class GangPhase(enum.StrEnum):
    """Where one attempt stands."""

    PREPARING = "preparing"
    COMMITTING = "committing"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


class GangActionKind(enum.StrEnum):
    """What the controller has to do for a gang."""

    PREPARE = "prepare"
    COMMIT_STARTED = "commit started"
    START = "start"
    STOP = "stop"
    RUNNING = "running"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class GangAction:
    """One thing to do; ``worker`` is set for commands to a member."""

    kind: GangActionKind
    worker: str | None = None


class GangStart:
    """One attempt of one gang, seen from the zone controller."""

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
        self._answered: set[str] = set()
        self._ended: set[str] = set()
        self._phase_since = now
        self._repeat_at = now

    @classmethod
    def adopt(
        cls, job_id: str, attempt: int, workers: tuple[str, ...], now: float
    ) -> "GangStart":
        """Take over an attempt that a former controller had started."""
        gang = cls(job_id, attempt, workers, now)
        gang.phase = GangPhase.STARTING
        gang.committed = True
        gang.start_timeout_s = ADOPT_TIMEOUT_S
        return gang

    def poll(self, now: float) -> list[GangAction]:
        """Return the commands that are due and act on timeouts."""
        if self._timed_out(now):
            silent = sorted(set(self.workers) - self._answered)
            self.fail(f"no answer from {', '.join(silent)}", None, now)
        if self.phase is GangPhase.STOPPING:
            return self._poll_stopping(now)
        if now < self._repeat_at:
            return []
        kinds = {
            GangPhase.PREPARING: GangActionKind.PREPARE,
            GangPhase.STARTING: GangActionKind.START,
        }
        kind = kinds.get(self.phase)
        if kind is None:
            return []
        self._repeat_at = now + REPEAT_EVERY_S
        return self._commands(kind, self._answered)

    def _commands(
        self, kind: GangActionKind, done: set[str]
    ) -> list[GangAction]:
        return [
            GangAction(kind, worker)
            for worker in self.workers
            if worker not in done
        ]

    def _timed_out(self, now: float) -> bool:
        limits = {
            GangPhase.PREPARING: PREPARE_TIMEOUT_S,
            GangPhase.STARTING: self.start_timeout_s,
        }
        limit = limits.get(self.phase)
        return limit is not None and now - self._phase_since > limit

    def _poll_stopping(self, now: float) -> list[GangAction]:
        gone = self._ended | self.lost
        if gone >= set(self.workers):
            self._enter(GangPhase.ENDED, now)
            return [GangAction(GangActionKind.ENDED)]
        if now - self._phase_since > STOP_GIVE_UP_S:
            # Every member's lease has lapsed by now: it stopped by itself.
            self._enter(GangPhase.ENDED, now)
            return [GangAction(GangActionKind.ENDED)]
        if now < self._repeat_at:
            return []
        self._repeat_at = now + REPEAT_EVERY_S
        return self._commands(GangActionKind.STOP, gone)

    def _enter(self, phase: GangPhase, now: float) -> None:
        self.phase = phase
        self._phase_since = now
        self._repeat_at = now
        if phase is not GangPhase.STOPPING:
            self._answered = set()

    def prepared(self, worker: str, now: float) -> list[GangAction]:
        """Take in a member's answer that it is prepared."""
        if self.phase is not GangPhase.PREPARING:
            return []
        self._answered.add(worker)
        if self._answered < set(self.workers):
            return []
        self._enter(GangPhase.COMMITTING, now)
        return [GangAction(GangActionKind.COMMIT_STARTED)]

    def commit_answered(self, committed: bool, now: float) -> None:
        """Take in the answer of the commit that starts the gang."""
        if self.phase is GangPhase.COMMITTING and committed:
            self.committed = True
            self._enter(GangPhase.STARTING, now)
        elif self.phase is GangPhase.COMMITTING:
            self.fail("start not committed", None, now)
        elif committed:
            self.committed = True

    def started(self, worker: str, now: float) -> list[GangAction]:
        """Take in a member's answer that it runs."""
        self.ever_started = True
        if self.phase is not GangPhase.STARTING:
            return []
        self._answered.add(worker)
        if self._answered < set(self.workers):
            return []
        self._enter(GangPhase.RUNNING, now)
        return [GangAction(GangActionKind.RUNNING)]

    def refused(self, worker: str, reason: str, now: float) -> None:
        """Take in a member's refusal."""
        if self.phase in (GangPhase.PREPARING, GangPhase.STARTING):
            self.fail(f"{worker}: {reason}", None, now)

    def member_done(self, worker: str, now: float) -> list[GangAction]:
        """Take in that a member finished its tasks."""
        self.ever_started = True
        self._ended.add(worker)
        if self.phase is GangPhase.STARTING:
            running = self.started(worker, now)
            return running + self._end_when_whole(now)
        return self._end_when_whole(now)

    def _end_when_whole(self, now: float) -> list[GangAction]:
        if self.phase is not GangPhase.RUNNING:
            return []
        if self._ended < set(self.workers):
            return []
        self._enter(GangPhase.ENDED, now)
        return [GangAction(GangActionKind.ENDED)]

    def member_failed(self, worker: str, now: float) -> None:
        """Take in that a member's task failed: the whole attempt stops."""
        self._ended.add(worker)
        self.fail(f"task failed on {worker}", worker, now)

    def member_stopped(
        self, worker: str, kept_s: float | None, now: float
    ) -> None:
        """Take in that a member stopped, with what its checkpoint kept."""
        self._ended.add(worker)
        if kept_s is not None:
            known = self.kept_s
            self.kept_s = kept_s if known is None else min(known, kept_s)
        self.fail(f"{worker} stopped", None, now)

    def worker_lost(self, worker: str, now: float) -> None:
        """Take in that a member's lease has surely lapsed."""
        if worker not in self.workers:
            return
        if worker not in self._ended:
            self.lost.add(worker)
            self.fail(f"{worker} lost", None, now)

    def stop(self, reason: str, checkpoint: bool, now: float) -> None:
        """Stop the attempt on the scheduler's behalf."""
        self.checkpoint = checkpoint
        self.fail(reason, None, now)

    def fail(self, reason: str, worker: str | None, now: float) -> None:
        """Stop every member of the attempt."""
        if self.phase in (GangPhase.STOPPING, GangPhase.ENDED):
            return
        self.failure = reason
        self.failed_worker = worker
        self._enter(GangPhase.STOPPING, now)
