"""Decide whether this daemon may send a request to an engine.

A request to an engine that has named a limit needs a permit of the planner. A
daemon that gets no answer from a planner uses its part of a reserve, which is
set aside for that and never granted.
"""

import math
from collections import Counter, deque
from collections.abc import Callable
from random import Random

import attrs

from yuccavalve.ratelimit.const import (
    ASK_PERIOD_S,
    MAX_WANTED,
    PERMIT_LIFETIME_S,
    RESERVE_AFTER_S,
    RESERVED_FRACTION,
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    TRIAL_PERIOD_S,
    WANT_MAX_AGE_S,
)
from yuccavalve.ratelimit.models import Permit, PermitDemand, PermitGrants
from yuccavalve.ratelimit.table import LimitTable
from yuccavalve.warmup import const as warmup_const

__all__ = ('RateLimiter',)

_NEVER_S = float('-inf')


def _no_daemons() -> int:
    return 0


def _do_nothing() -> None:
    """Do nothing; nobody asks for permits."""


@attrs.define
class _Reserve:
    """This daemon's part of the reserve of one engine."""

    level: float
    filled_at_s: float


@attrs.define
class RateLimiter:
    """Permits of this daemon, and its demand for more.

    Attributes
    ----------
    daemon_count
        Returns the number of known daemons, dead ones included; 0 while it
        is not known.
    on_want
        Called when a permit is wanted.
    on_granted
        Called when permits arrive that may allow waiting requests.
    used
        Requests sent with a permit or from the reserve, by source.
    passed_over
        Requests that were kept from an engine by its limit.
    """

    random: Random
    table: LimitTable = attrs.field(factory=LimitTable)
    daemon_count: Callable[[], int] = _no_daemons
    on_want: Callable[[], None] = _do_nothing
    on_granted: Callable[[], None] = _do_nothing
    used: Counter[str] = attrs.field(factory=Counter)
    passed_over: int = 0
    _permits: dict[int, deque[Permit]] = attrs.field(factory=dict)
    _wanted_at_s: dict[int, deque[float]] = attrs.field(factory=dict)
    _cold_used_at_s: dict[int, deque[float]] = attrs.field(factory=dict)
    _spent: Counter[int] = attrs.field(factory=Counter)
    _reserves: dict[int, _Reserve] = attrs.field(factory=dict)
    _unanswered_since_s: float | None = None

    def allows(self, engine: int, now_s: float) -> bool:
        """Return whether a request may be sent to an engine now."""
        if not self.table.is_limited(engine, now_s):
            return True
        if self.has_permit(engine, now_s):
            return True
        return self._reserve_level(engine, now_s) >= 1

    def has_permit(self, engine: int, now_s: float) -> bool:
        """Return whether a valid permit for a limited engine is held."""
        permits = self._permits.get(engine)
        while permits and permits[0].valid_until_s <= now_s:
            permits.popleft()
        return bool(permits) and self.table.is_limited(engine, now_s)

    def is_cold(self, engine: int, now_s: float) -> bool:
        """Return whether an engine is cold."""
        return self.table.warmups.limit(engine, now_s) is not None

    def take(self, engine: int, now_s: float) -> Permit | None:
        """Take a permit; None if the engine has no limit.

        Call it only if ``allows`` returned True at the same time.
        """
        if not self.table.is_limited(engine, now_s):
            return None
        kind = 'cold_' if self.is_cold(engine, now_s) else ''
        if self.has_permit(engine, now_s):
            if kind:
                self._record_cold_use(engine, now_s)
            else:
                self.want(engine, now_s)
            self.used[f'{kind}permit'] += 1
            return self._permits[engine].popleft()
        if self._reserve_level(engine, now_s) < 1:
            # The limit has ended since the engine was chosen.
            return None
        self._reserves[engine].level -= 1
        self.used[f'{kind}reserve'] += 1
        lifetime_s = PERMIT_LIFETIME_S
        if kind:
            lifetime_s = warmup_const.PERMIT_LIFETIME_S
        return Permit(engine, now_s + lifetime_s)

    def may_send(
        self, engine: int, permit: Permit | None, now_s: float
    ) -> bool:
        """Return whether a request may still be sent after a delay."""
        if not self.table.is_limited(engine, now_s):
            return True
        return permit is not None and now_s < permit.valid_until_s

    def want(self, engine: int, now_s: float) -> None:
        """Record a request for which an engine is or would be used."""
        times_s = self._wanted_at_s.setdefault(engine, deque(maxlen=MAX_WANTED))
        times_s.append(now_s)
        if not self.has_permit(engine, now_s):
            self.on_want()

    def pass_over(self, engine: int, now_s: float) -> None:
        """Record a request that an engine's limit keeps from it."""
        self.passed_over += 1
        self.want(engine, now_s)

    def record_spent(self, engine: int) -> None:
        """Record a call to an engine for which no permit was needed."""
        if self.table.per_s(engine) is not None:
            self._spent[engine] += 1
            self.on_want()

    def retry_after_s(self, engines: list[int], now_s: float) -> float:
        """Return after which time engines at their limits may take more."""
        total_per_s = sum(self._rate_per_s(engine, now_s) for engine in engines)
        wait_s = 1 / total_per_s if engines else 0
        return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))

    def permits_held(self, now_s: float) -> int:
        """Return the number of valid permits."""
        return sum(
            len(self._permits[engine])
            for engine in list(self._permits)
            if self.has_permit(engine, now_s)
        )

    def take_demands(self, now_s: float) -> list[PermitDemand]:
        """Return the demand for which to ask now; calls spent count once."""
        self._forget(now_s)
        self._forget_cold_uses(now_s)
        demands = []
        engines = self._wanted_at_s.keys() | self._spent.keys()
        for engine in engines | self._cold_used_at_s.keys():
            held = 0
            if self.has_permit(engine, now_s):
                held = len(self._permits[engine])
            wanted = self._recent_wants(engine, now_s) - held
            spent = self._spent.pop(engine, 0)
            if wanted > 0 or spent:
                demands.append(PermitDemand(engine, max(0, wanted), spent))
        return demands

    def record_grants(self, granted: PermitGrants, asked_at_s: float) -> None:
        """Add permits; they are valid from before they were asked for."""
        self._unanswered_since_s = None
        self._reserves.clear()
        for each in granted.grants:
            permits = self._permits.setdefault(each.engine, deque())
            permit = Permit(each.engine, asked_at_s + each.lifetime_s)
            permits.extend(permit for _ in range(each.permits))
            if self.is_cold(each.engine, asked_at_s):
                self._drop_wants(each.engine, each.permits)
        if granted.grants:
            self.on_granted()

    def record_unanswered(
        self, demands: list[PermitDemand], now_s: float
    ) -> float:
        """Record that no planner answered; return when to ask again."""
        for demand in demands:
            if demand.spent:
                self._spent[demand.engine] += demand.spent
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s
        return ASK_PERIOD_S

    def _reserve_level(self, engine: int, now_s: float) -> float:
        """Return the requests that the reserve allows to this daemon.

        It begins at a random level, so that daemons that lose their planner
        together don't use the reserve together.
        """
        since_s = self._unanswered_since_s
        count = self.daemon_count()
        if since_s is None or now_s - since_s < RESERVE_AFTER_S or not count:
            return 0
        reserve = self._reserves.get(engine)
        if reserve is None:
            reserve = _Reserve(self.random.random(), now_s)
            self._reserves[engine] = reserve
        per_s = self._rate_per_s(engine, now_s)
        passed_s = max(0, now_s - reserve.filled_at_s)
        reserve.filled_at_s = now_s
        if self.is_cold(engine, now_s):
            gain_per_s = per_s * warmup_const.RESERVED_FRACTION / count
            level = reserve.level + passed_s * gain_per_s
            # What was not used in time is lost: many daemons that have
            # saved it up could use it within the same second.
            if level > 1 + gain_per_s * warmup_const.RESERVE_USE_S:
                level = math.modf(level)[0]
            reserve.level = level
        else:
            gained = passed_s * per_s * RESERVED_FRACTION / count
            reserve.level = min(1, reserve.level + gained)
        return reserve.level

    def _rate_per_s(self, engine: int, now_s: float) -> float:
        """Return the lower one of an engine's limit and cold bound."""
        warmup = self.table.warmups.limit(engine, now_s)
        limits_per_s = [
            self.table.per_s(engine),
            None if warmup is None else warmup.per_s,
        ]
        known = [per_s for per_s in limits_per_s if per_s is not None]
        return max(min(known, default=0), 1 / TRIAL_PERIOD_S)

    def _recent_wants(self, engine: int, now_s: float) -> int:
        """Return how many permits the latest requests would have used.

        Permits of cold engines run out soon and count until a second later,
        so only those are wanted that are likely to be used: one for each
        request that found none, and the expected use in a lifetime.
        """
        times_s = self._wanted_at_s.get(engine, ())
        if not self.is_cold(engine, now_s):
            return len(times_s)
        oldest_s = now_s - warmup_const.WANT_MAX_AGE_S
        used = len(self._cold_used_at_s.get(engine, ()))
        lifetimes = warmup_const.PERMIT_LIFETIME_S / warmup_const.USE_MAX_AGE_S
        return sum(at_s >= oldest_s for at_s in times_s) + round(
            used * lifetimes
        )

    def _record_cold_use(self, engine: int, now_s: float) -> None:
        used_at_s = self._cold_used_at_s.setdefault(
            engine, deque(maxlen=MAX_WANTED)
        )
        used_at_s.append(now_s)
        if len(self._permits[engine]) <= 1:
            self.on_want()

    def _drop_wants(self, engine: int, granted: int) -> None:
        """Drop the demand for which permits were granted."""
        times_s = self._wanted_at_s.get(engine)
        for _ in range(min(granted, len(times_s or ()))):
            times_s.popleft()

    def _forget_cold_uses(self, now_s: float) -> None:
        oldest_s = now_s - warmup_const.USE_MAX_AGE_S
        for engine, used_at_s in list(self._cold_used_at_s.items()):
            while used_at_s and used_at_s[0] < oldest_s:
                used_at_s.popleft()
            if not used_at_s or not self.is_cold(engine, now_s):
                self._cold_used_at_s.pop(engine)

    def _forget(self, now_s: float) -> None:
        """Drop demand that is too old and permits that ran out."""
        oldest_s = now_s - WANT_MAX_AGE_S
        for engine, times_s in list(self._wanted_at_s.items()):
            while times_s and times_s[0] < oldest_s:
                times_s.popleft()
            if not times_s or not self.table.is_limited(engine, now_s):
                self._wanted_at_s.pop(engine)
        for engine in list(self._permits):
            if not self.has_permit(engine, now_s):
                self._permits.pop(engine)
