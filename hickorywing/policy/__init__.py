"""Scheduling and coordination decisions without I/O.

No module of this package reads a clock, has a random source of its own or uses
a socket. Times in seconds, random sources and observations are arguments, and
the results are typed decisions. The processes of the system take their
decisions from this package, and other projects can embed it by itself.
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
    """Load the module of a name on first use, as a process uses few."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__} has no attribute {name}")
    return getattr(importlib.import_module(_MODULES[name]), name)
