"""Orders and probes count towards the limits of their engines."""

import unittest
from typing import Any

import attrs

from tests.support.queue_model import head_record
from yuccavalve.clock import ManualClock
from yuccavalve.daemon.counted_control import CountedControl
from yuccavalve.fleet.activity import process_hash
from yuccavalve.ratelimit import LimitTable, PermitDemand, PermitGrantor


@attrs.define
class _Engines:
    """Answers every order and probe with the same object."""

    answer: Any = None

    async def async_order(
        self, engine: Any, order: Any, may_send: Any = None
    ) -> Any:
        """Return the answer."""
        return self.answer

    async def async_report(self, engine: Any) -> Any:
        """Return the answer."""
        return self.answer


class CountedControlTest(unittest.IsolatedAsyncioTestCase):
    """A planner before an engine with a limit of one request a second."""

    async def test_calls_are_taken_from_the_limit(self) -> None:
        clock = ManualClock(100)
        record = head_record('i-1')
        engine = process_hash(record)
        grantor = PermitGrantor(LimitTable(), lambda: 1)
        grantor.table.record_named(engine, 1, 100)
        demands = [PermitDemand(engine, 1)]
        grantor.grant(1, demands, 100)
        control = CountedControl(_Engines('answer'), grantor, clock)
        clock.advance(2)
        self.assertEqual(await control.async_report(record), 'answer')
        self.assertEqual(grantor.grant(1, demands, clock.now_s()).grants, ())
        self.assertEqual(await control.async_order(record, None), 'answer')
        self.assertFalse(grantor.allows_check(engine, clock.now_s()))
