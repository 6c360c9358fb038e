"""Select the engine for a request, or refuse the request without waiting.

Designed for streams of one to two seconds, replicas with about a dozen
slots, a few hundred requests per second over all daemons, and the loss of a
replica every few seconds. How an engine is chosen and how long a request may
wait is decided by the strategies in ``yuccavalve.load``.
"""

from collections.abc import Sequence
from random import Random

import attrs

from yuccavalve.evacuation import EvacuationState
from yuccavalve.capacity import Capacity, CapacityBook
from yuccavalve.capacity.const import LATENCY_WEIGHT
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.fleet.activity import (
    Activity,
    engine_key,
    engine_key_hash,
    process_hash,
)
from yuccavalve.fleet.view import FleetView
from yuccavalve.gateway.const import (
    ASSUMED_PLAIN_S,
    ASSUMED_STREAM_S,
    MAX_LOGGED_ENGINES,
    RETRY_AFTER_EVACUATED_S,
    RETRY_AFTER_JITTER,
    RETRY_AFTER_NO_REPLICA_S,
)
from yuccavalve.gateway.models import RoutedRequest
from yuccavalve.load import (
    BoundedWait,
    ChoicePolicy,
    QueuedRequest,
    ServiceTimes,
    TwoChoices,
    WaitPolicy,
    expected_wait_s,
    queue_retry_after_s,
)
from yuccavalve.observability.explain import LIMITED_PREFIX, UNSOUND_PREFIX
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.ratelimit import RateLimiter
from yuccavalve.results import ResultCode
from yuccavalve.routing import RequestKind, ServiceProfile

__all__ = ('EngineSelector', 'jittered_retry_s', 'slots', 'times_key')

_MS = 1000


def jittered_retry_s(random: Random, base_s: float) -> float:
    """Return a retry-after time with jitter, so that retries spread out."""
    return base_s * random.uniform(
        1 - RETRY_AFTER_JITTER,
        1 + RETRY_AFTER_JITTER,
    )


