"""Test the timeline of a request from the logs of two daemons."""

import json
import unittest

from yuccavalve.observability.explain import read_lines, request_timeline
from yuccavalve.quarantine import PART_RULES, QuarantineHit


def _log_line(second: float, process: str, event: str, **fields: object) -> str:
    at = f'2026-01-01T00:00:{second:06.3f}Z'
    record = {'at': at, 'process': process, 'event': event, **fields}
    return f'12.5 {process} {json.dumps(record)}'


_LINES = (
    _log_line(1, 'd1', 'dependency_lost', dependency='engine_feed'),
    _log_line(2, 'd2', 'dependency_lost', dependency='engine_feed'),
    _log_line(9, 'd2', 'engine_unresponsive', engine='i-3'),
    _log_line(9.2, 'd2', 'replica_given_up', head='i-1', reason='dead i-3'),
    _log_line(9.3, 'd2', 'replica_given_up', head='i-8', reason='dead i-9'),
    _log_line(9.5, 'd1', 'attempt_failed', request='r', engine='i-1'),
    _log_line(9.6, 'd1', 'request_ended', request='other', engine='i-1'),
    _log_line(9.9, 'd1', 'request_ended', request='r', total_ms=600),
    _log_line(11, 'd1', 'dependency_regained', dependency='engine_feed'),
    'not a line',
    '{"at": broken',
)


class ExplainTest(unittest.TestCase):
    """A timeline holds the lines that are relevant to its request."""

    def test_timeline_is_ordered_by_time(self) -> None:
        timeline = request_timeline(read_lines(_LINES), 'r')
        self.assertEqual(
            [line.event for line in timeline],
            ['replica_given_up', 'attempt_failed', 'request_ended'],
        )
        self.assertEqual(timeline[0].fields['reason'], 'dead i-3')
        self.assertIn('engine=i-1', timeline[1].text())

    def test_refusal_includes_events_of_unhealthy_engines(self) -> None:
        refused = _log_line(
            10,
            'd1',
            'request_ended',
            request='r2',
            cause='4 sound engines of 5, unsound: i-1',
        )
        timeline = request_timeline(read_lines((*_LINES, refused)), 'r2')
        self.assertEqual(
            [line.event for line in timeline],
            ['replica_given_up', 'request_ended'],
        )
        self.assertEqual(timeline[0].fields['head'], 'i-1')

    def test_refusal_includes_limits_named_long_before(self) -> None:
        lines = (
            _log_line(0.1, 'd1', 'engine_limit', engine='i-1', per_s=2),
            _log_line(0.2, 'd2', 'engine_limit', engine='i-1', per_s=2),
            _log_line(0.3, 'd1', 'engine_limit', engine='i-9', per_s=2),
            _log_line(
                50,
                'd1',
                'request_ended',
                request='r3',
                cause='no permit for any of 1 sound engines, limited: i-1',
            ),
        )
        timeline = request_timeline(read_lines(lines), 'r3')
        self.assertEqual(
            [(line.event, line.process) for line in timeline],
            [('engine_limit', 'd1'), ('request_ended', 'd1')],
        )

    def test_refusal_includes_earlier_events_of_its_part(self) -> None:
        hit = QuarantineHit(0x123, PART_RULES.label, 3, 1.0)
        # The log holds a name of digits alone as a number.
        part = 123
        lines = (
            _log_line(1, 'd2', 'prompt_part_suspected', part=part),
            _log_line(2, 'd2', 'prompt_part_quarantined', part=part),
            _log_line(2, 'd2', 'prompt_part_quarantined', part=0),
            _log_line(30, 'd1', 'request_ended', request='r', cause=hit.text),
            _log_line(40, 'd2', 'prompt_part_cleared', part=part),
        )
        timeline = request_timeline(read_lines(lines), 'r')
        self.assertEqual(
            [line.event for line in timeline],
            [
                'prompt_part_suspected',
                'prompt_part_quarantined',
                'request_ended',
            ],
        )

    def test_unknown_request_has_no_timeline(self) -> None:
        self.assertEqual(request_timeline(read_lines(_LINES), 'none'), [])
