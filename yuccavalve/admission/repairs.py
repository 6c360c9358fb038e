"""Learn how long repairs take, and tell when one is expected."""

import attrs

from yuccavalve.admission.const import (
    ASSUMED_FORM_S,
    ASSUMED_REPAIR_S,
    FORM_OVERDUE_MIN_S,
    MAX_LOSSES,
    MAX_REPAIR_S,
    REPAIR_OVERDUE_FACTOR,
    REPAIR_OVERDUE_MIN_S,
    SOON_S,
)
from yuccavalve.load.const import EWMA_WEIGHT

__all__ = ('PoolEngines', 'RepairTimes')


@attrs.frozen
class PoolEngines:
    """Engines of a pool as a daemon sees them.

    Attributes
    ----------
    sound
        Keys of engines that take requests and are not suspected.
    suspect
        Keys of those that are suspected.
    forming
        Names of replicas whose members join or are ready.
    """

    sound: frozenset[str]
    suspect: frozenset[str] = frozenset()
    forming: frozenset[str] = frozenset()


@attrs.define
class _MeanTime:
    mean_s: float

    def record(self, duration_s: float) -> None:
        self.mean_s += EWMA_WEIGHT * (duration_s - self.mean_s)


@attrs.define
class RepairTimes:
    """Losses and repairs of the engines of one pool.

    An engine is lost when it is suspected or no longer listed. A new engine
    repairs the oldest loss. Engines that are suspected and serve again, and
    new ones without a loss, say nothing of repairs.
    """

    _repair: _MeanTime = attrs.field(
        factory=lambda: _MeanTime(ASSUMED_REPAIR_S)
    )
    _form: _MeanTime = attrs.field(factory=lambda: _MeanTime(ASSUMED_FORM_S))
    _known: frozenset[str] = frozenset()
    _lost_at_s: dict[str, float] = attrs.field(factory=dict)
    _repaired: frozenset[str] = frozenset()
    _forming_at_s: dict[str, float] = attrs.field(factory=dict)

    @property
    def repair_s(self) -> float:
        """Return the mean time of a repair."""
        return self._repair.mean_s

    def observe(self, engines: PoolEngines, now_s: float) -> None:
        """Take note of the engines."""
        listed = engines.sound | engines.suspect
        new = listed - self._known
        lost = (self._known - listed) | engines.suspect
        for lost_key in lost - self._repaired:
            self._lost_at_s.setdefault(lost_key, now_s)
        for sound in engines.sound & self._lost_at_s.keys():
            self._lost_at_s.pop(sound)
        for _ in new:
            self._record_new(now_s)
        self._observe_forming(engines.forming, now_s, opened=bool(new))
        self._known = listed
        self._repaired &= engines.suspect
        self._lost_at_s = {
            key: at_s
            for key, at_s in tuple(self._lost_at_s.items())[-MAX_LOSSES:]
            if now_s - at_s <= MAX_REPAIR_S or key in engines.suspect
        }

    def expected_s(self, now_s: float) -> tuple[float, str] | None:
        """Return the time until an engine is expected, and why; or None."""
        expected = []
        for at_s in self._forming_at_s.values():
            left_s = _left_s(
                now_s - at_s, self._form.mean_s, FORM_OVERDUE_MIN_S
            )
            if left_s is not None:
                expected.append((left_s, 'forming'))
        for lost_at_s in self._lost_at_s.values():
            left_s = _left_s(
                now_s - lost_at_s, self._repair.mean_s, REPAIR_OVERDUE_MIN_S
            )
            if left_s is not None:
                expected.append((left_s, 'repair'))
        return min(expected, default=None)

    def _record_new(self, now_s: float) -> None:
        """Record a new engine as the repair of the oldest loss."""
        lost = [
            (at_s, key)
            for key, at_s in self._lost_at_s.items()
            if now_s - at_s <= MAX_REPAIR_S
        ]
        if lost:
            lost_at_s, key = min(lost)
            self._lost_at_s.pop(key)
            self._repaired |= {key}
            self._repair.record(now_s - lost_at_s)

    def _observe_forming(
        self, forming: frozenset[str], now_s: float, *, opened: bool
    ) -> None:
        for replica in self._forming_at_s.keys() - forming:
            formed_s = now_s - self._forming_at_s.pop(replica)
            if opened and formed_s <= MAX_REPAIR_S:
                self._form.record(formed_s)
        for name in forming:
            self._forming_at_s.setdefault(name, now_s)


def _left_s(
    elapsed_s: float, mean_s: float, overdue_min_s: float
) -> float | None:
    """Return the time left of what takes a mean time; None if overdue."""
    if elapsed_s > max(overdue_min_s, REPAIR_OVERDUE_FACTOR * mean_s):
        return None
    return max(SOON_S, mean_s - elapsed_s)
