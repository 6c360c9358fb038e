"""Which zones stay evacuated when the table comes back from a copy."""

import itertools
import unittest
from random import Random

from yuccavalve.evacuation import (
    EvacuationNews,
    EvacuationReading,
    EvacuationState,
)


def _read(
    state: EvacuationState, era: int, version: int, **zones: bool
) -> None:
    """Apply all rows if some are named as set, or changes to others."""
    is_complete = zones.pop('is_complete', False)
    reading = EvacuationReading(version, zones, is_complete, era)
    state.apply_reading(reading, 100)


def _reader(era: int, version: int, *zones: str) -> EvacuationState:
    """Return the state of a daemon that has read these rows."""
    state = EvacuationState()
    rows = dict.fromkeys(zones, True)
    _read(state, era, version, is_complete=True, **rows)
    return state


def _tell(teller: EvacuationState, *others: EvacuationState) -> None:
    for other in others:
        other.apply_news(
            EvacuationNews(
                teller.position.version,
                teller.listed,
                100,
                teller.position.era,
                dict(teller.marks.told()),
            )
        )


class ReturnTest(unittest.TestCase):
    """A daemon that knows zone a as evacuated at version 100 of era 1."""

    def setUp(self) -> None:
        """Read the rows."""
        self.state = _reader(1, 100, 'a')

    def test_lower_version_of_a_later_era_is_newer(self) -> None:
        _read(self.state, 2, 50, is_complete=True, b=True)
        self.assertEqual(self.state.zones, {'a', 'b'})
        self.assertEqual(self.state.held, {'a'})

    def test_missing_row_holds_until_it_is_written_and_removed(self) -> None:
        _read(self.state, 2, 50, is_complete=True)
        _read(self.state, 2, 60, a=True)
        self.assertEqual(self.state.held, frozenset())
        _read(self.state, 2, 70, a=False)
        self.assertEqual(self.state.zones, frozenset())

    def test_missing_row_holds_until_it_is_removed(self) -> None:
        _read(self.state, 2, 50, is_complete=True)
        _read(self.state, 2, 55, b=True)
        self.assertEqual(self.state.zones, {'a', 'b'})
        _read(self.state, 2, 60, a=False)
        self.assertEqual(self.state.zones, {'b'})

    def test_missing_row_holds_over_a_second_return(self) -> None:
        _read(self.state, 2, 50, is_complete=True)
        _read(self.state, 3, 50, is_complete=True)
        self.assertEqual(self.state.held, {'a'})
        _read(self.state, 3, 60, a=False)
        self.assertEqual(self.state.zones, frozenset())

    def test_late_answer_of_an_earlier_era_changes_nothing(self) -> None:
        _read(self.state, 2, 50, is_complete=True)
        _read(self.state, 2, 60, a=False)
        _tell(_reader(1, 100, 'a'), self.state)
        self.assertEqual(self.state.zones, frozenset())

    def test_daemon_that_starts_after_the_return_is_told(self) -> None:
        _read(self.state, 2, 50, is_complete=True)
        new = _reader(2, 60)
        _tell(self.state, new)
        self.assertEqual(new.zones, {'a'})
        third = _reader(2, 65)
        _tell(new, third)
        self.assertEqual(third.zones, {'a'})
        # The new one knows of no row, which ends nothing.
        _tell(new, self.state)
        self.assertEqual(self.state.zones, {'a'})
        _read(third, 2, 70, a=False)
        _tell(third, self.state, new)
        self.assertEqual(self.state.zones | new.zones, frozenset())

    def test_daemon_that_missed_the_evacuation_is_told(self) -> None:
        late = _reader(1, 95)
        _read(late, 2, 50, is_complete=True)
        _tell(self.state, late)
        self.assertEqual(late.zones, {'a'})

    def test_daemon_paused_over_the_return_brings_nothing_back(self) -> None:
        """The operator had taken the zone back before the return."""
        paused = _reader(1, 100, 'a')
        _read(self.state, 1, 110, a=False)
        _read(self.state, 2, 105, is_complete=True)
        _tell(paused, self.state)
        self.assertEqual(self.state.zones, frozenset())
        _read(paused, 2, 107, is_complete=True)
        _tell(paused, self.state)
        _tell(self.state, paused)
        self.assertEqual(self.state.zones | paused.zones, frozenset())

    def test_removal_that_the_copy_lacks_is_undone(self) -> None:
        """The rows of the newest era count."""
        _read(self.state, 1, 110, a=False)
        _read(self.state, 2, 105, is_complete=True, a=True)
        self.assertEqual(self.state.zones, {'a'})
        _read(self.state, 2, 108, a=False)
        self.assertEqual(self.state.zones, frozenset())

    def test_ends_that_are_remembered_are_bounded(self) -> None:
        for number in range(200):
            version = 101 + 2 * number
            _read(self.state, 1, version, **{f'z{number}': True})
            _read(self.state, 1, version + 1, **{f'z{number}': False})
        _read(self.state, 2, 50, is_complete=True)
        told = dict(self.state.marks.told())
        self.assertLessEqual(len(told), 17)
        self.assertTrue(told['a'].is_evacuated)
        self.assertIn('z199', told)


class OrderTest(unittest.TestCase):
    """Daemons that learn of rows and returns in any order."""

    def test_daemons_agree_and_lose_no_evacuation(self) -> None:
        for seed in range(300):
            with self.subTest(seed=seed):
                self._check(Random(seed))

    def _check(self, random: Random) -> None:
        era, version, rows = 1, 100, frozenset()
        copy = (version, rows)
        states = [_reader(era, version) for _ in range(4)]
        unrestored = set()
        for _ in range(40):
            kind = random.choice(('set', 'remove', 'copy', 'return', 'read'))
            zone = random.choice('abc')
            version += kind in {'set', 'remove'}
            if kind == 'set':
                rows |= {zone}
                unrestored.discard(zone)
            elif kind == 'remove' and zone in rows:
                rows -= {zone}
            elif kind == 'copy':
                copy = (version, rows)
            elif kind == 'return':
                # One daemon at least knew what was acked.
                _read(states[0], era, version, **_as_read(rows))
                unrestored = (unrestored | rows) - copy[1]
                version, rows = copy
                era += 1
            teller, hearer = random.sample(states, 2)
            if kind == 'read' or kind == 'remove':
                reader = states[0] if kind == 'remove' else teller
                _read(reader, era, version, **_as_read(rows))
            _tell(teller, hearer)
            _tell(hearer, teller)
        for _ in range(2):
            for state in states:
                _read(state, era, version, **_as_read(rows))
            for teller, hearer in itertools.permutations(states, 2):
                _tell(teller, hearer)
        self.assertEqual(len({state.zones for state in states}), 1)
        self.assertGreaterEqual(states[0].zones, rows | unrestored)


def _as_read(rows: frozenset[str]) -> dict[str, bool]:
    return {**dict.fromkeys(rows, True), 'is_complete': True}
