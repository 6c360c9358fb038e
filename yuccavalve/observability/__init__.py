"""Structured logs, metrics and the error budget burn report."""

from yuccavalve.observability.logs import setup_logs
from yuccavalve.observability.metrics import Metrics

__all__ = ('Metrics', 'setup_logs')
