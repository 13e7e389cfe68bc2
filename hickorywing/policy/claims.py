"""Run a keyed request at most once, whichever entry it arrives at.

A claim row in the table comes before the dispatch and the outcome is written
after it. A repeat finds the row and gets the stored outcome, or learns that
the first run is in progress or that its outcome is unknown; it never causes a
second run. Only a definite "not run" frees the key for another attempt.
"""

from dataclasses import dataclass
import enum

__all__ = [
    "Admission",
    "AdmissionBook",
    "Arrival",
    "ArrivalAnswer",
    "ClaimBook",
    "ClaimRecord",
    "ClaimState",
    "DispatchResult",
]

OUTCOME_KEPT_S = 24 * 3600.0
MAX_REMEMBERED_DISPATCHES = 20_000


class ClaimState(enum.StrEnum):
    """The state of one claim row."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class DispatchResult(enum.StrEnum):
    """What is known after a dispatch."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class ArrivalAnswer(enum.StrEnum):
    """What to do with a keyed request that has just arrived."""

    CLAIM = "claim"
    REPLAY = "replay"
    IN_PROGRESS = "in progress"
    OUTCOME_UNKNOWN = "outcome unknown"
    KEY_REUSED = "key reused for another request"


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The content of one claim row."""

    state: ClaimState
    fingerprint: str
    attempt: int
    entry: str


@dataclass(frozen=True, slots=True)
class Arrival:
    """The decision on one arrival, with the record to write for a claim."""

    answer: ArrivalAnswer
    record: ClaimRecord | None = None


class ClaimBook:
    """The decisions of one entry on keyed requests."""

    def __init__(self, entry: str) -> None:
        self.entry = entry

    def arrive(self, known: ClaimRecord | None, fingerprint: str) -> Arrival:
        """Decide on a request, given the row as read (``None``: absent)."""
        if known is None:
            record = ClaimRecord(
                ClaimState.CLAIMED, fingerprint, 1, self.entry
            )
            return Arrival(ArrivalAnswer.CLAIM, record)
        if known.fingerprint != fingerprint:
            return Arrival(ArrivalAnswer.KEY_REUSED)
        if known.state is ClaimState.DONE:
            return Arrival(ArrivalAnswer.REPLAY)
        if known.state is ClaimState.CLAIMED:
            return Arrival(ArrivalAnswer.IN_PROGRESS)
        if known.state is ClaimState.UNKNOWN:
            return Arrival(ArrivalAnswer.OUTCOME_UNKNOWN)
        record = ClaimRecord(
            ClaimState.CLAIMED, fingerprint, known.attempt + 1, self.entry
        )
        return Arrival(ArrivalAnswer.CLAIM, record)

    def settle(
        self, claim: ClaimRecord, result: DispatchResult
    ) -> ClaimRecord:
        """Return the record to write after a dispatch."""
        states = {
            DispatchResult.DONE: ClaimState.DONE,
            DispatchResult.NOT_RUN: ClaimState.NOT_RUN,
            DispatchResult.UNKNOWN: ClaimState.UNKNOWN,
        }
        return ClaimRecord(
            states[result], claim.fingerprint, claim.attempt, claim.entry
        )


class Admission(enum.StrEnum):
    """What an agent says to a dispatch."""

    ADMITTED = "admitted"
    DUPLICATE = "duplicate"
    REVOKED = "revoked"
    WRONG_INCARNATION = "wrong incarnation"
    LEAVING = "leaving"
    FULL = "full"


class AdmissionBook:
    """Run each dispatch at most once within one agent incarnation.

    A revoked dispatch is never admitted later, which lets an entry that lost
    a connection find out for certain that its request did not run. Once the
    memory is full, dispatches numbered below what was dropped are refused.
    """

    def __init__(self, incarnation: int, connections: int, slots: int) -> None:
        self.incarnation = incarnation
        self.connections = connections
        self.slots = slots
        self.leaving = False
        self.in_progress = 0
        self._seen: dict[str, Admission] = {}

    def admit(self, dispatch_id: str, incarnation: int) -> Admission:
        """Decide on a dispatch; an admitted one must be ``finish``-ed."""
        if incarnation != self.incarnation:
            return Admission.WRONG_INCARNATION
        seen = self._seen.get(dispatch_id)
        if seen is Admission.REVOKED:
            return Admission.REVOKED
        if seen is Admission.ADMITTED:
            return Admission.DUPLICATE
        if self.leaving:
            return Admission.LEAVING
        if self.in_progress >= self.connections:
            return Admission.FULL
        self._remember(dispatch_id, Admission.ADMITTED)
        self.in_progress += 1
        return Admission.ADMITTED

    def finish(self) -> None:
        """Note that an admitted dispatch has its answer."""
        self.in_progress -= 1

    def withdraw(self, dispatch_id: str) -> None:
        """Turn an admitted dispatch that has not been run into a refusal."""
        self._seen[dispatch_id] = Admission.REVOKED

    def revoke(self, dispatch_id: str, incarnation: int) -> Admission:
        """Refuse a dispatch for ever, unless it was admitted already."""
        if incarnation != self.incarnation:
            return Admission.WRONG_INCARNATION
        if self._seen.get(dispatch_id) is Admission.ADMITTED:
            return Admission.DUPLICATE
        self._remember(dispatch_id, Admission.REVOKED)
        return Admission.REVOKED

    def _remember(self, dispatch_id: str, what: Admission) -> None:
        self._seen[dispatch_id] = what
        while len(self._seen) > MAX_REMEMBERED_DISPATCHES:
            self._seen.pop(next(iter(self._seen)))
