"""Base class of the tests that run against real processes."""

import asyncio
import unittest
from collections.abc import Callable
from typing import Any

from script.tools.caller import Answer, Caller
from script.tools.cluster import Cluster, DaemonOptions
from yuccavalve.access import key_digest

__all__ = ('KEY', 'MODEL', 'SessionTest', 'at_most_once')

KEY = 'north-key'
MODEL = 'pool'
_FORM_TIMEOUT_S = 40
_REFORM_TIMEOUT_S = 45


def at_most_once(key: str) -> dict[str, str]:
    """Return the headers that make a request run at most once."""
    return {'idempotency-key': key, 'x-at-most-once': 'true'}


class SessionTest(unittest.IsolatedAsyncioTestCase):
    """Run each test against a new cluster."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Create an empty cluster and a caller."""
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.async_close)
        self.caller = Caller(KEY)

    async def async_start(
        self,
        *,
        daemons: int = 1,
        hosts: int = 1,
        hosts_per_replica: int = 1,
        replicas: int = 1,
        options: DaemonOptions | None = None,
        engine_options: tuple[str, ...] = (),
        domains: int = 1,
    ) -> list[str]:
        """Start a cluster; return its daemons once all of them route."""
        cluster = self.cluster
        if 'platform' not in cluster.processes:
            await cluster.async_start_platform()
        await asyncio.gather(
            cluster.async_start_plain('portal'),
            *(
                cluster.async_start_engine(
                    f'h{number}',
                    f'd{number * domains // hosts + 1}',
                    *engine_options,
                )
                for number in range(hosts)
            ),
        )
        names = [f'e{number}' for number in range(daemons)]
        await asyncio.gather(
            *(self.async_start_daemon(name, options) for name in names),
        )
        portal = cluster.processes['portal'].address
        edits: tuple[tuple[str, str, dict[str, Any] | None], ...] = (
            ('workspaces', 'north', {'key_digest': key_digest(KEY)}),
            ('workspaces', 'south', {'key_digest': key_digest('south-key')}),
            (
                'groups',
                'pool',
                {'model': 'm', 'hosts_per_replica': hosts_per_replica},
            ),
            ('services', MODEL, {'kind': 'model', 'group': 'pool'}),
            ('services', 'portal', {'kind': 'plain', 'addresses': [portal]}),
            ('presets', 'day', {'shares': _shares(replicas)}),
            ('presets', 'night', {'shares': _shares(0)}),
            ('preset_in_force', 'day', None),
        )
        for section, name, entry in edits:
            reply = await cluster.async_edit(names[0], section, name, entry)
            self.assertEqual(reply.status, 200, reply.body)
        for name in names:
            await self.async_until_serving(name, replicas)
        return names

    async def async_start_daemon(
        self,
        name: str,
        options: DaemonOptions | None,
    ) -> None:
        """Start a daemon; subclasses override this to change its options."""
        await self.cluster.async_start_daemon(name, options)

    async def async_until_serving(self, name: str, replicas: int) -> Any:
        """Wait until a daemon routes to exactly this many replicas."""
        return await self.cluster.async_wait_status(
            name,
            lambda status: len(granted(status)) == replicas,
            _FORM_TIMEOUT_S,
        )

    async def async_until_reformed(
        self,
        name: str,
        earlier_incarnation: int,
        timeout_s: float = _REFORM_TIMEOUT_S,
    ) -> Any:
        """Wait until a daemon routes to a replica of a later incarnation."""
        return await self.cluster.async_wait_status(
            name,
            lambda status: any(
                replica['incarnation'] > earlier_incarnation
                for replica in granted(status)
            ),
            timeout_s,
        )

    async def async_set_table(self, *, down: bool) -> None:
        """Make the table service unavailable, or available again."""
        await self.cluster.async_call_admin(
            'platform',
            '/admin/faults',
            {'table_down': down},
        )

    async def async_until_voters(self, names: list[str]) -> None:
        """Wait until all daemons vote and no electorate change is pending."""
        for name in names:
            await self.cluster.async_wait_status(
                name,
                lambda status: (
                    sorted(status['voters']) == sorted(names)
                    and not status['previous_voters']
                    and status['accepted']
                ),
                _FORM_TIMEOUT_S,
            )

    def address(self, name: str) -> str:
        """Return the address of a process."""
        return self.cluster.processes[name].address

    async def async_ask(
        self,
        name: str,
        prompt: str,
        tokens: int = 8,
        **options: Any,
    ) -> Answer:
        """Request a completion from a daemon."""
        return await self.caller.async_complete(
            self.address(name),
            MODEL,
            prompt,
            tokens,
            **options,
        )

    async def async_until_code(
        self,
        send: Callable[[], Any],
        code: int,
        timeout_s: float = 30,
    ) -> Answer:
        """Repeat a request until its answer has the result code."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        answer = await send()
        while answer.code != code and loop.time() < until_s:
            await asyncio.sleep(0.1)
            answer = await send()
        self.assertEqual(answer.code, code)
        return answer

    async def async_until_runs(
        self,
        condition: Callable[[list[dict[str, Any]]], bool],
        description: str,
        timeout_s: float = 30,
    ) -> list[dict[str, Any]]:
        """Wait until an engine's runs meet a condition; return them."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        runs = await self.async_runs()
        while not condition(runs):
            if loop.time() > until_s:
                self.fail(f'not within {timeout_s} s: {description}: {runs}')
            await asyncio.sleep(0.02)
            runs = await self.async_runs()
        return runs

    async def async_runs(self, host: str = 'h0') -> list[dict[str, Any]]:
        """Return the requests that an engine has run."""
        return await self.cluster.async_call_admin(host, '/admin/runs', {})


def granted(status: Any) -> list[Any]:
    """Return the replicas that a daemon routes to."""
    return [
        replica
        for replica in status['replicas']
        if replica['granted'] and replica['state'] == 'serving'
    ]


def _shares(replicas: int) -> list[dict[str, Any]]:
    return [{'group': 'pool', 'replicas': replicas}]
