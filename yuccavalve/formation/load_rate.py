"""Rate limit of loads from the weight store."""

import attrs

from yuccavalve.formation.const import LOAD_RATE_FRACTION, LOAD_WINDOW_S
from yuccavalve.formation.models import FormationInput

__all__ = ('LoadRateLimiter',)


@attrs.define
class LoadRateLimiter:
    """Sliding window of the loads that have begun."""

    _starts_at_s: list[float] = attrs.field(factory=list)

    def start(self, count: int, now_s: float) -> None:
        """Record loads that begin now."""
        self._starts_at_s.extend(now_s for _ in range(count))

    def may_start(
        self,
        facts: FormationInput,
        count: int,
        now_s: float,
        fraction: float = 1,
    ) -> bool:
        """Return whether more loads fit into a fraction of the rate."""
        profile = facts.service.engine
        if profile is None or not facts.started or not count:
            return True
        since_s = now_s - LOAD_WINDOW_S
        self._starts_at_s = [
            at_s for at_s in self._starts_at_s if at_s > since_s
        ]
        allowed = profile.loads_per_s * LOAD_WINDOW_S * LOAD_RATE_FRACTION
        return len(self._starts_at_s) + count <= allowed * fraction
