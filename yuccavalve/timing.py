"""Spread periodic work and wait for what may come sooner."""

import asyncio
from random import Random

__all__ = ('async_wait', 'jittered')

_SPREAD = 0.2


def jittered(random: Random, period_s: float) -> float:
    """Return a period changed at random by at most a fifth."""
    return period_s * random.uniform(1 - _SPREAD, 1 + _SPREAD)


async def async_wait(event: asyncio.Event, limit_s: float) -> bool:
    """Wait until an event is set; tell whether it was within a time.

    ``asyncio.wait_for`` loses a cancellation that comes as the event is set,
    so a loop that waits with it may never end.
    """
    try:
        async with asyncio.timeout(limit_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
