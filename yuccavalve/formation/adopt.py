"""Adopt replicas that an earlier planner was forming."""

from absl import logging

from yuccavalve.formation.models import (
    FormationInput,
    FormingReplica,
    ObservedReplica,
)
from yuccavalve.formation.observation import model_of
from yuccavalve.ports.fleet import MemberState

__all__ = ('adopt_forming',)

_FORMING_STATES = frozenset((MemberState.JOINING, MemberState.READY))


def adopt_forming(
    facts: FormationInput,
    replica: ObservedReplica,
    now_s: float,
) -> FormingReplica | None:
    """Return a replica to continue forming, or None to abandon it.

    A replica can be continued only if all of its members have joined: then
    their ranks show the full list of members in its order.
    """
    model = model_of(facts, replica)
    states = {membership.state for membership in replica.members.values()}
    if model is None or not states <= _FORMING_STATES:
        return None
    by_rank = {
        membership.rank: engine
        for engine, membership in replica.members.items()
    }
    if sorted(by_rank) != list(range(model.size)):
        return None
    members = [by_rank[rank] for rank in range(model.size)]
    if not facts.engines.keys() >= set(members):
        return None
    logging.info(
        'event=replica_adopted replica=%s epoch=%d',
        replica.replica,
        replica.epoch,
    )
    records = [facts.engines[engine] for engine in members]
    return FormingReplica.of(
        replica.replica,
        replica.epoch,
        model,
        records,
        now_s,
        model.load_s,
    )
