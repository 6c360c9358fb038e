"""Split streams of server-sent events at event boundaries."""

import re

__all__ = ('last_event_id', 'whole_events')

_EVENT_END = b'\n\n'
_ID_LINE = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


def whole_events(part: bytes) -> tuple[bytes, bytes]:
    """Split bytes into complete events and the start of the next one."""
    if part.endswith(_EVENT_END):
        return part, b''
    cut = part.rfind(_EVENT_END)
    if cut < 0:
        return b'', part
    cut += len(_EVENT_END)
    return part[:cut], part[cut:]


def last_event_id(events: bytes) -> str | None:
    """Return the id of the last event that has one."""
    found = _ID_LINE.findall(events)
    return found[-1].decode('latin-1') if found else None
