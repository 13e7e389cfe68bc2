"""Test waiting for an event in a task that is cancelled."""

import asyncio

from hickorywing.waiting import wait_for_event

# Upper bound of the event loop's turns from an event to the waiting task.
MAX_TURNS = 6


class TestCancelled:
    """A task ends although its event is set just before it is cancelled.

    Events arrive all the time while a process stops. ``asyncio.wait_for`` of
    Python 3.11 drops such a cancellation.
    """

    async def test_at_any_turn_after_the_event(self):
        for turns in range(MAX_TURNS):
            event = asyncio.Event()

            async def run(event=event) -> None:
                while True:
                    event.clear()
                    await wait_for_event(event, 10.0)

            waiting_task = asyncio.ensure_future(run())
            await asyncio.sleep(0.01)
            event.set()
            for _ in range(turns):
                await asyncio.sleep(0)
            waiting_task.cancel()
            done, _ = await asyncio.wait({waiting_task}, timeout=0.2)
            assert done, turns


class TestEvent:
    """The result says whether the event was set."""

    async def test_set_in_time_and_not_set(self):
        event = asyncio.Event()
        assert not await wait_for_event(event, 0.01)
        event.set()
        assert await wait_for_event(event, 0.01)

    async def test_without_any_time(self):
        event = asyncio.Event()
        assert not await wait_for_event(event, 0.0)
