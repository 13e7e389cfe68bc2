"""Decide which callers may know of a job.

A caller may only know of jobs of the customer whose API key it sends. Jobs of
a public queue may be asked for without a key, there only.
"""

from dataclasses import dataclass

__all__ = ["Caller", "JobOwner"]


@dataclass(frozen=True, slots=True)
class JobOwner:
    """The customer that submitted a job, and the queue.

    ``customer`` is empty if the job was submitted without a key.
    """

    customer: str
    queue: str


@dataclass(frozen=True, slots=True)
class Caller:
    """The customer that sends a request, and the queue that it is sent to.

    ``customer`` is empty if the request has no known key, which only a public
    queue accepts.
    """

    customer: str
    queue: str
    public: bool = False

    def may_know(self, owner: JobOwner) -> bool:
        """Return whether the caller may read and cancel a job."""
        if owner.customer in ("", self.customer):
            return True
        return self.public and owner.queue == self.queue
