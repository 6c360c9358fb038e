"""Limits that engines name, as far as this daemon knows."""

from collections.abc import Callable, Iterable

import attrs

from yuccavalve.ratelimit.const import (
    LIMIT_MAX_AGE_S,
    MAX_LIMITS,
    MAX_NEWS,
    RELAY_S,
)
from yuccavalve.ratelimit.models import EngineLimit, LimitChange
from yuccavalve.warmup import WarmupLimit, WarmupTable

__all__ = ('LimitTable',)


def _ignore_change(change: LimitChange) -> None:
    """Do nothing."""


@attrs.define
class LimitTable:
    """Limits by the 32-bit id of an engine's start.

    Attributes
    ----------
    relay_s
        Time in seconds for which a change goes first in messages.
    on_change
        Called with each limit that begins, changes or ends.
    warmups
        Bounds of cold engines, which end by themselves.
    """

    relay_s: float = RELAY_S
    on_change: Callable[[LimitChange], None] = _ignore_change
    warmups: WarmupTable = attrs.field(factory=WarmupTable)
    _limits: dict[int, EngineLimit] = attrs.field(factory=dict)
    _changed_at_s: dict[int, float] = attrs.field(factory=dict)
    _unreadable: set[int] = attrs.field(factory=set)
    _relayed: int = 0

    def per_s(self, engine: int) -> float | None:
        """Return an engine's limit in requests a second; None without one."""
        limit = self._limits.get(engine)
        return None if limit is None else limit.in_force_per_s

    @property
    def has_limits(self) -> bool:
        """Return whether any engine has named a limit or was cold recently."""
        return bool(self._limits) or self.warmups.has_limits

    def is_limited(self, engine: int, now_s: float) -> bool:
        """Return whether requests to an engine need permits."""
        if self.per_s(engine) is not None:
            return True
        return self.warmups.limit(engine, now_s) is not None

    def in_force(self) -> dict[int, float]:
        """Return the limits in force by engine."""
        return {
            engine: limit.per_s
            for engine, limit in self._limits.items()
            if limit.in_force
        }

    def record_named(self, engine: int, per_s: float, now_s: float) -> None:
        """Record a limit in an answer that was just received."""
        self._unreadable.discard(engine)
        self.apply((EngineLimit(engine, per_s, now_s),), now_s)

    def record_unreadable(self, engine: int, now_s: float) -> bool:
        """Record an answer with an unreadable limit.

        A limit in force stays so; without one the engine stays unlimited.

        Returns
        -------
        bool
            Whether the engine's last limit was readable.
        """
        per_s = self.per_s(engine)
        if per_s is not None:
            self.apply((EngineLimit(engine, per_s, now_s),), now_s)
        is_first = engine not in self._unreadable
        if len(self._unreadable) >= MAX_LIMITS:
            self._unreadable.clear()
        self._unreadable.add(engine)
        return is_first

    def record_unnamed(
        self, engine: int, sent_at_s: float, now_s: float
    ) -> None:
        """Record an answer without a limit to a request sent at a time."""
        if engine in self._limits:
            self.apply((EngineLimit(engine, unnamed_at_s=sent_at_s),), now_s)

    def apply(
        self, news: Iterable[EngineLimit | WarmupLimit], now_s: float
    ) -> None:
        """Merge what answers or other daemons tell."""
        for told in news:
            if isinstance(told, WarmupLimit):
                self.warmups.apply(told, now_s)
                continue
            known = self._limits.get(told.engine, EngineLimit(told.engine))
            merged = known.merged(told)
            if now_s - merged.known_at_s > LIMIT_MAX_AGE_S:
                continue
            self._limits[told.engine] = merged
            if merged.in_force_per_s != known.in_force_per_s:
                self._record_change(known, merged, now_s)
        if len(self._limits) > MAX_LIMITS:
            self._forget_oldest()

    def news(self, now_s: float) -> list[EngineLimit | WarmupLimit]:
        """Return limits for a message: changes first, the others in turn."""
        self._expire(now_s)
        changed = [
            engine
            for engine, at_s in self._changed_at_s.items()
            if now_s - at_s < self.relay_s
        ][-MAX_NEWS:]
        others = sorted(self._limits.keys() - set(changed))
        room = min(MAX_NEWS - len(changed), len(others))
        start = self._relayed % max(1, len(others))
        self._relayed = start + room
        in_turn = (others[start:] + others[:start])[:room]
        return [
            *self.warmups.news(now_s),
            *(self._limits[engine] for engine in (*changed, *in_turn)),
        ]

    def known(
        self, engines: Iterable[int], now_s: float
    ) -> list[EngineLimit | WarmupLimit]:
        """Return what is known of some engines."""
        asked = tuple(engines)
        return [
            *self.warmups.known(asked, now_s),
            *(
                self._limits[engine]
                for engine in asked
                if engine in self._limits
            ),
        ]

    def _record_change(
        self, known: EngineLimit, merged: EngineLimit, now_s: float
    ) -> None:
        self._changed_at_s[merged.engine] = now_s
        self.on_change(
            LimitChange(
                merged.engine, known.in_force_per_s, merged.in_force_per_s
            )
        )

    def _expire(self, now_s: float) -> None:
        for engine, limit in list(self._limits.items()):
            if now_s - limit.known_at_s > LIMIT_MAX_AGE_S:
                self._forget(engine)

    def _forget_oldest(self) -> None:
        oldest = min(self._limits.values(), key=lambda limit: limit.known_at_s)
        self._forget(oldest.engine)

    def _forget(self, engine: int) -> None:
        self._limits.pop(engine)
        self._changed_at_s.pop(engine, None)
