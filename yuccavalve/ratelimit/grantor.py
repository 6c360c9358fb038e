"""Grant permits for requests to engines that have named a limit.

Only the holder of the planner lease grants, from one token bucket for each
engine, so that the sum over daemons holds however many there are. A bucket
begins empty: until then the engine got requests without permits, or permits of
the previous planner.
"""

from collections import deque
from collections.abc import Callable, Iterable

import attrs

from yuccavalve.ratelimit.const import (
    ASK_PERIOD_S,
    ASKER_MAX_AGE_S,
    ASKS_PER_S,
    BURST_S,
    GRANTED_FRACTION,
    MAX_ASK_PERIOD_S,
    MAX_DEBT_S,
    MAX_PERMIT_LIFETIME_S,
    OUTSTANDING_PERMITS,
    PERMIT_LIFETIME_S,
    TRIAL_PERIOD_S,
)
from yuccavalve.ratelimit.models import (
    PermitDemand,
    PermitGrant,
    PermitGrants,
)
from yuccavalve.ratelimit.table import LimitTable
from yuccavalve.warmup import PermitWindow, WarmupLimit
from yuccavalve.warmup import const as warmup_const

__all__ = ('PermitGrantor',)


def _no_term() -> None:
    """Return that the planner lease is not held."""


@attrs.define
class _Bucket:
    """Token bucket of one engine; a negative level is a debt."""

    filled_at_s: float
    level: float = 0

    def fill(self, rate_per_s: float, now_s: float) -> None:
        """Add the tokens since the last call, up to the capacity."""
        passed_s = max(0, now_s - self.filled_at_s)
        capacity = max(1, rate_per_s * BURST_S)
        self.level = min(capacity, self.level + passed_s * rate_per_s)
        self.filled_at_s = now_s

    def take(self, wanted: int) -> int:
        """Take up to a number of whole tokens; return how many."""
        taken = max(0, min(wanted, int(self.level)))
        self.level -= taken
        return taken


