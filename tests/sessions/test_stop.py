"""A planned stop lets requests finish."""

import asyncio

from script.tools.cluster import DaemonOptions
from tests.support.session import SessionTest

_MEMBER_LEAVING = 2003
_STOP_BOUND_REACHED = 3004


class StopSession(SessionTest):
    """The steps of a planned stop, and its time bound."""

    async def test_streams_end_before_the_daemon(self) -> None:
        options = DaemonOptions(entry_lifetime_s=2)
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
