"""Decide placement, order, guarantees and coordination without any I/O.

Nothing below this package reads a clock, draws a random number or touches a
socket: time in seconds, random sources and observations are arguments, and
the answer is a typed decision. The daemons decide through this package; other
projects can embed it by itself.
"""

import importlib

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

_MODULES = {
    "Adjacency": "hickorywing.policy.model",
    "BackendSelector": "hickorywing.policy.selection",
    "ClaimBook": "hickorywing.policy.claims",
    "ConfigurationRegister": "hickorywing.policy.register",
    "GangStart": "hickorywing.policy.gang",
    "Guarantee": "hickorywing.policy.model",
    "JobSpec": "hickorywing.policy.model",
    "LeaseHolder": "hickorywing.policy.lease",
    "MemberPermit": "hickorywing.policy.permit",
    "Membership": "hickorywing.policy.membership",
    "WorkerSpec": "hickorywing.policy.model",
    "ZoneScheduler": "hickorywing.policy.scheduler",
}


def __getattr__(name: str) -> object:
    """Load a name's module on first use; a daemon uses few of them."""
    if name not in _MODULES:
        raise AttributeError(f"{__name__} has no {name}")
    return getattr(importlib.import_module(_MODULES[name]), name)
