"""Heads of requests that are malformed, too large or without an end."""

import asyncio
import unittest
from typing import Any

from yuccavalve.serving import HttpServer, bind_socket

_FLOOD = b'x' * 65536
# More than a server may hold of one head.
_MAX_ROUNDS = 64
_TIMEOUT_S = 20.0
_REFUSED = b'x-result-code: 4006'


async def _async_application(scope: Any, receive: Any, send: Any) -> None:
    await receive()
    await send({'type': 'http.response.start', 'status': 204, 'headers': []})
    await send({'type': 'http.response.body'})


class RefusedHeadTest(unittest.IsolatedAsyncioTestCase):
    """A server and callers that go on sending."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the server."""
        self.server = HttpServer(_async_application, bind_socket('127.0.0.1:0'))
        await self.server.async_start()
        self.addAsyncCleanup(self.server.async_abort)

    async def _async_connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self.server.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def _async_answer(self, sent: bytes, rounds: int) -> bytes:
        """Send a head and a flood; return the answer."""
        reader, writer = await self._async_connect()
        writer.write(sent)
        for _ in range(rounds):
            writer.write(_FLOOD)
            await asyncio.sleep(0.001)
        async with asyncio.timeout(_TIMEOUT_S):
            return await reader.read()

    async def test_refusal_is_read_by_a_caller_that_is_still_sending(
        self,
    ) -> None:
        for sent in (b'no request\r\n\r\n', b'GET / HTTP/1.1\r\nx: \0\r\n'):
            with self.subTest(sent=sent):
                answer = await self._async_answer(sent, 8)
                self.assertIn(_REFUSED, answer)

    async def test_head_without_end_is_refused_at_its_bound(self) -> None:
        for sent in (
            b'GET /',
            b'GET / HTTP/1.1\r\nhost: h\r\nx-flood: ',
            b'GET / HTTP/1.1\r\nhost: h\r\nx',
        ):
            with self.subTest(sent=sent):
                answer = await self._async_answer(sent, 8)
                self.assertIn(_REFUSED, answer)

    async def test_trailers_without_end_close_the_connection(self) -> None:
        head = b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
        for sent in (b'0\r\nx: ', b'1;x='):
            with self.subTest(sent=sent):
                await self._async_check_reset(head + sent)

    async def test_caller_that_never_stops_sending_is_closed(self) -> None:
        await self._async_check_reset(b'no request\r\n\r\n')

    async def _async_check_reset(self, sent: bytes) -> None:
        """Send without end; check that the connection is reset."""
        _, writer = await self._async_connect()
        writer.write(sent)
        with self.assertRaises(ConnectionError):
            async with asyncio.timeout(_TIMEOUT_S):
                while True:
                    writer.write(_FLOOD)
                    await writer.drain()
                    await asyncio.sleep(0)

    async def test_requests_one_after_the_other_are_not_added_up(self) -> None:
        reader, writer = await self._async_connect()
        field = b'x' * 20000
        for _ in range(_MAX_ROUNDS):
            writer.write(b'GET / HTTP/1.1\r\nhost: h\r\nx: %b\r\n\r\n' % field)
            async with asyncio.timeout(_TIMEOUT_S):
                head = await reader.readuntil(b'\r\n\r\n')
            self.assertIn(b' 204 ', head)
