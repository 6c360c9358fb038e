"""Tell the story of one request from the logs of several daemons."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

__all__ = ('UNSOUND_WORD', 'LogLine', 'read_lines', 'story')

# Comes before the engines that a refusal names as not sound.
UNSOUND_WORD = 'unsound:'

# How long before a request's first line something may have caused its end.
_BEFORE_S = 6.0
_SECONDS_PER = (3600, 60, 1)
_MS = 1000
_CLOCK_BEGINS_AT = 11
# Changes of belief that explain what became of requests on a daemon.
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
# Changes that count for a request only when they are about its engines.
_ENGINE_FIELDS = ('engine', 'head')
_UNSHOWN = frozenset(('at', 'level', 'process', 'event'))


@attrs.frozen
class LogLine:
    """One structured line.

    Attributes
    ----------
    at
        Time of day as written, with milliseconds.
    fields
        Everything else.
    """

    at: str
    process: str
    event: str
    fields: dict[str, Any]

    @property
    def day_s(self) -> float:
        """Return the seconds since midnight."""
        parts = self.at[_CLOCK_BEGINS_AT:-1].split(':')
        pairs = zip(parts, _SECONDS_PER, strict=True)
        return sum(float(part) * factor for part, factor in pairs)

    def text(self) -> str:
        """Return the line for reading."""
        words = [
            f'{name}={found}'
            for name, found in self.fields.items()
            if name not in _UNSHOWN
        ]
        return f'{self.at} {self.process} {self.event} {" ".join(words)}'


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines among texts.

    A text may have other words before its object, as collectors of logs add
    them.
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
    """Return what concerns one request, in order.

    Besides its own lines these are changes of belief on the daemons that had
    it, and what became of the engines that it was sent to, from a few seconds
    before its first line to its last.
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
    """Return the engines that a refusal names as not sound."""
    _, _, named = str(line.fields.get('cause', '')).partition(UNSOUND_WORD)
    return named.split()


def _began_s(line: LogLine) -> float:
    """Return when the request that a line ends had begun."""
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
