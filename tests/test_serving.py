"""Heads of requests that are malformed, too large or without an end."""

import asyncio
import unittest
from typing import Any

from yuccavalve.memory import ReceivedBytes
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


async def _async_echo(scope: Any, receive: Any, send: Any) -> None:
    """Answer with target and body, or at once if the target says so."""
    parts = [scope['raw_path'], b' ']
    more = scope['raw_path'] != b'/early'
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return
        parts.append(message['body'])
        more = message['more_body']
    body = b''.join(parts)
    length = (b'content-length', str(len(body)).encode())
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': [length]}
    )
    await send({'type': 'http.response.body', 'body': body})


class AheadTest(unittest.IsolatedAsyncioTestCase):
    """A server that echoes, and callers that don't wait for answers."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the server with an account."""
        self.received = ReceivedBytes(limit_bytes=1000000)
        self.server = HttpServer(
            _async_echo, bind_socket('127.0.0.1:0'), received=self.received
        )
        await self.server.async_start()
        self.addAsyncCleanup(self.server.async_abort)

    async def _async_answers(
        self, sent: bytes, count: int, piece_bytes: int = 1 << 20
    ) -> list[bytes]:
        """Send bytes in pieces; return the bodies of the answers."""
        host, port = self.server.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        for start in range(0, len(sent), piece_bytes):
            writer.write(sent[start : start + piece_bytes])
            await asyncio.sleep(0)
        bodies = []
        async with asyncio.timeout(_TIMEOUT_S):
            for _ in range(count):
                head = await reader.readuntil(b'\r\n\r\n')
                length = int(head.partition(b'length: ')[2].split()[0])
                bodies.append(await reader.readexactly(length))
        return bodies

    async def test_all_requests_ahead_are_answered_in_order(self) -> None:
        """Reading goes on as answers end, however small the pieces are."""
        sent = b''.join(
            b'POST /%d HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc' % number
            for number in range(3000)
        )
        for piece_bytes in (700, len(sent)):
            bodies = await self._async_answers(sent, 3000, piece_bytes)
            self.assertEqual(bodies[0], b'/0 abc')
            self.assertEqual(bodies[-1], b'/2999 abc')
        self.assertLess(self.received.peak_bytes, 400000)

    async def test_request_after_a_body_in_chunks_is_answered(self) -> None:
        chunk = b'1000\r\n%b\r\n' % (b'x' * 4096)
        sent = (
            b'POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
            + chunk * 20
            + b'0\r\nt: 1\r\n\r\nGET /b HTTP/1.1\r\n\r\n'
        )
        for piece_bytes in (1000, len(sent)):
            bodies = await self._async_answers(sent, 2, piece_bytes)
            self.assertEqual(len(bodies[0]), 3 + 20 * 4096)
            self.assertEqual(bodies[1], b'/b ')

    async def test_body_may_go_on_after_its_answer(self) -> None:
        head = b'POST /early HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
        rest = b'3\r\nabc\r\n0\r\nt: 1\r\n\r\nGET /b HTTP/1.1\r\n\r\n'
        bodies = await self._async_answers(head + rest, 2, len(head))
        self.assertEqual(bodies, [b'/early ', b'/b '])

    async def _async_read_to_end(self, *parts: bytes) -> bytes:
        """Send parts after each other; return all up to the end."""
        host, port = self.server.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.01)
        async with asyncio.timeout(_TIMEOUT_S):
            return await reader.read()

    async def test_last_answer_is_read_whatever_follows_its_request(
        self,
    ) -> None:
        """Unread bytes reset the connection, and the answer was lost."""
        more = b'GET /b HTTP/1.1\r\n\r\n' * 2000
        for fields in (
            b'connection: close\r\n',
            b'connection: upgrade\r\nupgrade: h2c\r\n',
        ):
            head = b'GET /a HTTP/1.1\r\n%b\r\n' % fields
            for parts in ((head + more,), (head, more)):
                with self.subTest(fields=fields, parts=len(parts)):
                    answer = await self._async_read_to_end(*parts)
                    self.assertTrue(answer.endswith(b'\r\n\r\n/a '), answer)

    async def test_everything_is_given_back(self) -> None:
        await self._async_answers(b'GET /b HTTP/1.1\r\n\r\n' * 200, 200)
        host, port = self.server.address.split(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'POST /a HTTP/1.1\r\ncontent-length: 9\r\n\r\nabc')
        await asyncio.sleep(0.05)
        self.assertGreater(self.received.held_bytes, 0)
        writer.close()
        await asyncio.sleep(0.05)
        self.assertEqual(self.received.held_bytes, 0)

    async def test_caller_that_is_shed_reads_why(self) -> None:
        """A body beyond the account is refused as not run."""
        host, port = self.server.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(b'POST /a HTTP/1.1\r\ncontent-length: 4000000\r\n\r\n')
        writer.write(_FLOOD * 60)
        async with asyncio.timeout(_TIMEOUT_S):
            answer = await reader.read()
        self.assertIn(b' 503 ', answer)
        self.assertIn(b'x-result-code: 2016', answer)
        self.assertIn(b'retry-after: ', answer)
