"""Callers that wait at a daemon while a replica is lost and repaired."""

import asyncio
import unittest

import attrs

from tests.platform import builders
from tests.platform.standin import EngineOptions, FleetStandin
from tests.platform.support import (
    Answer,
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)
from yuccavalve.fleet.const import FRESH_PROGRESS_S
from yuccavalve.settings import AdmissionSettings

_STREAM = {'model': builders.MODEL, 'token_counts': '100,80'}
_CALLERS = 8


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """One replica of two engines, and one plain server."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and a daemon with an admission queue."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(2, plain=1))
        await self.fleet.async_configure(builders.configuration())
        settings = attrs.evolve(
            builders.settings(self.fleet.store_address),
            admission=AdmissionSettings(queue=True),
        )
        self.daemon = DaemonRun(settings)
        await self.daemon.async_start()
        await self.daemon.async_until_serving('llm', builders.MODEL)
        self.caller = Caller(self.daemon.caller_address, builders.KEY)
        self.gate = self.daemon.node.gateway.admission

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemon and the stand-in."""
        await async_stop_all(self.fleet, self.daemon)

    def _call(self, request_id: str) -> 'asyncio.Task[Answer]':
        return asyncio.create_task(
            self.caller.async_call('POST', '/llm/x', request_id, **_STREAM)
        )

    async def test_none_is_refused_while_a_replica_is_repaired(self) -> None:
        first = await self._call('first')
        self.assertEqual(first.status, 200)
        # Failed connections don't count just after progress.
        await asyncio.sleep(FRESH_PROGRESS_S)
        (head,) = self.daemon.node.view.heads('llm', builders.MODEL)
        await self.fleet.async_kill(head.engine)
        calls = [self._call(f'id-{number}') for number in range(_CALLERS)]
        leaving = self._call('leaving')
        await async_until(lambda: len(self.gate.queue), 'requests wait')
        leaving.cancel()
        for name in ('i-8', 'i-9'):
            await self.fleet.async_add(
                EngineOptions(name, 'llm', fabric_domain='zone-a-d1')
            )
        answers = await asyncio.gather(*calls)
        self.assertEqual({each.status for each in answers}, {200})
        self.assertTrue(self.gate.released)
        self.assertNotIn('leaving', self.fleet.all_runs)
        self.assertEqual(self.fleet.violations, [])
        self.assertEqual(len(self.gate.queue), 0)

    async def test_once_only_requests_wait_and_run_once(self) -> None:
        ids = [f'once-{number}' for number in range(_CALLERS)]
        await self.caller.async_call('GET', '/get/x', 'plain')
        (server,) = self.daemon.node.view.backends('portal')
        server_key = f'{server.engine}/{server.born_ms}/0'
        activity = self.daemon.node.activity
        activity.avoid(server_key, self.daemon.node.clock.now_s() + 0.5)
        answers = await asyncio.gather(
            *(self.caller.async_call('POST', '/once/x', each) for each in ids)
        )
        self.assertEqual({each.status for each in answers}, {200})
        self.assertEqual(self.gate.released, _CALLERS)
        runs = [each for each in self.fleet.all_runs if each in ids]
        self.assertCountEqual(runs, ids)
