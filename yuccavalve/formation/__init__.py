"""Formation of multi-engine replicas: forming, opening and giving up."""

from yuccavalve.formation.demand import Demand
from yuccavalve.formation.health import ReplicaHealth
from yuccavalve.formation.models import (
    FormationInput,
    Forming,
    ObservedReplica,
    OrderTask,
)
from yuccavalve.formation.planner import FormationBook

__all__ = (
    'Demand',
    'FormationBook',
    'FormationInput',
    'Forming',
    'ObservedReplica',
    'OrderTask',
    'ReplicaHealth',
)
