"""Network partitions between daemons and between regions."""

import asyncio

import attrs

from script.tools.cluster import DaemonOptions
from script.tools.link import Link
from script.tools.partition import Partition
from tests.support.session import SessionTest
from yuccavalve.const import CONFIG_MAX_AGE_S, CONFIG_MAX_LAG_S

_CHANGE_NOT_ACCEPTED = 4103
_CONFIGURATION_UNCONFIRMED = 2004
_SERVICE_UNKNOWN = 4003


class PartitionSession(SessionTest):
    """Partitions with the table service reachable or cut off."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Put links before the daemons and before the far region's store."""
        await super().asyncSetUp()
        self.partition = Partition(self.cluster)
        self.addAsyncCleanup(self.partition.async_close)
        await self.cluster.async_start_platform()
        self.store_link = Link(self.cluster.processes['platform'].address)
        await self.store_link.async_start()
        self.addAsyncCleanup(self.store_link.async_close)
        self.far_daemons = frozenset[str]()
        self.far_region = 'region-2'

    async def async_start_daemon(
        self,
        name: str,
        options: DaemonOptions | None,
    ) -> None:
        """Start a daemon behind its link, in its region."""
        chosen = options or DaemonOptions()
        if name in self.far_daemons:
            chosen = attrs.evolve(
                chosen,
                region=self.far_region,
                table_address=self.store_link.address,
            )
        await self.partition.async_start_daemon(name, chosen)

    async def test_two_daemons_cut_from_each_other(self) -> None:
        names = await self.async_start(daemons=3)
        await self.async_until_voters(names)
        self.partition.cut(['e0'], ['e1'])
        reply = await self.cluster.async_edit('e0', 'preset_in_force', 'night')
        self.assertEqual(reply.status, 200, reply.body)
        await self.cluster.async_wait_status(
            'e1',
            lambda status: status['preset_in_force'] == 'night',
            CONFIG_MAX_LAG_S,
        )
        await asyncio.sleep(CONFIG_MAX_LAG_S)
        for name in names:
            status = await self.cluster.async_status(name)
            alive = [row['name'] for row in status['members'] if row['alive']]
            self.assertEqual(sorted(alive), names)
            self.assertTrue(status['fresh'])

    async def test_regions_part(self) -> None:
        near_daemons, far_daemons = ['e0', 'e1', 'e2'], ['e3', 'e4', 'e5']
        self.far_daemons = frozenset(far_daemons)
        names = await self.async_start(daemons=6)
        await self.async_until_voters(names)
        before = await self.cluster.async_status('e3')
        self.partition.cut(near_daemons, far_daemons)
        self.store_link.block()
        reply = await self.cluster.async_edit('e0', 'preset_in_force', 'night')
        self.assertEqual(reply.body['error']['code'], _CHANGE_NOT_ACCEPTED)
        for _ in range(int(CONFIG_MAX_AGE_S)):
            answers = [
                await self.async_ask(name, 'part') for name in far_daemons
            ]
            self.assertTrue(all(answer.complete for answer in answers), answers)
            await asyncio.sleep(1)
        status = await self.cluster.async_status('e3')
        self.assertEqual(status['version'], before['version'])
        self.store_link.unblock()
        self.partition.heal()
        for name in names:
            await self.cluster.async_wait_status(
                name,
                lambda status: (
                    status['preset_in_force'] == 'night' and status['accepted']
                ),
                CONFIG_MAX_LAG_S,
            )

    async def test_minority_stops_admitting(self) -> None:
        self.far_daemons = frozenset(['e2'])
        self.far_region = 'region-1'
        names = await self.async_start(daemons=3)
        await self.async_until_voters(names)
        self.partition.cut(['e0', 'e1'], ['e2'])
        self.store_link.block()
        reply = await self.cluster.async_edit('e0', 'services', 'pool')
        self.assertEqual(reply.status, 200, reply.body)

        async def async_ask():  # type: ignore[no-untyped-def]
            return await self.async_ask('e2', 'minority')

        answer = await self.async_until_code(
            async_ask,
            _CONFIGURATION_UNCONFIRMED,
            CONFIG_MAX_LAG_S,
        )
        self.assertEqual(answer.body['error']['ran'], 'no')
        self.assertIn('retry-after', answer.headers)
        self.store_link.unblock()
        self.partition.heal()
        await self.async_until_code(
            async_ask, _SERVICE_UNKNOWN, CONFIG_MAX_LAG_S
        )
