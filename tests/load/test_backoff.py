"""Backoff times that engines ask for, well-formed and not."""

import unittest
from random import Random

from yuccavalve.load import requested_backoff
from yuccavalve.load.const import (
    DEFAULT_BACKOFF_S,
    MAX_BACKOFF_S,
    BACKOFF_JITTER,
    BACKOFF_JITTER_MIN_S,
)

_SAMPLES = 200


class BackoffTest(unittest.TestCase):
    """Times as they come in a header field."""

    def _assert_backoff(
        self, text: str, least_s: float, *, bounded: bool
    ) -> None:
        backoff = requested_backoff(text, Random(1))
        jitter_s = max(BACKOFF_JITTER_MIN_S, least_s * BACKOFF_JITTER)
        self.assertGreaterEqual(backoff.duration_s, least_s)
        self.assertLessEqual(backoff.duration_s, least_s + jitter_s)
        self.assertEqual(backoff.is_bounded, bounded)

    def test_times_that_can_be_used(self) -> None:
        for text, least_s in (
            ('0', 0),
            ('0.25', 0.25),
            (' 3 ', 3),
            ('1e1', 10),
        ):
            with self.subTest(text=text):
                self._assert_backoff(text, least_s, bounded=False)

    def test_times_that_are_bounded(self) -> None:
        for text in (
            '',
            'soon',
            'nan',
            '-1',
            '-inf',
            'Fri, 04 Dec 2026',
            '1,5',
        ):
            with self.subTest(text=text):
                self._assert_backoff(text, DEFAULT_BACKOFF_S, bounded=True)
        for text in ('inf', '1e300', '9' * 400, '86400'):
            with self.subTest(text=text):
                self._assert_backoff(text, MAX_BACKOFF_S, bounded=True)

    def test_daemons_return_at_different_moments(self) -> None:
        durations_s = {
            requested_backoff('2', Random(seed)).duration_s
            for seed in range(_SAMPLES)
        }
        self.assertEqual(len(durations_s), _SAMPLES)
        spread_s = max(durations_s) - min(durations_s)
        self.assertGreater(spread_s, 2 * BACKOFF_JITTER * 0.9)
