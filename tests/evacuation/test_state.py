"""Which zones a daemon takes as evacuated, by what it reads and hears."""

import unittest

from tests.support.queue_model import head_record
from yuccavalve.evacuation import (
    EvacuationNews,
    EvacuationReading,
    EvacuationState,
)


def _news(version: int, *zones: str, at_s: float = 100) -> EvacuationNews:
    return EvacuationNews(version, frozenset(zones), at_s)


class EvacuationStateTest(unittest.TestCase):
    """A daemon that has read that zone a is evacuated."""

    def setUp(self) -> None:
        """Read the whole table at version 5."""
        self.changes = 0
        self.state = EvacuationState(on_change=self._count_change)
        self._read(5, is_complete=True, a=True)

    def _count_change(self) -> None:
        self.changes += 1

    def _read(
        self, version: int, *, is_complete: bool = False, **zones
    ) -> None:
        reading = EvacuationReading(version, zones, is_complete)
        self.state.apply_reading(reading, 100 + version)

    def test_changed_rows_leave_the_others_in_effect(self) -> None:
        self._read(6, b=True)
        self.assertEqual(self.state.zones, {'a', 'b'})
        self._read(7, a=False)
        self.assertEqual(self.state.zones, {'b'})
        self.assertEqual(self.changes, 3)

    def test_row_missing_from_a_whole_reading_was_removed(self) -> None:
        self._read(9, is_complete=True, b=True)
        self.assertEqual(self.state.zones, {'b'})

    def test_older_answers_and_news_do_not_undo_newer_ones(self) -> None:
        self.state.apply_news(_news(8, 'b'))
        self._read(7, is_complete=True, a=True)
        self.state.apply_news(_news(6))
        self.assertEqual(self.state.zones, {'b'})

    def test_changes_apply_to_newer_news_too(self) -> None:
        # The feed of this daemon has not reached the version of the news, so
        # its answer names the row that the news removed again.
        self.state.apply_news(_news(8, 'b'))
        self._read(9, a=False, b=True, c=True)
        self.assertEqual(self.state.zones, {'b', 'c'})

    def test_rows_written_under_versions_that_fell_are_not_lost(self) -> None:
        # A store that returns from a copy gives versions out again.
        self._read(3, is_complete=True)
        self._read(4, c=True)
        self.assertEqual(self.state.zones, {'a'})
        self._read(6)
        self.assertEqual(self.state.zones, {'c'})

    def test_changes_alone_do_not_make_the_set_known(self) -> None:
        state = EvacuationState()
        state.apply_reading(EvacuationReading(5, {'a': True}), 1)
        self.assertFalse(state.is_known)
        self.assertTrue(state.apply_news(_news(0, 'b')))
        self.assertTrue(state.is_known)

    def test_same_version_confirms_the_set_without_a_change(self) -> None:
        self.assertFalse(self.state.apply_news(_news(5, 'a', at_s=130)))
        self.assertEqual(self.state.confirmed_at_s, 130)
        self.assertEqual(self.changes, 1)

    def test_zone_without_servers_is_logged_once_per_evacuation(self) -> None:
        with self.assertLogs(level='WARNING') as logs:
            for version in (6, 7, 8):
                self.state.log_unserved({'b'})
                self._read(version, a=version != 7)
        unserved = [line for line in logs.output if 'without_servers' in line]
        self.assertEqual(len(unserved), 1)
        with self.assertLogs(level='WARNING'):
            self.state.log_unserved({'b'})

    def test_servers_outside_are_kept_and_exclusions_counted(self) -> None:
        servers = [head_record('n1', 'a'), head_record('f1', 'b')]
        self.assertEqual(self.state.outside(servers), servers[1:])
        self.assertEqual(self.state.passed_over, 1)
