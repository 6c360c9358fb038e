"""The peers that a daemon pulls from change slowly."""

import unittest
from random import Random

from tests.support.builders import member
from yuccavalve.membership import PeerView, Roster
from yuccavalve.membership.const import VIEW_REPLACE_PERIOD_S, VIEW_SIZE

_PEERS = 100
_ROUNDS = 50


class ViewTest(unittest.TestCase):
    """A view that is much smaller than the membership."""

    def setUp(self) -> None:
        self.random = Random(3)
        roster = Roster(member('own'))
        roster.learn_all(member(f'peer-{number}') for number in range(_PEERS))
        self.view = PeerView(roster)

    def _drawn(self, now_s: float) -> set[str]:
        return {
            each.member
            for _ in range(_ROUNDS)
            for each in self.view.draw(self.random, now_s, 2)
        }

    def test_view_is_stable_between_replacements(self) -> None:
        self.assertEqual(len(self._drawn(1)), VIEW_SIZE)
        self.assertEqual(self._drawn(2), self._drawn(3))

    def test_one_peer_is_replaced_each_period(self) -> None:
        before = self._drawn(1)
        after = self._drawn(1 + VIEW_REPLACE_PERIOD_S)
        self.assertEqual(len(before - after), 1)

    def test_dropped_peer_is_replaced(self) -> None:
        before = self._drawn(1)
        silent = min(before)
        self.view.drop(silent)
        self.assertEqual(len(self._drawn(1) | before), VIEW_SIZE + 1)

    def test_all_peers_are_drawn_in_time(self) -> None:
        seen: set[str] = set()
        for turn in range(_PEERS * 8):
            seen |= self._drawn(turn * VIEW_REPLACE_PERIOD_S)
        self.assertEqual(len(seen), _PEERS)

    def test_suspects_do_not_displace_live_peers(self) -> None:
        for name in sorted(self._drawn(1))[:4]:
            self.view.roster.record_seen(name, 1)
        for _ in range(_ROUNDS):
            drawn = self.view.draw(self.random, 2, 2)
            alive = [self.view.roster.is_live(each.member, 2) for each in drawn]
            self.assertEqual(alive, [True, True, False])
