"""Learned capacities of simulated servers, against fixed rules.

Bounds follow from what callers bear: a server that is slower by 3 to 12 times
makes its answers late, so its requests have to go elsewhere within some
seconds, and nothing may become later than without learning.
"""

import statistics
import unittest

from tests.support.capacity_model import (
    BEHAVIORS,
    CapacityModel,
    RandomChoice,
)
from yuccavalve.load import LeastLoaded, TwoChoices

_DAEMONS = (1, 8, 69)
_SEEDS = (1, 2)
_SLOW_AT_S = 10
_END_S = 24
# Late answers that a service with nothing wrong may have by the way of
# counting: answers of a noisy server that lasted four times as long.
_MARGIN = 0.01


def _models(name: str, count: int, **options: object) -> list[CapacityModel]:
    models = [
        CapacityModel(BEHAVIORS[name], count, seed=seed, **options)
        for seed in _SEEDS
    ]
    for model in models:
        model.play(_END_S)
    return models


def _late(models: list[CapacityModel], from_s: float, to_s: float) -> float:
    return statistics.mean(each.late_fraction(from_s, to_s) for each in models)


class PlainServersTest(unittest.TestCase):
    """Four servers with six slots, calls of 50 ms at 120 a second."""

    def _each(self, name: str, **options: object):
        for count in _DAEMONS:
            yield count, _models(name, count, **options)

    def test_slow_server_is_left_within_two_seconds(self) -> None:
        for _, models in self._each('slow for 6 s'):
            found_s = [
                each.time_until(0, _SLOW_AT_S, lambda known: known < 0.5)
                for each in models
            ]
            self.assertLessEqual(statistics.median(found_s), 2)
            late = _late(models, _SLOW_AT_S + 2, _SLOW_AT_S + 6)
            # Probes are late, and so is what is sent before news arrives.
            self.assertLessEqual(late, 0.05 + _MARGIN)

    def test_recovered_server_is_used_again(self) -> None:
        for _, models in self._each('slow for 6 s'):
            shares = [each.share(0, 21, _END_S) for each in models]
            self.assertGreater(statistics.mean(shares), 0.1)

    def test_server_slow_from_its_start_is_found(self) -> None:
        for _, models in self._each('slow from its start'):
            for each in models:
                self.assertAlmostEqual(each.belief(0, 20), 0.2, delta=0.12)
            self.assertLessEqual(_late(models, 5, _END_S), 0.05 + _MARGIN)

    def test_no_behavior_makes_more_requests_late_than_baselines(self) -> None:
        for name in BEHAVIORS:
            for count, models in self._each(name):
                late = _late(models, 3, _END_S)
                for choices in (TwoChoices(), LeastLoaded()):
                    others = _models(name, count, learn=False, choices=choices)
                    self.assertLessEqual(
                        late, _late(others, 3, _END_S) + 0.02, choices
                    )

    def test_slow_server_costs_less_than_with_fixed_slots(self) -> None:
        for name in ('slow for 6 s', 'slow from its start'):
            for count, models in self._each(name):
                others = _models(
                    name, count, learn=False, choices=RandomChoice()
                )
                self.assertLess(
                    _late(models, 3, _END_S),
                    _late(others, 3, _END_S) / 2,
                )

    def test_noise_is_no_change(self) -> None:
        for name in ('constant', 'noise'):
            for _, models in self._each(name):
                turns = [
                    each.turns(index, 3, 1.5)
                    for each in models
                    for index in range(4)
                ]
                self.assertLess(statistics.mean(turns), 0.5)

    def test_service_that_slows_down_keeps_relative_speeds(self) -> None:
        for _, models in self._each('all slow', rate_per_s=60):
            for each in models:
                for index in range(4):
                    self.assertGreater(each.belief(index, 15), 0.5)

    def test_three_speeds_are_told_apart(self) -> None:
        for _, models in self._each('three speeds'):
            for each in models:
                fast, middle, slow, _ = each.beliefs[-1][1]
                self.assertAlmostEqual(fast / slow, 2.24, delta=0.8)
                self.assertGreater(middle, slow)

    def test_probes_are_few_and_never_urgent_or_once_only(self) -> None:
        for _, models in self._each('slow from its start'):
            for each in models:
                self.assertLessEqual(
                    each.probes,
                    0.05 * len(each.arrivals) + len(each.daemons),
                )

    def test_wrong_belief_ends(self) -> None:
        """Guards against a server that is never used again."""
        for count in _DAEMONS:
            model = CapacityModel(BEHAVIORS['noise'], count)
            model.play(6)
            model.mislead(0, 0.1)
            model.play(20)
            self.assertLessEqual(
                model.time_until(0, 6.5, lambda known: known > 0.67), 12
            )
            self.assertLessEqual(model.late_fraction(6, 26), _MARGIN)


if __name__ == '__main__':
    unittest.main()
