"""Accepted configuration changes reach all daemons and are kept."""

import asyncio

from script.tools.cluster import DaemonOptions
from script.tools.link import Link
from tests.support.session import SessionTest
from yuccavalve.const import CONFIG_MAX_AGE_S, CONFIG_MAX_LAG_S

_ANSWERED = 1000
_CONFIGURATION_UNCONFIRMED = 2004
_SERVICE_UNKNOWN = 4003


class ConfigurationSession(SessionTest):
    """Configuration changes during failures."""

    async def test_racing_operators(self) -> None:
        names = await self.async_start(daemons=2)
        revision = (await self.cluster.async_status('e0'))['revision']
        replies = await asyncio.gather(
            *(
                self.cluster.async_call_operator(
                    name,
                    'changes',
                    {
                        'change_id': f'race-{name}',
                        'author': name,
                        'against_revision': revision,
                        'edit': {
                            'section': 'preset_in_force',
                            'name': 'day',
                        },
                    },
                )
                for name in names
            ),
        )
        self.assertEqual(sorted(each.status for each in replies), [200, 409])
        loser = next(each for each in replies if each.status == 409)
        self.assertEqual(loser.body['error']['code'], 4100)
        self.assertIn(loser.body['error']['author'], names)

    async def test_lost_answer_is_resolved(self) -> None:
        await self.async_start()
        await self.cluster.async_call_admin(
            'platform',
            '/admin/faults',
            {'lose_answers': 1, 'lose_prefix': 'config/'},
        )
        before = (await self.cluster.async_status('e0'))['revision']
        reply = await self.cluster.async_edit(
            'e0',
            'preset_in_force',
            'night',
        )
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.body['revision'], before + 1)

    async def test_accepting_daemon_killed(self) -> None:
        names = await self.async_start(daemons=3)
        await self.async_until_voters(names)
        task = asyncio.create_task(
            self.cluster.async_edit('e0', 'preset_in_force', 'night'),
        )
        await asyncio.sleep(0.02)
        self.cluster.processes['e0'].kill()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(CONFIG_MAX_LAG_S)
        first = await self.cluster.async_status('e1')
        second = await self.cluster.async_status('e2')
        self.assertEqual(first['version'], second['version'])
        self.assertEqual(
            first['preset_in_force'],
            second['preset_in_force'],
        )

    async def test_paused_daemon_admits_nothing_old(self) -> None:
        names = await self.async_start(daemons=3)
        await self.async_until_voters(names)
        paused = self.cluster.processes['e0']
        paused.pause()
        reply = await self.cluster.async_edit('e1', 'services', 'pool')
        self.assertEqual(reply.status, 200, reply.body)
        await asyncio.sleep(CONFIG_MAX_LAG_S)
        requests = [
            asyncio.create_task(self.async_ask('e0', f'old {number}'))
            for number in range(10)
        ]
        await asyncio.sleep(0.2)
        paused.resume()
        codes = {answer.code for answer in await asyncio.gather(*requests)}
        self.assertLessEqual(
            codes, {_CONFIGURATION_UNCONFIRMED, _SERVICE_UNKNOWN}
        )

    async def test_cut_off_daemon_stops_and_comes_back(self) -> None:
        await self.cluster.async_start_platform()
        link = Link(self.cluster.processes['platform'].address)
        await link.async_start()
        self.addAsyncCleanup(link.async_close)
        names = await self.async_start(daemons=2)
        await self.cluster.async_start_daemon(
            'e2',
            DaemonOptions(table_address=link.address),
        )
        await self.async_until_voters([*names, 'e2'])
        await self.async_until_serving('e2', 1)
        link.block()
        for name in names:
            self.cluster.processes[name].pause()

        async def async_ask():  # type: ignore[no-untyped-def]
            return await self.async_ask('e2', 'cut off')

        answer = await self.async_until_code(
            async_ask,
            _CONFIGURATION_UNCONFIRMED,
            CONFIG_MAX_LAG_S,
        )
        self.assertIn('retry-after', answer.headers)
        self.assertEqual(answer.body['error']['ran'], 'no')
        link.unblock()
        for name in names:
            self.cluster.processes[name].resume()
        await self.async_until_code(async_ask, _ANSWERED)

    async def test_store_outage(self) -> None:
        names = await self.async_start(daemons=3)
        await self.async_until_voters(names)
        await self.async_set_table(down=True)
        for _ in range(int(CONFIG_MAX_AGE_S) + 3):
            answers = [await self.async_ask(name, 'out') for name in names]
            self.assertTrue(all(answer.complete for answer in answers))
            await asyncio.sleep(1)
        reply = await self.cluster.async_edit('e0', 'preset_in_force', 'night')
        self.assertEqual(reply.body['error']['code'], 5000)
        status = await self.cluster.async_status('e0')
        seeds = [member['peer_address'] for member in status['members']]
        await self.cluster.async_start_daemon('e3', seeds=seeds)
        await self.async_until_serving('e3', 1)
        self.assertTrue((await self.async_ask('e3', 'new')).complete)

    async def test_all_restarted_at_once(self) -> None:
        names = await self.async_start(daemons=3)
        await self.async_until_voters(names)
        before = await self.cluster.async_status('e0')
        for name in names:
            self.cluster.processes[name].kill()
        await asyncio.gather(
            *(self.cluster.async_start_daemon(name) for name in names),
        )
        for name in names:
            status = await self.async_until_serving(name, 1)
            self.assertGreaterEqual(status['version'], before['version'])
            self.assertEqual(status['preset_in_force'], 'day')
        reply = await self.cluster.async_edit('e1', 'preset_in_force', 'night')
        self.assertEqual(reply.status, 200, reply.body)
