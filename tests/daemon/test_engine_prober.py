"""Probes of engines by a planner that may be slow itself."""

import asyncio
import unittest
from collections.abc import Callable

import attrs

from tests.support.queue_model import head_record
from yuccavalve.clock import ManualClock
from yuccavalve.daemon.engine_prober import EngineProber
from yuccavalve.daemon.loop_delay import LoopDelay
from yuccavalve.exceptions import EngineNotListeningError, EngineResetError
from yuccavalve.fleet.view import FleetView
from yuccavalve.formation.const import ENGINE_SILENCE_S, PROBES_AT_ONCE
from yuccavalve.ports.fleet import (
    EngineRecord,
    EngineReport,
    GroupOrder,
    OrderOutcome,
)


@attrs.define
class _SilentEngines:
    """Engines that answer no probe.

    Attributes
    ----------
    during_probe
        Called while a probe is in progress.
    report
        The answer to each probe; None for no answer.
    resets
        Whether the connection of each probe is reset.
    refuses
        Whether it is refused.
    """

    during_probe: Callable[[], None] = lambda: None
    report: EngineReport | None = None
    resets: bool = False
    refuses: bool = False
    in_progress: int = 0
    most_in_progress: int = 0

    async def async_order(
        self, engine: EngineRecord, order: GroupOrder
    ) -> OrderOutcome:
        """Return an unknown outcome."""
        return OrderOutcome.UNKNOWN

    async def async_report(self, engine: EngineRecord) -> EngineReport | None:
        """Return the report, by default none."""
        self.in_progress += 1
        self.most_in_progress = max(self.most_in_progress, self.in_progress)
        await asyncio.sleep(0)
        self.during_probe()
        self.in_progress -= 1
        if self.resets:
            raise EngineResetError('connection reset')
        if self.refuses:
            raise EngineNotListeningError('connection refused')
        return self.report


class EngineProberTest(unittest.IsolatedAsyncioTestCase):
    """A planner whose engines do not answer its probes."""

    def setUp(self) -> None:
        """Create the prober."""
        self.clock = ManualClock(10)
        self.loop_delay = LoopDelay()
        self.engines = _SilentEngines()
        self.prober = EngineProber(
            self.engines,
            FleetView(),
            self.clock,
            self.loop_delay,
            asyncio.Event(),
        )
        self.record = head_record('i-1')

    def _dead(self) -> frozenset[str]:
        return self.prober.dead({}, self.clock.now_s())

    async def _async_probe_until_silent_too_long(self) -> None:
        await self.prober.async_probe(self.record)
        self.clock.advance(ENGINE_SILENCE_S)
        await self.prober.async_probe(self.record)

    async def test_engine_that_does_not_answer_is_dead(self) -> None:
        await self._async_probe_until_silent_too_long()
        self.assertEqual(self._dead(), {'i-1'})
        self.assertTrue(self.prober.changed.is_set())

    async def test_briefly_silent_engine_is_not_dead(self) -> None:
        await self.prober.async_probe(self.record)
        self.clock.advance(ENGINE_SILENCE_S - 0.1)
        await self.prober.async_probe(self.record)
        self.assertEqual(self._dead(), frozenset())
        self.assertTrue(self.prober.is_silent('i-1'))

    async def test_time_for_which_its_streams_stalled_counts(self) -> None:
        await self.prober.async_probe(self.record, 0.4)
        self.clock.advance(ENGINE_SILENCE_S - 0.4)
        self.assertEqual(self._dead(), frozenset())
        await self.prober.async_probe(self.record, 0.4)
        self.assertEqual(self._dead(), {'i-1'})

    async def test_answer_ends_a_silence(self) -> None:
        await self.prober.async_probe(self.record)
        self.engines.report = EngineReport(None)
        await self.prober.async_probe(self.record)
        self.engines.report = None
        self.clock.advance(ENGINE_SILENCE_S)
        await self.prober.async_probe(self.record)
        self.assertEqual(self._dead(), frozenset())

    async def test_stalled_engine_that_refuses_connections_is_dead(
        self,
    ) -> None:
        """It was found dead after 1.5 s of probes only."""
        self.engines.refuses = True
        await self.prober.async_probe(self.record, 0.4)
        self.assertEqual(self._dead(), {'i-1'})

    async def test_refusal_alone_is_no_death(self) -> None:
        """A cut between this daemon and the engine may refuse as well."""
        self.engines.refuses = True
        await self.prober.async_probe(self.record)
        self.assertEqual(self._dead(), frozenset())
        self.assertTrue(self.prober.is_silent('i-1'))

    async def test_engine_that_resets_connections_is_not_silent(self) -> None:
        """Engines do so beyond their number of connections."""
        self.engines.resets = True
        await self._async_probe_until_silent_too_long()
        self.assertEqual(self._dead(), frozenset())
        self.assertFalse(self.prober.is_silent('i-1'))

    async def test_reset_connection_ends_a_silence(self) -> None:
        await self._async_probe_until_silent_too_long()
        self.assertEqual(self._dead(), {'i-1'})
        self.engines.resets = True
        await self.prober.async_probe(self.record)
        self.assertEqual(self._dead(), frozenset())

    async def test_engine_is_not_dead_when_the_planner_was_delayed(
        self,
    ) -> None:
        self.engines.during_probe = lambda: self.loop_delay.record(0.3, 10)
        await self.prober.async_probe(self.record)
        self.clock.advance(ENGINE_SILENCE_S)
        self.assertEqual(self._dead(), frozenset())
        self.assertTrue(self.prober.is_doubtful('i-1'))

    async def test_an_earlier_delay_does_not_count(self) -> None:
        self.loop_delay.record(0.3, 9)
        await self._async_probe_until_silent_too_long()
        self.assertEqual(self._dead(), {'i-1'})

    async def test_probes_in_progress_are_bounded(self) -> None:
        await asyncio.gather(
            *(
                self.prober.async_probe(head_record(f'i-{number}'))
                for number in range(4 * PROBES_AT_ONCE)
            )
        )
        self.assertLessEqual(self.engines.most_in_progress, PROBES_AT_ONCE)
