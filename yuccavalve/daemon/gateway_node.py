"""State of a gateway daemon and the ports to external systems."""

import asyncio
import uuid
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

import attrs
from absl import logging

from yuccavalve.capacity import DELAY_SETTLE_S, CapacityBook, CapacityChange
from yuccavalve.clock import BootClock, Clock
from yuccavalve.daemon.entry_directory import EntryDirectory
from yuccavalve.daemon.loop_delay import LoopDelay
from yuccavalve.daemon.startup import StartupKnowledge
from yuccavalve.eras import EraWatch
from yuccavalve.evacuation import EvacuationReading, EvacuationState
from yuccavalve.fleet.activity import (
    Activity,
    engine_key,
    engine_key_hash,
    process_hash,
)
from yuccavalve.fleet.const import (
    DAEMON_TIMEOUT_PER_MEMBER_S,
    DAEMON_TIMEOUT_S,
    FOLLOWER_MAX_AGE_S,
    FORGET_IDLE_S,
    HUB_MAX_AGE_S,
    SHARE_FULL_RATE_DAEMONS,
    SHARE_MAX_PERIOD_FACTOR,
    SHARE_PERIOD_S,
)
from yuccavalve.fleet.notices import EngineNotices, NoticeRelay
from yuccavalve.fleet.view import FleetView
from yuccavalve.gateway import (
    Dispatcher,
    EngineSelector,
    Gateway,
    InboundDecoder,
)
from yuccavalve.gateway.budget import RetryBudgetSettings, ServiceRetryBudgets
from yuccavalve.gateway.forecasts import PoolForecasts
from yuccavalve.gateway.waiting import AdmissionGate
from yuccavalve.memory import HeldBytes, ReceivedBytes, new_received_bytes
from yuccavalve.membership import HubRanking, Member, Roster
from yuccavalve.observability import LogRateLimiter, UnreadableInputs
from yuccavalve.peers import PeerClient, ShareState
from yuccavalve.ports import TableStore
from yuccavalve.ports.backend import BackendPort
from yuccavalve.ports.fleet import (
    EngineChanges,
    EngineControlPort,
    EngineFeed,
    RoutingFeed,
    RoutingSnapshot,
)
from yuccavalve.ports.relay import RelayPort
from yuccavalve.quarantine import RequestQuarantine
from yuccavalve.ratelimit import (
    LimitChange,
    PermitGrantor,
    RateLimiter,
)
from yuccavalve.relay import EngineReach, NeighborChooser
from yuccavalve.relay.sender import NeighborSender
from yuccavalve.routing import RoutingState, RoutingTable
from yuccavalve.settings import BoundSettings, GatewaySettings
from yuccavalve.warmup import WarmupChange
from yuccavalve.warmup.tracker import WarmupTracker

__all__ = ('GatewayNode', 'GatewayPorts', 'build_gateway_node')

_MEMBER_ID_DIGITS = 8
_MILLI = 1000
_ALWAYS_STALE_S = float('-inf')
# Gateway daemons exchange updates without a shared key.
_PEER_KEY = ''


@attrs.frozen
class GatewayPorts:
    """Ports to the external systems.

    Attributes
    ----------
    decode_routes
        Decodes a version of the routes.
    entry_application
        Returns the application that answers callers and the platform from
        an entry directory.
    relay
        Sends requests to other daemons, and probes engines.
    eras
        Notices that the table service has returned from a copy.
    call_counts
        Completed calls to the platform, by duty and outcome.
    unreadable
        Counts what could not be read.
    held
        Bytes of answers that are held for callers.
    """

    table: TableStore
    engine_feed: EngineFeed
    routing_feed: RoutingFeed
    backend: BackendPort
    orders: EngineControlPort
    notices: NoticeRelay
    decoder: InboundDecoder
    decode_routes: Callable[[bytes], RoutingTable]
    entry_application: Callable[[EntryDirectory], Any]
    relay: RelayPort
    eras: EraWatch = attrs.field(factory=EraWatch)
    call_counts: Mapping[tuple[str, ...], int] = attrs.field(factory=dict)
    unreadable: UnreadableInputs = attrs.field(factory=UnreadableInputs)
    held: HeldBytes = attrs.field(factory=HeldBytes)


