"""Build planners of replicas with the bounds that the simulations use."""

from typing import Final

from yuccavalve.formation import (
    FormationPlanner,
    ReplicaEndings,
    ReplicaHealth,
)

__all__ = ('DRAIN_S', 'STALL_S', 'formation_planner')

DRAIN_S: Final = 2.0
STALL_S: Final = 6.0


def formation_planner(term: int = 0) -> FormationPlanner:
    """Return a planner; its term begins unless it is 0."""
    planner = FormationPlanner(ReplicaHealth(DRAIN_S), ReplicaEndings(STALL_S))
    if term:
        planner.start_term(term)
    return planner
