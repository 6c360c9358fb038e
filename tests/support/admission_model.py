"""Plays requests through the selectors of many daemons to shared engines.

Engines serve in order of arrival with a fixed number of slots and equal
service times. Daemons learn each other's loads four times a second. With
``queue`` each daemon has an admission gate; without it, a request is refused
as soon as no engine takes it, which is the behavior without that setting.
"""

import heapq
import itertools
from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from tests.support.fleet_model import service_profile
from tests.support.queue_model import head_record
from yuccavalve.clock import ManualClock
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.fleet.activity import (
    Activity,
    EngineRun,
    engine_key,
    engine_key_hash,
)
from yuccavalve.fleet.view import FleetView
from yuccavalve.gateway.forecasts import PoolForecasts
from yuccavalve.gateway.models import InboundRequest, RoutedRequest
from yuccavalve.gateway.selection import EngineSelector
from yuccavalve.gateway.stopping import GatewayStop
from yuccavalve.gateway.waiting import AdmissionGate
from yuccavalve.ports.fleet import EngineChanges
from yuccavalve.results import ResultCode
from yuccavalve.routing import RequestKind, Route, Split

__all__ = ('AdmissionModel', 'Call')

_SHARE_S = 0.3
_ABANDON_S = 2.0


@attrs.define(eq=False)
class Call:
    """A caller's request with all its attempts.

    Attributes
    ----------
    retries
        Most attempts after the first.
    impatient
        Whether it returns at once, whatever it is told.
    began_s
        Time from the first attempt to the slot; None if it got none.
    late
        Whether an engine began after the caller had given up.
    """

    at_s: float
    workspace: str = 'a'
    priority: int = 1
    tokens: int = 100
    retries: int = 0
    impatient: bool = False
    attempts: int = 0
    began_s: float | None = None
    late: bool = False
    retry_after_s: list[float] = attrs.field(factory=list)
    codes: list[ResultCode] = attrs.field(factory=list)
    decided_s: list[float] = attrs.field(factory=list)
    left: bool = False


@attrs.define
class _Daemon:
    activity: Activity
    selector: EngineSelector
    gate: AdmissionGate | None
    stop: GatewayStop = attrs.field(factory=GatewayStop)

    def begin_stop(self, answer_until_s: float) -> None:
        """Begin a planned stop."""
        self.stop.begin(answer_until_s)
        if self.gate is not None:
            self.gate.refuse_leaving()


@attrs.define
class _Timer:
    call: Callable[[], None] | None

    def cancel(self) -> None:
        self.call = None


