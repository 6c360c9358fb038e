"""What a view remembers of replicas beyond the records that it has."""

import unittest

import attrs

from yuccavalve.fleet.const import UNLISTED_RETENTION_S
from yuccavalve.fleet.memberships import Departure
from yuccavalve.fleet.view import FleetView
from yuccavalve.ports.fleet import (
    EngineChanges,
    EngineRecord,
    Membership,
    MemberState,
)

_MEMBER = EngineRecord(
    'i-2',
    'llm',
    '10.0.0.1:1',
    'a',
    born_ms=100,
    membership=Membership('r7', 7, 1, MemberState.READY),
)
_FREE = attrs.evolve(_MEMBER, membership=None)


class MembershipHistoryTest(unittest.TestCase):
    """A member of a replica of another head engine."""

    def setUp(self) -> None:
        """Add the member to the view."""
        self.view = FleetView()
        self._apply(_MEMBER, 1)

    def _apply(self, record: EngineRecord | None, now_s: float) -> None:
        changes = EngineChanges(int(now_s * 10), {'i-2': record})
        self.view.apply(changes, now_s)

    def _departures(self) -> dict[str, Departure]:
        return self.view.memberships.departures

    def test_member_that_leaves_is_remembered(self) -> None:
        self._apply(_FREE, 2)
        self.assertEqual(self._departures(), {'i-2': Departure('r7', 7, 1, 2)})
        self._apply(_FREE, 3)
        self.assertEqual(self._departures(), {'i-2': Departure('r7', 7, 1, 2)})
        self._apply(_FREE, 4 + UNLISTED_RETENTION_S)
        self.assertEqual(self._departures(), {})

    def test_member_that_joins_another_replica_is_not(self) -> None:
        self._apply(_FREE, 2)
        joined = Membership('r8', 8, 1, MemberState.JOINING)
        self._apply(attrs.evolve(_FREE, membership=joined), 3)
        self.assertEqual(self._departures(), {})

    def test_member_that_left_while_it_was_unlisted_is_remembered(
        self,
    ) -> None:
        """Its record was forgotten meanwhile, as it was found dead."""
        self._apply(None, 2)
        self.view.forget('i-2')
        self._apply(_FREE, 9)
        self.assertEqual(self._departures(), {'i-2': Departure('r7', 7, 1, 9)})

    def test_next_start_of_a_member_has_left_nothing(self) -> None:
        self._apply(attrs.evolve(_FREE, born_ms=200), 2)
        self.assertEqual(self._departures(), {})

    def test_news_of_another_daemon_is_not_dated_back(self) -> None:
        """It was read before the time at which this daemon has it."""
        changes = EngineChanges(50, {'i-2': _FREE})
        self.view.apply_relayed(changes, 1.9, 2.1)
        self.assertEqual(self._departures()['i-2'].at_s, 2.1)
