"""Leases, changes of the electorate, and suspicion of members."""

import unittest

import attrs

from tests.support.builders import member, voters
from yuccavalve.configuration import Electorate
from yuccavalve.const import DUTY_LEASE_S, LEASE_MARGIN_S
from yuccavalve.membership import (
    Lease,
    LeaseStep,
    Roster,
)
from yuccavalve.membership.electorate import next_electorate
from yuccavalve.ports import Condition, Row


def _rows(holder: str, version: int) -> dict[str, Row]:
    return {
        'lease/planner': Row('lease/planner', version, {'holder': holder}),
        'term/planner': Row('term/planner', 7, {'holder': holder}),
    }


class LeaseTest(unittest.TestCase):
    """A contender waits longer than a holder acts."""

    def test_contender_waits_for_an_unchanged_version(self) -> None:
        lease = Lease('planner', 'b')
        lease.observe(_rows('a', 1), 100)
        lapse_s = DUTY_LEASE_S + LEASE_MARGIN_S
        self.assertIs(lease.step(99.9 + lapse_s, 0), LeaseStep.WAIT)
        self.assertIs(lease.step(100 + lapse_s, 0), LeaseStep.ACQUIRE)

    def test_renewal_restarts_the_wait(self) -> None:
        lease = Lease('planner', 'b')
        lease.observe(_rows('a', 1), 100)
        lease.observe(_rows('a', 2), 109)
        self.assertIs(lease.step(111, 0), LeaseStep.WAIT)

    def test_lease_runs_from_before_it_was_sent(self) -> None:
        lease = Lease('planner', 'a')
        lease.observe(_rows('a', 1), 100)
        lease.record_applied(95)
        self.assertTrue(lease.is_held(102.9))
        self.assertFalse(lease.is_held(103))

    def test_replaced_holder_holds_nothing(self) -> None:
        lease = Lease('planner', 'a')
        lease.observe(_rows('a', 1), 100)
        lease.record_applied(100)
        lease.observe(_rows('b', 2), 101)
        self.assertFalse(lease.is_held(101))


class TermTest(unittest.TestCase):
    """Terms rise although a store that came back lost the last versions."""

    def _acquire(self, lease: Lease, version: int) -> Row:
        """Begin a term and return its row."""
        transaction = lease.transaction(LeaseStep.ACQUIRE)
        lease.record_applied(100, LeaseStep.ACQUIRE, version)
        (fields,) = [
            write.fields
            for write in transaction.writes
            if write.key == lease.term_key
        ]
        return Row(lease.term_key, version, fields)

    def test_term_is_the_version_of_its_row(self) -> None:
        lease = Lease('planner', 'a')
        self._acquire(lease, 9)
        self.assertEqual(lease.term, 9)

    def test_holder_begins_a_term_above_a_higher_one(self) -> None:
        lease = Lease('planner', 'a')
        self._acquire(lease, 9)
        self.assertIs(lease.step(100, 0), LeaseStep.WAIT)
        self.assertTrue(lease.raise_above(60))
        self.assertFalse(lease.raise_above(60))
        self.assertIs(lease.step(100, 0), LeaseStep.ACQUIRE)
        self._acquire(lease, 10)
        self.assertEqual(lease.term, 61)
        self.assertIs(lease.step(100, 0), LeaseStep.WAIT)

    def test_later_terms_are_above_a_raised_one(self) -> None:
        """Late orders of a raised term would not be fenced otherwise."""
        first = Lease('planner', 'a')
        self._acquire(first, 9)
        first.raise_above(60)
        row = self._acquire(first, 10)
        second = Lease('planner', 'b')
        second.observe({row.key: row}, 100)
        self._acquire(second, 11)
        self.assertEqual(second.term, 62)

    def test_term_is_conditional_on_the_last_one(self) -> None:
        """The lease's row may have come and gone since it was read."""
        lease = Lease('planner', 'b')
        lease.observe({'term/planner': _rows('a', 1)['term/planner']}, 100)
        transaction = lease.transaction(LeaseStep.ACQUIRE)
        self.assertIn(Condition('term/planner', 7), transaction.conditions)

    def test_row_that_falls_back_raises_the_next_term(self) -> None:
        lease = Lease('planner', 'a')
        self._acquire(lease, 60)
        lease.observe(_rows('a', 5), 100)
        self.assertIs(lease.step(100, 0), LeaseStep.ACQUIRE)
        self._acquire(lease, 8)
        self.assertEqual(lease.term, 61)

    def test_row_of_another_form_is_taken_by_its_version(self) -> None:
        for above in ('60', True, -1, 2**64, None, 1.5, [60]):
            lease = Lease('planner', 'b')
            row = Row('term/planner', 7, {'above': above})
            lease.observe({row.key: row}, 100)
            self.assertEqual(lease.term, 7, above)


class ElectorateTest(unittest.TestCase):
    """Only one change of the electorate is in progress at a time."""

    def test_join_keeps_the_previous_voters(self) -> None:
        proposed = next_electorate(
            Electorate(voters('a')),
            accepted=True,
            candidates=[member('a'), member('b')],
            dead=set(),
        )
        self.assertEqual(
            proposed,
            Electorate(voters('a', 'b'), voters('a')),
        )

    def test_joint_change_ends_before_the_next(self) -> None:
        present = Electorate(voters('a', 'b'), voters('a'))
        proposed = next_electorate(
            present,
            accepted=True,
            candidates=[member('c')],
            dead=set(),
        )
        self.assertEqual(proposed, Electorate(voters('a', 'b')))

    def test_waits_for_acceptance(self) -> None:
        proposed = next_electorate(
            Electorate(voters('a')),
            accepted=False,
            candidates=[member('b')],
            dead=set(),
        )
        self.assertIsNone(proposed)

    def test_electorate_is_never_empty(self) -> None:
        proposed = next_electorate(
            Electorate(voters('a')),
            accepted=True,
            candidates=[],
            dead={'a'},
        )
        self.assertIsNone(proposed)


class RosterTest(unittest.TestCase):
    """Suspicion takes longer where members are seen less often."""

    def test_suspicion_time_grows_with_members(self) -> None:
        roster = Roster(member('a'))
        few_s = roster.suspect_after_s()
        roster.learn_all(member(f'm{number}') for number in range(380))
        self.assertGreater(roster.suspect_after_s(), few_s + 30)

    def test_leaving_member_stays_leaving(self) -> None:
        roster = Roster(member('a'))
        roster.learn(attrs.evolve(member('b'), leaving=True))
        roster.learn(member('b'))
        roster.record_seen('b-boot', 100)
        names = [each.name for each in roster.entries(100)]
        self.assertEqual(names, ['a'])
