"""Tell from how the others of a gang ended that a silent member has, too.

Answers workers that vanish with a member of a gang, as in a crash or when a
spot worker is taken away. The other members end as broken at once, while the
lease of the vanished worker runs on for seconds. Until it is over, the gang
could not be placed again.
"""

from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolruns import Member
from hickorywing.policy.poolruns import Unit

__all__ = ["has_broken_others"]


def has_broken_others(unit: Unit, member: Member) -> bool:
    """Tell whether it was a member's own end that broke its gang.

    A member ends as broken only after another one has ended, so if all others
    have, this one had ended before. It must have been seen at work after a
    single start: one that is carried out late could begin after their end.
    """
    others = [item for item in unit.members if item is not member]
    return (
        member.ending is None
        and member.seen
        and member.tries <= 1
        and bool(others)
        and all(item.ending is Ending.BROKEN for item in others)
    )
