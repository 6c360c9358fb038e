"""Daemons killed at any step of a request that runs at most once."""

import asyncio
import functools

import attrs

from script.tools.caller import Answer
from tests.support.session import SessionTest, at_most_once
from yuccavalve.requests.const import LEDGER_KEY

_DUPLICATE_RUNNING = 4004
_EARLIER_ATTEMPT_UNKNOWN = 3003
_ANSWERED = frozenset((1000, 1001))
_KILL_DELAYS_S = (0.005, 0.012, 0.02, 0.03, 0.045, 0.07)
_TOKENS = 4
_LONG_TOKENS = 100
_SETTLE_TIMEOUT_S = 40


@attrs.frozen
class _Attempt:
    """A request whose daemon is killed after a delay."""

    daemon: str
    delay_s: float

    @property
    def key(self) -> str:
        """Return the idempotency key."""
        return f'key-{self.daemon}'


class KillSession(SessionTest):
    """No request runs twice, and no ledger row states a guess."""

    async def _async_request_code(self, name: str, key: str) -> int:
        answer = await self.async_ask(
            name,
            key,
            _TOKENS,
            headers=at_most_once(key),
        )
        return answer.code

    async def _async_final_code(self, name: str, key: str) -> int:
        """Repeat a request until no attempt is running; return the code."""
        code = await self._async_request_code(name, key)
        async with asyncio.timeout(_SETTLE_TIMEOUT_S):
            while code == _DUPLICATE_RUNNING:
                await asyncio.sleep(0.2)
                code = await self._async_request_code(name, key)
        return code

    async def test_before_the_first_byte(self) -> None:
        await self.async_start(daemons=2)
        engine = self.cluster.processes['h0']
        engine.pause()
        task = asyncio.create_task(
            self.async_ask('e0', 'k', _TOKENS, headers=at_most_once('k')),
        )
        await self._async_until_ledger_row('k')
        self.cluster.processes['e0'].kill()
        engine.resume()
        await task
        self.assertEqual(
            await self._async_final_code('e1', 'k'), _EARLIER_ATTEMPT_UNKNOWN
        )
        self.assertLessEqual(len(await self.async_runs()), 1)

    async def test_after_the_last_byte(self) -> None:
        names = await self.async_start(daemons=3)
        await self.async_until_voters(names)
        task = asyncio.create_task(
            self.async_ask('e0', 'k', _LONG_TOKENS, headers=at_most_once('k')),
        )
        await self.async_until_runs(bool, 'the request runs')
        await self.async_set_table(down=True)
        self.assertTrue((await task).complete)
        self.cluster.processes['e0'].kill()
        await self.async_set_table(down=False)
        answer = await self.async_until_code(
            functools.partial(self._async_repeat, _LONG_TOKENS),
            _EARLIER_ATTEMPT_UNKNOWN,
        )
        self.assertEqual(answer.body['error']['ran'], 'unknown')
        self.assertEqual(len(await self.async_runs()), 1)

    async def test_at_any_step(self) -> None:
        names = await self.async_start(daemons=len(_KILL_DELAYS_S) + 1)
        attempts = [
            _Attempt(name, delay_s)
            for name, delay_s in zip(names[1:], _KILL_DELAYS_S, strict=True)
        ]
        for attempt in attempts:
            await self._async_kill_during(attempt)
        codes = await asyncio.gather(
            *(self._async_final_code('e0', each.key) for each in attempts),
        )
        self.assertLessEqual(set(codes), {_EARLIER_ATTEMPT_UNKNOWN, *_ANSWERED})
        keys = [run['key'] for run in await self.async_runs()]
        self.assertEqual(len(keys), len(set(keys)))

    async def _async_until_ledger_row(self, key: str) -> None:
        row_key = LEDGER_KEY.format(workspace='north', key=key)
        rows = []
        async with asyncio.timeout(_SETTLE_TIMEOUT_S):
            while not rows:
                body = await self.cluster.async_call_admin(
                    'platform',
                    '/table/read',
                    {'keys': [row_key]},
                )
                rows = body['rows']

    async def _async_kill_during(self, attempt: _Attempt) -> None:
        task = asyncio.create_task(
            self._async_request_code(attempt.daemon, attempt.key),
        )
        await asyncio.sleep(attempt.delay_s)
        self.cluster.processes[attempt.daemon].kill()
        await task

    async def _async_repeat(self, tokens: int) -> Answer:
        return await self.async_ask(
            'e1', 'k', tokens, headers=at_most_once('k')
        )
