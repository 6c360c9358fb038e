"""Daemons that learn what simulated servers handle well, on a logical clock.

Servers answer in order of arrival with a fixed number of slots, at a pace
that depends on the time and on the number of requests that they work on.
Daemons exchange loads and beliefs through one hub every 0.3 s, so that both are
up to 0.9 s old.
"""

import heapq
import itertools
import math
import statistics
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from tests.support.fleet_model import service_profile
from tests.support.queue_model import head_record
from yuccavalve.capacity import CapacityBelief, CapacityBook, RunRecorder
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.fleet.activity import (
    Activity,
    EngineRun,
    engine_key,
    engine_key_hash,
)
from yuccavalve.fleet.view import FleetView
from yuccavalve.gateway.models import InboundRequest, RoutedRequest
from yuccavalve.gateway.selection import EngineSelector, slots, times_key
from yuccavalve.load import ChoicePolicy, TwoChoices
from yuccavalve.peers.capacity_news import decode_capacities, encode_capacities
from yuccavalve.ports.fleet import EngineChanges, EngineRecord
from yuccavalve.routing import RequestKind, Route, ServiceProfile, Split

__all__ = ('BEHAVIORS', 'Behavior', 'CapacityModel', 'RandomChoice')

_PERIOD_S = 0.3
_ROUTES = (
    Route('read', 'h', '/', RequestKind.REPEATABLE, (Split('s'),), 5, 0.2),
    Route('once', 'h', '/', RequestKind.ONCE, (Split('s'),), 5, 0.2),
    Route(
        'urgent',
        'h',
        '/',
        RequestKind.REPEATABLE,
        (Split('s'),),
        5,
        0.2,
        priority=0,
    ),
)
_STREAM = Route('stream', 'h', '/', RequestKind.STREAM, (Split('s'),), 9, 0.4)
_WEIGHTS = (70, 20, 10)


@attrs.frozen
class Behavior:
    """Slowness of a server by its index and time, and its knee in slots."""

    slowness: Callable[[int, float], float] = lambda index, now_s: 1
    knee: float = 1
    noise: float = 0.25


BEHAVIORS = {
    'constant': Behavior(noise=0.05),
    'noise': Behavior(noise=0.5),
    'knee': Behavior(knee=0.5),
    'three speeds': Behavior(lambda index, _: (0.67, 1, 1.5)[index % 3]),
    'slow for 6 s': Behavior(
        lambda index, now_s: 8 if index == 0 and 10 <= now_s < 16 else 1
    ),
    'slow from its start': Behavior(lambda index, _: 5 if index == 0 else 1),
    'all slow': Behavior(lambda _, now_s: 3 if now_s >= 10 else 1),
}


class RandomChoice:
    """Baseline that spreads requests by slots, whatever the loads."""

    def choose(self, local: Any, remote: Any, load: Any, random: Random) -> Any:
        return random.choice([*local, *remote])


@attrs.define(eq=False)
class _Server:
    record: EngineRecord
    index: int
    working: set[Any] = attrs.field(factory=set)
    queue: deque[Any] = attrs.field(factory=deque)


