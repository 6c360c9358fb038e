"""Tests of configuration adoption by one daemon, from trace files.

After the first, each line of a trace either performs a step at a monotonic
time (``own_read``, ``head``, ``voter``, ``adopt``) or states what must hold
at that time.
"""

import json
import unittest
from pathlib import Path
from typing import Any

from tests.support.builders import configuration
from yuccavalve.configuration import (
    AdoptionState,
    Electorate,
    Evidence,
    Voter,
)

_TRACES = Path(__file__).parent / 'adoption'


def _start(line: dict[str, Any]) -> tuple[AdoptionState, Electorate]:
    electorate = Electorate(
        tuple(Voter(*pair) for pair in line['voters'].items()),
    )
    state = AdoptionState(
        line['name'],
        configuration(line['version'], electorate),
    )
    return state, electorate


def _do(state: AdoptionState, line: dict[str, Any], past: Electorate) -> None:
    at_s = line['at_s'] - line.get('age_s', 0)
    version = line['version']
    if line['do'] == 'own_read':
        state.observe_local_read(version, at_s)
    elif line['do'] == 'head':
        state.observe_head(version, at_s)
    elif line['do'] == 'voter':
        state.observe_voters([Evidence(line['voter'], version, at_s)])
    elif line['do'] == 'adopt':
        state.adopt(configuration(version, past))
    else:
        raise ValueError(line['do'])


def _outcome(state: AdoptionState, at_s: float) -> dict[str, Any]:
    return {
        'fresh': state.is_fresh(at_s),
        'version': state.version,
        'accepted': state.is_accepted(state.version, at_s),
    }


class AdoptionTraceTest(unittest.TestCase):
    """Every trace in the ``adoption`` folder."""

    def test_traces(self) -> None:
        paths = sorted(_TRACES.glob('*.jsonl'))
        self.assertGreaterEqual(len(paths), 4)
        for path in paths:
            first, *rest = map(json.loads, path.read_text().splitlines())
            state, electorate = _start(first)
            for number, line in enumerate(rest, 2):
                with self.subTest(trace=path.stem, line=number):
                    if 'do' in line:
                        _do(state, line, electorate)
                        continue
                    outcome = _outcome(state, line['at_s'])
                    self.assertEqual(outcome, outcome | line['expect'])
