"""Callers that read their answers slowly."""

import asyncio
import re
import socket
import unittest
from collections.abc import Mapping

import attrs

from tests.platform import builders
from tests.platform.standin import EngineOptions, FleetStandin
from tests.platform.support import DaemonRun, async_stop_all, async_until
from yuccavalve.memory import ALWAYS_BYTES
from yuccavalve.settings import MemorySettings

_EVENTS = 200
_PAUSE_S = 1.5
_HELD_MB = 2
_CALLERS = 20
_BODY_BYTES = 4000000
_RECEIVE_BUFFER_BYTES = 32768


class SlowCallerTest(unittest.IsolatedAsyncioTestCase):
    """One daemon before two replicas whose streams have some MB."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and a daemon."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(
            EngineOptions(
                f'i-{number}',
                'llm',
                fabric_domain='zone-a-d0',
                token_s=0.005,
                events=_EVENTS,
                event_bytes=16384,
            )
            for number in range(4)
        )
        for name in ('p-0', 'p-1'):
            await self.fleet.async_add(EngineOptions(name, 'portal', slots=99))
        await self.fleet.async_configure(builders.configuration())
        settings = builders.settings(self.fleet.store_address)
        self.daemon = DaemonRun(
            attrs.evolve(settings, memory=MemorySettings(held_mb=_HELD_MB))
        )
        await self.daemon.async_start()
        view = self.daemon.node.view
        await async_until(
            lambda: len(view.heads('llm', builders.MODEL)) == 2,
            'two replicas serve',
        )

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemon and the stand-in."""
        await async_stop_all(self.fleet, self.daemon)

    async def _async_open(
        self, target: bytes = b'/llm/x', name: str = 'slow'
    ) -> asyncio.StreamReader:
        """Ask for an answer on a connection that buffers little."""
        connection = socket.socket()
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        connection.setblocking(False)
        host, _, port = self.daemon.caller_address.rpartition(':')
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (host, int(port)))
        reader, writer = await asyncio.open_connection(
            sock=connection, limit=_RECEIVE_BUFFER_BYTES
        )
        self.addCleanup(writer.close)
        writer.write(
            b'POST %b HTTP/1.1\r\nhost: h.example\r\nrequest-id: %b\r\n'
            b'x-api-key: %b\r\nmodel: %b\r\ntoken-counts: 100,80\r\n'
            b'content-length: 0\r\nconnection: close\r\n\r\n'
            % (
                target,
                name.encode(),
                builders.KEY.encode(),
                builders.MODEL.encode(),
            )
        )
        return reader

    async def test_pause_of_a_caller_is_no_stall_of_the_engine(self) -> None:
        """Guards against lost pieces, and against strikes for the engine."""
        reader = await self._async_open()
        answer = await reader.readuntil(b'id: 2\n')
        await asyncio.sleep(_PAUSE_S)
        answer += await reader.read(-1)
        self.assertTrue(answer.endswith(b'\r\n0\r\n\r\n'), answer[-80:])
        events = [int(each) for each in re.findall(rb'id: (\d+)\n', answer)]
        self.assertEqual(events, list(range(1, _EVENTS + 1)))
        self.assertEqual(self.fleet.all_runs, ['slow'])
        activity = self.daemon.node.activity
        self.assertEqual(activity.strikes(self.daemon.node.clock.now_s()), {})

    async def _async_call_slowly(self, sent_bytes: int) -> list[bytes]:
        """Call servers that send so much; return the answers."""

        def script(fields: Mapping[str, str]) -> bytes:
            return (
                'HTTP/1.1 200 X\r\nResponse-Signature: s\r\n'
                f'Request-Id: {fields["request-id"]}\r\n'
                f'Content-Length: {_BODY_BYTES}\r\n\r\n'
            ).encode() + bytes(sent_bytes)

        for name in ('p-0', 'p-1'):
            self.fleet.engines[name].answer_bytes = script
        await async_until(
            lambda: len(self.daemon.node.view.backends('portal')) == 2,
            'both servers are known',
        )
        readers = [
            await self._async_open(b'/get/x', f'id-{number}')
            for number in range(_CALLERS)
        ]
        await asyncio.sleep(1)
        return await asyncio.gather(*(each.read(-1) for each in readers))

    async def test_large_answer_that_breaks_off_is_not_begun_again(
        self,
    ) -> None:
        """Guards against a body that is joined of two answers."""
        for answer in await self._async_call_slowly(_BODY_BYTES // 2):
            self.assertLessEqual(answer.count(b'\0'), _BODY_BYTES // 2)
            self.assertFalse(answer.endswith(b'\r\n0\r\n\r\n'))

    async def test_what_is_held_for_all_callers_is_bounded(self) -> None:
        """Guards against a daemon that outgrows its memory."""
        held = self.daemon.node.ports.held
        for answer in await self._async_call_slowly(_BODY_BYTES):
            body = answer.partition(b'\r\n\r\n')[2]
            self.assertEqual(body.count(b'\0'), _BODY_BYTES)
            is_chunked = b'transfer-encoding: chunked' in answer[:400]
            self.assertTrue(not is_chunked or body.endswith(b'\r\n0\r\n\r\n'))
        bound_bytes = _HELD_MB * 1048576 + _CALLERS * ALWAYS_BYTES * 2
        self.assertLessEqual(held.peak_bytes, bound_bytes)
        self.assertGreater(held.waits, 0)
        self.assertEqual(held.held_bytes, 0)
