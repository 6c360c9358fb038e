"""Tests of the expiry and the revocation of grants."""

import unittest

from yuccavalve.const import GRANT_LIFETIME_S
from yuccavalve.replicas import Grant, GrantTable


class GrantTableTest(unittest.TestCase):
    """The newest evidence counts until it expires or is revoked."""

    def test_lapses(self) -> None:
        table = GrantTable()
        table.offer(Grant('p1', 1, 100))
        self.assertIsNotNone(table.current('p1', 1, 100 + GRANT_LIFETIME_S))
        self.assertIsNone(table.current('p1', 1, 100.1 + GRANT_LIFETIME_S))

    def test_other_incarnation_has_none(self) -> None:
        table = GrantTable()
        table.offer(Grant('p1', 1, 100))
        self.assertIsNone(table.current('p1', 2, 100))

    def test_older_evidence_does_not_replace(self) -> None:
        table = GrantTable()
        table.offer(Grant('p1', 1, 100))
        table.offer(Grant('p1', 1, 90))
        grant = table.current('p1', 1, 100)
        self.assertEqual(grant and grant.at_s, 100)

    def test_revoked_for_good(self) -> None:
        table = GrantTable()
        self.assertTrue(table.revoke('p1', 1, broken=False))
        table.offer(Grant('p1', 1, 100))
        self.assertIsNone(table.current('p1', 1, 100))
        self.assertFalse(table.is_broken('p1'))
        self.assertTrue(table.revoke('p1', 1, broken=True))
        self.assertFalse(table.revoke('p1', 1, broken=True))
        self.assertTrue(table.is_broken('p1'))
