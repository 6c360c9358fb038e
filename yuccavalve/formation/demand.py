"""What callers ask of each model, smoothed.

The load that this answers: the work moves from one model to another within
seconds, and so does the number of replicas that each has.
"""

import math
from collections.abc import Mapping

import attrs

from yuccavalve.formation.const import DEMAND_MEMORY_S

__all__ = ('Demand',)


@attrs.define
class Demand:
    """Requests under way by model, as a moving average."""

    _running: dict[str, float] = attrs.field(factory=dict)
    _noted_at_s: float | None = None

    def note(self, running: Mapping[str, int], now_s: float) -> None:
        """Take in how many requests each model has under way."""
        weight = 1.0
        if self._noted_at_s is not None:
            passed_s = max(0, now_s - self._noted_at_s)
            weight = 1 - math.exp(-passed_s / DEMAND_MEMORY_S)
        self._noted_at_s = now_s
        for model, count in running.items():
            known = self._running.get(model, count)
            self._running[model] = known + weight * (count - known)

    def running(self) -> Mapping[str, float]:
        """Return the average by model."""
        return dict(self._running)
