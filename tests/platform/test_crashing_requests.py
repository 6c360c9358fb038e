"""Whole requests that crash each server that begins to run them."""

import asyncio
import json
import unittest

from tests.platform import builders
from tests.platform.standin import CrashingRequest, FleetStandin
from tests.platform.support import (
    Answer,
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)
from yuccavalve.exceptions import BackendLostError
from yuccavalve.fleet.activity import engine_key
from yuccavalve.results import ResultCode

_OTHER_KEY = 'key-of-south'
_DAEMONS = 2
_SERVERS = 3
_REPLICAS = 6
# Crashes from which daemons must know the request, how long they may take,
# and how many repeats may still reach servers.
_CRASHES = 3
_STABLE_S = 3.0
_MAX_REACHED = 3
_PROBES = 8
_STREAM = {'model': builders.MODEL, 'token_counts': '100,80'}


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons before three plain servers; crashed ones start again.

    Nothing but the crashing request is sent until it should be known.
    """

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and the daemons."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(
            builders.engine_options(count=2 * _REPLICAS, plain=_SERVERS)
        )
        workspaces = [
            {'name': 'north', 'api_keys': [builders.KEY], 'priority': 1},
            {'name': 'south', 'api_keys': [_OTHER_KEY], 'priority': 1},
        ]
        await self.fleet.async_configure(
            builders.configuration(tenants=workspaces)
        )
        self.daemons: list[DaemonRun] = []
        for seed in range(_DAEMONS):
            await self._async_add_daemon(seed)
        await async_until(self._are_all_serving, 'all daemons serve')
        self._sent = 0
        self._call = ('GET', '/get/x', b'')

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemons and the stand-in."""
        await async_stop_all(self.fleet, *self.daemons)

    async def _async_add_daemon(self, seed: int) -> DaemonRun:
        daemon = DaemonRun(
            builders.settings(self.fleet.store_address, name=f'front-{seed}'),
            seed,
        )
        self.daemons.append(daemon)
        await daemon.async_start()
        return daemon

    def _are_all_serving(self) -> bool:
        return all(
            each.node.live_daemons() == len(self.daemons)
            and len(each.node.view.heads('llm', builders.MODEL)) == _REPLICAS
            and len(self._live(each, 'portal')) == _SERVERS
            for each in self.daemons
        )

    def _are_servers_live(self) -> bool:
        """Return whether each daemon knows a live server of each service."""
        return all(
            self._live(each, service)
            for each in self.daemons
            for service in ('portal', 'llm')
        )

    def _live(self, daemon: DaemonRun, service: str) -> list[str]:
        node = daemon.node
        engines = self.fleet.engines
        records = node.view.heads('llm', builders.MODEL)
        if service == 'portal':
            records = node.view.backends('portal')
        return [
            record.engine
            for record in records
            if record.engine in engines
            and engines[record.engine].alive
            and not node.activity.is_suspect(
                engine_key(record), node.clock.now_s()
            )
        ]

    async def _async_send(
        self,
        name: str,
        call: tuple[str, str, bytes],
        daemon: DaemonRun,
        key: str = builders.KEY,
    ) -> Answer | None:
        """Send a request; return None for an answer that broke off."""
        method, target, body = call
        fields = _STREAM if target.startswith('/llm/') else {}
        self._sent += 1
        caller = Caller(daemon.caller_address, key)
        try:
            return await caller.async_call(
                method, target, f'{name}-{self._sent}', body=body, **fields
            )
        except BackendLostError:
            return None

    def _daemon(self, number: int) -> DaemonRun:
        return self.daemons[number % len(self.daemons)]

    async def _async_crash_until_stable(
        self, method: str, target: str, body: bytes = b''
    ) -> None:
        """Repeat the crashing request; wait for as long as may be needed."""
        self._call = (method, target, body)
        self.fleet.set_crashing_request(CrashingRequest('north', target, body))
        for number in range(_CRASHES):
            if len(self.fleet.crashed) >= _CRASHES:
                break
            await async_until(self._are_servers_live, 'servers are live')
            await self._async_send('crash', self._call, self._daemon(number))
        self.assertGreaterEqual(len(self.fleet.crashed), _CRASHES)
        await asyncio.sleep(_STABLE_S)

    def _reached_count(self) -> int:
        return sum(name.startswith('crash-') for name in self.fleet.all_runs)

    async def _async_check_held(self) -> None:
        """Check that hardly any repeat reaches a server."""
        before = self._reached_count()
        statuses = []
        for number in range(_PROBES):
            await async_until(self._are_servers_live, 'servers are live')
            answer = await self._async_send(
                'crash', self._call, self._daemon(number)
            )
            statuses.append(0 if answer is None else answer.status)
        self.assertLessEqual(self._reached_count() - before, _MAX_REACHED)
        self.assertGreaterEqual(statuses.count(503), _PROBES - _MAX_REACHED)

    async def test_repeated_get_does_not_crash_server_after_server(
        self,
    ) -> None:
        await self._async_crash_until_stable('GET', '/get/x')
        await self._async_check_held()

    async def test_repeated_once_only_request_does_not_crash_server_after_server(  # noqa: E501
        self,
    ) -> None:
        await self._async_crash_until_stable('POST', '/once/x', b'letter')
        await self._async_check_held()

    async def test_repeated_stream_does_not_crash_engine_after_engine(
        self,
    ) -> None:
        await self._async_crash_until_stable('POST', '/llm/x', b'prompt')
        await self._async_check_held()

    async def test_daemon_that_starts_later_does_not_send_the_request(
        self,
    ) -> None:
        await self._async_crash_until_stable('GET', '/get/x')
        await async_until(self._are_servers_live, 'servers are live')
        late = await self._async_add_daemon(_DAEMONS)
        before = self._reached_count()
        answer = await self._async_send('crash', self._call, late)
        self.assertEqual(self._reached_count(), before)
        assert answer is not None
        error = json.loads(answer.body)['error']
        self.assertEqual(error['code'], ResultCode.REQUEST_QUARANTINED)

    async def test_other_callers_bodies_and_paths_are_served_meanwhile(
        self,
    ) -> None:
        await self._async_crash_until_stable('POST', '/once/x', b'letter')
        await async_until(self._are_servers_live, 'servers are live')
        others = (
            (('POST', '/once/x', b'letter'), _OTHER_KEY),
            (('POST', '/once/x', b'another letter'), builders.KEY),
            (('POST', '/once/x?copy=1', b'letter'), builders.KEY),
            (('POST', '/once/y', b'letter'), builders.KEY),
        )
        for call, key in others:
            for daemon in self.daemons:
                answer = await self._async_send('sound', call, daemon, key)
                assert answer is not None
                self.assertEqual(answer.status, 200, call)
        await self._async_check_held()
