"""Decide how long to leave an engine alone that asks for it.

Designed for engines that refuse while they are overloaded, at any number of
daemons: each one returns at another moment, so that an engine is not met by all
of them at once.
"""

import math
from random import Random

import attrs

from yuccavalve.load.const import (
    BACKOFF_JITTER,
    BACKOFF_JITTER_MIN_S,
    DEFAULT_BACKOFF_S,
    MAX_BACKOFF_S,
)

__all__ = ('Backoff', 'requested_backoff')


@attrs.frozen
class Backoff:
    """For how long an engine gets nothing.

    Attributes
    ----------
    is_bounded
        Whether the time that was asked for could not be used as it was.
    """

    duration_s: float
    is_bounded: bool = False


def requested_backoff(text: str, random: Random) -> Backoff:
    """Return the backoff for a time that an engine sent, in seconds.

    A time that is negative or not a number counts as ``DEFAULT_BACKOFF_S``, a
    longer one than ``MAX_BACKOFF_S`` as that.
    """
    try:
        asked_s = float(text)
    except ValueError:
        asked_s = math.nan
    if math.isnan(asked_s) or asked_s < 0:
        bounded_s = DEFAULT_BACKOFF_S
    else:
        bounded_s = min(asked_s, MAX_BACKOFF_S)
    jitter_s = max(BACKOFF_JITTER_MIN_S, bounded_s * BACKOFF_JITTER)
    return Backoff(
        bounded_s + random.uniform(0, jitter_s),
        is_bounded=bounded_s != asked_s,
    )
