"""What this daemon believes that each server handles well."""

import math
import statistics
from collections.abc import Callable, Iterable
from random import Random

import attrs

from yuccavalve.capacity.const import (
    ALARM_MAX_AGE_S,
    OUTLIER_TELL_S,
    COMMON_MAX_AGE_S,
    COMMON_WEIGHT,
    LOG_FACTOR,
    LOG_PERIOD_S,
    MAX_AGE_S,
    MAX_IN_TURN,
    MAX_NEWS,
    MAX_RESIDUAL,
    MAX_SERVERS,
    MAX_SPEED,
    MIN_SAMPLES,
    MIN_SPEED,
    NEWS_FACTOR,
    REFERENCE_WEIGHT,
    REGROUP_PERIOD_S,
    RELAY_S,
    SLOWER_FACTOR,
    SLOWED_S,
    SLOWER_SAMPLES,
)
from yuccavalve.capacity.knee import KneeEstimate
from yuccavalve.capacity.models import (
    Capacity,
    CapacityBelief,
    CapacityChange,
    Observation,
)
from yuccavalve.capacity.probing import ProbeSchedule
from yuccavalve.capacity.speed import SpeedEstimate

__all__ = ('CapacityBook',)

_NEVER_S = float('-inf')


def _ignore_change(change: CapacityChange) -> None:
    """Do nothing."""


@attrs.define
class _Server:
    """Estimates of one server, and what was told and logged of them.

    Attributes
    ----------
    residual
        How much the newest own observation deviated.
    residual_at_s
        Monotonic time of that observation.
    outlier, outlier_at_s
        Deviation and time of a single observation that suggests a slowdown.
    confirmed
        Times of the outliers that other daemons told of, by daemon.
    slowed_at_s
        Monotonic time at which observations, or others, showed a slowdown.
    """

    speed: SpeedEstimate = attrs.field(factory=SpeedEstimate)
    knee: KneeEstimate = attrs.field(factory=KneeEstimate)
    residual: float = 0
    residual_at_s: float = _NEVER_S
    outlier: float = 0
    outlier_at_s: float = _NEVER_S
    confirmed: dict[str, float] = attrs.field(factory=dict)
    slowed_at_s: float = _NEVER_S
    told: Capacity = Capacity(math.inf)
    changed_at_s: float = _NEVER_S
    logged: Capacity = Capacity(math.inf)
    logged_at_s: float = _NEVER_S

    def capacity(self, now_s: float) -> Capacity:
        if self.speed.samples(now_s) < MIN_SAMPLES or self._is_old(now_s):
            return Capacity(math.inf)
        return Capacity(self.knee.concurrency, _speed(self.speed.level))

    def recent_residual(self, now_s: float) -> float:
        if now_s - self.residual_at_s > COMMON_MAX_AGE_S:
            return 0
        return self.residual

    def _is_old(self, now_s: float) -> bool:
        return now_s - self.speed.observed_at_s > MAX_AGE_S


@attrs.define
class _Service:
    """Reference times of a service's typical server, by kind.

    Attributes
    ----------
    servers
        Ids of the servers that take requests.
    """

    references: dict[str, float] = attrs.field(factory=dict)
    servers: tuple[int, ...] = ()
    regrouped_at_s: float = _NEVER_S


