"""Split streams of server-sent events at event boundaries."""

import re
from typing import Final

from yuccavalve.exceptions import BackendLostError

__all__ = ('MAX_EVENT_BYTES', 'EventSplitter', 'last_event_id')

MAX_EVENT_BYTES: Final = 262144

_EVENT_END = b'\n\n'
_LINE_ENDS = b'\r\n'
# The groups are atomic, so that one CRLF is never taken for two line ends.
_BLANK_LINE = re.compile(rb'(?>\r\n|\n|\r)(?>\r\n|\n|\r)')
_BLANK_LINE_BYTES = 4
_ID_LINE = re.compile(rb'(?:\A|(?<=[\r\n]))id:[ ]?([^\r\n]*)')


class EventSplitter:
    """Splits a stream into whole events; lines end in LF, CRLF or CR."""

    def __init__(self, limit_bytes: int = MAX_EVENT_BYTES) -> None:
        """Start without data; ``limit_bytes`` bounds the size of an event."""
        self._limit_bytes = limit_bytes
        self._rest = bytearray()

    @property
    def rest(self) -> bytes:
        """Return what was received after the last whole event."""
        return bytes(self._rest)

    @property
    def partial_bytes(self) -> int:
        """Return the size of the event that was received only in part."""
        return len(self._rest.strip(_LINE_ENDS))

    def split(self, chunk: bytes) -> bytes:
        """Return the events that the next chunk of the stream completes.

        Raises
        ------
        BackendLostError
            When an incomplete event is larger than the limit.
        """
        if not self._rest and chunk.endswith(_EVENT_END):
            return chunk
        searched_bytes = max(0, len(self._rest) - _BLANK_LINE_BYTES + 1)
        self._rest += chunk
        end = _last_event_end(self._rest, searched_bytes)
        whole = bytes(self._rest[:end])
        self._rest = self._rest[end:]
        if len(self._rest) > self._limit_bytes:
            raise BackendLostError(
                f'event is larger than {self._limit_bytes} bytes'
            )
        return whole

    def check_complete(self) -> None:
        """Raise ``BackendLostError`` if the stream ended inside an event."""
        if self.partial_bytes:
            raise BackendLostError(
                f'stream ended {self.partial_bytes} bytes into an event'
            )


def last_event_id(events: bytes) -> str | None:
    """Return the id of the last event that has one."""
    event_ids = _ID_LINE.findall(events)
    return event_ids[-1].decode('latin-1') if event_ids else None


def _last_event_end(stream: bytearray, start: int) -> int:
    """Return where the last event ends that ends after a position, or 0."""
    if stream.find(b'\r', start) < 0:
        found = stream.rfind(_EVENT_END, start)
        return 0 if found < 0 else found + len(_EVENT_END)
    return max(
        (blank.end() for blank in _BLANK_LINE.finditer(stream, start)),
        default=0,
    )
