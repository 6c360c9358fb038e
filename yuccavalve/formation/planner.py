"""Decide the next orders for the engines of every replica.

Engines' records show which replica each engine is in. The planner's own state
holds only orders whose effect the records don't show yet. A planner that takes
over starts without that state: it keeps open replicas, forms those anew whose
members have all joined, and gives up the others.

Three rules ensure that no engine serves in two replicas, even if orders are
carried out late. Each replica has a higher epoch than all before it, and an
engine that has joined a newer one refuses older orders. A replica is opened
only after each member was seen ready in this replica and epoch, and only if no
order to join it can still reach its head engine. Members of a replica join
another only after its head engine was seen to have left, or after the replica
has ended without its word, as ``endings`` decides.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping

import attrs
from absl import logging

from yuccavalve.fleet.const import SHARE_PERIOD_S
from yuccavalve.formation.adopt import adopt_forming
from yuccavalve.formation.const import (
    EPOCHS_PER_TERM,
    ORDER_RETRY_S,
    RECORD_LAG_S,
    SETTLE_S,
    STAGE_RETRY_S,
)
from yuccavalve.formation.endings import (
    ReplicaEndings,
    has_engines,
    has_left_by_record,
    headless_replicas,
)
from yuccavalve.formation.epochs import EpochWatch
from yuccavalve.formation.fences import HeadFences
from yuccavalve.formation.health import ReplicaHealth
from yuccavalve.formation.load_rate import LoadRateLimiter
from yuccavalve.formation.models import (
    FormationInput,
    FormingReplica,
    GiveUpReason,
    ObservedReplica,
    OrderTask,
    RetiringReplica,
)
from yuccavalve.formation.observation import (
    held_model,
    missing_models,
    model_of,
    replicas_of,
    usable_engines,
)
from yuccavalve.formation.rebalance import Rebalancer
from yuccavalve.formation.repairs import Repairs
from yuccavalve.formation.staging import HostStaging
from yuccavalve.formation.starter import ReplicaStarter
from yuccavalve.formation.suspensions import JoinSuspensions
from yuccavalve.ports.fleet import (
    EngineRecord,
    GroupOrder,
    GroupOrderKind,
    MemberState,
    OrderOutcome,
)

__all__ = ('FormationPlanner',)

_MS = 1000
_JOINED_STATES = frozenset((MemberState.READY, MemberState.OPEN))
_WORKING_STATES = frozenset((MemberState.OPEN, MemberState.CLOSING))
_ACCEPTED = frozenset((OrderOutcome.BEGUN, OrderOutcome.DONE))


@attrs.define
class FormationPlanner:
    """Planner of one service's replicas; does no I/O.

    Attributes
    ----------
    health
        Detects open replicas that must be given up.
    endings
        Decides when replicas whose head engines don't answer have ended.
    repairs
        Measures how long models lacked a replica that was given up.
    epochs
        Notices engines' epochs that are above this planner's.
    suspensions
        Models whose joins are suspended because they crash engines.
    forming
        Replicas that are being formed, by name.
    retiring
        Replicas that were given up and have not ended yet, by name.
    replaced_heads
        Records of their head engines.
    """

    health: ReplicaHealth
    endings: ReplicaEndings
    epochs: EpochWatch = attrs.field(factory=EpochWatch)
    repairs: Repairs = attrs.field(factory=Repairs)
    suspensions: JoinSuspensions = attrs.field(factory=JoinSuspensions)
    forming: dict[str, FormingReplica] = attrs.field(factory=dict)
    retiring: dict[str, RetiringReplica] = attrs.field(factory=dict)
    replaced_heads: list[EngineRecord] = attrs.field(factory=list)
    _term: int = 0
    _closed_at_s: dict[str, float] = attrs.field(factory=dict)
    _abandoned: set[str] = attrs.field(factory=set)
    _former_heads: dict[str, tuple[int, str]] = attrs.field(factory=dict)
    _ended_heads: list[str] = attrs.field(factory=list)
    _sent_at_s: dict[tuple[str, str, str], float] = attrs.field(factory=dict)
    _loads: LoadRateLimiter = attrs.field(factory=LoadRateLimiter)
    _starter: ReplicaStarter = attrs.field(init=False)
    _fences: HeadFences = attrs.field(init=False)
    _rebalancer: Rebalancer = attrs.field(init=False)
    _staging: HostStaging = attrs.field(init=False)
    _engines: frozenset[str] = frozenset()
    _engine_added_at_s: float = 0
    _now_s: float = 0

    def __attrs_post_init__(self) -> None:
        """Share one rate limit among all parts that start loads."""
        self._starter = ReplicaStarter(self._loads, self.suspensions)
        self._fences = HeadFences(self._starter)
        self._rebalancer = Rebalancer(self._loads)
        self._staging = HostStaging(self._loads)

    def start_term(self, term: int) -> None:
        """Reset the state for a new term."""
        self._term = term
        self.forming.clear()
        self.retiring.clear()
        self._closed_at_s.clear()
        self._abandoned.clear()
        self._former_heads.clear()
        self.repairs.clear()
        self.endings.clear()
        self._sent_at_s.clear()
        for part in (self.epochs, self._starter, self._fences):
            part.start_term(term)
        self._rebalancer.clear()
        self._staging.clear()

    def step(self, facts: FormationInput, now_s: float) -> list[OrderTask]:
        """Return the orders to send now."""
        self._now_s = now_s
        suspended = self.suspensions.update(facts, now_s)
        facts = attrs.evolve(facts, suspended=suspended)
        self.health.update(facts, now_s)
        self.endings.update(facts, self.retiring.values(), now_s)
        self._record_engines(facts, now_s)
        replicas = replicas_of(facts)
        headless = self._update_replicas(facts, replicas, now_s)
        taken = self._taken(replicas)
        taken.update(
            self.endings.bound_engines(
                facts, headless, self._closed_at_s.keys(), now_s
            )
        )
        counts = self._counts(facts, replicas)
        self._rebalance(facts, replicas, counts, taken)
        warming = self._starter.warmups.models()
        facts = attrs.evolve(
            facts,
            warming=warming,
            missing=missing_models(facts, counts),
            former_models=_former_models(facts, self._former_heads),
            soon_available=_soon_available(facts, self.retiring.values()),
            priority_model=self._rebalancer.priority_model(now_s),
        )
        if facts.started or now_s - self._engine_added_at_s >= SETTLE_S:
            self._form_replicas(facts, replicas, counts, taken)
        tasks = [
            *self._retiring_tasks(facts),
            *self._forming_tasks(facts),
            *self._starter.warmups.tasks(facts, self._term),
            *self._rebalancer.tasks(facts, self._term),
            *self._staging.tasks(facts, self._term, now_s),
        ]
        due = [
            task
            for task in tasks
            if self.suspensions.may_send(task) and self._is_due(task, now_s)
        ]
        self.suspensions.record_orders(due, now_s)
        self.epochs.record_orders(due)
        _count_head_joins(self.forming, due)
        return due

    def _update_replicas(
        self,
        facts: FormationInput,
        replicas: Mapping[str, ObservedReplica],
        now_s: float,
    ) -> list[ObservedReplica]:
        """Adopt, keep, give up and end replicas by what records show.

        Returns
        -------
        list
            Replicas that may be open at a head engine that is not known.
        """
        self._adopt(facts, replicas, now_s)
        self._give_up_forming(facts, replicas, now_s)
        self._keep_sound(facts, replicas)
        self._give_up_unhealthy(facts, replicas, now_s)
        headless = headless_replicas(
            facts,
            (
                replica
                for replica in replicas.values()
                if not replica.head and not self._is_known(replica)
            ),
        )
        for lost in self.endings.lost_replicas(facts, headless, now_s):
            logging.info(
                'event=replica_given_up replica=%s epoch=%d members=%d '
                'reason=%r',
                lost.replica,
                lost.epoch,
                len(lost.members),
                'no record of its head engine',
            )
            self.retiring[lost.replica] = lost.as_retiring()
        for name in self.retiring.keys() & replicas.keys():
            self.retiring[name] = replicas[name].added_to(self.retiring[name])
        self._finish_retiring(facts)
        self.replaced_heads = _head_records(facts, self.retiring)
        return headless

    def record(self, task: OrderTask, outcome: OrderOutcome) -> None:
        """Process the outcome of an order."""
        order = task.order
        self.suspensions.record_outcome(task, outcome)
        self.epochs.record(task, outcome)
        self._fences.record(order, outcome)
        forming = _joined_by_head(self.forming, task)
        if forming is not None:
            forming.record_head_join(outcome)
        if order.kind is GroupOrderKind.LEAVE:
            is_head = self.endings.record(
                order.replica, task.engine.engine, outcome
            )
            if is_head and outcome in _ACCEPTED:
                self._closed_at_s[order.replica] = self._now_s
        replica = self.forming.get(order.replica)
        refused = outcome in {OrderOutcome.FENCED, OrderOutcome.OTHER_ENGINE}
        if replica is not None and refused:
            self._abandon(replica, f'order {order.kind} was answered {outcome}')

    def take_ended_heads(self) -> list[str]:
        """Return the heads of replicas that have ended since the last call.

        A record that the store no longer lists still shows them as open.
        """
        ended_heads = self._ended_heads
        self._ended_heads = []
        return ended_heads

    def _record_engines(self, facts: FormationInput, now_s: float) -> None:
        engines = frozenset(facts.engines)
        if not engines <= self._engines:
            self._engine_added_at_s = now_s
        self._engines = engines

    def _adopt(
        self,
        facts: FormationInput,
        replicas: Mapping[str, ObservedReplica],
        now_s: float,
    ) -> None:
        """Continue to form replicas that an earlier planner began.

        A replica that this planner has abandoned is left out: its members may
        have been ordered into another one since, and would join that while
        the abandoned one is open.
        """
        forming_members = {
            engine
            for forming in self.forming.values()
            for engine in forming.members
        }
        for replica in replicas.values():
            name = replica.replica
            if self._is_in_transition(name) or name in self._abandoned:
                continue
            if not forming_members.isdisjoint(replica.members):
                continue
            forming = adopt_forming(facts, replica, now_s)
            if forming is not None:
                self.forming[replica.replica] = forming

    def _give_up_forming(
        self,
        facts: FormationInput,
        replicas: Mapping[str, ObservedReplica],
        now_s: float,
    ) -> None:
        serving = self._serving_elsewhere(replicas)
        for replica in list(self.forming.values()):
            reason = _forming_fault(facts, replica, serving, now_s)
            if reason:
                self._abandon(replica, reason)

    def _serving_elsewhere(
        self, replicas: Mapping[str, ObservedReplica]
    ) -> set[str]:
        """Return members of open replicas that other planners formed."""
        return {
            engine
            for replica in replicas.values()
            if replica.is_open and not self._is_in_transition(replica.replica)
            for engine in replica.members
        }

    def _abandon(self, replica: FormingReplica, reason: str) -> None:
        """Abandon a forming replica; retire it first if it may be open."""
        logging.info(
            'event=replica_abandoned replica=%s epoch=%d ready=%d size=%d '
            'reason=%r',
            replica.replica,
            replica.epoch,
            len(replica.ready),
            len(replica.members),
            reason,
        )
        self.forming.pop(replica.replica, None)
        self._abandoned.add(replica.replica)
        if replica.opened:
            self.retiring[replica.replica] = replica.as_retiring()

    def _give_up_unhealthy(
        self,
        facts: FormationInput,
        replicas: Mapping[str, ObservedReplica],
        now_s: float,
    ) -> None:
        spares = usable_engines(facts, self._taken(replicas))
        for replica in replicas.values():
            if self._is_in_transition(replica.replica) or not replica.head:
                continue
            reason = self.health.reason(facts, replica, spares, now_s)
            if reason is not None:
                self._give_up(facts, replica, reason)

    def _keep_sound(
        self, facts: FormationInput, replicas: Mapping[str, ObservedReplica]
    ) -> None:
        """Keep replicas that seemed lost and are sound after all."""
        whole = [
            retiring
            for retiring in self.retiring.values()
            if self.endings.may_return_sound(facts, retiring)
            and _are_listed(facts, retiring, replicas.get(retiring.replica))
        ]
        for retiring in whole:
            replica = replicas[retiring.replica]
            if self.health.reason(facts, replica, {}, self._now_s) is None:
                logging.info(
                    'event=replica_kept replica=%s epoch=%d head=%s',
                    replica.replica,
                    replica.epoch,
                    replica.head,
                )
                self.retiring.pop(retiring.replica)
                self.endings.record_kept(retiring.replica)
                self.repairs.record_kept(retiring.model)

    def _is_known(self, replica: ObservedReplica) -> bool:
        """Return whether this planner handles, ended or never opened it."""
        name = replica.replica
        if name in self._closed_at_s or self._is_in_transition(name):
            return True
        is_own = replica.epoch // EPOCHS_PER_TERM == self._term
        return is_own and name in self._abandoned

    def _is_in_transition(self, replica: str) -> bool:
        """Return whether a replica is forming, retiring or just closed."""
        return (
            replica in self.forming
            or replica in self.retiring
            or self._has_recently_closed(replica)
        )

    def _has_recently_closed(self, replica: str) -> bool:
        """Return whether records may still show a replica that has closed.

        If a record shows it later than that, a delayed order made an engine
        join it again.
        """
        closed_at_s = self._closed_at_s.get(replica, float('-inf'))
        return self._now_s - closed_at_s < RECORD_LAG_S

    def _finish_retiring(self, facts: FormationInput) -> None:
        for replica in list(self.retiring.values()):
            if not has_engines(facts, replica):
                # If some come back, their records show the replica again.
                logging.info('event=replica_gone replica=%s', replica.replica)
                self.retiring.pop(replica.replica)
                continue
            proof = self.endings.proof(facts, replica, self._now_s)
            if not proof and self._has_left(facts, replica):
                proof = 'head left'
            if proof:
                logging.info(
                    'event=replica_ended replica=%s head=%s proof=%r',
                    replica.replica,
                    replica.head,
                    proof,
                )
                self.retiring.pop(replica.replica)
                self.endings.record_ended(replica.replica)
                self._closed_at_s[replica.replica] = self._now_s
                if replica.head:
                    self._ended_heads.append(replica.head)

    def _has_left(
        self, facts: FormationInput, replica: RetiringReplica
    ) -> bool:
        """Return whether a head engine left and no order can undo it."""
        has_left = self._has_recently_closed(
            replica.replica
        ) or has_left_by_record(facts, replica)
        return has_left and not self._fences.is_needed(facts, replica)

    def _taken(self, replicas: Mapping[str, ObservedReplica]) -> set[str]:
        """Return the engines of replicas that may serve, now or later."""
        taken: set[str] = set()
        for forming in self.forming.values():
            taken.update(forming.members)
        for retiring in self.retiring.values():
            taken.update(retiring.members)
        for replica in replicas.values():
            has_closed = self._has_recently_closed(replica.replica)
            if replica.is_open and not has_closed:
                taken.update(replica.members)
        return taken

    def _rebalance(
        self,
        facts: FormationInput,
        replicas: Mapping[str, ObservedReplica],
        counts: Mapping[str, int],
        taken: set[str],
    ) -> None:
        """Give up replicas whose engines another model needs more."""
        if self._rebalancer.is_waiting(self.retiring, self._now_s):
            return
        usable = usable_engines(facts, taken)
        serving = {
            name: replica
            for name, replica in replicas.items()
            if not self._is_in_transition(name)
        }
        donors = self._rebalancer.step(
            facts,
            serving,
            usable,
            counts,
            self._now_s,
        )
        for donor in donors:
            self._give_up(
                facts,
                replicas[donor],
                GiveUpReason('another model needs its engines', facts.close_s),
            )

    def _give_up(
        self,
        facts: FormationInput,
        replica: ObservedReplica,
        reason: GiveUpReason,
    ) -> None:
        model = model_of(facts, replica)
        head = facts.engines.get(replica.head)
        self.repairs.record_lost(
            '' if model is None else model.name, self._now_s
        )
        if model is not None and head is not None:
            self._former_heads[replica.head] = (head.born_ms, model.name)
        logging.info(
            'event=replica_given_up replica=%s epoch=%d head=%s members=%d '
            'requests=%d close_ms=%d reason=%r',
            replica.replica,
            replica.epoch,
            replica.head,
            len(replica.members),
            facts.in_flight.get(replica.head, 0),
            reason.close_s * _MS,
            reason.text,
        )
        self.retiring[replica.replica] = replica.as_retiring(
            leave_at_s=self._now_s + reason.close_s,
            counted_at_s=self._now_s + 2 * SHARE_PERIOD_S,
            model='' if model is None else model.name,
            is_lost=reason.is_lost,
        )

    def _form_replicas(
        self,
        facts: FormationInput,
        replicas: Mapping[str, ObservedReplica],
        counts: dict[str, int],
        taken: set[str],
    ) -> None:
        """Start forming replicas and warming engines for the next ones."""
        starter = self._starter
        for forming in starter.form(facts, counts, taken, self._now_s):
            self.forming[forming.replica] = forming
        starter.warm(facts, replicas, counts, taken, self._now_s)

    def _counts(
        self,
        facts: FormationInput,
        replicas: Mapping[str, ObservedReplica],
    ) -> dict[str, int]:
        profile = facts.service.engine
        counts = {model.name: 0 for model in profile.models} if profile else {}
        for forming in self.forming.values():
            if not facts.is_evacuated(forming.head):
                counts[forming.model.name] += 1
        serving = [
            replica
            for name, replica in replicas.items()
            if replica.is_open and not self._is_in_transition(name)
        ]
        for replica in serving:
            model = model_of(facts, replica)
            if model is not None and not facts.is_evacuated(replica.head):
                counts[model.name] += 1
        return counts

    def _retiring_tasks(self, facts: FormationInput) -> Iterator[OrderTask]:
        """Yield the orders to head engines, and to members of silent ones."""
        for replica in self.retiring.values():
            head = facts.engines.get(replica.head) or facts.unlisted.get(
                replica.head,
            )
            kind: GroupOrderKind | None = GroupOrderKind.LEAVE
            if head is not None and not self.endings.is_spared(
                facts, replica, self._now_s
            ):
                order = self._retiring_order(facts, replica, head)
                kind = None if order is None else order.kind
                if order is not None:
                    yield OrderTask(head, order)
            if kind is GroupOrderKind.LEAVE:
                yield from self.endings.member_tasks(
                    facts, replica, self._term, self._now_s
                )

    def _retiring_order(
        self,
        facts: FormationInput,
        replica: RetiringReplica,
        head: EngineRecord,
    ) -> GroupOrder | None:
        """Return the order to a head engine: to close, leave or be fenced.

        A replica that began to form before records showed this one may have
        the same engine as a member. Its own epoch fences the engine then.
        """
        kind = GroupOrderKind.LEAVE
        if self._has_to_close(facts, replica, head):
            if _is_closing(head):
                return None
            kind = GroupOrderKind.CLOSE
        elif not any(
            replica.head in forming.members for forming in self.forming.values()
        ):
            fence = self._fences.order(
                facts, replica, self._closed_at_s, self._now_s
            )
            if fence is not None:
                return fence
        return GroupOrder(kind, replica.replica, replica.epoch, term=self._term)

    def _has_to_close(
        self,
        facts: FormationInput,
        replica: RetiringReplica,
        head: EngineRecord,
    ) -> bool:
        """Return whether a replica is to end its requests before it leaves.

        The record of an engine that is no longer listed doesn't change, so
        the requests that daemons have there are counted instead.
        """
        serves_until_s = self.health.serves_until_s(replica.head)
        if self._now_s >= min(replica.leave_at_s, serves_until_s):
            return False
        if self.health.standstill(
            facts, replica.head, replica.members, self._now_s
        ):
            return False
        if replica.head not in facts.engines:
            is_counted = self._now_s >= replica.counted_at_s
            return not is_counted or facts.in_flight.get(replica.head, 0) > 0
        membership = head.membership
        return (
            membership is not None
            and membership.epoch == replica.epoch
            and membership.state in _WORKING_STATES
        )

    def _forming_tasks(self, facts: FormationInput) -> Iterator[OrderTask]:
        for forming in list(self.forming.values()):
            records = [
                facts.engines.get(engine) or facts.unlisted[engine]
                for engine in forming.members
            ]
            _record_ready(forming, records)
            head = records[0].membership
            opened = head is not None and head.state is MemberState.OPEN
            if opened and head.epoch == forming.epoch:
                self._record_open(forming)
            elif len(forming.ready) == len(forming.members):
                yield from self._open_tasks(forming, records)
            else:
                yield from _join_tasks(forming, records, self._term)

    def _record_open(self, forming: FormingReplica) -> None:
        self.forming.pop(forming.replica)
        repaired_s = self.repairs.record_open(
            forming.model.name,
            self._now_s,
        )
        logging.info(
            'event=replica_open replica=%s model=%s forming_ms=%d '
            'repaired_ms=%d',
            forming.replica,
            forming.model.name,
            (self._now_s - forming.began_at_s) * _MS,
            (repaired_s or 0) * _MS,
        )

    def _open_tasks(
        self, forming: FormingReplica, records: list[EngineRecord]
    ) -> Iterator[OrderTask]:
        """Yield the order to open a replica whose members are ready.

        It is not opened while orders without an answer may end it or open it
        again later. These are orders to join it to its head engine, and any by
        an earlier planner, which may have ordered members elsewhere since. The
        members then form another one, and its epoch fences these orders.
        """
        is_own = forming.epoch // EPOCHS_PER_TERM == self._term
        if is_own and (forming.opened or not forming.may_head_rejoin):
            forming.opened = True
            yield _task(records[0], forming, GroupOrderKind.OPEN, self._term)
        elif is_own:
            renewed = self._starter.renew(forming, records, self._now_s)
            self._abandon(forming, 'its head engine may join again late')
            self.forming[renewed.replica] = renewed
            yield from _join_tasks(renewed, records, self._term)
        else:
            # An earlier planner may have ordered it to open.
            self._abandon(forming, 'an earlier planner formed it')

    def _is_due(self, task: OrderTask, now_s: float) -> bool:
        """Return whether to send an order, and record that it is sent.

        An order that was sent a short time ago is not repeated yet.
        """
        order = task.order
        subject = order.replica or order.model
        key = (task.engine.engine, order.kind.value, subject)
        retry_s = ORDER_RETRY_S
        if order.kind is GroupOrderKind.STAGE:
            retry_s = STAGE_RETRY_S
        if now_s - self._sent_at_s.get(key, float('-inf')) < retry_s:
            return False
        self._sent_at_s[key] = now_s
        return True


def _join_tasks(
    forming: FormingReplica, records: list[EngineRecord], term: int
) -> Iterator[OrderTask]:
    for record in records:
        membership = record.membership
        if membership is None or membership.epoch != forming.epoch:
            yield _task(record, forming, GroupOrderKind.JOIN, term)


def _task(
    record: EngineRecord,
    forming: FormingReplica,
    kind: GroupOrderKind,
    term: int,
) -> OrderTask:
    return OrderTask(
        record,
        GroupOrder(
            kind,
            forming.replica,
            forming.epoch,
            forming.model.name,
            forming.members,
            term,
        ),
    )


def _count_head_joins(
    forming_replicas: Mapping[str, FormingReplica],
    tasks: Iterable[OrderTask],
) -> None:
    for task in tasks:
        forming = _joined_by_head(forming_replicas, task)
        if forming is not None:
            forming.head_joins += 1


def _joined_by_head(
    forming_replicas: Mapping[str, FormingReplica], task: OrderTask
) -> FormingReplica | None:
    """Return the forming replica that an order has its head join."""
    forming = forming_replicas.get(task.order.replica)
    is_join = task.order.kind is GroupOrderKind.JOIN
    if forming is None or not is_join:
        return None
    return forming if forming.head == task.engine.engine else None


def _is_closing(record: EngineRecord) -> bool:
    membership = record.membership
    return membership is not None and membership.state is MemberState.CLOSING


def _head_records(
    facts: FormationInput, retiring: Mapping[str, RetiringReplica]
) -> list[EngineRecord]:
    """Return the records of head engines that are still in their replica."""
    records = (
        facts.engines.get(replica.head) or facts.unlisted.get(replica.head)
        for replica in retiring.values()
    )
    return [
        record
        for record in records
        if record is not None
        and record.membership is not None
        and record.membership.replica in retiring
    ]


def _are_listed(
    facts: FormationInput,
    retiring: RetiringReplica,
    replica: ObservedReplica | None,
) -> bool:
    """Return whether the store lists all members, in their replica."""
    if replica is None or not replica.head:
        return False
    listed = facts.engines.keys() - facts.unsure
    return set(retiring.members) <= replica.members.keys() <= listed


def _former_models(
    facts: FormationInput,
    former_heads: Mapping[str, tuple[int, str]],
) -> dict[str, str]:
    """Return the models of head engines that left and have not restarted."""
    return {
        engine: model
        for engine, (born_ms, model) in former_heads.items()
        if engine in facts.engines and facts.engines[engine].born_ms == born_ms
    }


def _soon_available(
    facts: FormationInput,
    retiring_replicas: Iterable[RetiringReplica],
) -> dict[str, Counter[str]]:
    """Count the engines of replicas that are being given up."""
    soon_available: dict[str, Counter[str]] = defaultdict(Counter)
    for replica in retiring_replicas:
        for engine in replica.members:
            record = facts.engines.get(engine)
            if record is not None and engine not in facts.dead:
                held = held_model(facts, record)
                soon_available[record.fabric_domain][held] += 1
    return soon_available


def _forming_fault(
    facts: FormationInput,
    replica: FormingReplica,
    serving: set[str],
    now_s: float,
) -> str:
    """Return why a forming replica must be abandoned, or an empty string.

    One that may be open already is kept in an evacuated zone, like those that
    serve.
    """
    lost = _lost_reason(facts, replica, serving)
    if lost:
        return lost
    if now_s > replica.give_up_at_s:
        return 'forming timed out'
    if facts.is_evacuated(replica.head) and not replica.opened:
        return 'zone is evacuated'
    return ''


def _lost_member(facts: FormationInput, replica: FormingReplica) -> str:
    for engine, born_ms in zip(
        replica.members,
        replica.born_ms,
        strict=True,
    ):
        record = facts.engines.get(engine) or facts.unlisted.get(engine)
        is_same_start = record is not None and record.born_ms == born_ms
        is_leaving = is_same_start and (
            record.draining or engine in facts.withdrawn
        )
        if not is_same_start or is_leaving or engine in facts.dead:
            return engine
    return ''


def _lost_reason(
    facts: FormationInput, replica: FormingReplica, serving: set[str]
) -> str:
    """Return why a forming replica can no longer be opened, if so."""
    lost = _lost_member(facts, replica)
    if lost:
        return f'member {lost} is lost'
    elsewhere = serving.intersection(replica.members)
    if elsewhere:
        return f'member {min(elsewhere)} is serving'
    is_suspended = replica.model.name in facts.suspended
    if is_suspended and not _has_joined(facts, replica):
        return 'joins of the model are suspended'
    return ''


def _has_joined(facts: FormationInput, replica: FormingReplica) -> bool:
    """Return whether all members have joined, perhaps without being ready."""
    memberships = [
        facts.engines[engine].membership
        for engine in replica.members
        if engine in facts.engines
    ]
    joined = sum(
        membership is not None and membership.epoch == replica.epoch
        for membership in memberships
    )
    return joined == len(replica.members)


def _record_ready(
    forming: FormingReplica,
    records: list[EngineRecord],
) -> None:
    for record in records:
        membership = record.membership
        if membership is None or membership.epoch != forming.epoch:
            continue
        if membership.state in _JOINED_STATES:
            forming.ready.add(record.engine)
