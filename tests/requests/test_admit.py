"""A daemon that stops refuses queued requests that it may cut."""

import asyncio
import unittest
from collections import Counter
from collections.abc import Mapping
from random import Random

from yuccavalve.clock import ManualClock
from yuccavalve.configuration import AdoptionState
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.load.const import DEFAULT_CLASS
from yuccavalve.requests.admit import Admission
from yuccavalve.requests.models import Exchange
from yuccavalve.results import ResultCode

_CANCELLED_AT_S = 10.0


class _NoSlots:
    """Slots of engines that take no request until they are freed."""

    def __init__(self) -> None:
        self.slots = 0

    def limit(
        self,
        group: str,
        demands: Mapping[str, int],
        weights: Mapping[str, float],
    ) -> int:
        return self.slots


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """An admission whose requests all wait."""

    async def test_stop_refuses_only_late_deadlines(self) -> None:
        """Guards against a refused request that is admitted later."""
        slots = _NoSlots()
        admission = Admission(
            AdoptionState('e0'), slots, ManualClock(), Random(1), 10
        )
        late, early = (
            asyncio.create_task(
                admission.async_admit('pool', _exchange(deadline_at_s))
            )
            for deadline_at_s in (_CANCELLED_AT_S + 1, _CANCELLED_AT_S - 1)
        )
        await asyncio.sleep(0)
        admission.refuse_leaving(lambda at_s: at_s > _CANCELLED_AT_S)
        with self.assertRaises(RequestRefusedError) as caught:
            await late
        self.assertIs(caught.exception.code, ResultCode.MEMBER_LEAVING)
        self.assertFalse(early.done())
        slots.slots = 5
        ticket = await admission.async_admit('pool', _exchange(5))
        admission.release('pool', ticket, 0, 0)
        await early
        demands = Counter(admission.demands().values())
        self.assertEqual(demands, Counter({1: 1}))


async def _async_unused(*_: object) -> dict[str, object]:
    raise AssertionError('nothing is read or sent')


def _exchange(deadline_at_s: float) -> Exchange:
    return Exchange(
        request_id='r',
        method='POST',
        path='/',
        query='',
        headers={},
        receive=_async_unused,
        send=_async_unused,
        arrived_at_s=0,
        request_class=DEFAULT_CLASS,
        deadline_at_s=deadline_at_s,
        cost_tokens=1,
    )
