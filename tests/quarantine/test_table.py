"""Which parts are put into quarantine, when they are tried, and released."""

import unittest

from tests.quarantine import builders
from tests.quarantine.builders import (
    BAD,
    OTHER,
    SHARED,
    crash,
    fingerprint,
)
from yuccavalve.peers.quarantine_news import (
    decode_quarantine,
    encode_quarantine,
)
from yuccavalve.quarantine import (
    QuarantineNews,
    RequestCrash,
    SuspectHold,
)
from yuccavalve.quarantine.const import (
    LEARN_MARGIN_S,
    MAX_QUARANTINE_S,
    MAX_RECORDS,
    MAX_RELAYED,
    MIN_CRASHES,
    QUARANTINE_S,
    SETTLE_S,
    SOUND_S,
    SUSPECT_MEMORY_S,
    TRIAL_MEMORY_S,
    TRIAL_TIMEOUT_S,
)

_STEP_S = 0.3
_LONG_S = 100000.0


class QuarantineTest(unittest.TestCase):
    """One daemon that sees crashes and whole answers."""

    def setUp(self) -> None:
        """Start without evidence."""
        self.table = builders.quarantine()
        self.now_s = 1000.0

    def _crash(self, count: int, *parts: int, first: int = 0) -> None:
        for number in range(first, first + count):
            self.table.record_crash(crash(number, *parts), self.now_s)
            self.now_s += _STEP_S
        builders.answer_others(self.table, self.now_s)
        self.now_s += SETTLE_S

    def _is_refused(self, *parts: int) -> bool:
        return self.table.find(parts, self.now_s) is not None

    def test_part_under_which_engines_crash_is_refused(self) -> None:
        self._crash(MIN_CRASHES - 1, BAD)
        self.assertFalse(self._is_refused(BAD))
        self._crash(1, BAD, first=MIN_CRASHES)
        self.assertTrue(self._is_refused(SHARED, BAD))
        self.assertFalse(self._is_refused(SHARED))

    def test_crashes_of_one_engine_count_once(self) -> None:
        for number in range(10):
            self.table.record_crash(
                RequestCrash(1, (BAD,), fingerprint(number)), self.now_s
            )
            self.now_s += _STEP_S
        builders.answer_others(self.table, self.now_s)
        self.assertFalse(self._is_refused(BAD))

    def test_repeats_of_one_request_are_not_enough(self) -> None:
        for number in range(10):
            self.table.record_crash(
                RequestCrash(number, (BAD,), fingerprint(1)), self.now_s
            )
            self.now_s += _STEP_S
        builders.answer_others(self.table, self.now_s)
        self.assertFalse(self._is_refused(BAD))

    def test_engines_that_crash_under_all_prompts_condemn_no_part(
        self,
    ) -> None:
        for number in range(30):
            self.table.record_crash(
                crash(number, number % 5, SHARED), self.now_s
            )
            self.now_s += _STEP_S
        self.now_s += SETTLE_S
        self.table.expire(self.now_s)
        self.assertEqual(self.table.held_count, 0)

    def test_engines_that_end_at_once_count_as_one(self) -> None:
        for number in range(10):
            self.table.record_crash(crash(number), self.now_s)
        builders.answer_others(self.table, self.now_s)
        self.now_s += SETTLE_S
        self.assertFalse(self._is_refused(BAD))

    def test_part_that_was_answered_lately_is_not_suspected(self) -> None:
        self.table.record_sound((SHARED,), self.now_s)
        self._crash(10, SHARED, BAD)
        self.assertFalse(self._is_refused(SHARED))
        self.assertTrue(self._is_refused(BAD))

    def test_part_that_crashes_engines_later_is_refused_after_a_time(
        self,
    ) -> None:
        self.table.record_sound((BAD,), self.now_s)
        self.now_s += SOUND_S
        self._crash(MIN_CRASHES, BAD)
        self.assertTrue(self._is_refused(BAD))

    def test_whole_answer_releases_a_part_at_once(self) -> None:
        self._crash(MIN_CRASHES, BAD)
        self.table.record_sound((BAD,), self.now_s)
        self.assertFalse(self._is_refused(BAD))

    def test_part_in_quarantine_explains_crashes_under_other_parts(
        self,
    ) -> None:
        self._crash(MIN_CRASHES, BAD)
        self._crash(10, BAD, OTHER, first=MIN_CRASHES)
        self.assertFalse(self._is_refused(OTHER))

    def test_quarantine_doubles_with_each_failed_trial_and_is_bounded(
        self,
    ) -> None:
        self._crash(MIN_CRASHES, BAD)
        durations_s = []
        for number in range(MIN_CRASHES, 20):
            hit = self.table.find((BAD,), self.now_s)
            assert hit is not None
            durations_s.append(hit.retry_after_s)
            self.now_s += hit.retry_after_s
            self.assertIsNone(self.table.admit((BAD,), self.now_s))
            self._crash(1, BAD, first=number)
        self.assertLess(durations_s[0], QUARANTINE_S + TRIAL_TIMEOUT_S)
        self.assertGreater(durations_s[1], QUARANTINE_S * 2 - 1)
        self.assertGreater(durations_s[-1], MAX_QUARANTINE_S - 1)
        self.assertLess(durations_s[-1], MAX_QUARANTINE_S + 2 + _STEP_S)

    def test_crashes_of_the_first_storm_do_not_double_the_quarantine(
        self,
    ) -> None:
        self._crash(30, BAD)
        hit = self.table.admit((BAD,), self.now_s)
        assert hit is not None
        self.assertLess(hit.retry_after_s, QUARANTINE_S + TRIAL_TIMEOUT_S)

    def test_one_trial_at_a_time_after_the_quarantine(self) -> None:
        self._crash(MIN_CRASHES, BAD)
        hit = self.table.admit((BAD,), self.now_s)
        assert hit is not None
        self.now_s += hit.retry_after_s
        self.assertIsNone(self.table.admit((BAD,), self.now_s))
        self.assertIsNotNone(self.table.admit((BAD,), self.now_s + 1))
        self.assertIsNone(self.table.find((BAD,), self.now_s + 1))
        self.now_s += TRIAL_TIMEOUT_S
        self.assertIsNone(self.table.admit((BAD,), self.now_s))

    def test_crash_of_a_trial_doubles_the_quarantine(self) -> None:
        self._crash(MIN_CRASHES, BAD)
        hit = self.table.admit((BAD,), self.now_s)
        assert hit is not None
        self.now_s += hit.retry_after_s
        self.table.admit((BAD,), self.now_s)
        self._crash(1, BAD, first=MIN_CRASHES)
        longer = self.table.admit((BAD,), self.now_s)
        assert longer is not None
        self.assertGreater(longer.retry_after_s, QUARANTINE_S * 2 - 1)

    def test_evidence_is_forgotten(self) -> None:
        self._crash(MIN_CRASHES - 1, BAD)
        self.now_s += SUSPECT_MEMORY_S
        self._crash(MIN_CRASHES - 1, BAD, first=10)
        self.assertFalse(self._is_refused(BAD))
        self._crash(1, BAD, first=20)
        self.assertTrue(self._is_refused(BAD))
        self.now_s += QUARANTINE_S + TRIAL_MEMORY_S
        self.table.expire(self.now_s)
        self.assertEqual(self.table.parts.held_count, 0)
        self.assertEqual(self.table.parts.suspect_count, 0)
        self.now_s += SUSPECT_MEMORY_S
        self.table.expire(self.now_s)
        self.assertEqual(self.table.held_count, 0)
        self.assertEqual(self.table.suspect_count, 0)

    def test_parts_without_end_take_bounded_memory(self) -> None:
        self._crash(MIN_CRASHES, BAD)
        for number in range(5000):
            self.table.record_crash(crash(number, 10 + number), self.now_s)
            self.table.record_sound((100000 + number,), self.now_s)
        parts = self.table.parts
        self.assertLessEqual(
            parts.held_count + parts.suspect_count, MAX_RECORDS
        )
        self.assertTrue(self._is_refused(BAD))
        self.assertLessEqual(len(parts.news(self.now_s).crashes), MAX_RELAYED)


