"""Client for calls to peers."""

import asyncio
import time
from typing import Any

import grpc

from yuccavalve.const import PEER_TIMEOUT_S
from yuccavalve.peers.const import (
    CALL_OVERHEAD_BYTES,
    CHANNEL_IDLE_S,
    CHANNEL_OPTIONS,
    CONNECT_OVERHEAD_BYTES,
    KEY_METADATA,
)
from yuccavalve.peers.generated import peer_pb2, peer_pb2_grpc

__all__ = ('PeerClient', 'PeerUnreachableError')


class PeerUnreachableError(Exception):
    """A peer did not answer."""


class PeerClient:
    """Client that keeps channels to peers open while they are in use.

    ``control_bytes`` counts messages in both directions and their framing.

    A channel is closed when a call on it fails, so that a connection that no
    longer transmits is not used again. The other calls in progress on that
    channel then fail with ``PeerUnreachableError``.
    """

    def __init__(self, key: str) -> None:
        """Initialize a client that authenticates with a peer key."""
        self._metadata = ((KEY_METADATA, key),)
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._used_at_s: dict[str, float] = {}
        self.control_bytes = 0

    async def async_call(
        self,
        address: str,
        method: str,
        request: Any,
        timeout_s: float = PEER_TIMEOUT_S,
    ) -> Any:
        """Call a method of a peer.

        Raises
        ------
        PeerUnreachableError
            When the call failed or no reply came within the timeout.
        """
        stub = peer_pb2_grpc.PeerStub(self._channel(address))
        try:
            reply = await getattr(stub, method)(
                request,
                timeout=timeout_s,
                metadata=self._metadata,
            )
        except grpc.RpcError as error:
            await self._async_close_channel(address)
            raise PeerUnreachableError(f'{address}: {error!r}') from error
        except asyncio.CancelledError as error:
            if _is_cancelled():
                raise
            raise PeerUnreachableError(f'{address}: channel closed') from error
        sizes = request.ByteSize() + reply.ByteSize()
        self.control_bytes += sizes + CALL_OVERHEAD_BYTES
        return reply

    async def async_pull(
        self,
        address: str,
        request: peer_pb2.PullRequest,
    ) -> peer_pb2.PullReply:
        """Pull the digest of a peer."""
        return await self.async_call(address, 'Pull', request)

    async def async_close_idle(self) -> None:
        """Close channels that were not used for ``CHANNEL_IDLE_S``."""
        now_s = time.monotonic()
        for address, used_at_s in list(self._used_at_s.items()):
            if now_s - used_at_s > CHANNEL_IDLE_S:
                await self._async_close_channel(address)

    async def async_close(self) -> None:
        """Close all channels."""
        for address in list(self._channels):
            await self._async_close_channel(address)

    def _channel(self, address: str) -> grpc.aio.Channel:
        self._used_at_s[address] = time.monotonic()
        channel = self._channels.get(address)
        if channel is None:
            family = 'ipv6' if address.startswith('[') else 'ipv4'
            channel = grpc.aio.insecure_channel(
                f'{family}:{address}',
                options=CHANNEL_OPTIONS,
            )
            self._channels[address] = channel
            self.control_bytes += CONNECT_OVERHEAD_BYTES
        return channel

    async def _async_close_channel(self, address: str) -> None:
        self._used_at_s.pop(address, None)
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()


def _is_cancelled() -> bool:
    """Return whether the current task is being cancelled.

    A call also raises ``CancelledError`` when its channel is closed.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
