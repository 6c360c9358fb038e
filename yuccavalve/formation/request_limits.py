"""The time after which all requests that a service's engines run have ended.

A request ends when its route's time-out has passed. Requests that were sent
under an earlier configuration keep the time-outs of that one.
"""

import attrs

from yuccavalve.formation.const import ADOPTION_LAG_S
from yuccavalve.routing import RoutingTable

__all__ = ('RequestLimits',)


@attrs.define
class RequestLimits:
    """Longest time-outs of services' routes, with those no longer in force.

    Attributes
    ----------
    _in_force_at_s
        Monotonic time at which each time-out was last in force, by service.
    """

    _version: int = 0
    _current: dict[str, float] = attrs.field(factory=dict)
    _in_force_at_s: dict[str, dict[float, float]] = attrs.field(factory=dict)

    def record(self, table: RoutingTable, now_s: float) -> None:
        """Record the configuration that is in force now."""
        if table.version != self._version:
            self._version = table.version
            self._current = _longest_timeouts(table)
        for service, timeout_s in self._current.items():
            in_force_at_s = self._in_force_at_s.setdefault(service, {})
            in_force_at_s[timeout_s] = now_s

    def longest_request_s(self, service: str, now_s: float) -> float:
        """Return the time after which all present requests have ended."""
        in_force_at_s = {
            timeout_s: at_s
            for timeout_s, at_s in self._in_force_at_s.get(service, {}).items()
            if now_s - at_s < timeout_s + ADOPTION_LAG_S
        }
        self._in_force_at_s[service] = in_force_at_s
        return max(in_force_at_s, default=0)


def _longest_timeouts(table: RoutingTable) -> dict[str, float]:
    """Return the longest time-out of each service's routes."""
    longest: dict[str, float] = {}
    for routes in table.routes_by_host.values():
        for route in routes:
            for split in route.splits:
                known_s = longest.get(split.service, 0)
                longest[split.service] = max(known_s, route.timeout_s)
    return longest
