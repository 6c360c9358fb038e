"""Model of daemons before one engine that names a limit, without a network."""

from random import Random

import attrs

from tests.support.arrivals import most_in_window
from yuccavalve.clock import ManualClock
from yuccavalve.ratelimit import LimitTable, PermitGrantor, RateLimiter

__all__ = ('ENGINE', 'LimitModel', 'ModelDaemon')

ENGINE = 7
_STEP_S = 0.01
_SHARE_S = 0.25


@attrs.define(eq=False)
class ModelDaemon:
    """One daemon with its permits and buckets.

    Attributes
    ----------
    number
        Its id in requests for permits.
    plans
        Whether it holds the planner lease.
    cut
        Whether it reaches the engine only.
    frozen
        Whether it does nothing.
    """

    number: int
    limiter: RateLimiter
    grantor: PermitGrantor
    plans: bool = False
    cut: bool = False
    frozen: bool = False
    ask_at_s: float = 0
    share_at_s: float = 0


@attrs.define
class LimitModel:
    """Daemons with requests at random times, all for one engine.

    Attributes
    ----------
    requests_per_s
        Requests for the engine a second, over all daemons.
    per_s
        Limit that the engine names; None names none.
    arrivals_s
        Times at which the engine got a request.
    """

    requests_per_s: float
    per_s: float | None = None
    clock: ManualClock = attrs.field(factory=lambda: ManualClock(1000))
    random: Random = attrs.field(factory=lambda: Random(5))
    daemons: list[ModelDaemon] = attrs.field(factory=list)
    arrivals_s: list[float] = attrs.field(factory=list)
    _terms: int = 0

    @classmethod
    def of(
        cls, count: int, requests_per_s: float, per_s: float | None
    ) -> 'LimitModel':
        """Return daemons of which the first one plans."""
        model = cls(requests_per_s, per_s)
        for number in range(count):
            model.add(number)
        model.set_planner(model.daemons[0])
        return model

    def add(self, number: int) -> ModelDaemon:
        """Add a daemon that knows no limits yet."""
        table = LimitTable()
        limiter = RateLimiter(
            self.random, table, daemon_count=lambda: len(self.daemons)
        )
        daemon = ModelDaemon(number, limiter, PermitGrantor(table))
        daemon.share_at_s = self.clock.now_s() + self.random.random() * _SHARE_S
        self.daemons.append(daemon)
        return daemon

    def restart(self, daemon: ModelDaemon) -> ModelDaemon:
        """Replace a daemon by one that knows nothing."""
        self.daemons.remove(daemon)
        return self.add(daemon.number)

    def set_planner(self, planner: ModelDaemon | None) -> None:
        """Give the planner lease to a daemon, or to none."""
        self._terms += 1
        term = self._terms
        for daemon in self.daemons:
            daemon.plans = daemon is planner
            daemon.grantor.term = lambda: None
        if planner is not None:
            planner.grantor.term = lambda: term

    def run(self, duration_s: float) -> list[float]:
        """Run for a time; return the arrivals in it."""
        began = len(self.arrivals_s)
        until_s = self.clock.now_s() + duration_s
        while self.clock.now_s() < until_s:
            self.clock.advance(_STEP_S)
            for daemon in self.random.sample(self.daemons, len(self.daemons)):
                if not daemon.frozen:
                    self._step(daemon)
        return self.arrivals_s[began:]

    def most_in_window(self) -> int:
        """Return the largest number of arrivals in the bench's window."""
        return most_in_window(self.arrivals_s)

    def _step(self, daemon: ModelDaemon) -> None:
        now_s = self.clock.now_s()
        rate_per_s = self.requests_per_s / len(self.daemons)
        if self.random.random() < rate_per_s * _STEP_S:
            self._request(daemon, now_s)
        if now_s >= daemon.ask_at_s:
            self._ask(daemon, now_s)
        if now_s >= daemon.share_at_s and not daemon.cut:
            daemon.share_at_s = now_s + _SHARE_S
            hub = self.daemons[0].limiter.table
            own = daemon.limiter.table
            hub.apply(own.news(now_s), now_s)
            own.apply(hub.news(now_s), now_s)

    def _request(self, daemon: ModelDaemon, now_s: float) -> None:
        limiter = daemon.limiter
        if not limiter.allows(ENGINE, now_s):
            limiter.pass_over(ENGINE, now_s)
            return
        permit = limiter.take(ENGINE, now_s)
        assert limiter.may_send(ENGINE, permit, now_s)
        self.arrivals_s.append(now_s)
        if self.per_s is None:
            limiter.table.record_unnamed(ENGINE, now_s, now_s)
        else:
            limiter.table.record_named(ENGINE, self.per_s, now_s)

    def _ask(self, daemon: ModelDaemon, now_s: float) -> None:
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
