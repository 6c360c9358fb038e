"""State of a daemon and the ports to external systems."""

import math
import uuid
from random import Random

import attrs
from absl import logging

from yuccavalve.access import read_key
from yuccavalve.adapters.engine import HttpEngine
from yuccavalve.adapters.http import HttpJsonClient
from yuccavalve.adapters.platform import HttpHostList, HttpObjectStore
from yuccavalve.adapters.table import HttpTableStore
from yuccavalve.clock import BootClock, Clock
from yuccavalve.configuration import AdoptionState, ConfigurationStore
from yuccavalve.hashing import rendezvous_order
from yuccavalve.load import Demands, ReplicaScores
from yuccavalve.membership import Member, MemberRegistry, Roster
from yuccavalve.membership.const import DUTY_PLANNER, PLANNER_CANDIDATES
from yuccavalve.observability.samples import BurnSamples
from yuccavalve.peers import PeerClient
from yuccavalve.peers.peer_state import PeerState
from yuccavalve.ports import EnginePort, HostList, ObjectStore, TableStore
from yuccavalve.quarantine import RequestQuarantine
from yuccavalve.quarantine.const import GOSSIP_RELAY_S
from yuccavalve.ratelimit import (
    LimitChange,
    LimitTable,
    PermitGrantor,
    RateLimiter,
    backend_id,
)
from yuccavalve.ratelimit.const import GOSSIP_RELAY_S as LIMIT_RELAY_S
from yuccavalve.replicas import GrantTable, ReplicaStore, ReplicaTable
from yuccavalve.replicas.usage import ReplicaUsage
from yuccavalve.settings import Settings

__all__ = ('Keys', 'Node', 'Platform', 'build_node')

_ENGINE_CALL_TIMEOUT_S = 2.0
_MEMBER_ID_DIGITS = 8


@attrs.frozen
class Keys:
    """Access keys, read from files."""

    operator: str = attrs.field(repr=False)
    peer: str = attrs.field(repr=False)
    platform: str = attrs.field(repr=False)


@attrs.frozen
class Platform:
    """Ports to the external systems."""

    table: TableStore
    object_store: ObjectStore
    hosts: HostList
    engines: EnginePort


@attrs.define
class Node:
    """State shared by the loops and filters of a daemon.

    Attributes
    ----------
    stopping
        Whether a graceful stop has begun.
    refusing
        Whether new requests are refused, since the entry answers that
        named this daemon have expired.
    answer_until_s
        Monotonic time before which a stop cancels no requests in flight.
    members_listed
        Whether the rows of all members were read since the start.
    """

    settings: Settings
    keys: Keys
    platform: Platform
    clock: Clock
    random: Random
    roster: Roster
    adoption: AdoptionState
    grants: GrantTable
    replicas: ReplicaTable
    scores: ReplicaScores
    demands: Demands
    peers: PeerClient
    peer_state: PeerState
    quarantine: RequestQuarantine
    limiter: RateLimiter
    grantor: PermitGrantor
    configurations: ConfigurationStore
    registry: MemberRegistry
    replica_store: ReplicaStore
    engine_caller: HttpJsonClient
    platform_caller: HttpJsonClient
    samples: BurnSamples = attrs.field(factory=BurnSamples)
    usage: ReplicaUsage = attrs.field(factory=ReplicaUsage)
    stopping: bool = False
    refusing: bool = False
    answer_until_s: float = math.inf
    members_listed: bool = False

    @property
    def local_member(self) -> Member:
        """Return this daemon's member record."""
        return self.roster.local_member

    def refuses_new_requests(self) -> bool:
        """Return whether new requests are refused because of a stop."""
        return self.refusing

    def may_cut(self, deadline_at_s: float) -> bool:
        """Return whether a stop may cancel a request before its deadline."""
        return deadline_at_s > self.answer_until_s

    def other_caller_addresses(self) -> tuple[str, ...]:
        """Return the addresses of other live daemons for callers."""
        return tuple(
            member.caller_address
            for member in self.roster.entries(self.clock.now_s())
            if member.member != self.local_member.member
        )

    def known_daemons(self) -> int:
        """Return how many daemons may run; 0 before they were listed."""
        return len(self.roster.members()) if self.members_listed else 0

    def planner_addresses(self) -> list[str]:
        """Return the peer addresses of the likeliest planners."""
        by_id = {
            member.member: member.peer_address
            for member in self.roster.entries(self.clock.now_s())
        }
        ranked = rendezvous_order(DUTY_PLANNER, by_id)[:PLANNER_CANDIDATES]
        local_id = self.local_member.member
        return [by_id[member] for member in ranked if member != local_id]

    def record_limit_change(self, change: LimitChange) -> None:
        """Log a limit that began, changed or ended."""
        names = [
            record.replica
            for record in self.replicas.all_records()
            if backend_id(record.replica, record.incarnation) == change.engine
        ]
        logging.info(
            'event=engine_limit engine=%s per_s=%s previous_per_s=%s',
            *(names or [f'{change.engine:08x}'])[:1],
            change.per_s,
            change.previous_per_s,
        )

    def mark_leaving(self) -> None:
        """Mark this daemon as leaving, as seen by peers and entry answers."""
        stop = self.settings.stop
        self.stopping = True
        self.answer_until_s = (
            self.clock.now_s() + stop.entry_lifetime_s + stop.drain_bound_s
        )
        self.roster.local_member = attrs.evolve(self.local_member, leaving=True)


