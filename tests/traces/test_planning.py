"""Tests of the planner on traces of host changes.

Next to each trace is a file with upper bounds for the figures of its replay.
They follow from the load time and from guarantees of the planner, not from
figures of earlier runs.
"""

import json
import unittest
from pathlib import Path

from yuccavalve.replicas import ReplicaPlanner
from yuccavalve.replicas.replay import Replay
from yuccavalve.replicas.traces import read_trace

_TRACES = Path(__file__).parent / 'planning'
_SETTLE_S = 3600


class PlanningTraceTest(unittest.TestCase):
    """Every trace in the ``planning`` folder."""

    def test_traces(self) -> None:
        paths = sorted(_TRACES.glob('*.jsonl'))
        self.assertGreaterEqual(len(paths), 4)
        for path in paths:
            with self.subTest(trace=path.stem):
                head, events = read_trace(path)
                figures = Replay(head, events, ReplicaPlanner()).run(_SETTLE_S)
                bounds = json.loads(path.with_suffix('.json').read_text())
                for name, most in bounds.items():
                    self.assertLessEqual(getattr(figures, name), most, name)
