"""Jitter for periodic work, and waiting with a timeout."""

import asyncio
from random import Random

__all__ = ('async_wait', 'jittered', 'spread_s')

_JITTER_SHARE = 0.2


def jittered(random: Random, period_s: float) -> float:
    """Return a period with a random jitter of at most a fifth."""
    return period_s * random.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)


async def async_wait(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait for an event; return whether it was set within the timeout.

    ``asyncio.wait_for`` can lose a cancellation that arrives as the event is
    set, so that a loop which waits with it may never end.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True


def spread_s(random: Random, count: int, interval_s: float) -> float:
    """Return a random wait that spreads the actions of all daemons.

    Parameters
    ----------
    count
        Number of daemons that act.
    interval_s
        Mean time in seconds between the actions of two of them.
    """
    return random.uniform(0, count * interval_s)
