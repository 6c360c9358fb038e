"""When hubs last exchanged updates with each other."""

import attrs

from yuccavalve.fleet.const import SHARE_MAX_AGE_S
from yuccavalve.peers.const import EXCHANGE_DUE_FRACTION

__all__ = ('ExchangeTimes',)

_NEVER_S = float('-inf')


@attrs.define
class ExchangeTimes:
    """Times of the last exchange by daemon, whichever of the two began it.

    An exchange serves both, so that two hubs need only one in a period.
    """

    _exchanged_at_s: dict[str, float] = attrs.field(factory=dict)

    def record(self, daemon: str, now_s: float) -> None:
        """Record an exchange."""
        self._exchanged_at_s[daemon] = now_s

    def is_due(self, daemon: str, now_s: float, period_s: float) -> bool:
        """Return whether to exchange updates with another hub."""
        since_s = now_s - self._exchanged_at_s.get(daemon, _NEVER_S)
        return since_s >= period_s * EXCHANGE_DUE_FRACTION

    def expire(self, now_s: float) -> None:
        """Drop times that no longer matter."""
        self._exchanged_at_s = {
            daemon: at_s
            for daemon, at_s in self._exchanged_at_s.items()
            if now_s - at_s <= SHARE_MAX_AGE_S
        }