@attrs.define(eq=False)
class _Daemon:
    selector: EngineSelector
    reported: dict[int, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Job:
    daemon: _Daemon
    server: _Server
    run: EngineRun
    recorder: RunRecorder | None
    arrived_at_s: float
    events_left: int
    route: Route


@attrs.define
class CapacityModel:
    """Servers of one service, their daemons and what callers get.

    Attributes
    ----------
    events
        Events of an answer; 1 for plain calls.
    event_s
        Time that a typical server takes for one.
    late
        Arrival times of the requests that were answered late or refused.
    beliefs
        Median over the daemons of each server's speed times concurrency,
        relative to its slots, every 0.3 s.
    """

    behavior: Behavior
    daemon_count: int
    learn: bool = True
    choices: ChoicePolicy = attrs.field(factory=TwoChoices)
    server_count: int = 4
    rate_per_s: float = 120
    event_s: float = 0.05
    events: int = 1
    seed: int = 1
    late: list[float] = attrs.field(factory=list)
    arrivals: list[float] = attrs.field(factory=list)
    sent_to: list[tuple[float, int, str]] = attrs.field(factory=list)
    probes: int = 0
    beliefs: list[tuple[float, list[float]]] = attrs.field(factory=list)
    now_s: float = 0
    daemons: list[_Daemon] = attrs.field(init=False)
    servers: list[_Server] = attrs.field(init=False)
    service: ServiceProfile = attrs.field(init=False)
    _random: Random = attrs.field(init=False)
    _queue: list[Any] = attrs.field(factory=list)
    _order: Any = attrs.field(factory=itertools.count)
    _totals: deque[dict[int, int]] = attrs.field(
        factory=lambda: deque([{}, {}, {}], maxlen=3)
    )

    def __attrs_post_init__(self) -> None:
        """Create the servers and the daemons."""
        self._random = Random(self.seed)
        self.service = ServiceProfile('s')
        if self.events > 1:
            self.service = attrs.evolve(service_profile(), name='s')
        view = FleetView()
        records = [self._record(index) for index in range(self.server_count)]
        self.servers = [_Server(each, i) for i, each in enumerate(records)]
        view.apply(
            EngineChanges(1, {each.engine: each for each in records}, True), 0
        )
        self.daemons = []
        for _ in range(self.daemon_count):
            random = Random(self._random.random())
            book = CapacityBook(random) if self.learn else None
            if book is not None:
                book.probes.daemon_count = lambda: self.daemon_count
            self.daemons.append(
                _Daemon(
                    EngineSelector(
                        view,
                        Activity(),
                        random,
                        'a',
                        choices=self.choices,
                        capacities=book,
                    )
                )
            )

    def _record(self, index: int) -> EngineRecord:
        head = attrs.evolve(
            head_record(f'n{index}'), service='s', born_ms=1, slots=6
        )
        if self.events > 1:
            return head
        return attrs.evolve(head, membership=None, fabric_domain='', models=())

    def play(self, duration_s: float) -> None:
        """Play requests that arrive at random."""
        until_s = self.now_s + duration_s
        if not self._queue:
            self._push(0, self._arrive)
            self._push(_PERIOD_S, self._exchange)
        while self._queue[0][0] < until_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()

    def mislead(self, index: int, speed: float) -> None:
        """Have all daemons believe that a server has a speed."""
        server = engine_key_hash(engine_key(self.servers[index].record))
        belief = CapacityBelief(server, math.inf, speed, 20, self.now_s)
        for daemon in self.daemons:
            daemon.selector.capacities.apply([belief], self.now_s)

    def late_fraction(self, from_s: float, to_s: float) -> float:
        """Return the fraction of late requests among those that arrived."""
        late = sum(from_s <= at_s < to_s for at_s in self.late)
        return late / max(1, sum(from_s <= at < to_s for at in self.arrivals))

    def share(self, index: int, from_s: float, to_s: float) -> float:
        """Return the part of all requests that went to a server."""
        sent = [each for at_s, each, _ in self.sent_to if from_s <= at_s < to_s]
        return sent.count(index) / max(1, len(sent))

    def belief(self, index: int, at_s: float) -> float:
        """Return the belief about a server at a time, relative to its slots."""
        known = [each for since_s, each in self.beliefs if since_s <= at_s]
        return known[-1][index]

    def time_until(
        self, index: int, from_s: float, holds: Callable[[float], bool]
    ) -> float:
        """Return the time until the belief about a server is as given."""
        for at_s, known in self.beliefs:
            if at_s >= from_s and holds(known[index]):
                return at_s - from_s
        return math.inf

    def turns(self, index: int, from_s: float, factor: float) -> int:
        """Return how often a belief turned by more than a factor."""
        turns = direction = 0
        last = extreme = None
        for at_s, known in self.beliefs:
            if at_s < from_s:
                continue
            last = known[index]
            extreme = last if extreme is None else extreme
            ratio = last / extreme
            if ratio > factor or ratio < 1 / factor:
                sign = 1 if ratio > 1 else -1
                turns += sign != direction
                direction, extreme = sign, last
        return turns

    def _push(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._queue, entry)

    def _arrive(self) -> None:
        self._push(self._random.expovariate(self.rate_per_s), self._arrive)
        self.arrivals.append(self.now_s)
        daemon = self._random.choice(self.daemons)
        route = _STREAM
        if self.events == 1:
            route = self._random.choices(_ROUTES, _WEIGHTS)[0]
        model = 'm6' if self.events > 1 else ''
        inbound = InboundRequest(
            'i', 'h', 'GET', '/', b'/', (), model=model, prompt_tokens=0
        )
        routed = RoutedRequest(
            inbound,
            None,
            None,
            self.now_s,
            route=route,
            deadline_at_s=self.now_s + route.timeout_s,
        )
        selector = daemon.selector
        try:
            chosen = selector.choose(self.service, routed, self.now_s)
        except RequestRefusedError:
            self.late.append(self.now_s)
            return
        server = next(s for s in self.servers if s.record is chosen)
        self.sent_to.append((self.now_s, server.index, route.name))
        self._send(daemon, server, route, times_key(self.service, routed))

    def _send(
        self, daemon: _Daemon, server: _Server, route: Route, key: str
    ) -> None:
        run = EngineRun(
            engine_key(server.record), self.now_s, streams=self.events > 1
        )
        activity = daemon.selector.activity
        slot_count = slots(self.service, server.record)
        is_free = activity.load(run.key) < slot_count
        activity.begin(run)
        recorder = None
        if daemon.selector.capacities is not None:
            recorder = RunRecorder(
                daemon.selector.capacities,
                engine_key_hash(run.key),
                key,
                route.name,
                slot_count,
                self.service.engine,
                0,
                lambda: activity.load(run.key),
                self.now_s,
                is_free,
            )
        job = _Job(
            daemon, server, run, recorder, self.now_s, self.events, route
        )
        if len(server.working) < slot_count:
            self._begin(job)
        else:
            server.queue.append(job)

    def _begin(self, job: _Job) -> None:
        job.server.working.add(job)
        self._schedule(job)

    def _schedule(self, job: _Job) -> None:
        server = job.server
        count = len(server.working)
        slot_count = slots(self.service, server.record)
        profile = self.service.engine
        step = 1.0
        if profile is not None:
            step += profile.per_request_step_s * count / profile.step_s
        self._push(
            self.event_s
            * step
            * self.behavior.slowness(server.index, self.now_s)
            * max(1, count / (self.behavior.knee * slot_count))
            * self._random.lognormvariate(0, self.behavior.noise),
            lambda: self._step(job),
        )

    def _step(self, job: _Job) -> None:
        job.events_left -= 1
        if job.recorder is not None and self.events > 1:
            job.recorder.record_events(1, self.now_s)
        if job.events_left:
            self._schedule(job)
            return
        if job.recorder is not None and self.events == 1:
            job.recorder.record_answer(self.now_s)
        job.daemon.selector.activity.end(job.run)
        job.server.working.discard(job)
        taken_s = self.now_s - job.arrived_at_s
        # Callers allow plain calls four times their usual time; streams whose
        # pace is half of the usual one miss the objective for pauses.
        allowed = 4 if self.events == 1 else 2
        if taken_s > allowed * self.events * self.event_s:
            self.late.append(job.arrived_at_s)
        if job.server.queue:
            self._begin(job.server.queue.popleft())

    def _exchange(self) -> None:
        """Exchange loads and beliefs through the first daemon."""
        self._push(_PERIOD_S, self._exchange)
        total: dict[int, int] = {}
        old = self._totals[0]
        for daemon in self.daemons:
            activity = daemon.selector.activity
            activity.remote_runs = {
                key: max(0, running - daemon.reported.get(key, 0))
                for key, running in old.items()
            }
            daemon.reported = {
                engine_key_hash(key): running
                for key, running in activity.local_loads().items()
            }
            for key, running in daemon.reported.items():
                total[key] = total.get(key, 0) + running
        self._totals.append(total)
        if self.learn:
            self._exchange_beliefs()

    def _exchange_beliefs(self) -> None:
        hub = self.daemons[0].selector.capacities
        for daemon in self.daemons[1:]:
            book = daemon.selector.capacities
            for giver, taker in ((book, hub), (hub, book)):
                news = encode_capacities(giver, self.now_s)
                taker.apply(
                    decode_capacities(news, self.now_s),
                    self.now_s,
                    str(id(giver)),
                )
        medians = [
            statistics.median(
                self._belief(daemon, server) for daemon in self.daemons
            )
            for server in self.servers
        ]
        self.beliefs.append((self.now_s, medians))
        self.probes = sum(
            daemon.selector.capacities.probes.sent for daemon in self.daemons
        )

    def _belief(self, daemon: _Daemon, server: _Server) -> float:
        slot_count = slots(self.service, server.record)
        capacity = daemon.selector.capacities.capacity(
            engine_key_hash(engine_key(server.record)), slot_count
        )
        return capacity.speed * capacity.concurrency / slot_count
