"""Routing, limits, fairness and retries, decided without I/O."""

from yuccavalve.load.demands import (
    DemandKey,
    Demands,
    decode_demands,
    encode_demands,
)
from yuccavalve.load.fairness import FairQueue, Ticket
from yuccavalve.load.outliers import ReplicaScores
from yuccavalve.load.retries import (
    RetryBudget,
    WindowedRetryBudget,
    retry_after_s,
)
from yuccavalve.load.routing import AffinityRouter, Candidate, Router
from yuccavalve.load.shares import DemandShares, fair_shares

__all__ = (
    'AffinityRouter',
    'Candidate',
    'DemandKey',
    'DemandShares',
    'Demands',
    'FairQueue',
    'ReplicaScores',
    'RetryBudget',
    'Router',
    'Ticket',
    'WindowedRetryBudget',
    'decode_demands',
    'encode_demands',
    'fair_shares',
    'retry_after_s',
)
