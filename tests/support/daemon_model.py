"""Daemons with their own views of simulated engines, one of which plans.

Each daemon reads the engines' records from a simulated store or, at times,
from the planner's daemon. It may be cut off from the store, from the other
daemons or from single engines. A daemon that has lost the store gives up
planning, and another one takes over with what its own view shows.
"""

import attrs

from tests.support.fleet_model import FleetModel, ModelEngine
from tests.support.formation_builders import formation_planner
from yuccavalve.daemon.order_passing import joint_outcome
from yuccavalve.fleet.view import FleetView
from yuccavalve.formation import (
    FormationInput,
    FormationPlanner,
    OrderTask,
)
from yuccavalve.formation.const import (
    ENGINE_SILENCE_S,
    NEW_VIEW_GRACE_S,
    ORDER_TIMEOUT_S,
    PASSING_RETRY_S,
)
from yuccavalve.ports.fleet import (
    EngineChanges,
    EngineRecord,
    OrderOutcome,
)

__all__ = ('DaemonFleetModel', 'ModelDaemon')

_STEP_S = 0.1
_HEARTBEAT_S = 1.2
_RECORD_LAPSE_S = 3.6
_LEASE_S = 1.5
_READ_CHANCE = 0.7
_FOLLOWER_PERIOD_S = (0.5, 1.4)
_RELAY_CHANCE = 0.3
_HISTORY_LOSS_CHANCE = 0.3
# How long a daemon's probes may still count an engine as dead that answers.
_PROBE_LAG_S = 0.8
_NEVER_S = float('-inf')


@attrs.define(eq=False)
class ModelDaemon:
    """A daemon between two starts.

    Attributes
    ----------
    is_cut_from_store
        Whether it doesn't reach the store.
    is_isolated
        Whether it doesn't reach any other daemon.
    cut_engines
        Engines that it doesn't reach.
    cut_at_s
        Time at which it was last cut off from the store or other daemons.
    read_at_s
        Time at which it last read the list of engines.
    silent_since_s, dead_until_s
        Since when engines have not answered it, and until when it counts them
        as dead.
    """

    view: FleetView = attrs.field(factory=FleetView)
    is_cut_from_store: bool = False
    is_isolated: bool = False
    cut_engines: set[str] = attrs.field(factory=set)
    cut_at_s: float = _NEVER_S
    read_at_s: float = _NEVER_S
    silent_since_s: dict[str, float] = attrs.field(factory=dict)
    dead_until_s: dict[str, float] = attrs.field(factory=dict)


@attrs.define
class _PassedOrder:
    """An order that another daemon gives to an engine until it answers."""

    daemon: ModelDaemon
    began_at_s: float
    next_at_s: float
    outcome: OrderOutcome | None = None


@attrs.define
class _Passing:
    planner: FormationPlanner
    task: OrderTask
    orders: list[_PassedOrder]


@attrs.define
class _Row:
    version: int
    record: EngineRecord | None
    written_at_s: float


