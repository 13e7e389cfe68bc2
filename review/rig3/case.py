"""Run a case of the review and turn its result into an exit status."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
from pathlib import Path
import sys
import tempfile
import traceback

from review.rig3.system import System

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 112.0

Case = Callable[[System, bool], Awaitable[list[str]]]


async def play(case: Case, folder: Path, entries: int, runners: int) -> int:
    """Play a case in a fresh system; return the exit status.

    The case returns what it found to be broken. It ends the system's
    processes in any case.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = folder / "record.txt"
    with tempfile.TemporaryDirectory() as scratch:
        system = System(Path(scratch), record, entries, runners)
        async with system:
            system.write(f"trouble: {trouble}")
            broken = await case(system, trouble)
            for line in broken:
                system.write(f"BROKEN: {line}")
                print(f"BROKEN: {line}")
            if not broken:
                system.write("held")
                print("held")
    return BROKEN if broken else HELD


def run(case: Case, file: str, entries: int, runners: int) -> None:
    """Run a case that stands in ``file``, and exit."""
    folder = Path(file).resolve().parent
    try:
        status = asyncio.run(
            asyncio.wait_for(play(case, folder, entries, runners), LIMIT_S)
        )
    except Exception:
        traceback.print_exc()
        status = NOT_RUN
    sys.exit(status)