@attrs.define
class GatewayNode:
    """State shared by the loops of a gateway daemon.

    Attributes
    ----------
    urgent_update
        Set when an update should be sent to other daemons at once.
    log_rate_limiter
        Counts the log lines that were left out.
    engines_changed
        Set when the planner should take a step at once.
    planning
        Set while this daemon plans the replicas.
    loop_delay
        When the event loop was last delayed.
    limiter
        Permits for requests to engines that have named a limit.
    grantor
        Grants these permits while this daemon plans.
    evacuations
        Zones whose servers get no new requests.
    warmups
        Records which engines are cold.
    member_rows_read
        Whether the rows of all daemons were read since the start.
    startup
        What this daemon has learned since its start.
    received
        What callers have sent and is held, and their connections.
    reach
        Whether this daemon reaches engines.
    relay_sender
        Has requests answered by other daemons meanwhile; None if disabled.
    """

    settings: GatewaySettings
    ports: GatewayPorts
    clock: Clock
    random: Random
    routing: RoutingState
    view: FleetView
    activity: Activity
    roster: Roster
    share_state: ShareState
    peers: PeerClient
    gateway: Gateway
    entry_directory: EntryDirectory
    hubs: HubRanking
    limiter: RateLimiter
    grantor: PermitGrantor
    evacuations: EvacuationState
    warmups: WarmupTracker
    received: ReceivedBytes = attrs.field(factory=ReceivedBytes)
    reach: EngineReach = attrs.field(factory=EngineReach)
    relay_sender: NeighborSender | None = None
    member_rows_read: bool = False
    startup: StartupKnowledge = attrs.field(factory=StartupKnowledge)
    log_rate_limiter: LogRateLimiter = attrs.field(factory=LogRateLimiter)
    urgent_update: asyncio.Event = attrs.field(factory=asyncio.Event)
    engines_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    planning: asyncio.Event = attrs.field(factory=asyncio.Event)
    loop_delay: LoopDelay = attrs.field(factory=LoopDelay)
    _idle_forgotten_at_s: float = _ALWAYS_STALE_S
    _marked_leaving: frozenset[int] = frozenset()

    def record_planning(self, plans: bool) -> None:
        """Record whether this daemon plans the replicas from now on."""
        self.share_state.plans = plans
        if plans:
            self.planning.set()
        else:
            self.planning.clear()
            self.activity.replaced = frozenset()

    def serves_as_hub(self) -> bool:
        """Return whether this daemon follows no hub or has followers."""
        return not self.share_state.follows or self.share_state.has_followers()

    def planner(self) -> str:
        """Return the id of the daemon that plans; empty if none is known."""
        if self.share_state.plans:
            return self.roster.local_member.member
        return self.share_state.planner()

    def stale_after_s(self) -> float:
        """Return the view age beyond which this daemon reads the store.

        The planner always reads it, hubs only when the planner's updates
        are missing, and followers, which allow a higher age, when their
        hub's updates are missing too.
        """
        if self.share_state.plans:
            return _ALWAYS_STALE_S
        return HUB_MAX_AGE_S if self.serves_as_hub() else FOLLOWER_MAX_AGE_S

    def view_fresh_s(self) -> float:
        """Return how long the view of the engines is still fresh."""
        age_s = self.clock.now_s() - self.view.read_at_s
        return self.stale_after_s() - age_s

    def is_view_stale(self) -> bool:
        """Return whether the view of the engines is too old."""
        return self.view_fresh_s() < 0

    def routes_fresh_s(self) -> float:
        """Return how long routes and evacuations still count as confirmed.

        Both are read from one feed.
        """
        if self.routing.table is None or not self.evacuations.is_known:
            return _ALWAYS_STALE_S
        confirmed_at_s = min(
            self.routing.confirmed_at_s, self.evacuations.confirmed_at_s
        )
        return self.stale_after_s() - (self.clock.now_s() - confirmed_at_s)

    def share_period_s(self) -> float:
        """Return the time between exchanges, longer in a large cell."""
        factor = self.share_state.cell_size() / SHARE_FULL_RATE_DAEMONS
        return SHARE_PERIOD_S * min(SHARE_MAX_PERIOD_FACTOR, max(1, factor))

    def apply_engine_changes(
        self, changes: EngineChanges, read_at_s: float
    ) -> bool:
        """Apply another daemon's view; return False if it is older."""
        applied = self.view.apply_relayed(
            changes, read_at_s, self.clock.now_s()
        )
        if applied:
            self.handle_engine_update()
        return applied

    def handle_engine_update(self) -> None:
        """Refresh dependent state after an update of the engines."""
        self._mark_leaving(self.activity.remote_leaving)
        self._log_unserved_zones()
        self.update_informed()
        now_s = self.clock.now_s()
        if now_s - self._idle_forgotten_at_s >= FORGET_IDLE_S:
            self._idle_forgotten_at_s = now_s
            keys = {engine_key(record) for record in self.view.records()}
            self.activity.forget_idle(keys, now_s)
            if self.share_state.capacities is not None:
                self.share_state.capacities.forget_except(
                    {engine_key_hash(key) for key in keys}
                )
        if self.gateway.admission is not None:
            self.gateway.admission.handle_engine_update()

    def apply_evacuations(self, reading: RoutingSnapshot) -> None:
        """Apply the evacuated zones in an answer of the store."""
        self.evacuations.apply_reading(
            EvacuationReading(
                reading.feed_version,
                reading.evacuated,
                reading.is_complete,
                reading.era,
            ),
            self.clock.now_s(),
        )
        self.update_informed()

    def handle_evacuation_change(self) -> None:
        """Tell others of a changed set, and plan replicas by it."""
        self.urgent_update.set()
        self.engines_changed.set()
        self._log_unserved_zones()

    def on_era(self, listener: Callable[[int], None]) -> None:
        """Have a function called with each new era of the table service."""
        self.ports.eras.listeners.append(listener)

    def handle_era(self, era: int) -> None:
        """Tell others of a new era of the table service."""
        self.urgent_update.set()
        self.engines_changed.set()

    def _log_unserved_zones(self) -> None:
        """Log evacuated zones without servers once the engines are known."""
        if self.evacuations.zones and self.view.version:
            self.evacuations.log_unserved(
                {record.availability_zone for record in self.view.records()}
            )

    def mark_remote_leaving(self) -> None:
        """Mark the engines that have told other daemons that they leave."""
        leaving = self.activity.remote_leaving
        if leaving != self._marked_leaving:
            self._mark_leaving(leaving)

    def _mark_leaving(self, leaving: frozenset[int]) -> None:
        self._marked_leaving = leaving
        if not leaving:
            return
        for record in tuple(self.view.records()):
            is_leaving = engine_key_hash(engine_key(record)) in leaving
            if is_leaving and self.view.mark_leaving(record):
                self.activity.record_leaving(record, self.clock.now_s())
                logging.info(
                    'event=engine_draining engine=%s source=peer',
                    record.engine,
                )
                self.engines_changed.set()

    def record_limit_change(self, change: LimitChange) -> None:
        """Log a limit that began, changed or ended, and tell others."""
        logging.info(
            'event=engine_limit engine=%s per_s=%s previous_per_s=%s',
            self.engine_name(change.engine),
            change.per_s,
            change.previous_per_s,
        )
        if change.tightens:
            self.urgent_update.set()

    def record_warmup_change(self, change: WarmupChange) -> None:
        """Log an engine that became cold or warm, and tell others."""
        if not change.left_s:
            logging.info(
                'event=engine_warm engine=%s', self.engine_name(change.engine)
            )
            return
        logging.info(
            'event=engine_cold engine=%s per_s=%.1f left_ms=%d source=%s',
            self.engine_name(change.engine),
            change.per_s,
            change.left_s * _MILLI,
            change.cause,
        )
        self.urgent_update.set()

    def record_capacity_change(self, change: CapacityChange) -> None:
        """Log a large change of what an engine is believed to handle."""
        logging.info(
            'event=engine_capacity engine=%s concurrency=%.1f speed=%.2f '
            'previous_concurrency=%.1f previous_speed=%.2f samples=%d '
            'source=%s',
            self.keyed_engine_name(change.server),
            change.concurrency,
            change.speed,
            change.previous_concurrency,
            change.previous_speed,
            change.samples,
            change.source,
        )

    def keyed_engine_name(self, server: int) -> str:
        """Return the name of an engine by the id of its start and replica."""
        for record in self.view.records():
            if engine_key_hash(engine_key(record)) == server:
                return record.engine
        return f'unlisted-{server:08x}'

    def engine_name(self, engine: int) -> str:
        """Return the name of an engine by the id of its start."""
        for record in self.view.records():
            if process_hash(record) == engine:
                return record.engine
        return f'unlisted-{engine:08x}'

    def known_daemons(self) -> int:
        """Return how many daemons may run; 0 before their rows were read."""
        return len(self.roster.members()) if self.member_rows_read else 0

    def planner_addresses(self) -> list[str]:
        """Return the peer address of the daemon that plans, if known."""
        planner = self.roster.get(self.planner())
        return [] if planner is None else [planner.peer_address]

    def live_daemons(self) -> int:
        """Return the number of live daemons, this one included."""
        return len(self.roster.live(self.clock.now_s()))

    def apply_bounds(self, bounds: BoundSettings) -> None:
        """Apply changed bounds."""
        self.settings = attrs.evolve(self.settings, bounds=bounds)
        self.entry_directory.lifetime_s = bounds.entry_lifetime_s
        self.gateway.budgets.update_settings(_budget_settings(bounds))
        self.warmups.overage = bounds.cold_overage
        self.warmups.slack = bounds.cold_slack

    def update_informed(self) -> None:
        """Mark this daemon as informed once it may take requests."""
        share_state = self.share_state
        if share_state.informed:
            return
        newest_version, _ = share_state.newest_routing()
        has_rows = self.routing.table is not None and self.evacuations.is_known
        share_state.informed = self.startup.update(
            self._informed_daemons(),
            has_base=has_rows and self.view.version > 0,
            is_current=self.routing.version >= newest_version,
            now_s=self.clock.now_s(),
        )

    def record_quarantine_read(self) -> None:
        """Record that the row of the quarantine was read."""
        self.startup.quarantine_read = True
        self.update_informed()

    def _informed_daemons(self) -> set[str] | None:
        """Return the other daemons that may be informed.

        None before their rows were read.
        """
        if not self.member_rows_read:
            return None
        members = {each.member for each in self.roster.members()}
        return members - self.share_state.uninformed()

    def adopt_routes(self, document: bytes, source: str) -> bool:
        """Decode a version of the routes and adopt it if it is newer."""
        table = self.ports.decode_routes(document)
        adopted = self.routing.adopt(table, document, source)
        self.warmups.apply_routes()
        self.update_informed()
        return adopted


