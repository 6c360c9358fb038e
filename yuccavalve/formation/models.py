"""Data classes of forming replicas."""

from collections.abc import Mapping, Sequence

import attrs

from yuccavalve.formation.const import FORMING_FACTOR, FORMING_MARGIN_S
from yuccavalve.ports.fleet import (
    EngineRecord,
    GroupOrder,
    Membership,
    MemberState,
)
from yuccavalve.routing import ModelProfile, ServiceProfile

__all__ = (
    'Ending',
    'FormationInput',
    'Forming',
    'OrderTask',
    'ReplicaFacts',
)


@attrs.frozen
class OrderTask:
    """An order to be given to an engine now."""

    engine: EngineRecord
    order: GroupOrder


@attrs.frozen
class FormationInput:
    """What the planner sees at a step.

    Attributes
    ----------
    engines
        Engines of the service that are listed, by id.
    unlisted
        Engines that the store lists no more and that may still run, by id.
    departed
        Those of them that took their record away, and so leave.
    dead
        Engines that did not answer a probe.
    strikes
        How often in a row first engines stood still, as requests show.
    settled
        Whether an engine that is not listed is surely gone.
    started
        Whether callers' requests have begun.
    warming
        Models that spares are being warmed for, by engine.
    slow
        Engines whose reports say that they are slow.
    running
        Requests under way by model, averaged over some seconds.
    retired
        Models that first engines had as they left their replicas, by engine;
        their records tell no model any more, but they still join one of the
        same model fastest.
    returning
        Engines of replicas that are ending, by fabric domain and the model
        that they hold.
    favoured
        Model that engines were just given up for, which forms first.
    newcomer
        Whether this daemon has known the list only for a short time.
    """

    service: ServiceProfile
    engines: Mapping[str, EngineRecord]
    unlisted: Mapping[str, EngineRecord] = attrs.field(factory=dict)
    departed: frozenset[str] = frozenset()
    dead: frozenset[str] = frozenset()
    strikes: Mapping[str, int] = attrs.field(factory=dict)
    settled: bool = True
    started: bool = True
    warming: Mapping[str, str] = attrs.field(factory=dict)
    slow: frozenset[str] = frozenset()
    running: Mapping[str, float] = attrs.field(factory=dict)
    retired: Mapping[str, str] = attrs.field(factory=dict)
    returning: Mapping[str, Mapping[str, int]] = attrs.field(factory=dict)
    favoured: str = ''
    newcomer: bool = False

    @property
    def models(self) -> Sequence[ModelProfile]:
        """Return the models of the service."""
        profile = self.service.engine
        return () if profile is None else profile.models


@attrs.frozen
class Ending:
    """A replica whose first engine is told to leave.

    Attributes
    ----------
    members
        Engines that may join another replica only once it has left.
    seen_open
        Whether its record showed the replica. Otherwise an order to open
        may still come, so only its answer proves that it has left.
    """

    replica: str
    epoch: int
    head: str
    members: tuple[str, ...]
    seen_open: bool


@attrs.define(eq=False)
class Forming:
    """A replica on its way to serving.

    Attributes
    ----------
    born_ms
        Starts of the members that were ordered, in their order.
    ready
        Members that were seen ready under this name and epoch.
    """

    replica: str
    epoch: int
    model: ModelProfile
    members: tuple[str, ...]
    born_ms: tuple[int, ...]
    began_at_s: float
    give_up_at_s: float
    ready: set[str] = attrs.field(factory=set)
    opened: bool = False

    @classmethod
    def of(
        cls,
        replica: str,
        epoch: int,
        model: ModelProfile,
        records: Sequence[EngineRecord],
        now_s: float,
        expected_s: float,
    ) -> 'Forming':
        """Return a replica that begins to form now.

        Parameters
        ----------
        expected_s
            Time that its slowest member takes to join.
        """
        limit_s = expected_s * FORMING_FACTOR + FORMING_MARGIN_S
        return cls(
            replica,
            epoch,
            model,
            tuple(record.engine for record in records),
            tuple(record.born_ms for record in records),
            began_at_s=now_s,
            give_up_at_s=now_s + limit_s,
        )

    def ending(self) -> Ending:
        """Return the replica as one that is to be left."""
        return Ending(
            self.replica,
            self.epoch,
            self.head,
            self.members,
            seen_open=False,
        )

    @property
    def head(self) -> str:
        """Return the engine that answers requests."""
        return self.members[0]


@attrs.frozen
class ReplicaFacts:
    """A replica as its members' records show it.

    Attributes
    ----------
    members
        Memberships by engine.
    head
        The engine of rank 0; empty when none is known.
    """

    replica: str
    epoch: int
    members: Mapping[str, Membership]
    head: str = ''

    def ending(self) -> Ending:
        """Return the replica as one that is to be left."""
        return Ending(
            self.replica,
            self.epoch,
            self.head,
            tuple(self.members),
            seen_open=True,
        )

    @property
    def is_open(self) -> bool:
        """Tell whether the first engine takes or still has requests."""
        if not self.head:
            return False
        return self.members[self.head].state in {
            MemberState.OPEN,
            MemberState.CLOSING,
        }
