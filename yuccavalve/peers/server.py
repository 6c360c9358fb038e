"""The gRPC server that peers call."""

from typing import Any

import grpc

from yuccavalve.access import keys_equal
from yuccavalve.peers.const import KEY_METADATA, SERVER_OPTIONS
from yuccavalve.peers.generated import peer_pb2_grpc

__all__ = ('PeerServer',)


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
