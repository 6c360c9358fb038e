"""Gateway: routes callers' requests to engines and relays the answers."""

from yuccavalve.gateway.dispatch import Dispatcher
from yuccavalve.gateway.models import (
    InboundDecoder,
    InboundRequest,
    RoutedRequest,
)
from yuccavalve.gateway.selection import EngineSelector
from yuccavalve.gateway.server import Gateway

__all__ = (
    'Dispatcher',
    'Gateway',
    'InboundDecoder',
    'InboundRequest',
    'EngineSelector',
    'RoutedRequest',
)
