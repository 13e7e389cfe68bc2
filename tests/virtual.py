"""Run coroutines in virtual time."""

from collections.abc import Coroutine

import looptime

LAST_S = 100_000


def run_virtual(work: Coroutine[None, None, None]) -> None:
    """Run a coroutine on a loop whose time is virtual."""
    loop = looptime.new_event_loop(end=LAST_S, noop_cycles=0)
    try:
        loop.run_until_complete(work)
    finally:
        loop.close()
