"""Fair shares do not depend on which daemons the requests come through."""

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


class FairShareTest(unittest.TestCase):
    """Max-min fairness by weight."""

    def test_small_demand_is_met_in_full(self) -> None:
        shares = fair_shares(_SLOTS, {'large': 500, 'small': 10}, {})
        self.assertEqual(shares, {'small': 10, 'large': 54})

    def test_slots_are_divided_by_weight(self) -> None:
        shares = fair_shares(_SLOTS, {'a': 500, 'b': 500}, {'a': 3})
        self.assertEqual(shares, {'a': 48, 'b': 16})

    def test_no_demand_gives_no_shares(self) -> None:
        self.assertEqual(fair_shares(_SLOTS, {}, {}), {})


class DaemonShareTest(unittest.TestCase):
    """Daemons divide the slots without a coordinator."""

    def _shares(self, demands: list[dict[str, int]]) -> list[int]:
        return [
            _SHARES.share(
                _SLOTS,
                own,
                demands[:index] + demands[index + 1 :],
            )
            for index, own in enumerate(demands)
        ]

    def test_shares_add_up_to_the_overcommitted_slots(self) -> None:
        shares = self._shares([{'a': 40}, {'b': 10}, {}, {}])
        overcommitted = OVERCOMMIT_FACTOR * _SLOTS
        self.assertLessEqual(abs(sum(shares) - overcommitted), len(shares))
        self.assertGreater(shares[2], 0)

    def test_small_demand_through_one_daemon_is_met(self) -> None:
        large = [{'large': 100} for _ in range(7)]
        shares = self._shares([{'small': 30, 'large': 100}, *large])
        self.assertGreaterEqual(shares[0], 30 * OVERCOMMIT_FACTOR)

    def test_large_share_is_the_same_through_one_daemon_or_all(self) -> None:
        small = {'small': 4}
        alone = self._shares([{'large': 800}, *[small] * 7])
        spread = self._shares([{'large': 100, **small}] * 8)
        through_one = alone[0]
        through_all = sum(spread) - OVERCOMMIT_FACTOR * 8 * small['small']
        self.assertLess(abs(through_one - through_all), len(spread))


class EncodingTest(unittest.TestCase):
    """Demands are encoded in two bytes each."""

    def setUp(self) -> None:
        self.order = [DemandKey('g', f'w{number}') for number in range(20)]

    def test_decoded_demands_are_accurate_to_a_twentieth(self) -> None:
        for count in (1, 2, 7, 100, 4000, 50000):
            with self.subTest(count=count):
                key = self.order[3]
                encoded = encode_demands({key: count}, self.order)
                decoded = decode_demands(encoded, self.order)[key]
                self.assertLessEqual(abs(decoded - count), count / 20)

    def test_only_the_largest_demands_are_encoded(self) -> None:
        demands = {key: count for count, key in enumerate(self.order)}
        decoded = decode_demands(
            encode_demands(demands, self.order),
            self.order,
        )
        self.assertEqual(set(decoded), set(self.order[-MAX_DEMAND_ENTRIES:]))

    def test_new_report_replaces_the_previous_one(self) -> None:
        demands = Demands()
        demands.record('e1', {self.order[0]: 5})
        demands.record('e1', {self.order[1]: 2})
        demands.record('e2', {self.order[1]: 3})
        self.assertEqual(demands.totals('g', ['e1', 'e2']), {'w1': 5})
        self.assertEqual(demands.totals('g', ['e2']), {'w1': 3})
