"""Engine records of one daemon during and after outages of the store."""

import unittest

import attrs

from yuccavalve.fleet.const import MAX_READ_GAP_S, RELIST_GRACE_S
from yuccavalve.fleet.view import FleetView
from yuccavalve.ports.fleet import EngineChanges, EngineRecord

_RECORD = EngineRecord('i-1', 'portal', '10.0.0.1:1', 'a', born_ms=100)


class ViewTest(unittest.TestCase):
    """One plain backend server."""

    def setUp(self) -> None:
        """Add the server to the view."""
        self.view = FleetView()
        self._apply(_RECORD, 1)

    def _apply(self, record: EngineRecord | None, now_s: float) -> None:
        changes = EngineChanges(int(now_s * 10) + 1, {'i-1': record})
        self.view.apply(changes, now_s)

    def _serves(self) -> bool:
        return bool(self.view.backends('portal'))

    def test_engine_that_says_it_leaves_gets_no_new_requests(self) -> None:
        self.assertTrue(self.view.mark_leaving(_RECORD))
        self.assertFalse(self._serves())
        self.assertFalse(self.view.mark_leaving(_RECORD))
        changed = self.view.changed_since(1)
        self.assertTrue(changed and changed['i-1'].draining)

    def test_leaving_engine_stays_so_though_the_store_lists_it(self) -> None:
        self.view.mark_leaving(_RECORD)
        self._apply(attrs.evolve(_RECORD, slots=7), 2)
        self.assertFalse(self._serves())
        relayed = EngineChanges(50, {'i-1': _RECORD}, is_complete=True)
        self.view.apply_relayed(relayed, 3)
        self.assertFalse(self._serves())

    def test_later_start_of_a_leaving_engine_gets_requests(self) -> None:
        self.view.mark_leaving(_RECORD)
        self._apply(attrs.evolve(_RECORD, born_ms=200), 2)
        self.assertTrue(self._serves())

    def test_withdrawn_record_stops_new_requests(self) -> None:
        self._apply(None, 2)
        self.assertFalse(self._serves())
        self.assertEqual(self.view.withdrawn, {'i-1'})

    def test_time_at_which_an_engine_begins_to_leave_is_kept(self) -> None:
        """A planner that takes over needs it to know how long it serves."""
        draining = attrs.evolve(_RECORD, draining=True)
        self._apply(draining, 2)
        self._apply(attrs.evolve(draining, slots=7), 3)
        self.assertEqual(self.view.leaving_at_s, {'i-1': 2})
        self._apply(None, 4)
        self.assertEqual(self.view.leaving_at_s, {'i-1': 2})
        self._apply(attrs.evolve(_RECORD, born_ms=200), 5)
        self.assertEqual(self.view.leaving_at_s, {})

    def test_time_at_which_a_record_is_withdrawn_is_kept(self) -> None:
        self._apply(None, 2)
        self.assertEqual(self.view.leaving_at_s, {'i-1': 2})

    def test_engine_whose_record_expires_does_not_leave(self) -> None:
        self._apply(None, 5)
        self.assertEqual(self.view.leaving_at_s, {})

    def test_time_is_unknown_for_engines_that_were_leaving_when_first_read(
        self,
    ) -> None:
        view = FleetView()
        draining = attrs.evolve(_RECORD, draining=True)
        view.apply(EngineChanges(1, {'i-1': draining}), 1)
        view.apply(EngineChanges(2, {'i-1': draining}), 2)
        self.assertEqual(view.leaving_at_s, {})

    def test_expired_record_is_kept_as_unlisted(self) -> None:
        self._apply(None, 5)
        self.assertFalse(self._serves())
        self.assertIn('i-1', self.view.unlisted)
        self.assertEqual(self.view.withdrawn, set())

    def test_record_that_expires_in_an_outage_is_kept_until_relisted(
        self,
    ) -> None:
        self.view.record_outage(10)
        self._apply(None, 10.5)
        self.assertTrue(self._serves())
        self._apply(_RECORD, 11)
        self.view.apply(EngineChanges(200, {}), 20)
        self.assertTrue(self._serves())

    def test_record_withdrawn_in_an_outage_is_removed_at_once(self) -> None:
        self.view.record_outage(2)
        self._apply(_RECORD, 2.2)
        self._apply(None, 2.5)
        self.assertFalse(self._serves())

    def test_record_that_is_not_relisted_is_removed(self) -> None:
        self.view.record_outage(10)
        self._apply(None, 10.5)
        self.view.apply(EngineChanges(200, {}), 10 + RELIST_GRACE_S)
        self.assertFalse(self._serves())

    def test_engine_that_may_be_listed_again_is_missing(self) -> None:
        self.view.record_outage(10)
        self._apply(None, 10.5)
        self.assertEqual(self.view.missing, {'i-1'})
        self._apply(_RECORD, 11)
        self.assertEqual(self.view.missing, frozenset())

    def test_pause_between_readings_is_remembered(self) -> None:
        self._apply(_RECORD, 1 + MAX_READ_GAP_S)
        self.assertEqual(self.view.followed_since_s, 1)
        resumed_s = 1.1 + 2 * MAX_READ_GAP_S
        self._apply(_RECORD, resumed_s)
        self._apply(_RECORD, resumed_s + 1)
        self.assertEqual(self.view.followed_since_s, resumed_s)

    def test_heartbeat_from_before_a_restart_is_ignored(self) -> None:
        restarted = attrs.evolve(_RECORD, born_ms=200, address='10.0.0.2:1')
        self._apply(restarted, 2)
        self._apply(_RECORD, 3)
        self.assertEqual(self.view.engine('i-1'), restarted)

    def test_reading_of_all_records_removes_missing_ones(self) -> None:
        self.view.apply(EngineChanges(99, {}, is_complete=True), 2)
        self.assertFalse(self._serves())
