"""Selection of the engine for a request, and refusal without an engine."""

import unittest
from random import Random

from tests.support.fleet_model import service_profile
from tests.support.queue_model import head_record
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.fleet.activity import (
    Activity,
    EngineRun,
    engine_key,
    engine_key_hash,
)
from yuccavalve.fleet.view import FleetView
from yuccavalve.gateway.models import InboundRequest, RoutedRequest
from yuccavalve.gateway.selection import EngineSelector
from yuccavalve.ports.fleet import EngineChanges, EngineRecord
from yuccavalve.results import ResultCode

_SLOTS = 13


def _routed() -> RoutedRequest:
    inbound = InboundRequest('id', 'h', 'POST', '/', b'/', (), model='m6')
    return RoutedRequest(inbound, None, None, 0)


class EngineSelectionTest(unittest.TestCase):
    """Two replicas in the local availability zone, one in another."""

    def setUp(self) -> None:
        """Add the head engines to the view."""
        self.heads = [
            head_record('n1'),
            head_record('n2'),
            head_record('f1', 'b'),
        ]
        self.view = FleetView()
        records = {each.engine: each for each in self.heads}
        self.view.apply(EngineChanges(1, records, is_complete=True), 0)
        self.activity = Activity()
        self.selector = EngineSelector(self.view, self.activity, Random(1), 'a')
        self.service = service_profile()

    def _choose(
        self,
        routed: RoutedRequest | None = None,
        now_s: float = 0,
    ) -> str:
        chosen = self.selector.choose(self.service, routed or _routed(), now_s)
        return chosen.engine

    def _load(self, name: str, count: int) -> None:
        key = engine_key(self.view.engine(name))
        for _ in range(count):
            self.activity.begin(EngineRun(key, 0, streams=True))

    def test_engines_in_backoff_are_left_alone(self) -> None:
        for head in self.heads[:2]:
            self.activity.back_off(head, 5)
        self.assertEqual(self._choose(), 'f1')
        self.assertIn(self._choose(now_s=5), {'n1', 'n2'})

    def test_refusal_says_when_the_first_backoff_ends(self) -> None:
        for number, head in enumerate(self.heads):
            self.activity.back_off(head, 5 + number)
        with self.assertRaises(RequestRefusedError) as refused:
            self._choose(now_s=1)
        self.assertGreater(refused.exception.retry_after_s, 4)
        self.assertLess(refused.exception.retry_after_s, 6)

    def test_least_loaded_engine_of_the_local_zone_is_selected(self) -> None:
        self._load('n1', 2)
        self.assertEqual(self._choose(), 'n2')

    def test_remote_engine_is_selected_when_load_is_much_lower(self) -> None:
        self._load('n1', 8)
        self._load('n2', 8)
        self.assertEqual(self._choose(), 'f1')

    def test_loads_of_other_daemons_count(self) -> None:
        self.activity.remote_runs = {
            engine_key_hash(engine_key(self.heads[0])): 5
        }
        self.assertEqual(self._choose(), 'n2')

    def test_engines_suspected_by_other_daemons_are_avoided(self) -> None:
        self.activity.remote_strikes = {
            engine_key_hash(engine_key(self.heads[0])): 1
        }
        chosen = {self._choose() for _ in range(20)}
        self.assertEqual(chosen, {'n2'})

    def test_head_of_a_replaced_replica_gets_no_requests(self) -> None:
        """Progress of its last streams doesn't undo that."""
        key = engine_key(self.heads[0])
        run = EngineRun(key, 0, streams=True)
        self.activity.begin(run)
        self.activity.record_progress(run, 0)
        self._load('n2', 2)
        self.assertEqual(self._choose(), 'n1')
        self.activity.remote_replaced = frozenset((engine_key_hash(key),))
        chosen = {self._choose() for _ in range(20)}
        self.assertEqual(chosen, {'n2'})

    def test_request_is_refused_when_all_replicas_are_full(self) -> None:
        for head in self.heads:
            self._load(head.engine, 2 * _SLOTS)
        with self.assertRaises(RequestRefusedError) as caught:
            self._choose()
        self.assertIs(caught.exception.code, ResultCode.QUEUE_FULL)
        self.assertGreater(caught.exception.retry_after_s, 0)

    def test_draining_engine_gets_no_new_requests(self) -> None:
        changed = {
            head.engine: EngineRecord(
                head.engine,
                'llm',
                head.address,
                'a',
                draining=True,
                fabric_domain='a-d0',
                models=('m6',),
                membership=head.membership,
            )
            for head in self.heads[:2]
        }
        self.view.apply(EngineChanges(2, changed), 1)
        self.assertEqual(self._choose(), 'f1')

    def test_tried_engines_are_not_selected_again(self) -> None:
        routed = _routed()
        routed.tried.extend(('n1', 'n2', 'f1'))
        with self.assertRaises(RequestRefusedError) as caught:
            self._choose(routed)
        self.assertIs(caught.exception.code, ResultCode.NO_REPLICA)
