"""Group downtime and stranded hosts, compared with greedy first fit."""

import time
from random import Random
from typing import Any

import attrs

from yuccavalve.configuration import Group
from yuccavalve.replicas import PlanHost, PlanInput, ReplicaPlanner
from yuccavalve.replicas.baseline import GreedyPlanner
from yuccavalve.replicas.models import Planner
from yuccavalve.replicas.replay import Replay, ReplayFigures
from yuccavalve.replicas.trace_generator import day_trace
from yuccavalve.replicas.traces import TraceHead

__all__ = ('async_planning', 'head_of')

_SETTLE_S = 7200.0
_WEIGHTS = {'downtime_first': (1.0, 0.01), 'stranded_first': (0.2, 0.1)}


@attrs.frozen
class _Case:
    name: str
    hosts: int
    domain_hosts: int
    hosts_per_replica: int
    replicas: int
    failures: int
    restarts: int
    domain_outage: bool = False
    preset: int | None = None


_CASES = (
    _Case('today', 65, 22, 4, 15, 1, 16),
    _Case('today, domain dark', 65, 22, 4, 15, 1, 16, domain_outage=True),
    _Case('design', 840, 40, 16, 42, 8, 210),
    _Case('design, tight', 840, 40, 16, 50, 8, 210),
    _Case('design, domain dark', 840, 40, 16, 42, 8, 210, domain_outage=True),
    _Case('design, preset in a repair', 840, 40, 16, 42, 8, 210, preset=36),
)


def head_of(
    case: _Case,
    max_loading: int,
    weights: tuple[float, float],
) -> TraceHead:
    """Return the trace head of a case."""
    return TraceHead(
        groups=(
            Group(
                'pool',
                'm',
                case.hosts_per_replica,
                downtime_weight=weights[0],
                stranded_weight=weights[1],
            ),
        ),
        wanted={'pool': case.replicas},
        domains={
            f'h{number:04d}': f'd{number // case.domain_hosts:03d}'
            for number in range(case.hosts)
        },
        load_s=180,
        full_rate_loads=4,
        max_loading=max_loading,
    )


async def async_planning(seed: int) -> dict[str, Any]:
    """Replay every case with each planner on the same traces."""
    equal_weights = (1.0, 1.0)
    planners: dict[str, tuple[Planner, int, tuple[float, float]]] = {
        'greedy': (GreedyPlanner(), 4, equal_weights),
        'downtime first': (ReplicaPlanner(), 4, _WEIGHTS['downtime_first']),
        'stranded first': (ReplicaPlanner(), 4, _WEIGHTS['stranded_first']),
        'never split': (ReplicaPlanner(allow_split=False), 4, equal_weights),
        'one load at a time': (ReplicaPlanner(), 1, equal_weights),
    }
    cases = {}
    for case in _CASES:
        cases[case.name] = {
            name: _replay(case, planner, max_loading, weights, seed)
            for name, (planner, max_loading, weights) in planners.items()
        }
    return {'cases': cases, 'planning_s': _planning_s()}


def _replay(
    case: _Case,
    planner: Planner,
    max_loading: int,
    weights: tuple[float, float],
    seed: int,
) -> dict[str, Any]:
    head = head_of(case, max_loading, weights)
    preset = None if case.preset is None else {'pool': case.preset}
    events = day_trace(
        Random(seed),
        head,
        failures=case.failures,
        restarts=case.restarts,
        domain_outage=case.domain_outage,
        preset=preset,
    )
    figures = Replay(head, events, planner).run(_SETTLE_S)
    return _document(figures)


def _document(figures: ReplayFigures) -> dict[str, Any]:
    floor_s = max(figures.floor_replica_s, 1)
    return {
        'downtime_replica_s': round(figures.downtime_replica_s),
        'stranded_host_s': round(figures.stranded_host_s),
        'split_replica_s': round(figures.split_replica_s),
        'floor_replica_s': round(figures.floor_replica_s),
        'downtime_over_floor': round(figures.downtime_replica_s / floor_s, 2),
        'breaks': figures.breaks,
        'forms': figures.forms,
        'drains': figures.drains,
        'downtime_by_cause_s': dict(figures.downtime_by_cause),
        **{
            name: round(figures.score(*weights))
            for name, weights in _WEIGHTS.items()
        },
    }


def _planning_s() -> float:
    """Return the seconds to plan 840 new replicas of 16 hosts.

    Returns -1 if not all of them are planned.
    """
    count, hosts_per_replica = 840, 16
    hosts = {
        f'h{number}': PlanHost(f'h{number}', 'a', f'd{number // 48}')
        for number in range(count * hosts_per_replica)
    }
    plan_input = PlanInput(
        hosts=hosts,
        replicas=(),
        groups=(Group('pool', 'm', hosts_per_replica),),
        wanted={'pool': count},
        max_loading=count,
    )
    began_s = time.perf_counter()
    moves = ReplicaPlanner().plan(plan_input)
    took_s = time.perf_counter() - began_s
    return round(took_s, 3) if len(moves) == count else -1
