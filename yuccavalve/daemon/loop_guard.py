"""Run a loop of a daemon again after an error that it did not expect."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from absl import logging

from yuccavalve.timing import jittered

__all__ = ('async_run_guarded',)

# As often as daemons read the store while it fails, or less.
_RETRY_S = 1.0


async def async_run_guarded(
    run: Callable[[], Awaitable[None]],
    random: Random,
    retry_s: float = _RETRY_S,
) -> None:
    """Run a loop until it is cancelled, again after each error.

    Whatever one input of an outside system makes of a loop, the daemon goes on
    to serve: an error that ended it would end every daemon that reads the
    same input, and each one again after its start.
    """
    while True:
        try:
            return await run()
        except Exception:
            name = getattr(run, '__qualname__', repr(run))
            logging.exception('event=loop_failed loop=%s', name)
        await asyncio.sleep(jittered(random, retry_s))
