"""Engines that name how many requests they take from all daemons together."""

import asyncio
import time
import unittest
from typing import Any

from tests.platform import builders
from tests.platform.standin import EngineStandin, FleetStandin
from tests.platform.support import (
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)
from tests.support.arrivals import allowed_in_window, most_in_window
from yuccavalve.exceptions import BackendLostError
from yuccavalve.fleet.activity import process_hash

_DAEMONS = 3
_REPLICAS = 3
_LIMIT_PER_S = 2.0
_INTERVAL_S = 0.03
# How long daemons may take to act on a limit, and for how long it is measured.
_STABLE_S = 3.0
_MEASURED_S = 6.0
# Part of a limit that must be used while there are enough requests.
_USED_FRACTION = 0.4
_TIMEOUT_S = 15.0
_STREAM = {'model': builders.MODEL, 'token_counts': '100,80'}


class LimitTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons before three replicas and two plain servers."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and the daemons."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(
            builders.engine_options(count=2 * _REPLICAS)
        )
        await self.fleet.async_configure(builders.configuration())
        self.daemons: list[DaemonRun] = []
        for seed in range(_DAEMONS):
            daemon = DaemonRun(
                builders.settings(
                    self.fleet.store_address, name=f'front-{seed}'
                ),
                seed,
            )
            self.daemons.append(daemon)
            await daemon.async_start()
        await async_until(self._are_all_serving, 'all daemons serve')
        self.answers: list[tuple[int, dict[bytes, bytes]]] = []
        self._sent = 0

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemons and the stand-in."""
        await async_stop_all(self.fleet, *self.daemons)

    def _are_all_serving(self) -> bool:
        return all(
            each.node.live_daemons() == _DAEMONS
            and len(self._heads(each)) == _REPLICAS
            and len(each.node.view.backends('portal')) == 2
            for each in self.daemons
        )

    def _heads(self, daemon: DaemonRun) -> list[EngineStandin]:
        return [
            self.fleet.engines[head.engine]
            for head in daemon.node.view.heads('llm', builders.MODEL)
        ]

    async def _async_send(self, method: str, target: str) -> None:
        """Send one request; status 0 stands for an answer that broke off."""
        self._sent += 1
        daemon = self.daemons[self._sent % _DAEMONS]
        caller = Caller(daemon.caller_address, builders.KEY)
        fields = _STREAM if target.startswith('/llm/') else {}
        try:
            answer = await caller.async_call(
                method, target, f'id-{self._sent}', **fields
            )
        except BackendLostError:
            self.answers.append((0, {}))
            return
        self.answers.append((answer.status, answer.headers))

    async def _async_send_for(
        self, duration_s: float, method: str, target: str
    ) -> float:
        """Send requests at an even rate; return when the first was sent."""
        began_s = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() - began_s < duration_s:
                tasks.create_task(self._async_send(method, target))
                await asyncio.sleep(_INTERVAL_S)
        return began_s

    async def _async_check(
        self, limited: EngineStandin, method: str, target: str
    ) -> None:
        """Check that the sum over daemons is held, and the limit is used."""
        limited.limit = str(_LIMIT_PER_S)
        await self._async_send_for(_STABLE_S, method, target)
        self.answers.clear()
        began_s = await self._async_send_for(_MEASURED_S, method, target)
        arrived = [at_s for at_s in limited.arrivals_s if at_s >= began_s]
        self.assertLessEqual(
            most_in_window(arrived), allowed_in_window(_LIMIT_PER_S)
        )
        self.assertGreaterEqual(
            len(arrived), _LIMIT_PER_S * _MEASURED_S * _USED_FRACTION
        )

    async def test_sum_over_daemons_holds_and_the_rest_goes_elsewhere(
        self,
    ) -> None:
        await self._async_check(self.fleet.engines['p-0'], 'GET', '/get/x')
        self.assertEqual({status for status, _ in self.answers}, {200})

    async def test_resumed_streams_count_towards_the_limit(self) -> None:
        limited, breaking, _ = self._heads(self.daemons[0])
        breaking.break_after_events = 2
        await self._async_check(limited, 'POST', '/llm/x')

    async def test_requests_beyond_all_limits_are_refused_with_a_time(
        self,
    ) -> None:
        self.fleet.engines['p-1'].limit = str(_LIMIT_PER_S)
        await self._async_check(self.fleet.engines['p-0'], 'GET', '/get/x')
        refused = [headers for status, headers in self.answers if status == 503]
        self.assertGreater(len(refused), len(self.answers) / 2)
        for headers in refused:
            self.assertGreater(float(headers[b'retry-after']), 0)

    def _know_limit(self, name: str) -> list[bool]:
        return [
            each.node.limiter.table.per_s(
                process_hash(each.node.view.engine(name))
            )
            is not None
            for each in self.daemons
        ]

    async def _async_send_until(self, condition: Any, text: str) -> None:
        """Send requests until a condition holds."""
        sending = asyncio.create_task(
            self._async_send_for(_TIMEOUT_S, 'GET', '/get/x')
        )
        try:
            await async_until(condition, text)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    async def test_all_daemons_learn_that_a_limit_begins_and_ends(
        self,
    ) -> None:
        limited = self.fleet.engines['p-0']
        limited.limit = str(_LIMIT_PER_S)
        await self._async_send_until(
            lambda: all(self._know_limit('p-0')), 'all know the limit'
        )
        limited.limit = ''
        await self._async_send_until(
            lambda: not any(self._know_limit('p-0')), 'all know its end'
        )

    async def test_unreadable_limit_does_not_stop_requests(self) -> None:
        for engine in self.fleet.engines.values():
            engine.limit = 'many'
        await self._async_send_for(1, 'GET', '/get/x')
        self.assertEqual({status for status, _ in self.answers}, {200})
