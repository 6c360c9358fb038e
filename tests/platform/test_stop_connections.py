"""Connections of callers while a daemon stops."""

import asyncio
import unittest

import attrs

from tests.platform import builders
from tests.platform.standin import FleetStandin
from tests.platform.support import DaemonRun, async_stop_all, async_until

_WORK_S = 0.6
_PAUSE_S = 0.1
_STOP_S = 30.0
_BODY_BYTES = 60000


class StopConnectionsTest(unittest.IsolatedAsyncioTestCase):
    """A daemon with a grace time of 3 s before a plain service."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and a daemon."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(count=0))
        await self.fleet.async_configure(builders.configuration())
        for engine in self.fleet.engines.values():
            engine.options = attrs.evolve(
                engine.options, slots=99, token_s=_WORK_S
            )
        self.daemon = DaemonRun(builders.settings(self.fleet.store_address))
        await self.daemon.async_start()
        await async_until(
            lambda: len(self.daemon.node.view.backends('portal')) == 2,
            'both servers are known',
        )

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemon and the stand-in."""
        await async_stop_all(self.fleet, self.daemon)

    async def _async_connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.daemon.caller_address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    def _begin_stop(self) -> asyncio.Task[int]:
        return asyncio.create_task(self.daemon.async_stop())

    async def _async_until_stopping(self) -> None:
        stop = self.daemon.node.gateway.stop
        await async_until(lambda: stop.stopping, 'the daemon stops')

    async def test_refusal_reaches_a_caller_that_still_sends(self) -> None:
        """Guards against a reset by unread bytes, which drops the refusal."""
        stop = self._begin_stop()
        await self._async_until_stopping()
        reader, writer = await self._async_connect()
        writer.write(_head('long', 60000, _BODY_BYTES))
        for _ in range(6):
            await asyncio.sleep(_PAUSE_S)
            writer.write(bytes(_BODY_BYTES // 6))
            await writer.drain()
        answer = await reader.read()
        self.assertIn(b' 503 ', answer.partition(b'\r\n')[0])
        writer.close()
        await stop
        self.assertNotIn('long', self.fleet.all_runs)

    async def test_pipelined_request_is_answered(self) -> None:
        """Guards against dropping what was read behind another request."""
        reader, writer = await self._async_connect()
        writer.write(_head('first', 2000) + _head('second', 1000))
        await async_until(
            lambda: len(self.daemon.node.gateway.running) == 1, 'it arrived'
        )
        stop = self._begin_stop()
        answer = await reader.read()
        heads = [each[:3] for each in answer.split(b'HTTP/1.1 ')[1:]]
        self.assertEqual(heads, [b'200', b'200'])
        self.assertEqual(answer.count(b'connection: close'), 1)
        await stop


def _head(request_id: str, deadline_ms: int, body_bytes: int = 0) -> bytes:
    lines = (
        'POST /once/x HTTP/1.1',
        'host: h.example',
        f'request-id: {request_id}',
        f'x-api-key: {builders.KEY}',
        f'deadline-ms: {deadline_ms}',
        f'content-length: {body_bytes}',
    )
    return '\r\n'.join((*lines, '', '')).encode()
