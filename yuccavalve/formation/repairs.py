"""Time from giving up a replica until another of its model is open."""

from collections import deque

import attrs

__all__ = ('Repairs',)

# Maximum number of lost replicas of a model that are remembered, as some are
# never replaced.
_MAX_LOST = 100


@attrs.define
class Repairs:
    """Pairs each replica that was given up with the next of its model.

    Attributes
    ----------
    durations_s
        Durations of repairs, in s, that ``take`` has not returned yet.
    """

    durations_s: list[float] = attrs.field(factory=list)
    _lost_at_s: dict[str, deque[float]] = attrs.field(factory=dict)

    def clear(self) -> None:
        """Forget lost replicas; a new planner has not seen their loss."""
        self._lost_at_s.clear()

    def record_lost(self, model: str, now_s: float) -> None:
        """Record that a model's replica was given up."""
        lost = self._lost_at_s.setdefault(model, deque(maxlen=_MAX_LOST))
        lost.append(now_s)

    def record_kept(self, model: str) -> None:
        """Record that a model's replica, last given up, serves after all."""
        lost = self._lost_at_s.get(model)
        if lost:
            lost.pop()

    def record_open(self, model: str, now_s: float) -> float | None:
        """Return how long a model lacked the replica that opens now, in s."""
        lost = self._lost_at_s.get(model)
        if not lost:
            return None
        repaired_s = now_s - lost.popleft()
        self.durations_s.append(repaired_s)
        return repaired_s

    def take(self) -> list[float]:
        """Return the durations of repairs and clear them."""
        durations_s = self.durations_s
        self.durations_s = []
        return durations_s
