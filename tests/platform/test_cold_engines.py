"""A plain server that becomes cold under load, before three daemons."""

import asyncio
import time
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
from tests.support.warmup_model import BOUND_PER_S, most_in_second
from yuccavalve.fleet.activity import process_hash
from yuccavalve.settings import BoundSettings

_DAEMONS = 3
_COLD_S = 3.0
_INTERVAL_S = 0.02
_PLANNER_S = 2.8


class ColdEngineTest(unittest.IsolatedAsyncioTestCase):
    """One plain server and three daemons that know each other."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and the daemons."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(0, plain=1))
        document = builders.configuration()
        document['services'][1].update(cold_s=_COLD_S, cold_per_s=15)
        await self.fleet.async_configure(document)
        settings = builders.settings(self.fleet.store_address)
        bounds = BoundSettings(grace_s=3, cold_overage=1.5, cold_slack=5)
        self.daemons = []
        for seed in range(_DAEMONS):
            daemon = DaemonRun(
                attrs.evolve(
                    settings,
                    bounds=bounds,
                    daemon=attrs.evolve(settings.daemon, name=f'front-{seed}'),
                ),
                seed,
            )
            self.daemons.append(daemon)
            await daemon.async_start()
        await async_until(
            lambda: all(
                each.node.live_daemons() == _DAEMONS
                and each.node.planner()
                and each.node.view.backends('portal')
                for each in self.daemons
            ),
            'all daemons serve and know the planner',
        )
        self.statuses: list[int] = []

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemons and the stand-in."""
        await async_stop_all(self.fleet, *self.daemons)

    async def _async_send(self, number: int) -> None:
        address = self.daemons[number % _DAEMONS].caller_address
        caller = Caller(address, builders.KEY)
        answer = await caller.async_call('GET', '/get/x', f'id-{number}')
        self.statuses.append(answer.status)

    async def _async_send_for(self, duration_s: float, first: int) -> None:
        until_s = time.monotonic() + duration_s
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < until_s:
                tasks.create_task(self._async_send(first))
                first += 1
                await asyncio.sleep(_INTERVAL_S)

    async def test_all_daemons_together_hold_the_bound(self) -> None:
        engine = self.fleet.engines['p-0']
        # A new planner grants nothing while permits of the last may be used.
        await asyncio.sleep(_PLANNER_S)
        await self._async_send_for(0.3, 1000)
        engine.cold_until_s = time.monotonic() + _COLD_S
        record = self.daemons[0].node.view.engine('p-0')
        await async_until(
            lambda: all(
                each.node.limiter.is_cold(
                    process_hash(record), each.node.clock.now_s()
                )
                for each in self.daemons
            ),
            'all daemons know that it is cold',
        )
        began_s = time.monotonic()
        await self._async_send_for(engine.cold_until_s - began_s - 0.1, 2000)
        cold = [at_s for at_s in engine.requests_s if at_s < began_s + _COLD_S]
        self.assertLessEqual(most_in_second(cold), BOUND_PER_S)
        taken = sum(at_s >= began_s for at_s in cold)
        # Two seconds of the bound, of which half is used at least.
        self.assertGreaterEqual(taken, BOUND_PER_S)
        self.assertLessEqual(set(self.statuses), {200, 503})
        self.statuses.clear()
        await asyncio.sleep(0.3)
        await self._async_send_for(0.5, 3000)
        self.assertEqual(set(self.statuses), {200})
