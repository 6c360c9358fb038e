"""Simulated engines that obey the platform's rules for orders.

The simulation delivers orders late, drops answers, and kills and restarts
engines. It checks two invariants: all members of an open replica were ready in
it, and no engine joins another replica while the head engine of its present or
its last one is open. A replica that has lacked a member for long is broken.
"""

from collections.abc import Callable
from random import Random

import attrs

from tests.support.formation_builders import STALL_S
from yuccavalve.fleet.memberships import Departure
from yuccavalve.formation import FormationInput, FormationPlanner, OrderTask
from yuccavalve.formation.const import ENGINE_SILENCE_S
from yuccavalve.ports.fleet import (
    EngineRecord,
    GroupOrder,
    GroupOrderKind,
    Membership,
    MemberState,
    OrderOutcome,
)
from yuccavalve.routing import (
    EngineProfile,
    ModelProfile,
    ServiceProfile,
)

__all__ = ('FleetModel', 'ModelEngine', 'service_profile')

_SERVING_STATES = frozenset((MemberState.OPEN, MemberState.CLOSING))
_OPENING_STATES = _SERVING_STATES | {MemberState.READY}
_STEP_S = 0.1
_RECORD_LAPSE_S = 3.6
_RECORD_LAG_S = 0.4


def service_profile(
    sizes: tuple[int, ...] = (6, 3),
    shares: tuple[float, ...] = (0.67, 0.33),
    load_s: float = 3,
    warm_s: float = 0.4,
) -> ServiceProfile:
    """Return a service with one model for each size."""
    return ServiceProfile(
        'llm',
        engine=EngineProfile(
            slots=13,
            kv_tokens=1000000,
            models=tuple(
                ModelProfile(f'm{size}', size, share, 1, load_s, warm_s)
                for size, share in zip(sizes, shares, strict=True)
            ),
            step_s=0.00645,
            per_request_step_s=0.0002,
            stride=6,
            prefill_tokens_per_s=56000,
            loads_per_s=5.5,
            max_concurrent_loads=8,
            form_s=0.3,
            cross_domain_factor=4,
        ),
    )


@attrs.define
class _JoinedReplica:
    replica: str
    epoch: int
    rank: int
    members: tuple[str, ...]
    model: str
    ready_at_s: float
    open_at_s: float = float('inf')
    closed_at_s: float = float('inf')
    lacking_since_s: float = float('inf')
    broken: bool = False


@attrs.define
class ModelEngine:
    """An engine between a start and its death.

    Attributes
    ----------
    left, left_at_s
        Replica that it was in last, and the time at which it left it.
    """

    engine: str
    domain: str
    born_ms: int = 1
    joined: _JoinedReplica | None = None
    left: _JoinedReplica | None = None
    left_at_s: float = 0
    last_model: str = ''
    staged: str = ''
    second_staged: str = ''
    epoch_seen: int = 0
    alive: bool = True
    draining: bool = False
    died_at_s: float = 0
    unlisted_at_s: float = float('inf')
    leaving_at_s: float = float('inf')
    last_record: EngineRecord | None = None
    silent_until_s: float = 0
    unanswered_at_s: float = float('inf')
    cut_from_store: bool = False
    cut_from_planner: bool = False

    def state(self, now_s: float) -> MemberState | None:
        """Return the state in the replica, or None without a replica."""
        if self.joined is None:
            return None
        if now_s >= self.joined.closed_at_s:
            return MemberState.READY
        if self.joined.broken:
            return MemberState.BROKEN
        if self.joined.closed_at_s < float('inf'):
            return MemberState.CLOSING
        if now_s >= self.joined.open_at_s:
            return MemberState.OPEN
        if now_s >= self.joined.ready_at_s:
            return MemberState.READY
        return MemberState.JOINING

    def record(self, now_s: float) -> EngineRecord:
        """Return the record that the engine sends to the store."""
        joined = self.joined
        state = self.state(now_s)
        membership = None
        if joined is not None and state is not None:
            membership = Membership(
                joined.replica,
                joined.epoch,
                joined.rank,
                state,
            )
        model = joined.model if joined else ''
        return EngineRecord(
            engine=self.engine,
            service='llm',
            address='10.0.0.1:1',
            availability_zone=self.domain.partition('-')[0],
            draining=self.draining,
            born_ms=self.born_ms,
            fabric_domain=self.domain,
            models=(model,) if model else (),
            staged=frozenset((self.staged, self.second_staged)) - {''},
            membership=membership,
        )