def build_gateway_node(
    settings: GatewaySettings,
    ports: GatewayPorts,
    random: Random,
) -> GatewayNode:
    """Return the state of a gateway daemon."""
    clock = BootClock()
    routing = RoutingState()
    view = FleetView()
    activity = Activity()
    roster = Roster(
        _local_member(settings),
        DAEMON_TIMEOUT_S,
        DAEMON_TIMEOUT_PER_MEMBER_S,
    )
    quarantine = RequestQuarantine(
        random, lambda: len(roster.live(clock.now_s()))
    )
    dispatcher = Dispatcher(
        EngineSelector(
            view,
            activity,
            random,
            settings.daemon.availability_zone,
            capacities=CapacityBook(random)
            if settings.capacity.learn
            else None,
        ),
        ports.backend,
        activity,
        ServiceRetryBudgets(
            _budget_settings(settings.bounds),
            lambda: len(roster.live(clock.now_s())),
        ),
        clock,
        random,
        quarantine,
    )
    share_state = ShareState(
        roster,
        activity,
        routing,
        clock,
        random,
        quarantine=quarantine,
        limits=dispatcher.selector.limiter.table,
        evacuations=dispatcher.selector.evacuations,
        capacities=dispatcher.selector.capacities,
        eras=ports.eras,
    )
    gateway = Gateway(ports.decoder, routing, dispatcher, clock, random)
    gateway.is_informed = lambda: share_state.informed
    node = GatewayNode(
        settings=settings,
        ports=ports,
        clock=clock,
        random=random,
        routing=routing,
        view=view,
        activity=activity,
        roster=roster,
        share_state=share_state,
        peers=PeerClient(_PEER_KEY),
        gateway=gateway,
        entry_directory=EntryDirectory(
            roster,
            share_state,
            gateway.stop,
            clock,
            random,
            settings.bounds.entry_lifetime_s,
        ),
        hubs=HubRanking(roster),
        received=new_received_bytes(
            settings.memory.received_limit_bytes,
            settings.memory.max_connections,
        ),
        limiter=dispatcher.selector.limiter,
        grantor=PermitGrantor(dispatcher.selector.limiter.table),
        evacuations=dispatcher.selector.evacuations,
        warmups=WarmupTracker(
            dispatcher.selector.limiter.table.warmups,
            lambda: None if routing.table is None else routing.table.services,
            settings.bounds.cold_overage,
            settings.bounds.cold_slack,
        ),
        reach=dispatcher.reach,
    )
    node.evacuations.on_change = node.handle_evacuation_change
    node.on_era(node.handle_era)
    _connect_limits(node)
    _connect_relay(node, dispatcher)
    _connect_capacities(node)
    if settings.admission.queue:
        dispatcher.admission = _admission_gate(node, dispatcher)
    return node


