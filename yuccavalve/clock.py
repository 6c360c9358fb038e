"""Clocks: the decisions take a reading, the daemon supplies it."""

import time
from typing import Protocol

import attrs

__all__ = ('BootClock', 'Clock', 'LogicalClock')


class Clock(Protocol):
    """A clock that never goes back and counts while the process is paused."""

    def now_s(self) -> float:
        """Return the reading in seconds."""


@attrs.frozen
class BootClock:
    """The host's time since boot, counted through suspension too."""

    def now_s(self) -> float:
        """Return seconds since the host booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class LogicalClock:
    """A clock moved by hand, for replays."""

    reading_s: float = 0

    def now_s(self) -> float:
        """Return the reading in seconds."""
        return self.reading_s

    def advance(self, step_s: float) -> None:
        """Move the clock on by a number of seconds."""
        self.reading_s += step_s
