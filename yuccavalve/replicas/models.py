"""Data classes of replicas and of the planner."""

import enum
from collections.abc import Mapping
from typing import Protocol

import attrs

from yuccavalve.configuration.models import Group
from yuccavalve.ports import HostState
from yuccavalve.replicas.const import DEFAULT_LOAD_S

__all__ = (
    'Drain',
    'Form',
    'Move',
    'PlanHost',
    'PlanInput',
    'Planner',
    'Release',
    'Replica',
    'ReplicaHost',
    'ReplicaState',
)


class ReplicaState(enum.StrEnum):
    """States of a replica; see ``lifecycle`` for the transitions."""

    FORMING = 'forming'
    LOADING = 'loading'
    SERVING = 'serving'
    DRAINING = 'draining'
    BROKEN = 'broken'
    RELEASED = 'released'


@attrs.frozen
class ReplicaHost:
    """A host of a replica.

    Attributes
    ----------
    boot
        Id of the engine's start that was verified; empty before that.
    """

    host: str
    address: str
    fabric_domain: str
    boot: str = ''


@attrs.frozen
class Replica:
    """A replica; its hosts never change, so a repair forms a new one.

    Attributes
    ----------
    incarnation
        Fencing token of all orders for it; unique among replicas.
    """

    replica: str
    group: str
    model: str
    incarnation: int
    slots: int
    state: ReplicaState
    hosts: tuple[ReplicaHost, ...]

    @property
    def address(self) -> str:
        """Return the address of the host that answers requests."""
        return self.hosts[0].address

    @property
    def is_split(self) -> bool:
        """Return whether the hosts span more than one fabric domain."""
        return len({host.fabric_domain for host in self.hosts}) > 1


@attrs.frozen
class PlanHost:
    """A host that is available to the planner or held by a replica."""

    host: str
    address: str
    fabric_domain: str
    state: HostState = HostState.LIVE


@attrs.frozen
class PlanInput:
    """Input of the planner; a plan depends on nothing else.

    Attributes
    ----------
    hosts
        Hosts that are taken to be present, by id.
    replicas
        Replicas that hold hosts.
    wanted
        Replica count of each group under the preset in force.
    max_loading
        Maximum number of replicas that load at once.
    missing_s
        How long each group has had fewer replicas than wanted, in s. Replicas
        that are loading count as present.
    load_s
        Duration of a load.
    settled
        Whether the preset is accepted. Until then, a region cut off by a
        network partition may still serve under the previous preset.
    """

    hosts: Mapping[str, PlanHost]
    replicas: tuple[Replica, ...]
    groups: tuple[Group, ...]
    wanted: Mapping[str, int]
    max_loading: int
    missing_s: Mapping[str, float] = attrs.field(factory=dict)
    load_s: float = DEFAULT_LOAD_S
    settled: bool = True


@attrs.frozen
class Form:
    """Claim hosts and load a group's model on them."""

    group: str
    hosts: tuple[str, ...]


@attrs.frozen
class Drain:
    """Take a replica out of service once its requests have ended."""

    replica: str


@attrs.frozen
class Release:
    """Free the hosts of a replica."""

    replica: str


Move = Form | Drain | Release


class Planner(Protocol):
    """A planner of replicas; does no I/O."""

    def plan(self, facts: PlanInput) -> list[Move]:
        """Return the moves to make now, the most urgent first."""
