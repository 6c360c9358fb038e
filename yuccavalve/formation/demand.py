"""Smoothed demand for each model.

Demand can move from one model to another within seconds, and the number of
replicas of each model has to follow.
"""

import math
from collections.abc import Mapping

import attrs

from yuccavalve.formation.const import DEMAND_TIME_CONSTANT_S

__all__ = ('Demand',)


@attrs.define
class Demand:
    """Exponential moving average of requests in flight by model."""

    _running: dict[str, float] = attrs.field(factory=dict)
    _recorded_at_s: float | None = None

    def record(self, running: Mapping[str, int], now_s: float) -> None:
        """Add a sample of the requests in flight by model."""
        weight = 1.0
        if self._recorded_at_s is not None:
            elapsed_s = max(0, now_s - self._recorded_at_s)
            weight = 1 - math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
        self._recorded_at_s = now_s
        for model, count in running.items():
            average = self._running.get(model, count)
            self._running[model] = average + weight * (count - average)

    def running(self) -> Mapping[str, float]:
        """Return the average by model."""
        return dict(self._running)
