"""Run a request with an idempotency key at most once, across all entries.

Before the dispatch, the entry writes a claim row to the table, and after it
the outcome. A repeated request finds the row: it gets the stored outcome, or
the answer that the first run is in progress or that its outcome is unknown. It
never causes a second run. Only the certain outcome "not run" frees the key
for another attempt.
"""

from dataclasses import dataclass
import enum

__all__ = [
    "Admission",
    "AdmissionLog",
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
    """State of one claim row."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class DispatchResult(enum.StrEnum):
    """The outcome of a dispatch, as far as the entry knows it."""

    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class ArrivalAnswer(enum.StrEnum):
    """What to do with a keyed request that has arrived."""

    CLAIM = "claim"
    REPLAY = "replay"
    IN_PROGRESS = "in progress"
    OUTCOME_UNKNOWN = "outcome unknown"
    KEY_REUSED = "key reused for another request"


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Content of one claim row.

    ``fingerprint`` identifies the request that uses the key.
    """

    state: ClaimState
    fingerprint: str
    attempt: int
    entry: str


@dataclass(frozen=True, slots=True)
class Arrival:
    """Decision on a request that has arrived.

    ``record`` is the claim to write, if the answer is ``CLAIM``.
    """

    answer: ArrivalAnswer
    record: ClaimRecord | None = None


class ClaimBook:
    """The decisions of one entry on requests with an idempotency key."""

    def __init__(self, entry: str) -> None:
        self.entry = entry

    def arrive(self, known: ClaimRecord | None, fingerprint: str) -> Arrival:
        """Decide on a request, given its claim row or ``None`` if absent."""
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
        """Return the claim record to write after a dispatch."""
        states = {
            DispatchResult.DONE: ClaimState.DONE,
            DispatchResult.NOT_RUN: ClaimState.NOT_RUN,
            DispatchResult.UNKNOWN: ClaimState.UNKNOWN,
        }
        return ClaimRecord(
            states[result], claim.fingerprint, claim.attempt, claim.entry
        )


class Admission(enum.StrEnum):
    """Answer of an agent to a dispatch or to its revocation."""

    ADMITTED = "admitted"
    DUPLICATE = "duplicate"
    REVOKED = "revoked"
    WRONG_INCARNATION = "wrong incarnation"
    LEAVING = "leaving"
    FULL = "full"


class AdmissionLog:
    """The admission of dispatches by one incarnation of an agent.

    A dispatch is admitted at most once, and never after it was revoked. An
    entry that lost a connection can therefore make certain that its request
    has not run and will not. This holds for the last
    ``MAX_REMEMBERED_DISPATCHES`` dispatches; older ones are not remembered.
    ``connections`` is the maximum number of dispatches in progress, and
    ``slots`` the number of them that can run at a time; the others wait.
    """

    def __init__(self, incarnation: int, connections: int, slots: int) -> None:
        self.incarnation = incarnation
        self.connections = connections
        self.slots = slots
        self.leaving = False
        self.in_progress = 0
        self._seen: dict[str, Admission] = {}

    def admit(self, dispatch_id: str, incarnation: int) -> Admission:
        """Decide on a dispatch; call ``finish`` after one that is admitted."""
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
        """Record that an admitted dispatch was answered."""
        self.in_progress -= 1

    def cancel_admitted(self, dispatch_id: str) -> None:
        """Revoke an admitted dispatch that has not been run."""
        self._seen[dispatch_id] = Admission.REVOKED

    def revoke(self, dispatch_id: str, incarnation: int) -> Admission:
        """Refuse a dispatch for good, unless it was admitted already.

        Returns ``REVOKED`` if it will never run, ``DUPLICATE`` if it was
        admitted.
        """
        if incarnation != self.incarnation:
            return Admission.WRONG_INCARNATION
        if self._seen.get(dispatch_id) is Admission.ADMITTED:
            return Admission.DUPLICATE
        self._remember(dispatch_id, Admission.REVOKED)
        return Admission.REVOKED

    def _remember(self, dispatch_id: str, admission: Admission) -> None:
        self._seen[dispatch_id] = admission
        while len(self._seen) > MAX_REMEMBERED_DISPATCHES:
            self._seen.pop(next(iter(self._seen)))