@attrs.frozen
class EngineSelector:
    """Selects engines, preferring those of the local availability zone.

    Attributes
    ----------
    availability_zone
        Zone of this daemon.
    times
        Measured times of requests by ``times_key``.
    waits
        Decides how long a request may wait for a slot.
    choices
        Chooses among the engines that can take it.
    limiter
        Decides whether an engine that has named a limit may be used.
    evacuations
        Zones whose servers get nothing new.
    capacities
        Learned capacities of engines; None to use their slots.
    """

    view: FleetView
    activity: Activity
    random: Random
    availability_zone: str
    times: ServiceTimes = attrs.field(factory=ServiceTimes)
    waits: WaitPolicy = attrs.field(factory=BoundedWait)
    choices: ChoicePolicy = attrs.field(factory=TwoChoices)
    limiter: RateLimiter = attrs.field(
        default=attrs.Factory(
            lambda selector: RateLimiter(selector.random), takes_self=True
        )
    )
    evacuations: EvacuationState = attrs.field(factory=EvacuationState)
    capacities: CapacityBook | None = None

    def choose(
        self,
        service: ServiceProfile,
        routed: RoutedRequest,
        now_s: float,
    ) -> EngineRecord:
        """Return the best engine that the request has not tried yet.

        Raises
        ------
        RequestRefusedError
            If no engine can take the request now.
        """
        candidates = self.candidates(service, routed.inbound.model)
        admitted = self._not_evacuated(candidates)
        untried = [each for each in admitted if each.engine not in routed.tried]
        sound = [
            each
            for each in untried
            if not self.activity.is_suspect(engine_key(each), now_s)
        ]
        if not sound:
            raise self._refusal(
                ResultCode.NO_REPLICA,
                RETRY_AFTER_NO_REPLICA_S,
                f'{len(candidates)} engines serve'
                f'{_evacuated_text(candidates, admitted)}, '
                f'{len(untried)} not tried, '
                f'none of them sound{_unsound_text(untried, sound)}',
                self._backoff_s(untried, now_s),
            )
        limit_s = self.waits.limit_s(self._queued(service, routed, now_s))
        usable = self._warm_first(service, routed, sound, limit_s, now_s)
        allowed = self._allowed(service, usable, now_s)
        if self.capacities is not None:
            self._regroup(self.capacities, service, routed, now_s)
            probed = self._probed(self.capacities, service, allowed, routed)
            if probed is not None:
                return probed
        best = self._permitted_or_best(service, allowed, now_s)
        if self.expected_wait_s(service, best, routed) > max(0, limit_s):
            best = self._shortest_queue(service, allowed)
        wait_s = self.expected_wait_s(service, best, routed)
        if wait_s > max(0, limit_s):
            load = self.activity.load(engine_key(best))
            raise self._refusal(
                ResultCode.QUEUE_FULL,
                queue_retry_after_s(wait_s, limit_s),
                f'{len(allowed)} sound engines of {len(candidates)}, the '
                f'freest has {load} requests for {slots(service, best)} slots, '
                f'wait {_ms(wait_s)} of {_ms(limit_s)} ms'
                f'{_unsound_text(untried, sound)}',
            )
        return best

    def _not_evacuated(
        self, candidates: Sequence[EngineRecord]
    ) -> Sequence[EngineRecord]:
        """Return the engines outside of evacuated zones."""
        admitted = self.evacuations.outside(candidates)
        if candidates and not admitted:
            raise self._refusal(
                ResultCode.ZONE_EVACUATED,
                RETRY_AFTER_EVACUATED_S,
                f'{len(candidates)} engines serve, all in evacuated zones '
                f'{" ".join(sorted(self.evacuations.zones))}',
            )
        return admitted

    def _warm_first(
        self,
        service: ServiceProfile,
        routed: RoutedRequest,
        sound: Sequence[EngineRecord],
        limit_s: float,
        now_s: float,
    ) -> Sequence[EngineRecord]:
        """Return the warm engines if one can take a request in time.

        While these have no free slot, the freest cold engine counts as
        wanted, so that its permits are there when they are needed.
        """
        limiter = self.limiter
        if not limiter.table.warmups.has_limits:
            return sound
        warm = [
            each
            for each in sound
            if not limiter.is_cold(process_hash(each), now_s)
        ]
        usable = [
            each for each in warm if limiter.allows(process_hash(each), now_s)
        ]
        if not usable or len(warm) == len(sound):
            return sound
        free = self._shortest_queue(service, usable)
        wait_s = self.expected_wait_s(service, free, routed)
        if wait_s > max(0, limit_s):
            return sound
        if wait_s > 0:
            cold = [each for each in sound if each not in warm]
            wanted = self._shortest_queue(service, cold)
            limiter.want(process_hash(wanted), now_s)
        return warm

    def _allowed(
        self,
        service: ServiceProfile,
        sound: Sequence[EngineRecord],
        now_s: float,
    ) -> Sequence[EngineRecord]:
        """Return the engines that may be used within their limits.

        An engine that would be chosen but for its limit counts as wanted.
        """
        limiter = self.limiter
        if not limiter.table.has_limits:
            return sound
        allowed = [
            each for each in sound if limiter.allows(process_hash(each), now_s)
        ]
        if len(allowed) == len(sound):
            return allowed
        wanted = self._best(service, sound)
        if limiter.table.warmups.has_limits:
            wanted = self._shortest_queue(service, sound)
        if wanted not in allowed:
            limiter.pass_over(process_hash(wanted), now_s)
        if allowed:
            return allowed
        names = ' '.join(each.engine for each in sound[:MAX_LOGGED_ENGINES])
        raise self._refusal(
            ResultCode.ENGINES_LIMITED,
            limiter.retry_after_s(
                [process_hash(each) for each in sound], now_s
            ),
            f'no permit for any of {len(sound)} sound engines, '
            f'{LIMITED_PREFIX} {names}',
        )

    def _permitted_or_best(
        self,
        service: ServiceProfile,
        allowed: Sequence[EngineRecord],
        now_s: float,
    ) -> EngineRecord:
        """Return the best engine; of equal ones one with a permit.

        A permit that is not used soon is lost to all daemons.
        """
        best = self._best(service, allowed)
        if not self.limiter.permits_held(now_s):
            return best
        permitted = [
            each
            for each in allowed
            if self.limiter.has_permit(process_hash(each), now_s)
        ]
        if not permitted:
            return best
        free = self._shortest_queue(service, permitted)
        free_load = self._load_per_slot(service, free)
        return free if free_load <= self._load_per_slot(service, best) else best

    def _backoff_s(
        self, engines: Sequence[EngineRecord], now_s: float
    ) -> float:
        """Return the time until the first backoff ends."""
        backoff_until_s = [
            self.activity.backoff_until_s(each) for each in engines
        ]
        return max(0, min(backoff_until_s, default=now_s) - now_s)

    def _best(
        self, service: ServiceProfile, engines: Sequence[EngineRecord]
    ) -> EngineRecord:
        zone = self.availability_zone
        return self.choices.choose(
            [each for each in engines if each.availability_zone == zone],
            [each for each in engines if each.availability_zone != zone],
            lambda each: self._load_per_slot(service, each),
            self.random,
        )

    def _shortest_queue(
        self, service: ServiceProfile, engines: Sequence[EngineRecord]
    ) -> EngineRecord:
        return min(
            engines,
            key=lambda each: (
                self._load_per_slot(service, each),
                self.random.random(),
            ),
        )

    def candidates(
        self,
        service: ServiceProfile,
        model: str,
    ) -> Sequence[EngineRecord]:
        """Return the engines that are listed for requests of a model."""
        if service.engine is None:
            return self.view.backends(service.name)
        return self.view.heads(service.name, model)

    def _load_per_slot(
        self, service: ServiceProfile, engine: EngineRecord
    ) -> float:
        load = self.activity.load(engine_key(engine))
        slot_count = slots(service, engine)
        if self.capacities is None:
            return load / slot_count
        capacity = self._capacity(self.capacities, service, engine)
        return capacity.load_per_slot(load, slot_count, LATENCY_WEIGHT)

    def expected_wait_s(
        self,
        service: ServiceProfile,
        engine: EngineRecord,
        routed: RoutedRequest,
    ) -> float:
        """Return the expected time until an engine has a free slot."""
        load = self.activity.load(engine_key(engine))
        service_s = self._service_s(service, routed)
        if self.capacities is None:
            return expected_wait_s(load, slots(service, engine), service_s)
        capacity = self._capacity(self.capacities, service, engine)
        return expected_wait_s(
            load, capacity.concurrency, service_s / capacity.speed
        )

    def service_s(self, service: ServiceProfile, model: str) -> float:
        """Return the mean time for which a request occupies a slot."""
        plain = service.engine is None
        return self.times.mean_s(
            f'{service.name}/{model}',
            ASSUMED_PLAIN_S if plain else ASSUMED_STREAM_S,
        )

    def _capacity(
        self,
        capacities: CapacityBook,
        service: ServiceProfile,
        engine: EngineRecord,
    ) -> Capacity:
        return capacities.capacity(
            engine_key_hash(engine_key(engine)), slots(service, engine)
        )

    def _regroup(
        self,
        capacities: CapacityBook,
        service: ServiceProfile,
        routed: RoutedRequest,
        now_s: float,
    ) -> None:
        """Tell the capacities now and then which engines are compared."""
        capacities.now_s = now_s
        key = times_key(service, routed)
        if capacities.is_regroup_due(key, now_s):
            candidates = self.candidates(service, routed.inbound.model)
            capacities.regroup(
                key,
                [engine_key_hash(engine_key(each)) for each in candidates],
                now_s,
            )

    def _probed(
        self,
        capacities: CapacityBook,
        service: ServiceProfile,
        allowed: Sequence[EngineRecord],
        routed: RoutedRequest,
    ) -> EngineRecord | None:
        """Return an engine whose capacity the request should test, if any."""
        if routed.tried or routed.response_began:
            return None
        probes = capacities.probes
        probes.deposit()
        if not probes.is_possible or not _may_probe(routed):
            return None
        for engine in allowed:
            key = engine_key(engine)
            is_due = probes.is_due(engine_key_hash(key), capacities.now_s)
            if is_due and self.activity.load(key) < slots(service, engine):
                probes.record_probe(engine_key_hash(key), capacities.now_s)
                return engine
        return None

    def _service_s(
        self, service: ServiceProfile, routed: RoutedRequest
    ) -> float:
        return self.service_s(service, routed.inbound.model)

    def _queued(
        self,
        service: ServiceProfile,
        routed: RoutedRequest,
        now_s: float,
    ) -> QueuedRequest:
        return QueuedRequest(
            objective_s=0 if routed.route is None else routed.route.objective_s,
            remaining_s=routed.deadline_at_s - now_s,
            service_s=self._service_s(service, routed),
            begun=routed.response_began,
        )

    def _refusal(
        self,
        code: ResultCode,
        base_s: float,
        text: str,
        backoff_s: float = 0,
    ) -> RequestRefusedError:
        return RequestRefusedError(
            code,
            text,
            retry_after_s=backoff_s + jittered_retry_s(self.random, base_s),
        )


