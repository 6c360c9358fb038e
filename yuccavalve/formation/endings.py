"""Decide when the replica of a head engine that doesn't answer has ended.

Silence proves nothing: a head engine that neither the store nor any daemon
reaches may serve on. Its replica has ended once another engine answers at its
address, or once a member has left it for as long as a replica without a member
takes to break.
"""

import math
from collections.abc import Collection, Iterable, Iterator

import attrs

from yuccavalve.fleet.const import RELIST_GRACE_S
from yuccavalve.fleet.memberships import Departure
from yuccavalve.formation.const import LINGER_S, RECORD_LAG_S
from yuccavalve.formation.models import (
    FormationInput,
    ObservedReplica,
    OrderTask,
    RetiringReplica,
)
from yuccavalve.formation.observation import is_standby
from yuccavalve.ports.fleet import (
    EngineRecord,
    GroupOrder,
    GroupOrderKind,
    MemberState,
    OrderOutcome,
)

__all__ = (
    'ReplicaEndings',
    'has_engines',
    'has_left_by_record',
    'headless_replicas',
)

_NO_ANSWER = frozenset(
    (OrderOutcome.NOT_REACHED, OrderOutcome.UNKNOWN, OrderOutcome.SILENT)
)
_LEFT = frozenset(
    (OrderOutcome.BEGUN, OrderOutcome.DONE, OrderOutcome.OTHER_ENGINE)
)


