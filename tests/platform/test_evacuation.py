"""Zones that the operator evacuates, with the stand-in store and engines."""

import asyncio
import unittest

from script.tools.link import Link
from tests.platform import builders
from tests.platform.standin import EngineOptions, FleetStandin
from tests.platform.support import (
    Answer,
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)
from yuccavalve.fleet.const import ROUTING_WAIT_S

_DAEMONS = 3
_ZONES = ('zone-a', 'zone-b')
_STREAM = {'model': builders.MODEL, 'token_counts': '100,80'}
# Within this time after the row was written no request may reach the zone.
_TARGET_S = 2.0
_REFUSED = 503


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons before two zones, each with a replica and a server."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and the daemons, each behind its own link."""
        self.fleet = FleetStandin()
        self.links: list[Link] = []
        self.daemons: list[DaemonRun] = []
        self._sent = 0
        options = []
        for zone in _ZONES:
            options.append(EngineOptions(f'p-{zone}', 'portal', zone))
            options.extend(
                EngineOptions(f'i-{number}-{zone}', 'llm', zone, f'{zone}-d0')
                for number in range(2)
            )
        await self.fleet.async_start(options)
        await self.fleet.async_configure(builders.configuration())
        for number in range(_DAEMONS):
            await self._async_add_daemon(number)
        await async_until(self._are_all_serving, 'all daemons serve')

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemons, the stand-in and the links."""
        await async_stop_all(self.fleet, *self.daemons)
        for link in self.links:
            await link.async_close()

    async def _async_add_daemon(self, number: int) -> None:
        link = Link(self.fleet.store_address)
        await link.async_start()
        self.links.append(link)
        settings = builders.settings(link.address, name=f'front-{number}')
        daemon = DaemonRun(settings, number)
        self.daemons.append(daemon)
        await daemon.async_start()

    def _are_all_serving(self) -> bool:
        return all(
            each.node.live_daemons() == _DAEMONS
            and len(each.node.view.heads('llm', builders.MODEL)) == 2
            and len(each.node.view.backends('portal')) == 2
            for each in self.daemons
        )

    async def _async_evacuate(self, *zones: str) -> None:
        for zone in zones:
            await self.fleet.store.async_put('op', f'evacuate/{zone}', {})

    async def _async_until_known(self, *zones: str) -> None:
        await async_until(
            lambda: all(
                each.node.evacuations.zones == set(zones)
                for each in self.daemons
            ),
            f'all daemons take {zones} as evacuated',
            _TARGET_S,
        )

    async def _async_send(self, *daemons: DaemonRun) -> list[Answer]:
        """Send streams and plain requests to each daemon at the same time."""
        calls = []
        for daemon in daemons or self.daemons:
            caller = Caller(daemon.caller_address, builders.KEY)
            for _ in range(3):
                self._sent += 2
                calls.append(
                    caller.async_call(
                        'POST', '/llm/x', f's-{self._sent}', b'{}', **_STREAM
                    )
                )
                calls.append(
                    caller.async_call('GET', '/get/x', f'g-{self._sent}')
                )
        return await asyncio.gather(*calls)

    def _runs(self, zone: str) -> int:
        return sum(
            len(each.runs)
            for name, each in self.fleet.engines.items()
            if name.endswith(zone)
        )

    def _epochs(self) -> set[tuple[str, int]]:
        heads = self.daemons[0].node.view.heads('llm', builders.MODEL)
        return {(each.engine, each.membership.epoch) for each in heads}

    async def test_zone_is_evacuated_and_taken_back(self) -> None:
        epochs = self._epochs()
        isolated = next(
            number
            for number, each in enumerate(self.daemons)
            if not each.node.share_state.plans
        )
        self.links[isolated].block()
        await self._async_evacuate('zone-a')
        await self._async_until_known('zone-a')
        before = self._runs('zone-a')
        answers = await self._async_send()
        self.assertEqual({each.status for each in answers}, {200})
        self.assertEqual(self._runs('zone-a'), before)
        # Replicas of the zone are not formed again once it is taken back.
        self.assertEqual(self._epochs(), epochs)
        await self.fleet.store.async_remove('op', 'evacuate/zone-a')
        await self._async_until_known()
        await self._async_send()
        self.assertGreater(self._runs('zone-a'), before)
        self.assertEqual(self._epochs(), epochs)
        self.links[isolated].unblock()

    async def test_planner_without_the_store_does_not_delay_the_others(
        self,
    ) -> None:
        plans = [each.node.share_state.plans for each in self.daemons]
        self.links[plans.index(True)].block()
        await self._async_evacuate('zone-a')
        await self._async_until_known('zone-a')
        self.links[plans.index(True)].unblock()

    async def test_requests_are_refused_when_all_zones_are_evacuated(
        self,
    ) -> None:
        await self._async_evacuate(*_ZONES)
        await self._async_until_known(*_ZONES)
        before = len(self.fleet.all_runs)
        for answer in await self._async_send():
            self.assertEqual(answer.status, _REFUSED)
            self.assertGreater(float(answer.headers[b'retry-after']), 0)
        self.assertEqual(len(self.fleet.all_runs), before)
        # A daemon that lost the history must see that the rows are gone.
        self.fleet.store.faults.down = True
        await asyncio.sleep(2 * ROUTING_WAIT_S)
        for zone in _ZONES:
            await self.fleet.store.async_remove('op', f'evacuate/{zone}')
        self.fleet.store.forget_history()
        self.fleet.store.faults.down = False
        await self._async_until_known()

    async def test_daemon_that_starts_knows_before_it_is_ready(self) -> None:
        await self._async_evacuate('zone-a')
        await self._async_until_known('zone-a')
        await self.daemons[0].async_kill()
        before = self._runs('zone-a')
        await self._async_add_daemon(0)
        self.assertEqual(self.daemons[-1].node.evacuations.zones, {'zone-a'})
        answers = await self._async_send(self.daemons[-1])
        self.assertIn(200, {each.status for each in answers})
        self.assertEqual(self._runs('zone-a'), before)
