"""What daemons know of the limits that engines name."""

import unittest

from tests.support.limit_model import ENGINE
from yuccavalve.ratelimit import EngineLimit, LimitTable, parse_limit
from yuccavalve.ratelimit.const import LIMIT_MAX_AGE_S, MAX_LIMITS, MAX_NEWS


class ParseTest(unittest.TestCase):
    """Limits as engines send them."""

    def test_decimal_numbers(self) -> None:
        for text, per_s in (
            ('1.6', 1.6),
            (' 12 ', 12),
            ('0', 0),
            ('.5', 0.5),
            ('3.', 3),
        ):
            self.assertEqual(parse_limit(text), per_s)

    def test_anything_else_is_unreadable(self) -> None:
        for text in (
            '',
            '-1',
            'nan',
            'inf',
            '1e3',
            '1,5',
            '1.2.3',
            '0x2',
            '٣',
            '1 2',
            '9' * 400,
        ):
            with self.subTest(text=text):
                self.assertIsNone(parse_limit(text))


class TableTest(unittest.TestCase):
    """Limits that begin, change and end."""

    def setUp(self) -> None:  # noqa: N802
        """Create a table that records its changes."""
        self.changes = []
        self.table = LimitTable(on_change=self.changes.append)

    def test_newest_answer_counts(self) -> None:
        self.table.record_named(ENGINE, 2, 100)
        self.table.apply([EngineLimit(ENGINE, 9, 99)], 101)
        self.assertEqual(self.table.per_s(ENGINE), 2)
        self.table.record_named(ENGINE, 5, 101)
        self.assertEqual(self.table.per_s(ENGINE), 5)

    def test_answer_to_an_earlier_request_does_not_end_a_limit(self) -> None:
        self.table.record_named(ENGINE, 2, 100)
        self.table.record_unnamed(ENGINE, 99.9, 100.5)
        self.assertEqual(self.table.per_s(ENGINE), 2)
        self.table.record_unnamed(ENGINE, 100.1, 100.5)
        self.assertIsNone(self.table.per_s(ENGINE))

    def test_unreadable_limit_keeps_the_last_one_in_force(self) -> None:
        self.table.record_unreadable(ENGINE, 99)
        self.assertIsNone(self.table.per_s(ENGINE))
        self.table.record_named(ENGINE, 2, 100)
        self.table.record_unreadable(ENGINE, 102)
        self.table.record_unnamed(ENGINE, 101, 103)
        self.assertEqual(self.table.per_s(ENGINE), 2)

    def test_unreadable_limit_is_reported_once_until_a_readable_one(
        self,
    ) -> None:
        found = [self.table.record_unreadable(ENGINE, 99) for _ in range(3)]
        self.table.record_named(ENGINE, 2, 100)
        found.append(self.table.record_unreadable(ENGINE, 101))
        self.assertEqual(found, [True, False, False, True])

    def test_changes_are_reported_once(self) -> None:
        for at_s in (100, 101):
            self.table.record_named(ENGINE, 2, at_s)
        self.table.record_named(ENGINE, 1, 102)
        self.table.record_unnamed(ENGINE, 103, 103)
        found = [(each.previous_per_s, each.per_s) for each in self.changes]
        self.assertEqual(found, [(None, 2), (2, 1), (1, None)])
        self.assertEqual(
            [each.tightens for each in self.changes], [True, True, False]
        )

    def test_news_are_bounded_and_name_each_limit_in_turn(self) -> None:
        for engine in range(3 * MAX_NEWS):
            self.table.record_named(engine, 1, 100)
        told = set()
        for at_s in range(110, 114):
            news = self.table.news(at_s)
            self.assertLessEqual(len(news), MAX_NEWS)
            told.update(each.engine for each in news)
        self.assertEqual(len(told), 3 * MAX_NEWS)

    def test_changes_go_first_in_news(self) -> None:
        for engine in range(3 * MAX_NEWS):
            self.table.record_named(engine, 1, 100)
        self.table.record_named(9999, 1, 110)
        for _ in range(4):
            self.assertEqual(self.table.news(110.5)[0].engine, 9999)

    def test_limits_are_forgotten_in_time_and_by_number(self) -> None:
        for engine in range(MAX_LIMITS + 5):
            self.table.record_named(engine, 1, 100 + engine / MAX_LIMITS)
        self.assertEqual(len(self.table.in_force()), MAX_LIMITS)
        self.table.news(102 + LIMIT_MAX_AGE_S)
        self.assertFalse(self.table.has_limits)
