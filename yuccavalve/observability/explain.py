"""Reconstruct the timeline of one request from the logs of daemons."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

__all__ = ('UNSOUND_WORD', 'LogLine', 'read_lines', 'story')

# Precedes the names of the unhealthy engines in the cause of a refusal.
UNSOUND_WORD = 'unsound:'

# How long before a request began an event may still explain its outcome.
_BEFORE_S = 6.0
_SECONDS_PER = (3600, 60, 1)
_MS = 1000
_CLOCK_BEGINS_AT = 11
# Changes of a daemon's state that affect any request on that daemon.
_CONTEXT_EVENTS = frozenset(
    (
        'config_adopted',
        'dependency_lost',
        'dependency_regained',
        'lease_acquired',
        'lease_yielded',
        'lines_left_out',
        'started',
        'stopping',
    ),
)
# Fields that name an engine. Events with one are relevant only to requests
# that were sent to this engine.
_ENGINE_FIELDS = ('engine', 'head')
_UNSHOWN = frozenset(('at', 'level', 'process', 'event'))


@attrs.frozen
class LogLine:
    """One structured log line.

    Attributes
    ----------
    at
        UTC timestamp as written, with milliseconds.
    fields
        All fields of the line.
    """

    at: str
    process: str
    event: str
    fields: dict[str, Any]

    @property
    def day_s(self) -> float:
        """Return the seconds since midnight UTC."""
        parts = self.at[_CLOCK_BEGINS_AT:-1].split(':')
        pairs = zip(parts, _SECONDS_PER, strict=True)
        return sum(float(part) * factor for part, factor in pairs)

    def text(self) -> str:
        """Return the line as readable text."""
        words = [
            f'{name}={found}'
            for name, found in self.fields.items()
            if name not in _UNSHOWN
        ]
        return f'{self.at} {self.process} {self.event} {" ".join(words)}'


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured log lines found in raw lines.

    Text before the JSON object is skipped, since log collectors prepend a
    prefix to each line.
    """
    for text in texts:
        begin = text.find('{"at"')
        if begin < 0:
            continue
        try:
            plain = json.loads(text[begin:])
        except ValueError:
            continue
        yield LogLine(
            plain.get('at', ''),
            plain.get('process', ''),
            plain.get('event', ''),
            plain,
        )


def story(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the log lines relevant to one request, ordered by time.

    Besides the request's own lines these are state changes of the daemons
    that handled it and events of the engines that it was sent to, from a few
    seconds before the request began to its last line.
    """
    known = sorted(lines, key=lambda line: line.at)
    own = [line for line in known if line.fields.get('request') == request_id]
    if not own:
        return []
    processes = {line.process for line in own}
    engines = {line.fields.get('engine') for line in own} - {None, ''}
    engines.update(*map(_unsound, own))
    begin_s = min(_began_s(line) for line in own) - _BEFORE_S
    end_s = max(line.day_s for line in own)
    return [
        line
        for line in known
        if line in own
        or (
            begin_s <= line.day_s <= end_s
            and _concerns(line, processes, engines)
        )
    ]


def _unsound(line: LogLine) -> list[str]:
    """Return the engines that a refusal names as unhealthy."""
    _, _, named = str(line.fields.get('cause', '')).partition(UNSOUND_WORD)
    return named.split()


def _began_s(line: LogLine) -> float:
    """Return when the request of a line began, in seconds since midnight.

    Lines without a total time count from their own timestamp.
    """
    return line.day_s - line.fields.get('total_ms', 0) / _MS


def _concerns(
    line: LogLine,
    processes: set[str],
    engines: set[Any],
) -> bool:
    if 'request' in line.fields:
        return False
    if line.event in _CONTEXT_EVENTS:
        return line.process in processes
    named = {
        str(line.fields.get(field, '')).partition('/')[0]
        for field in _ENGINE_FIELDS
    }
    members = set(str(line.fields.get('members', '')).split(','))
    return bool(engines.intersection(named | members))
