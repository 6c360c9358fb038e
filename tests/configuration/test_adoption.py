"""Freshness and acceptance of a version, from store reads and voters."""

import unittest

from tests.support.builders import configuration, voters
from yuccavalve.configuration import AdoptionState, Electorate, Evidence
from yuccavalve.const import CONFIG_MAX_AGE_S

_NAMES = ('a', 'b', 'c', 'd', 'e')


def _state(electorate: Electorate) -> AdoptionState:
    state = AdoptionState('a', configuration(5, electorate))
    state.votes = True
    return state


class AdoptionTest(unittest.TestCase):
    """Freshness, acceptance and adoption of newer versions only."""

    def test_never_reverts(self) -> None:
        state = AdoptionState('a', configuration(5))
        self.assertFalse(state.adopt(configuration(4)))
        self.assertEqual(state.version, 5)

    def test_store_confirmation_expires(self) -> None:
        state = AdoptionState('a', configuration(5))
        state.observe_head(5, 100)
        self.assertTrue(state.is_fresh(100 + CONFIG_MAX_AGE_S))
        self.assertFalse(state.is_fresh(100.1 + CONFIG_MAX_AGE_S))

    def test_newer_head_does_not_confirm(self) -> None:
        state = AdoptionState('a', configuration(5))
        self.assertTrue(state.observe_head(6, 100))
        self.assertFalse(state.is_fresh(100))

    def test_majority_confirms_without_store(self) -> None:
        state = _state(Electorate(voters(*_NAMES)))
        state.observe_voters([Evidence('b', 5, 90)])
        self.assertFalse(state.is_fresh(100))
        state.observe_voters([Evidence('c', 5, 95)])
        self.assertEqual(state.confirmed_at(100), 90)

    def test_voter_ahead_does_not_confirm(self) -> None:
        state = _state(Electorate(voters('a', 'b', 'c')))
        state.observe_voters([Evidence('b', 6, 99), Evidence('c', 6, 99)])
        self.assertFalse(state.is_fresh(100))

    def test_restarted_voter_votes_after_own_read(self) -> None:
        state = _state(Electorate(voters('a', 'b', 'c')))
        state.votes = False
        state.observe_voters([Evidence('b', 5, 99)])
        self.assertFalse(state.is_fresh(100))
        state.observe_local_read(5, 100)
        self.assertTrue(state.votes)

    def test_majority_of_one_region_confirms(self) -> None:
        all_voters = voters('a', 'b', 'c') + voters('x', 'y', 'z', region='r2')
        state = _state(Electorate(all_voters))
        state.observe_voters([Evidence('b', 5, 99)])
        self.assertTrue(state.is_fresh(100))

    def test_accepted_needs_every_region(self) -> None:
        all_voters = voters('a', 'b', 'c') + voters('x', 'y', 'z', region='r2')
        state = _state(Electorate(all_voters))
        state.observe_voters([Evidence('b', 5, 99)])
        self.assertFalse(state.is_accepted(5, 100))
        state.observe_voters([Evidence('x', 5, 99), Evidence('y', 5, 99)])
        self.assertTrue(state.is_accepted(5, 100))

    def test_joint_electorate_needs_both_majorities(self) -> None:
        electorate = Electorate(voters('a', 'b', 'c'), voters('d', 'e', 'f'))
        state = _state(electorate)
        state.observe_voters([Evidence('b', 5, 99), Evidence('c', 5, 99)])
        self.assertFalse(state.is_accepted(5, 100))
        self.assertFalse(state.is_fresh(100))
        state.observe_voters([Evidence('d', 5, 98), Evidence('e', 5, 99)])
        self.assertTrue(state.is_accepted(5, 100))
        self.assertEqual(state.confirmed_at(100), 98)
