"""The gRPC server that peers call."""

import math
from collections.abc import Callable
from typing import Any

import grpc

from yuccavalve.access import keys_equal
from yuccavalve.fleet.view import FleetView
from yuccavalve.peers.const import KEY_METADATA, SERVER_OPTIONS
from yuccavalve.peers.engine_news import build_engine_news
from yuccavalve.peers.generated import peer_pb2, peer_pb2_grpc
from yuccavalve.peers.messages import (
    age_ms,
    pack_configuration,
    pack_document,
    unpack_configuration,
)
from yuccavalve.peers.peer_state import PeerState
from yuccavalve.peers.sharing import ShareState

__all__ = ('PeerServer', 'ShareServicer', 'StateServicer')


class _AuthenticationInterceptor(grpc.aio.ServerInterceptor):
    def __init__(self, key: str) -> None:
        self._key = key

    async def intercept_service(self, continuation: Any, details: Any) -> Any:
        peer_key = dict(details.invocation_metadata or ()).get(KEY_METADATA, '')
        if keys_equal(str(peer_key), self._key):
            return await continuation(details)
        return grpc.unary_unary_rpc_method_handler(_async_reject)


async def _async_reject(request: Any, context: Any) -> None:
    await context.abort(grpc.StatusCode.UNAUTHENTICATED, 'peer key')


class StateServicer(peer_pb2_grpc.PeerServicer):
    """Serves the state of this daemon to peers."""

    def __init__(self, state: PeerState) -> None:
        self._state = state

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


class ShareServicer(peer_pb2_grpc.PeerServicer):
    """Serves updates, engines and routes to gateway daemons."""

    def __init__(
        self,
        share_state: ShareState,
        view: FleetView,
        on_urgent: Callable[[], None],
    ) -> None:
        """Initialize the servicer.

        ``on_urgent`` is called after an update that other daemons have to
        receive without delay.
        """
        self._share_state = share_state
        self._view = view
        self._on_urgent = on_urgent
        self._packed_version = 0
        self._packed = b''

    async def Share(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Apply an update and return that of this daemon."""
        now_s = self._share_state.clock.now_s()
        if self._share_state.apply_message(request, now_s):
            self._on_urgent()
        reply = self._share_state.reply(request)
        confirmed_age_s = now_s - self._share_state.routing.confirmed_at_s
        if math.isfinite(confirmed_age_s):
            reply.routing_age_ms = age_ms(confirmed_age_s)
        if request.HasField('engines_known') and self._view.version:
            reply.engines.CopyFrom(
                build_engine_news(
                    self._view,
                    self._share_state.roster.local_member.member,
                    request.engines_known,
                    now_s,
                ),
            )
        return reply

    async def Routes(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Return the routes in force at this daemon."""
        routing = self._share_state.routing
        if routing.version != self._packed_version:
            self._packed = pack_document(routing.document)
            self._packed_version = routing.version
        return peer_pb2.RoutesReply(document=self._packed)


class PeerServer:
    """The gRPC server of a daemon."""

    def __init__(self, servicer: peer_pb2_grpc.PeerServicer, key: str) -> None:
        """Create the server with authentication by the peer key."""
        self._server = grpc.aio.server(
            interceptors=(_AuthenticationInterceptor(key),),
            options=SERVER_OPTIONS,
        )
        peer_pb2_grpc.add_PeerServicer_to_server(servicer, self._server)

    async def async_start(self, address: str) -> str:
        """Listen; return the address with the actual port."""
        port = self._server.add_insecure_port(address)
        await self._server.start()
        return f'{address.rpartition(":")[0]}:{port}'

    async def async_stop(self) -> None:
        """Stop at once without waiting for calls in progress."""
        await self._server.stop(0)
