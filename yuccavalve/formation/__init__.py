"""Formation of multi-engine replicas: forming, opening and giving up."""

from yuccavalve.formation.demand import Demand
from yuccavalve.formation.endings import ReplicaEndings
from yuccavalve.formation.epochs import EpochWatch
from yuccavalve.formation.health import ReplicaHealth
from yuccavalve.formation.models import (
    FormationInput,
    FormingReplica,
    ObservedReplica,
    OrderTask,
)
from yuccavalve.formation.planner import FormationPlanner
from yuccavalve.formation.request_limits import RequestLimits

__all__ = (
    'Demand',
    'EpochWatch',
    'FormationPlanner',
    'FormationInput',
    'FormingReplica',
    'ObservedReplica',
    'OrderTask',
    'ReplicaEndings',
    'ReplicaHealth',
    'RequestLimits',
)
