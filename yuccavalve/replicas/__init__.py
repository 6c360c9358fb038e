"""Replicas: planning, claims, orders, verification and grants."""

from yuccavalve.replicas.grants import Grant, GrantTable
from yuccavalve.replicas.lifecycle import ReplicaEvent, next_state
from yuccavalve.replicas.models import (
    Drain,
    Form,
    Move,
    PlanHost,
    PlanInput,
    Release,
    Replica,
    ReplicaHost,
    ReplicaState,
)
from yuccavalve.replicas.planner import ReplicaPlanner
from yuccavalve.replicas.store import ReplicaStore
from yuccavalve.replicas.table import ReplicaTable

__all__ = (
    'Drain',
    'Form',
    'Grant',
    'GrantTable',
    'Move',
    'PlanHost',
    'PlanInput',
    'Release',
    'Replica',
    'ReplicaEvent',
    'ReplicaHost',
    'ReplicaState',
    'ReplicaStore',
    'ReplicaTable',
    'ReplicaPlanner',
    'next_state',
)
