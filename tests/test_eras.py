"""Which era the answers of the table service belong to."""

import unittest

from yuccavalve.eras import FIRST_STATED_ERA, EraWatch
from yuccavalve.ports.position import Position

_SECOND = 2 * FIRST_STATED_ERA


class EraWatchTest(unittest.TestCase):
    """A daemon that has read the store in its first era, at version 10."""

    def setUp(self) -> None:
        """Read the store and listen for new eras."""
        self.told: list[int] = []
        self.watch = EraWatch(listeners=[self.told.append])
        self._answer(1, 10)
        self.assertTrue(self.watch.is_first)
        self.told.clear()

    def _answer(
        self, stated: int | None, version: int | None, sent_from=None
    ) -> int | None:
        return self.watch.place(
            sent_from or self.watch.position(), stated, version
        )

    def test_listeners_are_told_once_of_each_return(self) -> None:
        self.assertEqual(self._answer(2, 4), _SECOND)
        self.assertEqual(self._answer(2, 5), _SECOND)
        self.watch.record_peer(_SECOND)
        self.assertEqual(self.told, [_SECOND])
        self.assertEqual(self.watch.position(), Position(_SECOND, 5))
        self._answer(3, 1)
        self.assertEqual(self.told, [_SECOND, 3 * FIRST_STATED_ERA])
        self.assertEqual(self.watch.returns, 2)

    def test_answer_of_an_earlier_era_counts_as_none(self) -> None:
        # It was on the way while another call showed the return.
        self._answer(2, 4)
        self.assertIsNone(self._answer(1, 11))
        self.assertEqual(self.watch.position(), Position(_SECOND, 4))

    def test_era_that_a_peer_knows_is_not_told_again_by_the_store(self) -> None:
        self.watch.record_peer(_SECOND)
        self.assertIsNone(self._answer(1, 11))
        self.assertEqual(self._answer(2, 4), _SECOND)
        self.watch.record_peer(FIRST_STATED_ERA)
        self.assertEqual(self.told, [_SECOND])

    def test_call_sent_before_the_return_may_be_answered_after_it(self) -> None:
        before = self.watch.position()
        self._answer(2, 4)
        self.assertEqual(self._answer(2, 6, sent_from=before), _SECOND)

    def test_refusal_without_the_header_is_no_return(self) -> None:
        self.assertEqual(self._answer(None, None), FIRST_STATED_ERA)
        self.assertEqual(self.told, [])

    def test_calls_that_overtake_each_other_are_no_return(self) -> None:
        before = self.watch.position()
        self._answer(1, 12)
        self.assertEqual(self._answer(1, 11, before), FIRST_STATED_ERA)
        self.assertEqual(self.watch.position().version, 12)

    def test_versions_that_fall_show_a_return_that_is_not_stated(self) -> None:
        watch = EraWatch(listeners=[self.told.append])
        watch.place(watch.position(), None, 10)
        before = watch.position()
        self.assertEqual(watch.place(watch.position(), None, 4), 1)
        self.assertEqual(self.told, [1])
        # It may have been answered before the return.
        self.assertIsNone(watch.place(before, None, 11))
        self.assertEqual(watch.place(watch.position(), None, 3), 2)
        self.assertEqual(self.told, [1, 2])
        # The store states its era from here on.
        self.assertEqual(watch.place(watch.position(), 1, 5), FIRST_STATED_ERA)

    def test_daemon_that_starts_after_a_return_knows_of_one(self) -> None:
        watch = EraWatch()
        watch.place(watch.position(), 2, 4)
        self.assertFalse(watch.is_first)
        self.assertEqual(watch.returns, 0)
