"""Test error budgets, alarm windows and which requests are counted."""

import unittest

from yuccavalve.observability.burn import (
    Objective,
    Sample,
    burn_rows,
    is_good,
    report_html,
    report_text,
)
from yuccavalve.observability.metrics import RequestMeasurement
from yuccavalve.observability.samples import BurnSamples

_OBJECTIVE = Objective('pool', 'draft', good_share=0.9)


class BurnTest(unittest.TestCase):
    """An alarm needs a high burn rate in both windows."""

    def test_result_decides_whether_a_request_is_good(self) -> None:
        self.assertTrue(is_good(_OBJECTIVE, 1000, 1500, 60))
        self.assertFalse(is_good(_OBJECTIVE, 1000, 2500, 60))
        self.assertFalse(is_good(_OBJECTIVE, 1000, 1500, 90))
        self.assertFalse(is_good(_OBJECTIVE, 2000, None, None))
        self.assertIsNone(is_good(_OBJECTIVE, 4003, None, None))

    def test_past_fault_raises_no_alarm(self) -> None:
        samples = [Sample(-3000, 'pool', 'draft', 0, 100)]
        row = burn_rows([_OBJECTIVE], samples, 0)[0]
        self.assertFalse(any(alarm.raised for alarm in row.alarms))

    def test_lasting_fault_raises_an_alarm(self) -> None:
        objective = Objective('pool', 'draft', good_share=0.95)
        samples = [
            Sample(-60.0 * minute, 'pool', 'draft', 5, 95)
            for minute in range(60)
        ]
        row = burn_rows([objective], samples, 0)[0]
        self.assertTrue(all(alarm.raised for alarm in row.alarms))
        self.assertLess(row.budget_left, 0)
        text = report_text([row], {'loading': 12}, 30)
        self.assertIn('ALARM', text)
        self.assertIn('loading', report_html([row], {'loading': 12}, 30))

    def test_samples_are_counted_per_minute(self) -> None:
        samples = BurnSamples()
        good = RequestMeasurement('pool', 'draft', 1000, 100, 30)
        for second in range(0, 180, 10):
            samples.record(_OBJECTIVE, good, 1000 + second)
        kept = samples.samples(1180)
        self.assertEqual(sum(each.good for each in kept), 18)
        self.assertGreaterEqual(len(kept), 3)
