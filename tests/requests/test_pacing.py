"""The pacer ticks only while a stream waits."""

import asyncio
import unittest

from yuccavalve.requests.pacing import Pacer, merge_delay_s

_DELAY_S = 0.02


class PacerTest(unittest.IsolatedAsyncioTestCase):
    """A pacer that is on."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start a pacer at its maximum delay."""
        self.pacer = Pacer(_DELAY_S)
        self.pacer.delay_s = _DELAY_S
        task = asyncio.create_task(self.pacer.async_run())
        self.addAsyncCleanup(asyncio.gather, task, return_exceptions=True)
        self.addCleanup(task.cancel)

    async def test_no_ticks_without_waiters(self) -> None:
        await asyncio.sleep(_DELAY_S * 3)
        self.assertEqual(self.pacer._current_step, 0)  # noqa: SLF001

    async def test_waiters_are_woken(self) -> None:
        await asyncio.sleep(_DELAY_S)
        await asyncio.wait_for(self.pacer.async_wait(after_empty_read=False), 5)
        await asyncio.wait_for(self.pacer.async_wait(after_empty_read=True), 5)

    def test_delay_grows_with_load(self) -> None:
        self.assertEqual(merge_delay_s(0.01, 1), 0)
        self.assertEqual(merge_delay_s(0.9, 1), 1)
