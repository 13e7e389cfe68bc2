"""Run one of the programs: ``python3 -m hickorywing PROGRAM ...``."""

import importlib
from pathlib import Path
import sys

from hickorywing.listeners import open_early

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
    """Run the program that the first argument names.

    For the daemons of a pool the listeners are opened first, as loading the
    libraries takes a while.
    """
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name not in PROGRAMS:
        print(
            f"usage: hickorywing {'|'.join(sorted(PROGRAMS))} ...",
            file=sys.stderr,
        )
        sys.exit(USAGE_ERROR)
    if name in POOL_PROGRAMS and len(sys.argv) > 2:
        open_early(Path(sys.argv[2]))
    # Load only the libraries of the chosen program.
    module = importlib.import_module(PROGRAMS[name])
    sys.argv = [f"hickorywing-{name}", *sys.argv[2:]]
    module.main()


if __name__ == "__main__":
    main()
