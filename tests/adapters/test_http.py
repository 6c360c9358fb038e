"""Late, broken and endless answers are never taken for that of a call."""

import asyncio
import json
import unittest

from tests.support.byte_server import ByteServer
from yuccavalve.adapters.http import CallFailedError, HttpJsonClient

_TIMEOUT_S = 0.2
_LONG_TIMEOUT_S = 10.0
_OK = b'HTTP/1.1 200 OK\r\n'
# The largest reply, and what the sockets buffer in between.
_SENT_LIMIT_BYTES = 64000000
_HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'


class LateAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A server holds back its answer, or part of it, until told to send."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Listen on a free port."""
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.early_bytes = 0
        server = await asyncio.start_server(self._async_serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.caller = HttpJsonClient(_TIMEOUT_S)

    async def _async_serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while True:
                await self._async_answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _async_answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        length = int(head.lower().split(b'content-length: ')[1].split()[0])
        body = await reader.readexactly(length)
        reply = f'{_HEAD}content-length: {length}\r\n\r\n'.encode() + body
        writer.write(reply[: self.early_bytes])
        await self.may_answer.wait()
        writer.write(reply[self.early_bytes :])
        await writer.drain()

    async def _async_call(self, number: int) -> int:
        reply = await self.caller.async_post(self.address, '/', number)
        return json.loads(str(reply.body))

    async def test_after_a_timeout(self) -> None:
        for early_bytes in (0, 10, 60):
            with self.subTest(early_bytes=early_bytes):
                self.early_bytes = early_bytes
                self.assertEqual(await self._async_call(1), 1)
                self.may_answer.clear()
                with self.assertRaises(CallFailedError):
                    await self._async_call(2)
                self.may_answer.set()
                self.assertEqual(await self._async_call(3), 3)

    async def test_after_a_cancellation(self) -> None:
        self.assertEqual(await self._async_call(1), 1)
        self.may_answer.clear()
        call = asyncio.create_task(self._async_call(2))
        await asyncio.sleep(_TIMEOUT_S / 4)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        self.may_answer.set()
        self.assertEqual(await self._async_call(3), 3)


class UnusableAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A server whose answers are broken off, no JSON, or don't end."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the server."""
        self.server = ByteServer()
        await self.server.async_start()
        self.addAsyncCleanup(self.server.async_stop)
        self.caller = HttpJsonClient(_LONG_TIMEOUT_S)

    async def _async_check_unanswered(self) -> None:
        with self.assertRaises(CallFailedError) as raised:
            await self.caller.async_post(self.server.address, '/', {})
        self.assertTrue(raised.exception.sent)

    async def test_answer_broken_off_at_each_byte(self) -> None:
        body = b'{"rows": [1]}'
        length = f'content-length: {len(body)}\r\n'.encode()
        chunks = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        for whole in (
            b'%b%b\r\n%b' % (_OK, length, body),
            b'%btransfer-encoding: chunked\r\n\r\n%b' % (_OK, chunks),
            b'%b\r\n%b' % (_OK, body),
        ):
            for sent_bytes in range(len(whole)):
                self.server.answer_bytes = whole[:sent_bytes]
                with self.subTest(sent=self.server.answer_bytes):
                    await self._async_check_unanswered()
            self.server.answer_bytes = whole
            reply = await self.caller.async_post(self.server.address, '/', {})
            self.assertEqual(reply.body, {'rows': [1]})

    async def test_deeply_nested_answer(self) -> None:
        self.server.answer_bytes = b'%b\r\n%b' % (_OK, b'[' * 100000)
        await self._async_check_unanswered()

    async def test_endless_answers_are_closed_at_a_bound(self) -> None:
        for begin, repeated in (
            (b'HTTP/1.1 200 ', b'x' * 8192),
            (_OK, b'x-a: 1\r\n' * 1000),
            (
                _OK + b'transfer-encoding: chunked\r\n\r\nfffffffff\r\n',
                b' ' * 65536,
            ),
            (_OK + b'\r\n', b' ' * 65536),
        ):
            self.server.answer_bytes = begin
            self.server.repeated_bytes = repeated
            self.server.caller_closed.clear()
            with self.subTest(begin=begin):
                await self._async_check_unanswered()
                await self.server.caller_closed.wait()
                self.assertLess(self.server.sent_bytes, _SENT_LIMIT_BYTES)
