"""Clocks of a daemon; code that decides takes the time from them."""

import time
from typing import Protocol

import attrs

__all__ = ('BootClock', 'Clock', 'ManualClock')


class Clock(Protocol):
    """A monotonic clock that also runs while the process is paused."""

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""


@attrs.frozen
class BootClock:
    """The time since the host booted, including suspension."""

    def now_s(self) -> float:
        """Return seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class ManualClock:
    """A clock that moves only when advanced, for replays."""

    time_s: float = 0

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return self.time_s

    def advance(self, step_s: float) -> None:
        """Advance the clock by a number of seconds."""
        self.time_s += step_s
