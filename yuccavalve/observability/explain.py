"""Reconstruct the timeline of one request from the logs of daemons."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from yuccavalve.prompts import part_from_log
from yuccavalve.quarantine import PART_RULES, REQUEST_RULES

__all__ = (
    'LIMITED_PREFIX',
    'UNSOUND_PREFIX',
    'LogLine',
    'read_lines',
    'request_timeline',
)

# Precede the names of engines in the cause of a refusal: of those that are
# unhealthy, and of those that are at their limits.
UNSOUND_PREFIX = 'unsound:'
LIMITED_PREFIX = 'limited:'

# How long before a request began an event may still explain its outcome.
_LOOKBACK_S = 6.0
_SECONDS_PER_UNIT = (3600, 60, 1)
_MS = 1000
_TIME_OF_DAY_OFFSET = 11
# Changes of a daemon's state that affect any request on that daemon.
_DAEMON_EVENTS = frozenset(
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
# Events of a suspect explain a refusal however old they are.
_SUSPECT_RULES = (PART_RULES, REQUEST_RULES)
# So do the limits of engines at the daemons that handled the request.
_LIMIT_EVENT = 'engine_limit'
_HIDDEN_FIELDS = frozenset(('at', 'level', 'process', 'event'))


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
    def time_of_day_s(self) -> float:
        """Return the seconds since midnight UTC."""
        parts = self.at[_TIME_OF_DAY_OFFSET:-1].split(':')
        pairs = zip(parts, _SECONDS_PER_UNIT, strict=True)
        return sum(float(part) * factor for part, factor in pairs)

    def text(self) -> str:
        """Return the line as readable text."""
        words = [
            f'{name}={found}'
            for name, found in self.fields.items()
            if name not in _HIDDEN_FIELDS
        ]
        return f'{self.at} {self.process} {self.event} {" ".join(words)}'


def read_lines(raw_lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured log lines found in raw lines.

    Text before the JSON object is skipped, since log collectors prepend a
    prefix to each line.
    """
    for text in raw_lines:
        start = text.find('{"at"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        yield LogLine(
            fields.get('at', ''),
            fields.get('process', ''),
            fields.get('event', ''),
            fields,
        )


def request_timeline(
    lines: Iterable[LogLine], request_id: str
) -> list[LogLine]:
    """Return the log lines relevant to one request, ordered by time.

    Besides the request's own lines these are state changes of the daemons
    that handled it and events of the engines that it was sent to, from a few
    seconds before the request began to its last line, and earlier events of
    its suspects: the parts of its prompt and the whole request.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    own_lines = [
        line for line in ordered if line.fields.get('request') == request_id
    ]
    if not own_lines:
        return []
    processes = {line.process for line in own_lines}
    engines = {line.fields.get('engine') for line in own_lines} - {None, ''}
    engines.update(*map(_refused_engines, own_lines))
    suspects = set().union(*map(_named_suspects, own_lines))
    begin_s = min(_request_began_s(line) for line in own_lines) - _LOOKBACK_S
    end_s = max(line.time_of_day_s for line in own_lines)
    return [
        line
        for line in ordered
        if line in own_lines
        or (
            line.time_of_day_s <= end_s
            and (
                _suspect_of_event(line) in suspects
                or _is_limit(line, processes, engines)
            )
        )
        or (
            begin_s <= line.time_of_day_s <= end_s
            and _is_relevant(line, processes, engines)
        )
    ]


def _refused_engines(line: LogLine) -> list[str]:
    """Return the engines that a refusal names as unhealthy or limited."""
    cause = str(line.fields.get('cause', ''))
    names: list[str] = []
    for prefix in (UNSOUND_PREFIX, LIMITED_PREFIX):
        _, _, named = cause.partition(prefix)
        names.extend(named.split())
    return names


def _named_suspects(line: LogLine) -> set[str]:
    """Return the suspects that a request's line names."""
    names = str(line.fields.get('parts', '')).split(',')
    names.append(str(line.fields.get('fingerprint', '')))
    cause = str(line.fields.get('cause', ''))
    for rules in _SUSPECT_RULES:
        names.append(cause.partition(rules.label)[2].partition(' ')[0])
    return {part_from_log(name) for name in names if name}


def _is_limit(line: LogLine, processes: set[str], engines: set[Any]) -> bool:
    """Return whether a daemon learned the limit of one of the engines."""
    if line.event != _LIMIT_EVENT or line.process not in processes:
        return False
    return line.fields.get('engine') in engines


def _suspect_of_event(line: LogLine) -> str:
    """Return the suspect that an event is about; empty for other events."""
    for rules in _SUSPECT_RULES:
        if line.event.startswith(f'{rules.event}_'):
            return part_from_log(line.fields.get(rules.field, ''))
    return ''


def _request_began_s(line: LogLine) -> float:
    """Return when the request of a line began, in seconds since midnight.

    Lines without a total time count from their own timestamp.
    """
    return line.time_of_day_s - line.fields.get('total_ms', 0) / _MS


def _is_relevant(
    line: LogLine,
    processes: set[str],
    engines: set[Any],
) -> bool:
    if 'request' in line.fields:
        return False
    if line.event in _DAEMON_EVENTS:
        return line.process in processes
    named = {
        str(line.fields.get(field, '')).partition('/')[0]
        for field in _ENGINE_FIELDS
    }
    members = set(str(line.fields.get('members', '')).split(','))
    return bool(engines.intersection(named | members))
