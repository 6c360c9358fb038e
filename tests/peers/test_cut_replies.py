"""A reply of another daemon that is cut short is never applied."""

import asyncio
import unittest
from typing import Any

from yuccavalve.peers import PeerClient, PeerServer, PeerUnreachableError
from yuccavalve.peers.generated import peer_pb2, peer_pb2_grpc

_READ_BYTES = 4096
_STEP_BYTES = 16
_TIMEOUT_S = 2.0


class _CuttingProxy:
    """Passes on a number of bytes of what a server sends, then closes."""

    def __init__(self, address: str) -> None:
        """Relay to a server."""
        self.passed_bytes = 0
        self._host, _, self._port = address.rpartition(':')
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_start(self) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(
            self._async_serve, '127.0.0.1', 0
        )
        return '127.0.0.1:{}'.format(self._server.sockets[0].getsockname()[1])

    async def async_stop(self) -> None:
        """Stop listening."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        server_reader, server_writer = await asyncio.open_connection(
            self._host, int(self._port)
        )
        upstream = asyncio.create_task(_async_copy(reader, server_writer))
        self._tasks.add(upstream)
        left_bytes = self.passed_bytes
        while left_bytes:
            chunk = await server_reader.read(min(left_bytes, _READ_BYTES))
            if not chunk:
                break
            left_bytes -= len(chunk)
            writer.write(chunk)
        writer.close()
        server_writer.close()


async def _async_copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while chunk := await reader.read(_READ_BYTES):
        writer.write(chunk)


class _RoutesServicer(peer_pb2_grpc.PeerServicer):
    """Replies with a document."""

    async def Routes(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Return the document."""
        return peer_pb2.RoutesReply(document=b'document ' * 20)


class CutReplyTest(unittest.IsolatedAsyncioTestCase):
    """A daemon behind a proxy that ends the connection."""

    async def test_reply_cut_anywhere_is_an_error(self) -> None:
        server = PeerServer(_RoutesServicer(), '')
        proxy = _CuttingProxy(await server.async_start('127.0.0.1:0'))
        address = await proxy.async_start()
        whole = False
        try:
            while not whole:
                proxy.passed_bytes += _STEP_BYTES
                whole = await self._async_try(address)
        finally:
            await proxy.async_stop()
            await server.async_stop()
        self.assertGreater(proxy.passed_bytes, 10 * _STEP_BYTES)

    async def _async_try(self, address: str) -> bool:
        """Return whether a call succeeded; then its reply is whole."""
        client = PeerClient('')
        try:
            reply = await client.async_call(
                address, 'Routes', peer_pb2.RoutesRequest(), _TIMEOUT_S
            )
        except PeerUnreachableError:
            return False
        finally:
            await client.async_close()
        self.assertEqual(reply.document, b'document ' * 20)
        return True
