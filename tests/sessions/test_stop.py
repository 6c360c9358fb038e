"""A planned stop lets requests finish."""

import asyncio
import json
from typing import Any

from script.tools.cluster import DaemonOptions
from tests.support.session import KEY, SessionTest, at_most_once

_MEMBER_LEAVING = 2003
_STOP_BOUND_REACHED = 3004
# A request without a deadline of its own has 120 s.
_PAST_DEFAULT_DEADLINE_S = 150.0
_LONG_WORK_S = 4
_SEND_INTERVAL_S = 0.1


class StopSession(SessionTest):
    """The steps of a planned stop, and its time bound."""

    async def test_streams_end_before_the_daemon(self) -> None:
        options = DaemonOptions(
            entry_lifetime_s=2, drain_bound_s=_PAST_DEFAULT_DEADLINE_S
        )
        await self.async_start(daemons=2, options=options)
        streams = [
            asyncio.create_task(self.async_ask('e0', f's {number}', 300))
            for number in range(5)
        ]
        await asyncio.sleep(0.5)
        leaving = self.cluster.processes['e0']
        leaving.terminate()
        entries = await self.caller.async_entries(self.address('e1'))
        while leaving.address in entries:
            await asyncio.sleep(0.05)
            entries = await self.caller.async_entries(self.address('e1'))
        within = await self.async_ask('e0', 'within the lifetime')
        self.assertTrue(within.complete)

        async def async_ask():  # type: ignore[no-untyped-def]
            return await self.async_ask('e0', 'late')

        late = await self.async_until_code(async_ask, _MEMBER_LEAVING, 5)
        self.assertEqual(
            late.body['error']['entries'],
            [self.address('e1')],
        )
        self.assertIn('retry-after', late.headers)
        answers = await asyncio.gather(*streams)
        self.assertTrue(all(answer.complete for answer in answers))
        self.assertEqual(await leaving.async_wait(20), 0)

    async def test_bound_and_second_signal(self) -> None:
        await self.async_start()
        stream = asyncio.create_task(self.async_ask('e0', 'long', 3000))
        await asyncio.sleep(0.5)
        leaving = self.cluster.processes['e0']
        leaving.terminate()
        await asyncio.sleep(2)
        leaving.terminate()
        answer = await stream
        self.assertFalse(answer.complete)
        self.assertEqual(answer.code, _STOP_BOUND_REACHED)
        self.assertEqual(await leaving.async_wait(10), 3)

    async def test_bound_cuts_nothing_that_came_after_the_signal(self) -> None:
        """Guards against requests that are passed on and cut at the bound."""
        await self.async_start(
            options=DaemonOptions(entry_lifetime_s=1, drain_bound_s=1)
        )
        await self.cluster.async_call_admin(
            'portal', '/admin/faults', {'delay_s': _LONG_WORK_S}
        )
        held = await self._async_begin_call('/v1/services/portal/held', 'held')
        leaving = self.cluster.processes['e0']
        leaving.terminate()
        await asyncio.sleep(_SEND_INTERVAL_S)
        calls = [asyncio.create_task(self._async_end_call(*held))]
        for number in range(5):
            calls.append(
                asyncio.create_task(
                    self.caller.async_call(
                        self.address('e0'),
                        'POST',
                        '/v1/services/portal/once',
                        b'{}',
                        at_most_once(f'once-{number}'),
                    )
                )
            )
            calls.append(
                asyncio.create_task(self.async_ask('e0', f's {number}', 3000))
            )
            await asyncio.sleep(_SEND_INTERVAL_S)
        short = await self.async_ask(
            'e0', 'short', headers={'x-deadline-s': '0.5'}
        )
        answers = await asyncio.gather(*calls)
        self.assertEqual(await leaving.async_wait(20), 0)
        codes = [_code(answer) for answer in answers]
        self.assertEqual(codes, [_MEMBER_LEAVING] * len(answers))
        self.assertTrue(short.complete)
        runs = await self.cluster.async_call_admin('portal', '/admin/runs', {})
        self.assertEqual(runs, {})

    async def _async_begin_call(
        self, path: str, key: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a call without the end of its body."""
        host, _, port = self.address('e0').rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = (
            f'POST {path} HTTP/1.1',
            'host: h.example',
            f'authorization: Bearer {KEY}',
            f'idempotency-key: {key}',
            'content-length: 2',
            'connection: close',
        )
        writer.write('\r\n'.join((*lines, '', '{')).encode())
        await writer.drain()
        return reader, writer

    async def _async_end_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> dict[str, Any]:
        """Send the end of a call's body, and return the document it gets."""
        writer.write(b'}')
        answer = await reader.read()
        writer.close()
        document: dict[str, Any] = json.loads(answer.partition(b'\r\n\r\n')[2])
        return document


def _code(answer: Any) -> int:
    """Return the result code of an answer, or of its document."""
    code = answer['error']['code'] if isinstance(answer, dict) else answer.code
    return int(code)
