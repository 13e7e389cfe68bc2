"""Waiting for an event while the waiting part is stopped."""

import asyncio

from hickorywing.waiting import wait_for_event

# Turns of the loop from the event to the part that waits for it.
MOST_TURNS = 6


class TestCancelled:
    """A part ends although its event is set in the instant of its stop.

    The load: news come in all the time while a process stops as planned.
    """

    async def test_at_any_turn_after_the_event(self):
        for turns in range(MOST_TURNS):
            event = asyncio.Event()

            async def run(event=event) -> None:
                while True:
                    event.clear()
                    await wait_for_event(event, 10.0)

            part = asyncio.ensure_future(run())
            await asyncio.sleep(0.01)
            event.set()
            for _ in range(turns):
                await asyncio.sleep(0)
            part.cancel()
            done, _ = await asyncio.wait({part}, timeout=0.2)
            assert done, turns


class TestEvent:
    """The answer tells whether the event was set."""

    async def test_in_time_and_not(self):
        event = asyncio.Event()
        assert not await wait_for_event(event, 0.01)
        event.set()
        assert await wait_for_event(event, 0.01)

    async def test_without_any_time(self):
        event = asyncio.Event()
        assert not await wait_for_event(event, 0.0)
