"""Fence orders of earlier planners off a head engine that has left.

An earlier planner may have left orders to join and to open a replica without an
answer. Carried out late, both together open it again, when its members may be
in others already. An engine that has joined a replica with a higher epoch
refuses them, so it joins a standby replica before the members are free.
"""

from collections.abc import Mapping

import attrs

from yuccavalve.formation.const import EPOCHS_PER_TERM, FENCE_AFTER_LEAVE_S
from yuccavalve.formation.models import FormationInput, RetiringReplica
from yuccavalve.formation.observation import standby_name
from yuccavalve.formation.starter import ReplicaStarter
from yuccavalve.ports.fleet import GroupOrder, GroupOrderKind, OrderOutcome

__all__ = ('HeadFences',)

# After the last of these the engine is known to have seen a higher epoch.
_CONFIRMED = frozenset(
    (OrderOutcome.BEGUN, OrderOutcome.DONE, OrderOutcome.FENCED)
)


@attrs.define
class HeadFences:
    """Orders that fence the heads of replicas that earlier planners formed."""

    starter: ReplicaStarter
    _term: int = 0
    _orders: dict[str, GroupOrder] = attrs.field(factory=dict)
    _replicas: dict[str, str] = attrs.field(factory=dict)
    _confirmed: set[str] = attrs.field(factory=set)

    def start_term(self, term: int) -> None:
        """Reset the state for a new term."""
        self._term = term
        self._orders.clear()
        self._replicas.clear()
        self._confirmed.clear()

    def is_needed(
        self, facts: FormationInput, replica: RetiringReplica
    ) -> bool:
        """Return whether orders for a replica may still reach its head.

        This planner opens a replica only if none of its own orders to join can
        reach the head engine any more. A model whose joins are suspended would
        crash the engine.
        """
        if replica.epoch // EPOCHS_PER_TERM == self._term:
            return False
        if replica.replica in self._confirmed:
            return False
        if replica.model in facts.suspended:
            return False
        record = facts.engines.get(replica.head)
        membership = None if record is None else record.membership
        return membership is None or membership.epoch <= replica.epoch

    def order(
        self,
        facts: FormationInput,
        replica: RetiringReplica,
        left_at_s: Mapping[str, float],
        now_s: float,
    ) -> GroupOrder | None:
        """Return the order that fences the head engine, or None.

        It is sent only directly after the engine has confirmed that it left,
        when late orders cannot have opened the replica again. The last record
        of an engine that a new view does not list may be out of date, and the
        engine may have opened another replica.
        """
        is_listed = replica.head in facts.engines.keys() - facts.unsure
        if facts.is_view_new and not is_listed:
            return None
        left_s = now_s - left_at_s.get(replica.replica, float('-inf'))
        if left_s > FENCE_AFTER_LEAVE_S or not self.is_needed(facts, replica):
            return None
        order = self._orders.get(replica.replica)
        if order is None:
            model = replica.model or facts.models[0].name
            epoch = self.starter.next_epoch()
            order = GroupOrder(
                GroupOrderKind.JOIN,
                standby_name(model, epoch),
                epoch,
                model,
                (replica.head,),
                self._term,
            )
            self._orders[replica.replica] = order
            self._replicas[order.replica] = replica.replica
        return order

    def record(self, order: GroupOrder, outcome: OrderOutcome) -> None:
        """Process the outcome of an order."""
        replica = self._replicas.get(order.replica)
        if replica is not None and outcome in _CONFIRMED:
            self._confirmed.add(replica)
