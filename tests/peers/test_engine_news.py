"""Relay of engine records from one daemon's view to another's."""

import unittest

import attrs

from yuccavalve.fleet.view import FleetView
from yuccavalve.peers.engine_news import build_engine_news, decode_engine_news
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.ports.fleet import (
    EngineChanges,
    EngineRecord,
    Membership,
    MemberState,
)

_HEAD = EngineRecord(
    'i-1',
    'llm',
    '10.0.0.1:1',
    'a',
    born_ms=1700000000123,
    slots=13,
    fabric_domain='a-d0',
    models=('m6',),
    staged=frozenset(('m6', 'm3')),
    membership=Membership('r7', 7, 0, MemberState.OPEN),
)
_PLAIN = EngineRecord('p-1', 'portal', '10.0.0.2:1', 'a', draining=True)


class EngineNewsTest(unittest.TestCase):
    """A hub whose view holds two engines, and a follower."""

    def setUp(self) -> None:
        """Apply both engines to the view of the hub."""
        self.hub = FleetView()
        self.follower = FleetView()
        self.known = peer_pb2.EnginesKnown()
        records = {'i-1': _HEAD, 'p-1': _PLAIN}
        self.hub.apply(EngineChanges(10, records, is_complete=True), 100)

    def _follow(self, now_s: float = 100.2) -> peer_pb2.EngineNews:
        news = build_engine_news(self.hub, 'hub', self.known, now_s)
        if self.follower.apply_relayed(
            decode_engine_news(news), self.hub.read_at_s
        ):
            self.known.source = news.source
            self.known.revision = news.revision
        return news

    def test_records_survive_the_round_trip(self) -> None:
        news = self._follow()
        self.assertTrue(news.whole)
        self.assertGreaterEqual(news.age_ms, 200)
        self.assertEqual(self.follower.engine('i-1'), _HEAD)
        self.assertEqual(self.follower.engine('p-1'), _PLAIN)

    def test_warmup_is_told_as_of_the_last_reading(self) -> None:
        cold = attrs.evolve(_PLAIN, warmup_left_s=3)
        self.hub.apply(EngineChanges(11, {'p-1': cold}), 101)
        self.hub.apply(EngineChanges(12, {}), 102)
        self._follow(102.1)
        self.assertEqual(self.follower.warmup_left_s('p-1'), 2)

    def test_later_news_holds_only_changes(self) -> None:
        self._follow()
        self.assertEqual(len(self._follow().engines), 0)
        self.hub.apply(EngineChanges(11, {'p-1': None}), 101)
        news = self._follow(101)
        self.assertEqual([each.engine for each in news.engines], ['p-1'])
        self.assertIsNone(self.follower.engine('p-1'))

    def test_engine_removed_by_hub_is_removed_at_once(self) -> None:
        self._follow()
        self.follower.record_outage(102)
        self.hub.apply(EngineChanges(11, {'i-1': None}), 102)
        self._follow(102)
        self.assertEqual(self.follower.heads('llm', 'm6'), ())

    def test_news_older_than_local_view_is_ignored(self) -> None:
        self.follower.apply(EngineChanges(20, {}, is_complete=True), 100.1)
        self._follow()
        self.assertIsNone(self.follower.engine('i-1'))
        self.assertEqual(self.known.source, '')

    def test_new_hub_sends_all_records(self) -> None:
        self._follow()
        self.known.source = 'earlier-hub'
        self.hub.apply(EngineChanges(11, {'p-1': None}), 101)
        self.assertTrue(self._follow(101).whole)
        self.assertIsNone(self.follower.engine('p-1'))

    def test_history_of_removed_engines_is_bounded(self) -> None:
        self._follow()
        for number in range(2000):
            record = EngineRecord(f'x-{number}', 'portal', '10.0.0.3:1', 'a')
            self.hub.apply(EngineChanges(11, {record.engine: record}), 101)
            self.hub.apply(EngineChanges(11, {record.engine: None}), 101)
        self.assertTrue(self._follow(101).whole)
        self.assertEqual(len(tuple(self.follower.records())), 2)
        self.assertLess(len(self.hub._revisions), 1000)
