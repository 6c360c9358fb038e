"""Selection of engines that have named a limit."""

import unittest
from random import Random

from tests.support.fleet_model import service_profile
from tests.support.queue_model import head_record
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.fleet.activity import (
    Activity,
    EngineRun,
    engine_key,
    process_hash,
)
from yuccavalve.fleet.view import FleetView
from yuccavalve.gateway.models import InboundRequest, RoutedRequest
from yuccavalve.gateway.selection import EngineSelector, slots
from yuccavalve.observability.explain import LIMITED_PREFIX
from yuccavalve.ports.fleet import EngineChanges, EngineRecord
from yuccavalve.ratelimit import PermitGrant, PermitGrants
from yuccavalve.results import ResultCode, http_status
from yuccavalve.warmup import WarmupLimit


class LimitedSelectionTest(unittest.TestCase):
    """Two replicas of one availability zone."""

    def setUp(self) -> None:  # noqa: N802
        """Add the head engines to the view."""
        self.heads = [head_record('n1'), head_record('n2')]
        view = FleetView()
        records = {each.engine: each for each in self.heads}
        view.apply(EngineChanges(1, records, is_complete=True), 0)
        self.activity = Activity()
        self.selector = EngineSelector(view, self.activity, Random(1), 'a')
        self.limiter = self.selector.limiter

    def _choose(self) -> str:
        inbound = InboundRequest('id', 'h', 'POST', '/', b'/', (), model='m6')
        routed = RoutedRequest(inbound, None, None, 0)
        return self.selector.choose(service_profile(), routed, 1).engine

    def _name_limit(self, *names: str) -> None:
        for head in self.heads:
            if head.engine in names:
                self.limiter.table.record_named(process_hash(head), 2, 0)

    def _grant(self, name: str) -> None:
        for head in self.heads:
            if head.engine == name:
                grant = PermitGrant(process_hash(head), 1, 5)
                self.limiter.record_grants(PermitGrants((grant,), 1), 0)

    def test_requests_without_a_permit_go_elsewhere(self) -> None:
        self._name_limit('n1')
        self.assertEqual({self._choose() for _ in range(20)}, {'n2'})
        self.assertGreater(self.limiter.passed_over, 0)
        demand = self.limiter.take_demands(1)[0]
        self.assertEqual(demand.engine, process_hash(self.heads[0]))

    def test_engine_with_a_permit_is_preferred_unless_busier(self) -> None:
        self._name_limit('n1')
        self._grant('n1')
        self.assertEqual({self._choose() for _ in range(20)}, {'n1'})
        key = engine_key(self.heads[0])
        for _ in range(3):
            self.activity.begin(EngineRun(key, 0, streams=True))
        self.assertEqual({self._choose() for _ in range(20)}, {'n2'})

    def test_request_is_refused_at_once_when_all_are_at_their_limits(
        self,
    ) -> None:
        self._name_limit('n1', 'n2')
        with self.assertRaises(RequestRefusedError) as refused:
            self._choose()
        error = refused.exception
        self.assertEqual(error.code, ResultCode.ENGINES_LIMITED)
        self.assertEqual(http_status(error.code), 503)
        self.assertIn(f'{LIMITED_PREFIX} n1 n2', str(error))
        self.assertGreater(error.retry_after_s, 0)

    def _turn_cold(self, *names: str) -> None:
        for head in self.heads:
            if head.engine in names:
                self.limiter.table.warmups.apply(
                    WarmupLimit(process_hash(head), 27, 10), 0
                )

    def _fill(self, head: EngineRecord) -> None:
        for _ in range(4 * slots(service_profile(), head)):
            self.activity.begin(EngineRun(engine_key(head), 0, streams=True))

    def test_warm_engine_is_preferred_to_a_cold_one_with_a_permit(
        self,
    ) -> None:
        self._turn_cold('n1')
        self._grant('n1')
        self.activity.begin(
            EngineRun(engine_key(self.heads[1]), 0, streams=True)
        )
        self.assertEqual({self._choose() for _ in range(20)}, {'n2'})
        self.assertEqual(self.limiter.take_demands(1), [])

    def test_cold_engine_takes_what_warm_ones_cannot_take_in_time(
        self,
    ) -> None:
        self._turn_cold('n1')
        self._fill(self.heads[1])
        with self.assertRaises(RequestRefusedError):
            self._choose()
        demands = self.limiter.take_demands(1)
        self.assertEqual(
            [each.engine for each in demands], [process_hash(self.heads[0])]
        )
        self._grant('n1')
        self.assertEqual(self._choose(), 'n1')
