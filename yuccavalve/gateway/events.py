"""Split streams of server-sent events at event boundaries."""

import re

__all__ = ('last_event_id', 'whole_events')

_EVENT_END = b'\n\n'
_ID_LINE = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


def whole_events(chunk: bytes) -> tuple[bytes, bytes]:
    """Split bytes into complete events and the start of the next one."""
    if chunk.endswith(_EVENT_END):
        return chunk, b''
    cut = chunk.rfind(_EVENT_END)
    if cut < 0:
        return b'', chunk
    cut += len(_EVENT_END)
    return chunk[:cut], chunk[cut:]


def last_event_id(events: bytes) -> str | None:
    """Return the id of the last event that has one."""
    event_ids = _ID_LINE.findall(events)
    return event_ids[-1].decode('latin-1') if event_ids else None
