"""Infer that a silent member of a gang has ended from the other members.

A worker may vanish together with a member of a gang, in a crash or when a spot
worker is taken away. The other members then end as broken at once, while the
lease of the vanished worker takes seconds to expire. Without this inference,
the gang could not be placed again until then.
"""

from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolruns import Member
from hickorywing.policy.poolruns import Unit

__all__ = ["must_have_ended"]


def must_have_ended(unit: Unit, member: Member) -> bool:
    """Return whether a member must have ended, given how the others ended.

    A member ends as broken only after another member of the gang has ended. If
    all others ended as broken, this one ended first. It must have been seen
    running, after a single start order: a repeated order that is executed
    late could start it again after the others' end.
    """
    others = [item for item in unit.members if item is not member]
    return (
        member.ending is None
        and member.seen
        and member.tries <= 1
        and bool(others)
        and all(item.ending is Ending.BROKEN for item in others)
    )
