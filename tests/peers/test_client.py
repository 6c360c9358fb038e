"""Failed calls to peers raise PeerUnreachableError.

A failed call closes its channel, which cancels the other calls on it. These
must fail as unreachable too, and must not look like cancelled tasks.
"""

import asyncio
import unittest
from typing import Any

import grpc

from yuccavalve.peers import PeerClient, PeerUnreachableError
from yuccavalve.peers.generated import peer_pb2, peer_pb2_grpc


class _SilentServicer(peer_pb2_grpc.PeerServicer):
    async def Pull(self, request: Any, context: Any) -> Any:  # noqa: N802
        await asyncio.Event().wait()


class SilentPeerTest(unittest.IsolatedAsyncioTestCase):
    """A peer that accepts calls and never replies."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Listen on a free port."""
        server = grpc.aio.server()
        peer_pb2_grpc.add_PeerServicer_to_server(_SilentServicer(), server)
        port = server.add_insecure_port('127.0.0.1:0')
        await server.start()
        self.addAsyncCleanup(server.stop, 0)
        self.address = f'127.0.0.1:{port}'
        self.client = PeerClient('key')
        self.addAsyncCleanup(self.client.async_close)

    def _call(self, timeout_s: float) -> asyncio.Task[None]:
        return asyncio.create_task(
            self.client.async_call(
                self.address,
                'Pull',
                peer_pb2.PullRequest(),
                timeout_s,
            ),
        )

    async def test_failed_call_does_not_cancel_another(self) -> None:
        short, long = self._call(0.3), self._call(20)
        for call in (short, long):
            with self.assertRaises(PeerUnreachableError):
                await call
        self.assertFalse(long.cancelled())

    async def test_cancelled_task_stays_cancelled(self) -> None:
        call = self._call(20)
        await asyncio.sleep(0.1)
        call.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await call
