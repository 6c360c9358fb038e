"""Merge tokens under load by reading from backend servers less often.

System calls dominate the cost of relaying a token. When the process is
busy, a stream is read again only after a delay, so that the tokens that
arrive meanwhile take one read and one write. The delay grows with the
processor load, up to the maximum from the settings.
"""

import asyncio
import time
from collections.abc import Awaitable

from yuccavalve.requests.const import (
    PACER_FULL_LOAD,
    PACER_IDLE_LOAD,
    PACER_RETRY_STEPS,
    PACER_SAMPLE_PERIOD_S,
    PACER_STEPS,
)

__all__ = ('Pacer', 'merge_delay_s')

_MIN_DELAY_S = 0.002
_MIN_STEP_S = 0.001


def merge_delay_s(load: float, max_delay_s: float) -> float:
    """Return the delay until a stream is read again.

    Parameters
    ----------
    load
        Share of one core that the process uses.
    max_delay_s
        Delay at full load.
    """
    fraction = (load - PACER_IDLE_LOAD) / (PACER_FULL_LOAD - PACER_IDLE_LOAD)
    return max_delay_s * min(1, max(0, fraction))


class Pacer:
    """Timing wheel that spreads the reads of polled streams over a delay.

    The wheel has ``PACER_STEPS`` steps and turns once per delay; each
    stream waits for one of the steps.
    """

    def __init__(self, max_delay_s: float) -> None:
        """Set the maximum delay."""
        self.delay_s: float = 0
        self._max_delay_s = max_delay_s
        self._steps: list[list[asyncio.Future[None]]] = [
            [] for _ in range(PACER_STEPS)
        ]
        self._current_step = 0
        self._wake = asyncio.Event()

    async def async_run(self) -> None:
        """Measure the load and turn the wheel until cancelled."""
        sampler = asyncio.create_task(self._async_sample())
        try:
            await self._async_tick()
        finally:
            sampler.cancel()
            self._release_all()

    def is_polling(self) -> bool:
        """Return whether streams are to be polled now."""
        return self.delay_s >= _MIN_DELAY_S

    def async_wait(self, *, after_empty_read: bool) -> Awaitable[None]:
        """Return a future that completes at a later step of the wheel.

        Parameters
        ----------
        after_empty_read
            Whether the last read returned no data; the next one then
            follows after a fraction of the delay.
        """
        steps_ahead = PACER_RETRY_STEPS if after_empty_read else PACER_STEPS - 1
        step = (self._current_step + steps_ahead) % PACER_STEPS
        waiter = asyncio.get_running_loop().create_future()
        self._steps[step].append(waiter)
        self._wake.set()
        return waiter

    async def _async_tick(self) -> None:
        """Advance at absolute times, so that the work adds no drift."""
        next_step_at_s = time.monotonic()
        while True:
            if not self.is_polling():
                self._release_all()
            if not any(self._steps):
                # Without waiters, ticking alone would keep load and delay up.
                self._wake.clear()
                await self._wake.wait()
                next_step_at_s = time.monotonic()
                continue
            step_s = self._step_s()
            await asyncio.sleep(max(step_s, next_step_at_s - time.monotonic()))
            now_s = time.monotonic()
            next_step_at_s = max(next_step_at_s, now_s - self._max_delay_s)
            while next_step_at_s <= now_s:
                next_step_at_s += step_s
                self._advance()

    def _step_s(self) -> float:
        return max(self.delay_s / PACER_STEPS, _MIN_STEP_S)

    def _release_all(self) -> None:
        for _ in range(PACER_STEPS):
            self._advance()

    def _advance(self) -> None:
        self._current_step = (self._current_step + 1) % PACER_STEPS
        waiters = self._steps[self._current_step]
        self._steps[self._current_step] = []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def _async_sample(self) -> None:
        processor_s = time.process_time()
        sampled_at_s = time.monotonic()
        while True:
            await asyncio.sleep(PACER_SAMPLE_PERIOD_S)
            earlier_processor_s, processor_s = processor_s, time.process_time()
            earlier_sampled_at_s, sampled_at_s = sampled_at_s, time.monotonic()
            load = (processor_s - earlier_processor_s) / max(
                sampled_at_s - earlier_sampled_at_s, _MIN_DELAY_S
            )
            self.delay_s = (
                self.delay_s + merge_delay_s(load, self._max_delay_s)
            ) / 2