class TwoDaemonsTest(unittest.TestCase):
    """Two daemons that tell each other what they see."""

    def setUp(self) -> None:
        """Start without evidence."""
        self.tables = [builders.quarantine(seed, 2) for seed in (1, 2)]
        self.now_s = 1000.0

    def _tell(self, sender: int = 0) -> None:
        receiver = self.tables[1 - sender]
        receiver.apply(self.tables[sender].news(self.now_s), self.now_s)

    def _crash_alternately(self, count: int) -> None:
        for number in range(count):
            self.tables[number % 2].record_crash(crash(number), self.now_s)
            self.now_s += _STEP_S
            self._tell(number % 2)
        for table in self.tables:
            builders.answer_others(table, self.now_s)
        self.now_s += SETTLE_S

    def _refusing(self) -> list[bool]:
        return [
            table.find((BAD,), self.now_s) is not None for table in self.tables
        ]

    def test_crashes_at_different_daemons_add_up(self) -> None:
        self._crash_alternately(MIN_CRASHES)
        self.assertEqual(self._refusing(), [True, True])

    def test_whole_answer_at_one_daemon_clears_a_part_at_the_other(
        self,
    ) -> None:
        self.tables[1].record_sound((BAD,), self.now_s)
        for number in range(MIN_CRASHES):
            self.tables[0].record_crash(crash(number), self.now_s)
            self.now_s += _STEP_S
        builders.answer_others(self.tables[0], self.now_s)
        self.now_s += SETTLE_S
        self.assertEqual(self._refusing(), [True, False])
        self._tell()
        self._tell(1)
        self.assertEqual(self._refusing(), [False, False])

    def test_daemon_that_starts_later_learns_of_the_quarantine(self) -> None:
        self._crash_alternately(MIN_CRASHES)
        self.tables[1] = builders.quarantine(3, 2)
        self.now_s += 5
        self._tell()
        self.assertEqual(self._refusing(), [True, True])

    def test_daemon_that_was_cut_off_learns_that_a_part_is_cleared(
        self,
    ) -> None:
        self._crash_alternately(MIN_CRASHES)
        self.tables[0].record_sound((BAD,), self.now_s)
        self.now_s += 10
        self._tell(1)
        self._tell()
        self.assertEqual(self._refusing(), [False, False])

    def test_daemons_do_not_keep_each_others_memory_alive(self) -> None:
        self._crash_alternately(MIN_CRASHES)
        until_s = self.now_s + MAX_QUARANTINE_S
        while self.now_s < until_s:
            self.now_s += LEARN_MARGIN_S / 50
            for sender in (0, 1):
                self.tables[sender].expire(self.now_s)
                message = encode_quarantine(self.tables[sender], self.now_s)
                late_s = self.now_s + LEARN_MARGIN_S / 20
                self.tables[1 - sender].apply(
                    decode_quarantine(message, late_s), late_s
                )
        self.assertEqual([each.held_count for each in self.tables], [0, 0])

    def test_hold_that_has_ended_is_not_learned(self) -> None:
        old = SuspectHold(BAD, MIN_CRASHES, self.now_s - _LONG_S)
        self.tables[0].apply(QuarantineNews(holds=[old]), self.now_s)
        self.assertEqual(self.tables[0].held_count, 0)

    def test_daemons_begin_trials_at_different_times(self) -> None:
        self._crash_alternately(MIN_CRASHES)
        hits = [table.admit((BAD,), self.now_s) for table in self.tables]
        times_s = {hit.retry_after_s for hit in hits if hit is not None}
        self.assertEqual(len(times_s), 2)
