"""Model of daemons before cold engines, without a network."""

from random import Random

import attrs

from yuccavalve.clock import ManualClock
from yuccavalve.ratelimit import LimitTable, PermitGrantor, RateLimiter
from yuccavalve.warmup import WarmupLimit

__all__ = ('BOUND_PER_S', 'WarmupModel', 'most_in_second')

BOUND_PER_S = 15 * 1.5 + 5
_STEP_S = 0.01
_SHARE_S = 0.25
_URGENT_S = 0.03


def most_in_second(times_s: list[float]) -> int:
    """Return the largest number of arrivals in a sliding second."""
    ordered = sorted(times_s)
    most = first = 0
    for position, at_s in enumerate(ordered):
        while at_s - ordered[first] >= 1:
            first += 1
        most = max(most, position - first + 1)
    return most


@attrs.define(eq=False)
class _Daemon:
    """One daemon; ``cut`` reaches engines only, ``frozen`` does nothing."""

    number: int
    limiter: RateLimiter
    grantor: PermitGrantor
    plans: bool = False
    cut: bool = False
    frozen: bool = False
    ask_at_s: float = 0
    share_at_s: float = 0
    waiting_s: list[float] = attrs.field(factory=list)


@attrs.define
class WarmupModel:
    """Daemons with requests at random times, for any of some cold engines.

    Attributes
    ----------
    requests_per_s
        Requests over all daemons.
    waits_s
        How long a request waits for a permit before it is refused.
    arrivals_s
        Times of requests by engine.
    """

    requests_per_s: float
    engines: int = 1
    waits_s: float = 0
    clock: ManualClock = attrs.field(factory=lambda: ManualClock(1000))
    random: Random = attrs.field(factory=lambda: Random(5))
    daemons: list[_Daemon] = attrs.field(factory=list)
    arrivals_s: dict[int, list[float]] = attrs.field(factory=dict)
    refused: int = 0
    _terms: int = 0

    @classmethod
    def of(cls, count: int, *args: float, **fields: float) -> 'WarmupModel':
        """Return daemons of which the first one plans."""
        model = cls(*args, **fields)
        for number in range(count):
            model.add(number)
        model.set_planner(model.daemons[0])
        return model

    def add(self, number: int) -> _Daemon:
        """Add a daemon that knows of no cold engines."""
        table = LimitTable()
        limiter = RateLimiter(
            self.random, table, daemon_count=lambda: len(self.daemons)
        )
        daemon = _Daemon(number, limiter, PermitGrantor(table))
        daemon.share_at_s = self.clock.now_s() + self.random.random() * _SHARE_S
        table.warmups.on_change = lambda change: self._tell_soon(daemon)
        self.daemons.append(daemon)
        return daemon

    def set_planner(self, planner: _Daemon | None) -> None:
        """Give the planner lease to a daemon, or to none."""
        self._terms += 1
        term = self._terms
        for daemon in self.daemons:
            daemon.plans = daemon is planner
            daemon.grantor.term = lambda: None
        if planner is not None:
            planner.grantor.term = lambda: term

    def turn_cold(self, cold_s: float, *told: _Daemon, start: bool = False):
        """Tell some daemons that all engines are cold; by default all."""
        now_s = self.clock.now_s()
        for daemon in told or self.daemons:
            for engine in range(self.engines):
                daemon.limiter.table.warmups.apply(
                    WarmupLimit(
                        engine, BOUND_PER_S, now_s + cold_s, is_start=start
                    ),
                    now_s,
                    'record',
                )

    def run(self, duration_s: float) -> None:
        """Run for a time."""
        until_s = self.clock.now_s() + duration_s
        while self.clock.now_s() < until_s:
            self.clock.advance(_STEP_S)
            for daemon in self.random.sample(self.daemons, len(self.daemons)):
                if not daemon.frozen:
                    self._step(daemon)

    def most(self, since_s: float = 0) -> int:
        """Return the largest number at an engine in any second."""
        return max(
            (
                most_in_second([at_s for at_s in times_s if at_s >= since_s])
                for times_s in self.arrivals_s.values()
            ),
            default=0,
        )

    def used(self, since_s: float) -> float:
        """Return which part of the bound was used since a time."""
        count = sum(
            at_s >= since_s
            for times_s in self.arrivals_s.values()
            for at_s in times_s
        )
        passed_s = self.clock.now_s() - since_s
        return count / (self.engines * BOUND_PER_S * passed_s)

    def _tell_soon(self, daemon: _Daemon) -> None:
        soon_s = self.clock.now_s() + _URGENT_S
        daemon.share_at_s = min(daemon.share_at_s, soon_s)

    def _step(self, daemon: _Daemon) -> None:
        now_s = self.clock.now_s()
        rate_per_s = self.requests_per_s / len(self.daemons)
        if self.random.random() < rate_per_s * _STEP_S:
            daemon.waiting_s.append(now_s)
        if now_s >= daemon.ask_at_s:
            self._ask(daemon, now_s)
        self._send(daemon, now_s)
        if now_s >= daemon.share_at_s and not daemon.cut:
            daemon.share_at_s = now_s + _SHARE_S
            hub = self.daemons[0].limiter.table
            own = daemon.limiter.table
            hub.apply(own.news(now_s), now_s)
            own.apply(hub.news(now_s), now_s)

    def _send(self, daemon: _Daemon, now_s: float) -> None:
        limiter = daemon.limiter
        waiting_s, daemon.waiting_s = daemon.waiting_s, []
        for since_s in waiting_s:
            allowed = [
                engine
                for engine in range(self.engines)
                if limiter.allows(engine, now_s)
            ]
            engine = self.random.choice(allowed or range(self.engines))
            if allowed:
                permit = limiter.take(engine, now_s)
                assert limiter.may_send(engine, permit, now_s)
                self.arrivals_s.setdefault(engine, []).append(now_s)
                continue
            if since_s == now_s:
                limiter.pass_over(engine, now_s)
            if now_s - since_s < self.waits_s:
                daemon.waiting_s.append(since_s)
            else:
                self.refused += 1

    def _ask(self, daemon: _Daemon, now_s: float) -> None:
        daemon.grantor.note_term(now_s)
        demands = daemon.limiter.take_demands(now_s)
        if not demands:
            return
        granted = None
        for planner in self.daemons:
            is_reached = planner is daemon or not (planner.cut or daemon.cut)
            if planner.plans and is_reached and not planner.frozen:
                granted = planner.grantor.grant(daemon.number, demands, now_s)
        if granted is None:
            wait_s = daemon.limiter.record_unanswered(demands, now_s)
        else:
            daemon.limiter.record_grants(granted, now_s)
            wait_s = granted.retry_s
        daemon.ask_at_s = now_s + wait_s * self.random.uniform(0.8, 1.2)
