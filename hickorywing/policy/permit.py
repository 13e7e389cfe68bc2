"""Let a worker's agent start a gang member only while that is allowed.

An agent keeps one reservation per job. It refuses commands of an older epoch
or attempt, gives a reservation up when its lease lapses, and starts a member
only while its own configuration register says the zone is in and was confirmed
recently. All times are seconds on the agent's own monotonic clock.
"""

from dataclasses import dataclass
import enum

from hickorywing.policy.register import ConfigurationRegister

__all__ = ["MemberPermit", "MemberState", "PermitAnswer", "Reservation"]

RESERVATION_LEASE_S = 30.0
TASK_LEASE_S = 20.0


class MemberState(enum.StrEnum):
    """Where one member of an attempt stands on its worker."""

    PREPARED = "prepared"
    RUNNING = "running"
    STOPPED = "stopped"
    DONE = "done"
    FAILED = "failed"


class PermitAnswer(enum.StrEnum):
    """What the agent says to a command."""

    ACCEPTED = "accepted"
    STALE_EPOCH = "stale epoch"
    STALE_ATTEMPT = "stale attempt"
    NOT_PREPARED = "not prepared"
    ZONE_OUT = "zone out"
    UNCONFIRMED = "configuration not confirmed"
    LEAVING = "leaving"
    OVERLAP = "cell in use"


@dataclass(slots=True)
class Reservation:
    """One job's member on this worker."""

    job_id: str
    attempt: int
    epoch: int
    state: MemberState
    lease_until: float
    slots: frozenset[int]


class MemberPermit:
    """The start decisions of one worker's agent."""

    def __init__(
        self,
        zone: str,
        register: ConfigurationRegister,
        task_lease_s: float = TASK_LEASE_S,
    ) -> None:
        self.zone = zone
        self.register = register
        self.task_lease_s = task_lease_s
        self.epoch = 0
        self.leaving = False
        self.members: dict[str, Reservation] = {}
        self._last_attempt: dict[str, int] = {}

    def admit_epoch(self, epoch: int) -> bool:
        """Note a controller's epoch; tell whether it is the newest."""
        if epoch < self.epoch:
            return False
        self.epoch = epoch
        return True

    def prepare(
        self,
        job_id: str,
        attempt: int,
        epoch: int,
        slots: frozenset[int],
        now: float,
    ) -> PermitAnswer:
        """Reserve accelerators for a member; repeats are harmless."""
        if not self.admit_epoch(epoch):
            return PermitAnswer.STALE_EPOCH
        if self.leaving:
            return PermitAnswer.LEAVING
        known = self.members.get(job_id)
        if known is not None and known.attempt == attempt:
            known.epoch = epoch
            return PermitAnswer.ACCEPTED
        if attempt <= self._last_attempt.get(job_id, 0):
            return PermitAnswer.STALE_ATTEMPT
        if self._overlaps(job_id, slots):
            return PermitAnswer.OVERLAP
        self._last_attempt[job_id] = attempt
        self.members[job_id] = Reservation(
            job_id,
            attempt,
            epoch,
            MemberState.PREPARED,
            now + RESERVATION_LEASE_S,
            slots,
        )
        return PermitAnswer.ACCEPTED

    def _overlaps(self, job_id: str, slots: frozenset[int]) -> bool:
        for other in self.members.values():
            live = other.state in (MemberState.PREPARED, MemberState.RUNNING)
            if live and other.job_id != job_id and other.slots & slots:
                return True
        return False

    def start(
        self, job_id: str, attempt: int, epoch: int, now: float
    ) -> PermitAnswer:
        """Decide whether a prepared member may start right now."""
        if not self.admit_epoch(epoch):
            return PermitAnswer.STALE_EPOCH
        known = self.members.get(job_id)
        if known is None or known.attempt != attempt:
            return PermitAnswer.NOT_PREPARED
        if known.state is not MemberState.PREPARED:
            started = known.state is not MemberState.STOPPED
            answer = PermitAnswer.ACCEPTED
            return answer if started else PermitAnswer.NOT_PREPARED
        if self.leaving:
            return PermitAnswer.LEAVING
        if known.lease_until <= now:
            return PermitAnswer.NOT_PREPARED
        if self.zone in self.register.head.zones_out:
            return PermitAnswer.ZONE_OUT
        if not self.register.allows_start(self.zone, now):
            return PermitAnswer.UNCONFIRMED
        known.state = MemberState.RUNNING
        known.lease_until = now + self.task_lease_s
        return PermitAnswer.ACCEPTED

    def renew(
        self, job_id: str, attempt: int, epoch: int, sent_at: float
    ) -> None:
        """Extend a lease from when the agent asked for the renewal."""
        if not self.admit_epoch(epoch):
            return
        known = self.members.get(job_id)
        if known is None or known.attempt != attempt:
            return
        until = sent_at + self.task_lease_s
        known.lease_until = max(known.lease_until, until)

    def lapsed(self, now: float) -> list[Reservation]:
        """Return live members whose lease has run out; they must stop."""
        return [
            member
            for member in self.members.values()
            if member.lease_until <= now
            and member.state in (MemberState.PREPARED, MemberState.RUNNING)
        ]

    def end(self, job_id: str, attempt: int, state: MemberState) -> bool:
        """Record how a member ended; tell whether that is news."""
        known = self.members.get(job_id)
        if known is None or known.attempt != attempt:
            return False
        if known.state not in (MemberState.PREPARED, MemberState.RUNNING):
            return False
        known.state = state
        return True

    def stop(self, job_id: str, attempt: int, epoch: int) -> PermitAnswer:
        """Allow a stop unless it comes from an older controller.

        The attempt is remembered even when it was never prepared here, so a
        prepare that is still under way cannot revive it.
        """
        if not self.admit_epoch(epoch):
            return PermitAnswer.STALE_EPOCH
        last = self._last_attempt.get(job_id, 0)
        self._last_attempt[job_id] = max(last, attempt)
        return PermitAnswer.ACCEPTED

    def forget(self, job_id: str, attempt: int) -> None:
        """Drop an ended member once its controller has taken note."""
        known = self.members.get(job_id)
        if known is not None and known.attempt == attempt:
            if known.state not in (MemberState.PREPARED, MemberState.RUNNING):
                del self.members[job_id]