@attrs.define
class FleetModel:
    """Simulation of engines and planners with its own clock.

    Attributes
    ----------
    violations
        Violations of the invariants.
    late_share
        Fraction of orders that are carried out seconds later without an
        answer, and of the others' answers that are lost.
    strikes, slow
        Engines' strikes from requests, and engines reported as slow.
    running
        Requests in flight by model.
    evacuated
        Evacuated zones; a zone is the part of a domain's name before a dash.
    crashing, crashes
        Models whose join orders crash engines, and the times of these crashes.
    refusing_connections
        Engines that refuse connections but still work.
    busy_until_s
        Times until which head engines run requests, by engine.
    longest_request_s
        Longest time-out of the service's routes.
    has_other_daemons
        Whether daemons besides the planner pass orders on to engines.
    detection_s
        Time after which a killed engine counts as dead.
    holds
        Returns whether an order is left unanswered and carried out only by
        ``release``.
    held
        Orders that are held, with their engines.
    raises_terms
        Whether a planner that meets a higher epoch begins a new term above it.
        The lease allows it for one planner at a time.
    """

    random: Random
    service: ServiceProfile
    late_share: float = 0
    now_s: float = 0
    engines: dict[str, ModelEngine] = attrs.field(factory=dict)
    violations: list[str] = attrs.field(factory=list)
    started: bool = True
    orders: int = 0
    strikes: dict[str, int] = attrs.field(factory=dict)
    slow: set[str] = attrs.field(factory=set)
    running: dict[str, float] = attrs.field(factory=dict)
    evacuated: frozenset[str] = frozenset()
    refusing_connections: set[str] = attrs.field(factory=set)
    busy_until_s: dict[str, float] = attrs.field(factory=dict)
    crashing: set[str] = attrs.field(factory=set)
    crashes: list[float] = attrs.field(factory=list)
    longest_request_s: float = 8
    has_other_daemons: bool = True
    detection_s: float = 1
    holds: Callable[[ModelEngine, GroupOrder], bool] = lambda *_: False
    held: list[tuple[ModelEngine, GroupOrder]] = attrs.field(factory=list)
    raises_terms: bool = False
    _passed_orders: list[tuple[float, FormationPlanner, OrderTask]] = (
        attrs.field(factory=list)
    )
    _delayed_orders: list[tuple[float, ModelEngine, GroupOrder]] = attrs.field(
        factory=list,
    )
    _departures: list[tuple[float, ModelEngine]] = attrs.field(factory=list)
    _views: list[tuple[float, dict[str, EngineRecord]]] = attrs.field(
        factory=list,
    )
    _was_ready: set[tuple[str, int]] = attrs.field(factory=set)
    _last_heads: dict[str, EngineRecord] = attrs.field(factory=dict)

    def add(self, domain: str, count: int) -> None:
        """Add engines to a domain."""
        for _ in range(count):
            name = f'{domain}-{len(self.engines)}'
            self.engines[name] = ModelEngine(name, domain)

    def run(self, seconds: float, *planners: FormationPlanner) -> None:
        """Advance the time and run the planners' steps."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += _STEP_S
            self._deliver_delayed()
            self._stop_departed()
            self._break_replicas()
            self._record_view()
            self._record_silence()
            self._answer_passed_orders()
            for planner in planners:
                self._step(planner)
                for head in planner.take_ended_heads():
                    self.engines[head].last_record = None
            self._check_invariants()

    def _step(self, planner: FormationPlanner) -> None:
        facts = self.facts()
        higher = None
        if self.raises_terms:
            higher = planner.epochs.higher_term(facts)
        if higher is None:
            for task in planner.step(facts, self.now_s):
                self._order(planner, task)
        else:
            planner.start_term(higher + 1)

    def release(self, kind: GroupOrderKind) -> None:
        """Carry out the first order of a kind that is held."""
        for held in self.held:
            engine, order = held
            if order.kind is kind:
                self.held.remove(held)
                self._carry_out(engine, order)
                return

    def pause(self, planner: FormationPlanner, pause_s: float) -> None:
        """Run one more step of a planner and send its orders later."""
        for task in planner.step(self.facts(), self.now_s):
            engine = self.engines[task.engine.engine]
            self._delayed_orders.append(
                (self.now_s + pause_s, engine, task.order)
            )

    def depart(self, name: str, serves_s: float) -> None:
        """Remove an engine from the list; it serves for some time longer."""
        engine = self.engines[name]
        engine.unlisted_at_s = self.now_s
        engine.last_record = engine.record(self.now_s)
        self._departures.append((self.now_s + serves_s, engine))

    def silence(self, name: str, silent_s: float) -> None:
        """Let a sound engine answer nothing for some time."""
        self.engines[name].silent_until_s = self.now_s + silent_s

    def cut(self, name: str, *, store: bool, planner: bool) -> None:
        """Cut an engine off; other daemons reach it, and it serves on.

        Its record lapses if it is cut off from the store.
        """
        engine = self.engines[name]
        engine.cut_from_planner = planner
        engine.cut_from_store = store
        if store:
            engine.unlisted_at_s = self.now_s + _RECORD_LAPSE_S
            engine.last_record = engine.record(self.now_s)

    def heal(self, name: str) -> None:
        """End the cuts of an engine."""
        engine = self.engines[name]
        engine.cut_from_planner = False
        if engine.cut_from_store:
            engine.cut_from_store = False
            engine.unlisted_at_s = float('inf')
            engine.last_record = None

    def kill(self, name: str) -> None:
        """Kill an engine without warning."""
        engine = self.engines[name]
        engine.alive = False
        engine.died_at_s = self.now_s
        engine.last_record = engine.last_record or engine.record(self.now_s)

    def restart(self, name: str) -> None:
        """Restart an engine under its id, keeping what its host holds."""
        old = self.engines[name]
        self.engines[name] = ModelEngine(
            name,
            old.domain,
            born_ms=int(self.now_s * 1000) + 1,
            staged=old.staged,
            second_staged=old.second_staged,
        )

    def open_heads(self, model: str) -> list[ModelEngine]:
        """Return the head engines of open replicas with live members."""
        return [
            engine
            for engine in self.engines.values()
            if engine.alive
            and engine.state(self.now_s) is MemberState.OPEN
            and engine.joined is not None
            and engine.joined.model == model
            and self._has_all_members(engine)
        ]

    def _has_all_members(self, head: ModelEngine) -> bool:
        joined = head.joined
        if joined is None:
            return False
        return all(
            self._is_member(self.engines[name], joined.epoch)
            for name in joined.members
        )

    def _is_member(self, engine: ModelEngine, epoch: int) -> bool:
        joined = engine.joined
        return engine.alive and joined is not None and joined.epoch == epoch

    def _listed(self, engine: ModelEngine) -> bool:
        return engine.alive or self.now_s - engine.died_at_s < _RECORD_LAPSE_S

    def _record_view(self) -> None:
        """Record what the store shows, for readers that lag behind."""
        known = self._views[-1][1] if self._views else {}
        records: dict[str, EngineRecord] = {}
        for name, engine in self.engines.items():
            is_unlisted = self.now_s >= engine.unlisted_at_s
            if engine.draining or (is_unlisted and not engine.cut_from_store):
                engine.leaving_at_s = min(engine.leaving_at_s, self.now_s)
            if is_unlisted:
                continue
            if engine.alive and not engine.cut_from_store:
                records[name] = engine.record(self.now_s)
            elif self._listed(engine) and name in known:
                records[name] = known[name]
        self._last_heads.update(
            (record.membership.replica, record)
            for record in records.values()
            if record.membership is not None and not record.membership.rank
        )
        self._views.append((self.now_s, records))
        self._views = [
            view
            for view in self._views
            if self.now_s - view[0] <= _RECORD_LAG_S
        ]

    def facts(self) -> FormationInput:
        """Return what a planner observes now."""
        listed = self.random.choice(self._views)[1]
        dead = frozenset(
            name
            for name, engine in self.engines.items()
            if self._is_found_dead(engine) or name in self.refusing_connections
        )
        unlisted = {
            name: engine.last_record
            for name, engine in self.engines.items()
            if engine.last_record is not None and name not in listed
            if self._remembers(engine)
        }
        return FormationInput(
            self.service,
            listed,
            unlisted=unlisted,
            withdrawn=frozenset(
                name
                for name in unlisted
                if self.engines[name].alive
                and not self.engines[name].cut_from_store
            ),
            dead=dead,
            started=self.started,
            strikes=self.strikes,
            slow=frozenset(self.slow),
            running=self.running,
            in_flight={
                name: int(until_s > self.now_s)
                for name, until_s in self.busy_until_s.items()
            },
            evacuated=self.evacuated,
            longest_request_s=self.longest_request_s,
            leaving_at_s={
                name: engine.leaving_at_s
                for name, engine in self.engines.items()
                if engine.leaving_at_s <= self.now_s
            },
            last_heads=self._last_heads,
            departures={
                name: Departure(
                    engine.left.replica,
                    engine.left.epoch,
                    engine.left.rank,
                    engine.left_at_s + _STEP_S,
                )
                for name, engine in self.engines.items()
                if name in listed and listed[name].membership is None
                if engine.left is not None
            },
        )

    def _is_found_dead(self, engine: ModelEngine) -> bool:
        if not engine.alive:
            return self.now_s - engine.died_at_s > self.detection_s
        return self.now_s - engine.unanswered_at_s > ENGINE_SILENCE_S

    def _remembers(self, engine: ModelEngine) -> bool:
        """Return whether daemons remember an engine that is unlisted.

        Those that are found dead are forgotten, but not head engines.
        """
        record = engine.last_record
        is_head = record is not None and record.membership is not None
        is_head = is_head and record.membership.rank == 0
        return is_head or not self._is_found_dead(engine)

    def _answers_planner(self, engine: ModelEngine) -> bool:
        return self._answers_others(engine) and not engine.cut_from_planner

    def _answers_others(self, engine: ModelEngine) -> bool:
        return engine.alive and self.now_s >= engine.silent_until_s

    def _record_silence(self) -> None:
        for engine in self.engines.values():
            if self._answers_planner(engine):
                engine.unanswered_at_s = float('inf')
            else:
                engine.unanswered_at_s = min(engine.unanswered_at_s, self.now_s)

    def _pass_on(self, planner: FormationPlanner, task: OrderTask) -> None:
        """Have other daemons give an order to leave."""
        is_passed = any(
            passed.order == task.order for _, _, passed in self._passed_orders
        )
        if task.may_be_passed_on and self.has_other_daemons and not is_passed:
            until_s = self.now_s + ENGINE_SILENCE_S
            self._passed_orders.append((until_s, planner, task))

    def _answer_passed_orders(self) -> None:
        waiting = []
        for until_s, planner, task in self._passed_orders:
            engine = self.engines[task.engine.engine]
            if engine.born_ms != task.engine.born_ms:
                planner.record(task, OrderOutcome.OTHER_ENGINE)
            elif self._answers_others(engine):
                planner.record(task, self._carry_out(engine, task.order))
            elif self.now_s >= until_s:
                planner.record(task, OrderOutcome.SILENT)
            else:
                waiting.append((until_s, planner, task))
        self._passed_orders = waiting

    def _order(self, planner: FormationPlanner, task: OrderTask) -> None:
        self.orders += 1
        engine = self.engines[task.engine.engine]
        if task.engine.engine in self.refusing_connections:
            planner.record(task, OrderOutcome.NOT_REACHED)
            return
        if not self._answers_planner(engine):
            planner.record(task, OrderOutcome.UNKNOWN)
            self._pass_on(planner, task)
            return
        if self.holds(engine, task.order):
            self.held.append((engine, task.order))
            planner.record(task, OrderOutcome.UNKNOWN)
            return
        if self.random.random() < self.late_share:
            at_s = self.now_s + self.random.uniform(2, 12)
            self._delayed_orders.append((at_s, engine, task.order))
            planner.record(task, OrderOutcome.UNKNOWN)
            return
        is_join = task.order.kind is GroupOrderKind.JOIN
        if is_join and task.order.model in self.crashing:
            self.crashes.append(self.now_s)
            self.kill(engine.engine)
            planner.record(task, OrderOutcome.UNKNOWN)
            return
        outcome = self._carry_out(engine, task.order)
        if self.random.random() < self.late_share:
            outcome = OrderOutcome.UNKNOWN
        planner.record(task, outcome)

    def _stop_departed(self) -> None:
        for at_s, engine in self._departures:
            if self.now_s >= at_s and engine.alive:
                engine.alive = False
                engine.died_at_s = self.now_s

    def _deliver_delayed(self) -> None:
        due = [each for each in self._delayed_orders if each[0] <= self.now_s]
        self._delayed_orders = [
            each for each in self._delayed_orders if each[0] > self.now_s
        ]
        for _, engine, order in due:
            if engine.alive and self.engines[engine.engine] is engine:
                self._carry_out(engine, order)

    def _carry_out(
        self,
        engine: ModelEngine,
        order: GroupOrder,
    ) -> OrderOutcome:
        if order.kind is GroupOrderKind.STAGE:
            engine.second_staged = order.model
            return OrderOutcome.BEGUN
        if order.kind is GroupOrderKind.JOIN:
            return self._join(engine, order)
        joined = engine.joined
        matches = joined is not None and (joined.replica, joined.epoch) == (
            order.replica,
            order.epoch,
        )
        if joined is None or not matches:
            leaves = order.kind is GroupOrderKind.LEAVE
            return OrderOutcome.DONE if leaves else OrderOutcome.REFUSED
        if order.kind is GroupOrderKind.LEAVE:
            self._check_idle(engine, order)
            engine.last_model = joined.model
            engine.left, engine.left_at_s = joined, self.now_s
            engine.joined = None
        elif order.kind is GroupOrderKind.CLOSE:
            busy_until_s = self.busy_until_s.get(engine.engine, 0)
            joined.closed_at_s = max(self.now_s, busy_until_s)
        elif joined.rank or engine.state(self.now_s) not in _OPENING_STATES:
            return OrderOutcome.REFUSED
        else:
            joined.open_at_s = min(joined.open_at_s, self.now_s + 0.3)
            joined.closed_at_s = float('inf')
        return OrderOutcome.DONE

    def _join(self, engine: ModelEngine, order: GroupOrder) -> OrderOutcome:
        joined = engine.joined
        if order.epoch < engine.epoch_seen:
            return OrderOutcome.FENCED
        if joined is not None and joined.epoch == order.epoch:
            same = joined.members == order.members
            return OrderOutcome.DONE if same else OrderOutcome.FENCED
        self._check_single_replica(engine, order)
        engine.epoch_seen = order.epoch
        last = joined.model if joined else engine.last_model
        profile = self.service.engine
        model = None if profile is None else profile.model(order.model)
        wait_s = 0.0 if model is None else model.load_s
        if last == order.model:
            wait_s = 0.2
        elif model is not None and order.model in {
            engine.staged,
            engine.second_staged,
        }:
            wait_s = model.warm_s
        if engine.second_staged == order.model:
            engine.second_staged = engine.staged
        engine.staged = order.model
        engine.joined = _JoinedReplica(
            order.replica,
            order.epoch,
            order.members.index(engine.engine),
            order.members,
            order.model,
            self.now_s + wait_s,
        )
        return OrderOutcome.BEGUN

    def _check_idle(self, head: ModelEngine, order: GroupOrder) -> None:
        """Record a violation if a replica that works breaks requests off."""
        is_busy = self.now_s < self.busy_until_s.get(head.engine, 0)
        if is_busy and self._has_all_members(head):
            self.violations.append(
                f'{self.now_s:.1f} s: {head.engine} leaves {order.replica} '
                'while it runs requests',
            )

    def _check_single_replica(
        self, engine: ModelEngine, order: GroupOrder
    ) -> None:
        for joined in (engine.joined, engine.left):
            if joined is None or joined.replica == order.replica:
                continue
            head = self.engines[joined.members[0]]
            if not self._is_member(head, joined.epoch):
                continue
            if head.state(self.now_s) in _SERVING_STATES:
                self.violations.append(
                    f'{self.now_s:.1f} s: {engine.engine} joins '
                    f'{order.replica} while {head.engine} is open in '
                    f'{joined.replica}',
                )

    def _break_replicas(self) -> None:
        for engine in self.engines.values():
            joined = engine.joined
            if (
                joined is None
                or engine.state(self.now_s) not in _SERVING_STATES
            ):
                continue
            if self._has_all_members(engine):
                joined.lacking_since_s = float('inf')
                continue
            left_at_s = [
                member.left_at_s
                for member in map(self.engines.get, joined.members)
                if member.left is not None
                and member.left.epoch == joined.epoch
                and not self._is_member(member, joined.epoch)
            ]
            joined.lacking_since_s = min(
                joined.lacking_since_s, self.now_s, *left_at_s
            )
            joined.broken = self.now_s - joined.lacking_since_s >= STALL_S

    def _check_invariants(self) -> None:
        self._break_replicas()
        for engine in self.engines.values():
            joined = engine.joined
            state = engine.state(self.now_s)
            ready = state in {MemberState.READY, MemberState.OPEN}
            if engine.alive and joined is not None and ready:
                self._was_ready.add((engine.engine, joined.epoch))
        for engine in self.engines.values():
            if engine.alive and engine.state(self.now_s) is MemberState.OPEN:
                self._check_members(engine)

    def _check_members(self, head: ModelEngine) -> None:
        joined = head.joined
        if joined is None:
            return
        never_ready = [
            name
            for name in joined.members
            if (name, joined.epoch) not in self._was_ready
        ]
        size = int(joined.model[1:])
        if never_ready or len(joined.members) != size:
            self.violations.append(
                f'{self.now_s:.1f} s: {joined.replica} is open, never ready: '
                f'{never_ready}',
            )
