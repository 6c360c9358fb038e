"""Bound of what a daemon holds of its callers' requests, and of connections.

One account for all listening addresses of a process. A bound for each
connection is none for the process: thousands of them may each stay just below
it. When the account is full, connections are shed that hold most for longest
of requests that are not whole yet, or that were sent ahead of an answer.
Whole requests are kept, and so are connections that hold no more than an
ordinary request, unless these alone are too many.
"""

import math
import resource
import time
from collections.abc import Callable, Iterable
from typing import Final, Protocol

import attrs
from absl import logging

__all__ = ('ORDINARY_BYTES', 'ReceivedBytes', 'Sender', 'new_received_bytes')

# A connection that holds no more than this of unfinished requests is kept up to
# this multiple of the bound, also while whole requests fill the account.
ORDINARY_BYTES: Final = 32768
_ORDINARY_LIMIT_FACTOR: Final = 2
# Fraction of a bound down to which is shed at once, as looking for what to
# shed takes time with each connection.
_SHED_FRACTION: Final = 0.875


class Sender(Protocol):
    """A caller's connection.

    Attributes
    ----------
    unfinished_bytes
        What it holds of requests that are not whole or not begun.
    unfinished_since_s
        Monotonic time since when it has held any of that.
    active_at_s
        Monotonic time at which it last received or answered something.
    is_busy
        Whether a whole request of it is being answered.
    has_sent
        Whether it has ever sent a whole request.
    """

    @property
    def unfinished_bytes(self) -> int:
        """Return what is held of unfinished requests."""

    @property
    def unfinished_since_s(self) -> float:
        """Return since when any of that is held."""

    @property
    def active_at_s(self) -> float:
        """Return when something was last received or answered."""

    @property
    def is_busy(self) -> bool:
        """Return whether a whole request is being answered."""

    @property
    def has_sent(self) -> bool:
        """Return whether it has sent a whole request."""

    def shed(self) -> None:
        """Refuse what is unfinished, and close the connection."""


@attrs.define
class ReceivedBytes:
    """Account of what callers have sent, for all connections together.

    Attributes
    ----------
    limit_bytes
        Sum at which connections are shed.
    max_connections
        Most connections at a time.
    held_bytes, peak_bytes
        The sum, and its largest value.
    shed
        Connections that were shed, by reason.
    now_s
        Returns the monotonic time.
    """

    limit_bytes: float = math.inf
    max_connections: float = math.inf
    held_bytes: int = 0
    peak_bytes: int = 0
    shed: dict[str, int] = attrs.field(
        factory=lambda: {'bytes': 0, 'connections': 0}
    )
    now_s: Callable[[], float] = time.monotonic
    _senders: dict[Sender, None] = attrs.field(factory=dict)

    @property
    def connections(self) -> int:
        """Return the number of connections."""
        return len(self._senders)

    def enter(self, sender: Sender) -> None:
        """Count a new connection; shed idle ones if there are too many.

        The new one is shed itself if all others are being answered.
        """
        self._senders[sender] = None
        excess = len(self._senders) - self.max_connections
        if excess <= 0:
            return
        count = excess + int(self.max_connections * (1 - _SHED_FRACTION))
        idle = [each for each in self._senders if not each.is_busy]
        idle.sort(key=lambda each: (each.has_sent, each.active_at_s))
        self._shed_all(idle[: int(count)], 'connections')

    def leave(self, sender: Sender) -> None:
        """Forget a connection that has ended."""
        self._senders.pop(sender, None)

    def add(self, size_bytes: int) -> None:
        """Count bytes that were received, or that are no longer held."""
        self.held_bytes += size_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def make_room(self) -> None:
        """Shed connections if the account is full."""
        if self.held_bytes <= self.limit_bytes:
            return
        large, ordinary = [], []
        for sender in self._senders:
            size_bytes = sender.unfinished_bytes
            if size_bytes:
                is_large = size_bytes > ORDINARY_BYTES
                (large if is_large else ordinary).append(sender)
        self._shed_down_to(self.limit_bytes, large)
        ordinary_limit_bytes = self.limit_bytes * _ORDINARY_LIMIT_FACTOR
        if self.held_bytes > ordinary_limit_bytes:
            self._shed_down_to(ordinary_limit_bytes, ordinary)

    def _shed_down_to(self, limit_bytes: float, senders: list[Sender]) -> None:
        """Shed the connections that burden most, until there is room."""
        now_s = self.now_s()
        senders.sort(key=lambda each: _burden(each, now_s), reverse=True)
        surplus_bytes = self.held_bytes - limit_bytes * _SHED_FRACTION
        chosen = []
        for sender in senders:
            if surplus_bytes <= 0:
                break
            surplus_bytes -= sender.unfinished_bytes
            chosen.append(sender)
        self._shed_all(chosen, 'bytes')

    def _shed_all(self, senders: Iterable[Sender], reason: str) -> None:
        count = 0
        for sender in senders:
            count += 1
            self._senders.pop(sender, None)
            sender.shed()
        if not count:
            return
        self.shed[reason] += count
        logging.warning(
            'event=connections_shed reason=%s count=%d connections=%d '
            'held_bytes=%d limit_bytes=%.0f',
            reason,
            count,
            len(self._senders),
            self.held_bytes,
            self.limit_bytes,
        )


def new_received_bytes(
    limit_bytes: int, max_connections: Callable[[int], int]
) -> ReceivedBytes:
    """Return an account with the bounds of this process.

    Parameters
    ----------
    limit_bytes
        Sum at which connections are shed.
    max_connections
        Returns the most connections for the descriptors that the system
        allows this process.
    """
    allowed_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return ReceivedBytes(limit_bytes, max_connections(allowed_descriptors))


def _burden(sender: Sender, now_s: float) -> float:
    """Return what a connection holds, times for how long, in byte seconds."""
    return sender.unfinished_bytes * (now_s - sender.unfinished_since_s)