@attrs.define
class CapacityBook:
    """Beliefs by the 32-bit id of a server's start and replica.

    Attributes
    ----------
    probes
        Decides which requests test servers that are believed to be slow.
    on_change
        Called with each change that is worth a log line.
    was_delayed
        Returns whether this daemon's event loop was delayed recently, so that
        its measurements say nothing of servers.
    now_s
        Monotonic time for which capacities are returned.
    """

    random: Random
    probes: ProbeSchedule = attrs.field(init=False)
    on_change: Callable[[CapacityChange], None] = _ignore_change
    was_delayed: Callable[[float], bool] = attrs.field(
        default=lambda now_s: False
    )
    now_s: float = 0
    _servers: dict[int, _Server] = attrs.field(factory=dict)
    _services: dict[str, _Service] = attrs.field(factory=dict)
    _relayed: int = 0

    @probes.default
    def _default_probes(self) -> ProbeSchedule:
        return ProbeSchedule(self.random)

    def capacity(self, server: int, slots: int) -> Capacity:
        """Return what a server handles well; slots and speed 1 if unknown."""
        known = self._servers.get(server)
        if known is None:
            return Capacity(slots)
        believed = known.capacity(self.now_s)
        return Capacity(
            max(1, min(believed.concurrency, slots)), believed.speed
        )

    def samples(self, server: int, now_s: float) -> int:
        """Return the number of observations behind a belief."""
        known = self._servers.get(server)
        return 0 if known is None else known.speed.samples(now_s)

    def is_regroup_due(self, service: str, now_s: float) -> bool:
        """Return whether ``regroup`` should be called for a service."""
        known = self._services.get(service)
        return known is None or now_s - known.regrouped_at_s >= REGROUP_PERIOD_S

    def regroup(
        self, service: str, servers: Iterable[int], now_s: float
    ) -> None:
        """Make the median of a service's servers the typical speed."""
        group = self._services.setdefault(service, _Service())
        group.regrouped_at_s = now_s
        group.servers = tuple(servers)
        if not group.servers:
            return
        typical = statistics.median(
            self._level(server, now_s) for server in group.servers
        )
        for server in group.servers:
            known = self._servers.get(server)
            if known is not None and known.speed.samples(now_s):
                known.speed.level -= typical
        for kind in group.references:
            group.references[kind] += typical

    def observe(self, observed: Observation, now_s: float) -> None:
        """Add an observation of a server."""
        if self.was_delayed(now_s):
            return
        group = self._services.setdefault(observed.service, _Service())
        known = self._servers.setdefault(observed.server, _Server())
        reference = group.references.setdefault(
            observed.kind, observed.log_ratio - known.speed.level
        )
        deviation = observed.log_ratio - reference - known.speed.level
        residual = deviation - known.knee.excess(observed.concurrency)
        known.residual = residual
        known.residual_at_s = now_s
        common = self._common_residual(group, now_s)
        self._share_slowdown(group, COMMON_WEIGHT * common, now_s)
        group.references[observed.kind] += (
            COMMON_WEIGHT * common
            + REFERENCE_WEIGHT
            * max(-MAX_RESIDUAL, min(MAX_RESIDUAL, residual - common))
        )
        if known.speed.is_outlier(residual - common):
            known.outlier = residual - common
            known.outlier_at_s = now_s
        if known.speed.add(residual - common, now_s):
            known.knee.clear()
            known.outlier_at_s = _NEVER_S
            known.slowed_at_s = now_s
        else:
            known.knee.add(
                deviation - common,
                observed.concurrency,
                observed.slots,
                now_s,
            )
            known.knee.fit(observed.slots, known.speed.deviation, now_s)
        self._note_change(observed.server, known, 'own', now_s)
        if len(self._servers) > MAX_SERVERS:
            self._forget_oldest()

    def apply(
        self, news: Iterable[CapacityBelief], now_s: float, sender: str = ''
    ) -> None:
        """Merge the beliefs of another daemon by samples and age."""
        for told in news:
            if now_s - told.observed_at_s > MAX_AGE_S:
                continue
            known = self._servers.setdefault(told.server, _Server())
            if told.samples < SLOWER_SAMPLES <= known.speed.samples(now_s):
                self._confirm(known, told, sender, now_s)
            elif _replaces(told, known.speed, now_s):
                self._adopt(known, told, now_s)
        while len(self._servers) > MAX_SERVERS:
            self._forget_oldest()

    def news(self, now_s: float) -> list[CapacityBelief]:
        """Return beliefs for a message: changes first, others in turn."""
        fresh = {
            server
            for server, known in self._servers.items()
            if known.speed.samples(now_s)
            and now_s - known.speed.observed_at_s <= MAX_AGE_S
        }
        changed = sorted(
            (
                server
                for server in fresh
                if now_s - self._servers[server].changed_at_s < RELAY_S
                or now_s - self._servers[server].outlier_at_s < OUTLIER_TELL_S
            ),
            key=lambda server: -self._servers[server].changed_at_s,
        )[:MAX_NEWS]
        others = sorted(fresh.difference(changed))
        room = min(MAX_NEWS - len(changed), MAX_IN_TURN, len(others))
        start = self._relayed % max(1, len(others))
        self._relayed = start + room
        in_turn = (others[start:] + others[:start])[:room]
        return [
            self._told_belief(server, now_s) for server in (*changed, *in_turn)
        ]

    def slowest(self, count: int, now_s: float) -> list[CapacityBelief]:
        """Return what is known of servers, the slowest first."""
        beliefs = [
            self._belief(server, now_s)
            for server, known in self._servers.items()
            if known.speed.samples(now_s)
        ]
        return sorted(beliefs, key=lambda belief: belief.speed)[:count]

    def forget_except(self, servers: set[int]) -> None:
        """Drop what is known of all servers but the given ones."""
        for server in self._servers.keys() - servers:
            self._servers.pop(server)
        self.probes.forget_except(servers)

    def _adopt(
        self, known: _Server, told: CapacityBelief, now_s: float
    ) -> None:
        if told.level - known.speed.level > math.log(LOG_FACTOR):
            known.slowed_at_s = now_s
        known.speed.adopt(told.level, told.samples, told.observed_at_s)
        known.knee.concurrency = told.concurrency
        self._note_change(told.server, known, 'peer', now_s)

    def _confirm(
        self,
        known: _Server,
        told: CapacityBelief,
        sender: str,
        now_s: float,
    ) -> None:
        """Count an outlier that another daemon observed, once.

        With few requests at each daemon, none of them sees two in a row.
        """
        told_at_s = known.confirmed.get(sender, _NEVER_S)
        is_new = told.observed_at_s > max(told_at_s, known.slowed_at_s)
        if not is_new or now_s - told_at_s < OUTLIER_TELL_S:
            return
        known.confirmed = {
            each: at_s
            for each, at_s in known.confirmed.items()
            if now_s - at_s < ALARM_MAX_AGE_S
        }
        known.confirmed[sender] = told.observed_at_s
        deviation = told.level - known.speed.level
        if known.speed.is_outlier(deviation) and known.speed.confirm(
            deviation, now_s
        ):
            known.knee.clear()
            known.slowed_at_s = now_s
            self._note_change(told.server, known, 'peer', now_s)

    def _level(self, server: int, now_s: float) -> float:
        known = self._servers.get(server)
        if known is None or known.speed.samples(now_s) < MIN_SAMPLES:
            return 0
        return known.speed.level

    def _share_slowdown(
        self, group: _Service, moved: float, now_s: float
    ) -> None:
        """Take back what a server's slowdown has in common with the others.

        Of servers that slow down together, one is observed first.
        """
        for server in group.servers:
            known = self._servers.get(server)
            if known is not None and now_s - known.slowed_at_s < SLOWED_S:
                known.speed.level -= min(
                    max(0, moved), max(0, known.speed.level)
                )

    def _common_residual(self, group: _Service, now_s: float) -> float:
        """Return the median of the servers' newest deviations.

        Servers without a recent observation count as not deviating.
        """
        known = [self._servers.get(server) for server in group.servers]
        if not known:
            return 0
        return statistics.median(
            0 if each is None else each.recent_residual(now_s) for each in known
        )

    def _belief(self, server: int, now_s: float) -> CapacityBelief:
        speed = self._servers[server].speed
        return CapacityBelief(
            server,
            self._servers[server].knee.concurrency,
            _speed(speed.level),
            speed.samples(now_s),
            speed.observed_at_s,
        )

    def _told_belief(self, server: int, now_s: float) -> CapacityBelief:
        """Return what others are told: an outlier as a single sample."""
        known = self._servers[server]
        belief = self._belief(server, now_s)
        if now_s - known.outlier_at_s >= OUTLIER_TELL_S:
            return belief
        return attrs.evolve(
            belief,
            speed=_speed(known.speed.level + known.outlier),
            samples=1,
            observed_at_s=known.outlier_at_s,
        )

    def _note_change(
        self, server: int, known: _Server, source: str, now_s: float
    ) -> None:
        """Have a change told first, and log it if it is large."""
        current = known.capacity(now_s)
        if _differs(current, known.told, NEWS_FACTOR):
            known.told = current
            known.changed_at_s = now_s
            self.probes.track(server, current, now_s)
        if now_s - known.logged_at_s < LOG_PERIOD_S or not _differs(
            current, known.logged, LOG_FACTOR
        ):
            return
        self.on_change(
            CapacityChange(
                server,
                current.concurrency,
                current.speed,
                known.logged.concurrency,
                known.logged.speed,
                known.speed.samples(now_s),
                source,
            )
        )
        known.logged = current
        known.logged_at_s = now_s

    def _forget_oldest(self) -> None:
        oldest = min(
            self._servers,
            key=lambda server: self._servers[server].speed.observed_at_s,
        )
        self._servers.pop(oldest)


def _speed(level: float) -> float:
    return max(MIN_SPEED, min(MAX_SPEED, math.exp(-level)))


def _replaces(told: CapacityBelief, known: SpeedEstimate, now_s: float) -> bool:
    """Return whether another daemon's belief replaces the own one."""
    age_s = now_s - told.observed_at_s
    own_samples = known.samples(now_s)
    if told.observed_at_s <= known.observed_at_s:
        # The daemon has just begun to observe the server itself.
        return own_samples < MIN_SAMPLES <= told.samples and age_s <= RELAY_S
    is_slower = told.level - known.level > math.log(SLOWER_FACTOR)
    if is_slower and told.samples >= SLOWER_SAMPLES:
        return True
    return told.samples * 2 >= own_samples


def _differs(current: Capacity, previous: Capacity, factor: float) -> bool:
    """Return whether speeds or concurrencies differ by a factor."""
    if math.isinf(current.concurrency) != math.isinf(previous.concurrency):
        return True
    low, high = sorted((current.concurrency, previous.concurrency))
    if math.isfinite(high) and high > factor * low:
        return True
    low, high = sorted((current.speed, previous.speed))
    return high > factor * low
