"""The gRPC protocol between daemons."""

from yuccavalve.peers.client import PeerClient, PeerUnreachableError
from yuccavalve.peers.peer_state import PeerState
from yuccavalve.peers.server import (
    PeerServer,
    ShareServicer,
    StateServicer,
)
from yuccavalve.peers.sharing import ShareState

__all__ = (
    'PeerClient',
    'PeerServer',
    'PeerState',
    'PeerUnreachableError',
    'ShareState',
    'ShareServicer',
    'StateServicer',
)
