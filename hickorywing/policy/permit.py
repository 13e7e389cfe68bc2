"""Decide whether a worker's agent may run a gang member.

An agent keeps one reservation per job. It refuses commands of an older epoch
or attempt, and gives a reservation up when its lease expires. It starts a
member only while its own configuration register has the zone in service and
was confirmed recently. All times are seconds on the agent's own monotonic
clock.
"""

from dataclasses import dataclass
import enum

from hickorywing.policy.register import ConfigurationRegister

__all__ = ["MemberPermit", "MemberState", "PermitAnswer", "Reservation"]

RESERVATION_LEASE_S = 30.0
TASK_LEASE_S = 20.0


class MemberState(enum.StrEnum):
    """State of one member of an attempt on its worker."""

    PREPARED = "prepared"
    RUNNING = "running"
    STOPPED = "stopped"
    DONE = "done"
    FAILED = "failed"


class PermitAnswer(enum.StrEnum):
    """Answer of an agent to a command."""

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
    """The member of one job on this worker.

    ``slots`` are the indexes of the worker's accelerators that it reserves.
    """

    job_id: str
    attempt: int
    epoch: int
    state: MemberState
    lease_until: float
    slots: frozenset[int]


class MemberPermit:
    """The reservations of one worker's agent.

    ``epoch`` is the highest controller epoch received. While ``leaving`` is
    set, nothing is prepared or started.
    """

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
        """Record a controller's epoch; return false if it is outdated."""
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
        """Reserve accelerators for a member; a repeat only sets its epoch.

        The reservation expires unless it is started or renewed in time.
        """
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
        if self._has_overlap(job_id, slots):
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

    def _has_overlap(self, job_id: str, slots: frozenset[int]) -> bool:
        for other in self.members.values():
            live = other.state in (MemberState.PREPARED, MemberState.RUNNING)
            if live and other.job_id != job_id and other.slots & slots:
                return True
        return False

    def start(
        self, job_id: str, attempt: int, epoch: int, now: float
    ) -> PermitAnswer:
        """Record the start of a prepared member, if it may start now.

        A repeated command is accepted unless the member was stopped.
        """
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
        """Extend a member's lease.

        The lease counts from ``sent_at``, when the agent asked for it.
        """
        if not self.admit_epoch(epoch):
            return
        known = self.members.get(job_id)
        if known is None or known.attempt != attempt:
            return
        until = sent_at + self.task_lease_s
        known.lease_until = max(known.lease_until, until)

    def lapsed(self, now: float) -> list[Reservation]:
        """Return the live members whose lease has expired; they must stop."""
        return [
            member
            for member in self.members.values()
            if member.lease_until <= now
            and member.state in (MemberState.PREPARED, MemberState.RUNNING)
        ]

    def end(self, job_id: str, attempt: int, state: MemberState) -> bool:
        """Record how a member ended; return false if it was not live."""
        known = self.members.get(job_id)
        if known is None or known.attempt != attempt:
            return False
        if known.state not in (MemberState.PREPARED, MemberState.RUNNING):
            return False
        known.state = state
        return True

    def stop(self, job_id: str, attempt: int, epoch: int) -> PermitAnswer:
        """Accept a stop unless it comes from an older controller.

        The attempt is recorded even if it was never prepared here, so that a
        prepare command that arrives late is refused.
        """
        if not self.admit_epoch(epoch):
            return PermitAnswer.STALE_EPOCH
        last = self._last_attempt.get(job_id, 0)
        self._last_attempt[job_id] = max(last, attempt)
        return PermitAnswer.ACCEPTED

    def forget(self, job_id: str, attempt: int) -> None:
        """Remove an ended member once its controller has recorded the end."""
        known = self.members.get(job_id)
        if known is not None and known.attempt == attempt:
            if known.state not in (MemberState.PREPARED, MemberState.RUNNING):
                del self.members[job_id]
