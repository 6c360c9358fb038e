"""Event streams are split only at event boundaries."""

import unittest

from yuccavalve.events import EventSplitter, last_event_id
from yuccavalve.exceptions import BackendLostError

_EVENTS = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
_LINE_ENDS = (b'\n', b'\r\n', b'\r')
_LIMIT_BYTES = 20


def _with_line_end(line_end: bytes) -> bytes:
    return _EVENTS.replace(b'\n', line_end)


class EventsTest(unittest.TestCase):
    """Streams of events that arrive in parts of any length."""

    def test_split_at_any_length_keeps_events_complete(self) -> None:
        for line_end in _LINE_ENDS:
            stream = _with_line_end(line_end)
            event_ends = {0, len(stream) // 2, len(stream)}
            for length in range(len(stream) + 1):
                with self.subTest(line_end=line_end, length=length):
                    splitter = EventSplitter()
                    first = splitter.split(stream[:length])
                    rest = splitter.rest
                    self.assertEqual(first + rest, stream[:length])
                    self.assertNotIn(line_end * 2, rest)
                    second = splitter.split(stream[length:])
                    self.assertEqual(first + second + splitter.rest, stream)
                    self.assertEqual(splitter.partial_bytes, 0)
                    if line_end != b'\r\n':
                        self.assertIn(len(first), event_ends)

    def test_chunks_of_one_byte_are_split_like_one_chunk(self) -> None:
        for line_end in _LINE_ENDS:
            splitter = EventSplitter()
            stream = _with_line_end(line_end)
            parts = [splitter.split(bytes((each,))) for each in stream]
            self.assertEqual(b''.join(parts) + splitter.rest, stream)
            self.assertEqual(len([each for each in parts if each]), 2)

    def test_stream_that_ends_inside_an_event_is_not_complete(self) -> None:
        for line_end in _LINE_ENDS:
            stream = _with_line_end(line_end)
            half = len(stream) // 2
            # The last line end of an event may be a CR of which the LF is
            # still due.
            for length in range(half + 1, len(stream) - len(line_end) + 1):
                splitter = EventSplitter()
                splitter.split(stream[:length])
                with (
                    self.subTest(line_end=line_end, length=length),
                    self.assertRaises(BackendLostError),
                ):
                    splitter.check_complete()
            splitter = EventSplitter()
            splitter.split(stream)
            splitter.check_complete()

    def test_event_without_end_is_bounded(self) -> None:
        splitter = EventSplitter(_LIMIT_BYTES)
        self.assertEqual(splitter.split(b'x' * _LIMIT_BYTES), b'')
        with self.assertRaises(BackendLostError):
            splitter.split(b'x')

    def test_last_event_id_ignores_ids_in_data(self) -> None:
        for line_end in _LINE_ENDS:
            self.assertEqual(last_event_id(_with_line_end(line_end)), '2')
        self.assertIsNone(last_event_id(b'data: id: 3\n\n'))
