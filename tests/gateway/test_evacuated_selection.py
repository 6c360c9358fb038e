"""Selection while zones are evacuated."""

import unittest
from random import Random

from tests.support.fleet_model import service_profile
from tests.support.queue_model import head_record
from yuccavalve.evacuation import EvacuationNews
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.fleet.activity import Activity
from yuccavalve.fleet.view import FleetView
from yuccavalve.gateway.models import InboundRequest, RoutedRequest
from yuccavalve.gateway.selection import EngineSelector
from yuccavalve.ports.fleet import EngineChanges, EngineRecord
from yuccavalve.results import ResultCode, http_status
from yuccavalve.routing import ServiceProfile

_PLAIN = ServiceProfile('portal')


class EvacuatedSelectionTest(unittest.TestCase):
    """A replica and a plain server in each of two zones, a local."""

    def setUp(self) -> None:
        """Add the servers to the view."""
        servers = [head_record('h-a', 'a'), head_record('h-b', 'b')]
        for zone in ('a', 'b'):
            address = '10.0.0.1:1'
            servers.append(EngineRecord(f'p-{zone}', 'portal', address, zone))
        view = FleetView()
        records = {each.engine: each for each in servers}
        view.apply(EngineChanges(1, records, is_complete=True), 0)
        self.selector = EngineSelector(view, Activity(), Random(1), 'a')

    def _evacuate(self, *zones: str) -> None:
        news = EvacuationNews(1, frozenset(zones), 0)
        self.selector.evacuations.apply_news(news)

    def _choose(self, service: ServiceProfile, *tried: str) -> str:
        inbound = InboundRequest('id', 'h', 'POST', '/', b'/', (), model='m6')
        routed = RoutedRequest(inbound, None, None, 0)
        routed.tried.extend(tried)
        return self.selector.choose(service, routed, 1).engine

    def _refusal(self, service: ServiceProfile, *tried: str) -> Exception:
        with self.assertRaises(RequestRefusedError) as refused:
            self._choose(service, *tried)
        return refused.exception

    def test_nothing_is_sent_to_an_evacuated_zone(self) -> None:
        self._evacuate('a')
        for service, expected in ((service_profile(), 'h-b'), (_PLAIN, 'p-b')):
            chosen = {self._choose(service) for _ in range(20)}
            self.assertEqual(chosen, {expected})

    def test_retry_does_not_go_to_an_evacuated_zone(self) -> None:
        self._evacuate('a')
        error = self._refusal(service_profile(), 'h-b')
        self.assertEqual(error.code, ResultCode.NO_REPLICA)
        self.assertIn('1 in evacuated zones', str(error))

    def test_request_is_refused_when_all_zones_are_evacuated(self) -> None:
        self._evacuate('a', 'b')
        for service in (service_profile(), _PLAIN):
            error = self._refusal(service)
            self.assertEqual(error.code, ResultCode.ZONE_EVACUATED)
            self.assertEqual(http_status(error.code), 503)
            self.assertGreater(error.retry_after_s, 0)
