"""Model of daemons before cold engines, without a network."""

import attrs

from tests.support.limit_model import LimitModel, ModelDaemon
from yuccavalve.warmup import WarmupLimit

__all__ = ('BOUND_PER_S', 'WarmupModel', 'most_in_second')

BOUND_PER_S = 15 * 1.5 + 5
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


@attrs.define
class WarmupModel(LimitModel):
    """Daemons with requests at random times, for any of some cold engines.

    Attributes
    ----------
    waits_s
        How long a request waits for a permit before it is refused.
    taken_s
        Times of requests by engine.
    """

    engines: int = 1
    waits_s: float = 0
    refused: int = 0
    taken_s: dict[int, list[float]] = attrs.field(factory=dict)
    _waiting_s: dict[int, list[float]] = attrs.field(factory=dict)

    @classmethod
    def of(
        cls,
        count: int,
        requests_per_s: float,
        engines: int = 1,
        waits_s: float = 0,
    ) -> 'WarmupModel':
        """Return daemons of which the first one plans."""
        model = cls(requests_per_s, engines=engines, waits_s=waits_s)
        for number in range(count):
            model.add(number)
        model.set_planner(model.daemons[0])
        return model

    def add(self, number: int) -> ModelDaemon:
        """Add a daemon that knows of no cold engines."""
        daemon = super().add(number)
        daemon.limiter.table.warmups.on_change = lambda change: self._tell_soon(
            daemon
        )
        return daemon

    def turn_cold(
        self, cold_s: float, *told: ModelDaemon, start: bool = False
    ) -> None:
        """Tell some daemons that all engines are cold; by default all."""
        now_s = self.clock.now_s()
        for engine in range(self.engines):
            limit = WarmupLimit(
                engine, BOUND_PER_S, now_s + cold_s, is_start=start
            )
            for daemon in told or self.daemons:
                daemon.limiter.table.warmups.apply(limit, now_s)

    def most(self, since_s: float = 0) -> int:
        """Return the largest number at an engine in any second."""
        return max(map(most_in_second, self._taken_since(since_s)), default=0)

    def used(self, since_s: float) -> float:
        """Return which part of the bound was used since a time."""
        count = sum(map(len, self._taken_since(since_s)))
        passed_s = self.clock.now_s() - since_s
        return count / (self.engines * BOUND_PER_S * passed_s)

    def _taken_since(self, since_s: float) -> list[list[float]]:
        return [
            [at_s for at_s in times_s if at_s >= since_s]
            for times_s in self.taken_s.values()
        ]

    def _tell_soon(self, daemon: ModelDaemon) -> None:
        soon_s = self.clock.now_s() + _URGENT_S
        daemon.share_at_s = min(daemon.share_at_s, soon_s)

    def _step(self, daemon: ModelDaemon) -> None:
        now_s = self.clock.now_s()
        daemon.grantor.note_term(now_s)
        super()._step(daemon)
        waiting_s = self._waiting_s.pop(daemon.number, [])
        for since_s in waiting_s:
            self._request(daemon, now_s, since_s)

    def _request(
        self, daemon: ModelDaemon, now_s: float, since_s: float | None = None
    ) -> None:
        limiter = daemon.limiter
        engines = range(self.engines)
        allowed = [each for each in engines if limiter.allows(each, now_s)]
        engine = self.random.choice(allowed or engines)
        if allowed:
            permit = limiter.take(engine, now_s)
            assert limiter.may_send(engine, permit, now_s)
            self.taken_s.setdefault(engine, []).append(now_s)
            return
        if since_s is None:
            limiter.pass_over(engine, now_s)
            since_s = now_s
        if now_s - since_s < self.waits_s:
            self._waiting_s.setdefault(daemon.number, []).append(since_s)
        else:
            self.refused += 1
