"""A late answer is never taken for that of a later call."""

import asyncio
import json
import unittest

from yuccavalve.adapters.http import CallFailedError, HttpJsonClient

_TIMEOUT_S = 0.2
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
        self.addAsyncCleanup(self.caller.async_close)

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