def slots(service: ServiceProfile, engine: EngineRecord) -> int:
    """Return how many requests an engine answers at the same time."""
    plain = service.engine is None
    return max(1, engine.slots if plain else service.engine.slots)


def _may_probe(routed: RoutedRequest) -> bool:
    """Return whether a request may go to an engine that may be slow."""
    route = routed.route
    if route is None or route.kind is RequestKind.ONCE:
        return False
    return route.priority > 0 and routed.priority != 0


def times_key(service: ServiceProfile, routed: RoutedRequest) -> str:
    """Return the key under which the times of a request are recorded."""
    return f'{service.name}/{routed.inbound.model}'


def _ms(duration_s: float) -> int:
    return round(duration_s * _MS)


def _evacuated_text(
    candidates: Sequence[EngineRecord], admitted: Sequence[EngineRecord]
) -> str:
    count = len(candidates) - len(admitted)
    return f', {count} in evacuated zones' if count else ''


def _unsound_text(
    untried: Sequence[EngineRecord],
    sound: Sequence[EngineRecord],
) -> str:
    """Return the end of a refusal text, which lists the suspected engines.

    The ``explain`` command parses it from the log.
    """
    unsound = [each.engine for each in untried if each not in sound]
    if not unsound:
        return ''
    return f', {UNSOUND_PREFIX} {" ".join(unsound[:MAX_LOGGED_ENGINES])}'
