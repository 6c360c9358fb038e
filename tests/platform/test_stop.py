"""Planned stops under load."""

import asyncio
import unittest

from tests.platform import builders
from tests.platform.standin import FleetStandin
from tests.platform.support import (
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)
from yuccavalve.exceptions import BackendLostError, BackendNotReachedError

_INTERVAL_S = 0.003
_BEFORE_STOP = 30
_ANSWER_S = 5.0
_STOP_S = 30.0


class StopTest(unittest.IsolatedAsyncioTestCase):
    """A daemon whose callers don't learn that it stops."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and a daemon."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(count=0))
        await self.fleet.async_configure(builders.configuration())
        self.daemon = DaemonRun(builders.settings(self.fleet.store_address))
        await self.daemon.async_start()
        # On a busy machine it is ready before the servers are listed.
        await async_until(
            lambda: self.daemon.node.view.backends('portal'),
            'the servers are listed',
        )
        self.caller = Caller(self.daemon.caller_address, builders.KEY)
        self.cut: list[str] = []
        self.statuses: set[int] = set()

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemon and the stand-in."""
        await async_stop_all(self.fleet, self.daemon)

    async def _async_send(self, request_id: str) -> None:
        """Send a request on a new connection, if there is one."""
        try:
            async with asyncio.timeout(_ANSWER_S):
                answer = await self.caller.async_call(
                    'GET', '/get/x', request_id
                )
        except BackendNotReachedError:
            return
        except (BackendLostError, TimeoutError) as error:
            self.cut.append(f'{request_id}: {error!r}')
            return
        self.statuses.add(answer.status)

    async def test_accepted_requests_are_answered_until_the_end(self) -> None:
        number = 0
        async with asyncio.timeout(_STOP_S), asyncio.TaskGroup() as tasks:
            stop: asyncio.Task[int] | None = None
            while stop is None or not stop.done():
                number += 1
                tasks.create_task(self._async_send(f'id-{number}'))
                if number == _BEFORE_STOP:
                    stop = tasks.create_task(self.daemon.async_stop())
                await asyncio.sleep(_INTERVAL_S)
        self.assertEqual(self.cut, [])
        self.assertEqual(self.statuses, {200, 503})
