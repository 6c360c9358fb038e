"""Bound the permits of a cold engine that may be used in any one second.

A permit may be used at any time until it runs out, so it counts from its
granting until a second after that. Permits that may be used within the same
second then all count at the moment at which the last of them is granted, so
their sum stays within the bound also when all are used at the same time.
"""

import attrs

from yuccavalve.warmup.const import (
    DELIVERY_S,
    FREE_FRACTION,
    GRANTED_FRACTION,
    LEARN_S,
    MAX_PERMIT_LIFETIME_S,
    SPARE_PERMITS,
    WINDOW_S,
)
from yuccavalve.warmup.models import WarmupLimit

__all__ = ('PermitWindow',)


@attrs.frozen
class _Taken:
    """A part of the bound that is taken until a monotonic time."""

    count: int
    until_s: float


@attrs.define
class PermitWindow:
    """Permits of one engine that count against its bound.

    Attributes
    ----------
    learned_at_s
        Start of the warm-up for which the window was begun.
    """

    learned_at_s: float
    _taken: list[_Taken] = attrs.field(factory=list)

    @classmethod
    def begin(
        cls, limit: WarmupLimit, granting_since_s: float
    ) -> 'PermitWindow':
        """Return the window of an engine that has become cold.

        Permits of the previous planner may all be in use. An engine that was
        warm has got requests without permits, at a rate that is not known:
        the bound becomes free step by step once all daemons know.
        """
        window = cls(limit.learned_at_s)
        budget = _budget(limit)
        held_s = MAX_PERMIT_LIFETIME_S + WINDOW_S + DELIVERY_S
        window.add(budget, granting_since_s + held_s)
        if not limit.is_start:
            first_s = limit.learned_at_s + LEARN_S
            for position in range(budget):
                freed_s = WINDOW_S * (position + 1) / budget
                window.add(1, first_s + freed_s)
        return window

    def add(self, count: int, until_s: float) -> None:
        """Count permits or requests until a time."""
        self._taken.append(_Taken(count, until_s))

    def take(
        self, limit: WarmupLimit, wanted: int, lifetime_s: float, now_s: float
    ) -> int:
        """Take permits with a lifetime; return how many."""
        room = self.room(limit, now_s)
        taken = max(0, min(wanted, room))
        if taken:
            self.add(taken, now_s + lifetime_s + WINDOW_S + DELIVERY_S)
        return taken

    def spares(self, limit: WarmupLimit, now_s: float) -> int:
        """Return how many permits to grant beyond the demand.

        While there is room, a burst at one daemon finds permits.
        """
        is_free = self.room(limit, now_s) >= _budget(limit) * FREE_FRACTION
        return SPARE_PERMITS if is_free else 0

    def room(self, limit: WarmupLimit, now_s: float) -> int:
        """Return how many permits may be granted now."""
        self._taken = [each for each in self._taken if each.until_s > now_s]
        return _budget(limit) - sum(each.count for each in self._taken)

    def wait_s(self, limit: WarmupLimit, now_s: float) -> float:
        """Return the time until a permit may be granted."""
        missing = 1 - self.room(limit, now_s)
        for each in sorted(self._taken, key=lambda taken: taken.until_s):
            if missing <= 0:
                break
            missing -= each.count
            if missing <= 0:
                return each.until_s - now_s
        return 0


def _budget(limit: WarmupLimit) -> int:
    return max(1, int(limit.per_s * GRANTED_FRACTION))
