"""Which whole requests are put into quarantine, and when it ends."""

import unittest

from tests.quarantine import builders
from tests.quarantine.builders import SHARED, fingerprint
from yuccavalve.fingerprints import request_fingerprint
from yuccavalve.quarantine import (
    QuarantineNews,
    RequestCrash,
    RequestQuarantine,
    SuspectHold,
)
from yuccavalve.quarantine.const import (
    MAX_QUARANTINE_S,
    MAX_RELAYED,
    MAX_REQUEST_RECORDS,
    MAX_SOUND_REQUESTS,
    MAX_TRIAL_SPREAD_S,
    MIN_CRASHES,
    QUARANTINE_S,
    SETTLE_S,
    SOUND_S,
    TRIAL_SPACING_S,
)

_STEP_S = 0.1
_SHORT_S = 0.001
_BAD = fingerprint(1)
_OTHER = fingerprint(2)
_DAEMONS = 2
_LARGEST = 0xFFFF


class WholeRequestTest(unittest.TestCase):
    """One daemon, without answers to anything else."""

    def setUp(self) -> None:
        """Start without evidence."""
        self.table = builders.quarantine()
        self.now_s = 1000.0
        self._engine = 0

    def _crash(self, count: int, *requests: int) -> None:
        """Let engines crash one after the other under some requests."""
        for _ in range(count):
            self._engine += 1
            for request in requests:
                self.table.record_crash(
                    RequestCrash(self._engine, (), request), self.now_s
                )
            self.now_s += _STEP_S

    def _is_refused(self, *suspects: int) -> bool:
        return self.table.find(suspects, self.now_s) is not None

    def _settle(self) -> None:
        self.now_s += SETTLE_S

    def test_repeats_are_refused_without_any_other_traffic(self) -> None:
        self._crash(MIN_CRASHES - 1, _BAD)
        self._settle()
        self.assertFalse(self._is_refused(_BAD))
        self._crash(1, _BAD)
        self.assertTrue(self._is_refused(_BAD))
        self.assertFalse(self._is_refused(_OTHER))

    def _crash_at_once(self, ran_s: float) -> None:
        for engine in range(MIN_CRASHES):
            self.table.record_crash(
                RequestCrash(engine, (), _BAD, ran_s), self.now_s
            )
            self.now_s += 2 * _SHORT_S

    def test_retries_of_a_run_that_crashes_at_once_all_count(self) -> None:
        self._crash_at_once(ran_s=_SHORT_S)
        self._settle()
        self.assertTrue(self._is_refused(_BAD))

    def test_servers_that_end_together_under_repeats_count_as_one(
        self,
    ) -> None:
        self._crash_at_once(ran_s=1)
        self._settle()
        self.assertFalse(self._is_refused(_BAD))

    def test_request_that_was_answered_before_it_crashes_is_refused(
        self,
    ) -> None:
        self.table.record_sound((_BAD,), self.now_s)
        self._crash(MIN_CRASHES, _BAD)
        self._settle()
        self.assertTrue(self._is_refused(_BAD))

    def test_sound_poll_that_is_lost_now_and_then_is_served(self) -> None:
        for _ in range(30):
            self._crash(MIN_CRASHES - 1, _BAD)
            self.table.record_sound((_BAD,), self.now_s)
            self._settle()
            self.assertFalse(self._is_refused(_BAD))

    def test_poll_that_is_lost_beside_the_crashing_request_is_served(
        self,
    ) -> None:
        self._crash(1, _BAD)
        self._crash(MIN_CRASHES, _BAD, _OTHER)
        self._settle()
        self.assertTrue(self._is_refused(_BAD))
        self.assertFalse(self._is_refused(_OTHER))

    def test_repeats_of_one_request_condemn_no_part_of_its_prompt(
        self,
    ) -> None:
        for engine in range(10):
            self.table.record_crash(
                RequestCrash(engine, (SHARED,), _BAD), self.now_s
            )
            self.now_s += _STEP_S
        builders.answer_others(self.table, self.now_s)
        self._settle()
        self.assertTrue(self._is_refused(SHARED, _BAD))
        self.assertFalse(self._is_refused(SHARED))

    def test_hold_ends_soon_after_the_fault_is_mended(self) -> None:
        self._crash(16, _BAD)
        self._settle()
        hit = self.table.admit((_BAD,), self.now_s)
        assert hit is not None
        self.assertLess(hit.retry_after_s, QUARANTINE_S + TRIAL_SPACING_S)
        self.now_s += hit.retry_after_s
        self.assertIsNone(self.table.admit((_BAD,), self.now_s))
        self.assertIsNotNone(self.table.admit((_BAD,), self.now_s))
        self.table.record_sound((_BAD,), self.now_s + _STEP_S)
        self.assertIsNone(self.table.admit((_BAD,), self.now_s + _STEP_S))

    def test_unique_requests_push_nothing_out(self) -> None:
        self.table.record_sound((SHARED,), self.now_s)
        self._crash(MIN_CRASHES - 1, _BAD)
        self._crash(1, _OTHER)
        self.table.record_sound((_OTHER,), self.now_s)
        for number in range(10, 10 + MAX_SOUND_REQUESTS - 10):
            self.table.record_sound((fingerprint(number),), self.now_s)
        for number in range(10 * MAX_REQUEST_RECORDS):
            self._engine += 1
            unique = fingerprint(1000000 + number)
            self.table.record_crash(
                RequestCrash(self._engine, (), unique), self.now_s
            )
        self.assertTrue(self.table.parts.is_vouched(SHARED, self.now_s))
        self._crash(1, _BAD)
        self._settle()
        self.assertTrue(self._is_refused(_BAD))
        requests = self.table.requests
        self.assertLessEqual(
            requests.held_count + requests.suspect_count, MAX_REQUEST_RECORDS
        )
        news = requests.news(self.now_s)
        self.assertLessEqual(len(news.crashes), MAX_RELAYED)


