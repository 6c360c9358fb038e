"""When a planned stop cancels requests in flight."""

import asyncio
import unittest

import attrs

from tests.platform import builders
from tests.platform.standin import FleetStandin
from tests.platform.support import (
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)

_WORK_S = 10.0
_LAST_PART = 1 / 6


class StopBoundTest(unittest.IsolatedAsyncioTestCase):
    """A daemon before a plain service that works longer than it may run on."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(count=0))
        await self.fleet.async_configure(builders.configuration())
        for engine in self.fleet.engines.values():
            engine.options = attrs.evolve(engine.options, token_s=_WORK_S)

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the stand-in."""
        await async_stop_all(self.fleet)

    async def test_work_goes_on_into_the_last_part_of_a_short_grace(
        self,
    ) -> None:
        """Guards against cuts before the last sixth of the grace time."""
        for grace_s in (1.0, 2.0, 3.0):
            with self.subTest(grace_s=grace_s):
                status, cut_s = await self._async_stop_with(grace_s)
                self.assertEqual(status, 502)
                self.assertGreaterEqual(cut_s, grace_s * (1 - _LAST_PART))
                self.assertLess(cut_s, grace_s)

    async def _async_stop_with(self, grace_s: float) -> tuple[int, float]:
        """Return the status and the time of the answer at the bound."""
        settings = builders.settings(self.fleet.store_address)
        daemon = DaemonRun(
            attrs.evolve(
                settings, bounds=attrs.evolve(settings.bounds, grace_s=grace_s)
            )
        )
        await daemon.async_start()
        self.addAsyncCleanup(daemon.async_kill)
        node = daemon.node
        await async_until(
            lambda: len(node.view.backends('portal')) == 2,
            'both servers are known',
        )
        caller = Caller(daemon.caller_address, builders.KEY)
        call = asyncio.create_task(
            caller.async_call('POST', '/once/x', f'once-{grace_s}')
        )
        await async_until(
            lambda: f'once-{grace_s}' in self.fleet.all_runs, 'it runs'
        )
        began_s = node.clock.now_s()
        stop = asyncio.create_task(daemon.async_stop())
        answer = await call
        cut_s = node.clock.now_s() - began_s
        await stop
        return answer.status, cut_s