@attrs.define
class ReplicaEndings:
    """What orders to leave show of replicas that are given up.

    Attributes
    ----------
    stall_s
        Time after which a replica that has lost a member breaks.
    """

    stall_s: float
    _began_at_s: float = math.inf
    _replaced: set[str] = attrs.field(factory=set)
    _ended: set[str] = attrs.field(factory=set)
    _unanswered: set[str] = attrs.field(factory=set)
    _unreached: set[str] = attrs.field(factory=set)
    _ordered: set[tuple[str, str]] = attrs.field(factory=set)
    _confirmed: set[tuple[str, str]] = attrs.field(factory=set)
    _left_at_s: dict[str, dict[str, float]] = attrs.field(factory=dict)
    _headless_at_s: dict[str, float] = attrs.field(factory=dict)
    _answered_at_s: dict[str, float] = attrs.field(factory=dict)
    _refused_at_s: dict[str, float] = attrs.field(factory=dict)
    _refusing: set[str] = attrs.field(factory=set)

    def clear(self) -> None:
        """Forget all answers."""
        self._began_at_s = math.inf
        for answers in (
            self._replaced,
            self._ended,
            self._unanswered,
            self._unreached,
            self._ordered,
            self._confirmed,
            self._refusing,
        ):
            answers.clear()
        self._left_at_s.clear()
        self._headless_at_s.clear()
        self._refused_at_s.clear()
        self._answered_at_s.clear()

    def update(
        self,
        facts: FormationInput,
        retiring: Iterable[RetiringReplica],
        now_s: float,
    ) -> None:
        """Record since when the members that have confirmed it are out.

        Answers are counted from the step after them, which is never before
        the engine left, even if this daemon was paused meanwhile. A member
        whose record shows it in the replica later on has joined it again by a
        late order.
        """
        self._began_at_s = min(self._began_at_s, now_s)
        for replica, engine in self._confirmed:
            self._left_at_s.setdefault(replica, {}).setdefault(engine, now_s)
        self._confirmed.clear()
        self._refused_at_s = {
            name: self._refused_at_s.get(name, now_s) for name in self._refusing
        }
        self._answered_at_s = {
            each.replica: self._answered_at_s.get(each.replica, now_s)
            for each in retiring
            if each.replica in self._unreached and each.head not in facts.dead
        }
        for replica, left_at_s in self._left_at_s.items():
            for engine, at_s in list(left_at_s.items()):
                record = facts.engines.get(engine)
                is_recent = now_s - at_s < RECORD_LAG_S
                if not is_recent and _replica_of(record) == replica:
                    left_at_s.pop(engine)

    def record(self, replica: str, engine: str, outcome: OrderOutcome) -> bool:
        """Record the outcome of an order to leave.

        Returns
        -------
        bool
            Whether it was given to the head engine.
        """
        if (replica, engine) in self._ordered:
            if outcome in _LEFT:
                self._confirmed.add((replica, engine))
            return False
        self._refusing.discard(replica)
        if outcome is OrderOutcome.NOT_REACHED:
            self._refusing.add(replica)
        if outcome is OrderOutcome.OTHER_ENGINE:
            self._replaced.add(replica)
        if outcome in _NO_ANSWER:
            self._unanswered.add(replica)
            if outcome is OrderOutcome.SILENT:
                self._unreached.add(replica)
        else:
            self._unanswered.discard(replica)
            self._unreached.discard(replica)
        return True

    def record_kept(self, replica: str) -> None:
        """Forget the missing answers of a replica that serves after all."""
        self._unanswered.discard(replica)
        self._unreached.discard(replica)

    def record_ended(self, replica: str) -> None:
        """Forget what showed that a replica has ended.

        If its head engine returns, only its own word frees that engine.
        """
        self._ended.add(replica)
        self._replaced.discard(replica)
        self._left_at_s.pop(replica, None)

    def proof(
        self, facts: FormationInput, replica: RetiringReplica, now_s: float
    ) -> str:
        """Return what proves that a replica has ended, or an empty string.

        The word of its head engine is not looked at here.
        """
        if replica.replica in self._replaced:
            return 'another engine at its address'
        if replica.replica in self._ended:
            is_known = replica.head in facts.engines.keys() | facts.unlisted
            return '' if is_known else 'members left'
        out_at_s = [
            *self._left_at_s.get(replica.replica, {}).values(),
            *(
                departure.at_s
                for departure in facts.departures.values()
                if departure.replica == replica.replica and departure.rank
            ),
        ]
        if not out_at_s or now_s - min(out_at_s) < self.stall_s:
            return ''
        return 'members left'

    def may_return_sound(
        self, facts: FormationInput, replica: RetiringReplica
    ) -> bool:
        """Return whether a lost replica may be sound when its head returns.

        That is so while its head engine has left an order to leave unanswered
        and no member is known to have left.
        """
        if not replica.is_lost or self._left_at_s.get(replica.replica):
            return False
        if replica.replica not in self._unanswered:
            return False
        return all(
            departure.replica != replica.replica
            for departure in facts.departures.values()
        )

    def is_spared(
        self, facts: FormationInput, replica: RetiringReplica, now_s: float
    ) -> bool:
        """Return whether a lost head engine isn't ordered to leave now.

        Where no daemon reached it and no member has left, the replica is kept
        if it is whole once the head engine is listed again.
        """
        if replica.replica not in self._unreached:
            return False
        answered_at_s = self._answered_at_s.get(replica.replica, now_s)
        is_relisted_soon = now_s - answered_at_s < RELIST_GRACE_S
        return is_relisted_soon and self.may_return_sound(facts, replica)

    def member_tasks(
        self,
        facts: FormationInput,
        replica: RetiringReplica,
        term: int,
        now_s: float,
    ) -> Iterator[OrderTask]:
        """Yield orders to leave for the members of a silent head engine.

        Members that are dead needn't leave once another one has.
        """
        if not self._is_silent(facts, replica):
            return
        has_answered = replica.replica in self._answered_at_s
        if has_answered and self.is_spared(facts, replica, now_s):
            return
        if self._ends_requests(facts, replica, now_s):
            return
        left = self._left_at_s.get(replica.replica, {})
        order = GroupOrder(
            GroupOrderKind.LEAVE, replica.replica, replica.epoch, term=term
        )
        skipped = {replica.head, *left}
        if left:
            skipped.update(facts.dead)
        for engine in replica.members:
            record = facts.engines.get(engine) or facts.unlisted.get(engine)
            if engine in skipped or _replica_of(record) != replica.replica:
                continue
            self._ordered.add((replica.replica, engine))
            yield OrderTask(record, order)

    def _ends_requests(
        self, facts: FormationInput, replica: RetiringReplica, now_s: float
    ) -> bool:
        """Return whether a leaving head that is deaf may still work."""
        head = replica.head
        record = facts.engines.get(head) or facts.unlisted.get(head)
        is_leaving = head in facts.withdrawn or (
            record is not None and record.draining
        )
        if not is_leaving or not facts.in_flight.get(head, 0):
            return False
        if replica.replica not in self._unanswered:
            return True
        refused_at_s = self._refused_at_s.get(replica.replica, now_s)
        is_refusing = replica.replica in self._refusing
        return is_refusing and now_s - refused_at_s < LINGER_S

    def _is_silent(
        self, facts: FormationInput, replica: RetiringReplica
    ) -> bool:
        """Return whether a head engine may not answer any more."""
        head = replica.head
        if replica.replica in self._unanswered or head in facts.dead:
            return True
        return head not in facts.engines and head not in facts.unlisted

    def bound_engines(
        self,
        facts: FormationInput,
        headless: Iterable[ObservedReplica],
        ended: Collection[str],
        now_s: float,
    ) -> set[str]:
        """Return engines whose present or last replica may still be open.

        A planner that takes over does not know what the last one waited for.

        Parameters
        ----------
        headless
            Replicas that may be open at a head engine that is not known.
        ended
            Replicas that have certainly ended.
        """
        bound = {engine for replica in headless for engine in replica.members}
        bound.update(
            engine
            for engine, departure in facts.departures.items()
            if now_s - departure.at_s < self.stall_s
            and departure.replica not in ended
            and not self._is_free(facts, departure)
        )
        if facts.followed_s < self.stall_s:
            # Engines that this daemon may not have seen leave.
            bound.update(
                record.engine
                for record in facts.engines.values()
                if record.membership is None and record.staged
            )
        return bound

    def _is_free(self, facts: FormationInput, departure: Departure) -> bool:
        """Return whether nothing binds an engine that left a replica.

        Between two readings a spare may have joined a replica and left it, and
        a planner that takes over knows of no replica that ended before.
        """
        if is_standby(departure.replica):
            return False
        if not departure.rank:
            return True
        if departure.at_s <= self._began_at_s:
            return False
        return _has_head_left(facts, departure.replica, departure.epoch)

    def lost_replicas(
        self,
        facts: FormationInput,
        headless: Iterable[ObservedReplica],
        now_s: float,
    ) -> list[ObservedReplica]:
        """Return replicas whose head engine has been unknown for long.

        Parameters
        ----------
        headless
            Replicas that may be open at a head engine that is not known.
        """
        self._headless_at_s = {
            replica.replica: self._headless_at_s.get(replica.replica, now_s)
            for replica in headless
        }
        if facts.is_view_new:
            return []
        return [
            replica
            for replica in headless
            if now_s - self._headless_at_s[replica.replica] >= RECORD_LAG_S
        ]


