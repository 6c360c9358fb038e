"""Truncated answers and requests are reported as lost.

A connection that closes at any byte must neither yield a complete answer nor
have the request reported as not reached.
"""

import asyncio
import unittest

from yuccavalve.adapters.backend import (
    BackendCall,
    BackendClient,
)
from yuccavalve.exceptions import BackendLostError, BackendNotReachedError

_REQUEST = b'{"question": 7}'
_BODY = b'{"answer": 123}'
_SIZED = (
    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
    b'content-length: 15\r\n\r\n' + _BODY
)
_CHUNKED = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'a\r\ndata: abcd\r\n8\r\n\n\ndata: \r\n0\r\n\r\n'
)
_WAIT_S = 5


class TruncationTest(unittest.IsolatedAsyncioTestCase):
    """Calls to a server that closes the connection too early."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Listen on a free port."""
        self.sent = b''
        self.requests = 0
        self.request = b''
        self.bytes_read: int | None = None
        self.client = BackendClient()
        self.server = await asyncio.start_server(
            self._async_serve,
            '127.0.0.1',
            0,
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.addCleanup(self.server.close)

    async def _async_serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.bytes_read is not None:
            await reader.readexactly(self.bytes_read)
            writer.transport.abort()
            return
        self.request = await reader.readuntil(b'\r\n\r\n')
        if self.request.startswith(b'POST'):
            self.request += await reader.readexactly(len(_REQUEST))
        self.requests += 1
        writer.write(self.sent)
        await writer.drain()
        writer.close()

    async def _async_request(self, method: str = 'POST') -> bytes:
        call = BackendCall(
            method,
            f'127.0.0.1:{self.port}',
            '/',
            {'content-type': 'application/json'},
            _REQUEST if method == 'POST' else b'',
            _WAIT_S,
        )
        stream = await self.client.async_open(call)
        try:
            return await stream.async_read_all(_WAIT_S, 1000)
        finally:
            stream.close()

    async def test_answer_cut_at_every_byte(self) -> None:
        for whole in (_SIZED, _CHUNKED):
            for length in range(len(whole)):
                self.sent = whole[:length]
                with (
                    self.subTest(sent=self.sent),
                    self.assertRaises(BackendLostError),
                ):
                    await self._async_request()

    async def test_every_byte_of_the_request(self) -> None:
        """Once connected, a request cut at any byte may have run."""
        self.sent = _SIZED
        await self._async_request()
        self.assertTrue(self.request.endswith(_REQUEST))
        for bytes_read in range(len(self.request) + 1):
            self.bytes_read = bytes_read
            with (
                self.subTest(bytes_read=bytes_read),
                self.assertRaises(BackendLostError),
            ):
                await self._async_request()

    async def test_whole_answers(self) -> None:
        self.sent = _SIZED
        self.assertEqual(await self._async_request(), _BODY)
        self.sent = _CHUNKED
        self.assertEqual(await self._async_request(), b'data: abcd\n\ndata: ')

    async def test_dropped_connection_is_not_retried(self) -> None:
        """A dropped connection is not retried, whatever the method."""
        self.sent = _SIZED
        await self._async_request('GET')
        self.sent = b''
        for method in ('GET', 'PUT', 'DELETE', 'POST'):
            before = self.requests
            with self.assertRaises(BackendLostError):
                await self._async_request(method)
            self.assertEqual(self.requests, before + 1)

    async def test_refused_connection_was_not_reached(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(BackendNotReachedError):
            await self._async_request()
