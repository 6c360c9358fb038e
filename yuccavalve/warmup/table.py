"""Engines that are cold, as far as this daemon knows."""

from collections.abc import Callable, Iterable

import attrs

from yuccavalve.warmup.const import (
    ENDED_RETENTION_S,
    MAX_NEWS,
    MAX_WARMUP_S,
    MAX_WARMUPS,
    SAME_END_S,
)
from yuccavalve.warmup.models import WarmupChange, WarmupLimit

__all__ = ('WarmupTable',)


def _ignore_change(change: WarmupChange) -> None:
    """Do nothing."""


@attrs.define
class WarmupTable:
    """Bounds of cold engines by the 32-bit id of an engine's start.

    Attributes
    ----------
    on_change
        Called with each engine that becomes cold, or that is warm again.
    begun
        Warm-ups learned of since the start.
    """

    on_change: Callable[[WarmupChange], None] = _ignore_change
    begun: int = 0
    _limits: dict[int, WarmupLimit] = attrs.field(factory=dict)
    _ongoing: set[int] = attrs.field(factory=set)
    _relayed: int = 0

    @property
    def has_limits(self) -> bool:
        """Return whether any engine has been cold a short time ago."""
        return bool(self._limits)

    def limit(self, engine: int, now_s: float) -> WarmupLimit | None:
        """Return the bound of an engine; None while it is warm."""
        limit = self._limits.get(engine)
        return None if limit is None or limit.ends_at_s <= now_s else limit

    def in_force(self, now_s: float) -> list[WarmupLimit]:
        """Return the bounds of all engines that are cold."""
        return [
            limit for limit in self._limits.values() if now_s < limit.ends_at_s
        ]

    def apply(
        self, told: WarmupLimit, now_s: float, cause: str = 'peer'
    ) -> None:
        """Merge what a record, an answer or another daemon tells.

        Of two announcements of the same warm-up the lower bound applies.
        """
        ends_at_s = min(told.ends_at_s, now_s + MAX_WARMUP_S)
        known = self._limits.get(told.engine)
        if known is not None and ends_at_s <= known.ends_at_s + SAME_END_S:
            self._limits[told.engine] = attrs.evolve(
                known,
                per_s=min(known.per_s, told.per_s),
                is_start=known.is_start or told.is_start,
            )
            return
        if ends_at_s <= now_s:
            return
        self.expire(now_s)
        continues = known is not None and now_s < known.ends_at_s
        self._limits[told.engine] = attrs.evolve(
            known if continues else told,
            per_s=min(known.per_s, told.per_s) if continues else told.per_s,
            ends_at_s=ends_at_s,
            learned_at_s=known.learned_at_s if continues else now_s,
        )
        if not continues:
            self._record_begin(told, ends_at_s - now_s, cause)

    def news(self, now_s: float) -> list[WarmupLimit]:
        """Return bounds for a message: the newest first, the others in turn."""
        self.expire(now_s)
        cold = sorted(self.in_force(now_s), key=lambda each: -each.learned_at_s)
        newest = cold[: MAX_NEWS // 2]
        others = cold[len(newest) :]
        room = min(MAX_NEWS - len(newest), len(others))
        start = self._relayed % max(1, len(others))
        self._relayed = start + room
        return [*newest, *(others[start:] + others[:start])[:room]]

    def known(self, engines: Iterable[int], now_s: float) -> list[WarmupLimit]:
        """Return the bounds of those of some engines that are cold."""
        limits = (self.limit(engine, now_s) for engine in engines)
        return [limit for limit in limits if limit is not None]

    def expire(self, now_s: float) -> None:
        """Tell of engines that are warm again, and forget old ones."""
        for engine in tuple(self._ongoing):
            limit = self._limits[engine]
            if limit.ends_at_s <= now_s:
                self._ongoing.discard(engine)
                self.on_change(WarmupChange(engine, limit.per_s, 0, 'time'))
        for engine, limit in tuple(self._limits.items()):
            if now_s - limit.ends_at_s > ENDED_RETENTION_S:
                self._limits.pop(engine)

    def _record_begin(
        self, told: WarmupLimit, left_s: float, cause: str
    ) -> None:
        self.begun += 1
        self._ongoing.add(told.engine)
        if len(self._limits) > MAX_WARMUPS:
            soonest = min(
                self._limits.values(), key=lambda each: each.ends_at_s
            )
            self._limits.pop(soonest.engine)
            self._ongoing.discard(soonest.engine)
        self.on_change(WarmupChange(told.engine, told.per_s, left_s, cause))
