"""Run the replica planners while this daemon holds the planner lease."""

import asyncio
from collections.abc import Iterable, Iterator, Mapping

import attrs
from absl import logging

from yuccavalve.daemon.counted_control import CountedControl
from yuccavalve.daemon.engine_prober import EngineProber, Suspect
from yuccavalve.daemon.gateway_node import GatewayNode
from yuccavalve.daemon.lease_loop import LeaseLoop
from yuccavalve.daemon.order_passing import OrderPasser
from yuccavalve.fleet.activity import (
    engine_key,
    engine_key_hash,
    process_hash,
)
from yuccavalve.fleet.const import STALL_BUSY_S
from yuccavalve.formation import (
    Demand,
    EpochWatch,
    FormationInput,
    FormationPlanner,
    OrderTask,
    ReplicaEndings,
    ReplicaHealth,
    RequestLimits,
)
from yuccavalve.formation.const import (
    DEMAND_LOG_S,
    MIN_STEP_S,
    NEW_VIEW_GRACE_S,
    PASSING_RETRY_S,
    PROBE_INTERVAL_S,
    STALLED_PROBE_INTERVAL_S,
    STEP_S,
)
from yuccavalve.ports.fleet import (
    EngineRecord,
    OrderOutcome,
)
from yuccavalve.routing import ServiceProfile
from yuccavalve.timing import async_wait

__all__ = ('FormationDuty',)

_NEVER_S = float('-inf')
_MS = 1000


