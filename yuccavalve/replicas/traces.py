"""Recorded traces of hosts and presets.

A trace is a file of JSON lines. The first line is a ``TraceHead``; each other
line is a ``TraceEvent`` in the order of time.
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
    """What a trace begins with.

    Attributes
    ----------
    domains
        Fabric domain of each host.
    load_s
        Time to load one replica while no other loads.
    full_rate_loads
        Loads that the weight store carries at full speed at once.
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
    """One change.

    Attributes
    ----------
    kind
        ``down``, ``up``, ``leaving`` of hosts, ``preset_committed`` for a
        preset that is not accepted yet, or ``preset`` for an accepted one.
    hosts
        The hosts that the change is about.
    wanted
        Replicas of each group, with a preset.
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
