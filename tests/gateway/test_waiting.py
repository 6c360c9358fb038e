"""Waits for engines that are evacuated, limited or cold."""

import unittest

from tests.support.admission_model import AdmissionModel, Call
from tests.support.queue_model import head_record
from yuccavalve.evacuation import EvacuationNews
from yuccavalve.fleet.activity import EngineRun, engine_key, process_hash
from yuccavalve.results import ResultCode
from yuccavalve.warmup import WarmupLimit


class WaitingTest(unittest.TestCase):
    """One daemon and a replica in zone a."""

    def setUp(self) -> None:
        """Open the replica."""
        self.model = AdmissionModel(queue=True)
        self.selector = self.model.daemons[0].selector

    def test_engines_of_evacuated_zones_are_not_expected_to_serve(self) -> None:
        """Guards against waiting for free slots that may not be used."""
        self.model.listed['n1'] = head_record('n1', 'b')
        self.model.open('n0')
        news = EvacuationNews(1, frozenset('b'), 0)
        self.selector.evacuations.apply_news(news)
        slots = self.model.service.engine.slots
        for _ in range(slots):
            key = engine_key(self.model.listed['n0'])
            self.selector.activity.begin(EngineRun(key, 0, streams=True))
        pools = self.model.daemons[0].gate.pools
        pools.add(('llm', 'm6'), self.model.service, 0)
        forecast = pools.forecast(('llm', 'm6'), 0)
        self.assertEqual(forecast.free, 0)
        self.assertGreater(forecast.engine_wait_s, 0)

    def test_named_limit_is_not_waited_for_while_another_engine_is_cold(
        self,
    ) -> None:
        """Guards against waits due to cold engines of other services."""
        table = self.selector.limiter.table
        table.record_named(process_hash(self.model.listed['n0']), 2, 0)
        table.warmups.apply(WarmupLimit(1, 27, 10), 0)
        call = Call(0.5)
        self.model.play([call], 5)
        self.assertEqual(call.codes, [ResultCode.ENGINES_LIMITED])
        self.assertEqual(call.decided_s, [0])

    def test_permit_of_a_cold_engine_is_waited_for(self) -> None:
        """Guards against refusals some tenths before a permit arrives."""
        table = self.selector.limiter.table
        engine = process_hash(self.model.listed['n0'])
        table.warmups.apply(WarmupLimit(engine, 27, 1), 0)
        call = Call(0.5)
        self.model.play([call], 5)
        self.assertEqual(call.codes, [])
        self.assertIsNotNone(call.began_s)

    def test_evacuated_zones_are_a_reason_to_wait_only_for_other_zones(
        self,
    ) -> None:
        """Guards against waiting for replicas that may not be used."""
        self.model.open('n0')
        zone = self.model.listed['n0'].availability_zone
        news = EvacuationNews(1, frozenset((zone,)), 0)
        self.selector.evacuations.apply_news(news)
        call = Call(0.5)
        self.model.play([call], 5)
        self.assertEqual(call.codes, [ResultCode.ZONE_EVACUATED])
