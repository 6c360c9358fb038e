"""Traces of host and preset changes.

A trace is a file in JSON Lines format. The first line is a ``TraceHead``; the
others are ``TraceEvent`` lines in order of time.
"""

import json
from collections.abc import Iterable
from pathlib import Path

import attrs
import cattrs

from yuccavalve.configuration.models import Group

__all__ = ('TraceEvent', 'TraceHead', 'read_trace', 'write_trace')

_DAY_S = 86400.0
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


@attrs.frozen
class TraceHead:
    """Fixed parameters of a trace, in its first line.

    Attributes
    ----------
    domains
        Fabric domain of each host.
    load_s
        Time to load one replica while no other loads.
    full_rate_loads
        Number of concurrent loads that the weight store serves at full speed.
    """

    groups: tuple[Group, ...]
    wanted: dict[str, int]
    domains: dict[str, str]
    load_s: float
    full_rate_loads: int
    max_loading: int
    until_s: float = _DAY_S


@attrs.frozen
class TraceEvent:
    """One change of hosts or of the preset.

    Attributes
    ----------
    kind
        ``down``, ``up`` or ``leaving`` for hosts, ``preset_committed`` for a
        preset that is not accepted yet, or ``preset`` for an accepted one.
    hosts
        Hosts that change.
    wanted
        Replica count of each group under a preset.
    """

    at_s: float
    kind: str
    hosts: tuple[str, ...] = ()
    wanted: dict[str, int] = attrs.field(factory=dict)


def write_trace(
    path: Path,
    head: TraceHead,
    events: Iterable[TraceEvent],
) -> None:
    """Write a trace as JSON lines."""
    lines = [
        json.dumps(_CONVERTER.unstructure(entry)) for entry in (head, *events)
    ]
    path.write_text('\n'.join([*lines, '']))


def read_trace(path: Path) -> tuple[TraceHead, list[TraceEvent]]:
    """Read a trace."""
    first, *rest = path.read_text().splitlines()
    head = _CONVERTER.structure(json.loads(first), TraceHead)
    events = [
        _CONVERTER.structure(json.loads(line), TraceEvent) for line in rest
    ]
    return head, events
