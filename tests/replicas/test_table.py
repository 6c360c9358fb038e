"""Tests that released records stay released until they are removed."""

import unittest

import attrs

from tests.support.builders import replica
from yuccavalve.replicas import ReplicaState, ReplicaTable
from yuccavalve.replicas.const import RELEASED_RETENTION_S

_SERVING = replica('p1', 'h1')
_RELEASED = attrs.evolve(_SERVING, state=ReplicaState.RELEASED)
_NEWER = attrs.evolve(replica('p2', 'h2'), incarnation=9)


class ReleasedTest(unittest.TestCase):
    """Two daemons that exchange records and remove them separately."""

    def setUp(self) -> None:
        self.one = ReplicaTable()
        self.other = ReplicaTable()
        self.one.merge([_SERVING, _NEWER], 0)
        self.other.merge([_SERVING, _NEWER], 0)

    def _exchange(self, now_s: float) -> None:
        for to, source in ((self.one, self.other), (self.other, self.one)):
            to.merge(source.unknown_to(to.state_hashes()), now_s)

    def test_release_reaches_who_still_serves(self) -> None:
        self.one.merge([_RELEASED], 1)
        self.assertNotEqual(self.one.digest(), self.other.digest())
        self._exchange(2)
        self.assertEqual(self.one.digest(), self.other.digest())
        self.assertEqual(self.other.all_records(), [_NEWER])

    def test_forgotten_at_different_times(self) -> None:
        self.one.merge([_RELEASED], 0)
        self.other.merge([_RELEASED], 5)
        now_s = RELEASED_RETENTION_S + 2
        self.one.sweep(now_s)
        self.assertEqual(self.one.digest(), self.other.digest())
        self._exchange(now_s)
        self.other.sweep(now_s + 4)
        self.assertEqual(len(self.one.state_hashes()), 1)
        self.assertEqual(len(self.other.state_hashes()), 1)
