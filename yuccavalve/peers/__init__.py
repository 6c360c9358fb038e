"""The gRPC protocol between daemons.

Re-exports what gateway daemons run. ``peer_state`` and ``state_server`` belong
to daemons of the project's own interface.
"""

from yuccavalve.peers.client import PeerClient, PeerUnreachableError
from yuccavalve.peers.server import PeerServer
from yuccavalve.peers.share_server import ShareServicer
from yuccavalve.peers.sharing import ShareState

__all__ = (
    'PeerClient',
    'PeerServer',
    'PeerUnreachableError',
    'ShareServicer',
    'ShareState',
)
