"""Filters that parse, admit, dispatch and relay callers' requests."""

from yuccavalve.requests.ledger import Ledger
from yuccavalve.requests.models import Exchange, Filter
from yuccavalve.requests.pacing import Pacer
from yuccavalve.requests.pipeline import RequestPipeline

__all__ = ('Exchange', 'Filter', 'Ledger', 'Pacer', 'RequestPipeline')
