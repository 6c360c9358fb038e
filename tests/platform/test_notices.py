"""Engines that say in their answers that they leave, or ask for a backoff."""

import asyncio
import unittest

from tests.platform import builders
from tests.platform.standin import EngineStandin, FleetStandin
from tests.platform.support import (
    Answer,
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)
from yuccavalve.fleet.const import LEAVING_TELL_S

_STREAM = {'model': builders.MODEL, 'token_counts': '100,80'}
_BACKOFF_S = 1.0
_REQUESTS = 12


class TwoDaemonsTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons before two plain servers."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and the daemons."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(count=2))
        await self.fleet.async_configure(builders.configuration())
        self.daemons = [
            DaemonRun(
                builders.settings(
                    self.fleet.store_address, name=f'front-{seed}'
                ),
                seed,
            )
            for seed in (1, 2)
        ]
        for daemon in self.daemons:
            await daemon.async_start()
        await async_until(
            lambda: all(
                each.node.live_daemons() == 2
                and len(each.node.view.backends('portal')) == 2
                for each in self.daemons
            ),
            'both daemons know each other and the servers',
        )

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemons and the stand-in."""
        await async_stop_all(self.fleet, *self.daemons)

    async def test_daemons_tell_each_other_of_leaving_engines(self) -> None:
        for told, other in (self.daemons, self.daemons[::-1]):
            name = 'p-0' if told is self.daemons[0] else 'p-1'
            leaving = self.fleet.engines[name]
            leaving.says_leaving = True
            caller = Caller(told.caller_address, builders.KEY)
            while not told.node.view.engine(name).draining:
                await caller.async_call('GET', '/get/x', f'id-{name}')
            await async_until(
                lambda: other.node.view.engine(name).draining,  # noqa: B023
                f'{name} is draining for the other daemon',
            )

    async def test_daemon_that_starts_later_does_not_use_a_leaving_engine(
        self,
    ) -> None:
        leaving = self.fleet.engines['p-0']
        leaving.says_leaving = True
        for daemon in self.daemons:
            caller = Caller(daemon.caller_address, builders.KEY)
            while not daemon.node.view.engine('p-0').draining:
                await caller.async_call('GET', '/get/x', 'told')
        await asyncio.sleep(LEAVING_TELL_S + 1)
        reached = len(leaving.received_headers)
        started = DaemonRun(
            builders.settings(self.fleet.store_address, name='front-3'), 3
        )
        self.daemons.append(started)
        await started.async_start()
        await async_until(
            lambda: started.node.live_daemons() == 3, 'it knows the others'
        )
        caller = Caller(started.caller_address, builders.KEY)
        for number in range(_REQUESTS):
            await caller.async_call('GET', '/get/x', f'late-{number}')
            await asyncio.sleep(0.1)
        self.assertEqual(len(leaving.received_headers), reached)


class NoticeTest(unittest.IsolatedAsyncioTestCase):
    """One daemon, four engines of one fabric domain, two plain servers."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and a daemon."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(count=4))
        await self.fleet.async_configure(builders.configuration())
        self.daemon = DaemonRun(builders.settings(self.fleet.store_address))
        await self.daemon.async_start()
        self.view = self.daemon.node.view
        await async_until(
            lambda: (
                len(self.view.backends('portal')) == 2
                and len(self.view.heads('llm', builders.MODEL)) == 2
            ),
            'both services serve',
        )
        self.caller = Caller(self.daemon.caller_address, builders.KEY)

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemon and the stand-in."""
        await async_stop_all(self.fleet, self.daemon)

    async def _async_get(self, request_id: str) -> Answer:
        return await self.caller.async_call('GET', '/get/x', request_id)

    async def _async_get_until_reached(self, engine: EngineStandin) -> None:
        number = 0
        while not engine.received_headers:
            number += 1
            await self._async_get(f'first-{number}')

    async def test_engine_that_says_it_leaves_gets_no_new_requests(
        self,
    ) -> None:
        leaving = self.fleet.engines['p-0']
        leaving.says_leaving = True
        self.fleet.store.faults.down = True
        await self._async_get_until_reached(leaving)
        for number in range(_REQUESTS):
            answer = await self._async_get(f'id-{number}')
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(leaving.received_headers), 1)
        self.fleet.store.faults.down = False
        await asyncio.sleep(1)
        for number in range(_REQUESTS):
            await self._async_get(f'listed-{number}')
        self.assertEqual(len(leaving.received_headers), 1)

    async def test_replica_with_a_leaving_member_is_replaced(self) -> None:
        head = self.view.heads('llm', builders.MODEL)[0].engine
        leaving = self.fleet.engines[head]
        leaving.says_leaving = True
        number = 0
        while not leaving.received_headers:
            number += 1
            await self.caller.async_call(
                'POST', '/llm/x', f's-{number}', **_STREAM
            )
        self.assertTrue(self.view.engine(head).draining)
        heads = [each.engine for each in self.view.heads('llm', builders.MODEL)]
        self.assertNotIn(head, heads)

    async def test_engine_that_asks_for_a_backoff_is_left_alone(self) -> None:
        refusing = self.fleet.engines['p-0']
        refusing.retry_after = str(_BACKOFF_S)
        await self._async_get_until_reached(refusing)
        for number in range(_REQUESTS):
            answer = await self._async_get(f'id-{number}')
            self.assertEqual(answer.status, 200)
        self.assertEqual(len(refusing.received_headers), 1)
        refusing.retry_after = ''
        await asyncio.sleep(_BACKOFF_S * 1.2)
        number = 0
        async with asyncio.timeout(5):
            while len(refusing.received_headers) == 1:
                number += 1
                await self._async_get(f'later-{number}')

    async def test_refusal_tells_when_the_first_backoff_ends(self) -> None:
        for name in ('p-0', 'p-1'):
            self.fleet.engines[name].retry_after = '3'
        refused = await self._async_get('id-1')
        self.assertEqual(refused.status, 503)
        refused = await self._async_get('id-2')
        self.assertEqual(refused.status, 503)
        self.assertGreater(float(refused.headers[b'retry-after']), 2)
        received = [
            len(self.fleet.engines[name].received_headers)
            for name in ('p-0', 'p-1')
        ]
        self.assertEqual(received, [1, 1])
