"""Protocols for the external systems; each has an adapter."""

from yuccavalve.ports.engine import (
    EngineOrder,
    EnginePort,
    EngineStatus,
    LoadReport,
    OrderKind,
)
from yuccavalve.ports.platform import (
    HostList,
    HostListing,
    HostState,
    ObjectStore,
)
from yuccavalve.ports.table import (
    Condition,
    Row,
    TableStore,
    Transaction,
    Write,
    row_version,
)

__all__ = (
    'Condition',
    'EngineOrder',
    'EnginePort',
    'EngineStatus',
    'HostList',
    'HostListing',
    'HostState',
    'LoadReport',
    'ObjectStore',
    'OrderKind',
    'Row',
    'TableStore',
    'Transaction',
    'Write',
    'row_version',
)
