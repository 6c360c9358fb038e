"""Recorded traces of hosts against stated outcomes.

Beside each trace stands a file with bounds that the replay must keep; they
come from the load time and the promises, not from earlier figures.
"""

import json
import unittest
from pathlib import Path

from yuccavalve.replicas import SpanPlanner
from yuccavalve.replicas.replay import Replay
from yuccavalve.replicas.traces import read_trace

_TRACES = Path(__file__).parent / 'planning'
_SETTLE_S = 3600


class PlanningTraceTest(unittest.TestCase):
    """Every trace in the folder."""

    def test_traces(self) -> None:
        paths = sorted(_TRACES.glob('*.jsonl'))
        self.assertGreaterEqual(len(paths), 4)
        for path in paths:
            with self.subTest(trace=path.stem):
                head, events = read_trace(path)
                figures = Replay(head, events, SpanPlanner()).run(_SETTLE_S)
                bounds = json.loads(path.with_suffix('.json').read_text())
                for name, most in bounds.items():
                    self.assertLessEqual(getattr(figures, name), most, name)
