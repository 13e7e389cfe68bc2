"""Decide placement, order, guarantees and coordination without any I/O.

Nothing below this package reads a clock, draws a random number or touches a
socket: time in seconds, random sources and observations are arguments, and
the answer is a typed decision. The daemons decide through this package; other
projects can embed it by itself.
"""

from hickorywing.policy.claims import ClaimBook
from hickorywing.policy.gang import GangStart
from hickorywing.policy.lease import LeaseHolder
from hickorywing.policy.membership import Membership
from hickorywing.policy.model import Adjacency
from hickorywing.policy.model import Guarantee
from hickorywing.policy.model import JobSpec
from hickorywing.policy.model import WorkerSpec
from hickorywing.policy.permit import MemberPermit
from hickorywing.policy.register import ConfigurationRegister
from hickorywing.policy.scheduler import ZoneScheduler
from hickorywing.policy.selection import BackendSelector

__all__ = [
    "Adjacency",
    "BackendSelector",
    "ClaimBook",
    "ConfigurationRegister",
    "GangStart",
    "Guarantee",
    "JobSpec",
    "LeaseHolder",
    "MemberPermit",
    "Membership",
    "WorkerSpec",
    "ZoneScheduler",
]
