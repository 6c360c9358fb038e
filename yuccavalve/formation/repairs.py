"""How long it takes from giving a replica up until one serves again."""

from collections import deque

import attrs

__all__ = ('Repairs',)

# Replicas that are never replaced are forgotten after so many others.
_LOST_KEPT = 100


@attrs.define
class Repairs:
    """Pairs each replica that was given up with the next of its model.

    Attributes
    ----------
    ended_s
        Times of repairs that nobody has taken yet.
    """

    ended_s: list[float] = attrs.field(factory=list)
    _lost_at_s: dict[str, deque[float]] = attrs.field(factory=dict)

    def clear(self) -> None:
        """Forget what was lost; a new planner has not seen it."""
        self._lost_at_s.clear()

    def note_lost(self, model: str, now_s: float) -> None:
        """Note that a model's replica was given up."""
        lost = self._lost_at_s.setdefault(model, deque(maxlen=_LOST_KEPT))
        lost.append(now_s)

    def note_open(self, model: str, now_s: float) -> float | None:
        """Return how long a model lacked the replica that opens now."""
        lost = self._lost_at_s.get(model)
        if not lost:
            return None
        repaired_s = now_s - lost.popleft()
        self.ended_s.append(repaired_s)
        return repaired_s

    def take(self) -> list[float]:
        """Return the times of repairs and forget them."""
        ended_s = self.ended_s
        self.ended_s = []
        return ended_s
