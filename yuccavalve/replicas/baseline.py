"""Baseline to compare the planner with: greedy first fit."""

from collections import Counter

import attrs

from yuccavalve.ports import HostState
from yuccavalve.replicas.models import (
    Drain,
    Form,
    Move,
    PlanInput,
    Release,
    Replica,
    ReplicaState,
)

__all__ = ('GreedyPlanner',)


_ENDING = frozenset((ReplicaState.BROKEN, ReplicaState.DRAINING))


@attrs.frozen
class GreedyPlanner:
    """Planner that takes the first free hosts and loads all at once.

    A broken replica is formed again at once.
    """

    def plan(self, facts: PlanInput) -> list[Move]:
        """Return the moves, ignoring domains and the weight store's rate."""
        broken = [
            replica
            for replica in facts.replicas
            if replica.state is ReplicaState.BROKEN
        ]
        moves: list[Move] = [Release(replica.replica) for replica in broken]
        counts: Counter[str] = Counter()
        for replica in facts.replicas:
            if replica.state not in _ENDING:
                moves.extend(_keep_or_drain(facts, replica, counts))
        return [*moves, *_first_fit(facts, counts)]


def _keep_or_drain(
    facts: PlanInput,
    replica: Replica,
    counts: Counter[str],
) -> list[Move]:
    leaving = any(
        facts.hosts[host.host].state is HostState.LEAVING
        for host in replica.hosts
        if host.host in facts.hosts
    )
    over = counts[replica.group] >= facts.wanted.get(replica.group, 0)
    if leaving or over:
        return [Drain(replica.replica)]
    counts[replica.group] += 1
    return []


def _first_fit(facts: PlanInput, counts: Counter[str]) -> list[Move]:
    held = {
        host.host
        for replica in facts.replicas
        if replica.state is not ReplicaState.BROKEN
        for host in replica.hosts
    }
    free = [
        name
        for name in sorted(facts.hosts)
        if name not in held and facts.hosts[name].state is HostState.LIVE
    ]
    moves: list[Move] = []
    for group in facts.groups:
        span = group.hosts_per_replica
        missing = facts.wanted.get(group.name, 0) - counts[group.name]
        for _ in range(min(max(0, missing), len(free) // span)):
            moves.append(Form(group.name, tuple(free[:span])))
            free = free[span:]
    return moves
