"""Engines that name how many requests they take from all daemons together."""

import asyncio
import time

from script.tools.caller import Answer
from tests.support.arrivals import allowed_in_window, most_in_window
from tests.support.session import SessionTest

_ENGINES = 3
_DAEMONS = 2
# Status calls of the two verifiers take part of it.
_LIMIT_PER_S = 4.0
_INTERVAL_S = 0.04
_STABLE_S = 3.0
_MEASURED_S = 6.0
_USED_FRACTION = 0.4


class LimitTest(SessionTest):
    """Two daemons before three replicas of one host."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the cluster."""
        await super().asyncSetUp()
        self.names = await self.async_start(
            daemons=_DAEMONS, hosts=_ENGINES, replicas=_ENGINES
        )
        self.answers: list[Answer] = []

    async def _async_send(self, number: int) -> None:
        self.answers.append(
            await self.async_ask(
                self.names[number % _DAEMONS], f'question {number}', tokens=4
            )
        )

    async def _async_send_for(self, duration_s: float) -> float:
        """Send requests at an even rate; return when the first was sent."""
        began_s = time.monotonic()
        number = 0
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() - began_s < duration_s:
                number += 1
                tasks.create_task(self._async_send(number))
                await asyncio.sleep(_INTERVAL_S)
        return began_s

    async def _async_arrivals_s(self, host: str) -> list[float]:
        return await self.cluster.async_call_admin(host, '/admin/arrivals', {})

    async def test_sum_over_daemons_and_checks_holds(self) -> None:
        await self.cluster.async_call_admin(
            'h0', '/admin/faults', {'limit': str(_LIMIT_PER_S)}
        )
        await self._async_send_for(_STABLE_S)
        self.answers.clear()
        began_s = await self._async_send_for(_MEASURED_S)
        arrived = [
            at_s
            for at_s in await self._async_arrivals_s('h0')
            if at_s >= began_s
        ]
        self.assertLessEqual(
            most_in_window(arrived), allowed_in_window(_LIMIT_PER_S)
        )
        self.assertGreaterEqual(
            len(arrived), _LIMIT_PER_S * _MEASURED_S * _USED_FRACTION
        )
        self.assertEqual({each.complete for each in self.answers}, {True})
