"""Retry budgets bound the retries in every sliding window."""

import unittest

from yuccavalve.gateway.budget import RetryBudgetSettings, ServiceRetryBudgets

_SETTINGS = RetryBudgetSettings(ratio=0.2, extra=40, window_s=10)
_DAEMONS = 8


class BudgetTest(unittest.TestCase):
    """First attempts and retries at given times."""

    def test_retries_stay_within_ratio_and_part_of_extra(self) -> None:
        budgets = ServiceRetryBudgets(_SETTINGS, lambda: 4)
        for number in range(100):
            budgets.deposit('s', number / 20)
        spent = sum(budgets.withdraw('s', 5) for _ in range(100))
        self.assertLessEqual(spent, 100 * 0.2 + 10)
        self.assertGreater(spent, 15)

    def test_retries_are_available_again_after_the_window(self) -> None:
        budgets = ServiceRetryBudgets(_SETTINGS, lambda: 1)
        while budgets.withdraw('s', 0):
            self.assertGreaterEqual(budgets.remaining('s', 0), 0)
        self.assertFalse(budgets.withdraw('s', 9.9))
        self.assertTrue(budgets.withdraw('s', 10.1))

    def test_services_have_separate_budgets(self) -> None:
        budgets = ServiceRetryBudgets(_SETTINGS, lambda: 1)
        while budgets.withdraw('a', 0):
            continue
        self.assertTrue(budgets.withdraw('b', 0))

    def test_sum_over_daemons_stays_within_ratio_and_extra(self) -> None:
        daemons = [
            ServiceRetryBudgets(_SETTINGS, lambda: _DAEMONS)
            for _ in range(_DAEMONS)
        ]
        spent = 0
        for number in range(400):
            budgets = daemons[number % 3]
            budgets.deposit('s', number / 80)
        for budgets in daemons:
            spent += sum(budgets.withdraw('s', 5) for _ in range(400))
        self.assertLessEqual(spent, 400 * _SETTINGS.ratio + _SETTINGS.extra)
        self.assertGreater(spent, 400 * _SETTINGS.ratio / 2)
