"""Engine records of one daemon when the store returns from a copy."""

import unittest

import attrs

from yuccavalve.fleet.const import RELIST_GRACE_S, UNLISTED_RETENTION_S
from yuccavalve.fleet.view import FleetView
from yuccavalve.ports.fleet import (
    EngineChanges,
    EngineRecord,
    Membership,
    MemberState,
)

_RECORD = EngineRecord(
    'i-1', 'portal', '10.0.0.1:1', 'a', born_ms=100, sequence=8
)
_OTHER = attrs.evolve(_RECORD, engine='i-2')


class ViewReturnTest(unittest.TestCase):
    """Two backend servers, known at version 100 of era 1."""

    def setUp(self) -> None:
        """Read both."""
        self.view = FleetView()
        self._read(1, 100, 1, _RECORD, _OTHER)

    def _read(
        self, era: int, version: int, now_s: float, *records: EngineRecord
    ) -> None:
        """Read all records."""
        found = {record.engine: record for record in records}
        self.view.apply(EngineChanges(version, found, True, era), now_s)

    def _change(
        self, era: int, version: int, now_s: float, record: EngineRecord | None
    ) -> None:
        name = 'i-1' if record is None else record.engine
        self.view.apply(EngineChanges(version, {name: record}, era=era), now_s)

    def _serving(self) -> set[str]:
        return {each.engine for each in self.view.backends('portal')}

    def test_list_of_a_later_era_is_newer(self) -> None:
        """Followers refused the list of a hub until versions caught up."""
        news = EngineChanges(50, {'i-1': _RECORD, 'i-3': None}, True, 2)
        self.assertTrue(self.view.apply_relayed(news, 2))
        self.assertEqual(self.view.position, news.position)
        late = EngineChanges(120, {'i-1': _RECORD}, True, 1)
        self.assertFalse(self.view.apply_relayed(late, 2))
        self.view.apply(late, 2)
        self.assertEqual(self.view.position, news.position)

    def test_late_reading_does_not_undo_later_news(self) -> None:
        """A peer told of a later version while the store's answer came."""
        later = attrs.evolve(_RECORD, draining=True)
        news = EngineChanges(120, {'i-1': later}, era=1)
        self.assertTrue(self.view.apply_relayed(news, 2))
        late = EngineChanges(110, {'i-1': _RECORD}, era=1)
        self.assertFalse(self.view.apply(late, 3))
        self.assertEqual(self.view.engine('i-1'), later)
        self.assertEqual(self.view.position, news.position)

    def test_entry_of_the_copy_does_not_undo_news_of_a_later_one(self) -> None:
        """Another daemon had read it before the return."""
        self._read(2, 50, 2, _RECORD, _OTHER)
        later = attrs.evolve(_RECORD, slots=9, sequence=12)
        self.view.apply_relayed(EngineChanges(50, {'i-1': later}, era=2), 2)
        self._read(2, 50, 3, _RECORD, _OTHER)
        self.assertEqual(self.view.engine('i-1'), later)

    def test_engine_that_the_copy_lacks_serves_until_it_is_listed(self) -> None:
        """It counted as one that had withdrawn its entry."""
        self._read(2, 50, 2, _RECORD)
        self.assertEqual(self._serving(), {'i-1', 'i-2'})
        self.assertEqual(self.view.withdrawn, set())
        self._change(2, 51, 3, attrs.evolve(_OTHER, sequence=9))
        self._change(2, 60, 3 + RELIST_GRACE_S, _RECORD)
        self.assertEqual(self._serving(), {'i-1', 'i-2'})

    def test_engine_that_is_not_listed_in_time_is_gone(self) -> None:
        self._read(2, 50, 2, _RECORD)
        self._change(2, 51, 2 + RELIST_GRACE_S, _RECORD)
        self.assertEqual(self._serving(), {'i-1'})

    def test_entry_of_the_copy_does_not_undo_a_later_one(self) -> None:
        """A member looked free that had joined a replica since."""
        joined = attrs.evolve(
            _RECORD,
            membership=Membership('r1', 7, 1, MemberState.READY),
            sequence=9,
        )
        self._change(1, 101, 2, joined)
        self._read(2, 50, 3, _RECORD, _OTHER)
        self.assertEqual(self.view.engine('i-1'), joined)
        left = attrs.evolve(_RECORD, sequence=10)
        self._change(2, 51, 4, left)
        self.assertEqual(self.view.engine('i-1'), left)

    def test_entry_without_a_number_counts_as_read(self) -> None:
        self._change(1, 101, 2, attrs.evolve(_RECORD, slots=7, sequence=0))
        unnumbered = attrs.evolve(_RECORD, slots=5, sequence=0)
        self._read(2, 50, 3, unnumbered, _OTHER)
        self.assertEqual(self.view.engine('i-1'), unnumbered)

    def test_odd_number_hides_an_engine_for_some_time_only(self) -> None:
        """Another writer gave the entry a number."""
        odd = attrs.evolve(_RECORD, slots=2, sequence=2**60)
        self._change(1, 101, 2, odd)
        self._read(2, 50, 3, _RECORD, _OTHER)
        after_s = 4 + RELIST_GRACE_S + UNLISTED_RETENTION_S
        self._change(2, 60, after_s, None)
        self._change(2, 61, after_s + 1, _RECORD)
        self.assertEqual(self.view.engine('i-1'), _RECORD)

    def test_draining_engine_stays_so(self) -> None:
        """The entry of the copy is from before it began to drain."""
        unnumbered = attrs.evolve(_RECORD, sequence=0)
        self._change(1, 101, 2, attrs.evolve(unnumbered, draining=True))
        self._read(2, 50, 3, unnumbered, _OTHER)
        self.assertEqual(self._serving(), {'i-2'})
        restarted = attrs.evolve(unnumbered, born_ms=200)
        self._change(2, 51, 4, restarted)
        self.assertEqual(self._serving(), {'i-1', 'i-2'})

    def test_engine_that_has_left_is_not_used_again(self) -> None:
        """The copy lists an engine that has withdrawn its entry since."""
        self._change(1, 101, 1.5, None)
        self.assertEqual(self.view.withdrawn, {'i-1'})
        self._read(2, 50, 3, _RECORD, _OTHER)
        self.assertEqual(self._serving(), {'i-2'})

    def test_records_are_not_planned_with_until_engines_wrote_them(
        self,
    ) -> None:
        self.assertLess(self.view.relisted_at_s, 1)
        self._read(2, 50, 3, _RECORD, _OTHER)
        self.assertEqual(self.view.relisted_at_s, 3 + RELIST_GRACE_S)
        self.assertEqual(self.view.followed_since_s, 3)

    def test_two_returns_in_a_row(self) -> None:
        later = attrs.evolve(_RECORD, slots=9, sequence=12)
        self._change(1, 101, 2, later)
        self._read(2, 50, 3, _RECORD, _OTHER)
        self._read(3, 50, 4, _RECORD)
        self.assertEqual(self.view.engine('i-1'), later)
        self.assertEqual(self._serving(), {'i-1', 'i-2'})
