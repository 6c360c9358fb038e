"""State of a daemon and the ports to external systems."""

import uuid
from random import Random

import attrs

from yuccavalve.access import read_key
from yuccavalve.adapters.engine import HttpEngine
from yuccavalve.adapters.http import HttpJsonClient
from yuccavalve.adapters.platform import HttpHostList, HttpObjectStore
from yuccavalve.adapters.table import HttpTableStore
from yuccavalve.clock import BootClock, Clock
from yuccavalve.configuration import AdoptionState, ConfigurationStore
from yuccavalve.load import Demands, ReplicaScores
from yuccavalve.membership import Member, MemberRegistry, Roster
from yuccavalve.observability.samples import BurnSamples
from yuccavalve.peers import PeerClient
from yuccavalve.peers.peer_state import PeerState
from yuccavalve.ports import EnginePort, HostList, ObjectStore, TableStore
from yuccavalve.quarantine import PromptQuarantine
from yuccavalve.quarantine.const import GOSSIP_RELAY_S
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
    quarantine: PromptQuarantine
    configurations: ConfigurationStore
    registry: MemberRegistry
    replica_store: ReplicaStore
    engine_caller: HttpJsonClient
    platform_caller: HttpJsonClient
    samples: BurnSamples = attrs.field(factory=BurnSamples)
    usage: ReplicaUsage = attrs.field(factory=ReplicaUsage)
    stopping: bool = False
    refusing: bool = False

    @property
    def local_member(self) -> Member:
        """Return this daemon's member record."""
        return self.roster.local_member

    def refuses_new_requests(self) -> bool:
        """Return whether new requests are refused because of a stop."""
        return self.refusing

    def other_caller_addresses(self) -> tuple[str, ...]:
        """Return the addresses of other live daemons for callers."""
        return tuple(
            member.caller_address
            for member in self.roster.entries(self.clock.now_s())
            if member.member != self.local_member.member
        )

    def mark_leaving(self) -> None:
        """Mark this daemon as leaving, as seen by peers and entry answers."""
        self.stopping = True
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
    )
    return Node(
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
        configurations=ConfigurationStore(platform.table),
        registry=MemberRegistry(platform.table),
        replica_store=ReplicaStore(platform.table),
        engine_caller=engine_caller,
        platform_caller=platform_caller,
    )


def _quarantine(
    roster: Roster, clock: Clock, random: Random
) -> PromptQuarantine:
    return PromptQuarantine(
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
