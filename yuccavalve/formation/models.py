"""Data classes of replica formation."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from functools import cached_property

import attrs

from yuccavalve.fleet.memberships import Departure
from yuccavalve.formation.const import (
    CLOSE_MARGIN_S,
    FORMING_FACTOR,
    FORMING_MARGIN_S,
)
from yuccavalve.ports.fleet import (
    EngineRecord,
    GroupOrder,
    GroupOrderKind,
    MemberState,
    Membership,
    OrderOutcome,
)
from yuccavalve.routing import ModelProfile, ServiceProfile

__all__ = (
    'FormationInput',
    'FormingReplica',
    'GiveUpReason',
    'ObservedReplica',
    'OrderTask',
    'RetiringReplica',
)


@attrs.frozen
class OrderTask:
    """An order to be given to an engine now."""

    engine: EngineRecord
    order: GroupOrder

    @property
    def may_be_passed_on(self) -> bool:
        """Return whether other daemons may give the order as well.

        Only a head engine has to leave although the planner doesn't reach it.
        Members that it doesn't reach are of no use to it, and their replica
        may turn out to be sound when they return.
        """
        if self.order.kind is not GroupOrderKind.LEAVE:
            return False
        membership = self.engine.membership
        if membership is None or membership.replica != self.order.replica:
            return True
        return not membership.rank


@attrs.frozen
class FormationInput:
    """Observed state that a step of the planner starts from.

    Attributes
    ----------
    engines
        Engines of the service that are listed, by id.
    unlisted
        Engines that the store no longer lists but that may still run, by id.
    withdrawn
        Unlisted engines that removed their own record because they leave.
    leaving_at_s
        Monotonic times at which this daemon first knew that engines leave, by
        engine; those that it never knew otherwise are left out.
    dead
        Engines that did not answer a probe.
    strikes
        Consecutive strikes against head engines, as seen by requests.
    settled
        Whether a missing record shows that its engine has left the list.
        It does not during an outage of the store and shortly after it.
    started
        Whether callers' requests have begun.
    warming
        Models that spares are being warmed for, by engine.
    slow
        Engines that report that they are slow.
    running
        Requests in flight by model, averaged over some seconds.
    in_flight
        Requests in flight at head engines, of all daemons, by engine.
    former_models
        Models that head engines had when they left their replicas, by engine.
        Their records no longer show it, but they still join a replica of the
        same model fastest.
    soon_available
        Number of engines in replicas that are being given up, by fabric
        domain and the model that they hold.
    priority_model
        Model that other replicas were just given up for; it forms first.
    is_view_new
        Whether this daemon has followed the list only for a short time, since
        it started or could not read it for a while.
    unsure
        Listed engines that the store no longer shows. They may be listed again
        soon; until then their records may be out of date.
    evacuated
        Zones whose engines get no new requests. Their replicas are kept, but
        don't count, and their engines are not used for others.
    suspended
        Models whose joins are suspended.
    missing
        Models without a replica, although a domain has the engines for one.
    longest_request_s
        Time after which each request that an engine runs now has ended: the
        longest time-out of the service's routes.
    followed_s
        For how long no engine can have been listed and removed unseen.
    last_heads
        Newest records of replicas' head engines, by replica.
    departures
        Engines that have left a replica and joined none since, by engine.
    """

    service: ServiceProfile
    engines: Mapping[str, EngineRecord]
    unlisted: Mapping[str, EngineRecord] = attrs.field(factory=dict)
    withdrawn: frozenset[str] = frozenset()
    dead: frozenset[str] = frozenset()
    strikes: Mapping[str, int] = attrs.field(factory=dict)
    settled: bool = True
    started: bool = True
    warming: Mapping[str, str] = attrs.field(factory=dict)
    slow: frozenset[str] = frozenset()
    running: Mapping[str, float] = attrs.field(factory=dict)
    in_flight: Mapping[str, int] = attrs.field(factory=dict)
    former_models: Mapping[str, str] = attrs.field(factory=dict)
    soon_available: Mapping[str, Mapping[str, int]] = attrs.field(factory=dict)
    priority_model: str = ''
    is_view_new: bool = False
    unsure: frozenset[str] = frozenset()
    evacuated: frozenset[str] = frozenset()
    suspended: frozenset[str] = frozenset()
    missing: frozenset[str] = frozenset()
    longest_request_s: float = 0
    leaving_at_s: Mapping[str, float] = attrs.field(factory=dict)
    followed_s: float = math.inf
    last_heads: Mapping[str, EngineRecord] = attrs.field(factory=dict)
    departures: Mapping[str, Departure] = attrs.field(factory=dict)

    @property
    def models(self) -> Sequence[ModelProfile]:
        """Return the models of the service."""
        profile = self.service.engine
        return () if profile is None else profile.models

    def is_evacuated(self, engine: str) -> bool:
        """Return whether an engine is in an evacuated zone."""
        if not self.evacuated:
            return False
        record = self.engines.get(engine) or self.unlisted.get(engine)
        return record is not None and record.availability_zone in self.evacuated

    @property
    def close_s(self) -> float:
        """Return the time in which a closing replica ends all its requests."""
        return self.longest_request_s + CLOSE_MARGIN_S

    @property
    def joinable_models(self) -> Sequence[ModelProfile]:
        """Return the models whose joins are not suspended."""
        if not self.suspended:
            return self.models
        return [
            model for model in self.models if model.name not in self.suspended
        ]

    @cached_property
    def domain_sizes(self) -> Mapping[str, int]:
        """Count the engines that are not draining, by fabric domain."""
        return Counter(
            record.fabric_domain
            for record in self.engines.values()
            if not record.draining
        )


@attrs.frozen
class GiveUpReason:
    """Why a replica must be given up.

    Attributes
    ----------
    close_s
        Time in seconds for which it may end the requests that it runs; 0 for
        a replica that stands still.
    is_lost
        Whether it only seems so: the replica may turn out to be sound.
    """

    text: str
    close_s: float = 0
    is_lost: bool = False


@attrs.frozen
class RetiringReplica:
    """A replica whose head engine is ordered to leave.

    An engine that leaves breaks its requests off. The head engine of a replica
    that works is ordered to close first, which ends them.

    Attributes
    ----------
    leave_at_s
        Monotonic time at which it leaves even if requests are running.
    counted_at_s
        Monotonic time from which daemons' updates show all its requests.
    members
        Engines that may join another replica only once the head has left.
    seen_open
        Whether records showed the replica. Otherwise a delayed order to open
        it may still arrive, so only the answer of the head engine to the
        order to leave proves that it has left.
    model
        Name of its model; empty if unknown.
    is_lost
        Whether it was given up because it seemed to stand still.
    """

    replica: str
    epoch: int
    head: str
    members: tuple[str, ...]
    seen_open: bool
    leave_at_s: float = 0
    counted_at_s: float = 0
    model: str = ''
    is_lost: bool = False


@attrs.define(eq=False)
class FormingReplica:
    """A replica that is being formed.

    Attributes
    ----------
    born_ms
        Start times of the members, in the same order. A later one means that
        the engine has restarted.
    ready
        Members that were seen ready in this replica and epoch.
    opened
        Whether an order to open it may have been sent.
    head_joins
        Orders to join that were sent to the head engine.
    head_answers
        How many of them were answered, or were certainly not sent.
    head_begun
        Whether an answer said that the join began with this order.
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
    head_joins: int = 0
    head_answers: int = 0
    head_begun: bool = False

    @classmethod
    def of(
        cls,
        replica: str,
        epoch: int,
        model: ModelProfile,
        records: Sequence[EngineRecord],
        now_s: float,
        expected_s: float,
    ) -> 'FormingReplica':
        """Create a replica that begins to form now.

        Parameters
        ----------
        expected_s
            Time in which its slowest member should join.
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

    def as_retiring(self) -> RetiringReplica:
        """Return the replica as one whose head engine must leave."""
        return RetiringReplica(
            self.replica,
            self.epoch,
            self.head,
            self.members,
            seen_open=False,
            model=self.model.name,
        )

    def record_head_join(self, outcome: OrderOutcome) -> None:
        """Record the outcome of an order to join to the head engine."""
        self.head_answers += outcome is not OrderOutcome.UNKNOWN
        self.head_begun |= outcome is OrderOutcome.BEGUN

    @property
    def may_head_rejoin(self) -> bool:
        """Return whether orders to join may still reach the head engine.

        It has joined already. Unless an answer said with which order, one of
        those without an answer was carried out.
        """
        unanswered = self.head_joins - self.head_answers
        return unanswered > int(not self.head_begun)

    @property
    def head(self) -> str:
        """Return the engine that answers requests."""
        return self.members[0]


@attrs.frozen
class ObservedReplica:
    """A replica as observed in the records of its members.

    Attributes
    ----------
    members
        Memberships by engine.
    head
        The engine of rank 0; empty if no record shows it.
    """

    replica: str
    epoch: int
    members: Mapping[str, Membership]
    head: str = ''

    def as_retiring(
        self,
        leave_at_s: float = 0,
        counted_at_s: float = 0,
        model: str = '',
        *,
        is_lost: bool = False,
    ) -> RetiringReplica:
        """Return the replica as one whose head engine must leave."""
        return RetiringReplica(
            self.replica,
            self.epoch,
            self.head,
            tuple(self.members),
            seen_open=True,
            leave_at_s=leave_at_s,
            counted_at_s=counted_at_s,
            model=model,
            is_lost=is_lost,
        )

    def added_to(self, retiring: RetiringReplica) -> RetiringReplica:
        """Return a retiring replica with the engines that have come back."""
        added = [
            engine for engine in self.members if engine not in retiring.members
        ]
        if not added:
            return retiring
        return attrs.evolve(
            retiring,
            head=retiring.head or self.head,
            members=(*retiring.members, *added),
        )

    @property
    def is_open(self) -> bool:
        """Return whether the head engine takes or still has requests."""
        if not self.head:
            return False
        return self.members[self.head].state in {
            MemberState.OPEN,
            MemberState.CLOSING,
        }