def headless_replicas(
    facts: FormationInput, replicas: Iterable[ObservedReplica]
) -> list[ObservedReplica]:
    """Return which replicas may be open at a head engine that is not known.

    It may have left the list before this daemon followed it, and still serve.
    A replica is opened only once all of its members have joined.

    Parameters
    ----------
    replicas
        Replicas of which no record shows the head engine.
    """
    return [
        replica
        for replica in replicas
        if not any(
            membership.state is MemberState.JOINING
            for membership in replica.members.values()
        )
        and not _has_head_left(facts, replica.replica, replica.epoch)
    ]


def has_engines(facts: FormationInput, replica: RetiringReplica) -> bool:
    """Return whether any engine of a replica is known, listed or not."""
    engines = {replica.head, *replica.members}
    return not (
        engines.isdisjoint(facts.engines) and engines.isdisjoint(facts.unlisted)
    )


def has_left_by_record(facts: FormationInput, replica: RetiringReplica) -> bool:
    """Return whether a head engine's record shows that it left its replica."""
    record = facts.engines.get(replica.head)
    if record is None or not replica.seen_open:
        return False
    membership = record.membership
    return membership is None or membership.epoch != replica.epoch


def _has_head_left(facts: FormationInput, replica: str, epoch: int) -> bool:
    """Return whether a head engine's record shows that it left a replica."""
    last = facts.last_heads.get(replica)
    record = None if last is None else facts.engines.get(last.engine)
    if record is None or record.engine in facts.unsure:
        return False
    membership = record.membership
    return membership is None or membership.epoch != epoch


def _replica_of(record: EngineRecord | None) -> str:
    if record is None or record.membership is None:
        return ''
    return record.membership.replica
