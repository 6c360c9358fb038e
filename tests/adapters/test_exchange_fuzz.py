"""Mutated answers never break the reader of answers."""

import itertools
import unittest

from script.tools.fuzz import find_violation, inputs

_INPUTS = 20000


class ExchangeFuzzTest(unittest.TestCase):
    """Answers that are mutated, cut, repeated or whole, from one seed."""

    def test_no_input_breaks_a_property(self) -> None:
        for received in itertools.islice(inputs(1), _INPUTS):
            self.assertEqual(find_violation(received), '', received)

    def test_all_ends_are_drawn(self) -> None:
        drawn = list(itertools.islice(inputs(1), _INPUTS))
        self.assertEqual({each.ends_in_order for each in drawn}, {True, False})
        self.assertEqual({each.whole for each in drawn}, {True, False})
