"""Tests of waiting with a timeout."""

import asyncio
import unittest

from yuccavalve.timing import async_wait


class WaitTest(unittest.IsolatedAsyncioTestCase):
    """Waiting reports whether the event was set, and can be cancelled.

    ``asyncio.wait_for`` loses a cancellation that arrives as the event is
    set, so that a loop which waits with it never ends.
    """

    async def test_returns_whether_the_event_was_set(self) -> None:
        event = asyncio.Event()
        self.assertFalse(await async_wait(event, 0.01))
        event.set()
        self.assertTrue(await async_wait(event, 5))

    async def test_cancellation_as_the_event_is_set_is_not_lost(self) -> None:
        event = asyncio.Event()

        async def async_loop() -> None:
            while True:
                await async_wait(event, 5)
                event.clear()

        loop_task = asyncio.create_task(async_loop())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        event.set()
        await asyncio.sleep(0)
        loop_task.cancel()
        done, _ = await asyncio.wait((loop_task,), timeout=5)
        self.assertTrue(done)
        self.assertTrue(loop_task.cancelled())
