"""Routes that map a request's host and path prefix to services."""

from yuccavalve.routing.models import (
    CallerLimits,
    EngineProfile,
    ModelProfile,
    RequestKind,
    Route,
    RouteWorkspace,
    RoutingTable,
    ServiceProfile,
    Split,
)
from yuccavalve.routing.state import RoutingState

__all__ = (
    'CallerLimits',
    'EngineProfile',
    'ModelProfile',
    'RequestKind',
    'Route',
    'RouteWorkspace',
    'RoutingState',
    'RoutingTable',
    'ServiceProfile',
    'Split',
)