@attrs.define
class FormationDuty:
    """Passes observations to the replica planners and sends their orders."""

    node: GatewayNode
    lease: LeaseLoop
    _planners: dict[str, FormationPlanner] = attrs.field(factory=dict)
    _demands: dict[str, Demand] = attrs.field(factory=dict)
    _limits: RequestLimits = attrs.field(factory=RequestLimits)
    _demand_logged_at_s: float = _NEVER_S
    _term: int = 0
    _orders: CountedControl = attrs.field(init=False)
    _prober: EngineProber = attrs.field(init=False)
    _passer: OrderPasser = attrs.field(init=False)
    _pass_on_at_s: dict[str, float] = attrs.field(factory=dict)
    _refusing: set[str] = attrs.field(factory=set)
    _replaced: dict[str, frozenset[str]] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    @_orders.default
    def _new_orders(self) -> CountedControl:
        node = self.node
        return CountedControl(node.ports.orders, node.grantor, node.clock)

    @_prober.default
    def _new_prober(self) -> EngineProber:
        node = self.node
        return EngineProber(
            self._orders,
            node.view,
            node.clock,
            node.loop_delay,
            node.engines_changed,
            is_doubtful_reach=lambda: node.reach.doubtful,
        )

    @_passer.default
    def _new_passer(self) -> OrderPasser:
        node = self.node
        return OrderPasser(
            node.peers,
            node.random,
            lambda: [
                member
                for member in node.roster.live(node.clock.now_s())
                if member != node.roster.local_member
            ],
        )

    def __attrs_post_init__(self) -> None:
        """Add the gauges of suspended joins and ending replicas."""
        self.node.gateway.metrics.labelled_gauges(
            'joins_suspended',
            ('service', 'model'),
            self._suspended_joins,
        )
        self.node.gateway.metrics.labelled_gauges(
            'replicas_ending', ('service',), self._ending_replicas
        )

    async def async_run(self) -> None:
        """Run planner steps until cancelled."""
        while True:
            await self._async_wait_for_step()
            try:
                self._step()
            except Exception:
                logging.exception('event=planner_step_failed')

    async def _async_wait_for_step(self) -> None:
        """Wait until the next step is due or the engines have changed."""
        changed = self.node.engines_changed
        await self.node.planning.wait()
        await asyncio.sleep(MIN_STEP_S)
        await async_wait(changed, STEP_S - MIN_STEP_S)
        changed.clear()

    def _step(self) -> None:
        table = self.node.routing.table
        term = self.lease.term()
        if table is None or term is None:
            return
        if self.node.reach.partitioned:
            return
        if self.node.view.as_of_s < self.lease.tenure_began_at_s:
            # The last planner may have opened replicas since.
            return
        if self.node.clock.now_s() < self.node.view.relisted_at_s:
            # Records of the copy may show members as free.
            return
        if self._term != term:
            self._term = term
            self._planners.clear()
            self._replaced.clear()
        self._limits.record(table, self.node.clock.now_s())
        for service in table.services.values():
            if service.engine is not None and self.node.view.version:
                self._try_step_service(service)

    def _try_step_service(self, service: ServiceProfile) -> None:
        """Plan a service; a failure leaves the other services planned."""
        try:
            self._step_service(service)
        except Exception:
            logging.exception(
                'event=planner_step_failed service=%s', service.name
            )

    def _step_service(self, service: ServiceProfile) -> None:
        now_s = self.node.clock.now_s()
        planner = self._planners.get(service.name)
        if planner is None:
            bounds = self.node.settings.bounds
            planner = FormationPlanner(
                ReplicaHealth(bounds.drain_ms / _MS),
                ReplicaEndings(bounds.stall_ms / _MS),
                self._prober.epochs.setdefault(service.name, EpochWatch()),
            )
            planner.start_term(self._term)
            self._planners[service.name] = planner
        planner.endings.stall_s = self.node.settings.bounds.stall_ms / _MS
        facts = self._build_input(service, now_s)
        self._prober.start_probes(
            (
                suspect
                for suspect in self._suspects(
                    facts, planner.suspensions.suspects(now_s)
                )
                if self._may_probe(suspect.record, now_s)
            ),
            now_s,
        )
        if not self._has_highest_term(planner, facts):
            return
        for task in planner.step(facts, now_s):
            self._spawn(self._async_order(planner, task))
        for head in planner.take_ended_heads():
            self.node.view.forget(head)
        self._record_replaced(service.name, planner.replaced_heads)
        for repaired_s in planner.repairs.take():
            self.node.gateway.metrics.record_ms(
                'repair_ms',
                service.name,
                repaired_s * _MS,
            )
        self._log_demand(service, facts, now_s)

    def _record_replaced(
        self, service: str, heads: Iterable[EngineRecord]
    ) -> None:
        """Tell all daemons which head engines get no requests any more."""
        self._replaced[service] = frozenset(engine_key(head) for head in heads)
        replaced = frozenset().union(*self._replaced.values())
        activity = self.node.activity
        if not replaced <= activity.replaced:
            self.node.urgent_update.set()
        activity.replaced = replaced

    def _has_highest_term(
        self, planner: FormationPlanner, facts: FormationInput
    ) -> bool:
        """Return whether no engine is above the term; else raise the term."""
        higher = planner.epochs.higher_term(facts)
        if higher is None:
            return True
        if self.lease.lease.raise_above(higher):
            logging.warning(
                'event=term_exceeded service=%s term=%d higher=%d',
                facts.service.name,
                self._term,
                higher,
            )
        return False

    def _suspended_joins(self) -> dict[tuple[str, ...], float]:
        """Return the suspensions' durations by service and model, in s."""
        return {
            (service, model): suspension.duration_s
            for service, planner in self._planners.items()
            for model, suspension in planner.suspensions.suspended.items()
        }

    def _ending_replicas(self) -> dict[tuple[str, ...], float]:
        """Return how many given up replicas have not ended, by service."""
        if not self.node.share_state.plans:
            return {}
        return {
            (service,): len(planner.retiring)
            for service, planner in self._planners.items()
        }

    def _may_probe(self, record: EngineRecord, now_s: float) -> bool:
        node = self.node
        if now_s < node.activity.backoff_until_s(record):
            return False
        return node.grantor.allows_check(process_hash(record), now_s)

    def _log_demand(
        self,
        service: ServiceProfile,
        facts: FormationInput,
        now_s: float,
    ) -> None:
        """Log the demand of each model, at most every ``DEMAND_LOG_S``."""
        if now_s - self._demand_logged_at_s < DEMAND_LOG_S:
            return
        self._demand_logged_at_s = now_s
        for model in facts.models:
            logging.info(
                'event=model_demand service=%s model=%s replicas=%d '
                'running=%.1f',
                service.name,
                model.name,
                len(self.node.view.heads(service.name, model.name)),
                facts.running.get(model.name, 0),
            )

    def _build_input(
        self, service: ServiceProfile, now_s: float
    ) -> FormationInput:
        view = self.node.view
        listed = {
            record.engine: record
            for record in view.records()
            if record.service == service.name and record.fabric_domain
        }
        unlisted = {
            engine: record
            for engine, record in view.unlisted.items()
            if record.service == service.name and record.fabric_domain
        }
        strikes = self._strikes(listed)
        demand = self._demands.setdefault(service.name, Demand())
        demand.record(self._running(service), now_s)
        return FormationInput(
            service=service,
            running=demand.running(),
            in_flight=self._in_flight((*unlisted.values(), *listed.values())),
            engines=listed,
            unlisted=unlisted,
            withdrawn=frozenset(view.withdrawn & unlisted.keys()),
            leaving_at_s=view.leaving_at_s,
            dead=self._prober.dead(listed, now_s),
            slow=self._prober.slow(now_s),
            strikes=strikes,
            settled=view.is_settled(now_s),
            started=self.node.share_state.started,
            is_view_new=now_s - view.followed_since_s < NEW_VIEW_GRACE_S,
            unsure=view.missing & listed.keys(),
            evacuated=self.node.evacuations.zones,
            longest_request_s=self._limits.longest_request_s(
                service.name, now_s
            ),
            followed_s=now_s - view.followed_since_s,
            last_heads=view.memberships.heads,
            departures=view.memberships.departures,
        )

    def _strikes(self, listed: Mapping[str, EngineRecord]) -> dict[str, int]:
        """Return the consecutive strikes of engines, by engine."""
        strikes = self.node.share_state.strikes()
        if not strikes:
            return {}
        hashes = {
            engine: engine_key_hash(engine_key(record))
            for engine, record in listed.items()
        }
        return {
            engine: strikes[key_hash]
            for engine, key_hash in hashes.items()
            if key_hash in strikes
        }

    def _running(self, service: ServiceProfile) -> dict[str, int]:
        """Return the requests in flight at all daemons, by model."""
        models = () if service.engine is None else service.engine.models
        load = self.node.activity.load
        return {
            model.name: sum(
                load(engine_key(head))
                for head in self.node.view.heads(service.name, model.name)
            )
            for model in models
        }

    def _in_flight(self, records: Iterable[EngineRecord]) -> dict[str, int]:
        """Return the requests in flight at all daemons, by head engine."""
        return {
            record.engine: self.node.activity.load(engine_key(record))
            for record in records
            if record.membership is not None and record.membership.rank == 0
        }

    def _suspects(
        self,
        facts: FormationInput,
        joining: frozenset[str],
    ) -> Iterator[Suspect]:
        """Yield engines that may be dead.

        These are members of replicas with strikes and the spares of their
        fabric domains, which may have to replace them; engines that left
        an order or a probe unanswered; engines no longer listed; and engines
        that join for a model whose join orders may crash engines.
        """
        heads = [
            facts.engines[head]
            for head in facts.strikes
            if head in facts.engines
        ]
        stalled = {head.membership.epoch for head in heads if head.membership}
        domains = {head.fabric_domain for head in heads}
        for record in facts.engines.values():
            if _epoch(record) in stalled:
                yield Suspect(record, STALLED_PROBE_INTERVAL_S, STALL_BUSY_S)
            elif record.engine in joining or _is_spare(record, domains):
                yield Suspect(record, STALLED_PROBE_INTERVAL_S)
            elif self._prober.is_doubtful(record.engine):
                yield Suspect(record, self._probe_interval_s(record))
        for unlisted in facts.unlisted.values():
            yield Suspect(unlisted, self._probe_interval_s(unlisted))

    def _probe_interval_s(self, record: EngineRecord) -> float:
        """Return the interval of probes of an engine that may be dead."""
        if self._prober.is_silent(record.engine):
            return STALLED_PROBE_INTERVAL_S
        return PROBE_INTERVAL_S

    async def _async_order(
        self, planner: FormationPlanner, task: OrderTask
    ) -> None:
        if not self.lease.is_held():
            return
        engine = task.engine.engine
        if self._prober.is_silent(engine) and engine not in self._refusing:
            self._pass_on(planner, task)
        sent_at_s = self.node.clock.now_s()
        outcome = await self._orders.async_order(
            task.engine,
            task.order,
            self.lease.is_held,
        )
        now_s = self.node.clock.now_s()
        logging.info(
            'event=order engine=%s order=%s replica=%s epoch=%d outcome=%s '
            'took_ms=%d',
            task.engine.engine,
            task.order.kind,
            task.order.replica or task.order.model,
            task.order.epoch,
            outcome,
            (now_s - sent_at_s) * _MS,
        )
        self._refusing.discard(engine)
        if outcome is OrderOutcome.NOT_REACHED:
            self._refusing.add(engine)
            self._prober.record_dead(task.engine, 'connection refused')
        elif outcome is OrderOutcome.UNKNOWN:
            self._prober.unanswered.add(engine)
            self._pass_on(planner, task)
        planner.record(task, outcome)
        self.node.engines_changed.set()

    def _pass_on(self, planner: FormationPlanner, task: OrderTask) -> None:
        """Have other daemons order a head engine to leave."""
        if not task.may_be_passed_on:
            return
        replica = task.order.replica
        now_s = self.node.clock.now_s()
        if now_s >= self._pass_on_at_s.get(replica, _NEVER_S):
            self._pass_on_at_s[replica] = now_s + PASSING_RETRY_S
            self._spawn(self._async_pass_on(planner, task))

    async def _async_pass_on(
        self, planner: FormationPlanner, task: OrderTask
    ) -> None:
        planner.record(task, await self._passer.async_pass_on(task))
        self.node.engines_changed.set()

    def _spawn(self, coroutine) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _epoch(record: EngineRecord) -> int | None:
    """Return the epoch of an engine's replica; None without one."""
    return None if record.membership is None else record.membership.epoch


def _is_spare(record: EngineRecord, domains: set[str]) -> bool:
    """Return whether an engine of these domains is in no replica."""
    return record.membership is None and record.fabric_domain in domains