@attrs.define
class PermitGrantor:
    """Token buckets of the engines that have named a limit.

    Attributes
    ----------
    term
        Returns the term of the planner lease while this daemon holds it,
        None otherwise.
    holder_address
        Returns the peer address of the lease's holder; empty if not known.
    granted
        Permits granted since the start.
    granted_cold
        Those of them that were for cold engines.
    """

    table: LimitTable
    term: Callable[[], int | None] = _no_term
    holder_address: Callable[[], str] = str
    granted: int = 0
    granted_cold: int = 0
    _last_term: int | None = None
    _granting_since_s: float = 0
    _buckets: dict[int, _Bucket] = attrs.field(factory=dict)
    _windows: dict[int, PermitWindow] = attrs.field(factory=dict)
    _asked_at_s: dict[int, float] = attrs.field(factory=dict)
    _recent_asks_s: deque[float] = attrs.field(factory=deque)

    def grant(
        self, member: int, demands: Iterable[PermitDemand], now_s: float
    ) -> PermitGrants | None:
        """Return permits for a daemon; None without the planner lease.

        Parameters
        ----------
        member
            32-bit id of the daemon.
        demands
            The daemon's demands.
        now_s
            Monotonic time.
        """
        if not self.note_term(now_s):
            return None
        self._record_asker(member, now_s)
        grants = []
        waits_s = []
        for demand in demands:
            self.spend(demand.engine, demand.spent, now_s)
            warmup = self.table.warmups.limit(demand.engine, now_s)
            bucket = self._bucket(demand.engine, now_s)
            if warmup is not None:
                grant = self._grant_cold(warmup, demand.wanted, bucket, now_s)
            elif bucket is not None:
                grant = self._grant_named(demand, bucket)
            else:
                continue
            if grant.permits:
                grants.append(grant)
            waits_s.append(self._wait_s(warmup, bucket, grant, now_s))
        self.granted += sum(each.permits for each in grants)
        retry_s = min(waits_s, default=self._ask_period_s())
        return PermitGrants(tuple(grants), min(MAX_ASK_PERIOD_S, retry_s))

    def spend(self, engine: int, count: int, now_s: float) -> None:
        """Record calls that were made without a permit."""
        bucket = self._bucket(engine, now_s) if count else None
        if bucket is not None:
            debt = max(1, self._rate_per_s(engine) * MAX_DEBT_S)
            bucket.level = max(-debt, bucket.level - count)

    def allows_check(self, engine: int, now_s: float) -> bool:
        """Return whether a check may be sent, even before requests are."""
        if not self.note_term(now_s):
            return True
        bucket = self._bucket(engine, now_s)
        return bucket is None or bucket.level > -1

    def note_term(self, now_s: float) -> bool:
        """Return whether this daemon may grant; a new term begins anew."""
        term = self.term()
        if term is None:
            return False
        if term != self._last_term:
            self._last_term = term
            self._granting_since_s = now_s
            self._buckets.clear()
            self._windows.clear()
        return True

    def _grant_named(
        self, demand: PermitDemand, bucket: _Bucket
    ) -> PermitGrant:
        """Return permits within the limit that an engine names."""
        permits = bucket.take(demand.wanted)
        lifetime_s = _lifetime_s(self._rate_per_s(demand.engine))
        return PermitGrant(demand.engine, permits, lifetime_s)

    def _wait_s(
        self,
        warmup: WarmupLimit | None,
        bucket: _Bucket | None,
        grant: PermitGrant,
        now_s: float,
    ) -> float:
        """Return the time after which asking for an engine makes sense."""
        if warmup is not None:
            free_s = self._window(warmup, now_s).wait_s(warmup, now_s)
            # Other cold engines may be wanted meanwhile.
            return max(min(free_s, ASK_PERIOD_S), self._cold_ask_period_s())
        missing = 0 if bucket is None else max(0, 1 - bucket.level)
        wait_s = missing / self._rate_per_s(grant.engine)
        return max(wait_s, self._ask_period_s())

    def _grant_cold(
        self,
        warmup: WarmupLimit,
        wanted: int,
        bucket: _Bucket | None,
        now_s: float,
    ) -> PermitGrant:
        """Return permits within an engine's bound and any limit it names."""
        lifetime_s = self._cold_lifetime_s()
        window = self._window(warmup, now_s)
        if wanted > 0:
            wanted += window.spares(warmup, now_s)
        if bucket is not None:
            wanted = min(wanted, max(0, int(bucket.level)))
        permits = window.take(warmup, wanted, lifetime_s, now_s)
        if bucket is not None:
            bucket.level -= permits
        self.granted_cold += permits
        return PermitGrant(warmup.engine, permits, lifetime_s)

    def _window(self, warmup: WarmupLimit, now_s: float) -> PermitWindow:
        """Return the window of an engine's present warm-up."""
        window = self._windows.get(warmup.engine)
        if window is None or window.learned_at_s != warmup.learned_at_s:
            self._windows = {
                engine: each
                for engine, each in self._windows.items()
                if self.table.warmups.limit(engine, now_s) is not None
            }
            window = PermitWindow.begin(warmup, self._granting_since_s)
            self._windows[warmup.engine] = window
        return window

    def _cold_lifetime_s(self) -> float:
        period_s = self._cold_ask_period_s()
        return min(
            warmup_const.MAX_PERMIT_LIFETIME_S,
            max(
                warmup_const.PERMIT_LIFETIME_S,
                period_s * warmup_const.LIFETIME_ASK_PERIODS,
            ),
        )

    def _cold_ask_period_s(self) -> float:
        """Return the time after which to ask again for a cold engine.

        Daemons that ask seldom are not told to ask later while the planner
        has fewer calls than it can answer.
        """
        if len(self._recent_asks_s) < ASKS_PER_S:
            return warmup_const.ASK_PERIOD_S
        return self._ask_period_s()

    def _bucket(self, engine: int, now_s: float) -> _Bucket | None:
        """Return an engine's bucket, filled; None without a limit."""
        if self.table.per_s(engine) is None:
            self._buckets.pop(engine, None)
            return None
        bucket = self._buckets.setdefault(engine, _Bucket(now_s))
        bucket.fill(self._rate_per_s(engine), now_s)
        return bucket

    def _rate_per_s(self, engine: int) -> float:
        per_s = self.table.per_s(engine) or 0
        return max(per_s * GRANTED_FRACTION, 1 / TRIAL_PERIOD_S)

    def _record_asker(self, member: int, now_s: float) -> None:
        self._asked_at_s[member] = now_s
        self._recent_asks_s.append(now_s)
        while now_s - self._recent_asks_s[0] > 1:
            self._recent_asks_s.popleft()
        self._asked_at_s = {
            each: at_s
            for each, at_s in self._asked_at_s.items()
            if now_s - at_s <= ASKER_MAX_AGE_S
        }

    def _ask_period_s(self) -> float:
        period_s = len(self._asked_at_s) / ASKS_PER_S
        return min(MAX_ASK_PERIOD_S, max(ASK_PERIOD_S, period_s))


def _lifetime_s(rate_per_s: float) -> float:
    lifetime_s = max(PERMIT_LIFETIME_S, OUTSTANDING_PERMITS / rate_per_s)
    return min(MAX_PERMIT_LIFETIME_S, lifetime_s)
