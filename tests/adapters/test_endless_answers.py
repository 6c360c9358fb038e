"""Answers that never end are given up at a bound."""

import asyncio
import unittest

from tests.support.byte_server import ByteServer
from yuccavalve.adapters.exchange import (
    HttpAnswer,
    HttpCall,
    async_exchange,
)
from yuccavalve.exceptions import BackendLostError
from yuccavalve.memory import HeldBytes

_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _OK + b'transfer-encoding: chunked\r\n\r\n'
_FIELDS = b'x-a: 1\r\n' * 1000
_ENDLESS = {
    'status line': (b'HTTP/1.1 200 ', b'x' * 8192),
    'field name': (_OK, b'x' * 8192),
    'field value': (_OK + b'x-a: ', b'x' * 8192),
    'fields': (_OK, _FIELDS),
    'interim heads': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 400),
    'chunk size': (_CHUNKED, b'0' * 8192),
    'chunk extension': (_CHUNKED + b'5;', b'x' * 8192),
    'trailers': (_CHUNKED + b'0\r\n', _FIELDS),
    'chunks': (_CHUNKED, b'5\r\nhello\r\n' * 1000),
    'chunks with extensions': (_CHUNKED, b'1;%b\r\nx\r\n' % (b'x' * 8192)),
    'body with a length': (
        _OK + b'content-length: 99999999999\r\n\r\n',
        _FIELDS,
    ),
    'body without a length': (_OK + b'\r\n', _FIELDS),
    'no HTTP': (b'', b'\0' * 8192),
}
_BODY_LIMIT_BYTES = 100000
# What the caller may hold, and what the sockets buffer in between.
_SENT_LIMIT_BYTES = 16000000
_WAIT_S = 10
_UNENDED_LIMIT_BYTES = 262144
_SMALL_FIELDS_LIMIT_BYTES = 4096


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A server that sends until its caller closes the connection."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the server."""
        self.server = ByteServer()
        await self.server.async_start()
        self.addAsyncCleanup(self.server.async_stop)

    async def _async_read(self) -> None:
        call = HttpCall(self.server.address, 'GET', b'/x', [(b'host', b'h')])
        answer = await async_exchange(call)
        try:
            await answer.async_read_all(_BODY_LIMIT_BYTES)
        finally:
            answer.close()

    async def test_endless_answer_is_closed_at_a_bound(self) -> None:
        for name, (begin, repeated) in _ENDLESS.items():
            self.server.answer_bytes = begin
            self.server.repeated_bytes = repeated
            self.server.caller_closed.clear()
            with self.subTest(name=name):
                async with asyncio.timeout(_WAIT_S):
                    with self.assertRaises(BackendLostError):
                        await self._async_read()
                    await self.server.caller_closed.wait()
                self.assertLess(self.server.sent_bytes, _SENT_LIMIT_BYTES)

    async def test_bytes_after_an_answer_are_not_collected(self) -> None:
        self.server.answer_bytes = _OK + b'content-length: 5\r\n\r\nhello'
        self.server.repeated_bytes = _FIELDS
        call = HttpCall(self.server.address, 'GET', b'/x', [(b'host', b'h')])
        async with asyncio.timeout(_WAIT_S):
            answer = await async_exchange(call)
            body = await answer.async_read_all(_BODY_LIMIT_BYTES)
            self.assertEqual(body, b'hello')
            answer.close()
            await self.server.caller_closed.wait()


class _Transport:
    """A transport that only records whether it was aborted."""

    def __init__(self) -> None:
        """Start open."""
        self.is_aborted = False

    def abort(self) -> None:
        """End the connection."""
        self.is_aborted = True

    def is_closing(self) -> bool:
        """Return whether the connection has ended."""
        return self.is_aborted

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self) -> None:
        """Do nothing."""


class HeldElementTest(unittest.TestCase):
    """What the parser and the head of one answer may hold."""

    def setUp(self) -> None:
        """Connect an answer to an account."""
        self.held = HeldBytes()
        self.answer = HttpAnswer('GET', self.held)
        self.transport = _Transport()
        self.answer.connection_made(self.transport)

    def _received_bytes(self, begin: bytes, repeated: bytes) -> int:
        """Return how much is received before the connection is ended."""
        self.answer.data_received(begin)
        received_bytes = 0
        while not self.transport.is_aborted:
            self.answer.data_received(repeated)
            received_bytes += len(repeated)
            if received_bytes > _SENT_LIMIT_BYTES:
                break
        return received_bytes

    def test_element_without_end_after_a_large_body_is_bounded(self) -> None:
        """The bound grew by sixteen bytes for each byte of the body."""
        body = b'100000\r\n%b\r\n' % (b'x' * 1048576)
        for element in (b'0\r\nx-a: ', b'0\r\nx-a', b'5;x='):
            with self.subTest(element=element):
                self.setUp()
                received_bytes = self._received_bytes(
                    _CHUNKED + body + element, b'x' * 8192
                )
                self.assertLess(received_bytes, _UNENDED_LIMIT_BYTES)

    def test_head_of_small_fields_is_bounded(self) -> None:
        """Each field takes far more memory than the four bytes sent."""
        received_bytes = self._received_bytes(_OK, b'a:\r\n' * 16)
        self.assertLess(received_bytes, _SMALL_FIELDS_LIMIT_BYTES)

    def test_head_counts_in_the_account(self) -> None:
        """Heads of many answers together were counted nowhere."""
        self.answer.data_received(
            _OK + b'x-a: %b\r\nx-b: 1\r\n' % (b'x' * 8000)
        )
        self.assertGreater(self.held.held_bytes, 8000)
        self.answer.close()
        self.assertEqual(self.held.held_bytes, 0)

    def test_interim_heads_are_not_added_up(self) -> None:
        interim = b'HTTP/1.1 100 Continue\r\nx-a: %b\r\n\r\n' % (b'x' * 100)
        self.answer.data_received(interim * 10)
        self.answer.data_received(_OK + b'content-length: 0\r\n\r\n')
        self.assertTrue(self.answer.complete)
        self.answer.close()
        self.assertEqual(self.held.held_bytes, 0)
