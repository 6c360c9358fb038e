"""What other daemons know takes effect before and while requests are sent."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from tests.platform import builders
from tests.platform.standin import FleetStandin
from tests.platform.support import (
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)
from yuccavalve.daemon.gateway_loops import StallLoop

_REQUESTS = 12
_HELD_S = 0.4
_KNOWN_S = 2.0
_LATE_S = 1.0


class HeldPeers:
    """Holds back exchanges with other daemons until they are released."""

    def __init__(self, peers: Any) -> None:
        """Hold back the exchanges of a client of peers."""
        self.released = asyncio.Event()
        self.exchanges = 0
        self._peers = peers

    def __getattr__(self, name: str) -> Any:
        """Return anything else of the client."""
        return getattr(self._peers, name)

    async def async_call(
        self, address: str, method: str, *arguments: Any
    ) -> Any:
        """Call a daemon once exchanges are released."""
        if method == 'Share':
            self.exchanges += 1
            await self.released.wait()
        return await self._peers.async_call(address, method, *arguments)


class PeerNewsTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons before two plain servers, one of which leaves."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and the daemons."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(count=2))
        await self.fleet.async_configure(builders.configuration())
        self.daemons = [self._daemon(seed) for seed in (1, 2)]
        for daemon in self.daemons:
            await daemon.async_start()
        await async_until(self._are_all_serving, 'both daemons serve')
        self.leaving = self.fleet.engines['p-0']

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemons and the stand-in."""
        await async_stop_all(self.fleet, *self.daemons)

    def _daemon(self, seed: int) -> DaemonRun:
        return DaemonRun(
            builders.settings(self.fleet.store_address, name=f'front-{seed}'),
            seed,
        )

    def _are_all_serving(self) -> bool:
        return all(
            each.node.live_daemons() == len(self.daemons)
            and len(each.node.view.backends('portal')) == 2
            for each in self.daemons
        )

    async def _async_tell_leaving(self, daemon: DaemonRun) -> None:
        """Let a daemon hear from a server that it leaves."""
        self.leaving.says_leaving = True
        caller = Caller(daemon.caller_address, builders.KEY)
        while not daemon.node.view.engine('p-0').draining:
            await caller.async_call('GET', '/get/x', 'told')

    async def _async_send(self, daemon: DaemonRun) -> None:
        caller = Caller(daemon.caller_address, builders.KEY)
        for number in range(_REQUESTS):
            answer = await caller.async_call('GET', '/get/x', f'id-{number}')
            self.assertEqual(answer.status, 200)

    async def test_daemon_sends_nothing_before_it_has_heard_of_leaving_engines(
        self,
    ) -> None:
        await self._async_tell_leaving(self.daemons[0])
        reached = len(self.leaving.received_headers)
        late = self._daemon(3)
        peers = HeldPeers(late.node.peers)
        late.node.peers = peers
        self.daemons.append(late)
        starting = asyncio.create_task(late.async_start())
        await async_until(
            lambda: late.node.view.version and late.node.routing.table,
            'it knows routes and engines',
        )
        self.assertFalse(late.node.entry_directory.is_ready())
        sending = asyncio.create_task(self._async_send(late))
        await asyncio.sleep(_HELD_S)
        peers.released.set()
        await asyncio.gather(starting, sending)
        self.assertEqual(len(self.leaving.received_headers), reached)

    async def test_late_event_loop_does_not_keep_leaving_engines_in_use(
        self,
    ) -> None:
        always_late = mock.AsyncMock(side_effect=_async_late_check)
        with mock.patch.object(StallLoop, '_async_wait_for_check', always_late):
            await asyncio.sleep(_HELD_S)
            await self._async_tell_leaving(self.daemons[0])
            await async_until(
                lambda: self.daemons[1].node.view.engine('p-0').draining,
                'the other daemon knows',
                _KNOWN_S,
            )


async def _async_late_check() -> float:
    await asyncio.sleep(0.05)
    return _LATE_S


class StartTogetherTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons that start at the same time."""

    async def test_daemons_that_start_together_do_not_wait_for_the_bound(
        self,
    ) -> None:
        fleet = FleetStandin()
        await fleet.async_start(builders.engine_options(count=2))
        await fleet.async_configure(builders.configuration())
        daemons = [
            DaemonRun(
                builders.settings(fleet.store_address, name=f'front-{seed}'),
                seed,
            )
            for seed in range(3)
        ]
        try:
            with self.assertLogs('absl', 'WARNING') as logs:
                await asyncio.gather(
                    *(daemon.async_start() for daemon in daemons)
                )
        finally:
            await async_stop_all(fleet, *daemons)
        self.assertNotIn('ready_uninformed', ' '.join(logs.output))
