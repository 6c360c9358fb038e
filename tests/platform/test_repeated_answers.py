"""Servers that send a late second copy of an answer."""

import asyncio
import unittest

from tests.platform import builders
from tests.platform.standin import FleetStandin
from tests.platform.support import DaemonRun, async_stop_all, async_until

_REQUESTS = 10
# Between requests, so that second copies arrive before, in and after them.
_PAUSES_S = (0, 0.03, 0.09, 0.12)


class RepeatedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """One daemon before two such servers, and a caller's kept connection."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and the daemon."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(count=2))
        for engine in self.fleet.engines.values():
            engine.repeats_answers = True
        await self.fleet.async_configure(builders.configuration())
        self.daemon = DaemonRun(builders.settings(self.fleet.store_address))
        await self.daemon.async_start()
        await async_until(
            lambda: len(self.daemon.node.view.backends('portal')) == 2,
            'both servers are known',
        )
        host, _, port = self.daemon.caller_address.rpartition(':')
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemon and the stand-in."""
        self.writer.close()
        await async_stop_all(self.fleet, self.daemon)

    async def _async_post(self, name: str) -> tuple[dict[bytes, bytes], bytes]:
        body = name.encode()
        self.writer.write(
            b'POST /get/x HTTP/1.1\r\nhost: h.example\r\n'
            b'request-id: %b\r\nx-api-key: %b\r\ncontent-length: %d\r\n\r\n%b'
            % (body, builders.KEY.encode(), len(body), body)
        )
        head = await self.reader.readuntil(b'\r\n\r\n')
        fields = {}
        for line in head.split(b'\r\n')[1:-2]:
            field, _, text = line.partition(b': ')
            fields[field.lower()] = text
        length = int(fields[b'content-length'])
        return fields, await self.reader.readexactly(length)

    async def test_second_copy_of_an_answer_reaches_no_caller(self) -> None:
        for number in range(_REQUESTS):
            name = f'id-{number}'
            async with asyncio.timeout(10):
                fields, body = await self._async_post(name)
            self.assertEqual(fields[b'request-id'], name.encode())
            self.assertEqual(body, b'answer to ' + name.encode())
            await asyncio.sleep(_PAUSES_S[number % len(_PAUSES_S)])
