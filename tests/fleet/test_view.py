"""What a daemon believes of engines while the store comes and goes."""

import unittest

import attrs

from yuccavalve.fleet.const import RELIST_GRACE_S
from yuccavalve.fleet.view import FleetView
from yuccavalve.ports.fleet import EngineChanges, EngineRecord

_RECORD = EngineRecord('i-1', 'portal', '10.0.0.1:1', 'a', born_ms=100)


class ViewTest(unittest.TestCase):
    """One plain engine."""

    def setUp(self) -> None:
        """List the engine."""
        self.view = FleetView()
        self._tell(_RECORD, 1)

    def _tell(self, record: EngineRecord | None, now_s: float) -> None:
        changes = EngineChanges(int(now_s * 10) + 1, {'i-1': record})
        self.view.apply(changes, now_s)

    def _serves(self) -> bool:
        return bool(self.view.backends('portal'))

    def test_engine_that_goes_gets_nothing_new(self) -> None:
        self._tell(None, 2)
        self.assertFalse(self._serves())
        self.assertEqual(self.view.departed, {'i-1'})

    def test_engine_that_fell_silent_is_remembered(self) -> None:
        self._tell(None, 5)
        self.assertFalse(self._serves())
        self.assertIn('i-1', self.view.unlisted)
        self.assertEqual(self.view.departed, set())

    def test_entry_that_lapsed_in_an_outage_is_held_for_its_return(
        self,
    ) -> None:
        self.view.note_outage(10)
        self._tell(None, 10.5)
        self.assertTrue(self._serves())
        self._tell(_RECORD, 11)
        self.view.apply(EngineChanges(200, {}), 20)
        self.assertTrue(self._serves())

    def test_engine_that_leaves_in_an_outage_is_gone_at_once(self) -> None:
        self.view.note_outage(2)
        self._tell(_RECORD, 2.2)
        self._tell(None, 2.5)
        self.assertFalse(self._serves())

    def test_entry_that_does_not_return_is_gone(self) -> None:
        self.view.note_outage(10)
        self._tell(None, 10.5)
        self.view.apply(EngineChanges(200, {}), 10 + RELIST_GRACE_S)
        self.assertFalse(self._serves())

    def test_heartbeat_of_an_earlier_life_changes_nothing(self) -> None:
        reborn = attrs.evolve(_RECORD, born_ms=200, address='10.0.0.2:1')
        self._tell(reborn, 2)
        self._tell(_RECORD, 3)
        self.assertEqual(self.view.engine('i-1'), reborn)

    def test_reading_of_all_records_drops_the_others(self) -> None:
        self.view.apply(EngineChanges(99, {}, whole=True), 2)
        self.assertFalse(self._serves())
