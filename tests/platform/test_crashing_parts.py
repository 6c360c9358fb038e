"""Parts of prompts that crash each engine that begins to answer them."""

import asyncio
import unittest

import attrs

from tests.platform import builders
from tests.platform.standin import FleetStandin
from tests.platform.support import (
    Answer,
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)
from yuccavalve.exceptions import BackendLostError
from yuccavalve.fleet.activity import engine_key

_CRASHING = 'bad0'
_SHARED = 'aa01'
# Crashes from which daemons must know the part, how long they may take, and
# how many requests with it may still reach engines.
_CRASHES = 5
_STABLE_S = 3.0
_MAX_REACHED = 3
_PROBES = 8
_REPLICAS = 12


@attrs.define
class _SoundTraffic:
    """Sound requests that share a part with the crashing ones."""

    callers: list[Caller]
    statuses: list[int] = attrs.field(factory=list)
    _number: int = 0

    async def async_run(self) -> None:
        """Send one request after the other until cancelled."""
        while True:
            await self.async_send()
            await asyncio.sleep(0.02)

    async def async_send(self) -> None:
        """Send one request and record its status; 0 if it broke off."""
        self._number += 1
        caller = self.callers[self._number % len(self.callers)]
        status = 0
        try:
            answer = await _async_call(
                caller, f'sound-{self._number}', f'c{self._number:x}'
            )
        except BackendLostError:
            answer = None
        if answer is not None:
            status = answer.status
        self.statuses.append(status)


async def _async_call(
    caller: Caller, request_id: str, *own_parts: str
) -> Answer:
    prefix = ','.join(f'{part}:40' for part in (_SHARED, *own_parts))
    return await caller.async_call(
        'POST',
        '/llm/x',
        request_id,
        model=builders.MODEL,
        token_counts='100,80',
        prompt_prefix=prefix,
    )


class CrashingPartTest(unittest.IsolatedAsyncioTestCase):
    """Two daemons before twelve replicas; crashed engines start again."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and the daemons."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options(count=24))
        await self.fleet.async_configure(builders.configuration())
        self.daemons: list[DaemonRun] = []
        for seed in (1, 2):
            await self._async_add_daemon(seed)
        await async_until(self._are_all_serving, 'both daemons serve')
        self.fleet.set_crashing_part(_CRASHING)
        callers = [
            Caller(each.caller_address, builders.KEY) for each in self.daemons
        ]
        self.sound = _SoundTraffic(callers)
        self._background = asyncio.create_task(self.sound.async_run())
        self._sent = 0

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the traffic, the daemons and the stand-in."""
        self._background.cancel()
        await asyncio.gather(self._background, return_exceptions=True)
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
            for each in self.daemons
        )

    def _have_live_heads(self) -> bool:
        """Return whether each daemon knows a live engine to send to."""
        return all(self._live_heads(each) for each in self.daemons)

    def _live_heads(self, daemon: DaemonRun) -> list[str]:
        node = daemon.node
        engines = self.fleet.engines
        return [
            head.engine
            for head in node.view.heads('llm', builders.MODEL)
            if head.engine in engines
            and engines[head.engine].alive
            and not node.activity.is_suspect(
                engine_key(head), node.clock.now_s()
            )
        ]

    async def _async_send_crashing(self, caller: Caller) -> int:
        """Send a request with the crashing part; return its status."""
        self._sent += 1
        number = self._sent
        try:
            answer = await _async_call(
                caller, f'crash-{number}', _CRASHING, f'd{number:x}'
            )
        except BackendLostError:
            return 0
        return answer.status

    async def _async_crash_until_stable(self) -> None:
        """Send crashing requests; wait for as long as may be needed."""
        for number in range(_CRASHES):
            if len(self.fleet.crashed) >= _CRASHES:
                break
            await async_until(self._have_live_heads, 'a replica serves')
            callers = self.sound.callers
            await self._async_send_crashing(callers[number % len(callers)])
        await asyncio.sleep(_STABLE_S)

    def _reached_count(self) -> int:
        return sum(name.startswith('crash-') for name in self.fleet.all_runs)

    async def _async_probe(self, callers: list[Caller]) -> list[int]:
        statuses = []
        for number in range(_PROBES):
            await async_until(self._have_live_heads, 'a replica serves')
            caller = callers[number % len(callers)]
            statuses.append(await self._async_send_crashing(caller))
        return statuses

    async def test_part_of_prompts_does_not_crash_engine_after_engine(
        self,
    ) -> None:
        await self._async_crash_until_stable()
        before = self._reached_count()
        await self._async_probe(self.sound.callers)
        self.assertLessEqual(self._reached_count() - before, _MAX_REACHED)

    async def test_requests_that_share_other_parts_are_served(self) -> None:
        await self._async_crash_until_stable()
        await async_until(self._have_live_heads, 'a replica serves')
        self.sound.statuses.clear()
        await self._async_probe(self.sound.callers)
        for _ in range(_PROBES):
            await self.sound.async_send()
        served = self.sound.statuses.count(200)
        self.assertEqual(served, len(self.sound.statuses))
