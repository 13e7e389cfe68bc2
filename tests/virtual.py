"""Virtual time for tests of coroutines."""

from collections.abc import Coroutine

import looptime

END_S = 100_000


def run_virtual(coroutine: Coroutine[None, None, None]) -> None:
    """Run a coroutine on an event loop whose time is virtual."""
    loop = looptime.new_event_loop(end=END_S, noop_cycles=0)
    try:
        loop.run_until_complete(coroutine)
    finally:
        loop.close()
