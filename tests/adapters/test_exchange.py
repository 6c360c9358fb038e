"""An answer that is truncated at any byte is never taken for complete."""

import asyncio
import socket
import struct
import unittest

from yuccavalve.adapters.exchange import HttpCall, async_exchange
from yuccavalve.exceptions import (
    BackendLostError,
    BackendNotReachedError,
    PermitExpiredError,
)

_SIZED = b'HTTP/1.1 200 OK\r\nx-a: 1\r\ncontent-length: 5\r\n\r\nhello'
_CHUNKED = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'5\r\nhello\r\n0\r\n\r\n'
)
_UNFRAMED = b'HTTP/1.1 200 OK\r\nx-a: 1\r\n\r\nhello'
_SECOND_ANSWER = b'HTTP/1.1 500 No\r\nx-a: 2\r\ncontent-length: 3\r\n\r\nbad'
_LIMIT_BYTES = 1000
_WAIT_S = 5


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """A server sends given bytes, then closes or resets the connection."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Listen on a free port."""
        self.answer_bytes = b''
        self.reset = False
        self.request_head = b''
        self.server = await asyncio.start_server(
            self._async_serve,
            '127.0.0.1',
            0,
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop listening."""
        self.server.close()

    async def _async_serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.request_head = await reader.readuntil(b'\r\n\r\n')
        writer.write(self.answer_bytes)
        if self.reset:
            await writer.drain()
            connection = writer.get_extra_info('socket')
            connection.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                struct.pack('ii', 1, 0),
            )
        writer.close()

    async def _async_read(self) -> bytes:
        call = HttpCall(self.address, 'GET', b'/x', [(b'host', b'h')])
        async with asyncio.timeout(_WAIT_S):
            answer = await async_exchange(call)
            try:
                return await answer.async_read_all(_LIMIT_BYTES)
            finally:
                answer.close()

    async def test_request_whose_permit_ran_out_meanwhile_is_not_sent(
        self,
    ) -> None:
        call = HttpCall(
            self.address, 'POST', b'/', [], b'body', may_send=lambda: False
        )
        with self.assertRaises(PermitExpiredError):
            await async_exchange(call)
        await asyncio.sleep(0)
        self.assertEqual(self.request_head, b'')

    async def test_whole_answers(self) -> None:
        for answer_bytes in (_SIZED, _CHUNKED, _UNFRAMED):
            self.answer_bytes = answer_bytes
            self.assertEqual(await self._async_read(), b'hello')
        self.assertEqual(
            self.request_head, b'GET /x HTTP/1.1\r\nhost: h\r\n\r\n'
        )

    async def test_answers_truncated_at_each_byte(self) -> None:
        for whole in (_SIZED, _CHUNKED):
            for length in range(len(whole)):
                self.answer_bytes = whole[:length]
                with (
                    self.subTest(length=length),
                    self.assertRaises(BackendLostError),
                ):
                    await self._async_read()

    async def test_reset_does_not_complete_unframed_body(self) -> None:
        self.answer_bytes = _UNFRAMED
        self.reset = True
        with self.assertRaises(BackendLostError):
            await self._async_read()

    async def test_bytes_after_the_answer_are_dropped(self) -> None:
        self.answer_bytes = _SIZED + _SECOND_ANSWER
        call = HttpCall(self.address, 'GET', b'/x', [(b'host', b'h')])
        answer = await async_exchange(call)
        body = await answer.async_read_all(_LIMIT_BYTES)
        self.assertEqual((answer.status, body), (200, b'hello'))
        self.assertIn((b'x-a', b'1'), answer.headers)

    async def test_invalid_http(self) -> None:
        self.answer_bytes = b'what?\r\n\r\n'
        with self.assertRaises(BackendLostError):
            await self._async_read()

    async def test_connection_refused(self) -> None:
        self.server.close()
        await self.server.wait_closed()
        with self.assertRaises(BackendNotReachedError):
            await self._async_read()

    async def test_trailers_are_not_taken_for_header_fields(self) -> None:
        self.answer_bytes = _CHUNKED.removesuffix(b'\r\n') + (
            b'x-signed: forged\r\n\r\n'
        )
        call = HttpCall(self.address, 'GET', b'/x', [(b'host', b'h')])
        answer = await async_exchange(call)
        body = await answer.async_read_all(_LIMIT_BYTES)
        self.assertEqual(body, b'hello')
        self.assertNotIn(b'x-signed', dict(answer.headers))

    async def test_answer_that_switches_protocols_is_lost(self) -> None:
        self.answer_bytes = b'\r\n'.join(
            (
                b'HTTP/1.1 101 Other',
                b'upgrade: x',
                b'connection: upgrade',
                b'',
                b'hello',
            )
        )
        with self.assertRaises(BackendLostError):
            await self._async_read()