@attrs.define
class DaemonFleetModel(FleetModel):
    """Simulation of engines, the store's list of them, and daemons.

    Attributes
    ----------
    daemons
        All daemons; one of them plans.
    holder, planner
        The daemon that holds the lease, and its planner.
    term
        Term of the lease.
    first_read_s
        Time that a new planner's first call to the store takes.
    """

    daemons: list[ModelDaemon] = attrs.field(factory=list)
    holder: ModelDaemon | None = None
    planner: FormationPlanner | None = None
    term: int = 0
    first_read_s: float = 0
    _tenure_began_at_s: float = 0
    _version: int = 0
    _rows: dict[str, _Row] = attrs.field(factory=dict)
    _passings: list[_Passing] = attrs.field(factory=list)
    _pass_on_at_s: dict[str, float] = attrs.field(factory=dict)
    _cuts_until_s: dict[str, float] = attrs.field(factory=dict)

    def run_daemons(self, seconds: float) -> None:
        """Advance the time and run the steps of the planning daemon."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += _STEP_S
            self._heal_cuts()
            self._deliver_delayed()
            self._stop_departed()
            self._break_replicas()
            self._write_rows()
            self._read_rows()
            self._record_answers()
            self._continue_passings()
            self._renew_lease()
            self._plan()
            self._check_invariants()

    def _plan(self) -> None:
        holder, planner = self.holder, self.planner
        if holder is None or planner is None:
            return
        if holder.view.as_of_s < self._tenure_began_at_s:
            return
        for task in planner.step(self._observe(holder), self.now_s):
            self._order(planner, task)
        for head in planner.take_ended_heads():
            holder.view.forget(head)

    def take_over(self, pause_s: float | None = None) -> None:
        """Have another daemon plan; the last one's orders may come late."""
        holder, planner = self.holder, self.planner
        if holder is None or planner is None:
            return
        if pause_s is not None:
            for task in planner.step(self._observe(holder), self.now_s):
                engine = self.engines[task.engine.engine]
                self._delayed_orders.append(
                    (self.now_s + pause_s, engine, task.order)
                )
        self._elect(excluded=holder)

    def hand_over(self, daemon: ModelDaemon) -> None:
        """Have a given daemon plan."""
        self.holder = daemon
        self.planner = None

    def restart_daemon(self, daemon: ModelDaemon) -> None:
        """Replace a daemon by one that knows nothing."""
        if daemon is self.holder:
            self.take_over()
        self.daemons[self.daemons.index(daemon)] = ModelDaemon()

    def cut_daemon(
        self, daemon: ModelDaemon, *, store: bool, peers: bool
    ) -> None:
        """Cut a daemon off from the store, the other daemons or both."""
        daemon.is_cut_from_store = store
        daemon.is_isolated = peers
        daemon.cut_at_s = self.now_s

    def heal_daemons(self) -> None:
        """End the cuts of all daemons."""
        for daemon in self.daemons:
            daemon.is_cut_from_store = False
            daemon.is_isolated = False
            daemon.cut_engines.clear()

    def cut_engine(
        self, name: str, seconds: float, daemons: list[ModelDaemon]
    ) -> None:
        """Cut an engine off from the store and from some daemons."""
        self.engines[name].cut_from_store = True
        self._cuts_until_s[name] = self.now_s + seconds
        for daemon in daemons:
            daemon.cut_engines.add(name)

    def _elect(self, excluded: ModelDaemon | None = None) -> None:
        candidates = [
            daemon
            for daemon in self.daemons
            if daemon is not excluded and not daemon.is_cut_from_store
        ]
        self.holder = self.random.choice(candidates) if candidates else None
        self.planner = None

    def has_departed(self, name: str) -> bool:
        """Return whether an engine has left the list by itself."""
        return self.engines[name].unlisted_at_s <= self.now_s

    def _heal_cuts(self) -> None:
        for name, until_s in list(self._cuts_until_s.items()):
            if self.now_s >= until_s:
                self._cuts_until_s.pop(name)
                self.engines[name].cut_from_store = False
                for daemon in self.daemons:
                    daemon.cut_engines.discard(name)

    def _answers(self, daemon: ModelDaemon, engine: ModelEngine) -> bool:
        is_reached = engine.engine not in daemon.cut_engines
        return is_reached and self._answers_others(engine)

    def _write_rows(self) -> None:
        for name, engine in self.engines.items():
            row = self._rows.get(name)
            writes = engine.alive and not engine.cut_from_store
            if writes and self.now_s < engine.unlisted_at_s:
                record = engine.record(self.now_s)
                if row is None or row.record != record or self._is_due(row):
                    self._write(name, record)
            elif row is None or row.record is None:
                continue
            elif writes or self.now_s - row.written_at_s >= _RECORD_LAPSE_S:
                self._write(name, None)

    def _is_due(self, row: _Row) -> bool:
        return self.now_s - row.written_at_s >= _HEARTBEAT_S

    def _write(self, name: str, record: EngineRecord | None) -> None:
        self._version += 1
        self._rows[name] = _Row(self._version, record, self.now_s)

    def _read_rows(self) -> None:
        for daemon in self.daemons:
            if daemon.is_cut_from_store:
                daemon.view.record_outage(self.now_s)
                continue
            if not self._is_read_due(daemon):
                continue
            daemon.read_at_s = self.now_s
            is_relayed = self.random.random() < _RELAY_CHANCE
            can_relay = self.holder not in {None, daemon}
            if is_relayed and can_relay and not daemon.is_isolated:
                self._relay(daemon)
            else:
                self._read(daemon)

    def _is_read_due(self, daemon: ModelDaemon) -> bool:
        """Return whether a read of the list ends now.

        The planner's calls end with each change, but the first one may take
        long.
        """
        if daemon is self.holder:
            first_read_at_s = self._tenure_began_at_s + self.first_read_s
            is_due = self.now_s >= first_read_at_s
            return is_due and self.random.random() < _READ_CHANCE
        return self.now_s - daemon.read_at_s > self.random.uniform(
            *_FOLLOWER_PERIOD_S
        )

    def _read(self, daemon: ModelDaemon) -> None:
        view = daemon.view
        was_out = self.now_s - view.read_at_s > 1
        is_complete = not view.version or (
            was_out and self.random.random() < _HISTORY_LOSS_CHANCE
        )
        records = {
            name: row.record
            for name, row in self._rows.items()
            if is_complete or row.version > view.version
            if row.record is not None or not is_complete
        }
        view.apply(
            EngineChanges(self._version, records, is_complete), self.now_s
        )

    def _relay(self, daemon: ModelDaemon) -> None:
        source = self.holder.view if self.holder else daemon.view
        if not source.version:
            return
        daemon.view.apply_relayed(
            EngineChanges(
                source.version,
                {record.engine: record for record in source.records()},
                is_complete=True,
            ),
            source.read_at_s,
            self.now_s,
        )

    def _record_answers(self) -> None:
        """Record which engines the planning daemon finds dead."""
        daemon = self.holder
        if daemon is None:
            return
        for name, engine in self.engines.items():
            if self._answers(daemon, engine):
                daemon.silent_since_s.pop(name, None)
                continue
            since_s = daemon.silent_since_s.setdefault(name, self.now_s)
            if self.now_s - since_s > ENGINE_SILENCE_S:
                lag_s = self.random.uniform(0, _PROBE_LAG_S)
                daemon.dead_until_s[name] = self.now_s + lag_s

    def _observe(self, daemon: ModelDaemon) -> FormationInput:
        view = daemon.view
        dead = frozenset(
            name
            for name, until_s in daemon.dead_until_s.items()
            if self.now_s < until_s
        )
        for engine in dead & view.unlisted.keys():
            membership = view.unlisted[engine].membership
            if membership is None or membership.rank:
                view.forget(engine)
        listed = {record.engine: record for record in view.records()}
        return FormationInput(
            self.service,
            listed,
            unlisted=dict(view.unlisted),
            withdrawn=frozenset(view.withdrawn & view.unlisted.keys()),
            dead=dead,
            strikes=self.strikes,
            settled=view.is_settled(self.now_s),
            started=self.started,
            is_view_new=(self.now_s - view.followed_since_s < NEW_VIEW_GRACE_S),
            unsure=view.missing & listed.keys(),
            longest_request_s=self.longest_request_s,
            leaving_at_s=view.leaving_at_s,
            followed_s=self.now_s - view.followed_since_s,
            last_heads=view.memberships.heads,
            departures=view.memberships.departures,
        )

    def _renew_lease(self) -> None:
        holder = self.holder
        if holder is not None and holder.is_cut_from_store:
            if self.now_s - holder.cut_at_s > _LEASE_S:
                self.take_over()
        if self.holder is None:
            self._elect()
        if self.holder is None:
            return
        if self.planner is None and self.holder.view.version:
            self.term += 1
            self._tenure_began_at_s = self.now_s
            self.holder.silent_since_s.clear()
            self.holder.dead_until_s.clear()
            self._pass_on_at_s.clear()
            self.planner = formation_planner(self.term)

    def _answers_planner(self, engine: ModelEngine) -> bool:
        if self.holder is None:
            return False
        return self._answers(self.holder, engine)

    def _pass_on(self, planner: FormationPlanner, task: OrderTask) -> None:
        """Have other daemons give an order to leave."""
        order = task.order
        if not task.may_be_passed_on:
            return
        if self.now_s < self._pass_on_at_s.get(order.replica, _NEVER_S):
            return
        self._pass_on_at_s[order.replica] = self.now_s + PASSING_RETRY_S
        orders = [
            _PassedOrder(daemon, self.now_s, self.now_s)
            for daemon in self.daemons
            if daemon is not self.holder
        ]
        self._passings.append(_Passing(planner, task, orders))

    def _continue_passings(self) -> None:
        waiting = []
        for passing in self._passings:
            for order in passing.orders:
                if order.outcome is None:
                    order.outcome = self._give(order, passing.task)
            outcomes = [
                order.outcome
                for order in passing.orders
                if order.outcome is not None
            ]
            if len(outcomes) == len(passing.orders):
                passing.planner.record(passing.task, joint_outcome(outcomes))
            else:
                waiting.append(passing)
        self._passings = waiting

    def _give(
        self, order: _PassedOrder, task: OrderTask
    ) -> OrderOutcome | None:
        """Give an order to an engine; return None while that goes on."""
        engine = self.engines[task.engine.engine]
        is_over = self.now_s - order.began_at_s >= ENGINE_SILENCE_S
        holder_isolated = self.holder is not None and self.holder.is_isolated
        if order.daemon.is_isolated or holder_isolated:
            return OrderOutcome.UNKNOWN if is_over else None
        if engine.born_ms != task.engine.born_ms and engine.alive:
            return OrderOutcome.OTHER_ENGINE
        answers = self._answers(order.daemon, engine)
        if is_over:
            return OrderOutcome.UNKNOWN if answers else OrderOutcome.SILENT
        if not answers or self.now_s < order.next_at_s:
            return None
        order.next_at_s = self.now_s + ORDER_TIMEOUT_S
        if self.random.random() < self.late_share:
            at_s = self.now_s + self.random.uniform(2, 12)
            self._delayed_orders.append((at_s, engine, task.order))
            return None
        return self._carry_out(engine, task.order)