class WholeRequestSpreadTest(unittest.TestCase):
    """Two daemons that tell each other what they see."""

    def setUp(self) -> None:
        """Let both daemons see crashes of one storm."""
        self.tables = [
            builders.quarantine(seed, _DAEMONS) for seed in range(_DAEMONS)
        ]
        self.now_s = 1000.0
        for engine in range(MIN_CRASHES):
            table = self.tables[engine % _DAEMONS]
            table.record_crash(RequestCrash(engine, (), _BAD), self.now_s)
            self.now_s += _STEP_S
        self.now_s += SETTLE_S

    def _tell(self, sender: int, receiver: RequestQuarantine) -> None:
        receiver.apply(self.tables[sender].news(self.now_s), self.now_s)

    def _exchange(self) -> None:
        self._tell(0, self.tables[1])
        self._tell(1, self.tables[0])

    def _refusing(self) -> list[bool]:
        return [
            table.find((_BAD,), self.now_s) is not None for table in self.tables
        ]

    def test_repeats_at_different_daemons_add_up(self) -> None:
        self.assertEqual(self._refusing(), [False, False])
        self._exchange()
        self.assertEqual(self._refusing(), [True, True])

    def test_crashes_at_different_daemons_count_however_close(self) -> None:
        tables = [builders.quarantine(seed, _DAEMONS) for seed in range(3)]
        for engine, table in enumerate(tables):
            table.record_crash(
                RequestCrash(engine, (), _BAD, _STEP_S), self.now_s
            )
        news = [table.news(self.now_s) for table in tables]
        for table in tables:
            for each in news:
                table.apply(each, self.now_s)
        self.now_s += SETTLE_S
        self.assertTrue(
            all(table.find((_BAD,), self.now_s) for table in tables)
        )

    def test_daemon_that_starts_later_refuses_and_knows_failed_trials(
        self,
    ) -> None:
        self._exchange()
        self.now_s += QUARANTINE_S
        self.tables[0].record_crash(
            RequestCrash(MIN_CRASHES, (), _BAD), self.now_s
        )
        late = builders.quarantine(_DAEMONS, _DAEMONS)
        self._tell(0, late)
        hit = late.find((_BAD,), self.now_s)
        assert hit is not None
        self.assertGreaterEqual(hit.retry_after_s, 2 * QUARANTINE_S)

    def test_news_with_absurd_numbers_hold_no_longer_than_the_bound(
        self,
    ) -> None:
        absurd = SuspectHold(_OTHER, _LARGEST, self.now_s, _LARGEST)
        late = builders.quarantine(_DAEMONS, _DAEMONS)
        late.apply(QuarantineNews(holds=[absurd]), self.now_s)
        hit = late.find((_OTHER,), self.now_s)
        assert hit is not None
        self.assertLess(
            hit.retry_after_s, MAX_QUARANTINE_S + MAX_TRIAL_SPREAD_S
        )

    def test_answer_to_a_trial_ends_the_hold_at_all_daemons(self) -> None:
        self._exchange()
        self.now_s += QUARANTINE_S
        self.tables[0].record_sound((_BAD,), self.now_s)
        self.now_s += _STEP_S
        self._exchange()
        self._exchange()
        self.assertEqual([table.held_count for table in self.tables], [0, 0])

    def test_answer_that_was_given_before_the_crashes_clears_nothing(
        self,
    ) -> None:
        self.tables[1].record_sound((_BAD,), self.now_s - 2 * SOUND_S)
        self._exchange()
        self.assertEqual(self._refusing()[0], True)


class FingerprintTest(unittest.TestCase):
    """What makes two requests the same."""

    def test_caller_method_target_and_body_tell_requests_apart(self) -> None:
        whole = request_fingerprint('north', 'GET', b'h/x', b'body')
        others = (
            request_fingerprint('south', 'GET', b'h/x', b'body'),
            request_fingerprint('north', 'POST', b'h/x', b'body'),
            request_fingerprint('north', 'GET', b'h/x?a=1', b'body'),
            request_fingerprint('north', 'GET', b'h/x', b''),
            request_fingerprint('north', 'GET', b'h/xbody', b''),
            request_fingerprint('north', 'GET', b'h/x', b'body', 'm 1'),
        )
        self.assertNotIn(whole, others)
        self.assertEqual(len(set(others)), len(others))
        again = request_fingerprint('north', 'GET', b'h/x', b'body')
        self.assertEqual(again, whole)
