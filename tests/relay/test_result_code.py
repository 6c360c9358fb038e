"""Test that servers can't pass for a daemon that refuses a request."""

import asyncio
import unittest
from unittest import mock

from yuccavalve.const import HEADER_RESULT
from yuccavalve.ports.backend import BackendRequest
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.results import ResultCode
from yuccavalve_platform.requests import EngineBackend


class ServerResultCodeTest(unittest.IsolatedAsyncioTestCase):
    """A server whose answer carries a daemon's result code."""

    async def _async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        code = int(ResultCode.ENGINES_UNREACHABLE)
        writer.write(
            b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-other: 1\r\n'
            b'%s: %d\r\n\r\n' % (HEADER_RESULT.encode(), code)
        )
        await writer.drain()
        writer.close()

    async def test_result_code_of_a_server_is_dropped(self) -> None:
        """Guards against running a relayed request that was run again."""
        server = await asyncio.start_server(self._async_answer, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        request = BackendRequest(
            request_id='id-1',
            method='GET',
            target=b'/x',
            headers=(),
            body=b'',
            engine=EngineRecord('p-0', 'web', f'{host}:{port}', 'zone-a'),
            workspace='',
            deadline_s=1,
            priority=None,
            resume_after=None,
        )
        answer = await EngineBackend(mock.Mock()).async_open(request)
        answer.close()
        server.close()
        names = [name for name, _ in answer.headers]
        self.assertIn(b'x-other', names)
        self.assertNotIn(HEADER_RESULT.encode(), names)