def build_node(
    settings: Settings,
    caller_address: str,
    random: Random,
) -> Node:
    """Return the state of a daemon that listens at an address."""
    keys = Keys(
        operator=read_key(settings.access.operator_key_file),
        peer=read_key(settings.access.peer_key_file),
        platform=read_key(settings.access.platform_key_file),
    )
    clock = BootClock()
    engine_caller = HttpJsonClient(_ENGINE_CALL_TIMEOUT_S, keys.platform)
    platform_caller = HttpJsonClient(settings.platform.timeout_s, keys.platform)
    platform = _platform(settings, platform_caller, engine_caller)
    roster = Roster(_local_member(settings, caller_address))
    peer_state = PeerState(
        roster,
        AdoptionState(settings.daemon.name),
        GrantTable(),
        ReplicaTable(),
        Demands(),
        clock,
        random,
        quarantine=_quarantine(roster, clock, random),
        limits=LimitTable(LIMIT_RELAY_S),
    )
    node = Node(
        settings=settings,
        keys=keys,
        platform=platform,
        clock=clock,
        random=random,
        roster=roster,
        adoption=peer_state.adoption,
        grants=peer_state.grants,
        replicas=peer_state.replica_table,
        scores=ReplicaScores(),
        demands=peer_state.demands,
        peers=PeerClient(keys.peer),
        peer_state=peer_state,
        quarantine=peer_state.quarantine,
        limiter=RateLimiter(random, peer_state.limits),
        grantor=PermitGrantor(peer_state.limits),
        configurations=ConfigurationStore(platform.table),
        registry=MemberRegistry(platform.table),
        replica_store=ReplicaStore(platform.table),
        engine_caller=engine_caller,
        platform_caller=platform_caller,
    )
    node.limiter.daemon_count = node.known_daemons
    peer_state.limits.on_change = node.record_limit_change
    return node


def _quarantine(
    roster: Roster, clock: Clock, random: Random
) -> RequestQuarantine:
    return RequestQuarantine(
        random,
        lambda: len(roster.live(clock.now_s())),
        relay_s=GOSSIP_RELAY_S,
    )


def _local_member(settings: Settings, caller_address: str) -> Member:
    daemon = settings.daemon
    return Member(
        member=f'{daemon.name}-{uuid.uuid4().hex[:_MEMBER_ID_DIGITS]}',
        name=daemon.name,
        region=daemon.region,
        availability_zone=daemon.availability_zone,
        caller_address=caller_address,
        peer_address=daemon.peer_address,
    )


def _platform(
    settings: Settings,
    caller: HttpJsonClient,
    engine_caller: HttpJsonClient,
) -> Platform:
    return Platform(
        table=HttpTableStore(caller, settings.platform.table_address),
        object_store=HttpObjectStore(caller, settings.platform.object_address),
        hosts=HttpHostList(caller, settings.platform.host_list_address),
        engines=HttpEngine(engine_caller),
    )
