"""Answers peers' calls with the state of a daemon of the own interface."""

from typing import Any

from yuccavalve.peers.configurations import (
    pack_configuration,
    unpack_configuration,
)
from yuccavalve.peers.generated import peer_pb2, peer_pb2_grpc
from yuccavalve.peers.limit_news import answer_permits
from yuccavalve.peers.peer_state import PeerState
from yuccavalve.ratelimit import PermitGrantor

__all__ = ('StateServicer',)


class StateServicer(peer_pb2_grpc.PeerServicer):
    """Serves the state of this daemon to peers."""

    def __init__(self, state: PeerState, grantor: PermitGrantor) -> None:
        self._state = state
        self._grantor = grantor

    async def Pull(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Return the digest."""
        return self._state.reply(request)

    async def Adopt(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Adopt a newer configuration; return the one in force if asked."""
        adoption = self._state.adoption
        if request.configuration:
            offered = unpack_configuration(request.configuration)
            adoption.adopt(offered)
        reply = peer_pb2.AdoptReply(
            name=adoption.name,
            version=adoption.version,
            votes=adoption.votes,
        )
        if request.want:
            reply.configuration = pack_configuration(adoption.configuration)
        return reply

    async def Permits(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Grant permits for requests if this daemon plans."""
        now_s = self._state.clock.now_s()
        return answer_permits(self._grantor, request, now_s)

    async def Describe(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Return the replica records and members that the peer lacks."""
        return self._state.describe(request)

    async def Revoke(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Revoke the grants of a replica's incarnation."""
        revocation = request.revocation
        self._state.grants.revoke(
            revocation.replica,
            revocation.incarnation,
            broken=revocation.broken,
        )
        return peer_pb2.RevokeReply()