def _admission_gate(node: GatewayNode, dispatcher: Dispatcher) -> AdmissionGate:
    """Return the queue of requests that no engine takes."""
    metrics = node.gateway.metrics
    gate = AdmissionGate(
        dispatcher.selector,
        PoolForecasts(dispatcher.selector, node.live_daemons),
        node.clock,
        node.random,
        lambda service, waited_ms: metrics.record_ms(
            'admission_waited_ms', service, waited_ms
        ),
    )
    node.limiter.on_granted = gate.wake
    return gate


def _connect_capacities(node: GatewayNode) -> None:
    """Connect learned capacities with the daemon's state."""
    capacities = node.share_state.capacities
    if capacities is None:
        return
    capacities.on_change = node.record_capacity_change
    capacities.probes.daemon_count = node.live_daemons
    capacities.was_delayed = lambda now_s: node.loop_delay.was_delayed_since(
        now_s - DELAY_SETTLE_S
    )


def _connect_limits(node: GatewayNode) -> None:
    """Connect what engines say of themselves with the daemon's state."""
    limiter = node.limiter
    limiter.daemon_count = node.known_daemons
    limiter.table.on_change = node.record_limit_change
    limiter.table.warmups.on_change = node.record_warmup_change
    node.view.on_record = lambda record, read_at_s, is_start: (
        node.warmups.record_listed(record, read_at_s, is_start=is_start)
    )
    node.ports.notices.sink = EngineNotices(
        node.view,
        node.activity,
        limiter.table,
        node.clock,
        node.random,
        node.warmups,
    )


