"""When a daemon that starts takes requests."""

import unittest

from yuccavalve.daemon.startup import READY_MAX_WAIT_S, StartupKnowledge

_OTHERS = ('e1', 'e2')


class StartupKnowledgeTest(unittest.TestCase):
    """A daemon with routes and engines, beside two others."""

    def setUp(self) -> None:
        """Start without news of others."""
        self.startup = StartupKnowledge()
        self.now_s = 1000.0

    def _is_ready(
        self,
        others: tuple[str, ...] | None = _OTHERS,
        *,
        has_base: bool = True,
        is_current: bool = True,
    ) -> bool:
        return self.startup.update(
            others,
            has_base=has_base,
            is_current=is_current,
            now_s=self.now_s,
        )

    def test_news_of_one_informed_daemon_suffice(self) -> None:
        self.assertFalse(self._is_ready())
        self.startup.record_reply(informed=True)
        self.assertTrue(self._is_ready())

    def test_routes_and_engines_are_needed_beside_news(self) -> None:
        self.startup.record_reply(informed=True)
        self.assertFalse(self._is_ready(has_base=False))
        self.assertTrue(self._is_ready())

    def test_newer_routes_that_can_not_be_had_delay_the_start_to_the_bound(
        self,
    ) -> None:
        self.startup.record_reply(informed=True)
        self.assertFalse(self._is_ready(is_current=False))
        self.now_s += READY_MAX_WAIT_S
        with self.assertLogs(level='WARNING') as logs:
            self.assertTrue(self._is_ready(is_current=False))
        self.assertIn('lacks=routes', logs.output[0])

    def test_first_daemon_is_ready_once_it_has_read_the_rows(self) -> None:
        self.assertFalse(self._is_ready(None))
        self.assertFalse(self._is_ready(()))
        self.startup.quarantine_read = True
        self.assertFalse(self._is_ready(None))
        self.assertTrue(self._is_ready(()))

    def test_daemon_that_reaches_no_other_is_ready_at_once(self) -> None:
        self.startup.quarantine_read = True
        self.startup.record_failure('e1')
        self.assertFalse(self._is_ready())
        self.startup.record_failure('e2')
        self.assertTrue(self._is_ready())

    def test_daemon_whose_others_all_start_too_is_ready_at_once(self) -> None:
        self.startup.quarantine_read = True
        self.startup.record_reply(informed=False)
        self.assertFalse(self._is_ready(('e1',)))
        self.assertTrue(self._is_ready(()))

    def test_news_that_do_not_come_delay_the_start_no_longer_than_the_bound(
        self,
    ) -> None:
        self.startup.quarantine_read = True
        self.startup.record_reply(informed=False)
        self.assertFalse(self._is_ready())
        self.now_s += READY_MAX_WAIT_S
        with self.assertLogs(level='WARNING') as logs:
            self.assertTrue(self._is_ready())
        self.assertIn('lacks=peer_news', logs.output[0])

    def test_store_that_is_away_delays_the_start_no_longer_than_the_bound(
        self,
    ) -> None:
        self.assertFalse(self._is_ready(None))
        self.now_s += READY_MAX_WAIT_S
        with self.assertLogs(level='WARNING') as logs:
            self.assertTrue(self._is_ready(None))
        self.assertIn('lacks=members', logs.output[0])

    def test_daemon_alone_does_not_wait_for_news_of_daemons_that_are_down(
        self,
    ) -> None:
        self.startup.quarantine_read = True
        self.assertFalse(self._is_ready())
        self.startup.others_are_down = True
        self.assertTrue(self._is_ready())

    def test_daemon_alone_still_reads_the_row_of_the_quarantine(self) -> None:
        self.startup.others_are_down = True
        self.assertFalse(self._is_ready())
