"""What records and answers tell of cold engines."""

import unittest

import attrs

from yuccavalve.fleet.activity import process_hash
from yuccavalve.fleet.view import FleetView
from yuccavalve.ports.fleet import EngineChanges, EngineRecord
from yuccavalve.routing import ServiceProfile
from yuccavalve.warmup import WarmupLimit, WarmupTable
from yuccavalve.warmup.tracker import WarmupTracker

_RECORD = EngineRecord('p-1', 'portal', '10.0.0.2:1', 'a', born_ms=5)
_SERVICE = ServiceProfile('portal', cold_s=3, cold_per_s=15)


class TrackerTest(unittest.TestCase):
    """A daemon's view that tells a tracker of its records."""

    def setUp(self) -> None:
        """Read an engine that has been warm for long."""
        self.table = WarmupTable()
        self.services = {'portal': _SERVICE}
        self.tracker = WarmupTracker(
            self.table, lambda: self.services, overage=1.5, slack=5
        )
        self.view = FleetView()
        self.view.on_record = lambda record, at_s, is_start: (
            self.tracker.record_listed(record, at_s, is_start=is_start)
        )
        self._read(_RECORD, 100, is_complete=True)

    def _read(
        self, record: EngineRecord, now_s: float, *, is_complete: bool = False
    ) -> None:
        changes = EngineChanges(int(now_s), {'p-1': record}, is_complete)
        self.view.apply(changes, now_s)

    def _limit(self, born_ms: int, now_s: float) -> WarmupLimit | None:
        started = attrs.evolve(_RECORD, born_ms=born_ms)
        return self.table.limit(process_hash(started), now_s)

    def test_engine_of_the_first_reading_is_not_new(self) -> None:
        self.assertIsNone(self._limit(5, 100))

    def test_new_start_is_cold_even_if_its_record_does_not_say_so(self) -> None:
        self._read(attrs.evolve(_RECORD, born_ms=6), 101)
        self.assertEqual(self._limit(6, 103.9).per_s, 27.5)
        self.assertTrue(self._limit(6, 103.9).is_start)
        self.assertIsNone(self._limit(6, 104.1))

    def test_heartbeats_with_less_time_left_change_no_revision(self) -> None:
        self._read(attrs.evolve(_RECORD, warmup_left_s=3), 101)
        revision = self.view.revision
        self._read(attrs.evolve(_RECORD, warmup_left_s=2), 102)
        self.assertEqual(self.view.revision, revision)
        self.assertEqual(self.view.warmup_left_s('p-1'), 2)
        self.assertEqual(self._limit(5, 102).ends_at_s, 104)
        self.assertFalse(self._limit(5, 102).is_start)

    def test_answer_makes_an_engine_cold_again(self) -> None:
        self.tracker.record_answer(_RECORD, 1, 101)
        self.assertIsNone(self._limit(5, 102.1))
        self.tracker.record_answer(_RECORD, 1, 105)
        self.assertEqual(self._limit(5, 105).learned_at_s, 105)
        self.assertEqual(self.table.begun, 2)

    def test_records_read_before_the_routes_are_applied_later(self) -> None:
        self.services = None
        self._read(attrs.evolve(_RECORD, warmup_left_s=3), 101)
        self.services = {'portal': _SERVICE}
        self.tracker.apply_routes()
        self.assertIsNotNone(self._limit(5, 102))

    def test_nothing_is_bounded_unless_settings_and_service_ask_for_it(
        self,
    ) -> None:
        self.tracker.overage = 0
        self.tracker.record_answer(_RECORD, 1, 101)
        self.tracker.overage = 1.5
        self.services = {'portal': ServiceProfile('portal')}
        self.tracker.record_answer(_RECORD, 1, 101)
        self.assertFalse(self.table.has_limits)

    def test_delayed_messages_do_not_extend_a_warmup_in_turn(self) -> None:
        self.tracker.record_answer(_RECORD, 1, 101)
        told = self._limit(5, 101)
        for step in range(10):
            late = attrs.evolve(told, ends_at_s=102 + step * 0.05)
            self.table.apply(late, 101)
        self.assertIsNone(self._limit(5, 102.01))