def _connect_relay(node: GatewayNode, dispatcher: Dispatcher) -> None:
    """Look for partitions and relay, if a relay address is set."""
    if not node.settings.listen.relay_address:
        return
    node.reach.active = True
    node.activity.certain_until_s = lambda: node.reach.certain_until_s(
        node.clock.now_s()
    )
    node.relay_sender = NeighborSender(
        node.ports.relay,
        NeighborChooser(node.roster, node.share_state, node.random),
        dispatcher.budgets,
        node.clock,
        node.random,
    )
    dispatcher.relay = node.relay_sender


def _budget_settings(bounds: BoundSettings) -> RetryBudgetSettings:
    return RetryBudgetSettings(
        bounds.retry_ratio,
        bounds.retry_extra,
        bounds.retry_window_s,
    )


def _local_member(settings: GatewaySettings) -> Member:
    daemon = settings.daemon
    return Member(
        member=f'{daemon.name}-{uuid.uuid4().hex[:_MEMBER_ID_DIGITS]}',
        name=daemon.name,
        region=daemon.region,
        availability_zone=daemon.availability_zone,
        caller_address=settings.listen.caller_address,
        peer_address=settings.listen.peer_address,
        processor_millicores=int(
            daemon.processor_share * daemon.processor_speed * _MILLI,
        ),
        relay_address=settings.listen.relay_address,
    )
