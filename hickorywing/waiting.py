"""Wait for an event for a limited time."""

import asyncio

__all__ = ["wait_for_event"]


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Tell whether an event was set in time.

    ``asyncio.wait_for`` of Python 3.11 drops a cancellation that comes in the
    instant in which the event is set, and a part that waits in a loop then
    never ends.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return event.is_set()
    return True
