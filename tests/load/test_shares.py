"""A workspace has the same due however it comes."""

import unittest

from yuccavalve.load import (
    DemandKey,
    Demands,
    DemandShares,
    decode_demands,
    encode_demands,
    fair_shares,
)
from yuccavalve.load.const import MAX_DEMAND_ENTRIES, OVERCOMMIT_FACTOR

_SLOTS = 64
_SHARES = DemandShares({})


class DueTest(unittest.TestCase):
    """Max-min fairness by weight."""

    def test_small_ones_have_all_they_ask(self) -> None:
        dues = fair_shares(_SLOTS, {'large': 500, 'small': 10}, {})
        self.assertEqual(dues, {'small': 10, 'large': 54})

    def test_weights(self) -> None:
        dues = fair_shares(_SLOTS, {'a': 500, 'b': 500}, {'a': 3})
        self.assertEqual(dues, {'a': 48, 'b': 16})

    def test_nothing_asked(self) -> None:
        self.assertEqual(fair_shares(_SLOTS, {}, {}), {})


class ShareTest(unittest.TestCase):
    """Slots are divided without a coordinator."""

    def _total(self, demands: list[dict[str, int]]) -> list[int]:
        return [
            _SHARES.share(
                _SLOTS,
                own,
                demands[:index] + demands[index + 1 :],
            )
            for index, own in enumerate(demands)
        ]

    def test_shares_add_up_to_the_overcommitted_slots(self) -> None:
        shares = self._total([{'a': 40}, {'b': 10}, {}, {}])
        overcommitted = OVERCOMMIT_FACTOR * _SLOTS
        self.assertLessEqual(abs(sum(shares) - overcommitted), len(shares))
        self.assertGreater(shares[2], 0)

    def test_small_through_one_daemon(self) -> None:
        large = [{'large': 100} for _ in range(7)]
        shares = self._total([{'small': 30, 'large': 100}, *large])
        self.assertGreaterEqual(shares[0], 30 * OVERCOMMIT_FACTOR)

    def test_large_through_one_or_all(self) -> None:
        small = {'small': 4}
        alone = self._total([{'large': 800}, *[small] * 7])
        spread = self._total([{'large': 100, **small}] * 8)
        due = alone[0]
        through_all = sum(spread) - OVERCOMMIT_FACTOR * 8 * small['small']
        self.assertLess(abs(due - through_all), len(spread))


class CodeTest(unittest.TestCase):
    """Two bytes a demand."""

    def setUp(self) -> None:
        self.order = [DemandKey('g', f'w{number}') for number in range(20)]

    def test_precision(self) -> None:
        for count in (1, 2, 7, 100, 4000, 50000):
            with self.subTest(count=count):
                key = self.order[3]
                code = encode_demands({key: count}, self.order)
                found = decode_demands(code, self.order)[key]
                self.assertLessEqual(abs(found - count), count / 20)

    def test_only_the_largest(self) -> None:
        demands = {key: place for place, key in enumerate(self.order)}
        found = decode_demands(encode_demands(demands, self.order), self.order)
        self.assertEqual(set(found), set(self.order[-MAX_DEMAND_ENTRIES:]))

    def test_news_takes_the_place_of_older_news(self) -> None:
        demands = Demands()
        demands.note('e1', {self.order[0]: 5})
        demands.note('e1', {self.order[1]: 2})
        demands.note('e2', {self.order[1]: 3})
        self.assertEqual(demands.totals('g', ['e1', 'e2']), {'w1': 5})
        self.assertEqual(demands.totals('g', ['e2']), {'w1': 3})
