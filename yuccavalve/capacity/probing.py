"""Decide which requests test servers that are believed to be slow."""

import math
from collections.abc import Callable
from random import Random

import attrs

from yuccavalve.capacity.const import (
    MAX_PROBE_CREDIT,
    PROBE_FRACTION,
    PROBE_JITTER,
    PROBE_PERIOD_S,
    PROBE_SPEED,
)
from yuccavalve.capacity.models import Capacity

__all__ = ('ProbeSchedule',)


def _one() -> int:
    return 1


@attrs.define
class ProbeSchedule:
    """Budget and times of the requests that test slow or small servers.

    Attributes
    ----------
    daemon_count
        Returns the number of daemons, over which probes are spread.
    sent
        Number of probes.
    """

    random: Random
    daemon_count: Callable[[], int] = _one
    sent: int = 0
    _credit: float = attrs.field(init=False)
    _due_at_s: dict[int, float] = attrs.field(factory=dict)

    @_credit.default
    def _first_credit(self) -> float:
        """Start at random, for daemons with few requests each."""
        return self.random.random()

    def track(self, server: int, capacity: Capacity, now_s: float) -> None:
        """Schedule probes of a server while it counts as slow or small."""
        if capacity.speed >= PROBE_SPEED and math.isinf(capacity.concurrency):
            self._due_at_s.pop(server, None)
        elif server not in self._due_at_s:
            self._schedule(server, now_s)

    def deposit(self) -> None:
        """Count a request, of which a fraction may be probes."""
        self._credit = min(MAX_PROBE_CREDIT, self._credit + PROBE_FRACTION)

    def is_due(self, server: int, now_s: float) -> bool:
        """Return whether a server should be probed."""
        return now_s >= self._due_at_s.get(server, math.inf)

    @property
    def is_possible(self) -> bool:
        """Return whether any server may be probed now."""
        return bool(self._due_at_s) and self._credit >= 1

    def record_probe(self, server: int, now_s: float) -> None:
        """Count a probe, and schedule the next one of its server."""
        self._credit -= 1
        self.sent += 1
        self._schedule(server, now_s)

    def forget_except(self, servers: set[int]) -> None:
        """Drop the schedules of all servers but the given ones."""
        for server in self._due_at_s.keys() - servers:
            self._due_at_s.pop(server)

    def _schedule(self, server: int, now_s: float) -> None:
        """Spread the probes of all daemons over time."""
        period_s = PROBE_PERIOD_S * max(1, self.daemon_count())
        self._due_at_s[server] = now_s + period_s * self.random.uniform(
            *PROBE_JITTER
        )
