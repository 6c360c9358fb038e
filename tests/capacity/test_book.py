"""Rules of beliefs that the model doesn't show by itself."""

import unittest
from random import Random

from yuccavalve.capacity import CapacityBelief, CapacityBook
from yuccavalve.capacity.const import MAX_NEWS
from yuccavalve.peers.capacity_news import decode_capacities, encode_capacities

_NOW_S = 100


class BookTest(unittest.TestCase):
    """Beliefs of one daemon, and how they travel."""

    def setUp(self) -> None:  # noqa: N802
        """Create an empty book."""
        self.book = CapacityBook(Random(1), now_s=_NOW_S)

    def _told(self, *samples: int) -> None:
        self.book.apply(
            [
                CapacityBelief(server, 3, 0.25, count, _NOW_S)
                for server, count in enumerate(samples)
            ],
            _NOW_S,
        )

    def test_few_samples_keep_the_slots(self) -> None:
        self._told(2, 3)
        self.assertEqual(self.book.capacity(0, 6).concurrency, 6)
        self.assertEqual(self.book.capacity(1, 6).concurrency, 3)

    def test_concurrency_is_never_above_the_slots(self) -> None:
        self._told(5)
        self.assertEqual(self.book.capacity(0, 2).concurrency, 2)

    def test_typical_server_counts_as_without_learning(self) -> None:
        capacity = self.book.capacity(9, 6)
        self.assertAlmostEqual(capacity.load_per_slot(4, 6, 0.25), 4 / 6)

    def test_all_are_told_in_turn_within_the_bound(self) -> None:
        self._told(*[5] * 100)
        other = set()
        for step in range(40):
            now_s = _NOW_S + 3 + step / 4
            news = encode_capacities(self.book, now_s)
            self.assertLessEqual(len(news), MAX_NEWS)
            other |= {each.server for each in decode_capacities(news, now_s)}
        self.assertEqual(len(other), 100)

    def test_gone_servers_are_forgotten(self) -> None:
        self._told(5, 5)
        self.book.forget_except({1})
        self.assertEqual(self.book.samples(0, _NOW_S), 0)
        self.assertEqual(self.book.samples(1, _NOW_S), 5)


if __name__ == '__main__':
    unittest.main()
