"""Wait for an event for a limited time."""

import asyncio

__all__ = ["wait_for_event"]


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait for an event; return whether it was set within ``timeout_s``.

    ``asyncio.wait_for`` of Python 3.11 drops a cancellation that arrives at
    the moment in which the event is set. A task that waits in a loop would
    then never end.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return event.is_set()
    return True
