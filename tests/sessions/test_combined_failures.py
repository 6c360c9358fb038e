"""Simultaneous failures, and rolling restarts under load."""

import asyncio
from random import Random

import attrs

from script.tools.caller import Answer
from script.tools.cluster import DaemonOptions
from tests.support.session import SessionTest, granted
from yuccavalve.access import key_digest
from yuccavalve.const import GRANT_LIFETIME_S

_MEMBER_LEAVING = 2003
_RESTART_TIMEOUT_S = 20
_REFORM_TIMEOUT_S = 30
_CALLERS = 6
_SEED = 11


@attrs.define
class _Tally:
    """Results of all callers."""

    whole: int = 0
    redirected: int = 0
    unexpected: list[Answer] = attrs.field(factory=list)


class CombinedFailureSession(SessionTest):
    """Several failures at once, and daemons restarted in turn."""

    availability_zones: tuple[str, ...] = ('z1', 'z1', 'z1')

    async def test_dark_fabric_domain(self) -> None:
        await self.async_start(
            daemons=2, hosts=4, hosts_per_replica=2, domains=2
        )
        lost = granted(await self.cluster.async_status('e0'))[0]
        for host in lost['hosts']:
            self.cluster.processes[host].kill()
        for name in ('e0', 'e1'):
            status = await self.async_until_reformed(
                name,
                lost['incarnation'],
                _REFORM_TIMEOUT_S,
            )
            hosts = granted(status)[0]['hosts']
            self.assertFalse(set(hosts).intersection(lost['hosts']))
            self.assertTrue((await self.async_ask(name, 'after')).complete)

    async def test_dark_availability_zone(self) -> None:
        self.availability_zones = ('z1', 'z1', 'z2', 'z3', 'z3')
        names = await self.async_start(
            daemons=len(self.availability_zones),
            hosts=4,
            hosts_per_replica=2,
            domains=2,
        )
        await self.async_until_voters(names)
        lost = granted(await self.cluster.async_status('e0'))[0]
        for name in (*lost['hosts'], 'e0', 'e1'):
            self.cluster.processes[name].kill()
        remaining = names[2:]
        reply = await self.cluster.async_edit(
            'e2',
            'workspaces',
            'late',
            {'key_digest': key_digest('late')},
        )
        self.assertEqual(reply.status, 200, reply.body)
        for name in remaining:
            status = await self.async_until_reformed(
                name,
                lost['incarnation'],
                _REFORM_TIMEOUT_S,
            )
            self.assertEqual(status['version'], reply.body['version'])
            self.assertTrue((await self.async_ask(name, 'after')).complete)
        entries = await self.caller.async_entries(self.address('e2'))
        self.assertEqual(sorted(entries), sorted(map(self.address, remaining)))

    async def async_start_daemon(
        self,
        name: str,
        options: DaemonOptions | None,
    ) -> None:
        """Start a daemon in its availability zone."""
        availability_zone = self.availability_zones[int(name[1:])]
        chosen = attrs.evolve(
            options or DaemonOptions(),
            availability_zone=availability_zone,
        )
        await self.cluster.async_start_daemon(name, chosen)

    async def test_host_killed_while_the_store_is_down(self) -> None:
        names = await self.async_start(daemons=3, hosts=3, hosts_per_replica=2)
        await self.async_until_voters(names)
        lost = granted(await self.cluster.async_status('e0'))[0]
        await self.async_set_table(down=True)
        self.cluster.processes[lost['hosts'][1]].kill()
        await asyncio.sleep(GRANT_LIFETIME_S + 1)
        for name in names:
            answer = await self.async_ask(name, 'none')
            self.assertEqual(answer.body['error']['ran'], 'no', answer)
            self.assertIn('retry-after', answer.headers)
        await self.async_set_table(down=False)
        for name in names:
            await self.async_until_serving(name, 1)
            self.assertTrue((await self.async_ask(name, 'after')).complete)

    async def test_restarted_one_at_a_time_under_load(self) -> None:
        names = await self.async_start(daemons=3, hosts=2, replicas=2)
        await self.async_until_voters(names)
        self.entries = [self.address(name) for name in names]
        tally = _Tally()
        stop = asyncio.Event()
        callers = [
            asyncio.create_task(
                self._async_call_until_stopped(number, tally, stop)
            )
            for number in range(_CALLERS)
        ]
        for name in names:
            await self._async_restart(name)
        stop.set()
        await asyncio.gather(*callers)
        self.assertEqual(tally.unexpected, [])
        self.assertGreater(tally.whole, _CALLERS)
        runs = [*await self.async_runs('h0'), *await self.async_runs('h1')]
        self.assertEqual(len(runs), tally.whole)
        self.assertTrue(all(run['finished'] for run in runs))

    async def _async_restart(self, name: str) -> None:
        leaving = self.cluster.processes[name]
        leaving.terminate()
        self.entries.remove(leaving.address)
        self.assertEqual(await leaving.async_wait(_RESTART_TIMEOUT_S), 0)
        await self.cluster.async_start_daemon(name)
        await self.async_until_serving(name, 2)
        self.entries.append(self.address(name))

    async def _async_call_until_stopped(
        self,
        number: int,
        tally: _Tally,
        stop: asyncio.Event,
    ) -> None:
        """Send requests until stopped; a leaving daemon may refuse them."""
        random = Random(_SEED + number)
        request_count = 0
        while not stop.is_set():
            request_count += 1
            answer = await self.caller.async_complete(
                random.choice(self.entries),
                'pool',
                f'caller {number} asks {request_count}',
                random.randrange(5, 60),
            )
            if answer.complete:
                tally.whole += 1
            elif answer.code == _MEMBER_LEAVING:
                tally.redirected += 1
            else:
                tally.unexpected.append(answer)
