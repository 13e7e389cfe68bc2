"""Run one of the programs: ``python3 -m hickorywing PROGRAM ...``."""

import importlib
import sys

from hickorywing.startsignals import keep_reload_requests

__all__ = ["main", "run_pool_agent", "run_pool_entry"]

PROGRAMS = {
    "agent": "hickorywing.zoneagent",
    "entry": "hickorywing.zoneentry",
    "pool-agent": "hickorywing.poolagent",
    "pool-entry": "hickorywing.poolentry",
    "standin": "hickorywing.standins.program",
}
POOL_PROGRAMS = frozenset({"pool-agent", "pool-entry"})
USAGE_ERROR = 2


def main() -> None:
    """Run the program that the first argument names."""
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in PROGRAMS:
        print(
            f"usage: hickorywing {'|'.join(sorted(PROGRAMS))} ...",
            file=sys.stderr,
        )
        sys.exit(USAGE_ERROR)
    run_named(name, sys.argv[2:])


def run_pool_agent() -> None:
    """Run ``hickorywing-pool-agent``."""
    run_named("pool-agent", sys.argv[1:])


def run_pool_entry() -> None:
    """Run ``hickorywing-pool-entry``."""
    run_named("pool-entry", sys.argv[1:])


def run_named(name: str, arguments: list[str]) -> None:
    """Run a program; load only its own libraries.

    For the daemons of a pool, signals to reload are kept and the listeners are
    opened first, as loading the libraries takes a while.
    """
    if name in POOL_PROGRAMS:
        keep_reload_requests()
        if arguments:
            listeners = importlib.import_module("hickorywing.listeners")
            listeners.open_early(arguments[0])
    module = importlib.import_module(PROGRAMS[name])
    sys.argv = [f"hickorywing-{name}", *arguments]
    module.main()


if __name__ == "__main__":
    main()
