"""Formation of multi-engine replicas: forming, opening and giving up."""

from yuccavalve.formation.book import FormationBook
from yuccavalve.formation.demand import Demand
from yuccavalve.formation.health import ReplicaHealth
from yuccavalve.formation.models import (
    FormationInput,
    Forming,
    ObservedReplica,
    OrderTask,
)

__all__ = (
    'Demand',
    'FormationBook',
    'FormationInput',
    'Forming',
    'ObservedReplica',
    'OrderTask',
    'ReplicaHealth',
)
