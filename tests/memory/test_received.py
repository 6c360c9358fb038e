"""Which connections are shed when too much is received or too many are open."""

import unittest

import attrs

from yuccavalve.memory import ORDINARY_BYTES, ReceivedBytes

_MB = 1048576


@attrs.define(eq=False)
class _Connection:
    """A connection that holds what a test says."""

    account: ReceivedBytes
    unfinished_bytes: int = 0
    unfinished_since_s: float = 0
    active_at_s: float = 0
    is_busy: bool = False
    has_sent: bool = False
    is_shed: bool = False

    def shed(self) -> None:
        """Give back what is held."""
        self.is_shed = True
        self.account.add(-self.unfinished_bytes)


class ReceivedBytesTest(unittest.TestCase):
    """An account of 10 MB and 8 connections, at 100 s."""

    def setUp(self) -> None:
        """Create the account."""
        self.account = ReceivedBytes(
            10 * _MB, max_connections=8, now_s=lambda: 100
        )

    def _connect(self, size_bytes: int = 0, **fields: float) -> _Connection:
        connection = _Connection(self.account, size_bytes, **fields)
        self.account.enter(connection)
        self.account.add(size_bytes)
        return connection

    def test_nothing_is_shed_within_the_bounds(self) -> None:
        connections = [self._connect(_MB) for _ in range(8)]
        self.account.make_room()
        self.assertFalse(any(each.is_shed for each in connections))

    def test_largest_of_those_that_stay_longest_are_shed(self) -> None:
        stalled = self._connect(4 * _MB, unfinished_since_s=90)
        arriving = self._connect(5 * _MB, unfinished_since_s=99)
        small = self._connect(2 * _MB, unfinished_since_s=90)
        self.account.make_room()
        self.assertTrue(stalled.is_shed)
        self.assertFalse(arriving.is_shed or small.is_shed)

    def test_ordinary_request_is_shed_after_all_others(self) -> None:
        ordinary = self._connect(ORDINARY_BYTES, unfinished_since_s=0)
        others = [self._connect(4 * _MB, unfinished_since_s=99) for _ in '123']
        self.account.make_room()
        self.assertFalse(ordinary.is_shed)
        self.assertTrue(any(each.is_shed for each in others))

    def test_whole_request_is_kept(self) -> None:
        """The connection counts it as finished."""
        whole = self._connect(is_busy=True)
        self.account.add(9 * _MB)
        arriving = self._connect(2 * _MB, unfinished_since_s=99.9)
        self.account.make_room()
        self.assertFalse(whole.is_shed)
        self.assertTrue(arriving.is_shed)

    def test_ordinary_request_is_kept_beside_whole_ones(self) -> None:
        """It was refused while large requests that run filled the account."""
        self.account.add(12 * _MB)
        ordinary = self._connect(ORDINARY_BYTES, unfinished_since_s=0)
        self.account.make_room()
        self.assertFalse(ordinary.is_shed)

    def test_ordinary_requests_alone_have_a_bound(self) -> None:
        self.account.add(20 * _MB)
        old = self._connect(ORDINARY_BYTES, unfinished_since_s=0)
        self.account.make_room()
        self.assertTrue(old.is_shed)

    def test_silent_connections_make_way_for_new_ones(self) -> None:
        busy = self._connect(is_busy=True, active_at_s=1)
        kept = self._connect(has_sent=True, active_at_s=2)
        silent = [self._connect(active_at_s=50 + each) for each in range(6)]
        new = self._connect(active_at_s=100)
        self.assertTrue(silent[0].is_shed)
        self.assertFalse(busy.is_shed or kept.is_shed or new.is_shed)
        self.assertLessEqual(self.account.connections, 8)

    def test_new_connection_is_shed_while_all_others_are_busy(self) -> None:
        busy = [self._connect(is_busy=True) for _ in range(8)]
        new = self._connect()
        self.assertTrue(new.is_shed)
        self.assertFalse(any(each.is_shed for each in busy))