class AdmissionModel:
    """Daemons in front of replicas of one model."""

    def __init__(
        self,
        *,
        queue: bool,
        daemons: int = 1,
        heads: int = 1,
        service_s: float = 0.5,
        objective_s: float = 0.3,
        seed: int = 1,
    ) -> None:
        """Start with open replicas and no load."""
        self.clock = ManualClock()
        self.random = Random(seed)
        self.service = service_profile()
        self.service_s = service_s
        self.route = Route(
            'chat', 'h', '/', RequestKind.STREAM, (Split('llm'),), 20,
            objective_s,
        )  # fmt: skip
        self.view = FleetView()
        self._version = 0
        self._sequence = itertools.count()
        self._events: list[Any] = []
        self._running: dict[str, int] = {}
        self._queues: dict[str, list[Any]] = {}
        self.daemons = [self._daemon(queue, daemons) for _ in range(daemons)]
        self.listed: dict[str, Any] = {}
        for number in range(heads):
            self.open(f'n{number}')
        self._share()

    def _daemon(self, queue: bool, count: int) -> _Daemon:
        activity = Activity()
        selector = EngineSelector(self.view, activity, self.random, 'a')
        selector.times.record('llm/m6', self.service_s)
        gate = None
        if queue:
            gate = AdmissionGate(
                selector,
                PoolForecasts(selector, lambda: count),
                self.clock,
                self.random,
                schedule=self._schedule,
            )
        return _Daemon(activity, selector, gate)

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call a function after a delay."""
        at_s = self.clock.now_s() + delay_s
        heapq.heappush(self._events, (at_s, next(self._sequence), call))

    def _schedule(self, delay_s: float, call: Callable[[], None]) -> _Timer:
        timer = _Timer(call)
        self.after(delay_s, lambda: timer.call and timer.call())
        return timer

    def play(self, calls: list[Call], until_s: float) -> None:
        """Play calls, each at a daemon drawn at random."""
        for call in calls:
            self.after(call.at_s, lambda each=call: self._attempt(each))
        while self._events and self._events[0][0] <= until_s:
            self.clock.time_s, _, event = heapq.heappop(self._events)
            event()

    def open(self, name: str) -> None:
        """List the head engine of a new replica."""
        self.listed[name] = head_record(name)
        self._change_view()

    def lose(self, name: str) -> None:
        """Remove a replica's head, with the requests that it has."""
        key = engine_key(self.listed.pop(name))
        self._running.pop(key, None)
        self._queues.pop(key, None)
        self._change_view()

    def _change_view(self) -> None:
        self._version += 1
        changes = EngineChanges(self._version, dict(self.listed), True)
        self.view.apply_relayed(changes, self.clock.now_s())
        for daemon in self.daemons:
            if daemon.gate is not None:
                daemon.gate.handle_engine_update()

    def _share(self) -> None:
        """Tell all daemons of each other's loads."""
        total: dict[int, int] = {}
        for daemon in self.daemons:
            for key, count in daemon.activity.local_loads().items():
                shared = engine_key_hash(key)
                total[shared] = total.get(shared, 0) + count
        for daemon in self.daemons:
            own = daemon.activity.local_loads()
            daemon.activity.remote_runs = dict(total)
            for key, count in own.items():
                daemon.activity.remote_runs[engine_key_hash(key)] -= count
        self.after(_SHARE_S, self._share)

    def _attempt(self, call: Call) -> None:
        now_s = self.clock.now_s()
        daemon = self.random.choice(self.daemons)
        call.attempts += 1
        inbound = InboundRequest(
            'id', 'h', 'POST', '/', b'/', (), model='m6',
            prompt_tokens=call.tokens,
        )  # fmt: skip
        routed = RoutedRequest(
            inbound, None, None, now_s,
            route=self.route,
            workspace=call.workspace,
            priority=call.priority,
            service='llm',
            fingerprint=id(call),
            deadline_at_s=now_s + 20,
            stop=daemon.stop,
        )  # fmt: skip
        try:
            if daemon.gate is None:
                engine = daemon.selector.choose(self.service, routed, now_s)
            else:
                engine = daemon.gate.try_at_once(routed, self.service)
        except RequestRefusedError as error:
            self._refuse(call, error, now_s)
            return
        if engine is None:
            self._enter(daemon, routed, call)
            return
        self._send(daemon, engine_key(engine), call, now_s)

    def _enter(self, daemon: _Daemon, routed: Any, call: Call) -> None:
        at_s = self.clock.now_s()

        def resolve(outcome: Any) -> None:
            if isinstance(outcome, RequestRefusedError):
                self._refuse(call, outcome, at_s)
                return
            daemon.gate.end_reservation(outcome)
            self._send(daemon, outcome.key, call, at_s)

        request = daemon.gate.enter(routed, self.service, resolve)
        if call.left:
            self.after(0.1, lambda: daemon.gate.leave(request, 'caller_left'))

    def _refuse(self, call: Call, error: Any, at_s: float) -> None:
        call.codes.append(error.code)
        call.retry_after_s.append(error.retry_after_s)
        call.decided_s.append(self.clock.now_s() - at_s)
        if call.attempts <= call.retries:
            delay_s = 0.01 if call.impatient else error.retry_after_s
            self.after(delay_s, lambda: self._attempt(call))

    def _send(self, daemon: _Daemon, key: str, call: Call, at_s: float) -> None:
        run = EngineRun(key, self.clock.now_s(), streams=True)
        daemon.activity.begin(run)
        self._queues.setdefault(key, []).append((daemon, run, call, at_s))
        self._start(key)

    def _start(self, key: str) -> None:
        """Start waiting requests while the engine has free slots."""
        queue = self._queues.get(key, [])
        while queue and self._running.get(key, 0) < self.service.engine.slots:
            daemon, run, call, at_s = queue.pop(0)
            self._running[key] = self._running.get(key, 0) + 1
            now_s = self.clock.now_s()
            call.began_s = now_s - call.at_s
            call.late = now_s - at_s > _ABANDON_S
            self.after(
                self.service_s,
                lambda ended=(daemon, run): self._end(key, *ended),
            )

    def _end(self, key: str, daemon: _Daemon, run: EngineRun) -> None:
        daemon.activity.end(run)
        if key in self._running:
            self._running[key] -= 1
            self._start(key)
