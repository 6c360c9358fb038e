"""Event streams are split only at event boundaries."""

import unittest

from yuccavalve.gateway.events import last_event_id, whole_events

_EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'


class EventsTest(unittest.TestCase):
    """Streams of events that arrive in parts of any length."""

    def test_split_at_any_length_keeps_events_complete(self) -> None:
        for length in range(len(_EVENTS) + 1):
            whole, tail = whole_events(_EVENTS[:length])
            self.assertEqual(whole + tail, _EVENTS[:length])
            self.assertTrue(not whole or whole.endswith(b'\n\n'))
            self.assertNotIn(b'\n\n', tail)

    def test_last_event_id_ignores_ids_in_data(self) -> None:
        self.assertEqual(last_event_id(_EVENTS), '2')
        self.assertIsNone(last_event_id(b'data: id: 3\n\n'))
