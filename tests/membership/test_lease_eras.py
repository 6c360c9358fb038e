"""Leases when the table service returns from a copy."""

import unittest
from random import Random

from yuccavalve.membership.lease import Lease, LeaseStep
from yuccavalve.ports import Row

_LEASE_S = 2.0
_MARGIN_S = 0.4
_STEP_S = 0.1


class _Table:
    """The rows of the lease, with conditional transactions."""

    def __init__(self) -> None:
        self.era = 1
        self.version = 0
        self.rows: dict[str, Row] = {}

    def apply(self, lease: Lease, step: LeaseStep, now_s: float) -> bool:
        """Apply a step like the adapter: not if its era has passed."""
        transaction = lease.transaction(step)
        if transaction.era != self.era:
            return False
        for each in transaction.conditions:
            row = self.rows.get(each.key)
            if (row.version if row else None) != each.version:
                return False
        self.version += 1
        for write in transaction.writes:
            self.rows[write.key] = Row(
                write.key, self.version, dict(write.fields or {})
            )
        lease.record_applied(now_s, step, self.version)
        return True


def _new_lease(name: str, era: int = 1) -> Lease:
    lease = Lease('planner', name, _LEASE_S, _MARGIN_S)
    lease.era = era
    return lease


class ReturnTest(unittest.TestCase):
    """Lease rows that come back in an earlier state."""

    def setUp(self) -> None:
        """Let one daemon hold the lease, then another."""
        self.table = _Table()
        self.first, self.last = _new_lease('a'), _new_lease('b')
        self._round(self.first, 10)
        self.copy = (self.table.version, dict(self.table.rows))
        self.first.forfeit()
        self.last.observe(self.table.rows, 10)
        step = self.last.step(12, 0, yielded=True)
        self.assertTrue(self.table.apply(self.last, step, 12))

    def _round(
        self, lease: Lease, now_s: float, *, yielded: bool = False
    ) -> None:
        """Take a step of a lease as its loop does."""
        if not lease.is_held(now_s):
            lease.observe(self.table.rows, now_s)
        step = lease.step(now_s, 0, yielded=yielded)
        if step is not LeaseStep.WAIT:
            if not self.table.apply(lease, step, now_s):
                lease.forfeit()

    def _return(self) -> None:
        self.table.version, self.table.rows = self.copy[0], dict(self.copy[1])
        self.table.era += 1

    def test_earlier_holder_does_not_act_beside_the_last(self) -> None:
        """It found its name in the row and renewed the lease."""
        self._return()
        self.first.begin_era(2, 12.1)
        for tenths in range(121, 140):
            self._round(self.first, tenths / 10)
            both = self.first.is_held(tenths / 10) and self.last.is_held(
                tenths / 10
            )
            self.assertFalse(both)

    def test_row_that_is_missing_or_yielded_is_no_reason_to_act(self) -> None:
        """The last holder may not have noticed yet."""
        self.copy = (self.copy[0], {})
        self._return()
        other = _new_lease('c', 0)
        other.begin_era(2, 12.1)
        self._round(other, 12.2)
        self._round(other, 13.9, yielded=True)
        self.assertFalse(other.is_held(13.9))
        self._round(other, 14.6)
        self.assertTrue(other.is_held(14.6))

    def test_last_holder_goes_on_at_once_in_a_new_term(self) -> None:
        term = self.last.term
        self._return()
        self.last.begin_era(2, 12.5)
        self.assertFalse(self.last.is_held(12.5))
        self._round(self.last, 12.6)
        self.assertTrue(self.last.is_held(12.6))
        self.assertGreater(self.last.term, term)

    def test_last_holder_that_slept_contends_like_others(self) -> None:
        self._return()
        self.first.begin_era(2, 12.1)
        self._round(self.first, 14.6)
        self.assertTrue(self.first.is_held(14.6))
        self.last.begin_era(2, 15)
        self._round(self.last, 15)
        self.assertFalse(self.last.is_held(15))

    def test_version_that_is_given_out_again_fulfills_no_condition(
        self,
    ) -> None:
        """Its renewal replaced the row of another holder."""
        held = self.table.version
        self._return()
        self.table.version = held - 1
        other = _new_lease('c', 2)
        other.observe({}, 0)
        self.table.rows = {}
        self.assertTrue(self.table.apply(other, LeaseStep.ACQUIRE, 12.9))
        self.assertEqual(self.table.version, held)
        self.assertFalse(self.table.apply(self.last, LeaseStep.RENEW, 13))

    def test_one_holder_at_most_over_many_returns(self) -> None:
        for seed in range(200):
            with self.subTest(seed=seed):
                self._check_one_holder(Random(seed))

    def _check_one_holder(self, random: Random) -> None:
        self.table = _Table()
        leases = [_new_lease(name) for name in 'abcd']
        asleep_until_s = dict.fromkeys('abcd', 0.0)
        copies = [(0, {})]
        now_s = 100.0
        for _ in range(400):
            now_s += _STEP_S
            if random.random() < 0.05:
                copies.append((self.table.version, dict(self.table.rows)))
            if random.random() < 0.02:
                self.copy = random.choice(copies[-4:])
                self._return()
            lease = random.choice(leases)
            if random.random() < 0.03:
                asleep_until_s[lease.member] = now_s + random.uniform(0, 6)
            if now_s < asleep_until_s[lease.member]:
                continue
            if lease.era != self.table.era:
                lease.begin_era(self.table.era, now_s)
            self._round(lease, now_s)
            holders = [each for each in leases if each.is_held(now_s)]
            self.assertLessEqual(len(holders), 1)
