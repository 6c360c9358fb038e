"""Structured logs, metrics and the error budget burn report."""

from yuccavalve.observability.logs import LogRateLimiter, setup_logs
from yuccavalve.observability.metrics import (
    Metrics,
    add_held_gauges,
    add_limit_gauges,
    add_quarantine_gauges,
    add_received_gauges,
)
from yuccavalve.observability.unreadable import UnreadableInputs

__all__ = (
    'LogRateLimiter',
    'Metrics',
    'UnreadableInputs',
    'add_held_gauges',
    'add_limit_gauges',
    'add_quarantine_gauges',
    'add_received_gauges',
    'setup_logs',
)
