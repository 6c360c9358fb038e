"""No replica serves with a missing host, and no two share a host."""

import asyncio
import time
from typing import Any

from tests.support.session import SessionTest, granted
from yuccavalve.const import GRANT_LIFETIME_S
from yuccavalve.ports import EngineOrder, OrderKind

_LEAVING_BOUND_S = 5


class ReplicaSession(SessionTest):
    """Hosts that die, freeze, restart, leave or get stale orders."""

    async def _async_first_replica(self, name: str) -> Any:
        return granted(await self.cluster.async_status(name))[0]

    async def test_killed_host(self) -> None:
        await self.async_start(daemons=2, hosts=3, hosts_per_replica=2)
        lost = await self._async_first_replica('e0')
        stream = asyncio.create_task(self.async_ask('e0', 'mid', 2000))
        await asyncio.sleep(0.5)
        self.cluster.processes[lost['hosts'][1]].kill()
        answer = await stream
        self.assertFalse(answer.complete)
        self.assertIn(answer.code, {3000, 3001, 3002})
        await asyncio.sleep(GRANT_LIFETIME_S + 1)
        for name in ('e0', 'e1'):
            status = await self.cluster.async_status(name)
            self.assertNotIn(
                lost['replica'],
                [replica['replica'] for replica in granted(status)],
            )
        status = await self.async_until_reformed('e1', lost['incarnation'])
        self.assertNotIn(lost['hosts'][1], granted(status)[0]['hosts'])
        self.assertTrue((await self.async_ask('e1', 'after')).complete)

    async def test_host_that_comes_back_is_another(self) -> None:
        await self.async_start(hosts=2, hosts_per_replica=2)
        lost = await self._async_first_replica('e0')
        host = lost['hosts'][1]
        address = self.address(host)
        self.cluster.processes[host].kill()
        await self.cluster.async_start_engine(
            host,
            'd1',
            '--listen',
            address,
        )
        status = await self.async_until_reformed('e0', lost['incarnation'])
        self.assertEqual(
            sorted(granted(status)[0]['hosts']),
            sorted(lost['hosts']),
        )
        self.assertTrue((await self.async_ask('e0', 'after')).complete)

    async def test_frozen_host(self) -> None:
        await self.async_start(hosts=3, hosts_per_replica=2)
        lost = await self._async_first_replica('e0')
        frozen = self.cluster.processes[lost['hosts'][1]]
        frozen.pause()
        status = await self.async_until_reformed('e0', lost['incarnation'])
        self.assertNotIn(lost['hosts'][1], granted(status)[0]['hosts'])
        frozen.resume()
        await asyncio.sleep(1)
        self.assertTrue((await self.async_ask('e0', 'after')).complete)

    async def test_engine_that_is_not_ready_any_more(self) -> None:
        await self.async_start(hosts=2, hosts_per_replica=2)
        lost = await self._async_first_replica('e0')
        await self.cluster.async_call_admin(
            lost['hosts'][0],
            '/admin/faults',
            {'dead': True},
        )
        status = await self.async_until_reformed('e0', lost['incarnation'])
        self.assertEqual(
            sorted(granted(status)[0]['hosts']),
            sorted(lost['hosts']),
        )

    async def test_leaving_host(self) -> None:
        await self.async_start(daemons=2, hosts=2)
        leaving = await self._async_first_replica('e0')
        stream = asyncio.create_task(self.async_ask('e1', 'long', 400))
        await asyncio.sleep(0.3)
        await self.cluster.async_call_admin(
            'platform',
            '/hosts/state',
            {'host': leaving['hosts'][0], 'state': 'leaving'},
        )
        leaving_since_s = time.monotonic()
        while time.monotonic() - leaving_since_s < _LEAVING_BOUND_S:
            await asyncio.sleep(0.1)
        for name in ('e0', 'e1'):
            status = await self.cluster.async_status(name)
            self.assertNotIn(
                leaving['replica'],
                [replica['replica'] for replica in granted(status)],
            )
        self.assertTrue((await stream).complete)
        await self.async_until_reformed('e0', leaving['incarnation'])

    async def test_planner_killed(self) -> None:
        names = await self.async_start(daemons=3, hosts=3, hosts_per_replica=2)
        lost = await self._async_first_replica('e0')
        holder = next(
            name for name in names if 'formed' in self.cluster.log(name)
        )
        self.cluster.processes[holder].kill()
        self.cluster.processes[lost['hosts'][0]].kill()
        other = next(name for name in names if name != holder)
        status = await self.async_until_reformed(other, lost['incarnation'])
        self.assertNotIn(lost['hosts'][0], granted(status)[0]['hosts'])

    async def test_rogue_order_to_an_engine_that_ignores_fences(self) -> None:
        await self.async_start(hosts=1, engine_options=('--no-fenced',))
        before = await self._async_first_replica('e0')
        order = EngineOrder(OrderKind.RELEASE, 0)
        await self.cluster.async_call_admin(
            'h0',
            '/v1/orders',
            {'kind': order.kind.value, 'fence': order.fence},
        )
        status = await self.async_until_reformed('e0', before['incarnation'])
        self.assertEqual(granted(status)[0]['hosts'], ['h0'])
        self.assertTrue((await self.async_ask('e0', 'after')).complete)

    async def test_old_order_is_refused_by_a_fenced_engine(self) -> None:
        await self.async_start(hosts=1)
        await self.cluster.async_call_admin(
            'h0',
            '/v1/orders',
            {'kind': 'release', 'fence': 0},
        )
        await asyncio.sleep(2)
        replica = await self._async_first_replica('e0')
        self.assertEqual(replica['incarnation'], 1)
