"""Zones that the operator evacuates, with the stand-in store and engines."""

import asyncio

from tests.platform.evacuation_fleet import ZONES, EvacuationFleet
from yuccavalve.fleet.const import ROUTING_WAIT_S

_REFUSED = 503


class EvacuationTest(EvacuationFleet):
    """Three daemons before two zones, each with a replica and a server."""

    async def test_zone_is_evacuated_and_taken_back(self) -> None:
        epochs = self.epochs()
        isolated = next(
            number
            for number, each in enumerate(self.daemons)
            if not each.node.share_state.plans
        )
        self.links[isolated].block()
        await self.async_evacuate('zone-a')
        await self.async_until_known('zone-a')
        before = self.runs('zone-a')
        answers = await self.async_send()
        self.assertEqual({each.status for each in answers}, {200})
        self.assertEqual(self.runs('zone-a'), before)
        # Replicas of the zone are not formed again once it is taken back.
        self.assertEqual(self.epochs(), epochs)
        await self.fleet.store.async_remove('op', 'evacuate/zone-a')
        await self.async_until_known()
        await self.async_send()
        self.assertGreater(self.runs('zone-a'), before)
        self.assertEqual(self.epochs(), epochs)
        self.links[isolated].unblock()

    async def test_planner_without_the_store_does_not_delay_the_others(
        self,
    ) -> None:
        plans = [each.node.share_state.plans for each in self.daemons]
        self.links[plans.index(True)].block()
        await self.async_evacuate('zone-a')
        await self.async_until_known('zone-a')
        self.links[plans.index(True)].unblock()

    async def test_requests_are_refused_when_all_zones_are_evacuated(
        self,
    ) -> None:
        await self.async_evacuate(*ZONES)
        await self.async_until_known(*ZONES)
        before = len(self.fleet.all_runs)
        for answer in await self.async_send():
            self.assertEqual(answer.status, _REFUSED)
            self.assertGreater(float(answer.headers[b'retry-after']), 0)
        self.assertEqual(len(self.fleet.all_runs), before)
        # A daemon that lost the history must see that the rows are gone.
        self.fleet.store.faults.down = True
        await asyncio.sleep(2 * ROUTING_WAIT_S)
        for zone in ZONES:
            await self.fleet.store.async_remove('op', f'evacuate/{zone}')
        self.fleet.store.forget_history()
        self.fleet.store.faults.down = False
        await self.async_until_known()

    async def test_daemon_that_starts_knows_before_it_is_ready(self) -> None:
        await self.async_evacuate('zone-a')
        await self.async_until_known('zone-a')
        await self.daemons[0].async_kill()
        before = self.runs('zone-a')
        await self.async_add_daemon(0)
        self.assertEqual(self.daemons[-1].node.evacuations.zones, {'zone-a'})
        answers = await self.async_send(self.daemons[-1])
        self.assertIn(200, {each.status for each in answers})
        self.assertEqual(self.runs('zone-a'), before)
