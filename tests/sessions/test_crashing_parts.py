"""Messages that crash each engine that begins to answer them."""

import asyncio

from script.tools.caller import Answer
from tests.support.session import SessionTest
from yuccavalve.results import ResultCode

_CRASHING = 'crashes every engine'
_SHARED = 'instructions that all prompts share'
_ENGINES = 9
_DAEMONS = 2
_CRASHES = 5
_STABLE_S = 3.0
_MAX_REACHED = 3
_NOT_RUN_STATUS = 503


class CrashingPartTest(SessionTest):
    """Two daemons before nine replicas of one host."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the cluster, whose engines crash on one message."""
        await super().asyncSetUp()
        self.names = await self.async_start(
            daemons=_DAEMONS, hosts=_ENGINES, replicas=_ENGINES
        )
        for host in self._hosts():
            await self.cluster.async_call_admin(
                host, '/admin/faults', {'crash_content': _CRASHING}
            )

    def _hosts(self) -> list[str]:
        return [f'h{number}' for number in range(_ENGINES)]

    def _crashed(self) -> int:
        processes = self.cluster.processes
        return sum(
            processes[host].popen.poll() is not None for host in self._hosts()
        )

    async def _async_send(self, number: int, *earlier: str) -> Answer:
        return await self.async_ask(
            self.names[number % _DAEMONS],
            f'question {number}',
            earlier=(_SHARED, *earlier),
        )

    async def _async_until_lost_are_known(self) -> None:
        for name in self.names:
            await self.async_until_serving(name, _ENGINES - self._crashed())

    async def test_message_does_not_crash_engine_after_engine(self) -> None:
        for number in range(_CRASHES):
            await self._async_send(number)
            await self._async_send(number, _CRASHING)
        await asyncio.sleep(_STABLE_S)
        await self._async_until_lost_are_known()
        before = self._crashed()
        for number in range(_ENGINES - _CRASHES):
            answer = await self._async_send(number, _CRASHING)
            self.assertEqual(answer.status, _NOT_RUN_STATUS)
            self.assertEqual(answer.code, ResultCode.REQUEST_QUARANTINED)
        self.assertLessEqual(self._crashed() - before, _MAX_REACHED)
        await self._async_until_lost_are_known()
        for number in range(_DAEMONS):
            answer = await self._async_send(number)
            self.assertTrue(answer.complete, answer)
