"""Bodies that end with their connection, read at once or polled."""

import asyncio
import unittest

from tests.support.byte_server import ByteServer
from yuccavalve.adapters.backend import (
    BackendCall,
    BackendClient,
    BackendStream,
)
from yuccavalve.exceptions import BackendLostError

_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
_WAIT_S = 5
_LIMIT_BYTES = 1000
_POLL_S = 0.002


class _PollAlways:
    """Schedule that polls every few milliseconds."""

    def is_polling(self) -> bool:
        return True

    async def async_wait(self, *, after_empty_read: bool) -> None:
        await asyncio.sleep(_POLL_S)


class UnframedBodyTest(unittest.IsolatedAsyncioTestCase):
    """A server that answers with neither a length nor chunks."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the server."""
        self.server = ByteServer()
        await self.server.async_start()
        self.addAsyncCleanup(self.server.async_stop)
        self.server.answer_bytes = _HEAD + b'hello'

    async def _async_open(self, *, polled: bool) -> BackendStream:
        call = BackendCall('GET', self.server.address, '/', {}, b'', _WAIT_S)
        stream = await BackendClient().async_open(call)
        self.addCleanup(stream.close)
        if polled:
            stream.poll_by(_PollAlways())
        return stream

    async def test_body_ends_with_its_connection(self) -> None:
        for polled in (False, True):
            with self.subTest(polled=polled):
                stream = await self._async_open(polled=polled)
                body = await stream.async_read_all(_WAIT_S, _LIMIT_BYTES)
                self.assertEqual(body, b'hello')

    async def test_reset_body_is_not_complete(self) -> None:
        self.server.resets = True
        for polled in (False, True):
            with (
                self.subTest(polled=polled),
                self.assertRaises(BackendLostError),
            ):
                stream = await self._async_open(polled=polled)
                await stream.async_read_all(_WAIT_S, _LIMIT_BYTES)

    async def test_body_closed_by_its_reader_is_not_complete(self) -> None:
        self.server.holds = True
        for polled in (False, True):
            with self.subTest(polled=polled):
                stream = await self._async_open(polled=polled)
                self.assertEqual(await stream.async_read(), b'hello')
                reading = asyncio.create_task(stream.async_read())
                await asyncio.sleep(_POLL_S * 3)
                stream.close()
                async with asyncio.timeout(_WAIT_S):
                    with self.assertRaises(BackendLostError):
                        await reading

    async def test_endless_head_is_closed(self) -> None:
        for begin, repeated in (
            (b'', b'x' * 8192),
            (b'HTTP/1.1 200 OK\r\n', b'x-a: 1\r\n' * 1000),
        ):
            self.server.answer_bytes = begin
            self.server.repeated_bytes = repeated
            self.server.caller_closed.clear()
            with self.subTest(begin=begin):
                async with asyncio.timeout(_WAIT_S):
                    with self.assertRaises(BackendLostError):
                        await self._async_open(polled=False)
                    await self.server.caller_closed.wait()
