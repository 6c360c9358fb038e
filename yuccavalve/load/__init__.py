"""Routing, limits, fairness and retries, decided without I/O."""

from yuccavalve.load.backoff import Backoff, requested_backoff
from yuccavalve.load.choices import ChoicePolicy, LeastLoaded, TwoChoices
from yuccavalve.load.demands import (
    DemandKey,
    Demands,
    decode_demands,
    encode_demands,
)
from yuccavalve.load.fairness import FairQueue, Ticket
from yuccavalve.load.outliers import ReplicaScores
from yuccavalve.load.queueing import (
    BoundedWait,
    QueuedRequest,
    ServiceTimes,
    WaitPolicy,
    expected_wait_s,
    queue_retry_after_s,
)
from yuccavalve.load.retries import (
    RetryBudget,
    WindowedRetryBudget,
    retry_after_s,
)
from yuccavalve.load.routing import AffinityRouter, Candidate, Router
from yuccavalve.load.shares import DemandShares, fair_shares

__all__ = (
    'AffinityRouter',
    'BoundedWait',
    'ChoicePolicy',
    'Candidate',
    'DemandKey',
    'DemandShares',
    'Demands',
    'FairQueue',
    'LeastLoaded',
    'Backoff',
    'QueuedRequest',
    'ReplicaScores',
    'RetryBudget',
    'Router',
    'ServiceTimes',
    'Ticket',
    'TwoChoices',
    'WaitPolicy',
    'WindowedRetryBudget',
    'decode_demands',
    'encode_demands',
    'expected_wait_s',
    'fair_shares',
    'queue_retry_after_s',
    'requested_backoff',
    'retry_after_s',
)
